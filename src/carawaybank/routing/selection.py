"""Selection of a target: few candidates for each object, then the earliest answer.

Load pattern: targets remember a limited number of objects. When load rises and each request goes
wherever there is room, all targets see all objects, forget them in turn and work several times as
long, so that the load rises further. Each object therefore keeps to two candidates in one region,
and one elsewhere when these are full, however high the load.
"""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from carawaybank.routing.fleet import Target
from carawaybank.routing.placement import HASH_WARMTH, RECENT_WARMTH, Choice, expect
from carawaybank.routing.progress import Progress

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Usual requests for each slot up to which another region's target may take what a full region
#: cannot.
#: Under general overload no target is that idle, and objects stay where they are known.
IDLE_LOAD = 0.75
#: Targets of a region among which a request without an object is placed.
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
    newcomer = _find_newcomer(router, progress, now)
    if newcomer is not None:
        return _expect(router, progress, newcomer, HASH_WARMTH[-1], now)
    shares = router.shares(progress.service)
    shares.update(_slots(router.targets.usable(progress.service)))
    shares.note_request(now=now)
    region = shares.choose(draw=router.draw(progress.object_key))
    homes = progress.route.home_regions
    if homes and region not in homes:
        region = router.options.region if router.options.region in homes else min(homes)
    best = _best(router, progress, region, now)
    if best is not None and router.accepts(progress, best, now):
        return best
    other = _best_elsewhere(router, progress, region, now)
    if best is None or other is None:
        return best or other
    idle = other.target.usual_load <= IDLE_LOAD
    if idle and router.accepts(progress, other, now) and shares.try_spill(now=now):
        return other
    return best


def _best(router: "Router", progress: Progress, region: str, now: float) -> Choice | None:
    """Returns the candidate of a region whose answer is expected first."""
    choices = []
    count = len(HASH_WARMTH) if progress.object_key else CANDIDATES_WITHOUT_OBJECT
    for rank, target in enumerate(_candidates(router, progress, region, now)):
        if rank >= count:
            break
        choices.append(_expect(router, progress, target, _warmth(target, progress, rank), now))
    return min(choices, key=lambda choice: choice.expected_s, default=None)


def _best_elsewhere(router: "Router", progress: Progress, region: str, now: float) -> Choice | None:
    homes = progress.route.home_regions
    regions = {target.entry.region for target in router.targets.usable(progress.service)}
    choices = [
        _best(router, progress, name, now)
        for name in sorted(regions)
        if name != region and (not homes or name in homes)
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.expected_s, default=None)


def _candidates(router: "Router", progress: Progress, region: str, now: float) -> Iterator[Target]:
    """Yields the targets of a region that may get the request, the preferred ones first."""
    pool = router.targets.pool_name(progress.service, region)
    key = progress.object_key or str(progress.request.key % ORDERS_WITHOUT_OBJECT)
    for target_id in router.targets.pools.rank(pool, key):
        target = router.targets.find(target_id)
        if target is not None and _may_get(router, progress, target, now):
            yield target


def _may_get(router: "Router", progress: Progress, target: Target, now: float) -> bool:
    target_id = target.entry.target_id
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


def _find_newcomer(router: "Router", progress: Progress, now: float) -> Target | None:
    """Returns a target of the own region that joined lately and got nothing from here yet.

    Newcomers get one request of each entry VM first: they know no object and would lose every
    comparison to the targets that do.
    """
    if not progress.route.idempotent or progress.tried:
        return None
    homes = progress.route.home_regions
    for target in router.targets.usable(progress.service):
        near = target.entry.region == router.options.region
        allowed = not homes or target.entry.region in homes
        if target.is_newcomer and near and allowed and _may_get(router, progress, target, now):
            return target
    return None


def _warmth(target: Target, progress: Progress, rank: int) -> float:
    """Returns the probability that a target knows the request's object."""
    if not progress.object_key:
        return 0.0
    return RECENT_WARMTH if target.is_warm(progress.object_key) else HASH_WARMTH[rank]


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


def _slots(targets: Iterable[Target]) -> dict[str, int]:
    slots: dict[str, int] = {}
    for target in targets:
        if not target.is_down:
            slots[target.entry.region] = slots.get(target.entry.region, 0) + target.entry.slots
    return slots
