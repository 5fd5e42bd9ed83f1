"""Selection of a target: the earliest expected response among a few candidates per object.

Load pattern: each target keeps a limited number of objects warm. If rising load spreads requests to
any target with free slots, all targets handle all objects, evict them from memory in turn and work
several times as long, so that the load rises further. Each object therefore has only two candidates
in one region, and one elsewhere when these are full, however high the load.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

from carawaybank.routing.directory import SlotCounts
from carawaybank.routing.estimates import (
    PREFERRED_WARMTHS,
    RECENT_WARMTH,
    REMOTE_WARMTHS,
    Choice,
    evaluate,
)
from carawaybank.routing.progress import Progress
from carawaybank.routing.target import Target
from carawaybank.steering import hashing

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Maximum average number of requests per slot at which a target of another region gets requests
#: that a full region cannot serve. Under general overload no target is below it, so that objects
#: stay where they are warm.
MAX_SPILLOVER_LOAD = 0.75
#: Average number of entry VMs of a failure domain that send a first request to a new target there.
SLOW_START_VMS = 3
#: Number of candidates in a region or failure domain for a request without an object.
CANDIDATES_WITHOUT_OBJECT = 4
#: Number of target rankings among which requests without an object rotate.
RANKINGS_WITHOUT_OBJECT = 64


def choose(router: "Router", progress: Progress, now: float) -> Choice | None:
    """Returns the target for a request, or None if no target may serve it.

    Args:
        router: The router with its targets and estimates.
        progress: State of the request.
        now: Current time in monotonic seconds.
    """
    counts = router.targets.slot_counts(progress.service, now=now)
    new_target = _find_new_target(router, progress, counts, now)
    if new_target is not None:
        return _evaluate(router, progress, new_target, REMOTE_WARMTHS[0], now)
    shares = router.shares.regions(progress.service)
    shares.update(counts.by_region)
    shares.record_request(now=now)
    region = shares.choose(point=_selection_point(router, progress.object_key, "region"))
    allowed_regions = progress.terms.allowed_regions
    if allowed_regions and region not in allowed_regions:
        region = (
            router.options.region
            if router.options.region in allowed_regions
            else min(allowed_regions)
        )
    best = _best_in_region(router, progress, counts, region, now)
    if best is not None and router.accepts(progress, best, now):
        return best
    spillover = _best_elsewhere(router, progress, counts, region, now)
    if best is None or spillover is None:
        return best or spillover
    has_headroom = spillover.target.average_load <= MAX_SPILLOVER_LOAD
    if has_headroom and router.accepts(progress, spillover, now) and shares.try_spillover(now=now):
        return spillover
    return best


def _best_in_region(
    router: "Router", progress: Progress, counts: SlotCounts, region: str, now: float
) -> Choice | None:
    """Returns a target of a region, or None.

    A bulky request stays in the failure domain that it is assigned to, unless admission control
    would refuse it there and a target elsewhere in the region would accept it.
    """
    if not progress.route.is_bulky:
        return _best(router, progress, region, PREFERRED_WARMTHS, now)
    domains = router.shares.domains(progress.service, region)
    domains.update(counts.by_domain.get(region, {}))
    domain = domains.choose(point=_selection_point(router, progress.object_key, "domain"))
    local = _best(router, progress, domain, PREFERRED_WARMTHS, now)
    if local is not None and router.accepts(progress, local, now):
        return local
    remote = _best(router, progress, region, REMOTE_WARMTHS, now)
    if local is None or remote is None:
        return local or remote
    return remote if router.accepts(progress, remote, now) else local


def _best(
    router: "Router", progress: Progress, locality: str, warmths: Sequence[float], now: float
) -> Choice | None:
    """Returns the candidate of a region or failure domain with the earliest expected response."""
    choices = []
    count = len(warmths) if progress.object_key else CANDIDATES_WITHOUT_OBJECT
    candidates = itertools.islice(_candidates(router, progress, locality, now), count)
    for rank, target in enumerate(candidates):
        warmth = warmths[min(rank, len(warmths) - 1)]
        choices.append(_evaluate(router, progress, target, _warmth(target, progress, warmth), now))
    return min(choices, key=lambda choice: choice.expected_s, default=None)


def _best_elsewhere(
    router: "Router", progress: Progress, counts: SlotCounts, region: str, now: float
) -> Choice | None:
    choices = [
        _best(router, progress, name, REMOTE_WARMTHS, now)
        for name in sorted(counts.by_region)
        if name != region and progress.terms.allows(name)
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.expected_s, default=None)


def _candidates(
    router: "Router", progress: Progress, locality: str, now: float
) -> Iterator[Target]:
    """Yields targets of a region or failure domain that may serve a request, preferred first."""
    pool = router.targets.pool_name(progress.service, locality)
    key = progress.object_key or str(progress.request.key % RANKINGS_WITHOUT_OBJECT)
    for target_id in router.targets.pools.rank(pool, key):
        target = router.targets.find(target_id)
        if target is not None and _may_serve(router, progress, target, now):
            yield target


def _may_serve(router: "Router", progress: Progress, target: Target, now: float) -> bool:
    target_id = target.entry.target_id
    if not progress.terms.allows(target.entry.region):
        return False
    if target.is_down or target_id in progress.tried_targets or target.remaining_pause_s(now=now):
        return False
    if _is_held_off(router, progress, target, now):
        return False
    rate = router.cold_rate(progress.service)
    if rate and target.is_cold(now=now):
        return router.cold_starts.may_send(target_id, vms=router.vms, rate=rate, now=now)
    return True


def _is_held_off(router: "Router", progress: Progress, target: Target, now: float) -> bool:
    """Returns whether this VM must not send to a target now because of the target's limit."""
    if not router.limits.wait_s(target.entry, now=now):
        return False
    if not progress.limited_by:
        entry = target.entry
        rate = router.limits.rate_of(entry)
        progress.limited_by = f"target {entry.target_id} named a limit of {rate} a second"
    return True


def min_wait_s(router: "Router", progress: Progress, now: float) -> float:
    """Returns the seconds until the first target that is paused or limited may get a request.

    The result is 0 if there is no such target.
    """
    waits = (
        max(target.remaining_pause_s(now=now), router.limits.retry_after_s(target.entry, now=now))
        for target in router.targets.eligible_targets(progress.service)
    )
    return min((wait for wait in waits if wait), default=0.0)


def _find_new_target(
    router: "Router", progress: Progress, counts: SlotCounts, now: float
) -> Target | None:
    """Returns a new target of this failure domain that needs a first request from this entry VM.

    A few entry VMs each send a new target one request first (slow start): no object is warm there
    yet, so that every comparison by expected time would select another target.
    """
    if not progress.route.idempotent or progress.tried_targets or not counts.new_targets:
        return None
    options = router.options
    for target in counts.new_targets:
        point = hashing.score(key=target.entry.target_id, member=options.vm) / 2**64
        is_selected = point * router.failure_domain_vm_count < SLOW_START_VMS
        is_local = target.entry.failure_domain == options.failure_domain
        if not (is_local and is_selected):
            target.is_new = False  # Its slow start is left to other entry VMs.
        elif target.is_new and _may_serve(router, progress, target, now):
            return target
    return None


def _selection_point(router: "Router", object_key: str, purpose: str) -> float:
    """Returns a number in [0, 1) for a weighted selection.

    The number is a hash of the object and the purpose, or random if there is no object.
    """
    if not object_key:
        return router.rng.random()
    return hashing.score(key=object_key, member=purpose) / 2**64


def _warmth(target: Target, progress: Progress, hash_warmth: float) -> float:
    """Returns the probability that the request's object is warm at a target."""
    if not progress.object_key:
        return 0.0
    return RECENT_WARMTH if target.is_warm(progress.object_key) else hash_warmth


def _evaluate(
    router: "Router", progress: Progress, target: Target, warmth: float, now: float
) -> Choice:
    entry = target.entry
    return evaluate(
        target,
        now=now,
        warmth=warmth,
        work=router.work_estimate(progress),
        round_trip_s=router.round_trip_times.estimate_s(entry.failure_domain, entry.region),
        usual_load=router.pressure.usual_load(progress.service, entry.region, now=now),
    )
