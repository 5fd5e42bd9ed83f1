"""How callers and targets speak on the platform: headers, statuses and what they mean."""

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import HttpCall
from carawaybank.headers import CONNECTION
from carawaybank.replies import Headers, HttpReply
from carawaybank.routing.fleet import LoadReport
from carawaybank.routing.messages import Request
from carawaybank.steering import hashing
from carawaybank.targets.checks import Health
from carawaybank.targets.sender import TargetReply
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

_REQUEST_ID = "X-Carawaybank-Request-Id"
_AFFINITY_KEY = "X-Carawaybank-Affinity-Key"
#: How long the caller waits from now on, not a time of day.
_DEADLINE_MS = "X-Carawaybank-Deadline-Ms"
_EXPECT_INSTANCE = "X-Carawaybank-Expect-Instance"
_INSTANCE_ID = "X-Carawaybank-Instance-Id"
#: Proof that the body comes whole from a target.
_SEAL = "X-Carawaybank-Server-Seal"
_NOT_RUN = "X-Carawaybank-Not-Run"
#: ``running,waiting,slots``.
_SERVER_LOAD = "X-Carawaybank-Server-Load"
_COLD_MS = "X-Carawaybank-Cold-Ms"
#: In all answers of a target that leaves, whatever its entry in the store says.
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"

_CONNECTION_HEADERS = CONNECTION | {"expect"}
_OWN_HEADERS = frozenset({_DEADLINE_MS.lower(), _EXPECT_INSTANCE.lower()})
_MISDIRECTED = 421
_UNAVAILABLE = 503
#: Longest pause in seconds that a target may ask for; beyond it the header is taken for a mistake.
_LONGEST_PAUSE_S = 120.0
_SUCCESS = range(200, 300)


class PlatformDialect:
    """Speaks to targets of the platform."""

    def read_request(self, request: CallerRequest, *, key: int) -> Request:
        """Returns what routing needs to know of a caller's request."""
        budget = request.header(_DEADLINE_MS)
        host = request.header("host") or ""
        fingerprint = hashing.fingerprint(
            request.method.encode(), host.encode(), request.path.encode("latin-1"), request.body
        )
        return Request(
            key=key,
            request_id=request.header(_REQUEST_ID) or "",
            host=host,
            path=request.path,
            object_key=request.header(_AFFINITY_KEY) or "",
            fingerprint=fingerprint,
            budget_s=max(0, int(budget)) / 1000 if budget and budget.isdigit() else None,
        )

    def forward(self, request: CallerRequest) -> HttpCall:
        """Returns the caller's request as it goes to any target."""
        named = {
            token.strip().lower()
            for token in (request.header("connection") or "").split(",")
            if token
        }
        dropped = _CONNECTION_HEADERS | _OWN_HEADERS | named
        headers = [(name, value) for name, value in request.headers if name not in dropped]
        echo = (_REQUEST_ID, request.header(_REQUEST_ID) or "")
        return HttpCall(request.method, request.path, headers, request.body, echo)

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Returns the headers of an answer that no target gave."""
        headers = [("content-type", "text/plain")]
        if request_id:
            headers.append((_REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((_RETRY_AFTER, f"{retry_after_s:.2f}"))
        return headers

    def health_call(self, path: str, *, address: str) -> HttpCall:
        """Returns a health check of a target."""
        return HttpCall("GET", path, [("Host", address)])

    def read_health(self, reply: HttpReply) -> Health:
        """Returns what a target says of itself in a health check."""
        cold_ms = reply.header(_COLD_MS) or "0"
        return Health(
            is_healthy=reply.status == 200,
            target_id=reply.header(_INSTANCE_ID) or "",
            cold_left_s=int(cold_ms) / 1000 if cold_ms.isdigit() else 0.0,
            is_leaving=reply.header(_LEAVING) == "1",
        )

    def encode(self, call: HttpCall, *, target_id: str, left_s: float) -> HttpCall:
        """Returns the call with the time left and the target that must run it."""
        headers = [
            *call.headers,
            (_DEADLINE_MS, str(max(1, int(left_s * 1000)))),
            (_EXPECT_INSTANCE, target_id),
        ]
        return call._replace(headers=headers)

    def decode(self, call: HttpCall, reply: HttpReply) -> TargetReply:
        """Returns what an answer means."""
        load = read_load(reply)
        if reply.status == _MISDIRECTED:
            verdict = NotRun(Reason.NOT_OWNER, 0.0, "another target has the address")
            return TargetReply(verdict, load, other_target=True)
        leaving = reply.header(_LEAVING) == "1"
        pause_s = read_pause(reply)
        if reply.header(_NOT_RUN) is not None:
            shed = NotRun(Reason.TARGET_SHED, pause_s or 0.5, "the target is full")
            return TargetReply(shed, load, leaving=leaving, pause_s=pause_s)
        problem = _find_problem(call, reply)
        if problem is not None:
            return TargetReply(problem, load, leaving=leaving, pause_s=pause_s)
        headers = tuple(
            (name, value) for name, value in reply.headers if name not in _CONNECTION_HEADERS
        )
        answer = Answered(reply.status, headers, reply.body)
        return TargetReply(answer, load, leaving=leaving, pause_s=pause_s)


def read_load(reply: HttpReply) -> LoadReport | None:
    """Returns the load that an answer reports, or None if it reports none that can be read."""
    parts = (reply.header(_SERVER_LOAD) or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)


def read_pause(reply: HttpReply) -> float:
    """Returns the seconds for which a target that turned a request away wants nothing more."""
    if reply.status != _UNAVAILABLE:
        return 0.0
    try:
        pause_s = float(reply.header(_RETRY_AFTER) or 0.0)
    except ValueError:
        return 0.0
    return pause_s if 0.0 < pause_s <= _LONGEST_PAUSE_S else 0.0


def _find_problem(call: HttpCall, reply: HttpReply) -> MayHaveRun | None:
    """Returns why an answer cannot be the target's answer to the call."""
    _, request_id = call.echo
    echoed = reply.header(_REQUEST_ID)
    if request_id and echoed is not None and echoed != request_id:
        return MayHaveRun(Reason.ANSWER_CROSSED, 1.0, "the answer carries another request's id")
    if reply.status in _SUCCESS and reply.header(_SEAL) is None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "a success without the target's seal")
    if reply.status in _SUCCESS and request_id and echoed is None:
        return MayHaveRun(Reason.ANSWER_CROSSED, 1.0, "a success without a request id")
    if reply.header("content-encoding") is not None:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "the body is encoded")
    return None
