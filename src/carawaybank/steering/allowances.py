"""Allowances: parts of a limit that add up to it.

A limit of ``n`` units is cut into ``n`` keys; each key has one owner, so what the owners admit
never exceeds the limit even when no message arrives. :class:`Allowance` counts the use of the
units that a process holds at the moment, and :func:`split` cuts a share of a whole into integers.

Usage::

    >>> split(sizes={"t1": 4, "t2": 4}, share=0.75)
    {'t1': 3, 't2': 3}
    >>> allowance = Allowance()
    >>> allowance.take(limit=1), allowance.take(limit=1)
    (True, False)
"""

import heapq
import math
from collections.abc import Mapping


def split(*, sizes: Mapping[str, int], share: float) -> dict[str, int]:
    """Returns integers that add up to at most ``share`` of the sum of the sizes.

    The result depends only on the arguments: names in order receive the fraction carried over
    from the names before them.

    >>> split(sizes={"a": 4, "b": 4, "c": 4}, share=0.9)
    {'a': 3, 'b': 4, 'c': 3}
    """
    result: dict[str, int] = {}
    total = 0
    granted = 0
    for name in sorted(sizes):
        total += sizes[name]
        part = min(sizes[name], math.floor(total * share + 1e-9) - granted)
        result[name] = part
        granted += part
    return result


class Allowance:
    """The use of one limit, counted where it is spent.

    A unit may linger: work that was abandoned but may still go on elsewhere holds its unit until
    the deadline that it was given.
    """

    def __init__(self) -> None:
        """Starts unused."""
        self._in_use = 0
        self._peak = 0
        self._lingering: list[float] = []

    @property
    def in_use(self) -> int:
        """Units in use now, lingering ones included."""
        return self._in_use

    @property
    def peak(self) -> int:
        """The most units ever in use at once."""
        return self._peak

    @property
    def lingering(self) -> int:
        """Units held by abandoned work."""
        return len(self._lingering)

    def take(self, *, limit: int) -> bool:
        """Takes a unit if fewer than ``limit`` are in use; returns whether it did."""
        if self._in_use >= limit:
            return False
        self._in_use += 1
        self._peak = max(self._peak, self._in_use)
        return True

    def give_back(self) -> None:
        """Returns a unit.

        Raises:
            ValueError: If none is in use.
        """
        if self._in_use == 0:
            raise ValueError("no unit is in use")
        self._in_use -= 1

    def linger(self, *, until: float) -> None:
        """Keeps a unit in use until a time in seconds, then returns it."""
        heapq.heappush(self._lingering, until)

    def expire(self, now: float) -> int:
        """Returns lingering units whose time has passed; tells how many."""
        expired = 0
        while self._lingering and self._lingering[0] <= now:
            heapq.heappop(self._lingering)
            self.give_back()
            expired += 1
        return expired
