"""Tests that limits on the sum over all entry VMs hold without messages between the VMs."""

import bisect
import random

from hypothesis import given
from hypothesis import strategies as st

from carawaybank.routing.coldstart import ColdStartLimit
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.retrylimit import RetryLimit, RetryLimits
from carawaybank.routing.spillover import SHIFT_WINDOW_S, DomainShares, RegionShares
from tests.routing.builders import UPTIME_S, make_router

WINDOW_S = 1.0
MAX_SHIFT = 0.15


def busiest_window(times):
    times = sorted(times)
    return max(
        (sum(1 for t in times if start <= t < start + WINDOW_S) for start in times), default=0
    )


@given(
    vms=st.integers(1, 24),
    rate=st.floats(1.0, 20.0),
    seed=st.integers(0, 10_000),
)
def test_cold_targets_get_at_most_their_rate(vms, rate, seed):
    """A cold target crashes if the requests of all VMs together exceed its rate."""
    rng = random.Random(seed)
    names = tuple(f"vm-{i}" for i in range(vms))
    times = []
    for name in names:
        limit, now = ColdStartLimit(vm=name, started_at=-UPTIME_S), 0.0
        while now < 6.0:
            now += rng.expovariate(30.0)
            if limit.try_send("t", vms=names, rate=rate, now=now):
                times.append(now)
    assert busiest_window(times) <= rate


@given(
    rates=st.lists(st.floats(0.5, 40.0), min_size=2, max_size=17),
    seed=st.integers(0, 10_000),
)
def test_retries_of_all_vms_stay_within_the_share_and_the_slack(rates, seed):
    """Retries beyond the limit would multiply the load while targets fail."""
    share, slack, window_s = 0.2, 62, 10.0
    rng = random.Random(seed)
    requests, retries = [], []
    for request_rate in rates:
        limit = RetryLimit(share=share, slack=slack / 17, window_s=window_s, started_at=-UPTIME_S)
        now = 0.0
        while now < 25.0:
            now += rng.expovariate(request_rate)
            limit.record_request(now=now)
            requests.append(now)
            while limit.try_acquire(now=now):
                retries.append(now)
    for end in sorted(retries)[::7]:
        retries_within = [t for t in retries if end - window_s < t <= end]
        requests_within = [t for t in requests if end - window_s < t <= end]
        assert len(retries_within) <= share * len(requests_within) + slack


@given(vms=st.integers(1, 24), restart_s=st.floats(0.3, 2.0), seed=st.integers(0, 10_000))
def test_vms_that_restart_send_no_more_to_cold_targets(vms, restart_s, seed):
    """Guards against a process that sends to a target just after the one before it has."""
    rng = random.Random(seed)
    names, rate, times = tuple(f"vm-{i}" for i in range(vms)), 8.0, []
    for name in names:
        now, limit = 0.0, ColdStartLimit(vm=name, started_at=-UPTIME_S)
        for start in (restart_s, 2 * restart_s, 3 * restart_s):
            while (now := now + rng.expovariate(30.0)) < start:
                if limit.try_send("t", vms=names, rate=rate, now=now):
                    times.append(now)
            limit = ColdStartLimit(vm=name, started_at=start)
            assert not limit.try_send("t", vms=(), rate=rate, now=start + 10.0)
    assert busiest_window(times) <= rate


class RetryingVms:
    """Entry VMs of which each retries whatever its limit allows, until it is restarted."""

    def __init__(self, *, count, knows_all):
        self.options = RouterOptions("a1", "a", retry_slack=62.0)
        self.knows_all = knows_all
        self.requests, self.retries = [], []
        self.limits = [RetryLimits(started_at=-UPTIME_S) for _ in range(count)]

    def restart(self, number, now):
        self.limits[number] = RetryLimits(started_at=now)

    def serve(self, number, now, *, fails):
        known = len(self.limits) if self.knows_all else min(2, len(self.limits))
        limit = self.limits[number].of("ledger", options=self.options, vm_count=known, now=now)
        limit.record_request(now=now)
        self.requests.append(now)
        while fails and limit.try_acquire(now=now):
            self.retries.append(now)

    def excess(self):
        """Returns by how much the retries of the worst window exceed the limit, at least 0."""
        window_s, worst = self.options.retry_window_s, 0.0
        for start in self.retries:
            requests = max(
                count_within(self.requests, start - back, window_s)
                for back in (0.0, window_s / 2, window_s)
            )
            allowed = self.options.retry_share * requests + self.options.retry_slack
            worst = max(worst, count_within(self.retries, start, window_s) - allowed)
        return worst


def count_within(times, start, window_s):
    return bisect.bisect_left(times, start + window_s) - bisect.bisect_left(times, start)


@given(
    vms=st.integers(1, 30),
    knows_all=st.booleans(),
    restarts=st.lists(st.floats(0.0, 30.0), max_size=4),
    outages=st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(0.2, 15.0)), min_size=1, max_size=3),
    moves=st.lists(st.floats(0.0, 30.0), max_size=3),
    seed=st.integers(0, 10_000),
)
def test_retries_stay_within_the_limit_when_vms_restart_and_callers_move(
    vms, knows_all, restarts, outages, moves, seed
):
    """Guards against restarts, and callers that change the VM, which add to the sum of all VMs."""
    rng = random.Random(seed)
    fleet = RetryingVms(count=vms, knows_all=knows_all or vms <= 11)
    restarts, moves = sorted(restarts), sorted(moves)
    used, now = list(range(vms)), 0.0
    while (now := now + rng.expovariate(100.0)) < 35.0:
        while restarts and restarts[0] <= now:
            for number in range(vms):
                fleet.restart(number, restarts[0])
            restarts.pop(0)
        if moves and moves[0] <= now:
            moves.pop(0)
            used = rng.sample(range(vms), max(1, vms // 2))
        fails = any(start <= now < start + length for start, length in outages)
        fleet.serve(rng.choice(used), now, fails=fails)
    assert fleet.excess() <= 0.0


def test_changed_settings_leave_the_credit_as_it_is():
    """Guards against a reload of the settings that allows the retries of a window again."""
    router = make_router()
    limit = router.retry_limit("ledger", now=0.0)
    while limit.try_acquire(now=0.0):
        pass
    router.update_options(router.options._replace(max_shift=0.3))
    assert not router.retry_limit("ledger", now=0.0).try_acquire(now=0.0)
    router.update_options(router.options._replace(retry_share=0.3))
    assert not router.retry_limit("ledger", now=0.0).try_acquire(now=0.0)


def test_retries_after_a_calm_window_cover_a_short_outage():
    """Guards against a limit that wastes what it allows: a second of failures after a calm time."""
    fleet = RetryingVms(count=11, knows_all=True)
    for request in range(2_000):
        fleet.serve(request % 11, request / 100, fails=request >= 1_900)
    failed = 100
    assert len(fleet.retries) >= failed / 2


@given(
    slots=st.dictionaries(st.sampled_from("abcd"), st.integers(1, 60), min_size=1),
    local=st.sampled_from("abcd"),
    change=st.integers(-1, 1),
)
def test_region_shares_depend_on_slots_only_and_change_little_with_them(slots, local, change):
    """Guards against unstable shares.

    VMs that compute different shares would send an object to different regions, and a share that
    changes far with one slot would move many objects.
    """
    shares, other_vm = RegionShares(local=local), RegionShares(local=local)
    shares.update(slots)
    other_vm.update(slots)
    points = [step / 200 for step in range(200)]
    before = [shares.choose(point=point) for point in points]
    assert before == [other_vm.choose(point=point) for point in points]
    assert abs(sum(shares.share(region) for region in "abcd") - 1) < 1e-9
    assert {region for region in before if shares.share(region) > 0} <= set(slots) | {local}
    total = sum(slots.values())
    for region in slots:
        changed = {**slots, region: max(1, slots[region] + change)}
        other_vm.update(changed)
        shifted = sum(abs(other_vm.share(r) - shares.share(r)) for r in "abcd") / 2
        assert shifted <= 12 * len(slots) / total + 1e-9


def test_spillover_is_bounded_in_any_window():
    """Unbounded spillover would shift the demand back and forth between regions."""
    shares = RegionShares(local="a", max_shift=MAX_SHIFT)
    times = []
    for step in range(1000):
        now = step * 0.01
        shares.record_request(now=now)
        if shares.try_spillover(now=now):
            times.append(now)
    for end in times:
        within = [t for t in times if end - SHIFT_WINDOW_S < t <= end]
        assert len(within) <= MAX_SHIFT * SHIFT_WINDOW_S / 0.01


@given(st.dictionaries(st.sampled_from(["a1", "a2", "a3"]), st.integers(0, 60)))
def test_bulky_requests_go_only_to_domains_with_slots_and_equally_on_all_vms(slots):
    """VMs that choose different failure domains for an object would make it cold in each."""
    shares, other_vm = DomainShares(local="a1"), DomainShares(local="a1")
    shares.update(slots)
    other_vm.update(slots)
    points = [number / 97 for number in range(97)]
    chosen = [shares.choose(point=point) for point in points]
    assert chosen == [other_vm.choose(point=point) for point in points]
    with_slots = {name for name, count in slots.items() if count}
    assert set(chosen) <= (with_slots or {"a1", *slots})


def test_a_domain_with_an_even_share_of_slots_runs_all_bulky_requests():
    shares = DomainShares(local="a1")
    shares.update({"a1": 10, "a2": 10, "a3": 10})
    assert {shares.choose(point=number / 50) for number in range(50)} == {"a1"}
    shares.update({"a1": 5, "a2": 10, "a3": 15})
    local_fraction = (
        sum(shares.choose(point=number / 1000) == "a1" for number in range(1000)) / 1000
    )
    assert 0.5 <= local_fraction <= 0.6
