"""Selection of a target among those of one service that this entry VM owns.

Up to three targets with free slots are taken from a random starting point, and the one with the
lowest cost is used. The cost is the sum of relative latency and utilisation, with the weights from
the service's ticket. Since only three targets are compared, a decision usually costs the same
however many targets there are.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from carawaybank.steering.targetstate import ServiceLoad, TargetState

_MAX_CANDIDATES = 3
_MIN_LATENCY_S = 1e-4


class PoolTarget(NamedTuple):
    """A target with the number of slots that its owner may use.

    Attributes:
        name: Name of the target in the tickets.
        address: ``IP:PORT`` of the target.
        limit: Slots that may be used at most.
    """

    name: str
    address: str
    limit: int


class _Candidate(NamedTuple):
    target: PoolTarget
    target_state: TargetState
    limit: int


class CostWeights(NamedTuple):
    """Weights of latency and headroom in the cost of a target."""

    latency: float = 1.0
    headroom: float = 1.0


class Pool:
    """Selects among the owned targets of one service and acquires slots at them."""

    def __init__(
        self,
        *,
        targets: Iterable[PoolTarget],
        target_states: Mapping[str, TargetState],
        load: ServiceLoad,
        weights: CostWeights,
        ramp_s: float,
        former_owner_units: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        """Initializes the pool.

        Args:
            targets: Owned active targets.
            target_states: State of each target, by name.
            load: Counter of the slots in use at the service's targets.
            weights: Weights of the service.
            ramp_s: Seconds after which a cold target may use its full limit.
            former_owner_units: Returns the slots that former owners still use at a target, by its
                name.
            rng: Random generator for the starting point.
        """
        self._targets = tuple(targets)
        self._targets_and_states = [
            (target, target_states[target.name]) for target in self._targets
        ]
        self._load = load
        self._weights = weights
        self._ramp_s = ramp_s
        self._former_owner_units = former_owner_units
        self._rng = rng
        self._capacity = sum(target.limit for target in self._targets)

    @property
    def targets(self) -> tuple[PoolTarget, ...]:
        """The owned targets."""
        return self._targets

    @property
    def capacity(self) -> int:
        """Sum of the limits of the owned targets."""
        return self._capacity

    @property
    def in_use(self) -> int:
        """Slots in use at the service's targets, including targets no longer owned."""
        return self._load.in_use

    @property
    def free(self) -> int:
        """Free slots, as reported to siblings; a hint that ignores ramps and ejections."""
        return max(0, self._capacity - self._load.in_use)

    def try_acquire(
        self, *, tried: Collection[str], now: float, last_resort: bool = False
    ) -> PoolTarget | None:
        """Acquires a slot at the best of a few targets with free slots.

        Args:
            tried: Targets that the request was already sent to.
            now: The time in seconds.
            last_resort: Whether ejected targets may be used too, so that ejection never leaves
                a request without any target.

        Returns:
            The target, or None if no permitted target has a free slot.
        """
        candidates = self._find_candidates(tried, now, skip_ejected=not last_resort)
        if not candidates:
            return None
        fastest_s = max(_MIN_LATENCY_S, min(c.target_state.latency_s for c in candidates))
        best = min(candidates, key=lambda c: self._cost(c, fastest_s, now))
        acquired = best.target_state.try_acquire(limit=best.limit, now=now)
        return best.target if acquired else None

    def _find_candidates(
        self, tried: Collection[str], now: float, *, skip_ejected: bool
    ) -> list[_Candidate]:
        count = len(self._targets_and_states)
        start = self._rng.randrange(count) if count else 0
        candidates: list[_Candidate] = []
        for offset in range(count):
            target, target_state = self._targets_and_states[(start + offset) % count]
            if target_state.is_leaving(now) or target.name in tried:
                continue
            if skip_ejected and target_state.is_ejected(now):
                continue
            limit = self._available_slots(target, target_state, now)
            if target_state.in_use >= limit:
                continue
            candidates.append(_Candidate(target, target_state, limit))
            if len(candidates) == _MAX_CANDIDATES:
                break
        return candidates

    def _available_slots(self, target: PoolTarget, target_state: TargetState, now: float) -> int:
        target_state.release_expired(now)
        limit = target_state.limit(slots=target.limit, ramp_s=self._ramp_s, now=now)
        return limit - self._former_owner_units(target.name)

    def _cost(self, candidate: _Candidate, fastest_s: float, now: float) -> float:
        target, target_state, _ = candidate
        latency = target_state.latency_s / fastest_s if target_state.latency_s else 1.0
        utilisation = (
            target_state.in_use + target_state.slots_used_by_others(now) + 1
        ) / target.limit
        return self._weights.latency * latency + self._weights.headroom * utilisation
