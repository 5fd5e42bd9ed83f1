"""Decides when a request is passed on to a sibling, and what follows from the result.

Load pattern: this entry VM has lost its paths to all or most targets of a service, in the middle
of full load and with requests in progress. A sibling makes a single attempt for it and never
passes the request on, so that no circle of VMs that are cut off can form. This VM keeps the
decision on further attempts: the route's limit of attempts, the retry limit and the deadline apply
as for its own attempts. An attempt that reached no target does not count as a retry.
"""

from typing import TYPE_CHECKING

from carawaybank.routing import admission
from carawaybank.routing.configuration import Route, choose_service
from carawaybank.routing.messages import Action, Relay, RelayResult, RelayTerms
from carawaybank.routing.progress import Progress
from carawaybank.verdicts import (
    UNREACHED_REASONS,
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Maximum number of siblings that one request is passed on to.
MAX_RELAYS = 3
#: Seconds without any response of a service after which attempts in progress count as silent,
#: unless the objective of their route is longer.
MIN_SILENCE_S = 0.6
#: Maximum number of targets that one request finds unreachable while most targets are.
MAX_UNREACHED = 6
#: Seconds before the first of the failures that led to a loss, for targets that were ejected while
#: others still responded over open connections.
EJECTION_MARGIN_S = 5.0
#: Seconds over which the health checks of a service's targets are spread.
CHECK_SPREAD_S = 0.5
#: Share of a service's slots that are down here from which siblings are asked for help.
IMPAIRED_SHARE = 0.5
#: Seconds after which a caller may retry that no VM can serve; paths are checked twice meanwhile.
RETRY_AFTER_S = 1.0


def is_impaired(router: "Router", service: str, now: float) -> bool:
    """Returns whether this VM reaches at most half of a service's slots."""
    if router.reachability.is_lost(service):
        return True
    counts = router.targets.slot_counts(service, now=now)
    usable = sum(counts.by_region.values())
    return counts.down > 0 and counts.down >= IMPAIRED_SHARE * (counts.down + usable)


def services_in_need(router: "Router", now: float) -> list[str]:
    """Returns the services for which siblings should be asked what they reach."""
    return [
        service
        for service in router.targets.services
        if is_impaired(router, service, now)
        or router.reachability.is_isolated(
            service, target_count=len(router.targets.eligible_targets(service)), now=now
        )
    ]


def choose_relay(router: "Router", progress: Progress, now: float) -> Relay | None:
    """Returns the action that passes a request on to a sibling, or None if it must not or cannot.

    The body of a request that only some regions may run is sent to these regions only.
    """
    route = progress.route
    if progress.is_relayed or len(progress.relayed_by) >= MAX_RELAYS or now >= progress.deadline:
        return None
    if progress.attempt_count >= route.max_attempts:
        return None
    if not is_impaired(router, progress.service, now):
        return None
    offer = router.helpers.choose(
        progress.service,
        allowed_regions=progress.terms.allowed_regions or (),
        excluded=progress.relayed_by,
        now=now,
    )
    if offer is None or router.configuration is None:
        return None
    router.helpers.record_start(offer.vm)
    progress.relayed_by.append(offer.vm)
    progress.is_at_sibling = True
    progress.sent_at = now
    terms = RelayTerms(
        progress.service,
        tuple(progress.tried_targets),
        router.configuration.version,
        progress.terms.tenant,
    )
    return Relay(progress.request.key, offer, progress.deadline, route.idempotent, terms)


def relay_or_refuse(router: "Router", progress: Progress, now: float) -> Action:
    """Returns the next action for a request whose service this VM cannot reach."""
    relay = choose_relay(router, progress, now)
    if relay is not None:
        return relay
    refusal = progress.sibling_refusal
    if refusal is None:
        retry_after_s = admission.refuse(RETRY_AFTER_S, rng=router.rng).retry_after_s
        detail = "this VM cannot reach the targets, and no sibling offers to"
        refusal = NotRun(Reason.NO_CAPACITY, retry_after_s, detail)
    return router.finish(progress, refusal)


def end_relay(
    router: "Router", progress: Progress, result: RelayResult, now: float
) -> Verdict | None:
    """Records the result of a relay.

    Returns:
        The verdict with which the request finishes, or None if another attempt may follow.
    """
    verdict = progress.judge(result.verdict)
    release(router, progress)
    if result.target_id:
        progress.tried_targets.add(result.target_id)
        progress.last_target_id = result.target_id
    if isinstance(verdict, Answered):
        if verdict.status < 500 or not progress.route.idempotent:
            return verdict
        progress.fallback = verdict
    elif isinstance(verdict, MayHaveRun):
        progress.uncertain = verdict
        progress.lost_relay_count += not result.target_id
        if not progress.route.idempotent:
            return verdict
    elif not result.target_id or verdict.reason in UNREACHED_REASONS:
        progress.unreached_count += bool(result.target_id)
        progress.sibling_refusal = verdict
        return None
    return None if router.try_acquire_retry(progress, now) else verdict


def release(router: "Router", progress: Progress) -> None:
    """Ends the count of a request at the sibling that it was passed on to, if it was."""
    if progress.is_at_sibling:
        progress.is_at_sibling = False
        router.helpers.record_end(progress.relayed_by[-1])


def is_retry_free(router: "Router", progress: Progress, verdict: NotRun, now: float) -> bool:
    """Returns whether a request that reached no target may be sent again without a retry."""
    return (
        verdict.reason in UNREACHED_REASONS
        and not progress.is_relayed
        and len(progress.tried_targets) < MAX_UNREACHED
        and now < progress.deadline
        and is_impaired(router, progress.service, now)
    )


def choose_relayed_service(route: Route, terms: RelayTerms, *, point: float) -> str:
    """Returns the service that the other VM chose, or another one if the route lacks it here."""
    names = {weighted.service for weighted in route.services if weighted.weight > 0}
    return terms.service if terms.service in names else choose_service(route, point=point)


def silent_services(router: "Router", now: float) -> set[str]:
    """Returns the services whose attempts in progress get no response although others should.

    Two targets that are silent for longer than the objective suffice, or one for twice as long.
    """
    silent: dict[str, set[str]] = {}
    for progress in router.requests:
        if progress.choice is None:
            continue
        age_s = router.reachability.reached_age_s(progress.service, now=now)
        waiting_s = now - progress.sent_at
        silence_s = waiting_s if age_s is None else min(waiting_s, age_s)
        limit_s = max(MIN_SILENCE_S, progress.route.objective_s)
        if silence_s > limit_s:
            targets = silent.setdefault(progress.service, set())
            targets.add(progress.last_target_id)
            if silence_s > 2 * limit_s:
                targets.add("")
    return {service for service, targets in silent.items() if len(targets) > 1}


def lose_paths(router: "Router", service: str, now: float) -> None:
    """Ejects all targets of a service that this VM cannot reach."""
    for target in router.targets.eligible_targets(service):
        if not target.is_down:
            target.eject(now=now)


def restore_paths(router: "Router", service: str, *, failing_since: float, now: float) -> None:
    """Uses the targets of a service again that were ejected because the paths to them were lost.

    Targets that were down before stay so; their health checks decide.
    """
    for target in router.targets.eligible_targets(service):
        since = target.down_since
        if since is not None and since >= failing_since - EJECTION_MARGIN_S:
            target.reset_estimates(now=now, has_returned=False)


def hasten_checks(router: "Router", service: str, now: float) -> None:
    """Schedules the health checks of all targets that are down within ``CHECK_SPREAD_S``.

    Two of them were reached after none was. Whether this VM or the targets had failed is not known.
    """
    for target in router.targets.eligible_targets(service):
        if target.is_down:
            latest = now + CHECK_SPREAD_S * router.rng.random()
            target.next_check_at = min(target.next_check_at, latest)
