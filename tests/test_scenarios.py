"""Steps of the scenarios in ``features``, on fleets in memory with a manual clock."""

import math
from collections import Counter

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from carawaybank.verdicts import Answered, MayHaveRun, NotRun
from standins.places import NISHIKAWA, PRAIRIE, User, make_fleet, send_poisson

scenarios("features")

USERS = {"Prairie": PRAIRIE, "Nishikawa": NISHIKAWA}
SETTLE_S = 15.0
LOWERED_CAP_GRACE_S = 4.0


class World:
    """A fleet under a scenario, with invariants checked after every step."""

    def __init__(self, *, user: User, cap: int, utilisation: float = 1.0) -> None:
        regions = list(user.domains)
        self.user = user
        self.caps = {
            (service.name, start, end): cap
            for service in user.services
            for start in regions
            for end in regions
            if start != end
        }
        self.utilisation = utilisation
        self.region_peak: Counter[tuple[str, str]] = Counter()
        self.fleet = make_fleet(user, caps=self.caps, utilisation=utilisation)
        self.started = self.fleet.now
        self.orders: dict[str, str] = {}
        self.crashing = "crashing"
        self.served: dict[str, int] = {}
        self.leaving_since: dict[str, float] = {}

    def run(self, seconds: float) -> None:
        """Lets time pass in small steps and checks what must hold after each."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(min(0.05, until - self.fleet.now))
            self.check()

    def check(self) -> None:
        self._check_caps()
        self._check_slots()
        if self.utilisation < 1:
            self._check_regions()
        self._check_tickets()

    def at(self, seconds: float, call) -> None:
        self.fleet.after(seconds, call)

    def answers(self, request_id: str):
        return [e.verdict for e in self.fleet.ended if e.info.request_id == request_id]

    def _check_caps(self) -> None:
        for (start, end), used in self.fleet.shift_use.items():
            if start != end:
                allowed = sum(cap for (_, s, e), cap in self.caps.items() if (s, e) == (start, end))
                assert used <= allowed, f"{used} requests from {start} to {end}, cap {allowed}"

    def _check_slots(self) -> None:
        for target in self.fleet.targets.values():
            assert target.busy <= target.slots

    def _check_regions(self) -> None:
        busy: Counter[tuple[str, str]] = Counter()
        slots: Counter[tuple[str, str]] = Counter()
        for target in self.fleet.targets.values():
            key = (target.place.region, target.name.partition("-")[0])
            busy[key] += target.busy
            slots[key] += target.slots
        for key, used in busy.items():
            limit = math.floor(slots[key] * self.utilisation)
            assert used <= limit, f"{used} requests run in {key}, limit {limit}"
            self.region_peak[key] = max(used, self.region_peak[key])

    def _check_tickets(self) -> None:
        for vm in self.fleet.vms.values():
            if not vm.alive or self.fleet.now < vm.paused_until or not vm.host.is_ready:
                continue
            domain = vm.place.failure_domain
            number = vm.host.state.number
            key = f"{domain}/{vm.name}"
            assert number >= self.served.get(key, 0), f"{vm.name} served an older ticket"
            self.served[key] = number


@pytest.fixture
def world():
    return {}


def of(world) -> World:
    return world["world"]


@given(parsers.re(r"the places of (?P<user>\w+) with shifts of (?P<cap>\d+) out of each region"))
def places(world, user, cap):
    world["world"] = World(user=USERS[user], cap=int(cap))


@given(
    parsers.parse(
        "the places of {user} filled to {percent:d}% with shifts of {cap:d} out of each region"
    )
)
def filled_places(world, user, percent, cap):
    world["world"] = World(user=USERS[user], cap=cap, utilisation=percent / 100)


@when(
    parsers.parse(
        "callers of {region} send {rate:g} requests a second to {service} for {seconds:g} s"
    )
)
def send_skewed(world, region, rate, service, seconds):
    fleet = of(world).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.place.region == region]
    send_poisson(fleet, vms, service, rate=rate, seconds=seconds, deadline_s=3.0)


@when(
    parsers.parse(
        "targets report no load and callers of {region} send {rate:g} a second for {seconds:g} s"
    )
)
def send_misled(world, region, rate, seconds):
    of(world).fleet.misleading = True
    send_skewed(world, region, rate, "dispatch", seconds)


@when(parsers.parse("{one} and {other} lose each other after {delay:g} s"))
def regions_cut(world, one, other, delay):
    fleet = of(world).fleet
    domains = of(world).user.domains

    def cut_all():
        for here in domains[one]:
            for there in domains[other]:
                fleet.cut(here, there)

    of(world).at(delay, cut_all)


@when(parsers.parse("ticket 2 lowers the caps of dispatch to {cap:d} after {delay:g} s"))
def lower_caps(world, cap, delay):
    now = of(world)
    regions = list(now.user.domains)

    def lower():
        shifts = {
            f"dispatch-{a}-{b}": {
                "service": "dispatch",
                "from_region": a,
                "to_region": b,
                "cap": cap,
            }
            for a in regions
            for b in regions
            if a != b
        }
        now.fleet.submit({"number": 2, "author": "o", "reason": "caps", "shifts": shifts})
        now.at(LOWERED_CAP_GRACE_S, lambda: now.caps.update(dict.fromkeys(dispatch, cap)))

    dispatch = [key for key in now.caps if key[0] == "dispatch"]
    now.at(delay, lower)


@when(
    parsers.parse(
        "customers large and small ask {service} for {times:g} times the capacity, nine to one"
    )
)
def send_unequal(world, service, times):
    fleet = of(world).fleet
    slots = sum(t.slots for t in fleet.targets.values() if t.name.startswith(service))
    world["fair"] = slots * of(world).utilisation / 0.1 / 2
    send_poisson(
        fleet,
        list(fleet.vms),
        service,
        rate=times * slots / 0.1,
        seconds=6.0,
        customers={"large": 0.9, "small": 0.1},
    )


@then(
    parsers.parse(
        "at least {percent:d}% of the requests of small within its fair share are answered"
    )
)
def fair(world, percent):
    settle(world)
    small = [e for e in of(world).fleet.ended if e.info.customer == "small"]
    answered = sum(isinstance(e.verdict, Answered) for e in small)
    assert len(small) / 6.0 < world["fair"], "small asks for less than its fair share"
    assert answered >= len(small) * percent / 100


@then("the limits of regions and shifts held")
def limits_held(world):
    settle(world)
    assert not of(world).fleet.faults


@then(parsers.parse("targets of {region} were filled to their limit"))
def filled(world, region):
    slots = sum(
        t.slots
        for t in of(world).fleet.targets.values()
        if t.place.region == region and t.name.startswith("dispatch")
    )
    limit = math.floor(slots * of(world).utilisation)
    assert of(world).region_peak[(region, "dispatch")] == limit


@when(parsers.parse("coordinators send {rate:g} requests a second to {service} for {seconds:g} s"))
def send(world, rate, service, seconds):
    fleet = of(world).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.alive]
    send_poisson(fleet, vms, service, rate=rate, seconds=seconds, repeatable_share=0.5)


@when(parsers.parse("entry VM {vm} is killed after {delay:g} s"))
def kill_vm(world, vm, delay):
    fleet = of(world).fleet
    of(world).at(delay, lambda: fleet.kill(vm))


@when(parsers.parse("entry VM {vm} is started again after {delay:g} s"))
def start_vm(world, vm, delay):
    fleet = of(world).fleet
    old = fleet.vms[vm].host.membership.own
    of(world).at(delay, lambda: fleet.add_vm(vm, old.region, old.failure_domain, cell=old.cell))


@when(parsers.parse("entry VM {vm} is paused after {delay:g} s for {seconds:g} s"))
def pause_vm(world, vm, delay, seconds):
    fleet = of(world).fleet
    if delay == 0:
        fleet.pause(vm, seconds)
    else:
        of(world).at(delay, lambda: fleet.pause(vm, seconds))


@when(
    parsers.parse("{one} and {other} are cut off from each other after {delay:g} s for {secs:g} s")
)
def cut(world, one, other, delay, secs):
    fleet = of(world).fleet
    of(world).at(delay, lambda: fleet.cut(one, other))
    of(world).at(delay + secs, fleet.heal)
    if delay == 0:
        fleet.cut(one, other)


@when(parsers.parse("{domain} is cut off from all but {other}"))
def cut_off(world, domain, other):
    for name in of(world).user.all_domains():
        if name not in (domain, other):
            of(world).fleet.cut(domain, name)


@when(parsers.parse("target {target} is killed after {delay:g} s"))
def kill_target(world, target, delay):
    def kill():
        of(world).fleet.targets[target].alive = False

    of(world).at(delay, kill)


@when(parsers.parse("target {target} begins to leave after {delay:g} s"))
def leave_target(world, target, delay):
    def leave():
        fleet = of(world).fleet
        fleet.targets[target].draining_since = fleet.now

    of(world).at(delay, leave)


@when(parsers.parse("a request that crashes targets is sent {count:d} times through all entry VMs"))
def send_crashing(world, count):
    fleet = of(world).fleet
    fleet.crashing.add("crashing")
    vms = list(fleet.vms)
    for index in range(count):
        fleet.request(vms[index % len(vms)], "dispatch", fingerprint="crashing")
        of(world).run(0.5)


@when("the store is down")
def store_down(world):
    of(world).fleet.store_up = False


@when(parsers.parse("{seconds:g} s pass"))
def pass_time(world, seconds):
    of(world).run(seconds)


@when("every target of dispatch is busy for 1 s")
def busy(world):
    fleet = of(world).fleet
    for target in fleet.targets.values():
        target.busy += target.slots

    def end():
        for target in fleet.targets.values():
            target.busy -= target.slots

    fleet.after(1.0, end)


@when(parsers.parse("order {order} bound to {binder} is sent through every entry VM"))
def send_everywhere(world, order, binder):
    for vm in of(world).fleet.vms:
        send_order(world, order, binder, vm, 0.0)


@when(parsers.re(r"order (?P<order>\w+) bound to (?P<binder>\S+) is sent through (?P<vm>\S+)"))
def send_once(world, order, binder, vm):
    send_order(world, order, binder, vm, 0.0, first_send=True)


@when(parsers.parse("order {order} bound to {binder} is sent again through {vm} after {delay:g} s"))
def send_again(world, order, binder, vm, delay):
    send_order(world, order, binder, vm, delay)


@when(parsers.parse("order {order} with an unbound id is sent through {vm}"))
def send_unbound(world, order, vm):
    of(world).orders[order] = order
    of(world).fleet.request(vm, "dispatch", request_id=order, repeatable=False)


def send_order(world, order, binder, vm, delay, *, first_send=False):
    fleet = of(world).fleet
    if order not in of(world).orders:
        of(world).orders[order] = fleet.bound_id(binder, order)
    request_id = of(world).orders[order]
    of(world).at(
        delay,
        lambda: fleet.request(
            vm, "dispatch", request_id=request_id, repeatable=False, first_send=first_send
        ),
    )


@when("ticket 2 is accepted")
def accept(world):
    service = of(world).user.services[0].name
    ticket = {
        "number": 2,
        "author": "operator",
        "reason": "weights",
        "services": {service: {"latency_weight": 0.5}},
    }
    of(world).fleet.submit(ticket)
    world["accepted_at"] = of(world).fleet.now


@when("all entry VMs are replaced one after another")
def replace_all(world):
    fleet = of(world).fleet
    for name in list(fleet.vms):
        old = fleet.vms[name].host.membership.own
        fleet.kill(name)
        of(world).run(0.5)
        fleet.add_vm(name, old.region, old.failure_domain, cell=old.cell)
        of(world).run(1.5)


@then("every request is answered")
def all_answered(world):
    settle(world)
    refused = [e for e in of(world).fleet.ended if not isinstance(e.verdict, Answered)]
    assert not refused
    assert of(world).fleet.ended


@then("every repeatable request is answered")
def repeatable_answered(world):
    ended = [e for e in of(world).fleet.ended if e.info.repeatable]
    assert ended
    assert all(isinstance(e.verdict, Answered) for e in ended)


@then("requests that crash nothing are answered")
def harmless_answered(world):
    settle(world)
    harmless = [e for e in of(world).fleet.ended if e.info.fingerprint != "crashing"]
    assert harmless
    assert all(isinstance(e.verdict, Answered) for e in harmless)


@then("nothing that must hold was broken")
def invariants(world):
    settle(world)
    fleet = of(world).fleet
    assert not fleet.faults
    for ended in fleet.ended:
        runs = fleet.total_runs(ended.info.request_id)
        if isinstance(ended.verdict, NotRun):
            assert runs == 0, f"{ended.info.request_id} was refused as not run but ran"
        if isinstance(ended.verdict, Answered):
            assert runs >= 1


@then("no request through a live entry VM waited beyond its deadline")
def deadlines(world):
    for ended in of(world).fleet.ended:
        assert ended.at <= ended.info.deadline + 0.2


@then(parsers.parse("target {target} began no work from {limit:g} s after that"))
def no_new_work(world, target, limit):
    settle(world)
    leaving = of(world).fleet.targets[target]
    assert leaving.begun_at, "the target was used before"
    assert max(leaving.begun_at) <= leaving.draining_since + limit


@then(parsers.parse("at most {count:d} targets were lost"))
def lost(world, count):
    assert sum(not target.alive for target in of(world).fleet.targets.values()) <= count


@then("refusals say when to come back")
def retry_after(world):
    refusals = [e.verdict for e in of(world).fleet.ended if isinstance(e.verdict, NotRun)]
    assert refusals
    assert all(refusal.retry_after_s > 0 for refusal in refusals)
    assert len({round(refusal.retry_after_s, 6) for refusal in refusals}) > len(refusals) / 2


@then(parsers.parse("refusals are given within {limit:g} s"))
def refusal_latency(world, limit):
    refused = [e for e in of(world).fleet.ended if isinstance(e.verdict, NotRun)]
    assert max(e.latency_s for e in refused) <= limit


@then(parsers.re(r"order (?P<order>\w+) ran (?P<how>once|at most once)"))
def ran(world, order, how):
    settle(world)
    runs = of(world).fleet.total_runs(of(world).orders[order])
    assert runs <= 1
    assert how == "at most once" or runs == 1


@then(parsers.parse("order {order} did not run"))
def not_run(world, order):
    settle(world)
    assert of(world).fleet.total_runs(of(world).orders[order]) == 0


@then(parsers.re(r"the last answer for order (?P<order>\w+) says that it (?P<what>.+)"))
def last_answer(world, order, what):
    kind = {"may have run": MayHaveRun, "did not run": NotRun}[what]
    assert isinstance(of(world).answers(of(world).orders[order])[-1], kind)


@then(parsers.parse("ticket {number:d} is in force on every live entry VM within {limit:g} s"))
def in_force(world, number, limit):
    fleet = of(world).fleet
    accepted_at = world.get("accepted_at", fleet.now)
    of(world).run(max(0.0, accepted_at + limit - fleet.now))
    for vm in fleet.vms.values():
        if vm.alive and fleet.now >= vm.paused_until:
            assert vm.host.state.number >= number, vm.name


@then("no failure domain served a lower ticket after a higher one")
def no_reversion(world):
    of(world).check()
    assert not of(world).fleet.faults


def named_by(world, vm):
    host = of(world).fleet.vms[vm].host
    domain = of(world).fleet.vms[vm].place.failure_domain
    built = host.entries_view.build(host.state, domain, 0, of(world).fleet.now)
    serving = {member.vm for member in host.membership.serving()}
    assert {entry["vm"] for entry in built["entries"]} <= serving
    return serving


def awake(world):
    fleet = of(world).fleet
    return [n for n, vm in fleet.vms.items() if vm.alive and fleet.now >= vm.paused_until]


@then(parsers.parse("no entry VM names {vm}"))
def nobody_names(world, vm):
    assert not [other for other in awake(world) if vm in named_by(world, other)]


@then(parsers.parse("every entry VM names {vm}"))
def all_name(world, vm):
    assert all(vm in named_by(world, other) for other in awake(world))


@then(parsers.re(r"(?P<vm>\S+) names (?P<other>\S+)"))
def names(world, vm, other):
    assert other in named_by(world, vm)


@then(parsers.parse("{vm} is not ready"))
def not_ready(world, vm):
    assert not of(world).fleet.vms[vm].host.is_ready


@then(parsers.parse("{vm} is ready {seconds:g} s later"))
def ready(world, vm, seconds):
    of(world).run(seconds)
    assert of(world).fleet.vms[vm].host.is_ready


def settle(world) -> None:
    if not world.get("settled"):
        of(world).run(SETTLE_S + longest_delay(world))
        world["settled"] = True


def longest_delay(world) -> float:
    events = of(world).fleet._events
    horizon = max((at for at, _, _ in events), default=0.0) - of(world).fleet.now
    return max(0.0, min(horizon, 700.0))
