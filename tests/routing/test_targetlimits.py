"""Limits that targets name: the sum over all VMs, news of different age, and values at the edge."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaybank.routing import targetlimits
from carawaybank.routing.limitshares import NEWS_TIMEOUT_S, VmLocality
from carawaybank.routing.messages import AttemptResult, Finish, Send
from carawaybank.routing.targetlimits import LimitReport, LimitStatement, TargetLimits
from carawaybank.verdicts import Answered, NotRun, Reason
from tests.routing.builders import (
    BOOK,
    make_configuration,
    make_request,
    make_route,
    make_router,
    make_target,
)

#: The users' rule: requests allowed in a window, as a multiple of the limit, and in addition.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
#: Seconds after its first response with the limit from which a VM is bound by it.
LEARNING_S = 0.5
TARGET = make_target(1)
#: Maximum seconds for a report, and fraction of the reports that are lost.
REPORT_S = 0.3
REPORT_LOSS = 0.2
REPEAT_S = 3.0
#: Seconds for which all callers pause, and then send again at the same moment.
PAUSE_S = 5.0


def localities(count):
    return {
        f"vm-{n}": VmLocality("abc"[n % 3] + str(n // 3 % 3), "abc"[n % 3]) for n in range(count)
    }


def busiest_window(times):
    times, most, first = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class World:
    """VMs with more requests for one target than its limit, which report to each other."""

    def __init__(self, *, count, rate, seed, demand=None, loss=REPORT_LOSS, has_pauses=False):
        self.rng, self.loss, self.has_pauses = random.Random(seed), loss, has_pauses
        self.rate, self.vms = rate, localities(count)
        self.demand = demand or max(0.5, 40.0 / count)
        self.limits = {vm: self.make_limits(vm) for vm in self.vms}
        self.told_at, self.arrivals, self.untold = {}, [], 0
        self.events, self.sequence = [], itertools.count()
        for vm in self.vms:
            self.schedule(self.rng.expovariate(self.demand), self.request, vm)
            self.schedule(self.rng.uniform(0.0, REPEAT_S), self.repeat, vm)

    def make_limits(self, vm):
        limits = TargetLimits(vm=vm, locality=self.vms[vm])
        limits.update_vms(self.vms)
        return limits

    def schedule(self, at, handler, *args):
        heapq.heappush(self.events, (at, next(self.sequence), handler, args))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            now, _, handler, args = heapq.heappop(self.events)
            handler(now, *args)

    def request(self, now, vm):
        self.schedule(now + self.rng.expovariate(self.demand), self.request, vm)
        if self.has_pauses and now % (2 * PAUSE_S) >= PAUSE_S:
            return
        if self.limits[vm].try_send(TARGET, now=now):
            self.schedule(now + self.rng.uniform(0.002, 0.04), self.arrive, vm, now)

    def arrive(self, now, vm, sent_at):
        if now >= self.told_at.get(vm, float("inf")) + LEARNING_S:
            self.arrivals.append(now)
        else:
            self.untold += 1
        self.schedule(now + self.rng.uniform(0.05, 0.3), self.respond, vm, sent_at, self.rate)

    def respond(self, now, vm, sent_at, rate):
        if rate is not None:
            self.told_at.setdefault(vm, now)
        statement = LimitStatement(rate)
        self.limits[vm].record_statement(TARGET, statement, sent_at=sent_at, now=now)
        self.report(now, vm)

    def repeat(self, now, vm):
        self.schedule(now + REPEAT_S, self.repeat, vm)
        self.report(now, vm, repeated=True)

    def report(self, now, vm, repeated=False):
        events = self.limits[vm].pop_events()
        if not events and not repeated:
            return
        for report in self.limits[vm].reports(now=now):
            for other in self.vms:
                if other != vm and self.rng.random() >= self.loss:
                    at = now + self.rng.uniform(0.005, REPORT_S)
                    self.schedule(at, self.receive, other, report, vm)

    def receive(self, now, vm, report, source):
        self.limits[vm].apply_report(report, source=source, now=now)
        self.limits[vm].pop_events()

    def assert_kept(self, rate):
        assert busiest_window(self.arrivals) <= ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA


@settings(max_examples=25)
@given(
    count=st.sampled_from([1, 3, 11]),
    rate=st.sampled_from([0.0, 0.3, 1.6, 3.5, 20.0]),
    seed=st.integers(0, 10_000),
)
def test_all_vms_together_keep_the_limit_of_a_target(count, rate, seed):
    """Guards against a target that gets more requests than the limit that it names."""
    world = World(count=count, rate=rate, seed=seed)
    world.run(20.0)
    assert world.told_at
    world.assert_kept(rate)


@pytest.mark.parametrize("rate", [1.6, 40.0])
def test_a_limit_is_kept_with_more_vms_than_requests(rate):
    world = World(count=195, rate=rate, seed=7)
    world.run(15.0)
    world.assert_kept(rate)


@pytest.mark.parametrize("count", [1, 3, 11])
@pytest.mark.parametrize("rate", [1.6, 20.0])
def test_most_of_a_limit_is_used_if_all_vms_have_requests(count, rate):
    """Guards against VMs that hold requests back although the target takes them."""
    world = World(count=count, rate=rate, seed=3, demand=60.0)
    world.run(40.0)
    assert sum(10.0 <= at < 40.0 for at in world.arrivals) >= 0.8 * rate * 30.0


@pytest.mark.parametrize("seed", range(5))
def test_vms_that_restart_and_join_keep_the_limit(seed):
    world = World(count=11, rate=3.5, seed=seed)
    for number, vm in enumerate(list(world.vms) * 2):

        def restart(now, vm=vm):
            world.limits[vm] = world.make_limits(vm)
            world.told_at.pop(vm, None)

        world.schedule(2.0 + number, restart)

    def join(now):
        world.vms = localities(14)
        for vm in world.vms:
            if vm not in world.limits:
                world.limits[vm] = world.make_limits(vm)
                world.schedule(now, world.request, vm)
            world.limits[vm].update_vms(world.vms)

    world.schedule(12.0, join)
    world.run(26.0)
    world.assert_kept(3.5)


@pytest.mark.parametrize("rate", [0.3, 1.6, 3.5, 20.0])
@pytest.mark.parametrize("count", [1, 3, 11])
def test_callers_that_pause_and_return_together_do_not_exceed_the_limit(count, rate):
    """Guards against buckets that fill up in a pause and are emptied in one burst."""
    world = World(count=count, rate=rate, seed=1, demand=60.0, has_pauses=True)
    world.run(31.0)
    world.assert_kept(rate)


def test_vms_without_any_reports_keep_the_limit():
    """VMs whose siblings are cut off share by rank, and take over one after the other."""
    world = World(count=40, rate=1.6, seed=5, loss=1.0)
    world.run(3 * NEWS_TIMEOUT_S)
    world.assert_kept(1.6)


@pytest.mark.parametrize(("before", "after"), [(20.0, 2.0), (2.0, 20.0), (2.0, None)])
def test_a_limit_that_falls_rises_or_ends_is_followed_within_seconds(before, after):
    """Guards against VMs that keep an old limit, among them those that sent the target nothing."""
    world = World(count=11, rate=before, seed=2)
    world.run(10.0)
    world.rate = after
    world.run(13.0)
    assert {limits.rate_of(TARGET) for limits in world.limits.values()} == {after}
    if after is None:
        assert all(limits.wait_s(TARGET, now=13.0) == 0 for limits in world.limits.values())


def make_limits(count=1):
    limits = TargetLimits(vm="vm-0", locality=localities(1)["vm-0"])
    limits.update_vms(localities(count))
    return limits


def state(limits, rate, *, sent_at, now, entry=TARGET):
    limits.record_statement(entry, LimitStatement(rate), sent_at=sent_at, now=now)


def test_a_response_to_an_earlier_request_does_not_raise_or_end_a_limit():
    """Guards against responses that overtake each other and end a limit that has just begun."""
    limits = make_limits()
    state(limits, 2.0, sent_at=0.5, now=1.0)
    state(limits, None, sent_at=0.9, now=1.1)
    state(limits, 9.0, sent_at=0.9, now=1.2)
    assert limits.rate_of(TARGET) == 2.0
    state(limits, 1.0, sent_at=0.2, now=1.3)
    assert limits.rate_of(TARGET) == 1.0
    state(limits, None, sent_at=1.3, now=1.5)
    assert limits.rate_of(TARGET) is None


def test_a_limit_that_is_named_in_some_responses_only_gives_no_new_burst():
    """Guards against a bucket that is full again each time the limit is named anew."""
    limits, sent = make_limits(), []
    for step in range(400):
        now = 1.0 + step / 100
        state(limits, 2.0 if step % 2 else None, sent_at=now, now=now)
        if limits.rate_of(TARGET) is not None and limits.try_send(TARGET, now=now):
            sent.append(now)
    assert len(sent) <= ALLOWED_FACTOR * 2.0 * WINDOW_S + ALLOWED_EXTRA


def test_the_limit_of_an_earlier_incarnation_does_not_bind_the_next_one():
    limits = make_limits()
    state(limits, 1.0, sent_at=0.0, now=1.0)
    later = TARGET._replace(incarnation=2)
    assert limits.rate_of(later) is None
    assert limits.wait_s(later, now=1.0) == 0
    state(limits, 3.0, sent_at=1.0, now=2.0, entry=later)
    state(limits, 1.0, sent_at=2.0, now=3.0, entry=TARGET)
    limits.apply_report(LimitReport("t1", 0, 1.0, 0.0), source="vm-1", now=4.0)
    assert limits.rate_of(later) == 3.0


@pytest.mark.parametrize(
    "report",
    [
        LimitReport("t1", 0, -1.0, 0.0),
        LimitReport("t1", 0, float("inf"), 0.0),
        LimitReport("t1", 0, float("nan"), 0.0),
        LimitReport("t1", 0, 1.0, -5.0),
        LimitReport("t1", 0, 1.0, float("nan")),
        LimitReport("t1", 0, 1.0, targetlimits.MAX_REPORT_AGE_S + 1),
    ],
)
def test_reports_without_a_usable_limit_or_age_are_ignored(report):
    limits = make_limits()
    limits.apply_report(report, source="vm-1", now=100.0)
    assert limits.rate_of(TARGET) is None
    assert not limits.pop_events()


def test_an_old_report_does_not_bring_back_a_limit_that_ended():
    limits = make_limits()
    state(limits, 2.0, sent_at=0.0, now=1.0)
    state(limits, None, sent_at=2.0, now=3.0)
    limits.apply_report(LimitReport("t1", 0, 2.0, 1.0), source="vm-1", now=3.1)
    assert limits.rate_of(TARGET) is None
    assert [event.name for event in limits.pop_events()] == ["learned", "ended"]


def test_a_value_that_changes_a_little_each_time_is_reported_once():
    limits = make_limits()
    for step in range(50):
        state(limits, 10.0 + step % 7 / 10, sent_at=step, now=step + 0.5)
    assert [event.name for event in limits.pop_events()] == ["learned"]


def test_known_limits_are_bounded_in_number(monkeypatch):
    monkeypatch.setattr(targetlimits, "MAX_LIMITS", 10)
    limits = make_limits()
    for number in range(30):
        state(limits, 1.0, sent_at=0.0, now=1.0, entry=make_target(number))
    assert len(limits.reports(now=1.0)) == 10


def limit(router, number, rate, *, now=0.0):
    target = router.targets.find(f"t{number}")
    state(router.limits, rate, sent_at=now, now=now, entry=target.entry)


def send(router, key, now, **request):
    action = router.arrive(make_request(key, **request), now)
    if isinstance(action, Send):
        result = AttemptResult(Answered(200), 0.01, limit=None)
        router.end_attempt(key, result, now)
    return action


def test_requests_beyond_the_limit_go_to_other_targets():
    """Also those whose object has its home at the limited target."""
    router = make_router(make_target(1), make_target(2))
    limit(router, 1, 2.0)
    sent = [send(router, key, key / 100, object_key=f"o{key}") for key in range(400)]
    assert all(isinstance(action, Send) for action in sent)
    assert 4 <= sum(action.target_id == "t1" for action in sent) <= 17


def test_requests_that_no_target_takes_are_refused_at_once_with_the_reason():
    """Guards against requests that wait for a limited target until their deadline."""
    router = make_router(make_target(1), make_target(2))
    for number in (1, 2):
        limit(router, number, 1.0)
    actions = [send(router, key, key / 50, object_key=f"o{key}") for key in range(500)]
    refused = [action for action in actions if isinstance(action, Finish)]
    assert len(actions) - len(refused) >= 15
    for finish in refused:
        assert finish.status == 503
        assert isinstance(finish.verdict, NotRun)
        assert finish.verdict.reason is Reason.NO_CAPACITY
        assert 0.1 <= finish.verdict.retry_after_s <= 5.0
        assert "named a limit of 1.0 a second" in finish.verdict.detail
        assert finish.limited_by


def test_ranks_are_served_in_equal_shares_if_all_targets_are_limited():
    """Guards against an urgent kind of request that is served less often than another one."""
    rng = random.Random(4)
    look, book = make_route(sticky=False), BOOK._replace(sticky=False)
    targets = [make_target(number) for number in range(1, 5)]
    router = make_router(*targets, configuration=make_configuration(look, book))
    for number in range(1, 5):
        limit(router, number, 5.0)
    served, total = {"/look/1": 0, "/book/1": 0}, {"/look/1": 0, "/book/1": 0}
    for key in range(8_000):
        path = "/look/1" if rng.random() < 0.67 else "/book/1"
        total[path] += 1
        served[path] += isinstance(send(router, key, key / 100, path=path), Send)
    shares = [served[path] / total[path] for path in ("/book/1", "/look/1")]
    assert shares[0] >= shares[1] - 0.05
    assert sum(served.values()) >= 0.8 * 20.0 * 80.0


def test_the_smaller_bound_holds_for_a_target_that_is_cold_and_limited():
    for cold_rate, rate in ((10.0, 0.5), (0.1, 50.0)):
        router = make_router(
            make_target(1, cold_left_s=60.0),
            configuration=make_configuration(cold_rate=cold_rate),
            cold_factor=1.0,
            cold_slack=0.0,
        )
        limit(router, 1, rate)
        sent = [at / 20 for at in range(400) if isinstance(send(router, at, at / 20), Send)]
        assert (
            1
            <= busiest_window(sent)
            <= max(1, min(cold_rate * WINDOW_S, ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA))
        )


def test_retries_count_like_any_other_request():
    router = make_router(make_target(1), make_target(2), retry_slack=1000.0)
    limit(router, 1, 0.5)
    arrivals = []
    for key in range(200):
        now = key / 50
        action = router.arrive(make_request(key, object_key=f"o{key}"), now)
        while isinstance(action, Send):
            arrivals += [now] if action.target_id == "t1" else []
            action = router.end_attempt(key, AttemptResult(NotRun(Reason.TARGET_SHED), 0.001), now)
    assert busiest_window(arrivals) <= ALLOWED_FACTOR * 0.5 * WINDOW_S + ALLOWED_EXTRA


def test_a_limited_target_that_asked_for_a_pause_or_leaves_gets_nothing():
    """Guards against a limit that hides other reasons for which a target gets no requests."""
    router = make_router(make_target(1), make_target(2))
    limit(router, 1, 5.0)
    target = router.targets.find("t1")
    target.pause(10.0, now=0.0)
    sent = [send(router, key, key / 20, object_key=f"o{key}") for key in range(200)]
    assert {action.target_id for action in sent} == {"t2"}
    returned = [send(router, key, 10.0 + key / 20, object_key=f"o{key}") for key in range(200)]
    times = [key / 20 for key, action in enumerate(returned) if action.target_id == "t1"]
    assert 1 <= busiest_window(times) <= ALLOWED_FACTOR * 5.0 * WINDOW_S + ALLOWED_EXTRA
    router.targets.record_departure(target)
    left = [send(router, key, 30.0 + key / 20, object_key=f"o{key}") for key in range(200)]
    assert {action.target_id for action in left} == {"t2"}


def test_requests_that_only_a_limited_region_may_serve_are_refused_beyond_the_limit():
    """Guards against requests with one home that leave it, or wait, because of a limit."""
    home = make_route(allowed_regions=frozenset({"a"}))
    router = make_router(
        make_target(1),
        make_target(2, domain="b1", region="b"),
        configuration=make_configuration(home),
    )
    limit(router, 1, 1.0)
    actions = [send(router, key, key / 20, object_key=f"o{key}") for key in range(400)]
    sent = [action for action in actions if isinstance(action, Send)]
    assert {action.target_id for action in sent} == {"t1"}
    assert len(sent) >= 15
    assert all(a.verdict.reason is Reason.NO_CAPACITY for a in actions if isinstance(a, Finish))
