"""What this entry VM owns: a pool of targets for each service, rebuilt when ownership changes."""

import random
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.steering.allowances import split
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.pools import Pool, PoolTarget, Weights
from carawaybank.steering.standing import ServiceLoad, TargetStanding
from carawaybank.steering.tickets import EMPTY, State


class _Known(NamedTuple):
    address: str
    standing: TargetStanding


class Holdings:
    """The owned targets, their standings and the pools made of them."""

    def __init__(
        self,
        *,
        cell: str,
        ownership: Ownership,
        released: Callable[[str], int],
        ramp_s: float,
        rng: random.Random,
    ) -> None:
        """Starts without targets.

        Args:
            cell: Cell of this entry VM.
            ownership: Who owns which target in the cell.
            released: Slots that former owners still use at a target.
            ramp_s: Seconds in which a cold target reaches its limit.
            rng: Source of draws.
        """
        self._cell = cell
        self._ownership = ownership
        self._released = released
        self._ramp_s = ramp_s
        self._rng = rng
        self._state = EMPTY
        self._known: dict[str, _Known] = {}
        self._loads: dict[str, ServiceLoad] = {}
        self._limits: dict[str, int] = {}
        self._pools: dict[str, Pool] = {}
        self._owned: set[str] = set()
        self._version = (-1, -1)

    @property
    def state(self) -> State:
        """The state in force."""
        return self._state

    def update(self, state: State, *, now: float) -> None:
        """Takes a new state; targets that it adds to a running system begin cold."""
        first = self._state.number == 0
        known: dict[str, _Known] = {}
        for name in self._own_cell_targets(state):
            target = state.targets[name]
            held = self._known.get(name)
            if held is None or held.address != target["address"]:
                load = self._loads.setdefault(target["service"], ServiceLoad())
                standing = TargetStanding(load=load, cold_since=None if first else now)
                held = _Known(target["address"], standing)
            known[name] = held
        self._known = known
        self._state = state
        self._limits = _limits(state)

    def standing(self, name: str) -> TargetStanding | None:
        """Returns what is known of a target of this cell."""
        known = self._known.get(name)
        return known.standing if known else None

    def pool(self, service: str, *, now: float) -> Pool:
        """Returns the owned targets of a service."""
        version = (self._state.number, self._ownership.version)
        if version != self._version:
            self._rebuild(now)
            self._version = version
        return self._pools.get(service) or self._pool(service, [])

    def owned(self, *, now: float) -> list[PoolTarget]:
        """Returns all owned targets."""
        return [t for service in self._state.services for t in self.pool(service, now=now).targets]

    def released(self) -> dict[str, int]:
        """Returns slots still in use at targets that others own now."""
        return {
            name: known.standing.in_use
            for name, known in self._known.items()
            if known.standing.in_use and not self._ownership.owns(name)
        }

    def expire(self, now: float) -> None:
        """Returns lingering slots whose time has passed."""
        for known in self._known.values():
            known.standing.expire_lingering(now)

    def standings(self) -> dict[str, TargetStanding]:
        """Returns the standings of the cell's targets by name."""
        return {name: known.standing for name, known in self._known.items()}

    def _own_cell_targets(self, state: State) -> list[str]:
        return [name for name in state.targets if state.cell_of_target(name) == self._cell]

    def _rebuild(self, now: float) -> None:
        by_service: dict[str, list[PoolTarget]] = {}
        owned: set[str] = set()
        for name, known in self._known.items():
            target = self._state.targets[name]
            if target.get("state", "active") != "active" or not self._ownership.owns(name):
                continue
            owned.add(name)
            if name not in self._owned:
                known.standing.take_over(now)
            limit = self._limits.get(name, 0)
            if limit:
                entry = PoolTarget(name, known.address, limit)
                by_service.setdefault(target["service"], []).append(entry)
        self._owned = owned
        self._pools = {s: self._pool(s, targets) for s, targets in by_service.items()}

    def _pool(self, service: str, targets: list[PoolTarget]) -> Pool:
        document = self._state.services.get(service, {})
        weights = Weights(
            document.get("latency_weight", 1.0),
            document.get("headroom_weight", 1.0),
        )
        return Pool(
            targets=targets,
            standings=self.standings(),
            load=self._loads.setdefault(service, ServiceLoad()),
            weights=weights,
            ramp_s=self._ramp_s,
            released=self._released,
            rng=self._rng,
        )


def _limits(state: State) -> dict[str, int]:
    """Returns the slots of each target that steering may fill, by the region's utilisation."""
    groups: dict[tuple[str, str], dict[str, int]] = {}
    for name, target in state.targets.items():
        if target.get("state", "active") != "active":
            continue
        region = state.region_of(target["failure_domain"])
        groups.setdefault((region, target["service"]), {})[name] = target["slots"]
    limits: dict[str, int] = {}
    for (region, _), sizes in groups.items():
        limits.update(split(sizes=sizes, share=state.regions[region]["utilisation"]))
    return limits
