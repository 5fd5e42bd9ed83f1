"""Explains where a request would go at this moment, and why, without sending it.

Load pattern: while callers report slow or refused requests, an operator asks a VM that serves them
about many requests in a row. An explanation draws no random numbers of the router, counts no
request, and uses up no limit, so that the decisions on callers' requests stay as they are.
"""

import random
from collections.abc import Iterator
from typing import NotRequired, TypedDict

from carawaybank.routing import admission, selection
from carawaybank.routing.configuration import Route, Tenant
from carawaybank.routing.estimates import PREFERRED_WARMTHS, Choice, WorkEstimate, evaluate
from carawaybank.routing.messages import Request
from carawaybank.routing.progress import Progress
from carawaybank.routing.router import Router
from carawaybank.routing.target import Target
from carawaybank.routing.tenants import RequestTerms, join_terms

#: Candidates listed per region: those that are compared, and as many that would follow.
MAX_CANDIDATES = 4


class Query(TypedDict):
    """The request to explain.

    Attributes:
        host: Host of the request.
        path: Path of the request.
        object_key: Key of its object, if any.
        tenant: Name of its tenant, if any; an API key is not needed.
    """

    host: str
    path: str
    object_key: NotRequired[str]
    tenant: NotRequired[str]


class Candidate(TypedDict):
    """A target that the request may be sent to.

    Attributes:
        target_id: Id of the target.
        failure_domain: Its failure domain.
        expected_ms: Milliseconds after which a response is expected.
        wait_ms: Milliseconds of these for which the request would be queued.
        warmth: Probability that the object is warm there.
        pace: Share of its objects that the target gets.
        load_age_s: Seconds since its last load report; -1 if there was none.
        excluded: Why the request would not be sent there now; empty if it may be.
    """

    target_id: str
    failure_domain: str
    expected_ms: int
    wait_ms: int
    warmth: float
    pace: float
    load_age_s: float
    excluded: str


class ServicePlan(TypedDict):
    """What would happen to the request at one of the services of its route.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests that it gets.
        regions: Share of this VM's requests that run there, by region.
        candidates: Targets by region, in the order of preference.
        decision: What the VM would do.
    """

    service: str
    weight: float
    regions: dict[str, float]
    candidates: dict[str, list[Candidate]]
    decision: str


class Explanation(TypedDict):
    """Where a request would go.

    Attributes:
        configuration: Version of the configuration in force; 0 if there is none.
        route: Name of the route; empty if there is none.
        tenant: Name of the tenant; empty if there is none.
        rate: Requests per second of the tenant's allotment; 0 if it has none.
        priority_rank: Urgency of the request; 0 is the most urgent.
        allowed_regions: Regions that may run it; empty for all.
        refused: Why it would be refused before a target is selected; empty if it would not be.
        services: The services that may run it.
    """

    configuration: int
    route: str
    tenant: str
    rate: float
    priority_rank: int
    allowed_regions: list[str]
    refused: str
    services: list[ServicePlan]


def explain(router: Router, query: Query, *, now: float) -> Explanation:
    """Returns where a request that arrived now would go.

    Args:
        router: The router of this VM, which is only read.
        query: The request.
        now: Current time in monotonic seconds.
    """
    configuration = router.configuration
    route = router.routes.find(query["host"], query["path"])
    tenant = router.identification.tenants.find_by_name(query.get("tenant", ""))
    explanation = Explanation(
        configuration=configuration.version if configuration else 0,
        route=route.name if route else "",
        tenant=tenant.name if tenant else "",
        rate=tenant.rate if tenant else 0.0,
        priority_rank=0,
        allowed_regions=[],
        refused=_find_refusal(router, route, tenant),
        services=[],
    )
    if route is None:
        return explanation
    terms = join_terms(route, None if route.is_public else tenant)
    explanation["priority_rank"] = terms.priority_rank
    explanation["allowed_regions"] = sorted(terms.allowed_regions or ())
    if terms.allowed_regions is not None and not terms.allowed_regions:
        explanation["refused"] = "503: the home regions of route and tenant have none in common"
    if not explanation["refused"]:
        explanation["services"] = list(_plan_services(router, route, terms, query, now))
    return explanation


def _find_refusal(router: Router, route: Route | None, tenant: Tenant | None) -> str:
    if router.configuration is None:
        return "503: no configuration yet"
    if route is None:
        return "404: no such route"
    if tenant is None and not (route.is_public or router.identification.tenants.is_empty):
        return "401: the route needs a key of a known tenant"
    return ""


def _plan_services(
    router: Router, route: Route, terms: RequestTerms, query: Query, now: float
) -> Iterator[ServicePlan]:
    total = sum(weighted.weight for weighted in route.services)
    request = Request(
        key=0,
        request_id="",
        host=query["host"],
        path=query["path"],
        object_key=query.get("object_key", ""),
        fingerprint="",
        budget_s=None,
    )
    for weighted in route.services:
        name = weighted.service
        rank = router.identification.least_urgent_rank(name, default=terms.priority_rank)
        progress = Progress(
            request=request,
            route=route,
            terms=terms,
            service=name,
            now=now,
            least_urgent_rank=rank,
        )
        yield _plan(router, progress, weighted.weight / total if total else 0.0, now)


def _plan(router: Router, progress: Progress, weight: float, now: float) -> ServicePlan:
    targets = router.targets
    regions = sorted({t.entry.region for t in targets.eligible_targets(progress.service)})
    work = router.known_work_estimate(progress.route)
    choices: dict[str, list[Choice]] = {}
    candidates: dict[str, list[Candidate]] = {}
    for region in regions:
        choices[region], candidates[region] = _rank(router, progress, region, work, now)
    shares = router.shares.region_shares(progress.service, regions)
    return ServicePlan(
        service=progress.service,
        weight=round(weight, 3),
        regions={region: round(share, 3) for region, share in shares.items()},
        candidates=candidates,
        decision=_decide(router, progress, choices, shares, now),
    )


def _rank(
    router: Router, progress: Progress, region: str, work: WorkEstimate, now: float
) -> tuple[list[Choice], list[Candidate]]:
    """Returns the targets of a region that may serve the request, and the first by preference."""
    choices: list[Choice] = []
    candidates: list[Candidate] = []
    pool = router.targets.pool_name(progress.service, region)
    key = progress.object_key or "0"
    for target_id in router.targets.pools.rank(pool, key):
        target = router.targets.find(target_id)
        if target is None or len(candidates) >= MAX_CANDIDATES:
            break
        excluded = selection.find_exclusion(router, progress, target, now)
        warmth = selection.find_warmth(
            target, progress, PREFERRED_WARMTHS[min(len(choices), len(PREFERRED_WARMTHS) - 1)]
        )
        entry = target.entry
        round_trip_s = router.round_trip_times.estimate_s(entry.failure_domain, entry.region)
        choice = evaluate(target, now=now, warmth=warmth, work=work, round_trip_s=round_trip_s)
        if not excluded:
            choices.append(choice)
        candidates.append(_describe(router, target, choice, excluded, now))
    return choices[: len(PREFERRED_WARMTHS)], candidates


def _describe(
    router: Router, target: Target, choice: Choice, excluded: str, now: float
) -> Candidate:
    age_s = target.load_report_age_s(now=now)
    return Candidate(
        target_id=target.entry.target_id,
        failure_domain=target.entry.failure_domain,
        expected_ms=round(choice.expected_s * 1000),
        wait_ms=round(choice.wait_s * 1000),
        warmth=round(choice.warmth, 2),
        pace=round(router.targets.pace.known_share(target), 2),
        load_age_s=-1.0 if age_s is None else round(age_s, 2),
        excluded=excluded,
    )


def _decide(
    router: Router,
    progress: Progress,
    choices: dict[str, list[Choice]],
    shares: dict[str, float],
    now: float,
) -> str:
    if router.reachability.is_lost(progress.service):
        return "passed on to a sibling: this VM reaches no target of the service"
    allowed = [region for region in choices if progress.terms.allows(region) and choices[region]]
    if not allowed:
        return "503: no target can take it"
    region = max(allowed, key=lambda name: shares.get(name, 0.0))
    best = min(choices[region], key=lambda choice: choice.expected_s)
    # The router's random numbers stay as they are; the retry delay is only an example.
    refusal = admission.check(
        choice=best,
        elapsed_s=0.0,
        wait_limit_s=admission.wait_limit_s(
            progress.terms,
            objective_s=progress.route.objective_s,
            least_urgent_rank=progress.least_urgent_rank,
        ),
        remaining_s=progress.deadline - now,
        rng=random.Random(0),
    )
    expected = f"expected after {best.expected_s:.3f} s, of them {best.wait_s:.3f} s waiting"
    if refusal is None:
        return f"sent to {best.target.entry.target_id} in {region}: {expected}"
    retry = f"retry after {refusal.retry_after_s:.2f} s or so"
    return f"503 unless another region has room: {expected}; {retry}"
