"""Retry-After values that grow with the refused share of the demand and are jittered.

Usage::

    >>> import random
    >>> pressure = DemandPressure(
    ...     rng=random.Random(1), base_retry_after_s=0.5, max_retry_after_s=30.0, decay_s=1.0
    ... )
    >>> 0.5 <= pressure.record_refused(now=0.0) <= 1.5
    True
"""

import math
import random


class DemandPressure:
    """Counts the admitted and refused requests of one customer of a service, with decay."""

    def __init__(
        self,
        *,
        rng: random.Random,
        base_retry_after_s: float,
        max_retry_after_s: float,
        decay_s: float,
    ) -> None:
        """Starts with both counts at zero.

        Args:
            rng: Random generator for the jitter.
            base_retry_after_s: Retry-After in seconds while few requests are refused, before
                jitter.
            max_retry_after_s: Upper bound of the Retry-After in seconds, before jitter.
            decay_s: Time constant in seconds; without requests the counts fall to 1/e in it.
        """
        self._rng = rng
        self._base_retry_after_s = base_retry_after_s
        self._max_retry_after_s = max_retry_after_s
        self._decay_s = decay_s
        self._admitted = 0.0
        self._refused = 0.0
        self._updated_at = 0.0

    @property
    def refusal_ratio(self) -> float:
        """Recent ratio of refused to admitted requests."""
        return self._refused / max(self._admitted, 1.0)

    def record_admitted(self, *, now: float) -> None:
        """Counts an admitted request."""
        self._decay(now)
        self._admitted += 1

    def record_refused(self, *, now: float) -> float:
        """Counts a refused request and returns its jittered Retry-After in seconds."""
        self._decay(now)
        self._refused += 1
        delay = min(self._max_retry_after_s, self._base_retry_after_s * (1 + self.refusal_ratio))
        return float(delay * self._rng.uniform(1.0, 1.5))

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / self._decay_s)
        self._admitted *= factor
        self._refused *= factor
        self._updated_at = now
