"""Steps that break things, and tickets."""

from pytest_bdd import parsers, when

from carawaybank.steering import group
from tests.steps.world import of

LOWERED_CAP_GRACE_S = 4.0


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
        "answers are {size:d} bytes and the link of {one} and {other} may carry {mbits:g} Mbit/s"
    )
)
def set_link(world, size, one, other, mbits):
    fleet = of(world).fleet
    fleet.answer_bytes = size
    links = {"between": {"regions": [one, other], "mbits": mbits}}
    fleet.submit({"number": 2, "author": "o", "reason": "link", "links": links})
    of(world).run(2.0)


@when(
    parsers.parse(
        "ticket 2 adds {count:d} cold targets of dispatch to each failure domain of {region}"
    )
)
def add_cold(world, count, region):
    fleet = of(world).fleet
    targets = {}
    for domain in of(world).user.domains[region]:
        for index in range(count):
            name = f"dispatch-{domain}-cold-{index}"
            address = f"10.1.{len(targets)}.1:80"
            fleet.add_target(name, region, domain, slots=6, work=lambda: 0.1)
            targets[name] = {
                "service": "dispatch",
                "failure_domain": domain,
                "address": address,
                "slots": 6,
            }
    world["cold"] = list(targets)
    fleet.submit({"number": 2, "author": "o", "reason": "cold", "targets": targets})
    of(world).run(0.5)


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


@when(parsers.parse("requests take {seconds:g} s"))
def work(world, seconds):
    for target in of(world).fleet.targets.values():
        target.work = lambda: seconds


@when("the store is down")
def store_down(world):
    of(world).fleet.store_up = False


@when(parsers.parse("{seconds:g} s pass"))
def pass_time(world, seconds):
    of(world).run(seconds)


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
    of(world).check()
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


@when("all entry VMs are replaced at once")
def replace_at_once(world):
    fleet = of(world).fleet
    records = [vm.host.membership.own for vm in fleet.vms.values()]
    for record in records:
        fleet.kill(record.vm)
    of(world).run(1.0)
    for record in records:
        fleet.add_vm(record.vm, record.region, record.failure_domain, cell=record.cell)


@when(parsers.parse("entry VMs and targets of {region} are lost after {delay:g} s"))
def lose_region(world, region, delay):
    fleet = of(world).fleet

    def lose():
        for vm in fleet.vms.values():
            if vm.place.region == region:
                fleet.kill(vm.name)
        for target in fleet.targets.values():
            if target.place.region == region:
                target.alive = False

    of(world).at(delay, lose)


@when("all links are mended")
def mend(world):
    of(world).fleet.heal()


@when(parsers.parse("members that ended are forgotten after {seconds:g} s"))
def forget_soon(world, seconds, monkeypatch):
    monkeypatch.setattr(group, "_FORGET_AFTER_S", seconds)
