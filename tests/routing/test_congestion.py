"""VMs that get more than they can serve: refused requests, and changes of levels of congestion.

The numbers of VMs are one, twelve and hundreds, in failure domains of one, two and three VMs.
"""

import pytest

from carawaybank.routing.vmweights import MIN_HOLD_S
from tests.routing.congestion_simulation import CAPACITY, CongestionSimulation, Domain

LONE = [Domain("a1", "a", 1)]
TWELVE = [
    *(Domain("a1", "a", 2), Domain("a2", "a", 2), Domain("b1", "b", 3), Domain("b2", "b", 2)),
    *(Domain("c1", "c", 2), Domain("c2", "c", 1)),
]
REGIONS = "abcdefghijklmnopqrstuvwxyzABCDEFG"
MANY = [
    *(Domain(f"a{number}", REGIONS[number // 3], 1 + number % 3) for number in range(97)),
    Domain("b97", "G", 2),
]
CALM_S, DISTURBED_S = 5.0, 40.0
#: A level rises at once by each of two steps, and falls by one in each ``MIN_HOLD_S``.
MAX_LEVEL_CHANGES = 2 * (2 + DISTURBED_S / MIN_HOLD_S)


def play(domains, disturb, *, seed, **options):
    """Returns a simulation after a disturbance of a failure domain."""
    simulation = CongestionSimulation(domains, seed=seed, **options)
    simulation.run(CALM_S)
    assert not any(vm.level_changes for vm in simulation.vms.values())
    disturb(simulation)
    simulation.run(DISTURBED_S)
    return simulation


def slow_down(simulation, domain="a1"):
    """Lets a VM serve less than half of what it did, as beside other busy processes."""
    next(vm for vm in simulation.vms.values() if vm.domain.name == domain).capacity = (
        CAPACITY * 0.45
    )


def crowd(simulation, domain="a1"):
    """Lets the callers of a failure domain ask for almost twice as much."""
    simulation.demand[domain] = 1.9


def refused(simulation):
    return sum(vm.refused for vm in simulation.vms.values())


@pytest.mark.parametrize("disturb", [slow_down, crowd])
def test_a_domain_of_two_that_falls_behind_is_relieved_by_its_region(disturb):
    """Guards against refusals of a VM for as long as its callers have no other list, while another
    failure domain of the region has half of its capacity left.
    """
    before = sum(
        refused(play(TWELVE, disturb, seed=seed, leads_elsewhere=False)) for seed in range(20)
    )
    after = sum(refused(play(TWELVE, disturb, seed=seed)) for seed in range(20))
    assert after < before / 2


@pytest.mark.parametrize("disturb", [slow_down, crowd])
@pytest.mark.parametrize(("domains", "seeds"), [(LONE, 20), (TWELVE, 20), (MANY, 2)])
def test_levels_do_not_swing(domains, seeds, disturb):
    """Guards against callers that are led to and fro, and other regions that fall behind."""
    for seed in range(seeds):
        vms = play(domains, disturb, seed=seed).vms.values()
        assert max(vm.level_changes for vm in vms) <= MAX_LEVEL_CHANGES
        assert not any(vm.level_changes for vm in vms if vm.domain.region != "a")
