"""Tests of the router: selection of targets, retries and what must never be retried."""

import pytest

from carawaybank.routing.configuration import WeightedService
from carawaybank.routing.messages import AttemptResult, Finish, Send
from carawaybank.routing.target import LoadReport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.routing.builders import (
    BOOK,
    make_configuration,
    make_request,
    make_route,
    make_router,
    make_target,
)

TARGETS = tuple(make_target(number) for number in range(1, 5))


def lost(reason=Reason.CONNECTION_LOST, **changes):
    return AttemptResult(MayHaveRun(reason), 0.1, **changes)


def answered(status=200):
    return AttemptResult(Answered(status), 0.1)


def shed():
    return AttemptResult(NotRun(Reason.TARGET_SHED), 0.01)


def test_requests_are_refused_without_a_configuration():
    router = make_router(*TARGETS)
    router._configuration = None
    action = router.arrive(make_request(1), 0.0)
    assert isinstance(action, Finish)
    assert action.status == 503


def test_a_path_without_a_route_gets_status_404():
    action = make_router(*TARGETS).arrive(make_request(1, path="/none/1"), 0.0)
    assert action == Finish(1, action.verdict, 404)


def test_a_booking_that_may_have_run_is_not_retried():
    """A retry after a lost connection could run the booking twice."""
    router = make_router(*TARGETS)
    action = router.arrive(make_request(1, path="/book/1"), 0.0)
    assert isinstance(action, Send)
    action = router.end_attempt(1, lost(), 0.1)
    assert isinstance(action, Finish)
    assert action.status == 502


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_of_a_target_does_not_promise_that_a_booking_has_not_run(status):
    """Guards against a caller that books again because of a status that we take over."""
    router = make_router(*TARGETS)
    router.arrive(make_request(1, path="/book/1"), 0.0)
    finish = router.end_attempt(1, answered(status), 0.1)
    assert (finish.status, finish.verdict.reason) == (502, Reason.UNPROVEN_REFUSAL)
    router.arrive(make_request(2), 0.0)
    assert isinstance(router.end_attempt(2, answered(429), 0.1).verdict, Answered)


def test_a_shed_booking_is_retried_at_another_target():
    router = make_router(*TARGETS)
    first = router.arrive(make_request(1, path="/book/1"), 0.0)
    second = router.end_attempt(1, shed(), 0.1)
    assert isinstance(second, Send)
    assert second.target_id != first.target_id


def test_a_booking_that_was_shed_and_then_lost_ends_as_may_have_run():
    """Reporting the first attempt, which did not run, would invite the caller to book twice."""
    router = make_router(*TARGETS)
    router.arrive(make_request(1, path="/book/1"), 0.0)
    router.end_attempt(1, shed(), 0.1)
    action = router.end_attempt(1, lost(), 0.2)
    assert action.status == 502


def test_a_look_up_that_was_lost_and_then_shed_ends_as_may_have_run():
    """The verdict must cover all attempts: the last one did not run, but the first one may have."""
    router = make_router(*TARGETS)
    router.arrive(make_request(1), 0.0)
    assert isinstance(router.end_attempt(1, lost(), 0.1), Send)
    action = router.end_attempt(1, shed(), 0.2)
    assert action.status == 502


def test_a_request_is_sent_to_at_most_the_route_attempts():
    router = make_router(*TARGETS)
    router.arrive(make_request(1), 0.0)
    router.end_attempt(1, lost(), 0.1)
    assert isinstance(router.end_attempt(1, lost(), 0.2), Finish)


def test_an_error_response_is_returned_if_the_retry_does_not_succeed():
    router = make_router(*TARGETS)
    router.arrive(make_request(1), 0.0)
    assert isinstance(router.end_attempt(1, answered(500), 0.1), Send)
    action = router.end_attempt(1, shed(), 0.2)
    assert action.verdict == Answered(500)


def test_a_target_that_refuses_connections_is_ejected():
    """Without the ejection, requests would go on to a stopped target until it leaves the store."""
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), 0.0)
    router.end_attempt(1, AttemptResult(NotRun(Reason.CONNECTION_REFUSED), 0.01), 0.1)
    target = router.targets.find(sent.target_id)
    assert target.is_down
    chosen = {router.arrive(make_request(key), 0.2).target_id for key in range(2, 12)}
    assert sent.target_id not in chosen


def test_a_target_whose_address_belongs_to_another_is_removed():
    """Another target can get the address of one that the store still lists."""
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), 0.0)
    result = AttemptResult(NotRun(Reason.NOT_OWNER), 0.01, address_reused=True)
    router.end_attempt(1, result, 0.1)
    assert router.targets.find(sent.target_id) is None


@pytest.mark.parametrize("is_listed", [True, False])
@pytest.mark.parametrize("result", [{"is_draining": True}, {"pause_s": 5.0}])
def test_what_a_target_says_holds_although_its_entry_was_lost_meanwhile(result, is_listed):
    """Guards against requests to a target that has announced its departure, or asked for a pause.

    The entry is lost while a request is in progress, and comes back before or after its response.
    """
    router = make_router(make_target(1, sequence=5))
    router.arrive(make_request(1, path="/book/1"), 0.0)
    router.targets.remove("t1")
    if is_listed:
        router.targets.update(make_target(1, sequence=6), now=0.1)
    router.end_attempt(1, AttemptResult(Answered(200), 0.2, **result), 0.2)
    router.targets.update(make_target(1, sequence=7), now=0.3)
    if is_listed or "is_draining" in result:
        assert isinstance(router.arrive(make_request(2), 0.4), Finish)


@pytest.mark.parametrize("incarnation", [0, 1])
def test_a_target_that_has_moved_since_is_not_removed(incarnation):
    """Guards against a target at a new address that is lost to a response from its old one."""
    router = make_router(make_target(1))
    router.arrive(make_request(1), 0.0)
    moved = make_target(1, address="10.0.0.9:80", sequence=2, incarnation=incarnation)
    router.targets.update(moved, now=0.05)
    result = AttemptResult(NotRun(Reason.NOT_OWNER), 0.01, address_reused=True)
    router.end_attempt(1, result, 0.1)
    assert router.targets.find("t1").entry.address == "10.0.0.9:80"


@pytest.mark.parametrize("changes", [{"draining": True}, {"failure_domain": "a9"}])
def test_draining_and_evacuated_targets_get_no_requests(changes):
    router = make_router(make_target(1, **changes), make_target(2))
    router.targets.evacuate(frozenset({"a9"}))
    chosen = {router.arrive(make_request(key), 0.0).target_id for key in range(1, 4)}
    assert chosen == {"t2"}


def test_draining_ends_only_with_a_higher_incarnation():
    """Announcements can arrive out of order and must not undo the draining of a target."""
    router = make_router(make_target(1, sequence=5, draining=True))
    router.targets.update(make_target(1, sequence=4), now=1.0)
    router.targets.update(make_target(1, sequence=6), now=1.0)
    assert router.targets.eligible_targets("ledger") == []
    router.targets.update(make_target(1, incarnation=1), now=2.0)
    assert len(router.targets.eligible_targets("ledger")) == 1


def test_allowed_regions_apply_if_only_other_regions_have_targets():
    """Requests must not run outside the route's regions even if no target there is known."""
    route = make_route(allowed_regions=frozenset({"b"}))
    far = make_target(1, domain="c1", region="c")
    router = make_router(far, configuration=make_configuration(route))
    assert isinstance(router.arrive(make_request(1), 0.0), Finish)
    router.targets.update(make_target(2, domain="b1", region="b"), now=0.0)
    assert router.arrive(make_request(2), 0.0).target_id == "t2"


def test_an_older_configuration_is_ignored():
    router = make_router(*TARGETS, configuration=make_configuration(version=5))
    assert not router.apply_configuration(make_configuration(make_route(prefix="/x/"), version=4))
    assert isinstance(router.arrive(make_request(1), 0.0), Send)


def test_services_of_a_route_get_requests_by_weight():
    services = (WeightedService("ledger", 3.0), WeightedService("desk", 1.0))
    desk = make_target(9, service="desk", slots=1000)
    ledger = make_target(8, slots=1000)
    configuration = make_configuration(make_route(services=services, sticky=False))
    router = make_router(ledger, desk, configuration=configuration)
    sent = [router.arrive(make_request(key), 0.0).target_id for key in range(1000)]
    assert 0.2 < sent.count("t9") / 1000 < 0.3


def test_a_request_is_quarantined_after_three_crashes():
    """A request that crashes its targets would otherwise take down one target per retry."""
    router = make_router(*TARGETS)
    for key in (1, 2, 3):
        action = router.arrive(make_request(key, path="/book/1", fingerprint="bad"), 0.0)
        assert isinstance(action, Send)
        router.end_attempt(key, lost(may_have_crashed=True), 0.1)
        (report,) = router.suspects.pop_crashes()
        assert router.quarantine.add_report(report._replace(target=f"t{key}"), now=0.1)
    action = router.arrive(make_request(4, path="/book/1", fingerprint="bad"), 0.2)
    assert action.verdict.reason is Reason.QUARANTINED


def test_lost_responses_without_a_crash_report_do_not_quarantine():
    """A broken connection alone does not show that the target crashed."""
    router = make_router(*TARGETS)
    for key in range(1, 9):
        action = router.arrive(make_request(key, path="/book/1", fingerprint="bad"), 0.0)
        assert isinstance(action, Send)
        router.end_attempt(key, lost(may_have_crashed=True), 0.1)
        router.suspects.pop_crashes()


def test_retry_slack_is_divided_among_all_known_vms():
    """The sum of the retries of all VMs would exceed the limit if each VM used all of the slack."""

    def count_retries(vms):
        router = make_router(*TARGETS, retry_slack=184.0)
        router.vms = tuple(f"vm-{number}" for number in range(vms))
        limit = router.retry_limit("ledger", now=0.0)
        return sum(limit.try_acquire(now=0.0) for _ in range(184))

    assert count_retries(11) * 11 <= 184
    assert count_retries(72) * 72 <= 184
    assert count_retries(72) >= 1


def test_a_target_with_a_timeout_is_reported_once_for_a_check():
    """A target that lost power causes timeouts only and must be checked."""
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1, path="/book/1"), 0.0)
    action = router.end_attempt(1, lost(Reason.TIMEOUT), 2.0)
    assert action.status == 504
    assert router.suspects.pop_timed_out() == {sent.target_id}
    assert router.suspects.pop_timed_out() == set()


def test_a_new_route_is_served_before_its_work_is_estimated():
    """An initial estimate above the short timeout would refuse all requests of the route."""
    route = make_route("new", prefix="/new/", timeout_s=0.4, objective_s=0.4, sticky=False)
    router = make_router(*TARGETS, configuration=make_configuration(route))
    assert isinstance(router.arrive(make_request(1, path="/new/1", object_key=""), 0.0), Send)


def test_requests_on_an_object_stay_at_one_target():
    """Requests on an object that move between targets are cold at each of them."""
    router = make_router(*TARGETS)
    sent = set()
    for key in range(20):
        action = router.arrive(make_request(key), key * 1.0)
        sent.add(action.target_id)
        result = AttemptResult(Answered(200), 0.2, load=LoadReport(0, 0, 4))
        router.end_attempt(key, result, key + 0.2)
    assert len(sent) == 1


def test_a_new_target_gets_a_request_although_others_are_warm():
    """A new target has no warm objects and would never have the earliest expected response."""
    router = make_router(*TARGETS)
    for key in range(8):
        router.arrive(make_request(key), float(key))
        router.end_attempt(key, answered(), key + 0.1)
    router.targets.update(make_target(9), now=10.0)
    chosen = {router.arrive(make_request(key), 10.0).target_id for key in range(20, 24)}
    assert "t9" in chosen


def test_abandoning_a_request_releases_its_slot():
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), 0.0)
    router.abandon(1, 0.1)
    assert router.targets.find(sent.target_id).in_flight == 0
    assert router.is_idle


def test_the_booking_route_is_not_idempotent():
    assert not BOOK.idempotent


def test_time_in_the_queue_does_not_raise_the_work_estimate():
    """An estimate that includes the queue would refuse requests that a free target could run."""
    router = make_router(TARGETS[0])
    expected = []
    for key in range(1, 30):
        now = 10.0 * key
        action = router.arrive(make_request(key, path="/book/1"), now)
        assert isinstance(action, Send)
        expected.append(action.expected_s)
        queued_result = AttemptResult(Answered(200), 0.35, load=LoadReport(4, 3, 4))
        router.end_attempt(key, queued_result, now + 0.35)
    assert expected[-1] <= expected[1]


@pytest.mark.parametrize(("latency_s", "waiting", "is_slow"), [(1.2, 0, True), (1.2, 16, False)])
def test_a_full_target_is_slow_only_if_its_queue_does_not_explain_it(latency_s, waiting, is_slow):
    """The queue of a full target delays responses without the target being slow."""
    router = make_router(TARGETS[0])
    for key in range(1, 30):
        now = 10.0 * key
        assert isinstance(router.arrive(make_request(key, path="/book/1"), now), Send)
        run = AttemptResult(Answered(200), latency_s, load=LoadReport(4, waiting, 4))
        router.end_attempt(key, run, now + latency_s)
    target = router.targets.find(TARGETS[0].target_id)
    assert (target.slowness > 1.2) is is_slow


def test_a_departure_in_a_response_overrides_later_store_entries():
    """Store entries that lag behind must not put a departing target back into use."""
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), 0.0)
    router.end_attempt(1, answered()._replace(is_draining=True), 0.1)
    departed = next(entry for entry in TARGETS if entry.target_id == sent.target_id)
    router.targets.update(departed._replace(sequence=9), now=0.2)
    router.targets.remove(departed.target_id)
    router.targets.update(departed._replace(sequence=10), now=0.3)
    for key in range(2, 60):
        action = router.arrive(make_request(key, object_key=f"o{key}"), 0.4)
        assert action.target_id != departed.target_id
    router.targets.update(departed._replace(incarnation=1), now=0.5)
    assert any(target.entry.target_id == departed.target_id for target in eligible_targets(router))


def test_a_paused_target_gets_no_requests_until_the_pause_ends():
    """The retry delay of refused callers must cover the rest of the pause."""
    router = make_router(TARGETS[0])
    router.arrive(make_request(1), 0.0)
    shed_with_pause = shed()._replace(pause_s=2.0)
    assert isinstance(router.end_attempt(1, shed_with_pause, 0.1), Finish)
    for key, now in enumerate((0.2, 1.0, 2.0), start=2):
        refusal = router.arrive(make_request(key), now)
        assert isinstance(refusal, Finish)
        assert refusal.verdict.retry_after_s >= 2.1 - now
    assert isinstance(router.arrive(make_request(9), 2.2), Send)


def test_requests_avoid_a_paused_target():
    router = make_router(*TARGETS)
    first = router.arrive(make_request(1), 0.0)
    second = router.end_attempt(1, shed()._replace(pause_s=1.0), 0.1)
    assert isinstance(second, Send)
    for key in range(2, 40):
        action = router.arrive(make_request(key, object_key=f"o{key}"), 0.5)
        assert action.target_id != first.target_id


def eligible_targets(router):
    return router.targets.eligible_targets("ledger")


@pytest.mark.parametrize("bulky", [False, True])
def test_allowed_regions_without_targets_refuse_requests(bulky):
    route = make_route(allowed_regions=frozenset({"b"}), is_bulky=bulky)
    router = make_router(*TARGETS, configuration=make_configuration(route))
    refusal = router.arrive(make_request(1), 0.0)
    assert isinstance(refusal, Finish)
    assert refusal.status == 503


def test_bulky_requests_stay_in_the_failure_domain_with_free_slots():
    """Large bodies would otherwise saturate the links between failure domains."""
    far = tuple(make_target(number, domain="a2") for number in range(5, 9))
    bulky = make_route("store", prefix="/store/", idempotent=False, is_bulky=True)
    router = make_router(*TARGETS, *far, configuration=make_configuration(make_route(), bulky))

    def domains(prefix, first):
        found = set()
        for key in range(first, first + 12):
            sent = router.arrive(make_request(key, path=prefix, object_key=f"o{key}"), 0.0)
            router.end_attempt(key, answered(), 0.1)
            found.add(sent.failure_domain)
        return found

    assert domains("/store/1", 100) == {"a1"}
    assert domains("/look/1", 200) == {"a1", "a2"}


def test_requests_without_objects_are_not_refused_while_fast_targets_have_room():
    """Guards against callers that are refused because the initial estimate of the work stays."""
    route = make_route(sticky=False)
    router = make_router(make_target(1), configuration=make_configuration(route))
    for key in range(60):
        router.arrive(make_request(key, object_key=""), key / 10)
        answer = AttemptResult(Answered(200), 0.002)
        router.end_attempt(key, answer, key / 10 + 0.002)
    actions = [router.arrive(make_request(key, object_key=""), 6.1) for key in range(100, 108)]
    assert all(isinstance(action, Send) for action in actions)


def test_requests_without_objects_use_all_targets_although_one_responds_a_little_faster():
    """Guards against all such requests being sent to one target."""
    route = make_route(sticky=False)
    router = make_router(
        *[make_target(number) for number in range(1, 5)], configuration=make_configuration(route)
    )
    targets = set()
    for key in range(64):
        sent = router.arrive(make_request(key, object_key=""), key / 10)
        targets.add(sent.target_id)
        latency_s = 0.010 if sent.target_id == "t1" else 0.012
        router.end_attempt(key, AttemptResult(Answered(200), latency_s), key / 10 + latency_s)
    assert len(targets) == 4


def send_in_turn(router, *, count, latency_s):
    """Sends requests without an object one after the other, each with a response."""
    result = AttemptResult(Answered(200), latency_s)
    for key in range(count):
        now = key * 0.05
        router.arrive(make_request(key, object_key=""), now)
        router.end_attempt(key, result, now + latency_s)


@pytest.mark.parametrize(("latency_s", "is_refused"), [(0.002, False), (0.5, True)])
def test_requests_that_arrive_during_a_pause_of_the_vm_are_judged_by_its_first_responses(
    latency_s, is_refused
):
    """A VM that waited 0.4 s for a core in its first second refused what had arrived meanwhile.

    It judged by the assumed work, of which six responses within 2 ms left three quarters. A
    service that is really slow is still protected.
    """
    route = make_route(sticky=False, objective_s=1.0, timeout_s=3.0)
    router = make_router(make_target(1), configuration=make_configuration(route))
    send_in_turn(router, count=6, latency_s=latency_s)
    actions = [
        router.arrive(make_request(key, object_key="", budget_s=3.0), 0.7)
        for key in range(100, 108)
    ]
    assert any(isinstance(action, Finish) for action in actions) is is_refused
