"""What former owners' requests still use at a target, from the target's reports.

After a takeover nothing is known of a former owner's requests, and their number can only fall.
Each report of busy slots bounds it: what is busy beyond the own requests that had surely arrived
when the report was made. The lowest bound so far holds.

Usage::

    >>> use = FormerUse()
    >>> use.begin(now=0.0)
    >>> use.bound(now=0.1) is None
    True
    >>> use.report(busy=3, in_use=0, latency_s=0.0, now=0.5)
    >>> use.report(busy=2, in_use=1, latency_s=0.0, now=1.0)
    >>> use.bound(now=1.0)
    1
"""

from collections import deque

_TRANSIT_S = 0.05
_UNREPORTED_LIMIT_S = 10.0


class FormerUse:
    """An upper bound on the slots that former owners' requests use."""

    def __init__(self) -> None:
        """Starts without former owners."""
        self._begun_at: float | None = None
        self._bound: int | None = 0
        self._taken_at: deque[float] = deque()

    def begin(self, *, now: float) -> None:
        """Records a takeover; nothing is known until the target reports."""
        self._begun_at = now
        self._bound = None
        self._taken_at.clear()

    def bound(self, now: float) -> int | None:
        """Returns the most slots that may still be used, or None while that is unknown.

        A target that never reports its load is taken as free after some seconds.
        """
        if self._begun_at is None:
            return 0
        if self._bound is None and now - self._begun_at > _UNREPORTED_LIMIT_S:
            self._end()
        return self._bound

    def note_taken(self, now: float) -> None:
        """Records that an own request was sent."""
        if self._begun_at is not None:
            self._taken_at.append(now)

    def report(self, *, busy: int, in_use: int, latency_s: float, now: float) -> None:
        """Takes a report of the target.

        Args:
            busy: Slots that the target says are busy.
            in_use: Slots in use by own requests.
            latency_s: Seconds since the target was asked.
            now: The time.
        """
        if self._begun_at is None or now - latency_s < self._begun_at:
            return
        oldest = now - latency_s - _TRANSIT_S
        while self._taken_at and self._taken_at[0] < oldest:
            self._taken_at.popleft()
        arrived = max(0, in_use - len(self._taken_at))
        bound = max(0, busy - arrived)
        self._bound = bound if self._bound is None else min(bound, self._bound)
        if self._bound == 0:
            self._end()

    def _end(self) -> None:
        self._begun_at = None
        self._bound = 0
        self._taken_at.clear()
