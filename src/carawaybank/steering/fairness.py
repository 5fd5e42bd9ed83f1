"""Fair shares of a service's slots among customers when slots are scarce.

While more slots are free than the reserve, any customer may use them. Only customers below their
fair share may use the reserve, so that the largest customer cannot starve the others. The fair
share is proportional to the customer's weight among the recently seen customers. The reserve is one
slot; it grows to a fixed share of the slots while customers below their fair share are refused.

Usage::

    >>> shares = FairShares(reserve=0.25, retention_s=10)
    >>> shares.may_acquire("large", weights={}, capacity=4, in_use=0, now=0)
    True
"""

import math
from collections.abc import Mapping

#: Seconds for which the reserve stays enlarged after a customer below its fair share is refused.
_REFUSAL_RETENTION_S = 0.5


class FairShares:
    """Tracks how many slots of one service each customer uses."""

    def __init__(self, *, reserve: float, retention_s: float) -> None:
        """Starts without customers.

        Args:
            reserve: Share of the slots that only customers below their fair share may use while
                such customers are refused.
            retention_s: Seconds after its last request for which an idle customer still counts
                towards the fair shares.
        """
        self._reserve = reserve
        self._retention_s = retention_s
        self._in_use: dict[str, int] = {}
        self._last_seen_at: dict[str, float] = {}
        self._refused_at = -math.inf

    @property
    def in_use(self) -> dict[str, int]:
        """Slots in use by customer, without customers that use none."""
        return {customer: count for customer, count in self._in_use.items() if count}

    def may_acquire(
        self, customer: str, *, weights: Mapping[str, float], capacity: int, in_use: int, now: float
    ) -> bool:
        """Returns whether the customer may use one more slot.

        Args:
            customer: Name of the customer.
            weights: Weight by customer; 1 for customers without one.
            capacity: Slots of the service.
            in_use: Slots in use by all customers.
            now: The time in seconds.
        """
        self._record_seen(customer, now)
        free_after = capacity - in_use - 1
        if len(self._last_seen_at) == 1:
            return free_after >= 0
        total = sum(weights.get(name, 1.0) for name in self._last_seen_at)
        fair_share = math.ceil(capacity * weights.get(customer, 1.0) / total)
        if self._in_use.get(customer, 0) < fair_share:
            if free_after < 0:
                self._refused_at = now
            return free_after >= 0
        return free_after >= self._reserved_slots(capacity, now)

    def acquire(self, customer: str) -> None:
        """Adds a slot to those in use by the customer."""
        self._in_use[customer] = self._in_use.get(customer, 0) + 1

    def release(self, customer: str) -> None:
        """Removes a slot from those in use by the customer."""
        remaining = self._in_use.get(customer, 0) - 1
        if remaining > 0:
            self._in_use[customer] = remaining
        else:
            self._in_use.pop(customer, None)

    def _reserved_slots(self, capacity: int, now: float) -> int:
        if now - self._refused_at > _REFUSAL_RETENTION_S:
            return 1
        return max(1, math.ceil(capacity * self._reserve))

    def _record_seen(self, customer: str, now: float) -> None:
        self._last_seen_at[customer] = now
        if len(self._last_seen_at) > 1:
            limit = now - self._retention_s
            for name in [n for n, at in self._last_seen_at.items() if at < limit]:
                if name not in self._in_use:
                    del self._last_seen_at[name]
