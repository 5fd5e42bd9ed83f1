"""Event counts over sliding time windows."""

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
