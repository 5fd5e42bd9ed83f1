"""Loads at their worst, replayed against the router.

Loads are in requests a second by region. Warm, the targets of the site can run about 640.
"""

import pytest

from carawaybank.routing.admission import MAX_DEADLINE_FRACTION
from carawaybank.routing.placement import RendezvousPools
from tests.routing.replay import BOOK, LOOK, SHORT_SITE, Replay, Site, in_time

EVEN = {"a": 100, "b": 100, "c": 100}
WARM_UP_S = 6.0


def times(load, factor):
    return {region: rate * factor for region, rate in load.items()}


def test_few_objects_are_cold_once_the_load_is_steady():
    replay = Replay()
    replay.run(EVEN, seconds=20)
    asked = len(replay.outcomes)
    cold = sum(target.cold_runs for target in replay.targets.values())
    assert cold / asked < 0.2


def test_the_region_with_the_fewest_targets_is_served_like_the_others():
    outcomes = Replay().run(EVEN, seconds=20)
    shares = [in_time(outcomes, after=WARM_UP_S, region=region) for region in EVEN]
    assert min(shares) > 0.8 * max(shares)


def test_goodput_does_not_collapse_under_twice_the_load():
    at_capacity = Replay().run(times(EVEN, 1.8), seconds=16)
    beyond = Replay().run(times(EVEN, 3.6), seconds=16)
    good_at = in_time(at_capacity, after=WARM_UP_S) * 1.8
    good_beyond = in_time(beyond, after=WARM_UP_S) * 3.6
    assert good_beyond >= 0.9 * good_at


def test_bookings_go_before_look_ups_when_not_all_can_be_served():
    outcomes = Replay().run(times(EVEN, 3.0), seconds=16)

    def served(route):
        chosen = [o for o in outcomes if o.route == route.name]
        return sum(o.latency_s is not None for o in chosen) / len(chosen)

    assert served(BOOK) >= served(LOOK)


def test_what_is_refused_is_refused_at_once():
    replay = Replay()
    outcomes = replay.run(times(EVEN, 3.0), seconds=8)
    late = [
        o for o in outcomes if o.latency_s is not None and o.latency_s > 2.0 * MAX_DEADLINE_FRACTION
    ]
    assert len(late) < 0.01 * len(outcomes)


def test_a_slow_target_loses_its_requests_to_others():
    replay = Replay()
    replay.targets["a0"].slowness = 10.0
    outcomes = replay.run(EVEN, seconds=20)
    assert in_time(outcomes, after=WARM_UP_S) > 0.85 * in_time(
        Replay().run(EVEN, seconds=20), after=WARM_UP_S
    )


@pytest.mark.parametrize("lost", [("a0", "a1", "a2"), ("c0", "c1", "b0")])
def test_objects_of_lost_targets_find_others(lost):
    replay = Replay()
    for routers in replay.vms.values():
        for router in routers:
            for name in lost:
                router.targets.remove(name)
    outcomes = replay.run(EVEN, seconds=16)
    assert in_time(outcomes, after=WARM_UP_S) > 0.7


def test_vms_that_all_restart_under_load_serve_nearly_as_well_as_before():
    load, at = {"a": 130, "b": 110, "c": 190}, 8.0
    steady, restarted = Replay(site=SHORT_SITE), Replay(site=SHORT_SITE)
    restarted.restart_all(at)
    kept = in_time(steady.run(load, seconds=20), after=at)
    assert in_time(restarted.run(load, seconds=20), after=at) >= 0.9 * kept


@pytest.mark.parametrize("stretch", [2.0, 6.0])
def test_a_service_with_longer_work_is_served_as_well_at_the_same_load(stretch):
    load = {"a": 130, "b": 110, "c": 190}
    short = Replay(site=SHORT_SITE).run(load, seconds=16)
    slow = Replay(site=SHORT_SITE, stretch=stretch).run(
        times(load, 1 / stretch), seconds=16 * stretch
    )
    assert in_time(slow, after=WARM_UP_S * stretch) >= 0.95 * in_time(short, after=WARM_UP_S)


@pytest.mark.parametrize("vms", [30, 100, 300])
def test_objects_are_asked_for_again_where_they_are_warm_however_many_vms_there_are(vms):
    """Each VM sees an object once or never, so that only the hash can bring it back."""
    keeps, times_asked, seconds = 13, 8, 12
    targets = {"a": vms, "b": vms // 2, "c": vms // 2}
    site = Site(targets, dict.fromkeys("abc", vms // 3), keeps)
    objects = vms * keeps // 5
    replay = Replay(site=site, objects=objects)
    rate = (objects + objects // 2) * times_asked / seconds
    outcomes = replay.run(dict.fromkeys("abc", rate), seconds=seconds)
    cold = sum(target.cold_runs for target in replay.targets.values())
    assert cold / len(outcomes) < 1.6 / times_asked


def test_a_target_that_joins_or_leaves_moves_only_its_own_share_of_the_objects():
    members = tuple(f"t{number}" for number in range(300))
    pool = RendezvousPools()

    def allowed_regions(names):
        pool.update({"ledger/a": names})
        return {key: next(pool.rank("ledger/a", key)) for key in map(str, range(3_000))}

    before = allowed_regions(members)
    after = allowed_regions(members[1:])
    moved = {key for key, home in before.items() if after[key] != home}
    assert moved == {key for key, home in before.items() if home == members[0]}
    assert allowed_regions(members) == before
