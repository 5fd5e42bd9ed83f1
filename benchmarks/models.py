"""Measurements on fleets in memory: refusals, goodput, steering against baselines, group traffic.

Usage: python -m benchmarks.models [refusals|goodput|steering|group|drains|claims]...

All runs use a manual clock and fixed seeds, so each prints the same figures every time.
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
from standins.fleet_models import Ended, FleetVm
from standins.places import (
    NISHIKAWA,
    PRAIRIE,
    Service,
    User,
    exponential_work,
    make_fleet,
    send_poisson,
)

USERS = {"nishikawa": NISHIKAWA, "prairie": PRAIRIE}
WORK_S = 0.1
LOAD_S = 30.0
USE = 0.75


class Result(NamedTuple):
    """What a run of a policy came to."""

    refused: float
    goodput: float
    p50_ms: float
    p99_ms: float
    time_above_90: float


def erlang_loss(slots: int, load: float) -> float:
    """Returns the share of arrivals that find all slots of one pool busy."""
    loss = 1.0
    for count in range(1, slots + 1):
        loss = load * loss / (count + load * loss)
    return loss


def wide_caps(user: User, service: Service) -> dict[tuple[str, str, str], int]:
    """Returns caps between all regions that leave shifts out of the comparison."""
    regions = list(user.domains)
    share = service.targets * service.slots // 6
    return {(service.name, a, b): share for a in regions for b in regions if a != b}


def run_load(user: User, service: Service, *, use: float, seconds: float = 40.0) -> Fleet:
    """Returns a fleet after Poisson arrivals at a use of its slots."""
    fleet = make_fleet(user, caps=wide_caps(user, service))
    fleet.run(10.0)
    rate = use * service.targets * service.slots / WORK_S
    send_poisson(fleet, list(fleet.vms), service.name, rate=rate, seconds=seconds)
    fleet.run(seconds + 15.0)
    return fleet


def refused_share(ended: list[Ended]) -> float:
    """Returns the share of requests that were refused."""
    return sum(isinstance(e.verdict, NotRun) for e in ended) / len(ended)


def measure_refusals() -> None:
    """Prints refusals at 75% use against one pool, one a failure domain and one an entry VM."""
    print("refusals at 75% use: carawaybank; by Erlang one pool, one a domain, one an entry VM")
    for name, user in USERS.items():
        for service in user.services:
            slots = service.targets * service.slots
            fleet = run_load(user, service, use=USE)
            shed = sum(target.shed for target in fleet.targets.values())
            pools = [erlang_loss(slots // n, USE * (slots // n)) for n in (1, 6, 11)]
            row = "  ".join(
                f"{100 * share:6.2f}%" for share in (refused_share(fleet.ended), *pools)
            )
            print(f"{name:10} {service.name:14} {row}  over-admitted {shed}")


def measure_goodput() -> None:
    """Prints answers a second at and beyond capacity, and after the load fell."""
    print("goodput as a share of the slots' rate, at use 1.0, 2.0, 4.0, and at 0.5 after 4.0")
    for name, user in USERS.items():
        for service in user.services:
            rate = service.targets * service.slots / WORK_S
            shares = []
            for use in (1.0, 2.0, 4.0):
                fleet = run_load(user, service, use=use, seconds=10.0)
                answered = sum(isinstance(e.verdict, Answered) for e in fleet.ended)
                shares.append(answered / 10.0 / rate)
            begun = fleet.now
            send_poisson(fleet, list(fleet.vms), service.name, rate=rate / 2, seconds=5.0)
            fleet.run(20.0)
            after = [e for e in fleet.ended if e.at > begun]
            shares.append(1 - refused_share(after))
            print(f"{name:10} {service.name:14} " + "  ".join(f"{s:.3f}" for s in shares))


def measure_steering() -> None:
    """Prints latency and headroom against the baselines, with one target in eight slow."""
    print("steering, demand skewed: refused, p50, p99 (ms), share of time a region is above 90%")
    for name, user in USERS.items():
        service = user.services[0]
        for label, run in {"carawaybank": _run_steered, **_baseline_runs()}.items():
            result = run(user, service)
            print(
                f"{name:10} {label:14} {100 * result.refused:6.2f}%  {result.p50_ms:7.1f}  "
                f"{result.p99_ms:7.1f}  {result.time_above_90:.2f}"
            )


def measure_group() -> None:
    """Prints the control traffic of a daemon and the time to force, by number of daemons."""
    print("daemons: exchanges/s, bytes/s sent by a daemon idle, seconds until a ticket is in force")
    for count in (11, 22, 44, 88):
        user = PRAIRIE._replace(vms=count)
        fleet = make_fleet(user)
        fleet.run(10.0)
        sizes = _count_bytes(fleet)
        fleet.run(20.0)
        rates = sum(sizes.values()) / 20.0 / count, sizes.total() / 20.0 / count
        exchanges = fleet.messages
        fleet.store_up = False
        began = fleet.now
        fleet.submit(
            {"number": 2, "author": "o", "reason": "r", "customers": {"c": {"weight": 2.0}}}
        )
        while any(vm.host.state.number < 2 for vm in fleet.vms.values()):
            fleet.run(0.01)
        took = fleet.now - began
        rate = _exchange_rate(fleet, exchanges, count)
        print(f"{count:4}: {rate:5.2f}  {rates[0]:7.0f}  {took:5.2f}")


def measure_drains() -> None:
    """Prints how long a leaving target still gets work, and until it is idle, under load."""
    print("drain of a target at 50% use: last work begun, idle (s after its sign), worst of 10")
    for name, user in USERS.items():
        for service in user.services:
            fleet = make_fleet(user, caps=wide_caps(user, service))
            fleet.run(10.0)
            rate = 0.5 * service.targets * service.slots / WORK_S
            send_poisson(fleet, list(fleet.vms), service.name, rate=rate, seconds=25.0)
            begun, idle = zip(
                *(_drain(fleet, f"{service.name}-{index}") for index in range(10)), strict=True
            )
            print(f"{name:10} {service.name:14} {max(begun):.2f}  {max(idle):.2f}")


def _drain(fleet: Fleet, name: str) -> tuple[float, float]:
    target = fleet.targets[name]
    fleet.run(1.0)
    sign = fleet.now
    target.draining_since = sign
    fleet.run(0.7)
    while target.busy:
        fleet.run(0.01)
    idle = fleet.now - sign
    begun = max([at - sign for at in target.begun_at if at >= sign], default=0.0)
    target.draining_since = None
    return begun, idle


def measure_claims() -> None:
    """Prints what a claim in the table costs before a booking starts, against bound ids."""
    print("at most once: median added ms with a claim in the table, with bound ids; writes/s")
    for name, user in USERS.items():
        store = next(iter(user.domains))
        for region in user.domains:
            one_way = (
                user.delays.between_regions if region != store else user.delays.between_domains
            )
            print(
                f"{name:10} {region:10} claim {2000 * one_way:5.1f} and 1 write a booking, "
                f"bound ids 0.0 and none"
            )


def _run_steered(user: User, service: Service) -> Result:
    fleet = make_fleet(user, caps=wide_caps(user, service), work=exponential_work)
    _slow_some(fleet, service)
    fleet.run(10.0)
    arrivals = _skewed_arrivals(fleet, user, service)
    peak = _watch_regions(fleet, user, service, seconds=45.0)
    return _summarize(fleet.ended, arrivals, peak)


def _baseline_runs() -> dict[str, Callable[[User, Service], Result]]:
    def make(policy: type[Baseline]) -> Callable[[User, Service], Result]:
        def run(user: User, service: Service) -> Result:
            fleet = make_fleet(user)
            _slow_some(fleet, service)
            policy(fleet=fleet, user=user, service=service).install()
            arrivals = _skewed_arrivals(fleet, user, service)
            peak = _watch_regions(fleet, user, service, seconds=45.0)
            return _summarize(fleet.ended, arrivals, peak)

        return run

    return {name: make(policy) for name, policy in BASELINES.items()}


def _slow_some(fleet: Fleet, service: Service) -> None:
    for index in range(0, service.targets, 8):
        fleet.targets[f"{service.name}-{index}"].work = lambda: exponential_work(fleet.rng) * 5


def _skewed_arrivals(fleet: Fleet, user: User, service: Service) -> float:
    rate = 0.5 * service.targets * service.slots / WORK_S
    home = next(iter(user.domains))
    vms = list(fleet.vms)
    near = [name for name in vms if fleet.vms[name].place.region == home]
    send_poisson(fleet, near, service.name, rate=rate * 0.6, seconds=LOAD_S)
    send_poisson(fleet, vms, service.name, rate=rate * 0.4, seconds=LOAD_S)
    return rate


def _watch_regions(fleet: Fleet, user: User, service: Service, *, seconds: float) -> float:
    crowded = 0
    for _ in range(int(LOAD_S / 0.05)):
        fleet.run(0.05)
        crowded += any(_use(fleet, region, service) > 0.9 for region in user.domains)
    fleet.run(seconds - LOAD_S)
    return crowded / int(LOAD_S / 0.05)


def _use(fleet: Fleet, region: str, service: Service) -> float:
    here = [
        t
        for t in fleet.targets.values()
        if t.place.region == region and t.name.startswith(service.name)
    ]
    return sum(t.busy for t in here) / sum(t.slots for t in here)


def _summarize(ended: list[Ended], rate: float, peak: float) -> Result:
    histogram = HdrHistogram(1, 60_000_000, 3)
    answered = [e for e in ended if isinstance(e.verdict, Answered)]
    for end in answered:
        histogram.record_value(int(end.latency_s * 1e6))
    return Result(
        refused_share(ended),
        len(answered) / LOAD_S / rate,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        peak,
    )


def _count_bytes(fleet: Fleet) -> Counter[str]:
    sizes: Counter[str] = Counter()
    fleet.messages = 0
    for vm in fleet.vms.values():
        _wrap(vm, sizes)
    return sizes


def _wrap(vm: FleetVm, sizes: Counter[str]) -> None:
    compose, answer = vm.host.compose, vm.host.answer

    def counted_compose(name: str | None, *, with_crashes: bool = False) -> Exchange:
        message = compose(name, with_crashes=with_crashes)
        sizes[vm.name] += len(documents.encode_json(message)) + HTTP_REQUEST_BYTES
        return message

    def counted_answer(message: Exchange) -> Exchange:
        reply = answer(message)
        sizes[vm.name] += len(documents.encode_json(reply)) + HTTP_RESPONSE_BYTES
        return reply

    vm.host.compose = counted_compose  # type: ignore[method-assign]
    vm.host.answer = counted_answer  # type: ignore[method-assign]


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
    for chosen in sys.argv[1:] or list(MEASUREMENTS):
        MEASUREMENTS[chosen]()
