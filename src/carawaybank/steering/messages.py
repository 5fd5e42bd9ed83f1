"""Messages into the decision core and actions out of it.

Times are seconds on the host's monotonic clock.
"""

from typing import NamedTuple

from carawaybank.steering.deduplication import RequestId
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.standing import Health
from carawaybank.verdicts import Verdict


class RequestInfo(NamedTuple):
    """What steering needs to know of a request.

    Attributes:
        service: The service that it asks for.
        customer: The customer on whose behalf it is sent.
        request_id: The id that its answer must carry.
        bound_id: The id's binding to an entry VM, if it has one.
        repeatable: Whether the caller permits running it more than once.
        first_send: Whether the caller states that it never sent this id before.
        deadline: Time after which the answer is worthless.
        fingerprint: Digest of method, service, path and body.
        size: Bytes of its body.
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
        key: Number by which the host knows the request.
        request: The request.
        relayed: Whether a sibling sent it here to be run on an owned target.
        passed_on: Whether a sibling sent it here because its id is bound here.
        tried: Targets that it has been at.
    """

    key: int
    request: RequestInfo
    relayed: bool = False
    passed_on: bool = False
    tried: tuple[str, ...] = ()


class AttemptEnded(NamedTuple):
    """A dispatch to a target ended.

    Attributes:
        key: The request.
        verdict: What is known of the attempt.
        latency_s: Seconds that it took.
        crashed: Whether the target was lost while it ran the request.
        may_linger: Whether the target may still work on it.
        draining: Whether the target said that it is leaving.
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
        verdict: What is known of the attempt.
        tried: Targets that the sibling tried.
        free: Slots that the sibling has free for the service; None when unknown.
        size: Bytes of the answer's body.
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
        health: What it said, or that it said nothing.
        busy: Slots that it reports as busy; None if it does not report.
        latency_s: Seconds that the probe took.
    """

    target: str
    health: Health
    busy: int | None = None
    latency_s: float = 0.0


class CrashAnnounced(NamedTuple):
    """The siblings that could be reached have been told of a crash."""

    key: int


Message = RequestArrived | AttemptEnded | RelayEnded | ProbeEnded | CrashAnnounced


class Dispatch(NamedTuple):
    """Send the request to a target.

    Attributes:
        key: The request.
        target: The target's name.
        address: Its ``IP:PORT``.
        deadline: Time by which the attempt must have ended.
        reuse_deadline: The same on a reused connection, which may have gone silent.
        fresh_connection: Whether a connection must be opened for it.
    """

    key: int
    target: str
    address: str
    deadline: float
    reuse_deadline: float
    fresh_connection: bool


class Relay(NamedTuple):
    """Send the request to a sibling, which runs it on a target that it owns."""

    key: int
    vm: str
    address: str
    deadline: float
    tried: tuple[str, ...]
    fresh_connection: bool


class PassOn(NamedTuple):
    """Send the request to the entry VM that its id is bound to and return its verdict."""

    key: int
    vm: str
    address: str
    deadline: float


class AnnounceCrash(NamedTuple):
    """Tell the siblings of a crash; :class:`CrashAnnounced` follows."""

    key: int
    report: CrashReport


class Finish(NamedTuple):
    """Answer the caller."""

    key: int
    verdict: Verdict


Action = Dispatch | Relay | PassOn | AnnounceCrash | Finish
