"""Lists of VMs by weight: load in proportion, few changed lists, and addresses of many callers."""

import pytest

from benchmarks import vmlists
from carawaybank.routing.callerlists import SharedAddresses, select

CALLERS = [f"10.0.0.{number}" for number in range(150)]
LARGE, SMALL = 1654.0, 232.0
DOMAIN = {"l1": LARGE, "l2": LARGE, **{f"s{number}": SMALL for number in range(17)}}


def lists(weights, max_listed=64):
    return {caller: select(caller, weights, max_listed=max_listed) for caller in CALLERS}


@pytest.mark.parametrize("vm_count", [61, 115])
@pytest.mark.parametrize("seed", range(8))
def test_load_follows_the_weight_and_few_lists_change(vm_count, seed):
    """Guards against small VMs that get as many callers as large ones, and against lists that all
    change, with dropped connections, whenever any VM joins, leaves or is congested.
    """
    result = vmlists.measure(vmlists.make_fleet(vm_count, seed), seed)
    assert result.busiest <= 1.55
    assert 0.9 <= result.large <= 1.2
    for event in ("leaves", "joins", "is congested"):
        assert result.changed[f"a small one {event}"] <= 0.2
    assert result.lost["a small one leaves"] <= 0.06
    assert result.lost["a small one joins"] <= 0.01
    assert result.lost["a large one joins"] <= 0.01
    assert result.lost["a large one is congested"] <= 0.2


def test_vms_of_equal_or_unknown_weight_are_all_listed():
    """Guards against shorter lists in deployments whose VMs are alike or state no size."""
    for weight in (0.0, 7.3):
        names = {f"v{number}" for number in range(80)}
        assert select("10.0.0.1", dict.fromkeys(names, weight), max_listed=64) == names
    assert select("10.0.0.1", {"new": 100.0, "old": 0.0}, max_listed=64) == {"new", "old"}


@pytest.mark.parametrize(
    "weights",
    [
        {"a": 1.0, "b": 1e9},
        {"a": 1e9, "b": 1.0, "c": 1.0},
        DOMAIN,
        {vm: 0.0 if vm == "s0" else weight for vm, weight in DOMAIN.items()},
    ],
)
def test_no_caller_gets_fewer_than_two_vms(weights):
    assert min(map(len, lists(weights).values())) >= 2


def test_a_list_is_no_longer_than_the_maximum():
    """Guards against responses with more addresses than callers accept."""
    weights = {f"v{number}": 100.0 + number for number in range(200)}
    assert {len(listed) for listed in lists(weights).values()} == {64}


def test_a_vm_that_states_no_weight_counts_as_the_mean():
    """Guards against a VM of an older build that gets no callers, or those of the largest VM."""
    mixed = lists({**DOMAIN, "old": 0.0})
    counts = {vm: sum(vm in listed for listed in mixed.values()) for vm in ("l1", "old", "s1")}
    assert counts["s1"] < counts["old"] < counts["l1"]


def test_a_congested_vm_leaves_some_lists_and_changes_no_other():
    """Guards against callers that lose other VMs than the congested one."""
    before, after = lists(DOMAIN), lists({**DOMAIN, "l2": LARGE / 2})
    kept = sum("l2" in listed for listed in after.values())
    assert 0.35 * len(CALLERS) < kept < 0.65 * len(CALLERS)
    for caller, listed in before.items():
        assert listed - after[caller] <= {"l2"}


def test_only_an_address_with_the_look_ups_of_many_callers_is_shared():
    """Guards against a proxy whose callers all go to a few VMs, and against callers that count as
    a proxy because they look up several hosts or repeat a look-up.
    """
    shared = SharedAddresses()
    for tick in range(600):
        now = tick / 10
        is_proxy_shared = shared.record("proxy", "a.example", ttl_s=2.0, now=now)
        if tick % 20 == 0:
            for host in ("a.example", "b.example", "b.example", "c.example"):
                assert not shared.record("caller", host, ttl_s=2.0, now=now)
    assert is_proxy_shared
    assert shared.record("proxy", "a.example", ttl_s=2.0, now=100.0)
    assert not shared.record("proxy", "a.example", ttl_s=2.0, now=200.0)
