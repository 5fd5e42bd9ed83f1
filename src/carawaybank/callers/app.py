"""HTTP handlers for callers: look-ups, forwarding and outcomes of earlier requests."""

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
_UNFORWARDED_HEADERS = headers.HOP_BY_HOP_HEADERS | {
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
    """Handlers of the address that callers connect to.

    Attributes:
        stopping: Whether a planned stop has begun; connections close after their last response.
    """

    def __init__(
        self, *, host: Host, forwarder: Forwarder, counters: Counters, settings: Settings
    ) -> None:
        """Creates the handlers; :meth:`mount` registers them.

        Args:
            host: The decision core.
            forwarder: Runs requests until they have a verdict.
            counters: Counts look-ups.
            settings: Default and maximum deadline, failure domain of this entry VM, and number of
                threads, which bounds the concurrent requests.
        """
        self._host = host
        self._forwarder = forwarder
        self._counters = counters
        self._settings = settings
        self._limit = ConcurrencyLimit(max_running=settings.threads - settings.threads // 4)
        self.stopping = False

    def mount(self, router: Router) -> None:
        """Registers the handlers with a router."""
        router.mount(ENTRIES_PATH, self.find_entries)
        router.mount_prefix(FORWARD_PREFIX, self.forward)
        router.mount_prefix(REQUESTS_PREFIX, self.find_request)

    def find_entries(self, request: WebRequest) -> WebResponse:
        """Responds with the entry VMs that a caller should use.

        Raises:
            BadRequestError: If the request asks for an unknown failure domain.
        """
        self._counters.count_lookup()
        if not self._host.is_ready:
            return verdict_response(not_ready_verdict())
        failure_domain = self._find_failure_domain(request)
        return WebResponse(200, _ENTRIES_HEADERS, self._host.find_entries(failure_domain))

    async def forward(self, request: WebRequest) -> WebResponse:
        """Runs a caller's request and responds with its verdict.

        Raises:
            BadRequestError: If the path names no service or a header is malformed.
        """
        service, path = split_service(request, FORWARD_PREFIX)
        info, target_request = self.read_request(request, service, path)
        if not self._host.is_ready:
            return self._respond(self._host.refuse(info, not_ready_verdict()), info.request_id)
        result = await self._limit.run(lambda: self._forwarder.run(info, target_request))
        verdict = result.verdict if result else self._host.refuse(info, overloaded_verdict())
        return self._respond(verdict, info.request_id)

    def find_request(self, request: WebRequest) -> WebResponse:
        """Responds with the outcome of an earlier request whose id is bound to this entry VM.

        Raises:
            BadRequestError: If the id is not bound to an entry VM, is bound to another one (421),
                or is not known here (404).
        """
        request_id = request.path[len(REQUESTS_PREFIX) :]
        bound_id = RequestId.parse(request_id)
        if bound_id is None:
            raise BadRequestError(detail="the request id is not bound to an entry VM")
        own = self._host.membership.own
        if (bound_id.vm, bound_id.incarnation) != (own.vm, own.incarnation):
            detail = f"ask {bound_id.vm}; this is {own.vm}.{own.incarnation}"
            raise BadRequestError(detail=detail, status=421)
        with self._host.lock:
            verdict = self._host.steering.request_memory.find(bound_id)
        if verdict is None:
            raise BadRequestError(detail="the request is not known here", status=404)
        return self._respond(verdict, request_id)

    def read_request(
        self, request: WebRequest, service: str, path: str
    ) -> tuple[RequestInfo, HttpRequest]:
        """Returns the data that steering decides on, and the request to send to a target.

        Raises:
            BadRequestError: If a header is malformed.
        """
        request_headers = request.headers
        repeatable = _read_flag(request_headers, headers.REPEATABLE)
        request_id = request_headers.get(headers.REQUEST_ID.lower(), "")
        if not request_id and repeatable:
            request_id = uuid.uuid4().hex
        if len(request_id) > _MAX_ID_LENGTH or not request_id.isprintable() or " " in request_id:
            raise BadRequestError(detail=f"{headers.REQUEST_ID} is too long or has blanks")
        customer = request_headers.get(headers.CUSTOMER.lower(), "unknown")
        if not customer.replace("-", "").replace("_", "").isalnum():
            raise BadRequestError(detail=f"{headers.CUSTOMER} must be letters, digits, - and _")
        info = RequestInfo(
            service=service,
            customer=customer[:_MAX_NAME_LENGTH],
            request_id=request_id,
            bound_id=RequestId.parse(request_id),
            repeatable=repeatable,
            first_send=_read_flag(request_headers, headers.FIRST_SEND),
            deadline=self._host.now + self._read_deadline_s(request_headers),
            fingerprint=hashing.fingerprint(
                request.method.encode(), service.encode(), path.encode("latin-1"), request.body
            ),
            size=len(request.body),
        )
        return info, _make_target_request(request, path, info)

    def _read_deadline_s(self, request_headers: Mapping[str, str]) -> float:
        text = request_headers.get(headers.DEADLINE_MS.lower(), "")
        if not text:
            return self._settings.default_deadline_s
        if not text.isdecimal():
            raise BadRequestError(detail=f"{headers.DEADLINE_MS} must be whole milliseconds")
        return min(int(text) / 1000, self._settings.longest_deadline_s)

    def _find_failure_domain(self, request: WebRequest) -> str:
        if request.query:
            failure_domain = parse_qs(request.query).get("failure_domain", [""])[0]
            if failure_domain in self._host.state.failure_domains:
                return failure_domain
            raise BadRequestError(
                detail=f"there is no failure domain {failure_domain!r}", status=404
            )
        return self._host.site_of(request.peer) or self._settings.failure_domain

    def _respond(self, verdict: Verdict, request_id: str) -> WebResponse:
        response = verdict_response(verdict, request_id=request_id)
        ticket = (headers.TICKET, str(self._host.state.number))
        return response._replace(headers=(*response.headers, ticket))


def not_ready_verdict() -> NotRun:
    """Returns the verdict for requests that arrive before this entry VM is ready.

    It is ready once it has joined its siblings and a ticket is in force. After a suspension of the
    process it first has to verify its state with a sibling.
    """
    return NotRun(Reason.NO_TICKET, 0.5, "this entry VM does not know what is in force yet")


def overloaded_verdict() -> NotRun:
    """Returns the verdict for requests above the limit of concurrent requests.

    The retry delay is random, so that the callers do not return at the same time.
    """
    detail = "too many requests are under way at this entry VM"
    return NotRun(Reason.NO_CAPACITY, random.uniform(0.5, 1.0), detail)


def split_service(request: WebRequest, prefix: str) -> tuple[str, str]:
    """Returns the service named in a path, and the path and query to send to its target.

    Raises:
        BadRequestError: If the path names no service.
    """
    service, slash, remainder = request.path[len(prefix) :].partition("/")
    if not service:
        raise BadRequestError(detail="the path names no service", status=404)
    path = slash + remainder or "/"
    return service, f"{path}?{request.query}" if request.query else path


def _read_flag(request_headers: Mapping[str, str], name: str) -> bool:
    text = request_headers.get(name.lower(), "false")
    if text not in ("true", "false"):
        raise BadRequestError(detail=f"{name} must be true or false, not {text!r}")
    return bool(text == "true")


def _make_target_request(request: WebRequest, path: str, info: RequestInfo) -> HttpRequest:
    forwarded_headers = {
        name: value for name, value in request.headers.items() if name not in _UNFORWARDED_HEADERS
    }
    forwarded_headers[headers.REQUEST_ID] = info.request_id
    forwarded_headers[headers.CUSTOMER] = info.customer
    return HttpRequest(request.method, path, forwarded_headers, request.body, info.request_id)
