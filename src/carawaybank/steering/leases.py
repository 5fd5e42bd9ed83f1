"""Leases that hold without synchronized clocks.

The holder counts from before it asked, the observer from when it last saw a change, each on its
own monotonic clock. With a guard for differing clock rates, the observer's lease always ends after
the holder's, so two never hold it at once, also when the holder was paused.

Usage::

    >>> lease = Lease(duration_s=10.0)
    >>> lease.renewed(asked_at=100.0)
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
        """Starts not held.

        Args:
            duration_s: Seconds for which a renewal is valid.
        """
        self._duration_s = duration_s
        self._valid_until = -math.inf

    def renewed(self, *, asked_at: float) -> None:
        """Records a renewal.

        Args:
            asked_at: Time in seconds before the renewal was sent.
        """
        self._valid_until = max(self._valid_until, asked_at + self._duration_s)

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may still act."""
        return now < self._valid_until

    def remaining_s(self, now: float) -> float:
        """Returns the seconds left; the longest deadline to give to work begun now."""
        return max(0.0, self._valid_until - now)

    def lapse(self) -> None:
        """Gives the lease up."""
        self._valid_until = -math.inf


class LeaseObserver:
    """The side that waits for another's lease to end before it takes over."""

    def __init__(self, *, duration_s: float, guard_s: float) -> None:
        """Starts with nothing seen.

        Args:
            duration_s: Seconds for which a renewal is valid.
            guard_s: Allowance in seconds for clocks of differing rates.
        """
        self._wait_s = duration_s + guard_s
        self._version: int | None = None
        self._changed_at = math.inf

    def observe(self, *, version: int, now: float) -> None:
        """Records the version of the lease's row."""
        if version != self._version:
            self._version = version
            self._changed_at = now

    def has_expired(self, now: float) -> bool:
        """Returns whether the row went unchanged for longer than its holder may act."""
        return now >= self._changed_at + self._wait_s
