"""The part of each allotment that an entry VM may grant, by the VMs that it hears.

Load pattern: most machines are lost for good, or two sides of a cut each hear only themselves, with
or without the store. VMs whose absence is confirmed in the store no longer count towards a
majority. A side that does not reach the store cannot learn that it was declared absent. It goes on
with its part of the VMs, and the other side takes no more than the rest until that has ended.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Seconds for which a majority that does not know the store grants its part of the allotments.
PARTIAL_S = 60.0


class Electorate(NamedTuple):
    """The VMs that count towards a majority, as one VM knows them.

    Attributes:
        voters: Registered VMs whose absence is not confirmed.
        registered_count: Number of all registered VMs.
        doubted: Voters that did not deny a notice of their absence in time.
        recent_until: Time in monotonic seconds until which this is recent.
        confirmed_at: Time at which this VM learned of the last confirmed absence.
    """

    voters: frozenset[str]
    registered_count: int
    doubted: frozenset[str] = frozenset()
    recent_until: float = float("inf")
    confirmed_at: float = float("-inf")

    def share(self, alive: Iterable[str], *, vm: str, now: float) -> float:
        """Returns the part of each allotment that the VMs heard may grant; 0 without a majority.

        Args:
            alive: VMs that are known to be alive.
            vm: The VM that asks, which has to be a voter itself.
            now: Current time in monotonic seconds.

        >>> electorate = Electorate(frozenset("abc"), 4, recent_until=5.0, confirmed_at=1.0)
        >>> [electorate.share(alive, vm="a", now=3.0) for alive in ("a", "ab", "abc")]
        [0.0, 0.5, 1.0]
        >>> [electorate.share("abc", vm="a", now=now) for now in (6.0, 99.0)]
        [0.75, 0.0]
        """
        heard = self.voters.intersection(alive) - self.doubted
        if vm not in self.voters or 2 * len(heard) <= len(self.voters):
            return 0.0
        part = len(heard) / max(1, self.registered_count)
        is_plain = part > 1 / 2
        if now <= self.recent_until:
            return 1.0 if is_plain or now >= self.confirmed_at + PARTIAL_S else part
        return part if is_plain and now <= self.recent_until + PARTIAL_S else 0.0
