"""Messages that the decision core receives and actions that it returns.

Times are seconds on the host's monotonic clock.
"""

from typing import NamedTuple

from carawaybank.steering.deduplication import RequestId
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.targetstate import ProbeResult
from carawaybank.verdicts import Verdict


class RequestInfo(NamedTuple):
    """The properties of a request that steering uses.

    Attributes:
        service: The requested service.
        customer: The customer for whom it is sent.
        request_id: The id that the response must carry.
        bound_id: The id parsed as bound to an entry VM; None if it is not bound.
        repeatable: Whether the caller permits running it more than once.
        first_send: Whether the caller states that it never sent this id before.
        deadline: Time after which the caller cannot use a response.
        fingerprint: Digest of method, service, path and body.
        size: Size of its body in bytes.
    """

    service: str
    customer: str
    request_id: str
    bound_id: RequestId | None
    repeatable: bool
    first_send: bool
    deadline: float
    fingerprint: str
    size: int = 0


class RequestArrived(NamedTuple):
    """A request reached this entry VM.

    Attributes:
        key: Number by which the host identifies the request.
        request: The request.
        relayed: Whether a sibling sent it here to be run on an owned target.
        forwarded: Whether a sibling forwarded it here because its id is bound here.
        tried: Targets at which it has been attempted.
    """

    key: int
    request: RequestInfo
    relayed: bool = False
    forwarded: bool = False
    tried: tuple[str, ...] = ()


class AttemptEnded(NamedTuple):
    """A dispatch to a target ended.

    Attributes:
        key: The request.
        verdict: Verdict on this attempt.
        latency_s: Duration of the attempt in seconds.
        crashed: Whether the target was lost while it ran the request.
        may_linger: Whether the target may still be running the request.
        draining: Whether the target reported that it is leaving.
    """

    key: int
    verdict: Verdict
    latency_s: float
    crashed: bool = False
    may_linger: bool = False
    draining: bool = False


class RelayEnded(NamedTuple):
    """A relay to a sibling ended.

    Attributes:
        key: The request.
        vm: The sibling.
        verdict: The sibling's verdict; if none was received, the verdict on the call.
        tried: Targets that the sibling tried.
        free: Slots that the sibling has free for the service; None if unknown.
        size: Size of the response body in bytes.
    """

    key: int
    vm: str
    verdict: Verdict
    tried: tuple[str, ...] = ()
    free: int | None = None
    size: int = 0


class ProbeEnded(NamedTuple):
    """A probe of a target ended.

    Attributes:
        target: The target.
        result: State that it reported; ``UNREACHABLE`` if it did not respond.
        busy: Slots that it reports as busy; None if it does not report.
        latency_s: Duration of the probe in seconds.
    """

    target: str
    result: ProbeResult
    busy: int | None = None
    latency_s: float = 0.0


class CrashAnnounced(NamedTuple):
    """A crash report was sent to the siblings that could be reached."""

    key: int


Message = RequestArrived | AttemptEnded | RelayEnded | ProbeEnded | CrashAnnounced


class Dispatch(NamedTuple):
    """Send the request to a target.

    Attributes:
        key: The request.
        target: The target's name.
        address: Its ``IP:PORT``.
        deadline: Time by which the attempt must have ended.
        reuse_deadline: The deadline on a reused connection, which the peer may have dropped.
        fresh_connection: Whether a new connection must be opened for the attempt.
    """

    key: int
    target: str
    address: str
    deadline: float
    reuse_deadline: float
    fresh_connection: bool


class Relay(NamedTuple):
    """Send the request to a sibling, which runs it on a target that it owns.

    Attributes:
        key: The request.
        vm: The sibling.
        address: Its control address as ``IP:PORT``.
        deadline: Time by which the relay must have ended.
        tried: Targets at which the request has been attempted.
        fresh_connection: Whether a new connection must be opened for the relay.
    """

    key: int
    vm: str
    address: str
    deadline: float
    tried: tuple[str, ...]
    fresh_connection: bool


class ForwardToBoundVm(NamedTuple):
    """Forward the request to the entry VM that its id is bound to, and report its verdict.

    Attributes:
        key: The request.
        vm: The entry VM.
        address: Its control address as ``IP:PORT``.
        deadline: Time by which the call must have ended.
    """

    key: int
    vm: str
    address: str
    deadline: float


class AnnounceCrash(NamedTuple):
    """Send a crash report to the siblings; :class:`CrashAnnounced` must follow."""

    key: int
    report: CrashReport


class Finish(NamedTuple):
    """Return the verdict to the caller; the request has ended."""

    key: int
    verdict: Verdict


Action = Dispatch | Relay | ForwardToBoundVm | AnnounceCrash | Finish
