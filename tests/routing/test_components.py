"""Tests of admission control, route lookup, time estimates and the state of targets."""

import random

import pytest

from carawaybank.routing import admission
from carawaybank.routing.coldstart import MAX_TRACKED_TARGETS, ColdStartLimit
from carawaybank.routing.configuration import RouteTable
from carawaybank.routing.estimates import Choice, RoundTripTimes, WorkEstimate, evaluate
from carawaybank.routing.selection import RANKINGS_WITHOUT_OBJECT
from carawaybank.routing.target import REPORT_HALF_LIFE_FACTOR, LoadReport, Target
from carawaybank.routing.tenants import join_terms
from tests.routing.builders import BOOK, HOST, make_request, make_route, make_router, make_target

RNG = random.Random(3)
WORK_S = 0.12


def make_choice(*, expected_s, wait_s):
    target = Target(entry=make_target(1), now=0.0)
    return Choice(target, expected_s, wait_s, 0.0)


def check(choice, *, wait_limit_s=0.4, remaining_s=2.0, elapsed_s=0.0):
    return admission.check(
        choice=choice,
        elapsed_s=elapsed_s,
        wait_limit_s=wait_limit_s,
        remaining_s=remaining_s,
        rng=RNG,
    )


def test_long_work_is_sent_if_nothing_is_queued():
    assert check(make_choice(expected_s=0.9, wait_s=0.0)) is None


def test_a_queue_longer_than_the_wait_limit_is_refused():
    refusal = check(make_choice(expected_s=0.6, wait_s=0.5))
    assert refusal is not None
    assert 0.1 <= refusal.retry_after_s <= 1.0


def test_work_that_cannot_finish_before_the_deadline_is_refused():
    assert check(make_choice(expected_s=0.3, wait_s=0.0), remaining_s=0.3) is not None


def test_urgent_requests_have_a_longer_wait_limit():
    urgent, ordinary = (
        admission.wait_limit_s(join_terms(route, None), objective_s=0.5, least_urgent_rank=2)
        for route in (BOOK, make_route())
    )
    assert urgent > ordinary


def test_longest_prefix_matches_and_query_is_ignored():
    shorter, longer = make_route("s", prefix="/a/"), make_route("l", prefix="/a/b/")
    table = RouteTable(routes=(shorter, longer))
    assert table.find(HOST, "/a/b/c?x=/q/") is longer
    assert table.find(f"{HOST.upper()}:80", "/a/c") is shorter
    assert table.find("other", "/a/c") is None
    assert table.find(HOST, "/a") is None


def test_a_load_report_decays_with_its_half_life():
    """An old report must not keep a target from being used after its requests have finished."""
    target = Target(entry=make_target(1), now=0.0)
    target.record_load(LoadReport(4, 4, 4), now=0.0)
    half_life_s = REPORT_HALF_LIFE_FACTOR * WORK_S
    assert target.expected_requests(now=0.0, work_s=WORK_S) == 8
    assert target.expected_requests(now=half_life_s, work_s=WORK_S) == pytest.approx(4)
    assert target.expected_requests(now=half_life_s, work_s=5 * WORK_S) > 6
    assert target.expected_requests(now=10 * half_life_s, work_s=WORK_S) < 0.01


def test_queue_and_round_trip_increase_the_expected_time():
    work = WorkEstimate(objective_s=0.5, timeout_s=2.0, sticky=True)
    near, far = Target(entry=make_target(1), now=0.0), Target(entry=make_target(2), now=0.0)
    near.in_flight = 12

    def expected(target, round_trip_s):
        return evaluate(
            target, now=0.0, warmth=1.0, work=work, round_trip_s=round_trip_s
        ).expected_s

    assert expected(far, 0.06) < expected(near, 0.0)
    near.in_flight = 0
    assert expected(near, 0.0) < expected(far, 0.06)


def test_a_restart_resets_a_target_and_older_entries_are_ignored():
    """Failures and warm objects of the previous process do not apply to the new one."""
    target = Target(entry=make_target(1, incarnation=5), now=0.0)
    target.record_run("o")
    target.eject(now=0.0)
    assert not target.update(make_target(1, incarnation=4), now=1.0)
    assert target.update(make_target(1, incarnation=6, cold_left_s=3.0), now=1.0)
    assert not target.is_down
    assert not target.is_warm("o")
    assert target.is_cold(now=3.9)
    assert not target.is_cold(now=4.1)


def test_slowness_rises_little_on_one_slow_response_and_far_on_many():
    target = Target(entry=make_target(1), now=0.0)
    target.record_slowness(10.0)
    assert target.slowness < 3
    for _ in range(20):
        target.record_slowness(10.0)
    assert target.slowness > 8


def test_cached_rankings_and_send_times_are_bounded():
    """Memory would grow with the number of requests and of targets ever known."""
    router = make_router(make_target(1), make_target(2))
    for key in range(1000):
        router.arrive(make_request(key, object_key=""), 0.0)
        router.abandon(key, 0.0)
    assert len(router.targets.pools._ranks) <= RANKINGS_WITHOUT_OBJECT
    limit = ColdStartLimit(vm="a", started_at=-10.0)
    for number in range(3 * MAX_TRACKED_TARGETS):
        limit.try_send(f"t{number}", vms=("a",), rate=10.0, now=float(number))
    assert len(limit._last_sent_at) <= MAX_TRACKED_TARGETS


def test_shortest_connection_time_replaces_the_assumed_round_trip_time():
    round_trip_times = RoundTripTimes(failure_domain="a1", region="a")
    assert round_trip_times.estimate_s("a2", "a") < round_trip_times.estimate_s("b1", "b")
    round_trip_times.record("b1", 0.09)
    round_trip_times.record("b1", 0.07)
    assert round_trip_times.estimate_s("b1", "b") == 0.07
