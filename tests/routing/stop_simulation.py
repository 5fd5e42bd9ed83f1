"""Simulation of a rolling stop: VMs that stop in turn, and callers that move to the others.

All VMs use the real router. Targets have no queues, and each run takes a time that is drawn at
random. A request is therefore simulated only if it may be in progress at a VM when that one stops,
or follows such a request.
"""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from carawaybank.routing.configuration import Configuration, Route, Service, WeightedService
from carawaybank.routing.messages import AttemptResult, Finish, Request
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.router import Router
from carawaybank.routing.stopping import ConnectionState, Step, StopPlan
from carawaybank.routing.target import TargetEntry
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.routing.builders import HOST, UPTIME_S, make_route

COLD_S, WARM_FRACTION, COLD_SHARE = 2.2, 0.3, 0.05
#: Standard deviation of the work's logarithm, and its longest time in multiples of the mean.
WORK_SPREAD, MAX_WORK_FACTOR = 0.15, 3.0
STOP_S, STOP_INTERVAL_S, DOWN_S = 6.0, 1.3, 0.5
#: Seconds after SIGTERM up to which a request that is broken off at the end may be excused.
EXCUSED_UNTIL_S = 3.0
LOOKUP_RANGE_S = (5.0, 15.0)
MAX_AHEAD_S = 1.5
#: About 20 requests a second and VM, as the deployment of issue 54 has.
CALLERS_PER_VM, MEAN_PAUSE_S = 90, 4.0
ONE_WAY_S = 0.003
OBJECT_COUNT = 200
REGIONS = ("a", "b", "c")
TARGET_COUNT = 36
#: Responses of each route before the stop of a VM, so that it has its estimates and bounds.
WARM_UP_RESPONSES = 120
WARM_UP_S = 40.0
FIRST_STOP_AT = WARM_UP_S + 6.0

ROUTES = tuple(
    make_route(
        name,
        prefix=f"/{name}/",
        idempotent=idempotent,
        timeout_s=timeout_s,
        objective_s=1.5,
        services=(WeightedService("desk", 1.0),),
    )
    for name, idempotent, timeout_s in (
        ("catalogue", True, 5.0),
        ("status", True, 2.5),
        ("booking", False, 2.5),
    )
)
LONGEST_S = max(route.timeout_s for route in ROUTES)
BUDGETS_S = {"catalogue": 12.0, "status": 4.0, "booking": 6.0}
CONFIGURATION = Configuration(1, ROUTES, {"desk": Service("desk")})


class ExpectedTimeRouter(Router):
    """A router that passes requests on in a stop by 1.5 times the expected time."""

    def _refuse_by_stop(self, progress, expected_s, now):
        plan = self.stop_plan
        if plan is None or not plan.has_given_up(now + 1.5 * expected_s - 1e-9):
            return None
        plan.refused_count += not progress.may_have_run
        return self.finish(progress, NotRun(Reason.STOPPING, 0.0, "the entry VM stops"))


class SimulatedVm:
    """An entry VM that may stop and start again; ``boot`` counts its starts."""

    def __init__(self, *, number, router_class, entries):
        self.number, self.boot, self.is_down = number, 0, False
        self.region = REGIONS[number % len(REGIONS)]
        self.router_class, self.entries = router_class, entries
        self.router = self._make_router(0.0)
        self.stopped_at = None
        self.attempts = {}

    def _make_router(self, started_at):
        name = f"vm-{self.number}"
        router = self.router_class(
            options=RouterOptions(failure_domain=self.region, region=self.region, vm=name),
            rng=random.Random(f"{name}/{self.boot}"),
            started_at=started_at if self.boot else started_at - UPTIME_S,
        )
        router.vms = (name,)
        router.apply_configuration(CONFIGURATION)
        for entry in self.entries:
            router.targets.update(entry, now=started_at)
        return router

    @property
    def is_listed(self):
        return not self.is_down and self.stopped_at is None

    def accepts(self, now):
        plan = self.router.stop_plan
        return not self.is_down and (plan is None or plan.is_listening(now))

    def keeps(self, boot, now, *, is_new):
        """Returns whether a connection without a request is still open."""
        plan = self.router.stop_plan
        if self.is_down or boot != self.boot:
            return False
        state = ConnectionState(is_answering=False, is_receiving=False, is_new=is_new)
        return plan is None or plan.decide(state, now) is Step.KEEP

    def stop(self, now):
        self.stopped_at = now
        self.router.stop_plan = StopPlan(started_at=now, stop_within_s=STOP_S)

    def start(self, now):
        self.boot += 1
        self.is_down, self.stopped_at = False, None
        self.router = self._make_router(now)


def _stop_at(vm):
    return FIRST_STOP_AT + vm.number * STOP_INTERVAL_S


class Caller:
    """A caller that keeps its connection, opens one for each request, or does so ahead of it."""

    def __init__(self, *, habit, rng, listed):
        self.habit = habit
        self.vm, self.boot, self.is_new = None, 0, True
        self.lookup_for_s = rng.uniform(*LOOKUP_RANGE_S)
        self.listed, self.looked_up_at = listed, WARM_UP_S - rng.uniform(0, self.lookup_for_s)
        self.failed = set()


class Origin(NamedTuple):
    """A caller's request; ``is_hit`` says whether a stop has refused it or broken it off.

    The requests that a VM serves before its stop to know its times have no caller.
    """

    caller: Caller | None
    route: Route
    first_sent_at: float = 0.0
    is_retry: bool = False
    is_hit: bool = False


class StopSimulation:
    """Runs a rolling stop of the first VMs and counts what happens to the requests they get.

    ``counts`` holds ``sent`` (attempts of callers in a stop, up to its end), ``late``, ``early``
    and ``unrepeatable`` (broken off by a stop: sent later than 3 s after SIGTERM, earlier, of them
    those that must not run twice), ``refused`` (by a stop), ``extra`` (further attempts of callers
    for these) and ``failed`` (of these requests, those without a success in the end).
    """

    def __init__(self, *, vm_count, stopped_count=None, seed=1, router_class=Router, warm_up=True):
        self.rng = random.Random(seed)
        entries = [
            TargetEntry(f"t{n}", "desk", f"10.0.0.{n}:80", region, region, 6)
            for n, region in zip(range(TARGET_COUNT), itertools.cycle(REGIONS), strict=False)
        ]
        self.vms = [
            SimulatedVm(number=number, router_class=router_class, entries=entries)
            for number in range(vm_count)
        ]
        self.stopped_count = min(vm_count, stopped_count or vm_count)
        self.counts = Counter()
        self.events, self.sequence = [], itertools.count()
        self._update_listed()
        self.end_at = FIRST_STOP_AT + self.stopped_count * STOP_INTERVAL_S + STOP_S
        for vm in self.vms[: self.stopped_count if warm_up else 0]:
            self._warm_up(vm)

    def run(self):
        """Runs the stops and returns the counts."""
        for vm in self.vms[: self.stopped_count]:
            self._schedule(_stop_at(vm), self._stop, vm)
        for number in range(CALLERS_PER_VM * len(self.vms)):
            habit = ("pool", "fresh", "ahead")[number % 3]
            caller = Caller(habit=habit, rng=self.rng, listed=self.listed)
            self._schedule(WARM_UP_S + self.rng.uniform(0, MEAN_PAUSE_S), self._begin, caller)
        while self.events:
            now, _, handler, args = heapq.heappop(self.events)
            handler(now, *args)
        return self.counts

    def _schedule(self, at, handler, *args):
        heapq.heappush(self.events, (at, next(self.sequence), handler, args))

    def _draw_work_s(self):
        mean_s = COLD_S * (1.0 if self.rng.random() < COLD_SHARE else WARM_FRACTION)
        return mean_s * min(MAX_WORK_FACTOR, self.rng.lognormvariate(0.0, WORK_SPREAD))

    def _warm_up(self, vm):
        """Has a VM serve requests before its stop, which its response times then cover."""
        started_at = _stop_at(vm) - FIRST_STOP_AT
        count = WARM_UP_RESPONSES * len(ROUTES)
        for number, route in zip(range(count), itertools.cycle(ROUTES), strict=False):
            arrives_at = started_at + number * WARM_UP_S / count
            self._schedule(arrives_at, self._arrive, vm, Origin(None, route))

    def _update_listed(self):
        self.listed = [vm for vm in self.vms if vm.is_listed]

    def _stop(self, now, vm):
        vm.stop(now)
        self._update_listed()
        plan = vm.router.stop_plan
        ticks = (now + n / 100 for n in itertools.count())
        self._schedule(next(t for t in ticks if plan.has_given_up(t)), self._give_up, vm)
        self._schedule(now + STOP_S, self._end, vm)
        self._schedule(now + STOP_S + DOWN_S, self._start, vm)

    def _give_up(self, now, vm):
        for key in list(vm.attempts):
            self._end_attempt(now, vm, vm.boot, key, MayHaveRun(Reason.STOPPING))

    def _end(self, now, vm):
        assert not vm.attempts
        vm.is_down = True

    def _start(self, now, vm):
        vm.start(now)
        self._update_listed()

    def _begin(self, now, caller):
        """Starts a caller's next request, or opens the connection for it ahead."""
        if now >= self.end_at:
            return
        self._look_up(now, caller)
        if caller.habit != "pool" or not self._keeps_connection(now, caller):
            self._connect(now, caller)
        ahead_s = self.rng.uniform(0, MAX_AHEAD_S) if caller.habit == "ahead" else 0.0
        origin = Origin(caller, self.rng.choice(ROUTES), now + ahead_s)
        self._schedule(now + ahead_s, self._send, origin)

    def _keeps_connection(self, now, caller):
        """Returns whether a caller's connection is open, to a VM that its look-up has."""
        vm = caller.vm
        if vm is None or not vm.keeps(caller.boot, now, is_new=caller.is_new):
            return False
        stopped_at = vm.stopped_at
        return stopped_at is None or caller.looked_up_at < stopped_at

    def _look_up(self, now, caller):
        if now - caller.looked_up_at >= caller.lookup_for_s:
            caller.listed, caller.looked_up_at = self.listed, now
            caller.failed.clear()

    def _connect(self, now, caller):
        """Opens a connection to a VM of the look-up that has not failed this caller."""
        self._look_up(now, caller)
        vm = self.rng.choice(caller.listed)
        while vm in caller.failed or not vm.accepts(now):
            caller.failed.add(vm)
            if len(caller.failed) >= len(caller.listed):
                caller.listed, caller.looked_up_at = self.listed, now
                caller.failed.clear()
            vm = self.rng.choice(caller.listed)
        caller.vm, caller.boot, caller.is_new = vm, vm.boot, True

    def _is_simulated(self, now, vm):
        return vm.number < self.stopped_count and -LONGEST_S < now - _stop_at(vm) < STOP_S

    def _send(self, now, origin):
        caller = origin.caller
        if not caller.vm.keeps(caller.boot, now, is_new=caller.is_new):
            self._connect(now, caller)
        vm, caller.is_new = caller.vm, False
        if not (self._is_simulated(now, vm) or origin.is_retry):
            self._pause(now, caller)
            return
        self.counts["sent"] += vm.stopped_at is not None
        self.counts["extra"] += origin.is_hit
        self._arrive(now, vm, origin)

    def _arrive(self, now, vm, origin):
        name, prefix = origin.route.name, origin.route.prefix
        key, object_key = next(self.sequence), f"o{self.rng.randrange(OBJECT_COUNT)}"
        budget_s = BUDGETS_S[name] - (now - origin.first_sent_at if origin.is_retry else 0.0)
        path = f"{prefix}{key}"
        request = Request(key, str(key), HOST, path, object_key, path, budget_s)
        vm.attempts[key] = (origin, now)
        self._perform(now, vm, key, vm.router.arrive(request, now))

    def _perform(self, now, vm, key, action):
        if isinstance(action, Finish):
            origin, sent_at = vm.attempts.pop(key)
            self._answer(now, vm, action, origin, sent_at)
            return
        work_s = self._draw_work_s() + 2 * ONE_WAY_S
        is_late = now + work_s > action.deadline
        verdict = MayHaveRun(Reason.TIMEOUT) if is_late else Answered(200)
        ends_at = min(now + work_s, action.deadline)
        self._schedule(ends_at, self._end_attempt, vm, vm.boot, key, verdict)

    def _end_attempt(self, now, vm, boot, key, verdict):
        if boot != vm.boot or key not in vm.attempts:
            return  # The stop of the VM has ended the attempt.
        result = AttemptResult(verdict, now - vm.attempts[key][1])
        self._perform(now, vm, key, vm.router.end_attempt(key, result, now))

    def _answer(self, now, vm, finish, origin, sent_at):
        caller, verdict = origin.caller, finish.verdict
        if caller is None:
            return
        if vm.stopped_at is not None:
            caller.vm = None  # The response closes the connection.
        if isinstance(verdict, Answered):
            self._pause(now, caller)
            return
        is_hit = origin.is_hit or self._count_failure(vm, verdict, origin.route, sent_at)
        caller.failed.add(vm)
        is_repeatable = origin.route.idempotent or isinstance(verdict, NotRun)
        retry_at = now + 2 * ONE_WAY_S + verdict.retry_after_s * isinstance(verdict, NotRun)
        has_time = retry_at - origin.first_sent_at < BUDGETS_S[origin.route.name]
        if not is_repeatable or origin.is_retry or not has_time:
            self.counts["failed"] += is_hit
            self._pause(now, caller)
            return
        self._connect(now, caller)
        self._schedule(retry_at, self._send, origin._replace(is_retry=True, is_hit=is_hit))

    def _count_failure(self, vm, verdict, route, sent_at):
        """Counts an own answer, and returns whether the stop was its reason."""
        if verdict.reason is not Reason.STOPPING:
            self.counts[str(verdict.reason)] += 1
            return False
        if isinstance(verdict, NotRun):
            self.counts["refused"] += 1
        else:
            is_late = sent_at - vm.stopped_at > EXCUSED_UNTIL_S
            self.counts["late" if is_late else "early"] += 1
            self.counts["unrepeatable"] += not route.idempotent
        return True

    def _pause(self, now, caller):
        pause_s = self.rng.expovariate(1 / MEAN_PAUSE_S)
        self._schedule(now + pause_s, self._begin, caller)
