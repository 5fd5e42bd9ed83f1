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
    for choice in _choices(router, progress, now):
        region = choice.target.entry.region
        if region not in best or choice.expected_s < best[region].expected_s:
            best[region] = choice
    if not best:
        return None
    if progress.route.home_regions:
        return min(best.values(), key=lambda choice: choice.expected_s)
    return best[_choose_region(router, progress, best, now)]


def _choose_region(
    router: "Router", progress: Progress, best: dict[str, Choice], now: float
) -> str:
    home = router.options.region
    shares = router.shares(progress.service)
    if not shares.started:
        shares.start(_slots(router.targets.usable(progress.service)))
    cheapest = min(best, key=lambda region: (best[region].expected_s, region))
    if home in best and best[cheapest].expected_s > MOVE_MARGIN * best[home].expected_s:
        cheapest = home
    if not progress.tried:
        shares.prefer(cheapest, now=now)
        shares.evict(_regions_in_use(router, progress, now))
    region = shares.choose(draw=router.draw(progress.object_key))
    return region if region in best else cheapest


def _choices(router: "Router", progress: Progress, now: float) -> Iterable[Choice]:
    work = router.estimate(progress)
    pools = router.targets.pool_names(progress.service)
    rate = router.cold_rate(progress.service)
    key = progress.object_key
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
            and not router.cold_starts.may_send(
                entry.target_id, senders=router.senders, rate=rate, now=now
            )
        ):
            continue
        yield expect(
            target,
            now=now,
            warmth=_warmth(router, target, key, pools),
            work=work,
            distance_s=router.distances.find(entry.failure_domain, entry.region),
        )


def _warmth(router: "Router", target: Target, key: str, pools: tuple[str, ...]) -> float:
    if not key:
        return 0.0
    if target.is_warm(key):
        return RECENT_WARMTH
    return router.targets.pools.warmth(
        key,
        target.entry.target_id,
        (*pools, f"{key.partition('/')[0]}/region/{target.entry.region}"),
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
