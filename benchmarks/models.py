"""Measures policies on fleets in memory: refusals, goodput, latency, control traffic and drains.

Usage: python -m benchmarks.models [refusals|goodput|steering|group|drains|claims]...

All runs use a simulated clock and fixed seeds, so the figures are reproducible.
"""

import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from benchmarks.baselines import BASELINES, Baseline
from carawaybank import documents
from carawaybank.steering.exchange import Exchange
from carawaybank.verdicts import Answered, NotRun
from standins.fleet import Fleet
from standins.fleet_models import FinishedRequest, FleetVm
from standins.sampledeployments import (
    NISHIKAWA,
    PRAIRIE,
    SampleDeployment,
    Service,
    draw_exponential_work_s,
    make_fleet,
    schedule_poisson_load,
)

DEPLOYMENTS = {"nishikawa": NISHIKAWA, "prairie": PRAIRIE}
MEAN_WORK_S = 0.1
LOAD_DURATION_S = 30.0
UTILISATION = 0.75


class PolicyResult(NamedTuple):
    """Figures of a run of a policy.

    Attributes:
        refused: Share of requests that were refused.
        goodput: Successful responses as a share of the arrivals.
        p50_ms: Median latency in milliseconds.
        p99_ms: 99th percentile of the latency in milliseconds.
        time_above_90: Share of the time in which a region uses more than 90% of its slots.
    """

    refused: float
    goodput: float
    p50_ms: float
    p99_ms: float
    time_above_90: float


def erlang_loss(slots: int, offered_load: float) -> float:
    """Returns the share of arrivals that find all slots of a pool busy (Erlang B formula).

    Args:
        slots: Slots of the pool.
        offered_load: Offered load in erlangs.
    """
    loss_share = 1.0
    for busy_slots in range(1, slots + 1):
        loss_share = offered_load * loss_share / (busy_slots + offered_load * loss_share)
    return loss_share


def wide_caps(deployment: SampleDeployment, service: Service) -> dict[tuple[str, str, str], int]:
    """Returns caps of a sixth of a service's slots between all regions.

    With them, the caps on shifts do not influence the comparison.
    """
    regions = list(deployment.domains_by_region)
    cap = service.target_count * service.slots // 6
    return {(service.name, a, b): cap for a in regions for b in regions if a != b}


def run_load(
    deployment: SampleDeployment, service: Service, *, utilisation: float, seconds: float = 40.0
) -> Fleet:
    """Returns a fleet after Poisson arrivals at a utilisation of a service's slots."""
    fleet = make_fleet(deployment, caps=wide_caps(deployment, service))
    fleet.advance(10.0)
    rate = utilisation * service.target_count * service.slots / MEAN_WORK_S
    schedule_poisson_load(fleet, list(fleet.vms), service.name, rate=rate, seconds=seconds)
    fleet.advance(seconds + 15.0)
    return fleet


def refused_share(requests: list[FinishedRequest]) -> float:
    """Returns the share of requests that ended as NotRun."""
    return sum(isinstance(request.verdict, NotRun) for request in requests) / len(requests)


def measure_refusals() -> None:
    """Prints refusals at 75% utilisation and the Erlang B losses of 1, 6 and 11 separate pools."""
    print(
        "refusals at 75% use: carawaybank; Erlang B with one pool, one per domain, one per entry VM"
    )
    for name, deployment in DEPLOYMENTS.items():
        for service in deployment.services:
            slots = service.target_count * service.slots
            fleet = run_load(deployment, service, utilisation=UTILISATION)
            shed = sum(target.shed for target in fleet.targets.values())
            pools = [
                erlang_loss(slots // pool_count, UTILISATION * (slots // pool_count))
                for pool_count in (1, 6, 11)
            ]
            row = "  ".join(
                f"{100 * share:6.2f}%" for share in (refused_share(fleet.finished_requests), *pools)
            )
            print(f"{name:10} {service.name:14} {row}  over-admitted {shed}")


def measure_goodput() -> None:
    """Prints the goodput at and beyond capacity, and the accepted share after the overload."""
    print("goodput as a share of capacity at load 1.0, 2.0, 4.0; accepted share at 0.5 after 4.0")
    for name, deployment in DEPLOYMENTS.items():
        for service in deployment.services:
            rate = service.target_count * service.slots / MEAN_WORK_S
            shares = []
            for utilisation in (1.0, 2.0, 4.0):
                fleet = run_load(deployment, service, utilisation=utilisation, seconds=10.0)
                answered = sum(isinstance(e.verdict, Answered) for e in fleet.finished_requests)
                shares.append(answered / 10.0 / rate)
            recovery_started_at = fleet.now
            schedule_poisson_load(fleet, list(fleet.vms), service.name, rate=rate / 2, seconds=5.0)
            fleet.advance(20.0)
            after = [e for e in fleet.finished_requests if e.ended_at > recovery_started_at]
            shares.append(1 - refused_share(after))
            print(f"{name:10} {service.name:14} " + "  ".join(f"{s:.3f}" for s in shares))


def measure_steering() -> None:
    """Prints refusals, latency and overload of all policies, with every eighth target slow."""
    print("steering, demand skewed: refused, p50, p99 (ms), share of time a region is above 90%")
    for name, deployment in DEPLOYMENTS.items():
        service = deployment.services[0]
        for label, run in {"carawaybank": _run_carawaybank, **_baseline_runs()}.items():
            result = run(deployment, service)
            print(
                f"{name:10} {label:14} {100 * result.refused:6.2f}%  {result.p50_ms:7.1f}  "
                f"{result.p99_ms:7.1f}  {result.time_above_90:.2f}"
            )


def measure_group() -> None:
    """Prints control traffic and propagation time of a ticket by the number of daemons."""
    print("daemons: exchanges/s, bytes/s sent by a daemon idle, seconds until a ticket is in force")
    for count in (11, 22, 44, 88):
        deployment = PRAIRIE._replace(vm_count=count)
        fleet = make_fleet(deployment)
        fleet.advance(10.0)
        sent_bytes = _count_bytes(fleet)
        fleet.advance(20.0)
        byte_rates = sum(sent_bytes.values()) / 20.0 / count, sent_bytes.total() / 20.0 / count
        exchanges = fleet.exchange_count
        fleet.is_store_available = False
        submitted_at = fleet.now
        fleet.submit_ticket(
            {"number": 2, "author": "o", "reason": "r", "customers": {"c": {"weight": 2.0}}}
        )
        while any(vm.host.state.number < 2 for vm in fleet.vms.values()):
            fleet.advance(0.01)
        propagation_s = fleet.now - submitted_at
        exchange_rate = _exchange_rate(fleet, exchanges, count)
        print(f"{count:4}: {exchange_rate:5.2f}  {byte_rates[0]:7.0f}  {propagation_s:5.2f}")


def measure_drains() -> None:
    """Prints for how long a draining target receives requests, and when it is idle, under load."""
    print(
        "drain of a target at 50% load: last request started, idle (s after its start), worst of 10"
    )
    for name, deployment in DEPLOYMENTS.items():
        for service in deployment.services:
            fleet = make_fleet(deployment, caps=wide_caps(deployment, service))
            fleet.advance(10.0)
            rate = 0.5 * service.target_count * service.slots / MEAN_WORK_S
            schedule_poisson_load(fleet, list(fleet.vms), service.name, rate=rate, seconds=25.0)
            last_starts_s, idle_after_s = zip(
                *(_drain(fleet, f"{service.name}-{index}") for index in range(10)), strict=True
            )
            print(f"{name:10} {service.name:14} {max(last_starts_s):.2f}  {max(idle_after_s):.2f}")


def _drain(fleet: Fleet, name: str) -> tuple[float, float]:
    target = fleet.targets[name]
    fleet.advance(1.0)
    drain_started_at = fleet.now
    target.draining_since = drain_started_at
    fleet.advance(0.7)
    while target.busy:
        fleet.advance(0.01)
    idle_after_s = fleet.now - drain_started_at
    last_start_s = max(
        [at - drain_started_at for at in target.run_started_at if at >= drain_started_at],
        default=0.0,
    )
    target.draining_since = None
    return last_start_s, idle_after_s


def measure_claims() -> None:
    """Prints the latency that a claim in the table adds to a request, compared with bound ids."""
    print("at most once: median added ms with a claim in the table, with bound ids; writes/s")
    for name, deployment in DEPLOYMENTS.items():
        store_region = next(iter(deployment.domains_by_region))
        for region in deployment.domains_by_region:
            one_way_s = (
                deployment.delays.between_regions_s
                if region != store_region
                else deployment.delays.between_domains_s
            )
            print(
                f"{name:10} {region:10} claim {2000 * one_way_s:5.1f} and 1 write per request, "
                f"bound ids 0.0 and none"
            )


def _run_carawaybank(deployment: SampleDeployment, service: Service) -> PolicyResult:
    fleet = make_fleet(
        deployment, caps=wide_caps(deployment, service), draw_work_s=draw_exponential_work_s
    )
    _slow_every_eighth_target(fleet, service)
    fleet.advance(10.0)
    arrivals = _skewed_arrivals(fleet, deployment, service)
    overload_share = _overload_share(fleet, deployment, service, seconds=45.0)
    return _summarize(fleet.finished_requests, arrivals, overload_share)


def _baseline_runs() -> dict[str, Callable[[SampleDeployment, Service], PolicyResult]]:
    def make(policy: type[Baseline]) -> Callable[[SampleDeployment, Service], PolicyResult]:
        def run(deployment: SampleDeployment, service: Service) -> PolicyResult:
            fleet = make_fleet(deployment)
            _slow_every_eighth_target(fleet, service)
            policy(fleet=fleet, deployment=deployment, service=service).install()
            arrivals = _skewed_arrivals(fleet, deployment, service)
            overload_share = _overload_share(fleet, deployment, service, seconds=45.0)
            return _summarize(fleet.finished_requests, arrivals, overload_share)

        return run

    return {name: make(policy) for name, policy in BASELINES.items()}


def _slow_every_eighth_target(fleet: Fleet, service: Service) -> None:
    for index in range(0, service.target_count, 8):
        fleet.targets[f"{service.name}-{index}"].draw_work_s = lambda: (
            draw_exponential_work_s(fleet.rng) * 5
        )


def _skewed_arrivals(fleet: Fleet, deployment: SampleDeployment, service: Service) -> float:
    rate = 0.5 * service.target_count * service.slots / MEAN_WORK_S
    busy_region = next(iter(deployment.domains_by_region))
    vms = list(fleet.vms)
    busy_region_vms = [name for name in vms if fleet.vms[name].locality.region == busy_region]
    schedule_poisson_load(
        fleet, busy_region_vms, service.name, rate=rate * 0.6, seconds=LOAD_DURATION_S
    )
    schedule_poisson_load(fleet, vms, service.name, rate=rate * 0.4, seconds=LOAD_DURATION_S)
    return rate


def _overload_share(
    fleet: Fleet, deployment: SampleDeployment, service: Service, *, seconds: float
) -> float:
    overloaded_samples = 0
    for _ in range(int(LOAD_DURATION_S / 0.05)):
        fleet.advance(0.05)
        overloaded_samples += any(
            _utilisation(fleet, region, service) > 0.9 for region in deployment.domains_by_region
        )
    fleet.advance(seconds - LOAD_DURATION_S)
    return overloaded_samples / int(LOAD_DURATION_S / 0.05)


def _utilisation(fleet: Fleet, region: str, service: Service) -> float:
    targets = [
        t
        for t in fleet.targets.values()
        if t.locality.region == region and t.name.startswith(service.name)
    ]
    return sum(t.busy for t in targets) / sum(t.slots for t in targets)


def _summarize(
    finished_requests: list[FinishedRequest], rate: float, overload_share: float
) -> PolicyResult:
    histogram = HdrHistogram(1, 60_000_000, 3)
    answered = [e for e in finished_requests if isinstance(e.verdict, Answered)]
    for request in answered:
        histogram.record_value(int(request.latency_s * 1e6))
    return PolicyResult(
        refused_share(finished_requests),
        len(answered) / LOAD_DURATION_S / rate,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        overload_share,
    )


def _count_bytes(fleet: Fleet) -> Counter[str]:
    sent_bytes: Counter[str] = Counter()
    fleet.exchange_count = 0
    for vm in fleet.vms.values():
        _count_vm_bytes(vm, sent_bytes)
    return sent_bytes


def _count_vm_bytes(vm: FleetVm, sent_bytes: Counter[str]) -> None:
    make_exchange, handle_exchange = vm.host.make_exchange, vm.host.handle_exchange

    def counted_make_exchange(name: str | None, *, with_crashes: bool = False) -> Exchange:
        message = make_exchange(name, with_crashes=with_crashes)
        sent_bytes[vm.name] += len(documents.encode_json(message)) + HTTP_REQUEST_BYTES
        return message

    def counted_handle_exchange(message: Exchange) -> Exchange:
        reply = handle_exchange(message)
        sent_bytes[vm.name] += len(documents.encode_json(reply)) + HTTP_RESPONSE_BYTES
        return reply

    vm.host.make_exchange = counted_make_exchange  # type: ignore[method-assign]
    vm.host.handle_exchange = counted_handle_exchange  # type: ignore[method-assign]


def _exchange_rate(fleet: Fleet, exchanges: int, count: int) -> float:
    return exchanges / 20.0 / count


HTTP_REQUEST_BYTES = 90
HTTP_RESPONSE_BYTES = 140
MEASUREMENTS = {
    "refusals": measure_refusals,
    "goodput": measure_goodput,
    "steering": measure_steering,
    "group": measure_group,
    "drains": measure_drains,
    "claims": measure_claims,
}

if __name__ == "__main__":
    for name in sys.argv[1:] or list(MEASUREMENTS):
        MEASUREMENTS[name]()
