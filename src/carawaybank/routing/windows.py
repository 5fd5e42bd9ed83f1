"""Counts over sliding windows of time."""

from collections import deque


class SlidingCount:
    """Counts events of the last seconds.

    >>> count = SlidingCount(window_s=10.0)
    >>> count.add(now=0.0); count.add(now=5.0)
    >>> count.total(now=9.0), count.total(now=10.5)
    (2, 1)
    """

    def __init__(self, *, window_s: float) -> None:
        """Starts without events.

        Args:
            window_s: Length of the window in seconds.
        """
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, *, now: float) -> None:
        """Counts an event."""
        self._times.append(now)

    def total(self, *, now: float) -> int:
        """Returns the events within the window."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)
