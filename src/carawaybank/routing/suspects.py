"""Targets that may be down, collected until a check of their connections decides."""

from carawaybank.steering.quarantine import CrashReport


class SuspectedTargets:
    """Targets whose connection broke during a request, or at which a request timed out."""

    def __init__(self) -> None:
        """Starts without suspected targets."""
        self._crashes: list[CrashReport] = []
        self._timed_out: set[str] = set()

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
