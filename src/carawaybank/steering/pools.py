"""Target choice: the targets of one service that this entry VM owns.

Three targets with room are drawn and the best of them is used: the lowest sum of relative latency
and relative use, weighed as the service's ticket says. Drawing keeps the cost of a decision flat
in the number of targets.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from carawaybank.steering.standing import ServiceLoad, TargetStanding

_CANDIDATES = 3
_MIN_LATENCY_S = 1e-4


class PoolTarget(NamedTuple):
    """A target as its owner may use it.

    Attributes:
        name: Its name in the tickets.
        address: ``IP:PORT``.
        limit: Slots that steering may fill.
    """

    name: str
    address: str
    limit: int


class _Candidate(NamedTuple):
    target: PoolTarget
    standing: TargetStanding
    limit: int


class Weights(NamedTuple):
    """How a service weighs latency against headroom."""

    latency: float = 1.0
    headroom: float = 1.0


class Pool:
    """Chooses among the owned targets of one service."""

    def __init__(
        self,
        *,
        targets: Iterable[PoolTarget],
        standings: Mapping[str, TargetStanding],
        load: ServiceLoad,
        weights: Weights,
        ramp_s: float,
        released: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        """Takes the owned targets.

        Args:
            targets: Owned active targets.
            standings: What is known of each target, by name.
            load: Slots in use at the service's targets.
            weights: Latency against headroom.
            ramp_s: Seconds in which a cold target reaches its limit.
            released: Slots that former owners still use at a target.
            rng: Source of the draw.
        """
        self._targets = tuple(targets)
        self._owned = [(target, standings[target.name]) for target in self._targets]
        self._load = load
        self._weights = weights
        self._ramp_s = ramp_s
        self._released = released
        self._rng = rng
        self._capacity = sum(target.limit for target in self._targets)

    @property
    def targets(self) -> tuple[PoolTarget, ...]:
        """The owned targets."""
        return self._targets

    @property
    def capacity(self) -> int:
        """Slots of all owned targets together."""
        return self._capacity

    @property
    def in_use(self) -> int:
        """Slots in use at the service's targets."""
        return self._load.in_use

    @property
    def free(self) -> int:
        """Slots that may still be taken, as a hint for siblings."""
        return max(0, self._capacity - self._load.in_use)

    def take(
        self, *, tried: Collection[str], now: float, last_resort: bool = False
    ) -> PoolTarget | None:
        """Takes a slot at the best of a few targets with room.

        Args:
            tried: Targets that this request has been at.
            now: The time.
            last_resort: Whether targets that rest after failures may be used, so that ejection
                never takes the last target away.

        Returns:
            The target, or None when none has room.
        """
        candidates = self._draw(tried, now, skip_ejected=not last_resort)
        if not candidates:
            return None
        fastest = max(_MIN_LATENCY_S, min(c.standing.latency_s for c in candidates))
        best = min(candidates, key=lambda c: self._cost(c, fastest, now))
        taken = best.standing.take(limit=best.limit, now=now)
        return best.target if taken else None

    def _draw(self, tried: Collection[str], now: float, *, skip_ejected: bool) -> list[_Candidate]:
        count = len(self._owned)
        start = self._rng.randrange(count) if count else 0
        found: list[_Candidate] = []
        for offset in range(count):
            target, standing = self._owned[(start + offset) % count]
            if standing.is_leaving(now) or target.name in tried:
                continue
            if skip_ejected and standing.is_ejected(now):
                continue
            limit = self._limit(target, standing, now)
            if standing.in_use >= limit:
                continue
            found.append(_Candidate(target, standing, limit))
            if len(found) == _CANDIDATES:
                break
        return found

    def _limit(self, target: PoolTarget, standing: TargetStanding, now: float) -> int:
        standing.expire_lingering(now)
        limit = standing.limit(slots=target.limit, ramp_s=self._ramp_s, now=now)
        return limit - self._released(target.name)

    def _cost(self, candidate: _Candidate, fastest_s: float, now: float) -> float:
        target, standing, _ = candidate
        latency = standing.latency_s / fastest_s if standing.latency_s else 1.0
        busy = (standing.in_use + standing.excess_busy(now) + 1) / target.limit
        return self._weights.latency * latency + self._weights.headroom * busy
