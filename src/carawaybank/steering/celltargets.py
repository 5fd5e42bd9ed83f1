"""Targets of the cell, with a pool by service of those that this entry VM owns.

The pools are rebuilt when a ticket comes into force or the ownership changes.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.steering.allowances import split
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.pools import CostWeights, Pool, PoolTarget
from carawaybank.steering.targetstate import ServiceLoad, TargetState
from carawaybank.steering.tickets import EMPTY_STATE, State


class _CellTarget(NamedTuple):
    address: str
    target_state: TargetState


class CellTargets:
    """Keeps the state of each target of the cell, and a pool of owned targets by service."""

    def __init__(
        self,
        *,
        cell: str,
        ownership: Ownership,
        former_owner_units: Callable[[str], int],
        ramp_s: float,
        rng: random.Random,
    ) -> None:
        """Starts without targets.

        Args:
            cell: Cell of this entry VM.
            ownership: Owners of the cell's targets.
            former_owner_units: Returns the slots that former owners still use at a target, by its
                name.
            ramp_s: Seconds after which a cold target may use its full limit.
            rng: Random generator for the sampling of targets.
        """
        self._cell = cell
        self._ownership = ownership
        self._former_owner_units = former_owner_units
        self._ramp_s = ramp_s
        self._rng = rng
        self._state = EMPTY_STATE
        self._targets: dict[str, _CellTarget] = {}
        self._loads: dict[str, ServiceLoad] = {}
        self._slot_limits: dict[str, int] = {}
        self._pools: dict[str, Pool] = {}
        self._owned_names: set[str] = set()
        self._version = (-1, -1)

    @property
    def state(self) -> State:
        """The state in force."""
        return self._state

    def update(self, state: State, *, now: float) -> None:
        """Applies a new state.

        Targets of the first state start warm; targets that a later state adds start cold. A target
        whose address changes counts as added.
        """
        is_first = self._state.number == 0
        targets: dict[str, _CellTarget] = {}
        for name in self._own_cell_targets(state):
            target = state.targets[name]
            cell_target = self._targets.get(name)
            if cell_target is None or cell_target.address != target["address"]:
                load = self._loads.setdefault(target["service"], ServiceLoad())
                target_state = TargetState(load=load, cold_since=None if is_first else now)
                cell_target = _CellTarget(target["address"], target_state)
            targets[name] = cell_target
        self._targets = targets
        self._state = state
        self._slot_limits = _slot_limits(state)

    def target_state(self, name: str) -> TargetState | None:
        """Returns the state of a target, or None if this cell has no such target."""
        cell_target = self._targets.get(name)
        return cell_target.target_state if cell_target else None

    def pool(self, service: str, *, now: float) -> Pool:
        """Returns the pool of owned targets of a service, which may be empty."""
        version = (self._state.number, self._ownership.version)
        if version != self._version:
            self._rebuild(now)
            self._version = version
        return self._pools.get(service) or self._make_pool(service, [])

    def owned(self, *, now: float) -> list[PoolTarget]:
        """Returns the owned active targets of all services that have at least one usable slot."""
        return [t for service in self._state.services for t in self.pool(service, now=now).targets]

    def released_units(self) -> dict[str, int]:
        """Returns slots that this entry VM still uses at targets it no longer owns, by target."""
        return {
            name: cell_target.target_state.in_use
            for name, cell_target in self._targets.items()
            if cell_target.target_state.in_use and not self._ownership.owns(name)
        }

    def release_expired(self, now: float) -> None:
        """Releases the lingering slots whose time has passed."""
        for cell_target in self._targets.values():
            cell_target.target_state.release_expired(now)

    def target_states(self) -> dict[str, TargetState]:
        """Returns the states of all targets of the cell by name."""
        return {name: cell_target.target_state for name, cell_target in self._targets.items()}

    def _own_cell_targets(self, state: State) -> list[str]:
        return [name for name in state.targets if state.cell_of_target(name) == self._cell]

    def _rebuild(self, now: float) -> None:
        by_service: dict[str, list[PoolTarget]] = {}
        owned: set[str] = set()
        for name, cell_target in self._targets.items():
            target = self._state.targets[name]
            if target.get("state", "active") != "active" or not self._ownership.owns(name):
                continue
            owned.add(name)
            if name not in self._owned_names:
                cell_target.target_state.start_ownership(now)
            limit = self._slot_limits.get(name, 0)
            if limit:
                pool_target = PoolTarget(name, cell_target.address, limit)
                by_service.setdefault(target["service"], []).append(pool_target)
        self._owned_names = owned
        self._pools = {s: self._make_pool(s, targets) for s, targets in by_service.items()}

    def _make_pool(self, service: str, targets: list[PoolTarget]) -> Pool:
        document = self._state.services.get(service, {})
        weights = CostWeights(
            document.get("latency_weight", 1.0),
            document.get("headroom_weight", 1.0),
        )
        return Pool(
            targets=targets,
            target_states=self.target_states(),
            load=self._loads.setdefault(service, ServiceLoad()),
            weights=weights,
            ramp_s=self._ramp_s,
            former_owner_units=self._former_owner_units,
            rng=self._rng,
        )


def _slot_limits(state: State) -> dict[str, int]:
    """Returns the usable slots of each active target, as the utilisation of its region allows."""
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
