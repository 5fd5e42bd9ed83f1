"""Selection among the usable targets of a service: region first, then the earliest answer."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from carawaybank.routing.fleet import Target
from carawaybank.routing.placement import RECENT_WARMTH, Choice, expect
from carawaybank.routing.progress import Progress

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Part by which another region's answer must be expected earlier before demand moves there.
MOVE_MARGIN = 0.9


def choose(router: "Router", progress: Progress, now: float) -> Choice | None:
    """Returns the target for a request, or None if none may get it.

    Args:
        router: The router with its targets and estimates.
        progress: The request.
        now: Monotonic seconds.
    """
    best: dict[str, Choice] = {}
    settled: dict[str, float] = {}
    for choice in _choices(router, progress, now):
        region = choice.target.entry.region
        if _is_newcomer(router, choice, progress):
            return choice
        if region not in best or choice.expected_s < best[region].expected_s:
            best[region] = choice
        settled[region] = min(settled.get(region, choice.settled_s), choice.settled_s)
    if not best:
        return None
    if progress.route.home_regions:
        return min(best.values(), key=lambda choice: choice.expected_s)
    region = _choose_region(router, progress, settled, now)
    return _spill(router, progress, best, region, now)


def _spill(
    router: "Router", progress: Progress, best: dict[str, Choice], region: str, now: float
) -> Choice:
    """Returns the choice in a region, or a better one elsewhere if that region is full."""
    chosen = best[region]
    if router.accepts(progress, chosen, now):
        return chosen
    others = [choice for name, choice in best.items() if name != region]
    other = min(others, key=lambda choice: choice.expected_s, default=chosen)
    if other is chosen or not router.accepts(progress, other, now):
        return chosen
    return other if router.shares(progress.service).try_spill(now=now) else chosen


def _choose_region(router: "Router", progress: Progress, best: dict[str, float], now: float) -> str:
    home = router.options.region
    shares = router.shares(progress.service)
    if not shares.started:
        shares.start(_slots(router.targets.usable(progress.service)))
    cheapest = min(best, key=lambda region: (best[region], region))
    if home in best and best[cheapest] > MOVE_MARGIN * best[home]:
        cheapest = home
    if not progress.tried:
        shares.note_request(now=now)
        shares.prefer(cheapest, now=now)
        shares.evict(_regions_in_use(router, progress, now))
    region = shares.choose(draw=router.draw(progress.object_key))
    return region if region in best else cheapest


def _choices(router: "Router", progress: Progress, now: float) -> Iterable[Choice]:
    work = router.estimate(progress)
    rate = router.cold_rate(progress.service)
    homes = progress.route.home_regions
    for target in router.targets.usable(progress.service):
        entry = target.entry
        if target.is_down or entry.target_id in progress.tried:
            continue
        if homes and entry.region not in homes:
            continue
        if (
            rate
            and target.is_cold(now=now)
            and not router.cold_starts.may_send(entry.target_id, vms=router.vms, rate=rate, now=now)
        ):
            continue
        yield expect(
            target,
            now=now,
            warmth=_warmth(router, target, progress),
            work=work,
            distance_s=router.distances.find(entry.failure_domain, entry.region),
        )


def _warmth(router: "Router", target: Target, progress: Progress) -> float:
    """Returns the probability that a target knows the request's object."""
    key, entry = progress.object_key, target.entry
    if not key:
        return 0.0
    if target.is_warm(key):
        return RECENT_WARMTH
    pool = router.targets.pool_name(entry.service, entry.region)
    return router.targets.pools.warmth(key, entry.target_id, pool)


def _is_newcomer(router: "Router", choice: Choice, progress: Progress) -> bool:
    """Returns whether a target of the own region joined lately and got nothing from here yet.

    Newcomers get one request of each entry VM first: they know no object and would lose every
    comparison to the targets that do.
    """
    target = choice.target
    return (
        target.is_newcomer
        and progress.route.idempotent
        and not progress.tried
        and target.entry.region == router.options.region
    )


def _regions_in_use(router: "Router", progress: Progress, now: float) -> set[str]:
    return {
        target.entry.region
        for target in router.targets.usable(progress.service)
        if not target.is_down
    }


def _slots(targets: Iterable[Target]) -> dict[str, int]:
    slots: dict[str, int] = {}
    for target in targets:
        slots[target.entry.region] = slots.get(target.entry.region, 0) + target.entry.slots
    return slots
