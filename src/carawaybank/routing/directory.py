"""The targets that an entry VM knows, by service and place.

Load pattern: hundreds of targets, and a request every few milliseconds. What depends on all targets
of a service is worked out when they change, or at most twenty times a second.
"""

from typing import NamedTuple

from carawaybank.routing.departures import Departures
from carawaybank.routing.fleet import Target, TargetEntry
from carawaybank.routing.placement import HashPool

#: Seconds for which the room of a service is taken to be the same, although targets fail.
ROOM_AGE_S = 0.05


class Room(NamedTuple):
    """Slots of a service's targets that are in use.

    Attributes:
        by_region: Slots by region.
        by_domain: Slots by failure domain within each region.
        newcomers: Targets that joined lately and got nothing from this entry VM yet.
        counted_at: Monotonic seconds.
    """

    by_region: dict[str, int]
    by_domain: dict[str, dict[str, int]]
    newcomers: list[Target]
    counted_at: float


class TargetDirectory:
    """Targets by service, without those that must not get requests."""

    def __init__(self) -> None:
        """Starts empty."""
        self._targets: dict[str, Target] = {}
        self._usable: dict[str, list[Target]] = {}
        self._rooms: dict[str, Room] = {}
        self._pools = HashPool()
        self._evacuated: frozenset[str] = frozenset()
        self._is_indexed = True
        self.departures = Departures()
        #: Whether any request was routed yet.
        self.is_serving = False

    @property
    def all(self) -> dict[str, Target]:
        """All known targets by id."""
        return self._targets

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that get no requests."""
        return self._evacuated

    @property
    def pools(self) -> HashPool:
        """Preferred targets of objects."""
        self._index()
        return self._pools

    def find(self, target_id: str) -> Target | None:
        """Returns a target by its id."""
        return self._targets.get(target_id)

    def region_of(self, target_id: str) -> str:
        """Returns the region of a target; empty if it is not known any more."""
        target = self._targets.get(target_id)
        return target.entry.region if target else ""

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get requests."""
        self._index()
        return self._usable.get(service, [])

    def room(self, service: str, *, now: float) -> Room:
        """Returns the slots of a service that are in use."""
        self._index()
        room = self._rooms.get(service)
        if room is None or not 0 <= now - room.counted_at < ROOM_AGE_S:
            room = self._rooms[service] = self._count_room(service, now)
        return room

    def _count_room(self, service: str, now: float) -> Room:
        by_region: dict[str, int] = {}
        by_domain: dict[str, dict[str, int]] = {}
        newcomers = []
        for target in self.usable(service):
            if target.is_down:
                continue
            entry = target.entry
            by_region[entry.region] = by_region.get(entry.region, 0) + entry.slots
            domains = by_domain.setdefault(entry.region, {})
            domains[entry.failure_domain] = domains.get(entry.failure_domain, 0) + entry.slots
            if target.is_newcomer:
                newcomers.append(target)
        return Room(by_region, by_domain, newcomers, now)

    def update(self, entry: TargetEntry, *, now: float) -> bool:
        """Takes an announcement; returns whether it changed anything but its number."""
        if entry.draining:
            self.departures.note(entry.target_id, entry.incarnation)
        elif self.departures.has_left(entry.target_id, entry.incarnation):
            entry = entry._replace(draining=True)
        known = self._targets.get(entry.target_id)
        if known is None:
            target = Target(entry=entry, now=now, is_newcomer=self.is_serving)
            self._targets[entry.target_id] = target
            self._is_indexed = False
            return True
        before = known.entry
        if not known.update(entry, now=now):
            return False
        changed = before._replace(sequence=0, cold_left_s=0) != known.entry._replace(
            sequence=0, cold_left_s=0
        )
        if changed:
            self._is_indexed = False
        return changed

    def note_leaving(self, target: Target) -> bool:
        """Takes a target's own word that it is leaving; returns whether that was news."""
        entry = target.entry
        if entry.draining or self._targets.get(entry.target_id) is not target:
            return False
        self.departures.note(entry.target_id, entry.incarnation)
        target.entry = entry._replace(draining=True)
        self._is_indexed = False
        return True

    def remove(self, target_id: str) -> bool:
        """Forgets a target; returns whether it was known."""
        if self._targets.pop(target_id, None) is None:
            return False
        self._is_indexed = False
        return True

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Takes the failure domains that get no requests from now on."""
        self._evacuated = failure_domains
        self._is_indexed = False

    def pool_name(self, service: str, place: str) -> str:
        """Returns the pool of a service in a region or failure domain."""
        return f"{service}/{place}"

    def _index(self) -> None:
        """Sorts the targets into services and pools, once for all changes since the last time."""
        if self._is_indexed:
            return
        self._is_indexed = True
        self._usable = {}
        self._rooms = {}
        pools: dict[str, list[str]] = {}
        for target_id, target in sorted(self._targets.items()):
            entry = target.entry
            if entry.draining or entry.failure_domain in self._evacuated:
                continue
            self._usable.setdefault(entry.service, []).append(target)
            for place in {entry.region, entry.failure_domain}:
                pools.setdefault(self.pool_name(entry.service, place), []).append(target_id)
        self._pools.update({name: tuple(ids) for name, ids in pools.items()})
