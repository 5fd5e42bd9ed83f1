"""The targets that an entry VM knows, by service and locality.

Load pattern: hundreds of targets, and a request every few milliseconds. Values that depend on all
targets of a service are recomputed only when the targets change, or at most twenty times a second.
"""

from typing import NamedTuple

from carawaybank.routing.departures import Departures
from carawaybank.routing.estimates import RendezvousPools
from carawaybank.routing.pace import TargetPace
from carawaybank.routing.target import Target, TargetEntry

#: Seconds for which slot counts are reused although targets may fail or recover meanwhile.
SLOT_COUNT_MAX_AGE_S = 0.05


class SlotCounts(NamedTuple):
    """Slots of a service's targets that may get requests and are not down.

    Attributes:
        by_region: Slots by region.
        by_domain: Slots by failure domain within each region.
        new_targets: Targets that joined recently and that this entry VM has not sent a request.
        down: Slots of the targets that may get requests but are down.
        counted_at: Time of the count in monotonic seconds.
    """

    by_region: dict[str, int]
    by_domain: dict[str, dict[str, int]]
    new_targets: list[Target]
    down: int
    counted_at: float


class TargetDirectory:
    """The known targets, indexed by service without those that must not get requests."""

    def __init__(self, *, paces_returns: bool = False) -> None:
        """Creates a directory without targets.

        Args:
            paces_returns: Whether targets that start or recover get their objects back at a pace.
        """
        #: The shares of their objects that returning targets get.
        self.pace = TargetPace(is_enabled=paces_returns)
        self._targets: dict[str, Target] = {}
        self._eligible_targets: dict[str, list[Target]] = {}
        self._slot_counts: dict[str, SlotCounts] = {}
        self._pools = RendezvousPools()
        self._evacuated: frozenset[str] = frozenset()
        self._is_indexed = True
        self.departures = Departures()
        #: Whether this entry VM has routed a request; targets that join later count as new.
        self.has_routed_requests = False

    @property
    def by_id(self) -> dict[str, Target]:
        """All known targets by id."""
        return self._targets

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that get no requests."""
        return self._evacuated

    @property
    def pools(self) -> RendezvousPools:
        """The order of preference in which objects use the targets, by pool."""
        self._index()
        return self._pools

    def find(self, target_id: str) -> Target | None:
        """Returns a target by its id, or None if it is not known."""
        return self._targets.get(target_id)

    def region_of(self, target_id: str) -> str:
        """Returns the region of a target, or an empty string if it is no longer known."""
        target = self._targets.get(target_id)
        return target.entry.region if target else ""

    def eligible_targets(self, service: str) -> list[Target]:
        """Returns the targets of a service that are neither draining nor evacuated."""
        self._index()
        return self._eligible_targets.get(service, [])

    @property
    def services(self) -> list[str]:
        """The services of which any target may get requests."""
        self._index()
        return list(self._eligible_targets)

    def slot_counts(self, service: str, *, now: float) -> SlotCounts:
        """Returns the slot counts of a service, at most ``SLOT_COUNT_MAX_AGE_S`` old."""
        self._index()
        counts = self._slot_counts.get(service)
        if counts is None or not 0 <= now - counts.counted_at < SLOT_COUNT_MAX_AGE_S:
            counts = self._slot_counts[service] = self._count_slots(service, now)
        return counts

    def _count_slots(self, service: str, now: float) -> SlotCounts:
        by_region: dict[str, int] = {}
        by_domain: dict[str, dict[str, int]] = {}
        new_targets = []
        down = 0
        for target in self.eligible_targets(service):
            entry = target.entry
            if target.is_down:
                down += entry.slots
                continue
            by_region[entry.region] = by_region.get(entry.region, 0) + entry.slots
            domains = by_domain.setdefault(entry.region, {})
            domains[entry.failure_domain] = domains.get(entry.failure_domain, 0) + entry.slots
            if target.is_new:
                new_targets.append(target)
        return SlotCounts(by_region, by_domain, new_targets, down, now)

    def update(self, entry: TargetEntry, *, now: float) -> bool:
        """Applies an announcement of a target.

        Returns:
            Whether the target is new, or a field other than the sequence number and the cold time
            changed.
        """
        if entry.draining:
            self.departures.record(entry.target_id, entry.incarnation)
        elif self.departures.has_left(entry.target_id, entry.incarnation):
            entry = entry._replace(draining=True)
        known = self._targets.get(entry.target_id)
        if known is None:
            target = Target(entry=entry, now=now, is_new=self.has_routed_requests)
            self._targets[entry.target_id] = target
            self._is_indexed = False
            return True
        previous = known.entry
        if not known.update(entry, now=now):
            return False
        changed = previous._replace(sequence=0, cold_left_s=0) != known.entry._replace(
            sequence=0, cold_left_s=0
        )
        if changed:
            self._is_indexed = False
        return changed

    def record_departure(self, target: Target) -> bool:
        """Marks a target as draining because it announced its departure in a response.

        Returns:
            Whether the target is known and was not draining before.
        """
        entry = target.entry
        self.departures.record(entry.target_id, entry.incarnation)
        known = self.find_again(target)
        if known is None or known.entry.draining:
            return False
        known.entry = known.entry._replace(draining=True)
        self._is_indexed = False
        return True

    def find_again(self, target: Target) -> Target | None:
        """Returns the state of a target whose entry may have been lost and come back meanwhile.

        The result is None if it is not known, or has started again.
        """
        known = self._targets.get(target.entry.target_id)
        if known is None or known.entry.incarnation != target.entry.incarnation:
            return None
        return known

    def remove(self, target_id: str) -> bool:
        """Removes a target; returns whether it was known."""
        if self._targets.pop(target_id, None) is None:
            return False
        self._is_indexed = False
        return True

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Replaces the set of failure domains whose targets get no requests."""
        self._evacuated = failure_domains
        self._is_indexed = False

    def pool_name(self, service: str, locality: str) -> str:
        """Returns the name of the pool of a service in a region or failure domain."""
        return f"{service}/{locality}"

    def _index(self) -> None:
        """Rebuilds the lists and pools of targets if any target changed since the last call."""
        if self._is_indexed:
            return
        self._is_indexed = True
        self._eligible_targets = {}
        self._slot_counts = {}
        pools: dict[str, list[str]] = {}
        for target_id, target in sorted(self._targets.items()):
            entry = target.entry
            if entry.draining or entry.failure_domain in self._evacuated:
                continue
            self._eligible_targets.setdefault(entry.service, []).append(target)
            for locality in {entry.region, entry.failure_domain}:
                pools.setdefault(self.pool_name(entry.service, locality), []).append(target_id)
        self._pools.update({name: tuple(ids) for name, ids in pools.items()})
