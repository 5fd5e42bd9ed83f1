"""What callers see: look-ups, forwarding and outcomes of earlier requests."""

import random
import uuid
from collections.abc import Mapping
from urllib.parse import parse_qs

from carawaybank import headers
from carawaybank.callers.forwarding import Forwarder
from carawaybank.counters import Counters
from carawaybank.host import Host
from carawaybank.settings import Settings
from carawaybank.steering import hashing
from carawaybank.steering.deduplication import RequestId
from carawaybank.steering.messages import RequestInfo
from carawaybank.transport import HttpRequest
from carawaybank.verdicts import NotRun, Reason, Verdict
from carawaybank.web import (
    BadRequestError,
    ConcurrencyLimit,
    Router,
    WebRequest,
    WebResponse,
    verdict_response,
)

FORWARD_PREFIX = "/v1/forward/"
ENTRIES_PATH = "/v1/entries"
REQUESTS_PREFIX = "/v1/requests/"

_ENTRIES_HEADERS = (("Content-Type", "application/json"),)
_MAX_NAME_LENGTH = 64
_MAX_ID_LENGTH = 256
_DROPPED = headers.HOP_BY_HOP | {
    name.lower()
    for name in (
        headers.DEADLINE_MS,
        headers.DEADLINE_AT,
        headers.TRIED,
        headers.FIRST_SEND,
        headers.REQUEST_ID,
        headers.CUSTOMER,
        headers.REPEATABLE,
    )
}


class CallersApp:
    """Handlers of the callers' address."""

    def __init__(
        self, *, host: Host, forwarder: Forwarder, counters: Counters, settings: Settings
    ) -> None:
        """Takes what requests are answered with.

        Args:
            host: The decision core.
            forwarder: Runs requests.
            counters: Counts look-ups.
            settings: Deadlines and the own failure domain.
        """
        self._host = host
        self._forwarder = forwarder
        self._counters = counters
        self._settings = settings
        self._limit = ConcurrencyLimit(most=settings.threads - settings.threads // 4)
        self.stopping = False

    def mount(self, router: Router) -> None:
        """Mounts the handlers."""
        router.mount(ENTRIES_PATH, self.find_entries)
        router.mount_prefix(FORWARD_PREFIX, self.forward)
        router.mount_prefix(REQUESTS_PREFIX, self.find_request)

    def find_entries(self, request: WebRequest) -> WebResponse:
        """Answers which entry VMs a caller should use."""
        self._counters.count_lookup()
        if not self._host.is_ready:
            return verdict_response(not_ready())
        domain = self._domain_of(request)
        return WebResponse(200, _ENTRIES_HEADERS, self._host.find_entries(domain))

    async def forward(self, request: WebRequest) -> WebResponse:
        """Runs a caller's request and answers with its verdict."""
        service, path = split_service(request, FORWARD_PREFIX)
        info, forwarded = self.read_request(request, service, path)
        if not self._host.is_ready:
            return self._respond(self._host.refuse(info, not_ready()), info.request_id)
        ended = await self._limit.run(lambda: self._forwarder.run(info, forwarded))
        verdict = ended.verdict if ended else self._host.refuse(info, too_many())
        return self._respond(verdict, info.request_id)

    def find_request(self, request: WebRequest) -> WebResponse:
        """Answers how an earlier request ended, if its id is bound here."""
        request_id = request.path[len(REQUESTS_PREFIX) :]
        bound = RequestId.parse(request_id)
        if bound is None:
            raise BadRequestError(detail="the request id is not bound to an entry VM")
        own = self._host.membership.own
        if (bound.vm, bound.incarnation) != (own.vm, own.incarnation):
            detail = f"ask {bound.vm}; this is {own.vm}.{own.incarnation}"
            raise BadRequestError(detail=detail, status=421)
        with self._host.lock:
            verdict = self._host.steering.memory.find(bound)
        if verdict is None:
            raise BadRequestError(detail="the request is not known here", status=404)
        return self._respond(verdict, request_id)

    def read_request(
        self, request: WebRequest, service: str, path: str
    ) -> tuple[RequestInfo, HttpRequest]:
        """Returns what steering needs to know of a request, and what goes to a target.

        Raises:
            BadRequestError: If a header is malformed.
        """
        marks = request.headers
        repeatable = _read_flag(marks, headers.REPEATABLE)
        request_id = marks.get(headers.REQUEST_ID.lower(), "")
        if not request_id and repeatable:
            request_id = uuid.uuid4().hex
        if len(request_id) > _MAX_ID_LENGTH or not request_id.isprintable() or " " in request_id:
            raise BadRequestError(detail=f"{headers.REQUEST_ID} is too long or has blanks")
        customer = marks.get(headers.CUSTOMER.lower(), "unknown")
        if not customer.replace("-", "").replace("_", "").isalnum():
            raise BadRequestError(detail=f"{headers.CUSTOMER} must be letters, digits, - and _")
        info = RequestInfo(
            service=service,
            customer=customer[:_MAX_NAME_LENGTH],
            request_id=request_id,
            bound_id=RequestId.parse(request_id),
            repeatable=repeatable,
            first_send=_read_flag(marks, headers.FIRST_SEND),
            deadline=self._host.now + self._read_deadline_s(marks),
            fingerprint=hashing.fingerprint(
                request.method.encode(), service.encode(), path.encode("latin-1"), request.body
            ),
            size=len(request.body),
        )
        return info, _forwarded(request, path, info)

    def _read_deadline_s(self, marks: Mapping[str, str]) -> float:
        text = marks.get(headers.DEADLINE_MS.lower(), "")
        if not text:
            return self._settings.default_deadline_s
        if not text.isdecimal():
            raise BadRequestError(detail=f"{headers.DEADLINE_MS} must be whole milliseconds")
        return min(int(text) / 1000, self._settings.longest_deadline_s)

    def _domain_of(self, request: WebRequest) -> str:
        if request.query:
            wanted = parse_qs(request.query).get("failure_domain", [""])[0]
            if wanted in self._host.state.failure_domains:
                return wanted
            raise BadRequestError(detail=f"there is no failure domain {wanted!r}", status=404)
        return self._host.site_of(request.peer) or self._settings.failure_domain

    def _respond(self, verdict: Verdict, request_id: str) -> WebResponse:
        response = verdict_response(verdict, request_id=request_id)
        ticket = (headers.TICKET, str(self._host.state.number))
        return response._replace(headers=(*response.headers, ticket))


def not_ready() -> NotRun:
    """Returns the verdict while nothing is in force or siblings must be asked first."""
    return NotRun(Reason.NO_TICKET, 0.5, "this entry VM does not know what is in force yet")


def too_many() -> NotRun:
    """Returns the verdict while too many requests wait for targets or siblings."""
    detail = "too many requests are under way at this entry VM"
    return NotRun(Reason.NO_CAPACITY, random.uniform(0.5, 1.0), detail)


def split_service(request: WebRequest, prefix: str) -> tuple[str, str]:
    """Returns the service named in a path and the path that its target sees.

    Raises:
        BadRequestError: If the path names no service.
    """
    service, slash, rest = request.path[len(prefix) :].partition("/")
    if not service:
        raise BadRequestError(detail="the path names no service", status=404)
    path = slash + rest or "/"
    return service, f"{path}?{request.query}" if request.query else path


def _read_flag(marks: Mapping[str, str], name: str) -> bool:
    text = marks.get(name.lower(), "false")
    if text not in ("true", "false"):
        raise BadRequestError(detail=f"{name} must be true or false, not {text!r}")
    return bool(text == "true")


def _forwarded(request: WebRequest, path: str, info: RequestInfo) -> HttpRequest:
    kept = {name: value for name, value in request.headers.items() if name not in _DROPPED}
    kept[headers.REQUEST_ID] = info.request_id
    kept[headers.CUSTOMER] = info.customer
    return HttpRequest(request.method, path, kept, request.body, info.request_id)
