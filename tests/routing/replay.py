"""Replays of loads: several routers against model targets, on a manual clock.

Targets have slots, a bounded queue and remember a limited number of objects; work on an object
that is not remembered takes several times as long. Callers come back once after a refusal.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from typing import NamedTuple

from carawaybank.routing.catalogue import Configuration, RoutePart, Service
from carawaybank.routing.fleet import LoadReport, TargetEntry
from carawaybank.routing.messages import AttemptResult, Request, Send
from carawaybank.routing.router import Router, RouterOptions
from carawaybank.verdicts import Answered, NotRun, Reason
from tests.routing.builders import HOST, make_route

COLD_S = 0.36
WARM_PART = 0.3
OBJECTS = 49
QUEUE = 12
REGION_RTT_S = 0.07
BUDGET_S = 2.0

LOOK = make_route("look", prefix="/look/", timeout_s=0.8, objective_s=0.3, rank=2)
BOOK = make_route("book", prefix="/book/", timeout_s=1.0, objective_s=0.4, rank=1, idempotent=False)
ROUTES = (LOOK, BOOK)


class Site(NamedTuple):
    """Where targets and VMs stand: targets and VMs by region."""

    targets: dict[str, int]
    vms: dict[str, int]
    keeps: int = 43


#: Half of the targets of the largest region and some of the others are gone; more VMs.
SHORT_SITE = Site({"a": 5, "b": 2, "c": 6}, {"a": 6, "b": 5, "c": 6})
SITE = Site({"a": 10, "b": 2, "c": 8}, {"a": 4, "b": 3, "c": 4})


class ModelTarget:
    """A target with slots, a queue and a memory of objects."""

    def __init__(self, *, keeps, cold_s, slots=4, slowness=1.0):
        self.cold_s = cold_s
        self.slots, self.keeps, self.slowness = slots, keeps, slowness
        self.running = 0
        self.waiting = deque()
        self.memory = OrderedDict()
        self.cold_runs = 0

    def work_s(self, key):
        warm = key in self.memory
        self.cold_runs += not warm
        self.memory[key] = None
        self.memory.move_to_end(key)
        if len(self.memory) > self.keeps:
            self.memory.popitem(last=False)
        return self.cold_s * (WARM_PART if warm else 1.0) * self.slowness


class Outcome(NamedTuple):
    """A request of a caller, over all its attempts."""

    asked_at: float
    region: str
    route: str
    latency_s: float | None
    objective_s: float


class Replay:
    """Drives routers and model targets through a load.

    All times of the service, its routes and its callers are multiplied by ``stretch``.
    """

    def __init__(self, *, site=SITE, seed=1, stretch=1.0, objects=OBJECTS, **options):
        self.budget_s = BUDGET_S * stretch
        self.objects = objects
        self.routes = tuple(
            route._replace(
                parts=(RoutePart("ledger", 1.0),),
                timeout_s=route.timeout_s * stretch,
                objective_s=route.objective_s * stretch,
            )
            for route in ROUTES
        )
        self.rng = random.Random(seed)
        self.events, self.numbers = [], itertools.count()
        self.targets, self.entries = {}, {}
        for region, count in site.targets.items():
            for number in range(count):
                name = f"{region}{number}"
                self.targets[name] = ModelTarget(keeps=site.keeps, cold_s=COLD_S * stretch)
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
        router = Router(options=settings, rng=random.Random(name))
        router.configure(configuration)
        for entry in self.entries.values():
            router.targets.update(entry, now=now)
        return router

    def restart_all(self, at):
        """Replaces all VMs by ones that know nothing of loads and objects; targets go on."""
        self._at(at, self._restart)

    def _restart(self, now):
        for region, routers in self.vms.items():
            self.vms[region] = [
                self._make_router(old.options.vm, region, old.configuration, {}, now)
                for old in routers
            ]

    def run(self, rates, *, seconds):
        """Plays Poisson arrivals by region; returns all outcomes."""
        for region, rate in rates.items():
            now = 0.0
            while now < seconds:
                now += self.rng.expovariate(rate)
                self._at(now, self._ask, region, self._draw_request(region), now, 0)
        while self.events:
            now, _, call, args = heapq.heappop(self.events)
            call(now, *args)
        return self.outcomes

    def _at(self, when, call, *args):
        heapq.heappush(self.events, (when, next(self.numbers), call, args))

    def _draw_request(self, region):
        route = self.routes[self.rng.random() >= 0.67]
        things = self.objects if route.name == LOOK.name else self.objects // 2
        return route, f"{region}{self.rng.randrange(things)}"

    def _ask(self, now, region, asked, first_at, tries):
        route, thing = asked
        router = self.rng.choice(self.vms[region])
        key = next(self.numbers)
        remaining_s = self.budget_s - (now - first_at)
        path = f"{route.prefix}{first_at}"
        request = Request(key, str(key), HOST, path, thing, path, remaining_s)
        self._perform(now, router, router.arrive(request, now), (region, asked, first_at, tries))

    def _perform(self, now, router, action, origin):
        if isinstance(action, Send):
            entry = self.entries[action.target_id]
            way_s = REGION_RTT_S / 2 if entry.region != origin[0] else 0.002
            self._at(now + way_s, self._reach, router, action, origin, way_s, now)
            return
        region, asked, first_at, tries = origin
        if isinstance(action.verdict, NotRun) and tries == 0:
            again_s = min(action.verdict.retry_after_s, (self.budget_s - (now - first_at)) / 3)
            self._at(now + again_s, self._ask, region, asked, first_at, 1)
            return
        served = isinstance(action.verdict, Answered)
        latency_s = now - first_at if served else None
        route = asked[0]
        self.outcomes.append(Outcome(first_at, region, route.name, latency_s, route.objective_s))

    def _reach(self, now, router, action, origin, way_s, sent_at):
        target = self.targets[action.target_id]
        job = (router, action, origin, way_s, sent_at)
        if target.running < target.slots:
            self._start(now, target, job)
        elif len(target.waiting) < QUEUE:
            target.waiting.append(job)
        else:
            self._at(now + way_s, self._end, target, job, NotRun(Reason.TARGET_SHED))

    def _start(self, now, target, job):
        target.running += 1
        _, (route, thing), *_ = job[2]
        work_s = target.work_s((route.name, thing)) * self.rng.uniform(0.85, 1.15)
        self._at(now + work_s, self._done, target, job)

    def _done(self, now, target, job):
        target.running -= 1
        if target.waiting:
            self._start(now, target, target.waiting.popleft())
        self._at(now + job[3], self._end, target, job, Answered(200))

    def _end(self, now, target, job, verdict):
        router, action, origin, _, sent_at = job
        report = LoadReport(target.running, len(target.waiting), target.slots)
        result = AttemptResult(verdict, now - sent_at, load=report)
        self._perform(now, router, router.end_attempt(action.key, result, now), origin)


def in_time(outcomes, *, after=0.0, region=None):
    """Returns the share of requests answered within their objective."""
    chosen = [o for o in outcomes if o.asked_at >= after and region in (None, o.region)]
    good = [o for o in chosen if o.latency_s is not None and o.latency_s <= o.objective_s]
    return len(good) / len(chosen)
