"""How far a request has come."""

from carawaybank.steering.messages import RequestInfo
from carawaybank.steering.standing import TargetStanding
from carawaybank.verdicts import MayHaveRun, Reason, Verdict


class RequestProgress:
    """The attempts of one request so far.

    Attributes:
        key: Number by which the host knows the request.
        request: The request.
        relayed: Whether a sibling sent it here.
        tried: Targets that it has been at, here and at siblings.
        relayed_to: Siblings that it was sent to.
        passed_to: Entry VM that its id is bound to, if it went there.
        bound: Whether its id is recorded in the memory of this process.
        shift: Shift of which it holds a unit.
        far_region: Region that it was sent to, if another.
        last: Verdict of the latest attempt.
        ambiguous: Verdict of an attempt that may have run; the request can then no longer end
            as not run.
        reason: Why there was no room when last looked for.
    """

    def __init__(
        self, *, key: int, request: RequestInfo, relayed: bool, tried: tuple[str, ...]
    ) -> None:
        """Starts before the first attempt."""
        self.key = key
        self.request = request
        self.relayed = relayed
        self.tried = tried
        self.relayed_to: set[str] = set()
        self.passed_to: str | None = None
        self.bound = False
        self.shift: str | None = None
        self.far_region: str | None = None
        self.last: Verdict | None = None
        self.ambiguous: MayHaveRun | None = None
        self.reason = Reason.NO_CAPACITY
        self._standing: TargetStanding | None = None

    def note(self, verdict: Verdict) -> None:
        """Records the verdict of an attempt."""
        self.last = verdict
        if isinstance(verdict, MayHaveRun):
            self.ambiguous = verdict

    def begin_attempt(self, target: str, standing: TargetStanding) -> None:
        """Records a dispatch to a target."""
        self.tried = (*self.tried, target)
        self._standing = standing

    def end_attempt(self) -> TargetStanding:
        """Returns the standing of the target whose attempt ended.

        Raises:
            LookupError: If no attempt was under way.
        """
        if self._standing is None:
            raise LookupError(self.key)
        standing = self._standing
        self._standing = None
        return standing
