"""Estimate of the slots that former owners' requests still use at a target.

After a takeover, the new owner does not know how many requests of a former owner are still running,
but their number can only fall. Each load report of the target gives an upper bound: its busy slots
minus the own requests that had certainly arrived when the report was made. The lowest bound of all
reports applies.

Usage::

    >>> use = FormerOwnerUse()
    >>> use.start(now=0.0)
    >>> use.upper_bound(now=0.1) is None
    True
    >>> use.record_report(busy=3, in_use=0, latency_s=0.0, now=0.5)
    >>> use.record_report(busy=2, in_use=1, latency_s=0.0, now=1.0)
    >>> use.upper_bound(now=1.0)
    1
"""

from collections import deque

#: A request may arrive at the target up to this long after it is sent.
_MAX_TRANSIT_S = 0.05
#: A target without a load report for this long after a takeover counts as free.
_REPORT_TIMEOUT_S = 10.0


class FormerOwnerUse:
    """Upper bound on the slots that former owners' requests use at one target."""

    def __init__(self) -> None:
        """Starts without former owners."""
        self._started_at: float | None = None
        self._upper_bound: int | None = 0
        self._sent_at: deque[float] = deque()

    def start(self, *, now: float) -> None:
        """Records a takeover; the bound is unknown until the target reports its load."""
        self._started_at = now
        self._upper_bound = None
        self._sent_at.clear()

    def upper_bound(self, now: float) -> int | None:
        """Returns the upper bound, or None while it is unknown.

        If the target reports no load within the time limit, the bound becomes zero.
        """
        if self._started_at is None:
            return 0
        if self._upper_bound is None and now - self._started_at > _REPORT_TIMEOUT_S:
            self._end()
        return self._upper_bound

    def record_sent(self, now: float) -> None:
        """Records that a request of this process is being sent to the target."""
        if self._started_at is not None:
            self._sent_at.append(now)

    def record_report(self, *, busy: int, in_use: int, latency_s: float, now: float) -> None:
        """Updates the bound from a load report of the target.

        Reports that were requested before the takeover are ignored.

        Args:
            busy: Busy slots that the target reported.
            in_use: Slots in use by requests of this process.
            latency_s: Seconds between the request for the report and ``now``.
            now: The time in seconds.
        """
        if self._started_at is None or now - latency_s < self._started_at:
            return
        arrived_before = now - latency_s - _MAX_TRANSIT_S
        while self._sent_at and self._sent_at[0] < arrived_before:
            self._sent_at.popleft()
        arrived = max(0, in_use - len(self._sent_at))
        bound = max(0, busy - arrived)
        self._upper_bound = bound if self._upper_bound is None else min(bound, self._upper_bound)
        if self._upper_bound == 0:
            self._end()

    def _end(self) -> None:
        self._started_at = None
        self._upper_bound = 0
        self._sent_at.clear()
