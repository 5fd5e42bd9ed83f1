"""Retry-After values that grow with the refused share of the demand and are jittered.

Usage::

    >>> import random
    >>> pressure = Pressure(rng=random.Random(1), base_s=0.5, limit_s=30.0, window_s=1.0)
    >>> 0.5 <= pressure.refuse(now=0.0) <= 1.5
    True
"""

import math
import random


class Pressure:
    """Counts the admitted and refused requests of one customer of a service, with decay."""

    def __init__(
        self, *, rng: random.Random, base_s: float, limit_s: float, window_s: float
    ) -> None:
        """Starts with both counts at zero.

        Args:
            rng: Random generator for the jitter.
            base_s: Retry-After in seconds while few requests are refused, before jitter.
            limit_s: Upper bound of the Retry-After in seconds, before jitter.
            window_s: Time constant in seconds; without requests the counts fall to 1/e in it.
        """
        self._rng = rng
        self._base_s = base_s
        self._limit_s = limit_s
        self._window_s = window_s
        self._admitted = 0.0
        self._refused = 0.0
        self._updated_at = 0.0

    @property
    def excess(self) -> float:
        """Recent ratio of refused to admitted requests."""
        return self._refused / max(self._admitted, 1.0)

    def admit(self, *, now: float) -> None:
        """Counts an admitted request."""
        self._decay(now)
        self._admitted += 1

    def refuse(self, *, now: float) -> float:
        """Counts a refused request and returns its jittered Retry-After in seconds."""
        self._decay(now)
        self._refused += 1
        delay = min(self._limit_s, self._base_s * (1 + self.excess))
        return float(delay * self._rng.uniform(1.0, 1.5))

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / self._window_s)
        self._admitted *= factor
        self._refused *= factor
        self._updated_at = now
