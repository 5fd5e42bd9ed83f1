"""Requests passed on to siblings: when, to whom, and what follows from each result."""

import pytest

from carawaybank.routing import relaying
from carawaybank.routing.helpers import OFFER_VALIDITY_S, Offer, ServicePaths
from carawaybank.routing.messages import (
    AttemptResult,
    Finish,
    Relay,
    RelayResult,
    RelayTerms,
    Send,
)
from carawaybank.routing.reachability import LOST_FAILURES
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.routing.builders import (
    BOOK,
    make_configuration,
    make_request,
    make_route,
    make_router,
    make_target,
)

TARGETS = [make_target(number) for number in range(1, 7)]
OK = Answered(200, (), b"done")
UNREACHED = AttemptResult(NotRun(Reason.CONNECT_FAILED), 0.1)
NOW = 20.0


def make_offer(vm="vm-2", *, region="a", room=5, slots=None, age_s=0.1):
    paths = {"ledger": ServicePaths(slots or {"a": 24}, age_s)}
    return Offer(vm, f"{vm}:1", f"{region}1", region, room, paths)


def make_cut_off_router(*offers, **options):
    """Returns a router that has lost its paths, with offers of siblings."""
    router = make_router(*TARGETS, **options)
    for number in range(LOST_FAILURES):
        router.reachability.record_failure("ledger", f"t{number}", now=NOW - 2.0)
    assert router.reachability.apply_evidence(
        "ledger", sibling="vm-2", age_s=0.1, target_count=len(TARGETS), now=NOW - 1.0
    )
    relaying.lose_paths(router, "ledger", NOW - 1.0)
    for offer in offers:
        router.helpers.update(offer, now=NOW)
    return router


def relay_of(router, key=1, **request):
    action = router.arrive(make_request(key, **request), NOW)
    assert isinstance(action, Relay)
    return action


def test_a_request_is_passed_on_with_its_service_and_deadline():
    router = make_cut_off_router(make_offer())
    relay = relay_of(router, budget_s=1.5)
    assert relay.offer.vm == "vm-2"
    assert relay.deadline == pytest.approx(NOW + 1.5)
    assert relay.terms == RelayTerms("ledger", (), 1)
    finish = router.end_relay(1, RelayResult(OK, "t1"), NOW + 0.2)
    assert (finish.status, finish.target_id, finish.relayed_by) == (200, "t1", ("vm-2",))
    assert router.is_idle


def test_a_vm_that_reaches_its_targets_passes_nothing_on():
    router = make_router(*TARGETS)
    router.helpers.update(make_offer(), now=NOW)
    assert isinstance(router.arrive(make_request(1), NOW), Send)


def test_without_an_offer_a_request_is_refused_at_once():
    """Guards against requests that wait until their deadline although no VM can serve them."""
    finish = make_cut_off_router().arrive(make_request(1), NOW)
    assert isinstance(finish, Finish)
    assert finish.status == 503
    assert 0 < finish.verdict.retry_after_s <= 5


def test_an_expired_offer_is_not_used():
    router = make_cut_off_router(make_offer())
    assert isinstance(router.arrive(make_request(1), NOW + OFFER_VALIDITY_S + 0.1), Finish)


def test_a_relayed_request_is_never_passed_on_again():
    """Guards against circles of VMs that are cut off."""
    router = make_cut_off_router(make_offer())
    finish = router.arrive(make_request(1), NOW, RelayTerms("ledger", (), 1))
    assert isinstance(finish, Finish)
    assert finish.status == 503


def test_a_relayed_request_gets_one_attempt_at_a_target_not_tried_before():
    router = make_router(*TARGETS[:2])
    sent = router.arrive(make_request(1), NOW, RelayTerms("ledger", ("t1",), 1))
    assert sent.target_id == "t2"
    finish = router.end_attempt(1, AttemptResult(NotRun(Reason.TARGET_SHED), 0.1), NOW)
    assert isinstance(finish, Finish)
    assert finish.verdict.reason is Reason.TARGET_SHED


def test_a_request_routed_by_a_newer_configuration_is_not_taken_in():
    finish = make_router(*TARGETS).arrive(make_request(1), NOW, RelayTerms("ledger", (), 2))
    assert isinstance(finish, Finish)
    assert finish.verdict.reason is Reason.NO_TICKET


def test_relayed_requests_do_not_raise_the_retry_limit_of_the_sibling():
    """Guards against retries of more than the allowed share, counted by both VMs."""
    router = make_router(*TARGETS, retry_slack=0.0)
    for key in range(100):
        router.arrive(make_request(key), NOW, RelayTerms("ledger", (), 1))
    assert not router.retry_limit("ledger", now=NOW).try_acquire(now=NOW)


def test_a_sibling_without_room_is_followed_by_another_one():
    router = make_cut_off_router(make_offer("vm-2"), make_offer("vm-3"))
    first = relay_of(router)
    refused = RelayResult(NotRun(Reason.NO_CAPACITY, 0.5, "no room"))
    second = router.end_relay(1, refused, NOW)
    assert isinstance(second, Relay)
    assert {first.offer.vm, second.offer.vm} == {"vm-2", "vm-3"}
    finish = router.end_relay(1, refused, NOW)
    assert (finish.status, finish.verdict.retry_after_s) == (503, 0.5)


@pytest.mark.parametrize("verdict", [MayHaveRun(Reason.CONNECTION_LOST), OK])
def test_a_booking_that_may_have_run_is_not_passed_on_again(verdict):
    """Guards against a parts order that runs twice because its response was lost on the way."""
    router = make_cut_off_router(make_offer("vm-2"), make_offer("vm-3"))
    relay_of(router, path="/book/1")
    finish = router.end_relay(1, RelayResult(verdict), NOW)
    assert isinstance(finish, Finish)
    assert finish.verdict == verdict


def test_a_lost_response_of_an_idempotent_request_costs_a_retry_and_an_attempt():
    router = make_cut_off_router(make_offer("vm-2"), make_offer("vm-3"), make_offer("vm-4"))
    relay_of(router)
    lost = RelayResult(MayHaveRun(Reason.CONNECTION_LOST))
    assert isinstance(router.end_relay(1, lost, NOW), Relay)
    finish = router.end_relay(1, lost, NOW)  # The route allows two attempts.
    assert isinstance(finish, Finish)
    assert finish.status == 502


def test_a_request_is_passed_on_only_to_the_regions_of_its_route():
    """Guards against a body that a VM outside the allowed regions receives."""
    home = make_route(allowed_regions=frozenset({"b"}))
    configuration = make_configuration(home, BOOK)
    slots = {"a": 24, "b": 24}
    near, away = make_offer("vm-2", slots=slots), make_offer("vm-3", region="b", slots=slots)
    router = make_cut_off_router(near, configuration=configuration)
    assert isinstance(router.arrive(make_request(1), NOW), Finish)
    router.helpers.update(away, now=NOW)
    assert relay_of(router, 2).offer.vm == "vm-3"


def test_siblings_are_used_in_proportion_to_their_room():
    router = make_cut_off_router(make_offer("vm-2", room=4), make_offer("vm-3", room=2))
    vms = [relay_of(router, key).offer.vm for key in range(6)]
    assert (vms.count("vm-2"), vms.count("vm-3")) == (4, 2)
    assert isinstance(router.arrive(make_request(9), NOW), Finish)
    router.abandon(0, NOW)
    assert relay_of(router, 10).offer.vm == vms[0]


def test_a_sibling_that_reached_a_target_just_now_is_preferred():
    stale, recent = make_offer("vm-2", age_s=5.0), make_offer("vm-3", region="b")
    assert relay_of(make_cut_off_router(stale, recent)).offer.vm == "vm-3"


def test_unreached_targets_cost_neither_retries_nor_attempts_while_most_are_down():
    router = make_router(*TARGETS, retry_slack=0.0)
    router.helpers.update(make_offer(), now=NOW)
    for entry in TARGETS[:4]:
        router.targets.find(entry.target_id).eject(now=NOW)
    action = router.arrive(make_request(1), NOW)
    while isinstance(action, Send):
        action = router.end_attempt(1, UNREACHED, NOW)
    assert isinstance(action, Relay)


def test_failures_of_a_lost_path_say_nothing_about_targets():
    """Guards against requests that are refused after a cut by what was learned during it."""
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), NOW)
    target = router.targets.find(sent.target_id)
    target.record_slowness(20.0)
    for entry in TARGETS[:LOST_FAILURES]:
        router.reachability.record_failure("ledger", entry.target_id, now=NOW)
    router.reachability.apply_evidence(
        "ledger", sibling="vm-2", age_s=0.1, target_count=6, now=NOW + 1
    )
    relaying.lose_paths(router, "ledger", NOW + 1)
    lost = AttemptResult(MayHaveRun(Reason.CONNECTION_LOST), 1.0, may_have_crashed=True)
    router.end_attempt(1, lost, NOW + 1)
    assert router.suspects.pop_crashes() == []
    relaying.restore_paths(router, "ledger", failing_since=NOW, now=NOW + 5)
    assert not target.is_down
    assert target.slowness == 1.0


def test_targets_that_were_down_long_before_a_loss_stay_down():
    router = make_router(*TARGETS)
    router.targets.find("t1").eject(now=NOW - 60)
    relaying.lose_paths(router, "ledger", NOW)
    relaying.restore_paths(router, "ledger", failing_since=NOW, now=NOW + 5)
    assert [t.entry.target_id for t in router.targets.by_id.values() if t.is_down] == ["t1"]


def test_attempts_without_any_response_for_longer_than_the_objective_are_silent():
    router = make_router(*TARGETS)
    for key in range(8):
        router.arrive(make_request(key, object_key=f"o{key}"), NOW)
    assert relaying.silent_services(router, NOW + 0.5) == set()
    assert relaying.silent_services(router, NOW + 0.7) == {"ledger"}
    router.reachability.record_reached("ledger", now=NOW + 0.6)
    assert relaying.silent_services(router, NOW + 0.7) == set()


def test_time_outs_without_any_response_say_nothing_about_targets():
    """Guards against a VM that refuses all its callers after a short cut, because of estimates that
    no request corrects any more."""
    router = make_router(*TARGETS)
    timed_out = AttemptResult(MayHaveRun(Reason.TIMEOUT), 0.8)
    for key in range(30):
        if isinstance(router.arrive(make_request(key, object_key=f"o{key}"), NOW), Send):
            router.end_attempt(key, timed_out, NOW + 0.8)
    assert {target.slowness for target in router.targets.by_id.values()} == {1.0}


def test_a_time_out_counts_against_a_target_while_others_respond():
    router = make_router(*TARGETS)
    sent = router.arrive(make_request(1), NOW)
    router.reachability.record_reached("ledger", now=NOW + 0.5)
    router.end_attempt(1, AttemptResult(MayHaveRun(Reason.TIMEOUT), 0.8), NOW + 0.8)
    assert router.targets.find(sent.target_id).slowness > 1.0


def test_the_error_response_of_a_target_is_returned_if_the_next_target_is_full():
    """Guards against a target's response that is replaced by a refusal."""
    router = make_cut_off_router(make_offer("vm-2"), make_offer("vm-3"))
    relay_of(router)
    failed = RelayResult(Answered(500, (), b"failed"), "t1")
    assert isinstance(router.end_relay(1, failed, NOW), Relay)
    finish = router.end_relay(1, RelayResult(NotRun(Reason.TARGET_SHED), "t2"), NOW)
    assert (finish.status, finish.verdict.body) == (500, b"failed")


def test_a_status_in_a_result_does_not_promise_that_a_booking_has_not_run():
    """Guards against a sibling of an older build that passes a target's 503 on."""
    router = make_cut_off_router(make_offer("vm-2"))
    relay_of(router, path="/book/1")
    finish = router.end_relay(1, RelayResult(Answered(503, (), b"full"), "t1"), NOW)
    assert (finish.status, finish.verdict.reason) == (502, Reason.UNPROVEN_REFUSAL)
