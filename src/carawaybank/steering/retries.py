"""Retry budget: limits extra attempts to a fraction of the first attempts.

Usage::

    >>> budget = RetryBudget(share=0.1, burst=1.0)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> for _ in range(10):
    ...     budget.record_first_attempt()
    >>> budget.try_acquire()
    True
"""

_ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """A token bucket: first attempts add tokens, and each extra attempt takes one."""

    def __init__(self, *, share: float, burst: float) -> None:
        """Starts full.

        Args:
            share: Extra attempts allowed for each first attempt, from 0 to 1.
            burst: Maximum number of tokens.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Number of extra attempts that are available now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Adds the share of one first attempt, up to the maximum."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Takes one token for an extra attempt; returns whether one was available."""
        if self._tokens + _ROUNDING_TOLERANCE < 1:
            return False
        self._tokens -= 1
        return True
