"""Targets that may be down, collected until a check of their connections decides."""

from collections import OrderedDict
from typing import NamedTuple

from carawaybank.routing.target import Target
from carawaybank.steering.quarantine import CrashReport

#: Maximum number of runs that are remembered whose end this VM does not see.
_MAX_UNFINISHED = 2_000


class UnfinishedRun(NamedTuple):
    """A run of a request whose end this VM does not see: its caller left, or its time was over.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: The target, which may go on with it.
        incarnation: Start of the target that the request was sent to.
        until: Time in monotonic seconds from which a crash is no longer attributed to the run.
    """

    fingerprint: str
    target: Target
    incarnation: int
    until: float

    @property
    def key(self) -> tuple[str, str, int]:
        """The request, the target and its start, whatever the number of runs."""
        return self.fingerprint, self.target.entry.target_id, self.incarnation


class SuspectedTargets:
    """Targets whose connection broke during a request, or at which a request timed out."""

    def __init__(self) -> None:
        """Starts without suspected targets."""
        self._crashes: list[CrashReport] = []
        self._timed_out: set[str] = set()
        self._unfinished: OrderedDict[tuple[str, str, int], UnfinishedRun] = OrderedDict()

    def record_unfinished(self, run: UnfinishedRun) -> None:
        """Records a run that a crash of its target within a time is attributed to."""
        known = self._unfinished.pop(run.key, run)
        self._unfinished[run.key] = run._replace(until=max(run.until, known.until))
        if len(self._unfinished) > _MAX_UNFINISHED:
            self._unfinished.popitem(last=False)

    def unfinished(self, *, now: float) -> list[UnfinishedRun]:
        """Returns the runs whose time is not over, and forgets the others."""
        for key in [key for key, run in self._unfinished.items() if now > run.until]:
            del self._unfinished[key]
        return list(self._unfinished.values())

    def forget(self, run: UnfinishedRun) -> None:
        """Forgets a run that is reported, or whose target stopped as planned."""
        self._unfinished.pop(run.key, None)

    def record_crash(self, report: CrashReport) -> None:
        """Records a request whose connection broke and that may have crashed its target."""
        self._crashes.append(report)

    def record_timeout(self, target_id: str) -> None:
        """Records a target at which a request timed out."""
        self._timed_out.add(target_id)

    def pop_crashes(self) -> list[CrashReport]:
        """Returns and clears the requests whose connection broke.

        Whether the target crashed is not known yet: a check that it still accepts connections
        distinguishes a crash from a lost response.
        """
        popped, self._crashes = self._crashes, []
        return popped

    def pop_timed_out(self) -> set[str]:
        """Returns and clears the ids of the targets at which a request timed out.

        A target that lost power does not respond; a check that it still accepts connections
        distinguishes it from a slow one.
        """
        popped, self._timed_out = self._timed_out, set()
        return popped
