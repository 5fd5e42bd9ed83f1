"""Allowances: how a limit is divided among processes and counted by each of them.

A limit of ``n`` units is divided into ``n`` keys with one owner each, so the owners together never
admit more than the limit, even while they cannot exchange messages. :class:`Allowance` counts the
units in use in one process, and :func:`split` divides a share of a total into integers.

Usage::

    >>> split(sizes={"t1": 4, "t2": 4}, share=0.75)
    {'t1': 3, 't2': 3}
    >>> allowance = Allowance()
    >>> allowance.try_acquire(limit=1), allowance.try_acquire(limit=1)
    (True, False)
"""

import heapq
import math
from collections.abc import Mapping


def split(*, sizes: Mapping[str, int], share: float) -> dict[str, int]:
    """Returns integers that add up to at most ``share`` of the sum of the sizes.

    The names are processed in sorted order, and the fraction that is rounded off at one name is
    carried over to the next, so every process computes the same result.

    >>> split(sizes={"a": 4, "b": 4, "c": 4}, share=0.9)
    {'a': 3, 'b': 4, 'c': 3}
    """
    result: dict[str, int] = {}
    total = 0
    granted = 0
    for name in sorted(sizes):
        total += sizes[name]
        slots = min(sizes[name], math.floor(total * share + 1e-9) - granted)
        result[name] = slots
        granted += slots
    return result


class Allowance:
    """Counts the units of one limit that this process uses.

    A unit may linger: a request that was abandoned but may still be running elsewhere keeps its
    unit until its deadline.
    """

    def __init__(self) -> None:
        """Starts with no unit in use."""
        self._in_use = 0
        self._peak = 0
        self._lingering: list[float] = []

    @property
    def in_use(self) -> int:
        """Units in use now, including lingering ones."""
        return self._in_use

    @property
    def peak(self) -> int:
        """Highest number of units in use at the same time so far."""
        return self._peak

    @property
    def lingering(self) -> int:
        """Units still held by abandoned requests."""
        return len(self._lingering)

    def try_acquire(self, *, limit: int) -> bool:
        """Acquires a unit if fewer than ``limit`` are in use; returns whether it did."""
        if self._in_use >= limit:
            return False
        self._in_use += 1
        self._peak = max(self._peak, self._in_use)
        return True

    def release(self) -> None:
        """Releases a unit.

        Raises:
            ValueError: If none is in use.
        """
        if self._in_use == 0:
            raise ValueError("no unit is in use")
        self._in_use -= 1

    def release_at(self, *, time: float) -> None:
        """Keeps a unit in use until ``time``, in seconds, after which it can expire."""
        heapq.heappush(self._lingering, time)

    def release_expired(self, now: float) -> int:
        """Releases the lingering units whose time has passed; returns how many there were."""
        expired = 0
        while self._lingering and self._lingering[0] <= now:
            heapq.heappop(self._lingering)
            self.release()
            expired += 1
        return expired
