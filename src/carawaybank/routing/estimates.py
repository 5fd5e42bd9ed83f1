"""Estimates of the time after which a target responds to a request.

Load pattern: a target that recently handled an object does much less work on it, so that balancing
by load alone multiplies the load. The expected time of a response is the sum of the network round
trip, the queue and the work, which is short where the object is warm. Entry VMs without any record
of an object choose the same target for it in each region by rendezvous hashing.
"""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from carawaybank.routing.configuration import Route
from carawaybank.routing.machines import ReportPersistence
from carawaybank.routing.target import Target
from carawaybank.steering import hashing

#: Probability that an object is warm at a target because other entry VMs sent it there by the same
#: hash, by rank of the target among those that may serve the request.
PREFERRED_WARMTHS = (0.95, 0.1)
#: The same for targets outside the region or failure domain that the object is assigned to.
REMOTE_WARMTHS = (0.1, 0.05)
#: Probability that an object is still warm at a target that this entry VM recently sent it to.
RECENT_WARMTH = 0.95
#: Initial estimate of the work on a cold object in multiples of the route's objective, and the
#: fraction of it that the work on a warm object takes.
INITIAL_WORK_FACTOR = 1.3
INITIAL_WARM_FRACTION = 0.35
#: Fraction of a route's timeout that the initial estimate does not exceed.
MAX_INITIAL_WORK_FRACTION = 0.5
#: Maximum number of objects per pool whose ranking is cached; the cache is cleared when it is full.
MAX_CACHED_RANKINGS = 20_000
#: Targets per cached ranking; the rest is recomputed when none of these can be used.
CACHED_RANKING_LENGTH = 6
#: Weight of the newest sample in the moving averages of a route's work.
WORK_SAMPLE_WEIGHT = 0.05
#: Penalty on the expected time of a target, in multiples of the expected work times the target's
#: share of failed requests.
FAILURE_PENALTY_FACTOR = 4.0


class RoundTripTimes:
    """Round-trip times in seconds to failure domains, taken from the opening of connections."""

    #: Assumed before the first connection: same failure domain, same region, other region.
    INITIAL_S = (0.0005, 0.008, 0.06)

    def __init__(self, *, failure_domain: str, region: str) -> None:
        """Creates the round-trip times with assumed values.

        Args:
            failure_domain: Failure domain of this entry VM.
            region: Region of this entry VM.
        """
        self._failure_domain = failure_domain
        self._region = region
        self._min_s: dict[str, float] = {}

    def record(self, failure_domain: str, seconds: float) -> None:
        """Records the time that a connection took to open; the shortest one is kept."""
        known = self._min_s.get(failure_domain)
        self._min_s[failure_domain] = seconds if known is None else min(known, seconds)

    def estimate_s(self, failure_domain: str, region: str) -> float:
        """Returns the round-trip time in seconds to a target, assumed until one is recorded."""
        known = self._min_s.get(failure_domain)
        if known is not None:
            return known
        if failure_domain == self._failure_domain:
            return self.INITIAL_S[0]
        return self.INITIAL_S[1] if region == self._region else self.INITIAL_S[2]


class WorkEstimate:
    """Estimated seconds of work on a request of one route, for warm and for cold objects."""

    def __init__(self, *, objective_s: float, timeout_s: float, sticky: bool) -> None:
        """Creates an estimate from the route's objective and timeout.

        Args:
            objective_s: Latency objective of the route in seconds.
            timeout_s: Timeout of the route in seconds.
            sticky: Whether targets work faster on warm objects. Otherwise both estimates are equal.
        """
        self._is_sticky = sticky
        #: How long what targets report about their machines stays true; unused without reports.
        self.report_persistence = ReportPersistence()
        self.cold_s = min(INITIAL_WORK_FACTOR * objective_s, MAX_INITIAL_WORK_FRACTION * timeout_s)
        self.warm_s = self.cold_s * (INITIAL_WARM_FRACTION if sticky else 1.0)

    def expected_s(self, warmth: float) -> float:
        """Returns the expected seconds of work if the object is warm with this probability."""
        return warmth * self.warm_s + (1 - warmth) * self.cold_s

    def relative_time(self, seconds: float) -> float:
        """Returns a time in multiples of the warm or the cold estimate, whichever is closer."""
        usual_s = self.warm_s if self._is_warm(seconds) else self.cold_s
        return seconds / max(0.001, usual_s)

    def record(self, seconds: float) -> float:
        """Updates the estimate with the time of a request that did not wait.

        Args:
            seconds: Time of the work, divided by the slowness of the target and the factor of its
                machine.

        Returns:
            The result of :meth:`relative_time` before the update.
        """
        ratio = self.relative_time(seconds)
        if not self._is_sticky:
            self.cold_s += WORK_SAMPLE_WEIGHT * (min(seconds, 2 * self.cold_s) - self.cold_s)
            self.warm_s = self.cold_s
        elif self._is_warm(seconds):
            self.warm_s += WORK_SAMPLE_WEIGHT * (seconds - self.warm_s)
        else:
            self.cold_s += WORK_SAMPLE_WEIGHT * (min(seconds, 2 * self.cold_s) - self.cold_s)
        return ratio

    def _is_warm(self, seconds: float) -> bool:
        return seconds < math.sqrt(self.warm_s * self.cold_s)


class WorkEstimates:
    """The work estimates of all routes."""

    def __init__(self) -> None:
        """Starts without estimates."""
        self._by_route: dict[str, WorkEstimate] = {}

    def of(self, route: Route) -> WorkEstimate:
        """Returns the work estimate of a route, and creates it at the first use."""
        if route.name not in self._by_route:
            self._by_route[route.name] = WorkEstimate(
                objective_s=route.objective_s, timeout_s=route.timeout_s, sticky=route.sticky
            )
        return self._by_route[route.name]

    def keep(self, routes: Iterable[Route]) -> None:
        """Drops the estimates of all other routes."""
        names = {route.name for route in routes}
        self._by_route = {name: work for name, work in self._by_route.items() if name in names}


class Choice(NamedTuple):
    """A candidate target for a request, with the expected times.

    Attributes:
        target: The target.
        expected_s: Seconds after which the response is expected.
        wait_s: Seconds of ``expected_s`` for which the request is queued at the target.
        warmth: Probability that the object is warm at the target.
        crowded_s: Seconds that it waits longer if the target is as full as the others. They count
            for admission only: choosing targets by them would move objects to cold targets.
    """

    target: Target
    expected_s: float
    wait_s: float
    warmth: float
    crowded_s: float = 0.0


class RendezvousPools:
    """Pools of targets, ranked for each object by rendezvous hashing.

    A pool holds the targets of a service in a region or failure domain.
    """

    def __init__(self) -> None:
        """Creates the rankings without pools."""
        self._ranks: dict[str, dict[str, tuple[str, ...]]] = {}
        self._members: dict[str, tuple[str, ...]] = {}

    def update(self, members: dict[str, tuple[str, ...]]) -> None:
        """Replaces the pools; drops the cached rankings of the pools that changed.

        Args:
            members: Target ids by pool name.
        """
        for pool in list(self._ranks):
            if members.get(pool) != self._members.get(pool):
                del self._ranks[pool]
        self._members = members

    def rank(self, pool: str, object_key: str) -> Iterator[str]:
        """Yields the target ids of a pool, the preferred target of the object first."""
        members = self._members.get(pool, ())
        ranks = self._ranks.setdefault(pool, {})
        cached = ranks.get(object_key)
        if cached is None:
            if len(ranks) >= MAX_CACHED_RANKINGS:
                ranks.clear()
            cached = tuple(hashing.rank(key=object_key, members=members)[:CACHED_RANKING_LENGTH])
            ranks[object_key] = cached
        yield from cached
        if len(members) > len(cached):
            yield from hashing.rank(key=object_key, members=members)[len(cached) :]


def evaluate(
    target: Target,
    *,
    now: float,
    warmth: float,
    work: WorkEstimate,
    round_trip_s: float,
    usual_load: float = 0.0,
) -> Choice:
    """Returns a target with the expected times of the request there.

    Args:
        target: The target.
        now: Current time in monotonic seconds.
        warmth: Probability that the object is warm at the target.
        work: Work estimate of the route.
        round_trip_s: Round-trip time in seconds.
        usual_load: Requests per slot that are assumed where the target's report is out of date.
    """
    slots = max(1, target.entry.slots)
    machine = target.machine.forecast(now=now)
    usual_s = work.expected_s(warmth) * target.slowness
    factor = work.report_persistence.factor(machine, work_s=usual_s)
    work_s = usual_s * factor
    expected = target.expected_requests(now=now, work_s=work.warm_s)
    per_request_s = work.expected_s(0.7) * target.slowness * factor / slots
    wait_s = max(0.0, expected + 1 - slots) * per_request_s
    crowded = target.expected_requests(now=now, work_s=work.warm_s, usual=usual_load * slots)
    crowded_s = max(0.0, crowded + 1 - slots) * per_request_s - wait_s
    penalty_s = FAILURE_PENALTY_FACTOR * target.failure_share * work.expected_s(0.7)
    expected_s = round_trip_s + wait_s + work_s + penalty_s
    return Choice(target, expected_s, wait_s, warmth, crowded_s)
