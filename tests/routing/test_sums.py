"""Limits that are sums over all entry VMs hold though no VM hears of another."""

import random

from hypothesis import given
from hypothesis import strategies as st

from carawaybank.routing.coldstart import ColdStartLimit
from carawaybank.routing.retrylimit import RetryLimit
from carawaybank.routing.spill import RegionShares

WINDOW_S = 1.0


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
def test_cold_targets_get_no_more_than_their_rate(vms, rate, seed):
    rng = random.Random(seed)
    names = tuple(f"vm-{i}" for i in range(vms))
    times = []
    for name in names:
        limit, now = ColdStartLimit(vm=name), 0.0
        while now < 6.0:
            now += rng.expovariate(30.0)
            if limit.try_send("t", vms=names, rate=rate, now=now):
                times.append(now)
    assert busiest_window(times) <= rate


@given(
    loads=st.lists(st.floats(0.5, 40.0), min_size=2, max_size=17),
    seed=st.integers(0, 10_000),
)
def test_repeats_stay_within_the_share_of_all_requests_and_the_slack(loads, seed):
    share, slack, window_s = 0.2, 62, 10.0
    rng = random.Random(seed)
    requests, repeats = [], []
    for load in loads:
        limit = RetryLimit(share=share, slack=slack // 17, window_s=window_s)
        now = 0.0
        while now < 25.0:
            now += rng.expovariate(load)
            limit.note_request(now=now)
            requests.append(now)
            while limit.try_repeat(now=now):
                repeats.append(now)
    for end in sorted(repeats)[::7]:
        within = [t for t in repeats if end - window_s < t <= end]
        asked = [t for t in requests if end - window_s < t <= end]
        assert len(within) <= share * len(asked) + slack


@given(
    preferred=st.lists(st.sampled_from(["a", "b", "c"]), min_size=20, max_size=60),
    rate=st.floats(0.01, 0.1),
)
def test_shares_of_regions_change_no_faster_than_the_rate(preferred, rate):
    shares = RegionShares(home="a", rate=rate)
    shares.start({"a": 2, "b": 10, "c": 8})
    history = []
    for step, region in enumerate(preferred):
        shares.prefer(region, now=step * 0.1)
        history.append({name: shares.share(name) for name in "abc"})
    for before, after in zip(history, history[20:], strict=False):
        moved = sum(abs(after[name] - before[name]) for name in "abc") / 2
        assert moved <= 2.0 * rate + 1e-9
    assert abs(sum(history[-1].values()) - 1) < 1e-9


def test_spilled_requests_stay_a_small_part():
    shares = RegionShares(home="a", rate=0.05)
    spilled = 0
    for step in range(200):
        shares.note_request(now=step * 0.01)
        spilled += shares.try_spill(now=step * 0.01)
    assert spilled == 10
