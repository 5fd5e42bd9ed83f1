"""Measures the lists of VMs that callers get: load by weight, and lists that change.

Usage: python -m benchmarks.vmlists [SEEDS]

No network and no clock; seeds are fixed, so the figures are reproducible. A caller's requests are
spread evenly over its list, as by picks at random over a long time.
"""

import random
import statistics
import sys
from collections.abc import Callable, Sequence
from typing import NamedTuple

from carawaybank.routing import callerlists
from carawaybank.routing.vmweights import CONGESTED_FACTOR, VmCapacity, capacity_weight

DOMAIN_COUNT = 6
MAX_LISTED = 64
LARGE_MILK = VmCapacity(0.717, 3.0, 200.0, 552.0)
SMALL_MILK = VmCapacity(0.301, 1.0, 10.0, 152.0)
LARGE_FIBRE = VmCapacity(0.717, 3.0, 100.0, 552.0)
SMALL_FIBRE = VmCapacity(0.43, 1.0, 5.0, 200.0)

Domain = dict[str, float]
Lists = dict[str, set[str]]


class Result(NamedTuple):
    """Figures of the VMs or callers of one seed.

    Attributes:
        busiest: Highest load of a VM relative to its weight; 1 is the mean of its failure domain.
        large: Mean of the same over the VMs of the heaviest size.
        listed: Mean length of a list.
        changed: Share of the callers whose lists differ, by event.
        lost: Share of the list entries that callers lose, by event.
    """

    busiest: float
    large: float
    listed: float
    changed: dict[str, float]
    lost: dict[str, float]


def make_domain(seed: int, index: int, capacities: Sequence[VmCapacity]) -> Domain:
    return {
        f"edge-{seed}-{index}-{number}": capacity_weight(capacity)
        for number, capacity in enumerate(capacities)
    }


def make_fleet(vm_count: int, seed: int) -> list[Domain]:
    """Returns the VMs of 115 (milk) or 61 (fibre) in six failure domains.

    The page has only the bounds of the sizes of fibre; the numbers of each size are assumed.
    """
    domains = []
    for index in range(DOMAIN_COUNT):
        count = vm_count // DOMAIN_COUNT + (index < vm_count % DOMAIN_COUNT)
        if vm_count > 100:
            capacities = [LARGE_MILK] * 2 + [SMALL_MILK] * (count - 2)
        else:
            capacities = [LARGE_FIBRE] * 2 + [SMALL_FIBRE] * (count - 2)
        domains.append(make_domain(seed, index, capacities))
    return domains


def make_lists(domain: Domain, callers: Sequence[str]) -> Lists:
    return {caller: callerlists.select(caller, domain, max_listed=MAX_LISTED) for caller in callers}


def relative_loads(domain: Domain, lists: Lists) -> dict[str, float]:
    """Returns the load of each VM relative to its weight; the mean over the weight is 1."""
    loads = dict.fromkeys(domain, 0.0)
    for listed in lists.values():
        for vm in listed:
            loads[vm] += 1 / len(listed)
    total = sum(domain.values())
    return {vm: loads[vm] / len(lists) * total / weight for vm, weight in domain.items()}


def compare(before: Lists, after: Lists) -> tuple[float, float]:
    """Returns the share of callers whose lists changed, and of list entries that were lost.

    A VM that ended is lost to its callers in any case and is counted.
    """
    changed = sum(before[caller] != after[caller] for caller in before)
    lost = sum(len(before[caller] - after[caller]) for caller in before)
    return changed / len(before), lost / sum(map(len, before.values()))


def _change(domain: Domain, pick: Callable[..., str], factor: float) -> Domain:
    vm = pick(domain, key=lambda name: domain[name])
    changed = {**domain, vm: domain[vm] * factor}
    return {name: weight for name, weight in changed.items() if weight}


EVENTS: dict[str, Callable[[Domain], Domain]] = {
    "a small one leaves": lambda domain: _change(domain, min, 0.0),
    "a small one joins": lambda domain: {**domain, "new": min(domain.values())},
    "a large one leaves": lambda domain: _change(domain, max, 0.0),
    "a large one joins": lambda domain: {**domain, "new": max(domain.values())},
    "a small one is congested": lambda domain: _change(domain, min, CONGESTED_FACTOR),
    "a large one is congested": lambda domain: _change(domain, max, CONGESTED_FACTOR),
}


def measure(fleet: Sequence[Domain], seed: int) -> Result:
    rng = random.Random(seed)
    busiest, large, lengths = [], [], []
    changes: dict[str, list[tuple[float, float]]] = {event: [] for event in EVENTS}
    for index, domain in enumerate(fleet):
        callers = [f"10.{seed % 256}.{index}.{n}" for n in range(rng.randint(150, 190))]
        lists = make_lists(domain, callers)
        relative = relative_loads(domain, lists)
        heaviest = max(domain.values())
        busiest.append(max(relative.values()))
        large += [relative[vm] for vm, weight in domain.items() if weight == heaviest]
        lengths += [len(listed) for listed in lists.values()]
        for event, apply in EVENTS.items():
            changes[event].append(compare(lists, make_lists(apply(domain), callers)))
    return Result(
        max(busiest),
        statistics.mean(large),
        statistics.mean(lengths),
        {event: statistics.mean(pair[0] for pair in pairs) for event, pairs in changes.items()},
        {event: statistics.mean(pair[1] for pair in pairs) for event, pairs in changes.items()},
    )


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
    for vm_count in (61, 115):
        results = [measure(make_fleet(vm_count, seed), seed) for seed in seeds]
        busiest = sorted(result.busiest for result in results)
        print(
            f"{vm_count} VMs, {len(seeds)} seeds: busiest VM of each seed relative to its weight "
            f"{busiest[0]:.2f} to {busiest[-1]:.2f}, median {statistics.median(busiest):.2f}; "
            f"large ones {statistics.mean(r.large for r in results):.2f}; "
            f"listed {statistics.mean(r.listed for r in results):.1f}"
        )
        for event in EVENTS:
            changed = statistics.mean(result.changed[event] for result in results)
            lost = statistics.mean(result.lost[event] for result in results)
            print(f"  {event}: lists changed {changed:.3f}, entries lost {lost:.3f}")


if __name__ == "__main__":
    main()
