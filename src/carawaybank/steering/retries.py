"""Retry budget: extra attempts stay a bounded share of first attempts.

Usage::

    >>> budget = RetryBudget(share=0.1, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> for _ in range(10):
    ...     budget.earn()
    >>> budget.try_spend()
    True
"""

_ROUNDING = 1e-9


class RetryBudget:
    """A token bucket that first attempts fill and extra attempts empty."""

    def __init__(self, *, share: float, burst: float) -> None:
        """Starts full.

        Args:
            share: Extra attempts allowed for each first attempt, from 0 to 1.
            burst: Most extra attempts that may be saved up.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Extra attempts that may be spent now."""
        return self._tokens

    def earn(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Takes one extra attempt from the budget; returns whether it could."""
        if self._tokens + _ROUNDING < 1:
            return False
        self._tokens -= 1
        return True
