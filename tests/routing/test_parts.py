"""Parts of the router: admission, placement and what is known of targets."""

import random

import pytest

from carawaybank.routing import admission
from carawaybank.routing.catalogue import RouteTable
from carawaybank.routing.coldstart import MAX_TRACKED_TARGETS, ColdStartLimit
from carawaybank.routing.fleet import REPORT_HALF_LIFE_FACTOR, LoadReport, Target
from carawaybank.routing.placement import Choice, Distances, WorkEstimate, evaluate
from carawaybank.routing.selection import RANKINGS_WITHOUT_OBJECT
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


def test_long_work_is_sent_when_nothing_waits():
    assert check(make_choice(expected_s=0.9, wait_s=0.0)) is None


def test_a_queue_beyond_the_patience_is_refused_at_once():
    refusal = check(make_choice(expected_s=0.6, wait_s=0.5))
    assert refusal is not None
    assert 0.1 <= refusal.retry_after_s <= 1.0


def test_what_cannot_end_in_time_is_refused():
    assert check(make_choice(expected_s=0.3, wait_s=0.0), remaining_s=0.3) is not None


def test_urgent_requests_wait_longer_than_others():
    urgent = admission.wait_limit_s(BOOK, least_urgent_rank=2)
    assert urgent > admission.wait_limit_s(make_route(), least_urgent_rank=2)


def test_the_longest_prefix_wins_and_the_query_does_not_count():
    short, long = make_route("s", prefix="/a/"), make_route("l", prefix="/a/b/")
    table = RouteTable(routes=(short, long))
    assert table.find(HOST, "/a/b/c?x=/q/") is long
    assert table.find(f"{HOST.upper()}:80", "/a/c") is short
    assert table.find("other", "/a/c") is None
    assert table.find(HOST, "/a") is None


def test_a_report_of_others_fades():
    target = Target(entry=make_target(1), now=0.0)
    target.record_load(LoadReport(4, 4, 4), now=0.0)
    half_life_s = REPORT_HALF_LIFE_FACTOR * WORK_S
    assert target.expected_requests(now=0.0, work_s=WORK_S) == 8
    assert target.expected_requests(now=half_life_s, work_s=WORK_S) == pytest.approx(4)
    assert target.expected_requests(now=half_life_s, work_s=5 * WORK_S) > 6
    assert target.expected_requests(now=10 * half_life_s, work_s=WORK_S) < 0.01


def test_waiting_and_distance_lengthen_what_is_expected():
    work = WorkEstimate(objective_s=0.5, timeout_s=2.0, sticky=True)
    near, far = Target(entry=make_target(1), now=0.0), Target(entry=make_target(2), now=0.0)
    near.in_flight = 12

    def expected(target, distance_s):
        return evaluate(target, now=0.0, warmth=1.0, work=work, distance_s=distance_s).expected_s

    assert expected(far, 0.06) < expected(near, 0.0)
    near.in_flight = 0
    assert expected(near, 0.0) < expected(far, 0.06)


def test_a_restarted_target_is_new_and_an_older_entry_is_ignored():
    target = Target(entry=make_target(1, incarnation=5), now=0.0)
    target.record_run("o")
    target.fail(now=0.0)
    assert not target.update(make_target(1, incarnation=4), now=1.0)
    assert target.update(make_target(1, incarnation=6, cold_left_s=3.0), now=1.0)
    assert not target.is_down
    assert not target.is_warm("o")
    assert target.is_cold(now=3.9)
    assert not target.is_cold(now=4.1)


def test_one_slow_answer_does_not_rule_a_target_out_but_many_do():
    target = Target(entry=make_target(1), now=0.0)
    target.record_slowness(10.0)
    assert target.slowness < 3
    for _ in range(20):
        target.record_slowness(10.0)
    assert target.slowness > 8


def test_what_is_kept_of_objects_and_targets_is_bounded():
    router = make_router(make_target(1), make_target(2))
    for key in range(1000):
        router.arrive(make_request(key, object_key=""), 0.0)
        router.abandon(key, 0.0)
    assert len(router.targets.pools._ranks) <= RANKINGS_WITHOUT_OBJECT
    limit = ColdStartLimit(vm="a")
    for number in range(3 * MAX_TRACKED_TARGETS):
        limit.try_send(f"t{number}", vms=("a",), rate=10.0, now=float(number))
    assert len(limit._last_sent_at) <= MAX_TRACKED_TARGETS


def test_distances_are_learned_from_connections():
    distances = Distances(failure_domain="a1", region="a")
    assert distances.find("a2", "a") < distances.find("b1", "b")
    distances.note("b1", 0.09)
    distances.note("b1", 0.07)
    assert distances.find("b1", "b") == 0.07
