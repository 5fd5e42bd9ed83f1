"""Selection of a target: few candidates for each object, then the earliest answer.

Load pattern: targets remember a limited number of objects. When load rises and each request goes
wherever there is room, all targets see all objects, forget them in turn and work several times as
long, so that the load rises further. Each object therefore keeps to two candidates in one region,
and one elsewhere when these are full, however high the load.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

from carawaybank.routing.directory import Room
from carawaybank.routing.fleet import Target
from carawaybank.routing.placement import (
    AWAY_WARMTHS,
    HASH_WARMTH,
    RECENT_WARMTH,
    Choice,
    expect,
)
from carawaybank.routing.progress import Progress
from carawaybank.steering import hashing

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Usual requests for each slot up to which another region's target may take what a full region
#: cannot.
#: Under general overload no target is that idle, and objects stay where they are known.
IDLE_LOAD = 0.75
#: Entry VMs of a failure domain that send a target that joined its first request, on average.
GREETERS = 3
#: Targets of a place among which a request without an object is placed.
CANDIDATES_WITHOUT_OBJECT = 4
#: Different orders of targets that requests without an object take in turn.
ORDERS_WITHOUT_OBJECT = 64


def choose(router: "Router", progress: Progress, now: float) -> Choice | None:
    """Returns the target for a request, or None if none may get it.

    Args:
        router: The router with its targets and estimates.
        progress: The request.
        now: Monotonic seconds.
    """
    room = router.targets.room(progress.service, now=now)
    newcomer = _find_newcomer(router, progress, room, now)
    if newcomer is not None:
        return _expect(router, progress, newcomer, AWAY_WARMTHS[0], now)
    shares = router.shares.regions(progress.service)
    shares.update(room.by_region)
    shares.note_request(now=now)
    region = shares.choose(draw=router.draw(progress.object_key, "region"))
    homes = progress.route.home_regions
    if homes and region not in homes:
        region = router.options.region if router.options.region in homes else min(homes)
    best = _best_in_region(router, progress, room, region, now)
    if best is not None and router.accepts(progress, best, now):
        return best
    other = _best_elsewhere(router, progress, room, region, now)
    if best is None or other is None:
        return best or other
    idle = other.target.usual_load <= IDLE_LOAD
    if idle and router.accepts(progress, other, now) and shares.try_spill(now=now):
        return other
    return best


def _best_in_region(
    router: "Router", progress: Progress, room: Room, region: str, now: float
) -> Choice | None:
    """Returns a target of a region; large bodies keep to one failure domain if it has room."""
    if not progress.route.is_bulky:
        return _best(router, progress, region, HASH_WARMTH, now)
    domains = router.shares.domains(progress.service, region)
    domains.update(room.by_domain.get(region, {}))
    domain = domains.choose(draw=router.draw(progress.object_key, "domain"))
    near = _best(router, progress, domain, HASH_WARMTH, now)
    if near is not None and router.accepts(progress, near, now):
        return near
    away = _best(router, progress, region, AWAY_WARMTHS, now)
    if near is None or away is None:
        return near or away
    return away if router.accepts(progress, away, now) else near


def _best(
    router: "Router", progress: Progress, place: str, warmths: Sequence[float], now: float
) -> Choice | None:
    """Returns the candidate of a region or failure domain whose answer is expected first."""
    choices = []
    count = len(warmths) if progress.object_key else CANDIDATES_WITHOUT_OBJECT
    candidates = itertools.islice(_candidates(router, progress, place, now), count)
    for rank, target in enumerate(candidates):
        warmth = warmths[min(rank, len(warmths) - 1)]
        choices.append(_expect(router, progress, target, _warmth(target, progress, warmth), now))
    return min(choices, key=lambda choice: choice.expected_s, default=None)


def _best_elsewhere(
    router: "Router", progress: Progress, room: Room, region: str, now: float
) -> Choice | None:
    homes = progress.route.home_regions
    choices = [
        _best(router, progress, name, AWAY_WARMTHS, now)
        for name in sorted(room.by_region)
        if name != region and (not homes or name in homes)
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.expected_s, default=None)


def _candidates(router: "Router", progress: Progress, place: str, now: float) -> Iterator[Target]:
    """Yields the targets of a place that may get the request, the preferred ones first."""
    pool = router.targets.pool_name(progress.service, place)
    key = progress.object_key or str(progress.request.key % ORDERS_WITHOUT_OBJECT)
    for target_id in router.targets.pools.rank(pool, key):
        target = router.targets.find(target_id)
        if target is not None and _may_get(router, progress, target, now):
            yield target


def _may_get(router: "Router", progress: Progress, target: Target, now: float) -> bool:
    target_id = target.entry.target_id
    homes = progress.route.home_regions
    if homes and target.entry.region not in homes:
        return False
    if target.is_down or target_id in progress.tried or target.paused_s(now=now):
        return False
    rate = router.cold_rate(progress.service)
    if not rate or not target.is_cold(now=now):
        return True
    return router.cold_starts.may_send(target_id, vms=router.vms, rate=rate, now=now)


def paused_s(router: "Router", progress: Progress, now: float) -> float:
    """Returns the seconds until the first target that turned requests away wants some again."""
    pauses = (target.paused_s(now=now) for target in router.targets.usable(progress.service))
    return min((pause for pause in pauses if pause), default=0.0)


def _find_newcomer(router: "Router", progress: Progress, room: Room, now: float) -> Target | None:
    """Returns a target of the own failure domain that joined lately and got nothing yet.

    Newcomers get one request each of a few entry VMs first: they know no object and would lose
    every comparison to the targets that do.
    """
    if not progress.route.idempotent or progress.tried or not room.newcomers:
        return None
    options = router.options
    for target in room.newcomers:
        draw = hashing.score(key=target.entry.target_id, member=options.vm) / 2**64
        is_turn = draw * router.domain_size < GREETERS
        near = target.entry.failure_domain == options.failure_domain
        if not (near and is_turn):
            target.is_newcomer = False  # others greet it
        elif target.is_newcomer and _may_get(router, progress, target, now):
            return target
    return None


def _warmth(target: Target, progress: Progress, by_hash: float) -> float:
    """Returns the probability that a target knows the request's object."""
    if not progress.object_key:
        return 0.0
    return RECENT_WARMTH if target.is_warm(progress.object_key) else by_hash


def _expect(
    router: "Router", progress: Progress, target: Target, warmth: float, now: float
) -> Choice:
    entry = target.entry
    return expect(
        target,
        now=now,
        warmth=warmth,
        work=router.estimate(progress),
        distance_s=router.distances.find(entry.failure_domain, entry.region),
    )
