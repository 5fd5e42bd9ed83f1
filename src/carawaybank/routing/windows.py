"""Event counts over sliding time windows, and counts that decay."""

import math
from collections import deque


class SlidingCount:
    """Counts the events within a window of time that ends now.

    >>> count = SlidingCount(window_s=10.0)
    >>> count.add(now=0.0); count.add(now=5.0)
    >>> count.total(now=9.0), count.total(now=10.5)
    (2, 1)
    """

    def __init__(self, *, window_s: float) -> None:
        """Creates a counter without events.

        Args:
            window_s: Length of the window in seconds.
        """
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, *, now: float) -> None:
        """Adds an event at a time that is not before the previous one."""
        self._times.append(now)

    def total(self, *, now: float) -> int:
        """Returns the number of events within the window, and drops the older ones."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class DecayingSum:
    """Sums amounts, of which each counts half after a half-life.

    >>> amounts = DecayingSum(half_life_s=2.0)
    >>> amounts.add(1, now=0.0); amounts.add(1, now=2.0)
    >>> amounts.total(now=2.0), amounts.total(now=4.0)
    (1.5, 0.75)
    """

    def __init__(self, *, half_life_s: float) -> None:
        """Creates an empty sum.

        Args:
            half_life_s: Seconds after which an amount counts half.
        """
        self._half_life_s = half_life_s
        self._total = 0.0
        self._added_at = 0.0

    def add(self, amount: float = 1.0, *, now: float) -> None:
        """Adds an amount at a time that is not before the previous one."""
        self._total = self.total(now=now) + amount
        self._added_at = now

    def total(self, *, now: float) -> float:
        """Returns the sum of what the amounts count now."""
        return self._total * math.exp2((self._added_at - now) / self._half_life_s)
