"""Whether this entry VM has lost its paths to all targets of a service.

Load pattern: one VM, most VMs of a failure domain or all of them lose every path to targets for
seconds, while callers, siblings and the store still reach them. Connections hang, are reset, or
stay usable while new ones fail. The VM cannot tell this from the loss of all targets by itself:
only a sibling that reached the same targets meanwhile shows that the VM is the one cut off. Two
targets must be reached over new connections before a path counts as restored, so that a link that
fails again at once does not switch the VM back and forth.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Seconds without any response of a service after which failed attempts may mean a lost path.
MIN_SILENCE_S = 0.4
#: Distinct targets that failed since the last one was reached for the path to be suspected, and
#: for it to be considered lost once a sibling confirms that targets are reachable.
SUSPECT_FAILURES = 2
LOST_FAILURES = 4
#: Seconds by which a sibling's success must be later than the first failure here: targets that end
#: together do not end at exactly the same moment.
MIN_EVIDENCE_S = 0.1
#: Distinct targets that checks must reach for a lost path to count as restored.
RESTORED_TARGETS = 2
#: Seconds between checks of a suspected or lost path.
CHECK_INTERVAL_S = 0.5


class PathChange(NamedTuple):
    """The loss or the return of the paths to a service's targets.

    Attributes:
        service: Name of the service.
        is_lost: Whether the paths were lost; otherwise they were restored.
        sibling: The sibling that reached targets meanwhile; empty for a return.
        evidence_age_s: Seconds since it reached one.
        lost_s: Seconds for which the paths were lost; 0 for a loss.
    """

    service: str
    is_lost: bool
    sibling: str = ""
    evidence_age_s: float = 0.0
    lost_s: float = 0.0


class _Path:
    """The paths from this VM to the targets of one service."""

    def __init__(self) -> None:
        self.reached_at = float("-inf")
        self.failed: set[str] = set()
        self.failing_since = 0.0
        self.lost_since: float | None = None
        self.unreachable_since: float | None = None
        self.checked_at = float("-inf")
        self.checked_targets: set[str] = set()

    def record_reached(self, now: float) -> None:
        self.reached_at = now
        self.failed.clear()


class Reachability:
    """The paths from this VM to the targets of each service.

    >>> paths = Reachability()
    >>> for target in "abcd":
    ...     paths.record_failure("s", target, now=1.0)
    >>> paths.apply_evidence("s", sibling="vm-2", age_s=0.2, target_count=9, now=2.0)
    True
    >>> paths.is_lost("s")
    True
    """

    def __init__(self) -> None:
        """Starts with no path known to be lost."""
        self._paths: dict[str, _Path] = {}
        self._changes: list[PathChange] = []

    @property
    def lost_services(self) -> frozenset[str]:
        """Services of which no target can be reached."""
        return frozenset(name for name, path in self._paths.items() if path.lost_since is not None)

    def is_lost(self, service: str) -> bool:
        """Returns whether this VM has lost its paths to all targets of a service."""
        path = self._paths.get(service)
        return path is not None and path.lost_since is not None

    def failing_since(self, service: str) -> float:
        """Returns the time of the first failure since a target of the service was reached."""
        return self._path(service).failing_since

    def reached_age_s(self, service: str, *, now: float) -> float | None:
        """Returns the seconds since a target of a service was reached; None if it never was."""
        path = self._paths.get(service)
        if path is None or path.reached_at == float("-inf"):
            return None
        return now - path.reached_at

    def record_reached(self, service: str, *, now: float) -> None:
        """Records a response, or a new connection, of a target."""
        self._path(service).record_reached(now)

    def record_failure(self, service: str, target_id: str, *, now: float) -> None:
        """Records a target that could not be reached."""
        path = self._path(service)
        if not path.failed and path.lost_since is None:
            path.failing_since = now
        path.failed.add(target_id)

    def is_suspect(self, service: str, *, target_count: int, now: float) -> bool:
        """Returns whether targets should be checked because the path may be lost.

        Args:
            service: Name of the service.
            target_count: Number of its targets that may get requests.
            now: Current time in monotonic seconds.
        """
        return self._has_failed(service, min(SUSPECT_FAILURES, target_count), now)

    def is_isolated(self, service: str, *, target_count: int, now: float) -> bool:
        """Returns whether enough targets failed for a sibling's evidence to decide."""
        return self._has_failed(service, min(LOST_FAILURES, target_count), now)

    def try_check(self, service: str, *, now: float) -> bool:
        """Returns whether a suspected or lost path may be checked now, and records the check."""
        path = self._path(service)
        if now - path.checked_at < CHECK_INTERVAL_S:
            return False
        path.checked_at = now
        return True

    def apply_evidence(
        self, service: str, *, sibling: str, age_s: float, target_count: int, now: float
    ) -> bool:
        """Applies a sibling's statement that it reached a target; returns whether the path is lost.

        Args:
            service: Name of the service.
            sibling: Name of the sibling.
            age_s: Seconds since it reached a target.
            target_count: Number of targets of the service that may get requests.
            now: Current time in monotonic seconds.
        """
        path = self._path(service)
        if path.lost_since is not None:
            return True
        if not self.is_isolated(service, target_count=target_count, now=now):
            return False
        if now - age_s <= max(path.reached_at, path.failing_since + MIN_EVIDENCE_S):
            return False
        path.lost_since = now
        path.checked_targets.clear()
        self._changes.append(PathChange(service, True, sibling, age_s))
        return True

    def record_unreachable(self, service: str, *, is_unreachable: bool, now: float) -> None:
        """Records whether all targets of a service are down, for whatever cause.

        Without a sibling's evidence the paths do not count as lost, but their return is detected by
        the same checks.
        """
        path = self._path(service)
        if not is_unreachable:
            path.unreachable_since = None
        elif path.unreachable_since is None:
            path.unreachable_since = now
            path.checked_targets.clear()

    def record_check(self, service: str, target_id: str, *, target_count: int, now: float) -> bool:
        """Records a target that a check reached; returns whether the path is restored."""
        path = self._path(service)
        path.record_reached(now)
        since = path.unreachable_since if path.lost_since is None else path.lost_since
        if since is None:
            return False
        path.checked_targets.add(target_id)
        if len(path.checked_targets) < min(RESTORED_TARGETS, target_count):
            return False
        path.lost_since = path.unreachable_since = None
        self._changes.append(PathChange(service, False, lost_s=now - since))
        return True

    def retain(self, services: Iterable[str]) -> None:
        """Drops what is known of all other services."""
        kept = set(services)
        self._paths = {name: path for name, path in self._paths.items() if name in kept}

    def pop_changes(self) -> list[PathChange]:
        """Returns and clears the losses and returns since the last call."""
        popped, self._changes = self._changes, []
        return popped

    def _has_failed(self, service: str, count: int, now: float) -> bool:
        path = self._paths.get(service)
        if path is None or not count:
            return False
        return len(path.failed) >= count and now - path.reached_at >= MIN_SILENCE_S

    def _path(self, service: str) -> _Path:
        return self._paths.setdefault(service, _Path())
