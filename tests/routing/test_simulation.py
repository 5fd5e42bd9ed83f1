"""Tests of the router under simulated overload, restarts and losses of targets.

Loads are in requests per second by region. With warm objects, the targets of the site run about 640
requests per second.
"""

import pytest

from carawaybank.routing.admission import MAX_DEADLINE_FRACTION
from carawaybank.routing.estimates import RendezvousPools
from tests.routing.simulation import BOOK, LOOK, SHORT_SITE, LoadSimulation, Site, fraction_in_time

EVEN_LOAD = {"a": 100, "b": 100, "c": 100}
WARM_UP_S = 6.0


def scaled(load, factor):
    return {region: rate * factor for region, rate in load.items()}


def test_few_runs_are_cold_under_a_steady_load():
    """Requests on an object that spread over many targets would run cold there."""
    simulation = LoadSimulation()
    simulation.run(EVEN_LOAD, seconds=20)
    requests = len(simulation.outcomes)
    cold = sum(target.cold_runs for target in simulation.targets.values())
    assert cold / requests < 0.2


def test_smallest_region_meets_objectives_nearly_as_often_as_others():
    """A region with few targets is overloaded unless enough of its requests run elsewhere."""
    outcomes = LoadSimulation().run(EVEN_LOAD, seconds=20)
    shares = [fraction_in_time(outcomes, after=WARM_UP_S, region=region) for region in EVEN_LOAD]
    assert min(shares) > 0.8 * max(shares)


def test_goodput_does_not_collapse_under_twice_the_load():
    """Under overload, queues and cold objects can take up the capacity with late responses."""
    at_capacity = LoadSimulation().run(scaled(EVEN_LOAD, 1.8), seconds=16)
    overloaded = LoadSimulation().run(scaled(EVEN_LOAD, 3.6), seconds=16)
    goodput_at_capacity = fraction_in_time(at_capacity, after=WARM_UP_S) * 1.8
    goodput_overloaded = fraction_in_time(overloaded, after=WARM_UP_S) * 3.6
    assert goodput_overloaded >= 0.9 * goodput_at_capacity


def test_bookings_are_served_before_look_ups_under_overload():
    outcomes = LoadSimulation().run(scaled(EVEN_LOAD, 3.0), seconds=16)

    def answered_fraction(route):
        selected = [o for o in outcomes if o.route == route.name]
        return sum(o.latency_s is not None for o in selected) / len(selected)

    assert answered_fraction(BOOK) >= answered_fraction(LOOK)


def test_requests_beyond_capacity_are_not_answered_late():
    """Requests that are queued instead of refused would be answered near the end of the budget."""
    simulation = LoadSimulation()
    outcomes = simulation.run(scaled(EVEN_LOAD, 3.0), seconds=8)
    late = [
        o for o in outcomes if o.latency_s is not None and o.latency_s > 2.0 * MAX_DEADLINE_FRACTION
    ]
    assert len(late) < 0.01 * len(outcomes)


def test_requests_move_away_from_a_slow_target():
    """A slow target that keeps its requests would miss their objectives."""
    simulation = LoadSimulation()
    simulation.targets["a0"].slowness = 10.0
    outcomes = simulation.run(EVEN_LOAD, seconds=20)
    assert fraction_in_time(outcomes, after=WARM_UP_S) > 0.85 * fraction_in_time(
        LoadSimulation().run(EVEN_LOAD, seconds=20), after=WARM_UP_S
    )


@pytest.mark.parametrize("lost", [("a0", "a1", "a2"), ("c0", "c1", "b0")])
def test_objects_of_lost_targets_move_to_other_targets(lost):
    simulation = LoadSimulation()
    for routers in simulation.vms.values():
        for router in routers:
            for name in lost:
                router.targets.remove(name)
    outcomes = simulation.run(EVEN_LOAD, seconds=16)
    assert fraction_in_time(outcomes, after=WARM_UP_S) > 0.7


def test_goodput_stays_after_all_vms_restart_under_load():
    """Restarted VMs have no load reports and could send too many requests to full targets."""
    load, at = {"a": 130, "b": 110, "c": 190}, 8.0
    steady, restarted = LoadSimulation(site=SHORT_SITE), LoadSimulation(site=SHORT_SITE)
    restarted.restart_all(at)
    undisturbed = fraction_in_time(steady.run(load, seconds=20), after=at)
    assert fraction_in_time(restarted.run(load, seconds=20), after=at) >= 0.9 * undisturbed


@pytest.mark.parametrize("stretch", [2.0, 6.0])
def test_longer_work_is_served_equally_well_at_the_same_utilisation(stretch):
    """Load reports must decay relative to the work, or a service with long work is overloaded."""
    load = {"a": 130, "b": 110, "c": 190}
    normal = LoadSimulation(site=SHORT_SITE).run(load, seconds=16)
    slow = LoadSimulation(site=SHORT_SITE, stretch=stretch).run(
        scaled(load, 1 / stretch), seconds=16 * stretch
    )
    assert fraction_in_time(slow, after=WARM_UP_S * stretch) >= 0.95 * fraction_in_time(
        normal, after=WARM_UP_S
    )


@pytest.mark.parametrize("vms", [30, 100, 300])
def test_repeated_requests_reach_warm_targets_with_any_number_of_vms(vms):
    """Guards against cold runs in large deployments.

    Each VM gets at most about one request per object, so that only the hash leads repeated requests
    to the same target.
    """
    max_objects, requests_per_object, seconds = 13, 8, 12
    targets = {"a": vms, "b": vms // 2, "c": vms // 2}
    site = Site(targets, dict.fromkeys("abc", vms // 3), max_objects)
    objects = vms * max_objects // 5
    simulation = LoadSimulation(site=site, objects=objects)
    rate = (objects + objects // 2) * requests_per_object / seconds
    outcomes = simulation.run(dict.fromkeys("abc", rate), seconds=seconds)
    cold = sum(target.cold_runs for target in simulation.targets.values())
    assert cold / len(outcomes) < 1.6 / requests_per_object


def test_a_joining_or_leaving_target_moves_only_its_own_objects():
    """A ranking that changes for other objects would make them cold at every replacement."""
    members = tuple(f"t{number}" for number in range(300))
    pool = RendezvousPools()

    def preferred_targets(names):
        pool.update({"ledger/a": names})
        return {key: next(pool.rank("ledger/a", key)) for key in map(str, range(3_000))}

    before = preferred_targets(members)
    after = preferred_targets(members[1:])
    moved = {key for key, target in before.items() if after[key] != target}
    assert moved == {key for key, target in before.items() if target == members[0]}
    assert preferred_targets(members) == before
