"""Choice of the target for a request, by the time after which its answer is expected.

Load pattern: most of the work on an object is saved where the object was handled lately, so that
spreading by load alone multiplies the load. The expected time of an answer counts the way, the
requests ahead and the work, which is short at a target that knows the object. Entry VMs that have
not met an object yet agree on its target in each region by a hash.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

from carawaybank.routing.fleet import Target
from carawaybank.steering import hashing

#: Probability that a target knows an object that others placed there by the same hash, by rank
#: among the targets that may get it.
HASH_WARMTH = (0.95, 0.1)
#: The same for targets away from the region or failure domain in which the object belongs.
AWAY_WARMTHS = (0.1, 0.05)
#: Probability that a target knows an object that this entry VM sent it lately.
RECENT_WARMTH = 0.95
#: Work in multiples of a route's objective before the first answers, and its part when warm.
FIRST_WORK = 1.3
FIRST_WARM_PART = 0.35
#: Largest part of a route's timeout that its work is assumed to take.
FIRST_WORK_PART = 0.5
#: Most objects of a pool whose order is kept; beyond them all are worked out anew.
MOST_RANKS = 20_000
#: Targets of an object's order that are kept; the rest is worked out when all of them are taken.
KEPT_RANKS = 6
#: Weight of the newest sample in the averages of a route's work.
WORK_SAMPLE_WEIGHT = 0.05
#: Delay in multiples of the expected work that a target costs for each share of failed requests.
FAILURE_COST = 4.0


class Distances:
    """Round-trip times in seconds to failure domains, as connections to them showed."""

    #: Assumed before the first connection: same domain, same region, other region.
    FIRST_S = (0.0005, 0.008, 0.06)

    def __init__(self, *, failure_domain: str, region: str) -> None:
        """Starts with assumptions.

        Args:
            failure_domain: Failure domain of this entry VM.
            region: Region of this entry VM.
        """
        self._failure_domain = failure_domain
        self._region = region
        self._seen_s: dict[str, float] = {}

    def note(self, failure_domain: str, seconds: float) -> None:
        """Takes the time that a connection took to open."""
        known = self._seen_s.get(failure_domain)
        self._seen_s[failure_domain] = seconds if known is None else min(known, seconds)

    def find(self, failure_domain: str, region: str) -> float:
        """Returns the round-trip time to a target."""
        seen = self._seen_s.get(failure_domain)
        if seen is not None:
            return seen
        if failure_domain == self._failure_domain:
            return self.FIRST_S[0]
        return self.FIRST_S[1] if region == self._region else self.FIRST_S[2]


class WorkEstimate:
    """Seconds that a target works on a request of one route."""

    def __init__(self, *, objective_s: float, timeout_s: float, sticky: bool) -> None:
        """Starts with assumptions from the route's objective and timeout."""
        self.cold_s = min(FIRST_WORK * objective_s, FIRST_WORK_PART * timeout_s)
        self.warm_s = self.cold_s * (FIRST_WARM_PART if sticky else 1.0)

    def expect(self, warmth: float) -> float:
        """Returns the seconds of work at a probability that the object is known."""
        return warmth * self.warm_s + (1 - warmth) * self.cold_s

    def compare(self, seconds: float) -> float:
        """Returns a time in multiples of that of a warm or a cold request, whichever is nearer."""
        usual_s = self.warm_s if self._is_warm(seconds) else self.cold_s
        return seconds / max(0.001, usual_s)

    def note(self, seconds: float) -> float:
        """Takes the time of a request that did not wait, on a target of ordinary pace.

        Returns:
            What :meth:`compare` returned before.
        """
        ratio = self.compare(seconds)
        if self._is_warm(seconds):
            self.warm_s += WORK_SAMPLE_WEIGHT * (seconds - self.warm_s)
        else:
            self.cold_s += WORK_SAMPLE_WEIGHT * (min(seconds, 2 * self.cold_s) - self.cold_s)
        return ratio

    def _is_warm(self, seconds: float) -> bool:
        return seconds < math.sqrt(self.warm_s * self.cold_s)


class Choice(NamedTuple):
    """A target for a request.

    Attributes:
        target: The target.
        expected_s: Seconds after which its answer is expected.
        wait_s: Seconds of them that the request waits at the target.
        warmth: Probability that the target knows the object.
    """

    target: Target
    expected_s: float
    wait_s: float
    warmth: float


class HashPool:
    """Targets of a service in a region in the order in which objects prefer them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._ranks: dict[str, dict[str, tuple[str, ...]]] = {}
        self._members: dict[str, tuple[str, ...]] = {}

    def update(self, members: dict[str, tuple[str, ...]]) -> None:
        """Takes the target ids by pool name."""
        for pool in list(self._ranks):
            if members.get(pool) != self._members.get(pool):
                del self._ranks[pool]
        self._members = members

    def rank(self, pool: str, object_key: str) -> Iterator[str]:
        """Yields the targets of a pool, the preferred one of an object first."""
        members = self._members.get(pool, ())
        ranks = self._ranks.setdefault(pool, {})
        kept = ranks.get(object_key)
        if kept is None:
            if len(ranks) >= MOST_RANKS:
                ranks.clear()
            kept = tuple(hashing.rank(key=object_key, members=members)[:KEPT_RANKS])
            ranks[object_key] = kept
        yield from kept
        if len(members) > len(kept):
            yield from hashing.rank(key=object_key, members=members)[len(kept) :]


def expect(
    target: Target,
    *,
    now: float,
    warmth: float,
    work: WorkEstimate,
    distance_s: float,
) -> Choice:
    """Returns when a target's answer is expected.

    Args:
        target: The target.
        now: Monotonic seconds.
        warmth: Probability that it knows the object.
        work: Estimate of the route.
        distance_s: Round-trip time in seconds.
    """
    slots = max(1, target.entry.slots)
    work_s = work.expect(warmth) * target.slowness
    ahead = max(0.0, target.busy(now=now, work_s=work.warm_s) + 1 - slots)
    wait_s = ahead / slots * work.expect(0.7) * target.slowness
    penalty_s = FAILURE_COST * target.failure_share * work.expect(0.7)
    return Choice(target, distance_s + wait_s + work_s + penalty_s, wait_s, warmth)
