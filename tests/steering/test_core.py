"""Decisions for single requests, with the core driven by hand."""

import random

import pytest

from carawaybank.steering.core import Steering
from carawaybank.steering.deduplication import RequestId
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.messages import (
    AnnounceCrash,
    AttemptEnded,
    CrashAnnounced,
    Dispatch,
    Finish,
    ProbeEnded,
    RequestArrived,
    RequestInfo,
)
from carawaybank.steering.options import Options
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.standing import Health
from carawaybank.steering.tickets import EMPTY, apply
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

TARGETS = 3
SLOTS = 2
LOST = MayHaveRun(Reason.CONNECTION_LOST)
REFUSED = NotRun(Reason.CONNECTION_REFUSED)
SHED = NotRun(Reason.TARGET_SHED)


class Driver:
    """A core with three targets of two slots, and requests numbered as they come."""

    def __init__(self, **options):
        own = Member("vm", 1, 0, Status.ALIVE, "fd", "r", "fd", "a", "b")
        self.core = Steering(
            membership=Membership(own=own),
            ownership=Ownership(vm="vm", incarnation=1),
            released=lambda _: 0,
            options=Options(**options),
            rng=random.Random(1),
        )
        self.now = 0.0
        self.key = 0
        self.put_in_force([f"t{n}" for n in range(TARGETS)])

    def put_in_force(self, names):
        state = self.core.state
        ticket = {
            "number": state.number + 1,
            "author": "o",
            "reason": "r",
            "regions": {"r": {"utilisation": 1.0}},
            "failure_domains": {"fd": {"region": "r"}},
            "services": {"s": {}},
            "targets": {
                name: {"service": "s", "failure_domain": "fd", "address": f"{name}:1", "slots": 2}
                for name in names
            },
        }
        self.core.update_state(apply(state or EMPTY, ticket), now=self.now)
        self.probe_all()

    def probe_all(self, busy=0):
        self.core.holdings.pool("s", now=self.now)
        for name in self.core.state.targets:
            self.core.handle(ProbeEnded(name, Health.SERVING, busy), self.now)

    def arrive(self, *, repeatable=True, deadline=10.0, unique=None, fingerprint="", **marks):
        self.key += 1
        bound = RequestId(marks.get("vm", "vm"), 1, 0, unique or f"u{self.key}")
        info = RequestInfo(
            marks.get("service", "s"),
            "c",
            f"id{self.key}",
            bound,
            repeatable,
            marks.get("first_send", False),
            self.now + deadline,
            fingerprint or str(self.key),
        )
        (action,) = self.core.handle(RequestArrived(self.key, info), self.now)
        return action

    def end(self, action, verdict, **marks):
        (following,) = self.core.handle(AttemptEnded(action.key, verdict, 0.01, **marks), self.now)
        return following


@pytest.fixture
def driver():
    return Driver()


def test_an_ambiguous_attempt_never_ends_as_not_run(driver):
    second = driver.end(driver.arrive(), LOST)
    third = driver.end(second, REFUSED)
    last = driver.end(third, REFUSED)
    assert isinstance(last, Finish)
    assert isinstance(last.verdict, MayHaveRun)


def test_the_same_target_is_never_tried_twice(driver):
    first = driver.arrive()
    second = driver.end(first, SHED)
    third = driver.end(second, SHED)
    assert len({first.target, second.target, third.target}) == TARGETS
    assert isinstance(driver.end(third, SHED), Finish)


def test_a_request_that_may_have_run_is_repeated_only_if_it_may_be(driver):
    assert isinstance(driver.end(driver.arrive(repeatable=True), LOST), Dispatch)
    assert driver.end(driver.arrive(repeatable=False), LOST).verdict == LOST


def test_a_request_that_was_shed_is_tried_elsewhere_though_it_may_not_be_repeated(driver):
    following = driver.end(driver.arrive(repeatable=False), SHED)
    assert isinstance(following, Dispatch)


def test_requests_that_may_not_be_repeated_get_a_fresh_connection(driver):
    assert driver.arrive(repeatable=False).fresh_connection
    assert not driver.arrive(repeatable=True).fresh_connection


def test_a_connection_is_reused_only_where_a_retry_is_possible():
    driver = Driver(retry_burst=1.0, retry_share=0.0)
    first = driver.arrive()
    assert not first.fresh_connection
    driver.end(first, LOST)
    assert driver.arrive().fresh_connection


def test_work_whose_deadline_has_passed_is_not_begun(driver):
    refused = driver.arrive(deadline=0.0)
    assert refused.verdict.reason is Reason.DEADLINE_PASSED
    action = driver.arrive(deadline=1.0)
    driver.now = 2.0
    assert isinstance(driver.end(action, SHED), Finish)


REFUSED_EARLY = [{"deadline": 0.0}, {"service": "unknown"}]


@pytest.mark.parametrize("fault", REFUSED_EARLY)
def test_an_order_that_ran_is_never_refused_as_not_run_when_sent_again(driver, fault):
    driver.end(driver.arrive(repeatable=False, unique="order"), Answered(200, body=b"done"))
    again = driver.arrive(repeatable=False, unique="order", **fault)
    assert isinstance(again.verdict, Answered)


@pytest.mark.parametrize("fault", REFUSED_EARLY)
def test_an_order_that_was_forgotten_is_not_refused_as_not_run(driver, fault):
    driver.end(driver.arrive(repeatable=False, unique="order"), Answered(200, body=b"done"))
    driver.now = 5000.0
    driver.arrive(repeatable=False, unique="makes the memory forget")
    again = driver.arrive(repeatable=False, unique="order", **fault)
    assert isinstance(again.verdict, MayHaveRun)


@pytest.mark.parametrize("fault", REFUSED_EARLY)
def test_an_order_bound_elsewhere_is_refused_as_not_run_only_on_its_first_send(driver, fault):
    again = driver.arrive(repeatable=False, vm="other", **fault)
    assert isinstance(again.verdict, MayHaveRun)
    first = driver.arrive(repeatable=False, vm="other", first_send=True, **fault)
    assert isinstance(first.verdict, NotRun)


def test_a_host_that_may_not_start_work_tells_of_earlier_sends(driver):
    refusal = NotRun(Reason.NO_CAPACITY, 0.5)
    action = driver.arrive(repeatable=False, unique="order")
    info = driver.core._requests[action.key].request
    running = driver.core.refuse(info, refusal, driver.now)
    assert running.reason is Reason.STILL_RUNNING
    driver.end(action, SHED)
    new = info._replace(bound_id=RequestId("vm", 1, 0, "new"))
    assert driver.core.refuse(new, refusal, driver.now) == refusal


def test_extra_attempts_stay_within_a_tenth():
    driver = Driver(retry_burst=1.0)
    attempts = 0
    for _ in range(500):
        action = driver.arrive()
        while isinstance(action, Dispatch):
            attempts += 1
            action = driver.end(action, LOST)
        driver.now += 5.0
    assert attempts <= 500 * 1.1 + 1


def test_slots_are_never_exceeded_and_refusals_name_a_time(driver):
    taken = [driver.arrive() for _ in range(TARGETS * SLOTS)]
    assert all(isinstance(action, Dispatch) for action in taken)
    refused = driver.arrive()
    assert refused.verdict.reason is Reason.NO_CAPACITY
    assert refused.verdict.retry_after_s > 0


def test_a_timed_out_request_holds_its_slot_until_its_deadline(driver):
    taken = [driver.arrive(deadline=5.0, repeatable=False) for _ in range(TARGETS * SLOTS)]
    for action in taken:
        driver.end(action, MayHaveRun(Reason.TIMEOUT), may_linger=True)
    assert isinstance(driver.arrive(), Finish)
    driver.now = 5.1
    driver.core.tick(driver.now)
    assert isinstance(driver.arrive(), Dispatch)


def test_a_dead_target_rests_while_others_have_room(driver):
    first = driver.arrive()
    driver.end(first, REFUSED)
    chosen = set()
    for _ in range(20):
        action = driver.arrive()
        chosen.add(action.target)
        driver.end(action, Answered(200, target=action.target))
    assert first.target not in chosen


def test_ejection_never_takes_the_last_target_away(driver):
    for _ in range(TARGETS):
        action = driver.arrive()
        while isinstance(action, Dispatch):
            action = driver.end(action, REFUSED)
    assert isinstance(driver.arrive(), Dispatch)


def test_a_slow_target_gets_less(driver):
    slow = "t0"
    counts = dict.fromkeys(driver.core.state.targets, 0)
    for _ in range(200):
        action = driver.arrive()
        counts[action.target] += 1
        latency = 0.5 if action.target == slow else 0.01
        driver.core.handle(
            AttemptEnded(action.key, Answered(200, target=action.target), latency), driver.now
        )
    assert counts[slow] < 200 / TARGETS / 2


def test_two_crashes_quarantine_a_request_and_nothing_else(driver):
    first = driver.arrive(fingerprint="poison")
    announced = driver.end(first, LOST, crashed=True)
    assert isinstance(announced, AnnounceCrash)
    (second,) = driver.core.handle(CrashAnnounced(first.key), driver.now)
    driver.end(second, LOST, crashed=True)
    (ended,) = driver.core.handle(CrashAnnounced(first.key), driver.now)
    assert isinstance(ended, Finish)
    assert driver.arrive(fingerprint="poison").verdict.reason is Reason.QUARANTINED
    assert isinstance(driver.arrive(fingerprint="other"), Dispatch)


def test_a_target_added_by_a_ticket_ramps(driver):
    driver.now = 100.0
    driver.put_in_force(["t0", "t1", "t2", "new"])
    held = [driver.arrive() for _ in range(TARGETS * SLOTS + 1)]
    assert [action.target for action in held].count("new") == 1
    assert isinstance(driver.arrive(), Finish)
    driver.now = 111.0
    assert driver.arrive().target == "new"


def test_after_a_takeover_nothing_is_sent_before_the_target_reports():
    driver = Driver()
    ownership = driver.core.holdings._ownership
    ownership.observe_member("other", incarnation=2)
    ownership.confirm_recognition("other", incarnation=2)
    ownership.join()
    mine = {target.name for target in driver.core.holdings.owned(now=0.0)}
    gained = set(driver.core.state.targets) - mine
    assert gained
    ownership.prove_dead("other", incarnation=2, proof="connection-refused")
    held = [driver.arrive() for _ in range(len(mine) * SLOTS)]
    assert {action.target for action in held} <= mine
    assert isinstance(driver.arrive(), Finish)
    for name in gained:
        driver.core.handle(ProbeEnded(name, Health.SERVING, 1), driver.now)
    more = [driver.arrive() for _ in gained]
    assert {action.target for action in more} == gained
    assert isinstance(driver.arrive(), Finish)


def test_a_target_that_the_list_calls_leaving_stays_out_though_it_says_it_serves(driver):
    driver.core.holdings.standing("t0").list_leaving(driver.now)
    driver.probe_all()
    held = [driver.arrive() for _ in range((TARGETS - 1) * SLOTS)]
    assert "t0" not in {action.target for action in held}


def test_an_unknown_outcome_becomes_an_incident_once(driver):
    driver.end(driver.arrive(repeatable=False, unique="order"), LOST)
    driver.end(driver.arrive(repeatable=True), LOST)
    assert [i.reason for i in driver.core.incidents.recent] == [Reason.CONNECTION_LOST]
    taken = driver.core.incidents.take_unstored()
    assert len(taken) == 1
    assert driver.core.incidents.take_unstored() == []
    driver.core.incidents.put_back(taken)
    assert driver.core.incidents.take_unstored() == taken
