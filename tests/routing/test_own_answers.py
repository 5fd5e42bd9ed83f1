"""Answers that a VM gives by itself: what they promise, and that bounds stand behind them."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank.routing.helpers import Offer, ServicePaths
from carawaybank.routing.messages import AttemptResult, Finish, Relay, RelayResult, Send
from carawaybank.routing.reachability import LOST_FAILURES
from carawaybank.routing.stopping import StopPlan
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.routing.builders import (
    make_configuration,
    make_request,
    make_route,
    make_router,
    make_target,
)

STOP_S = 6.0
PROMISES = {408, 421, 429, 503}
VERDICTS = [
    Answered(200),
    Answered(500),
    Answered(503),
    NotRun(Reason.TARGET_SHED),
    NotRun(Reason.CONNECT_FAILED),
    NotRun(Reason.NOT_OWNER),
    MayHaveRun(Reason.TIMEOUT),
    MayHaveRun(Reason.CONNECTION_LOST),
    MayHaveRun(Reason.PATH_LOST),
    MayHaveRun(Reason.STOPPING),
]


def make_routes(*, timeout_s):
    return [
        make_route(name, prefix=f"/{name}/", idempotent=repeats, timeout_s=timeout_s)
        for name, repeats in (("look", True), ("book", False))
    ]


def start_stop(router, *, now):
    router.stop_plan = StopPlan(started_at=now, stop_within_s=STOP_S)


def lose_paths(router, *, now):
    """Has a router find its paths lost, and a sibling offer help."""
    for number in range(LOST_FAILURES):
        router.reachability.record_failure("ledger", f"t{number}", now=now)
    paths = {"ledger": ServicePaths({"a": 4}, 0.0)}
    router.helpers.update(Offer("vm-2", "10.1.0.2:9", "a1", "a", 8, paths), now=now + 1.0)
    assert router.reachability.apply_evidence(
        "ledger", sibling="vm-2", age_s=0.0, target_count=9, now=now + 1.0
    )


@given(
    verdicts=st.lists(st.sampled_from(VERDICTS), min_size=1, max_size=5),
    path=st.sampled_from(["/look/1", "/book/1"]),
    stops_before=st.integers(0, 6),
    has_paths=st.booleans(),
)
def test_a_promise_is_given_only_if_no_attempt_may_have_run(
    verdicts, path, stops_before, has_paths
):
    """Guards against "not run" for a request of which an attempt at a target is uncertain."""
    router = make_router(*(make_target(number) for number in range(1, 8)))
    if not has_paths:
        lose_paths(router, now=0.0)
    now, seen = 1.0, []
    action = router.arrive(make_request(1, path=path, budget_s=6.0), now)
    for number, verdict in enumerate(itertools.cycle(verdicts)):
        if isinstance(action, Finish):
            break
        if number == stops_before:
            start_stop(router, now=now)
        now += 0.1
        seen.append(verdict)
        if isinstance(action, Relay):
            action = router.end_relay(1, RelayResult(verdict, "t1"), now)
        else:
            action = router.end_attempt(1, AttemptResult(verdict, 0.1), now)
    assert isinstance(action, Finish)
    if action.status in PROMISES and not isinstance(action.verdict, Answered):
        assert all(isinstance(verdict, NotRun) for verdict in seen)


@pytest.mark.parametrize(("before_s", "after_s"), [(1.0, 5.0), (5.0, 1.0)])
def test_a_changed_timeout_leaves_attempts_in_progress_their_deadline(before_s, after_s):
    """Guards against a run that outlasts the bound by which it was passed on in a stop."""
    configuration = make_configuration(*make_routes(timeout_s=before_s))
    router = make_router(make_target(1), configuration=configuration)
    sent = router.arrive(make_request(1, budget_s=9.0), 1.0)
    assert isinstance(sent, Send)
    changed = make_configuration(*make_routes(timeout_s=after_s), version=2)
    assert router.apply_configuration(changed)
    assert sent.deadline == 1.0 + before_s
    (progress,) = router.requests
    assert progress.deadline == sent.deadline


@pytest.mark.parametrize("path", ["/look/1", "/book/1"])
def test_times_under_a_short_timeout_do_not_bound_runs_under_a_longer_one(path):
    """Guards against late requests that a stop passes on by times which a time-out had cut."""
    configuration = make_configuration(*make_routes(timeout_s=1.0))
    router = make_router(make_target(1), make_target(2), configuration=configuration)
    for number in range(120):
        now = number * 0.1
        if isinstance(router.arrive(make_request(number, path=path), now), Send):
            router.end_attempt(number, AttemptResult(Answered(200), 0.9), now + 0.9)
    router.apply_configuration(make_configuration(*make_routes(timeout_s=5.0), version=2))
    start_stop(router, now=20.0)
    sent = router.arrive(make_request(500, path=path, budget_s=9.0), 22.0)
    late = router.arrive(make_request(501, path=path, budget_s=9.0), 23.0)
    assert isinstance(sent, Send) == (path == "/look/1")
    assert isinstance(late, Finish)
    assert late.verdict.reason is Reason.STOPPING


@pytest.mark.parametrize(
    ("path", "budget_s", "arrived_s", "is_relayed"),
    [
        ("/look/1", 2.0, 3.0, True),
        ("/book/1", 2.0, 3.0, True),
        ("/look/1", 5.0, 3.0, False),
        ("/book/1", 5.0, 1.0, False),
    ],
)
def test_a_vm_that_stops_passes_to_siblings_only_what_ends_in_time(
    path, budget_s, arrived_s, is_relayed
):
    """Guards against relays that are passed on late in a stop and broken off at its end."""
    configuration = make_configuration(*make_routes(timeout_s=5.0))
    router = make_router(make_target(1), configuration=configuration)
    lose_paths(router, now=-1.0)
    start_stop(router, now=0.0)
    sibling = Offer("vm-2", "10.1.0.2:9", "a1", "a", 8, {"ledger": ServicePaths({"a": 4}, 0.0)})
    router.helpers.update(sibling, now=arrived_s)
    action = router.arrive(make_request(1, path=path, budget_s=budget_s), arrived_s)
    assert isinstance(action, Relay) == is_relayed
    if not is_relayed:
        assert (action.status, action.verdict.reason) == (503, Reason.STOPPING)


def test_no_retry_is_sent_that_cannot_end_before_the_deadline():
    """Guards against a target's response that is held back for a retry which times out."""
    router = make_router(make_target(1), make_target(2))
    router.arrive(make_request(1, budget_s=2.0), 1.0)
    finish = router.end_attempt(1, AttemptResult(Answered(500), 1.95), 2.95)
    assert isinstance(finish, Finish)
    assert finish.status == 500
