"""The HTTP conventions of the platform's callers and targets: headers, statuses, meanings."""

import re

import msgspec

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import HttpCall
from carawaybank.headers import CONNECTION_HEADERS
from carawaybank.replies import Headers, HttpReply
from carawaybank.routing.messages import Request
from carawaybank.routing.target import LoadReport
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.routing.tenants import digest_key
from carawaybank.steering import hashing
from carawaybank.targets.checks import Health
from carawaybank.targets.sender import TargetReply
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

_REQUEST_ID = "X-Carawaybank-Request-Id"
_AFFINITY_KEY = "X-Carawaybank-Affinity-Key"
#: Milliseconds from the arrival of the request for which the caller waits; not a time of day.
_DEADLINE_MS = "X-Carawaybank-Deadline-Ms"
_EXPECT_INSTANCE = "X-Carawaybank-Expect-Instance"
_INSTANCE_ID = "X-Carawaybank-Instance-Id"
#: Proves that a successful response comes complete from a target.
_SERVER_SEAL = "X-Carawaybank-Server-Seal"
_NOT_RUN = "X-Carawaybank-Not-Run"
#: Load of the target, as ``running,waiting,slots`` or ``running,waiting,slots,percent``. The last
#: field says how long work takes on the target's machine at this moment; 100 is usual.
_SERVER_LOAD = "X-Carawaybank-Server-Load"
_COLD_MS = "X-Carawaybank-Cold-Ms"
#: Set on all responses of a target that is shutting down, regardless of its row in the store.
_SERVER_LEAVING = "Server-Leaving"
#: Requests per second that the target takes from all entry VMs together, as a decimal number, for
#: as long as its responses contain it.
_SERVER_LIMIT = "Server-Limit"
#: A load report; other digits than those of ASCII, which ``int`` may reject, are invalid.
_LOAD = re.compile(r" *([0-9]{1,9}) *, *([0-9]{1,9}) *, *([0-9]{1,9}) *(?:,([^,]*))?")
_WHOLE = re.compile(r"[0-9]{1,12}")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?|\.[0-9]{1,9}")
_RETRY_AFTER = "Retry-After"
#: Name of the tenant that holds the request's key.
_TENANT = "X-Carawaybank-Tenant"
#: All spellings of this name with ``_`` for ``-``, which many servers treat alike.
_TENANT_HEADERS = frozenset(
    f"x{first}carawaybank{second}tenant" for first in "-_" for second in "-_"
)
_AUTHORIZATION = "authorization"
_IDENTITY_HEADERS = _TENANT_HEADERS | {_AUTHORIZATION}
_BEARER = "bearer"
#: A longer key is not looked up. Its digest would cost more than the rest of the decoding.
_MAX_KEY_CHARS = 1_024

_HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {"expect"}
_REPLACED_HEADERS = frozenset({_DEADLINE_MS.lower(), _EXPECT_INSTANCE.lower()})
_MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503
#: A longer pause in a Retry-After header is considered an error and ignored.
_MAX_PAUSE_S = 120.0
_SUCCESS_STATUSES = range(200, 300)


class PlatformDialect:
    """Translates between HTTP messages of the platform and the project's types."""

    def decode_request(self, request: CallerRequest, *, key: int) -> Request:
        """Returns the data of a caller's request that routing decides on.

        Args:
            request: The request as received.
            key: Number that identifies the request in this process.
        """
        deadline_ms = request.header(_DEADLINE_MS)
        host = request.header("host") or ""
        fingerprint = hashing.fingerprint(
            request.method.encode(), host.encode(), request.path.encode("latin-1"), request.body
        )
        return Request(
            key=key,
            request_id=request.header(_REQUEST_ID) or "",
            host=host,
            path=request.path,
            object_key=hashing.shorten(request.header(_AFFINITY_KEY) or ""),
            fingerprint=fingerprint,
            budget_s=max(0, int(deadline_ms)) / 1000
            if deadline_ms and _WHOLE.fullmatch(deadline_ms)
            else None,
            credential=read_credential(request.headers),
        )

    def make_forwarded_call(self, request: CallerRequest) -> HttpCall:
        """Returns the request to send to a target, without the headers for a specific one.

        Hop-by-hop headers and those that :meth:`encode` sets are removed. The API key is removed
        by :meth:`remove_identity`.
        """
        connection_options = {
            token.strip().lower()
            for token in (request.header("connection") or "").split(",")
            if token
        }
        removed = _HOP_BY_HOP_HEADERS | _REPLACED_HEADERS | connection_options
        headers = [(name, value) for name, value in request.headers if name not in removed]
        expected_echo = (_REQUEST_ID, request.header(_REQUEST_ID) or "")
        return HttpCall(request.method, request.path, headers, request.body, expected_echo)

    def remove_identity(self, call: HttpCall, *, has_tenants: bool) -> HttpCall:
        """Returns a call without what its sender states of its identity.

        Headers that a target may read as the tenant's name are removed.

        Args:
            call: A call of a caller or a sibling.
            has_tenants: Whether the ``Authorization`` header is for this entry VM, so that it is
                removed too. Without tenants it is for the target.
        """
        removed = _IDENTITY_HEADERS if has_tenants else _TENANT_HEADERS
        if removed.isdisjoint([name.lower() for name, _ in call.headers]):
            return call
        headers = [(name, value) for name, value in call.headers if name.lower() not in removed]
        return call._replace(headers=headers)

    def unauthorized_reply(self, request_id: str, detail: str) -> HttpReply:
        """Returns the response to a request without a valid API key.

        Args:
            request_id: Id of the request; empty if it has none.
            detail: A sentence for people.
        """
        headers = [("content-type", "application/json"), ("WWW-Authenticate", "Bearer")]
        if request_id:
            headers.append((_REQUEST_ID, request_id))
        return HttpReply(401, headers, msgspec.json.encode({"error": detail}))

    def request_id(self, request: CallerRequest) -> str:
        """Returns the id of a request; empty if it has none."""
        return request.header(_REQUEST_ID) or ""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Returns the headers of an error response that this entry VM sends itself.

        Args:
            request_id: Id of the request; empty if it has none.
            retry_after_s: Seconds after which the caller may try again; None for no such header.
        """
        headers = [("content-type", "text/plain")]
        if request_id:
            headers.append((_REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((_RETRY_AFTER, f"{retry_after_s:.2f}"))
        return headers

    def encode_health(self, path: str, *, address: str) -> HttpCall:
        """Returns the request of a health check.

        Args:
            path: Path of the service's health check.
            address: ``IP:PORT`` of the target.
        """
        return HttpCall("GET", path, [("Host", address)])

    def decode_health(self, reply: HttpReply) -> Health:
        """Returns the state of a target according to its response to a health check."""
        cold_ms = reply.header(_COLD_MS) or "0"
        return Health(
            is_healthy=reply.status == 200,
            target_id=reply.header(_INSTANCE_ID) or "",
            cold_left_s=int(cold_ms) / 1000 if _WHOLE.fullmatch(cold_ms) else 0.0,
            is_draining=reply.header(_SERVER_LEAVING) == "1",
            limit=_read_named_limit(reply),
        )

    def encode(
        self, call: HttpCall, *, target_id: str, remaining_s: float, tenant: str = ""
    ) -> HttpCall:
        """Returns the call with the headers for a specific target.

        Args:
            call: The request from :meth:`remove_identity`.
            target_id: Id of the target; another target at the same address rejects the call.
            remaining_s: Seconds until the deadline.
            tenant: Name of the request's tenant; empty if it has none.
        """
        headers = [
            *call.headers,
            (_DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
            (_EXPECT_INSTANCE, target_id),
        ]
        if tenant:
            # Heads are written in Latin-1; this writes the name in UTF-8.
            headers.append((_TENANT, tenant.encode().decode("latin-1")))
        return call._replace(headers=headers)

    def is_refusal(self, reply: HttpReply) -> bool:
        """Returns whether a response promises that its request has not run."""
        return reply.status == _MISDIRECTED_REQUEST or reply.header(_NOT_RUN) is not None

    def decode(self, call: HttpCall, reply: HttpReply) -> TargetReply:
        """Returns the verdict and the target's state according to its response to a call."""
        load = read_load(reply)
        if reply.status == _MISDIRECTED_REQUEST:
            verdict = NotRun(Reason.NOT_OWNER, 0.0, "another target has the address")
            return TargetReply(verdict, load, address_reused=True)
        is_draining = reply.header(_SERVER_LEAVING) == "1"
        pause_s = read_pause_s(reply)
        if self.is_refusal(reply):
            shed = NotRun(Reason.TARGET_SHED, pause_s or 0.5, "the target is full")
            return TargetReply(
                shed,
                load,
                is_draining=is_draining,
                pause_s=pause_s,
                limit=_read_named_limit(reply),
            )
        invalid = _check_reply(call, reply)
        if invalid is not None:
            return TargetReply(invalid, load, is_draining=is_draining, pause_s=pause_s)
        headers = tuple(
            (name, value) for name, value in reply.headers if name not in _HOP_BY_HOP_HEADERS
        )
        answer = Answered(reply.status, headers, reply.body)
        seal = reply.header(_SERVER_SEAL)
        return TargetReply(
            answer,
            load,
            is_draining=is_draining,
            pause_s=pause_s,
            limit=_read_named_limit(reply) if seal is None else read_limit(reply),
        )


def read_credential(headers: Headers) -> str:
    """Returns the digest of the API key in a request's headers; empty if there is no usable key.

    Args:
        headers: Names in lower case, and values.
    """
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if len(values) != 1 or not values[0].isascii():
        return ""
    scheme, _, rest = values[0].strip().partition(" ")
    key = rest.strip()
    if scheme.lower() != _BEARER or not key or len(key) > _MAX_KEY_CHARS:
        return ""
    return digest_key(key)


def read_load(reply: HttpReply) -> LoadReport | None:
    """Returns the load report in a response, or None if it is missing or malformed.

    A fourth field that is not a positive number is ignored, since the other three are valid
    without it.
    """
    match = _LOAD.fullmatch(reply.header(_SERVER_LOAD) or "")
    if match is None:
        return None
    running, waiting, slots = (int(field) for field in match.group(1, 2, 3))
    percent = (match.group(4) or "").strip()
    machine_percent = float(percent) if _DECIMAL.fullmatch(percent) else 0.0
    return LoadReport(running, waiting, slots, machine_percent / 100 or None)


def read_limit(reply: HttpReply) -> LimitStatement:
    """Returns what a response says of the limit of its target.

    A value that is not a decimal number, or a second header, is a fault. A limit of 0 is valid.
    """
    values = [value.strip() for name, value in reply.headers if name == _SERVER_LIMIT.lower()]
    if not values:
        return LimitStatement()
    if len(values) > 1:
        return LimitStatement(fault=f"{len(values)} limits in one response")
    if not _DECIMAL.fullmatch(values[0]):
        return LimitStatement(fault=f"not a decimal number: {values[0][:40]!r}")
    return LimitStatement(float(values[0]))


def _read_named_limit(reply: HttpReply) -> LimitStatement | None:
    """Returns the limit in a response that does not end a limit by naming none.

    Health checks, refusals and failures that may come from another process do not show that the
    target takes more requests again.
    """
    statement = read_limit(reply)
    return statement if statement.rate is not None or statement.fault else None


def read_pause_s(reply: HttpReply) -> float:
    """Returns the seconds for which a target wants no requests.

    It is 0.0 unless the response has status 503 and a valid Retry-After header in seconds.
    """
    if reply.status != _SERVICE_UNAVAILABLE:
        return 0.0
    try:
        pause_s = float(reply.header(_RETRY_AFTER) or 0.0)
    except ValueError:
        return 0.0
    return pause_s if 0.0 < pause_s <= _MAX_PAUSE_S else 0.0


def _check_reply(call: HttpCall, reply: HttpReply) -> MayHaveRun | None:
    """Returns the verdict if a response is not a complete response to the call, else None."""
    _, request_id = call.expected_echo
    echoed = reply.header(_REQUEST_ID)
    if request_id and echoed is not None and echoed != request_id:
        return MayHaveRun(
            Reason.ANSWER_OF_ANOTHER_REQUEST, 1.0, "the answer carries another request's id"
        )
    if reply.status in _SUCCESS_STATUSES and reply.header(_SERVER_SEAL) is None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "a success without the target's seal")
    if reply.status in _SUCCESS_STATUSES and request_id and echoed is None:
        return MayHaveRun(Reason.ANSWER_OF_ANOTHER_REQUEST, 1.0, "a success without a request id")
    if reply.header("content-encoding") is not None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "the body is encoded")
    return None
