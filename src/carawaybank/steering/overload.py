"""Retry-After values that grow with the excess demand and are jittered.

Usage::

    >>> import random
    >>> pressure = Pressure(rng=random.Random(1), base_s=0.5, limit_s=30.0, window_s=1.0)
    >>> 0.5 <= pressure.refuse(now=0.0) <= 1.5
    True
"""

import math
import random


class Pressure:
    """Decaying counts of admitted and refused requests of one customer of a service."""

    def __init__(
        self, *, rng: random.Random, base_s: float, limit_s: float, window_s: float
    ) -> None:
        """Starts without pressure.

        Args:
            rng: Source of the jitter.
            base_s: Retry-After in seconds while few requests are refused.
            limit_s: Largest Retry-After in seconds.
            window_s: Time in seconds in which the counts fall to 1/e.
        """
        self._rng = rng
        self._base_s = base_s
        self._limit_s = limit_s
        self._window_s = window_s
        self._admitted = 0.0
        self._refused = 0.0
        self._updated = 0.0

    @property
    def excess(self) -> float:
        """Refused requests for each admitted one, lately."""
        return self._refused / max(self._admitted, 1.0)

    def admit(self, *, now: float) -> None:
        """Counts an admitted request."""
        self._decay(now)
        self._admitted += 1

    def refuse(self, *, now: float) -> float:
        """Counts a refused request; returns its Retry-After in seconds."""
        self._decay(now)
        self._refused += 1
        delay = min(self._limit_s, self._base_s * (1 + self.excess))
        return float(delay * self._rng.uniform(1.0, 1.5))

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated) / self._window_s)
        self._admitted *= factor
        self._refused *= factor
        self._updated = now
