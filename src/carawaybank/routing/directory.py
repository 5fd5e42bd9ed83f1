"""The targets that an entry VM knows, by service and place."""

from carawaybank.routing.departures import Departures
from carawaybank.routing.fleet import Target, TargetEntry
from carawaybank.routing.placement import HashPool


class TargetDirectory:
    """Targets by service, without those that must not get requests."""

    def __init__(self) -> None:
        """Starts empty."""
        self._targets: dict[str, Target] = {}
        self._usable: dict[str, list[Target]] = {}
        self._pools = HashPool()
        self._evacuated: frozenset[str] = frozenset()
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
        return self._pools

    def find(self, target_id: str) -> Target | None:
        """Returns a target by its id."""
        return self._targets.get(target_id)

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get requests."""
        return self._usable.get(service, [])

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
            self._reindex()
            return True
        before = known.entry
        if not known.update(entry, now=now):
            return False
        changed = before._replace(sequence=0, cold_left_s=0) != known.entry._replace(
            sequence=0, cold_left_s=0
        )
        if changed:
            self._reindex()
        return changed

    def note_leaving(self, target: Target) -> bool:
        """Takes a target's own word that it is leaving; returns whether that was news."""
        entry = target.entry
        if entry.draining or self._targets.get(entry.target_id) is not target:
            return False
        self.departures.note(entry.target_id, entry.incarnation)
        target.entry = entry._replace(draining=True)
        self._reindex()
        return True

    def remove(self, target_id: str) -> bool:
        """Forgets a target; returns whether it was known."""
        if self._targets.pop(target_id, None) is None:
            return False
        self._reindex()
        return True

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Takes the failure domains that get no requests from now on."""
        self._evacuated = failure_domains
        self._reindex()

    def pool_name(self, service: str, region: str) -> str:
        """Returns the pool among which a region's entry VMs place objects by hash."""
        return f"{service}/{region}"

    def _reindex(self) -> None:
        self._usable = {}
        pools: dict[str, list[str]] = {}
        for target_id, target in sorted(self._targets.items()):
            entry = target.entry
            if entry.draining or entry.failure_domain in self._evacuated:
                continue
            self._usable.setdefault(entry.service, []).append(target)
            pools.setdefault(self.pool_name(entry.service, entry.region), []).append(target_id)
        self._pools.update({name: tuple(ids) for name, ids in pools.items()})
