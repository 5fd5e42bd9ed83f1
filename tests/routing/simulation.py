"""Simulation of loads: several routers and model targets on a simulated clock.

Targets have slots and a bounded queue, and keep a limited number of objects warm; work on a cold
object takes several times as long. Callers retry once after a refusal.
"""

import heapq
import itertools
import math
import random
from collections import Counter, OrderedDict, deque
from typing import NamedTuple

from carawaybank.routing.configuration import Configuration, Service, WeightedService
from carawaybank.routing.messages import AttemptResult, Request, Send
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.router import Router
from carawaybank.routing.target import LoadReport, TargetEntry
from carawaybank.verdicts import Answered, NotRun, Reason
from tests.routing.builders import HOST, UPTIME_S, make_route

COLD_S = 0.36
WARM_FRACTION = 0.3
OBJECT_COUNT = 49
QUEUE_LENGTH = 12
REGION_RTT_S = 0.07
CALLER_BUDGET_S = 2.0

LOOK = make_route("look", prefix="/look/", timeout_s=0.8, objective_s=0.3, priority_rank=2)
BOOK = make_route(
    "book", prefix="/book/", timeout_s=1.0, objective_s=0.4, priority_rank=1, idempotent=False
)
ROUTES = (LOOK, BOOK)


class Site(NamedTuple):
    """The numbers of targets and of VMs by region, and of the objects that a target keeps warm."""

    targets: dict[str, int]
    vms: dict[str, int]
    max_objects: int = 43


#: ``SITE`` without half of the targets of region a and some of region c, and with more VMs.
SHORT_SITE = Site({"a": 5, "b": 2, "c": 6}, {"a": 6, "b": 5, "c": 6})
SITE = Site({"a": 10, "b": 2, "c": 8}, {"a": 4, "b": 3, "c": 4})


class ModelTarget:
    """A target with slots, a queue and a limited set of warm objects."""

    def __init__(self, *, max_objects, cold_s, slots=4, slowness=1.0, machine=None):
        self.machine, self.is_machine_reported = machine, True
        self.cold_s = cold_s
        self.slots, self.max_objects, self.slowness = slots, max_objects, slowness
        self.running = 0
        self.waiting = deque()
        self.objects = OrderedDict()
        self.cold_runs = 0

    def work_s(self, key):
        warm = key in self.objects
        self.cold_runs += not warm
        self.objects[key] = None
        self.objects.move_to_end(key)
        if len(self.objects) > self.max_objects:
            self.objects.popitem(last=False)
        return self.cold_s * (WARM_FRACTION if warm else 1.0) * self.slowness


class ModelMachine:
    """A machine whose slowness varies around the usual one, as a mean-reverting random walk.

    The natural logarithm of the slowness has the given standard deviation, and deviations last
    about ``lasting_s`` seconds.
    """

    STEP_S = 0.01

    def __init__(self, *, seed, deviation, lasting_s):
        self.rng = random.Random(seed)
        self.kept = math.exp(-self.STEP_S / lasting_s)
        self.noise = deviation * math.sqrt(1 - self.kept**2)
        self.logarithms = [self.rng.gauss(0.0, deviation)]

    def slowness(self, now):
        index = int(now / self.STEP_S)
        while len(self.logarithms) <= index:
            newest = self.logarithms[-1]
            self.logarithms.append(newest * self.kept + self.rng.gauss(0.0, self.noise))
        return math.exp(self.logarithms[index])

    def end_of_work(self, now, work_s):
        while (step_s := self.STEP_S / self.slowness(now)) < work_s:
            work_s -= step_s
            now += self.STEP_S
        return now + work_s * self.slowness(now)


class Waves(NamedTuple):
    """Demand whose regions move around their means, each with its own offset in periods."""

    offsets: dict[str, float]
    amplitude: float = 0.55
    period_s: float = 36.0

    def factor(self, region, now):
        angle = 2 * math.pi * (now / self.period_s + self.offsets[region])
        return 1.0 + self.amplitude * math.sin(angle)


class Outcome(NamedTuple):
    """The outcome of a caller's request over all its attempts.

    ``ran_in`` is the region that answered it, empty if none did.
    """

    arrived_at: float
    region: str
    route: str
    latency_s: float | None
    objective_s: float
    ran_in: str = ""


class LoadSimulation:
    """Runs a load against routers and model targets.

    All times of the service, its routes and its callers are multiplied by ``stretch``.
    """

    def __init__(self, *, site=SITE, seed=1, stretch=1.0, objects=OBJECT_COUNT, **options):
        self.budget_s = CALLER_BUDGET_S * stretch
        self.object_count = objects
        self.routes = tuple(
            route._replace(
                services=(WeightedService("ledger", 1.0),),
                timeout_s=route.timeout_s * stretch,
                objective_s=route.objective_s * stretch,
            )
            for route in ROUTES
        )
        self.rng = random.Random(seed)
        self.events, self.sequence = [], itertools.count()
        self.targets, self.entries = {}, {}
        for region, count in site.targets.items():
            for number in range(count):
                name = f"{region}{number}"
                self.targets[name] = ModelTarget(
                    max_objects=site.max_objects, cold_s=COLD_S * stretch
                )
                self.entries[name] = TargetEntry(name, "ledger", name, region, region, 4)
        services = {"ledger": Service("ledger")}
        configuration = Configuration(1, self.routes, services)
        self.vms = {}
        for region, count in site.vms.items():
            self.vms[region] = [
                self._make_router(f"{region}-{i}", region, configuration, options)
                for i in range(count)
            ]
        self.outcomes = []

    def _make_router(self, name, region, configuration, options, now=0.0):
        settings = RouterOptions(failure_domain=region, region=region, vm=name, **options)
        started_at = now - UPTIME_S if now == 0.0 else now
        router = Router(options=settings, rng=random.Random(name), started_at=started_at)
        router.vms = (name,)
        router.apply_configuration(configuration)
        for entry in self.entries.values():
            router.targets.update(entry, now=now)
        return router

    def restart_all(self, at):
        """Replaces all VMs with new ones without any state; the targets keep running."""
        self._schedule(at, self._restart)

    def _restart(self, now):
        for region, routers in self.vms.items():
            self.vms[region] = [
                self._make_router(old.options.vm, region, old.configuration, {}, now)
                for old in routers
            ]

    def run(self, rates, *, seconds, waves=None):
        """Runs Poisson arrivals at a mean rate per region; returns all outcomes."""
        peak = 1.0 + waves.amplitude if waves else 1.0
        for region, rate in rates.items():
            now = 0.0
            while now < seconds:
                now += self.rng.expovariate(rate * peak)
                if waves and self.rng.random() * peak >= waves.factor(region, now):
                    continue
                self._schedule(now, self._arrive, region, self._random_request(region), now, 0)
        while self.events:
            now, _, handler, args = heapq.heappop(self.events)
            handler(now, *args)
        return self.outcomes

    def _schedule(self, at, handler, *args):
        heapq.heappush(self.events, (at, next(self.sequence), handler, args))

    def _random_request(self, region):
        route = self.routes[self.rng.random() >= 0.67]
        object_count = self.object_count if route.name == LOOK.name else self.object_count // 2
        return route, f"{region}{self.rng.randrange(object_count)}"

    def _arrive(self, now, region, operation, first_sent_at, retries):
        route, object_key = operation
        router = self.rng.choice(self.vms[region])
        key = next(self.sequence)
        remaining_s = self.budget_s - (now - first_sent_at)
        path = f"{route.prefix}{first_sent_at}"
        request = Request(key, str(key), HOST, path, object_key, path, remaining_s)
        self._perform(
            now, router, router.arrive(request, now), (region, operation, first_sent_at, retries)
        )

    def _perform(self, now, router, action, origin):
        if isinstance(action, Send):
            entry = self.entries[action.target_id]
            one_way_s = REGION_RTT_S / 2 if entry.region != origin[0] else 0.002
            self._schedule(now + one_way_s, self._deliver, router, action, origin, one_way_s, now)
            return
        region, operation, first_sent_at, retries = origin
        if isinstance(action.verdict, NotRun) and retries == 0:
            delay_s = min(action.verdict.retry_after_s, (self.budget_s - (now - first_sent_at)) / 3)
            self._schedule(now + delay_s, self._arrive, region, operation, first_sent_at, 1)
            return
        was_answered = isinstance(action.verdict, Answered)
        latency_s = now - first_sent_at if was_answered else None
        route = operation[0]
        self.outcomes.append(
            Outcome(
                first_sent_at,
                region,
                route.name,
                latency_s,
                route.objective_s,
                self._ran_in(action),
            )
        )

    def _ran_in(self, action):
        was_answered = isinstance(action.verdict, Answered)
        return self.entries[action.target_id].region if was_answered else ""

    def _deliver(self, now, router, action, origin, one_way_s, sent_at):
        target = self.targets[action.target_id]
        job = (router, action, origin, one_way_s, sent_at)
        if target.running < target.slots:
            self._start_run(now, target, job)
        elif len(target.waiting) < QUEUE_LENGTH:
            target.waiting.append(job)
        else:
            self._schedule(
                now + one_way_s, self._end_attempt, target, job, NotRun(Reason.TARGET_SHED)
            )

    def _start_run(self, now, target, job):
        target.running += 1
        _, (route, object_key), *_ = job[2]
        work_s = target.work_s((route.name, object_key)) * self.rng.uniform(0.85, 1.15)
        ends_at = target.machine.end_of_work(now, work_s) if target.machine else now + work_s
        self._schedule(ends_at, self._finish_run, target, job)

    def _finish_run(self, now, target, job):
        target.running -= 1
        if target.waiting:
            self._start_run(now, target, target.waiting.popleft())
        self._schedule(now + job[3], self._end_attempt, target, job, Answered(200))

    def _end_attempt(self, now, target, job, verdict):
        router, action, origin, _, sent_at = job
        is_reported = target.machine is not None and target.is_machine_reported
        slowness = target.machine.slowness(now) if is_reported else None
        report = LoadReport(target.running, len(target.waiting), target.slots, slowness)
        result = AttemptResult(verdict, now - sent_at, load=report)
        self._perform(now, router, router.end_attempt(action.key, result, now), origin)


def fraction_in_time(outcomes, *, after=0.0, region=None):
    """Returns the fraction of requests that were answered within their objective."""
    selected = [o for o in outcomes if o.arrived_at >= after and region in (None, o.region)]
    in_time = [o for o in selected if o.latency_s is not None and o.latency_s <= o.objective_s]
    return len(in_time) / len(selected)


def max_region_shift(outcomes, *, after, before, window_s=2.0):
    """Returns the largest fraction of a region's requests whose region changed between windows."""
    windows = {}
    for outcome in outcomes:
        if outcome.ran_in and after <= outcome.arrived_at < before:
            key = (outcome.region, int(outcome.arrived_at / window_s))
            windows.setdefault(key, Counter())[outcome.ran_in] += 1
    shifts = []
    for (region, number), counts in windows.items():
        following = windows.get((region, number + 1), Counter())
        if following:
            shifts.append(
                sum(
                    max(0.0, following[name] / following.total() - counts[name] / counts.total())
                    for name in following
                )
            )
    return max(shifts, default=0.0)
