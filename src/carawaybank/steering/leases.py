"""Leases that need no synchronized clocks.

The holder measures a lease from before it sent the renewal, the observer from when it last saw the
row change, each on its own monotonic clock. A guard interval allows for differing clock rates. The
lease thus always ends later for the observer than for the holder, and two processes never hold it
at once, even if the holder was paused.

Usage::

    >>> lease = Lease(duration_s=10.0)
    >>> lease.record_renewal(sent_at=100.0)
    >>> lease.is_valid(109.9), lease.is_valid(110.0)
    (True, False)
    >>> observer = LeaseObserver(duration_s=10.0, guard_s=0.5)
    >>> observer.observe(version=1, now=100.2)
    >>> observer.has_expired(110.2), observer.has_expired(110.7)
    (False, True)
"""

import math


class Lease:
    """The holder's side of a lease."""

    def __init__(self, *, duration_s: float) -> None:
        """Starts without a valid lease.

        Args:
            duration_s: Seconds for which a renewal is valid.
        """
        self._duration_s = duration_s
        self._valid_until = -math.inf

    def record_renewal(self, *, sent_at: float) -> None:
        """Records a renewal.

        Args:
            sent_at: Time in seconds, read before the renewal was sent.
        """
        self._valid_until = max(self._valid_until, sent_at + self._duration_s)

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may still act under the lease."""
        return now < self._valid_until

    def remaining_s(self, now: float) -> float:
        """Returns the seconds left, within which work that starts now must end."""
        return max(0.0, self._valid_until - now)

    def give_up(self) -> None:
        """Ends the lease at once; a later renewal starts it again."""
        self._valid_until = -math.inf


class LeaseObserver:
    """The side that waits for another process's lease to end before it takes over."""

    def __init__(self, *, duration_s: float, guard_s: float) -> None:
        """Starts without having seen the lease's row.

        Args:
            duration_s: Seconds for which a renewal is valid.
            guard_s: Extra wait in seconds that allows for differing clock rates.
        """
        self._wait_s = duration_s + guard_s
        self._version: int | None = None
        self._changed_at = math.inf

    def observe(self, *, version: int, now: float) -> None:
        """Records the version of the lease's row that was read."""
        if version != self._version:
            self._version = version
            self._changed_at = now

    def has_expired(self, now: float) -> bool:
        """Returns whether the row was unchanged for the lease's duration plus the guard."""
        return now >= self._changed_at + self._wait_s
