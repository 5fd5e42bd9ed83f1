"""Progress of one request through its attempts."""

from carawaybank.steering.messages import RequestInfo
from carawaybank.steering.targetstate import TargetState
from carawaybank.verdicts import MayHaveRun, Reason, Verdict


class RequestProgress:
    """The attempts made so far for one request.

    Attributes:
        key: Number by which the host identifies the request.
        request: The request.
        relayed: Whether a sibling sent it here to be run on an owned target.
        tried_targets: Targets at which it has been attempted, here and at siblings.
        relayed_to: Siblings to which it was relayed.
        forwarded_to: Entry VM to which it was forwarded because its id is bound there.
        is_id_recorded: Whether its id is recorded in the request memory of this process.
        held_shift: Shift of which it currently holds a unit.
        remote_region: Other region to which it is currently relayed.
        last_verdict: Verdict of the latest attempt.
        uncertain_verdict: Verdict of the latest attempt that may have run. Once it is set, the
            request can no longer end as not run.
        refusal_reason: Why the latest search for a target found none.
    """

    def __init__(
        self, *, key: int, request: RequestInfo, relayed: bool, tried_targets: tuple[str, ...]
    ) -> None:
        """Starts before the first attempt."""
        self.key = key
        self.request = request
        self.relayed = relayed
        self.tried_targets = tried_targets
        self.relayed_to: set[str] = set()
        self.forwarded_to: str | None = None
        self.is_id_recorded = False
        self.held_shift: str | None = None
        self.remote_region: str | None = None
        self.last_verdict: Verdict | None = None
        self.uncertain_verdict: MayHaveRun | None = None
        self.refusal_reason = Reason.NO_CAPACITY
        self._target_state: TargetState | None = None

    def record_verdict(self, verdict: Verdict) -> None:
        """Records the verdict of an attempt."""
        self.last_verdict = verdict
        if isinstance(verdict, MayHaveRun):
            self.uncertain_verdict = verdict

    def begin_attempt(self, target: str, target_state: TargetState) -> None:
        """Records a dispatch to a target."""
        self.tried_targets = (*self.tried_targets, target)
        self._target_state = target_state

    def end_attempt(self) -> TargetState:
        """Ends the current attempt; returns the state of the target that it used.

        Raises:
            LookupError: If no attempt is in progress.
        """
        if self._target_state is None:
            raise LookupError(self.key)
        target_state = self._target_state
        self._target_state = None
        return target_state
