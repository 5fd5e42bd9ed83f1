"""Fair shares between customers when slots are short.

While slots are plentiful, any customer may use them. Once the free slots fall to the reserve, a
customer may only use what its weight gives it among the customers seen lately, so that the
largest cannot push the others out. The reserve is one slot, and more while customers below their
share are refused.

Usage::

    >>> shares = FairShares(reserve=0.25, memory_s=10)
    >>> shares.admits("large", weights={}, capacity=4, in_use=0, now=0)
    True
"""

import math
from collections.abc import Mapping

_DENIAL_MEMORY_S = 0.5


class FairShares:
    """Use of one service's slots by customer."""

    def __init__(self, *, reserve: float, memory_s: float) -> None:
        """Starts without customers.

        Args:
            reserve: Share of the slots that only customers below their fair share may use while
                such customers are refused.
            memory_s: Seconds for which a customer counts after its last request.
        """
        self._reserve = reserve
        self._memory_s = memory_s
        self._in_use: dict[str, int] = {}
        self._seen: dict[str, float] = {}
        self._denied_at = -math.inf

    @property
    def in_use(self) -> dict[str, int]:
        """Slots in use by customer."""
        return {customer: count for customer, count in self._in_use.items() if count}

    def admits(
        self, customer: str, *, weights: Mapping[str, float], capacity: int, in_use: int, now: float
    ) -> bool:
        """Returns whether the customer may take one more slot."""
        self._see(customer, now)
        free_after = capacity - in_use - 1
        if len(self._seen) == 1:
            return free_after >= 0
        total = sum(weights.get(name, 1.0) for name in self._seen)
        fair = math.ceil(capacity * weights.get(customer, 1.0) / total)
        if self._in_use.get(customer, 0) < fair:
            if free_after < 0:
                self._denied_at = now
            return free_after >= 0
        return free_after >= self._reserved(capacity, now)

    def take(self, customer: str) -> None:
        """Counts a slot taken by the customer."""
        self._in_use[customer] = self._in_use.get(customer, 0) + 1

    def give_back(self, customer: str) -> None:
        """Counts a slot given back by the customer."""
        left = self._in_use.get(customer, 0) - 1
        if left > 0:
            self._in_use[customer] = left
        else:
            self._in_use.pop(customer, None)

    def _reserved(self, capacity: int, now: float) -> int:
        if now - self._denied_at > _DENIAL_MEMORY_S:
            return 1
        return max(1, math.ceil(capacity * self._reserve))

    def _see(self, customer: str, now: float) -> None:
        self._seen[customer] = now
        if len(self._seen) > 1:
            limit = now - self._memory_s
            for name in [n for n, at in self._seen.items() if at < limit]:
                if name not in self._in_use:
                    del self._seen[name]
