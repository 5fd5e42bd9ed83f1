"""Decisions for single requests, with a test driver as the host of the core."""

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
from carawaybank.steering.targetstate import ProbeResult
from carawaybank.steering.tickets import EMPTY_STATE, apply_ticket
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

TARGETS = 3
SLOTS = 2
LOST = MayHaveRun(Reason.CONNECTION_LOST)
REFUSED = NotRun(Reason.CONNECTION_REFUSED)
SHED = NotRun(Reason.TARGET_SHED)


class Driver:
    """Hosts a core with three targets of two slots each, and numbers the requests."""

    def __init__(self, **options):
        own = Member("vm", 1, 0, Status.ALIVE, "fd", "r", "fd", "a", "b")
        self.core = Steering(
            membership=Membership(own=own),
            ownership=Ownership(vm="vm", incarnation=1),
            former_owner_units=lambda _: 0,
            options=Options(**options),
            rng=random.Random(1),
        )
        self.now = 0.0
        self.key = 0
        self.apply_ticket([f"t{n}" for n in range(TARGETS)])

    def apply_ticket(self, names):
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
        self.core.update_state(apply_ticket(state or EMPTY_STATE, ticket), now=self.now)
        self.probe_all()

    def probe_all(self, busy=0):
        self.core.cell_targets.pool("s", now=self.now)
        for name in self.core.state.targets:
            self.core.handle(ProbeEnded(name, ProbeResult.SERVING, busy), self.now)

    def arrive(self, *, repeatable=True, deadline=10.0, unique=None, fingerprint="", **options):
        self.key += 1
        bound = RequestId(options.get("vm", "vm"), 1, 0, unique or f"u{self.key}")
        info = RequestInfo(
            options.get("service", "s"),
            "c",
            f"id{self.key}",
            bound,
            repeatable,
            options.get("first_send", False),
            self.now + deadline,
            fingerprint or str(self.key),
        )
        (action,) = self.core.handle(RequestArrived(self.key, info), self.now)
        return action

    def end(self, action, verdict, **options):
        (following,) = self.core.handle(
            AttemptEnded(action.key, verdict, 0.01, **options), self.now
        )
        return following


@pytest.fixture
def driver():
    return Driver()


def test_request_that_may_have_run_never_ends_as_not_run(driver):
    """Later attempts that did not run must not hide an earlier attempt that may have run."""
    second = driver.end(driver.arrive(), LOST)
    third = driver.end(second, REFUSED)
    last = driver.end(third, REFUSED)
    assert isinstance(last, Finish)
    assert isinstance(last.verdict, MayHaveRun)


def test_the_same_target_is_never_tried_twice(driver):
    """A retry at a target that just shed the request would waste an attempt."""
    first = driver.arrive()
    second = driver.end(first, SHED)
    third = driver.end(second, SHED)
    assert len({first.target, second.target, third.target}) == TARGETS
    assert isinstance(driver.end(third, SHED), Finish)


def test_request_that_may_have_run_is_retried_only_if_idempotent(driver):
    """Retrying a non-idempotent request whose connection was lost could run it twice."""
    assert isinstance(driver.end(driver.arrive(repeatable=True), LOST), Dispatch)
    assert driver.end(driver.arrive(repeatable=False), LOST).verdict == LOST


def test_shed_request_is_retried_at_another_target_even_if_not_idempotent(driver):
    """A target that sheds a request has not run it, so a retry cannot run it twice."""
    following = driver.end(driver.arrive(repeatable=False), SHED)
    assert isinstance(following, Dispatch)


def test_non_idempotent_request_gets_a_fresh_connection(driver):
    """On a reused connection that breaks, it is unknown whether the request ran."""
    assert driver.arrive(repeatable=False).fresh_connection
    assert not driver.arrive(repeatable=True).fresh_connection


def test_a_connection_is_reused_only_where_a_retry_is_possible():
    """A reused connection may turn out to be closed.

    Without retry budget, the request would then fail although a fresh connection would have worked.
    """
    driver = Driver(retry_burst=1.0, retry_share=0.0)
    first = driver.arrive()
    assert not first.fresh_connection
    driver.end(first, LOST)
    assert driver.arrive().fresh_connection


def test_request_is_not_started_after_its_deadline(driver):
    """Neither a new request nor a retry may be sent to a target once the deadline has passed."""
    refused = driver.arrive(deadline=0.0)
    assert refused.verdict.reason is Reason.DEADLINE_PASSED
    action = driver.arrive(deadline=1.0)
    driver.now = 2.0
    assert isinstance(driver.end(action, SHED), Finish)


EARLY_REFUSALS = [{"deadline": 0.0}, {"service": "unknown"}]


@pytest.mark.parametrize("fault", EARLY_REFUSALS)
def test_order_that_ran_never_ends_as_not_run_when_sent_again(driver, fault):
    """Early refusals must check the remembered outcome of an earlier send first."""
    driver.end(driver.arrive(repeatable=False, unique="order"), Answered(200, body=b"done"))
    again = driver.arrive(repeatable=False, unique="order", **fault)
    assert isinstance(again.verdict, Answered)


@pytest.mark.parametrize("fault", EARLY_REFUSALS)
def test_order_older_than_the_retention_does_not_end_as_not_run(driver, fault):
    """Once an id has expired, it is unknown whether an earlier send ran."""
    driver.end(driver.arrive(repeatable=False, unique="order"), Answered(200, body=b"done"))
    driver.now = 5000.0
    driver.arrive(repeatable=False, unique="makes the memory forget")
    again = driver.arrive(repeatable=False, unique="order", **fault)
    assert isinstance(again.verdict, MayHaveRun)


@pytest.mark.parametrize("fault", EARLY_REFUSALS)
def test_order_bound_to_another_vm_ends_as_not_run_only_on_its_first_send(driver, fault):
    """Only the entry VM that an id is bound to has a record of whether an earlier send ran."""
    again = driver.arrive(repeatable=False, vm="other", **fault)
    assert isinstance(again.verdict, MayHaveRun)
    first = driver.arrive(repeatable=False, vm="other", first_send=True, **fault)
    assert isinstance(first.verdict, NotRun)


def test_refusal_by_the_host_reports_an_earlier_send(driver):
    """While an earlier send is running, a refusal must not report the request as not run."""
    refusal = NotRun(Reason.NO_CAPACITY, 0.5)
    action = driver.arrive(repeatable=False, unique="order")
    info = driver.core._requests[action.key].request
    running = driver.core.refuse(info, refusal, driver.now)
    assert running.reason is Reason.STILL_RUNNING
    driver.end(action, SHED)
    new = info._replace(bound_id=RequestId("vm", 1, 0, "new"))
    assert driver.core.refuse(new, refusal, driver.now) == refusal


def test_retries_stay_within_a_tenth_of_the_requests():
    """Unlimited retries would multiply the load while all targets fail."""
    driver = Driver(retry_burst=1.0)
    attempts = 0
    for _ in range(500):
        action = driver.arrive()
        while isinstance(action, Dispatch):
            attempts += 1
            action = driver.end(action, LOST)
        driver.now += 5.0
    assert attempts <= 500 * 1.1 + 1


def test_slots_are_never_exceeded_and_refusals_carry_retry_after(driver):
    """With all slots in use, a request is refused with the time after which to retry."""
    dispatched = [driver.arrive() for _ in range(TARGETS * SLOTS)]
    assert all(isinstance(action, Dispatch) for action in dispatched)
    refused = driver.arrive()
    assert refused.verdict.reason is Reason.NO_CAPACITY
    assert refused.verdict.retry_after_s > 0


def test_a_timed_out_request_holds_its_slot_until_its_deadline(driver):
    """The target may still be running an abandoned request.

    If its slot were released at the timeout, the target could run more requests than it has slots.
    """
    dispatched = [driver.arrive(deadline=5.0, repeatable=False) for _ in range(TARGETS * SLOTS)]
    for action in dispatched:
        driver.end(action, MayHaveRun(Reason.TIMEOUT), may_linger=True)
    assert isinstance(driver.arrive(), Finish)
    driver.now = 5.1
    driver.core.release_expired(driver.now)
    assert isinstance(driver.arrive(), Dispatch)


def test_dead_target_is_ejected_while_others_have_free_slots(driver):
    """A target that refuses connections must not be tried again by each new request."""
    first = driver.arrive()
    driver.end(first, REFUSED)
    chosen = set()
    for _ in range(20):
        action = driver.arrive()
        chosen.add(action.target)
        driver.end(action, Answered(200, target=action.target))
    assert first.target not in chosen


def test_ejected_targets_are_used_when_no_other_is_left(driver):
    """If ejection applied to all targets, every request would be refused until it ended."""
    for _ in range(TARGETS):
        action = driver.arrive()
        while isinstance(action, Dispatch):
            action = driver.end(action, REFUSED)
    assert isinstance(driver.arrive(), Dispatch)


def test_slow_target_gets_fewer_requests(driver):
    """A target with 50 times the latency of the others gets less than half of an even share."""
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
    """A request that crashes its targets would otherwise crash one target after another."""
    first = driver.arrive(fingerprint="poison")
    announced = driver.end(first, LOST, crashed=True)
    assert isinstance(announced, AnnounceCrash)
    (second,) = driver.core.handle(CrashAnnounced(first.key), driver.now)
    driver.end(second, LOST, crashed=True)
    (ended,) = driver.core.handle(CrashAnnounced(first.key), driver.now)
    assert isinstance(ended, Finish)
    assert driver.arrive(fingerprint="poison").verdict.reason is Reason.QUARANTINED
    assert isinstance(driver.arrive(fingerprint="other"), Dispatch)


def test_target_added_by_a_ticket_ramps_up(driver):
    """A new target starts cold, with one slot, and gets its full limit after the ramp time."""
    driver.now = 100.0
    driver.apply_ticket(["t0", "t1", "t2", "new"])
    dispatched = [driver.arrive() for _ in range(TARGETS * SLOTS + 1)]
    assert [action.target for action in dispatched].count("new") == 1
    assert isinstance(driver.arrive(), Finish)
    driver.now = 111.0
    assert driver.arrive().target == "new"


def test_after_a_takeover_nothing_is_sent_before_the_target_reports_its_load():
    """Requests of the former owner may still be running.

    Before the first report their number is unknown, so that requests of the new owner could exceed
    the slots of the target.
    """
    driver = Driver()
    ownership = driver.core.cell_targets._ownership
    ownership.observe_member("other", incarnation=2)
    ownership.confirm_recognition("other", incarnation=2)
    ownership.end_discovery()
    mine = {target.name for target in driver.core.cell_targets.owned(now=0.0)}
    gained = set(driver.core.state.targets) - mine
    assert gained
    ownership.record_death("other", incarnation=2, proof="connection-refused")
    dispatched = [driver.arrive() for _ in range(len(mine) * SLOTS)]
    assert {action.target for action in dispatched} <= mine
    assert isinstance(driver.arrive(), Finish)
    for name in gained:
        driver.core.handle(ProbeEnded(name, ProbeResult.SERVING, 1), driver.now)
    more = [driver.arrive() for _ in gained]
    assert {action.target for action in more} == gained
    assert isinstance(driver.arrive(), Finish)


def test_target_listed_as_leaving_gets_no_requests_although_it_reports_serving(driver):
    """A successful probe must not override the VM list, which shows the target as leaving."""
    driver.core.cell_targets.target_state("t0").record_listed_leaving(driver.now)
    driver.probe_all()
    dispatched = [driver.arrive() for _ in range((TARGETS - 1) * SLOTS)]
    assert "t0" not in {action.target for action in dispatched}


def test_unknown_outcome_is_recorded_as_one_incident(driver):
    """An incident must be stored once.

    Idempotent requests cause none, since their callers can retry, and an incident that could not be
    stored must be queued again.
    """
    driver.end(driver.arrive(repeatable=False, unique="order"), LOST)
    driver.end(driver.arrive(repeatable=True), LOST)
    assert [i.reason for i in driver.core.incidents.recent] == [Reason.CONNECTION_LOST]
    unstored = driver.core.incidents.pop_unstored()
    assert len(unstored) == 1
    assert driver.core.incidents.pop_unstored() == []
    driver.core.incidents.requeue(unstored)
    assert driver.core.incidents.pop_unstored() == unstored
