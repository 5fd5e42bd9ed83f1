"""DRAIN, EVAC, CONFIG, ROUTE and BUDGET: at which targets requests arrive, and how often."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable

from standins.soak.history import Event, History, Request, Run, Violation


def find_late_arrivals(history: History) -> Iterable[Violation]:
    """Finds arrivals at targets that left and in failure domains that were evacuated."""
    bounds = history.bounds
    for leave in history.find_events("leave"):
        back_at = _end_at(history, leave, "start", "return")
        for run in _find_arrivals(history, leave.at + bounds.drainMs / 1000, back_at):
            if run.target == leave.target and _is_sent_in_touch(history, run):
                yield _late("DRAIN", history, run, f"left at {leave.at:.3f}")
    for order in history.find_events("evacuate"):
        back_at = _end_at(history, order, "unevacuate")
        for run in _find_arrivals(history, order.at + bounds.evacMs / 1000, back_at):
            if run.failure_domain == order.failure_domain and _is_sent_in_touch(history, run):
                yield _late("EVAC", history, run, f"evacuated at {order.at:.3f}")


def find_stale_configs(history: History) -> Iterable[Violation]:
    """Finds requests that were handled as only an older version, or none, allows."""
    for request in history.requests:
        in_force = history.configs_in_force(request)
        oldest = in_force[0] if in_force else None
        if not oldest or oldest.at > request.sent_at - history.bounds.configMs / 1000:
            continue
        services = [services_of(config, request) for config in in_force]
        runs = [
            run for run in history.runs_of(request.id) if run.service not in set().union(*services)
        ]
        for run in runs:
            known = set().union(*(services_of(config, request) for config in history.configs))
            if run.service not in known:
                yield _stale("ROUTE", request, oldest, run.describe())
            elif history.is_in_touch(request.vm, run.started_at):
                yield _stale("CONFIG", request, oldest, run.describe())
        refused = request.status == 404 and not request.seal
        if refused and all(services) and history.is_in_touch(request.vm, request.ended_at):
            yield _stale("CONFIG", request, oldest, "404 for a route that is there")


def find_excess_retries(history: History) -> Iterable[Violation]:
    """Finds windows in which a service gets more arrivals beyond the first than its share."""
    repeats: dict[str, list[float]] = defaultdict(list)
    for runs in history.arrivals_by_id.values():
        for run in runs[1:]:
            repeats[run.service].append(run.reached_at)
    requests: dict[str, list[float]] = defaultdict(list)
    for request in history.requests:
        arrivals = history.arrivals_by_id.get(request.id, [])
        for service in {arrivals[0].service} if arrivals else _expected_services(history, request):
            requests[service].append(request.sent_at)
    for service, times in repeats.items():
        times.sort()
        excess = _find_excess(history, times, requests[service])
        if excess:
            yield Violation("BUDGET", excess[0], "", f"{service}: {excess[1]}")


def services_of(config: Event, request: Request) -> set[str]:
    """Returns the services to which a configuration routes a request; none without a route."""
    path = request.path or request.route
    prefix = max(
        (prefix for prefix in config.routes if path.startswith(prefix)), key=len, default=""
    )
    services = config.routes.get(prefix, [])
    return {services} if isinstance(services, str) else set(services)


def _find_excess(
    history: History, repeats: list[float], requests: list[float]
) -> tuple[float, str] | None:
    bounds = history.bounds
    window_s = bounds.retryWindowS
    for at in [*repeats, *(time + window_s for time in repeats)]:
        count = _count(repeats, at - window_s, at)
        base = max(
            _count(requests, at - window_s - earlier_s, at - earlier_s)
            for earlier_s in (0.0, window_s, window_s / 2)
        )
        limit = bounds.retryRatio * base + bounds.retrySlack
        if count > limit:
            window = f"{window_s:g} s until {at:.3f}"
            return at, f"{count} repeats in {window}, allowed {limit:.1f} for {base} requests"
    return None


def _expected_services(history: History, request: Request) -> set[str]:
    confirmed = [config for config in history.configs if config.at <= request.sent_at]
    return services_of(confirmed[-1], request) if confirmed else set()


def _count(times: list[float], start: float, end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, start)


def _end_at(history: History, event: Event, *names: str) -> float:
    """Returns when an event's target or failure domain is back; infinity if never."""
    for later in history.find_events(*names):
        if later.at <= event.at:
            continue
        if event.target and later.target == event.target:
            return later.at
        if not event.target and later.failure_domain == event.failure_domain:
            return later.at
    return float("inf")


def _find_arrivals(history: History, start: float, end: float) -> Iterable[Run]:
    """Returns the arrivals of a span other than those that got a 421."""
    return (run for run in history.arrivals if start < run.reached_at < end and run.status != 421)


def _is_sent_in_touch(history: History, run: Run) -> bool:
    request = history.requests_by_id.get(run.id)
    return request is not None and history.is_in_touch(request.vm, run.reached_at)


def _late(rule: str, history: History, run: Run, since: str) -> Violation:
    vm = history.requests_by_id[run.id].vm
    return Violation(rule, run.reached_at, vm, f"{run.describe()}, {since}; see {vm}.log")


def _stale(rule: str, request: Request, config: Event, what: str) -> Violation:
    since = f"version {config.version} confirmed at {config.at:.3f}"
    detail = f"{request.describe()}: {what}, {since}; see {request.vm}.log"
    return Violation(rule, request.sent_at, request.vm, detail)
