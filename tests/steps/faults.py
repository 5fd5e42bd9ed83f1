"""Steps that inject faults, change tickets and let time pass."""

from pytest_bdd import parsers, when

from carawaybank.steering import group
from tests.steps.world import get_world

LOWERED_CAP_GRACE_S = 4.0


@when(parsers.parse("regions {one} and {other} are cut off from each other after {delay:g} s"))
def cut_regions(context, one, other, delay):
    fleet = get_world(context).fleet
    domains_by_region = get_world(context).deployment.domains_by_region

    def cut_links():
        for one_domain in domains_by_region[one]:
            for other_domain in domains_by_region[other]:
                fleet.cut_link(one_domain, other_domain)

    get_world(context).schedule(delay, cut_links)


@when(parsers.parse("ticket 2 lowers the caps of dispatch to {cap:d} after {delay:g} s"))
def lower_caps(context, cap, delay):
    world = get_world(context)
    regions = list(world.deployment.domains_by_region)

    def lower():
        shifts = {
            f"dispatch-{source}-{destination}": {
                "service": "dispatch",
                "from_region": source,
                "to_region": destination,
                "cap": cap,
            }
            for source in regions
            for destination in regions
            if source != destination
        }
        world.fleet.submit_ticket({"number": 2, "author": "o", "reason": "caps", "shifts": shifts})
        world.schedule(LOWERED_CAP_GRACE_S, lambda: world.caps.update(dict.fromkeys(dispatch, cap)))

    dispatch = [key for key in world.caps if key[0] == "dispatch"]
    world.schedule(delay, lower)


@when(
    parsers.parse(
        "responses have {size:d} bytes and the link of {one} and {other} allows {mbits:g} Mbit/s"
    )
)
def limit_link(context, size, one, other, mbits):
    fleet = get_world(context).fleet
    fleet.response_bytes = size
    links = {"between": {"regions": [one, other], "mbits": mbits}}
    fleet.submit_ticket({"number": 2, "author": "o", "reason": "link", "links": links})
    get_world(context).advance(2.0)


@when(
    parsers.parse(
        "ticket 2 adds {count:d} cold targets of dispatch to each failure domain of {region}"
    )
)
def add_cold_targets(context, count, region):
    fleet = get_world(context).fleet
    targets = {}
    for domain in get_world(context).deployment.domains_by_region[region]:
        for index in range(count):
            name = f"dispatch-{domain}-cold-{index}"
            address = f"10.1.{len(targets)}.1:80"
            fleet.add_target(name, region, domain, slots=6, draw_work_s=lambda: 0.1)
            targets[name] = {
                "service": "dispatch",
                "failure_domain": domain,
                "address": address,
                "slots": 6,
            }
    context["cold"] = list(targets)
    fleet.submit_ticket({"number": 2, "author": "o", "reason": "cold", "targets": targets})
    get_world(context).advance(0.5)


@when(parsers.parse("entry VM {vm} is killed after {delay:g} s"))
def kill_vm(context, vm, delay):
    fleet = get_world(context).fleet
    get_world(context).schedule(delay, lambda: fleet.kill(vm))


@when(parsers.parse("entry VM {vm} is started again after {delay:g} s"))
def start_vm(context, vm, delay):
    fleet = get_world(context).fleet
    member = fleet.vms[vm].host.membership.own
    get_world(context).schedule(
        delay, lambda: fleet.add_vm(vm, member.region, member.failure_domain, cell=member.cell)
    )


@when(parsers.parse("entry VM {vm} is paused after {delay:g} s for {seconds:g} s"))
def pause_vm(context, vm, delay, seconds):
    fleet = get_world(context).fleet
    if delay == 0:
        fleet.pause(vm, seconds)
    else:
        get_world(context).schedule(delay, lambda: fleet.pause(vm, seconds))


@when(
    parsers.parse("{one} and {other} are cut off from each other after {delay:g} s for {secs:g} s")
)
def cut_off_pair(context, one, other, delay, secs):
    fleet = get_world(context).fleet
    get_world(context).schedule(delay, lambda: fleet.cut_link(one, other))
    get_world(context).schedule(delay + secs, fleet.restore_links)
    if delay == 0:
        fleet.cut_link(one, other)


@when(parsers.parse("{domain} can reach only {other}"))
def isolate_domain(context, domain, other):
    for name in get_world(context).deployment.domain_names():
        if name not in (domain, other):
            get_world(context).fleet.cut_link(domain, name)


@when(parsers.parse("target {target} is killed after {delay:g} s"))
def kill_target(context, target, delay):
    def kill():
        get_world(context).fleet.targets[target].alive = False

    get_world(context).schedule(delay, kill)


@when(parsers.parse("target {target} starts draining after {delay:g} s"))
def drain_target(context, target, delay):
    def start_draining():
        fleet = get_world(context).fleet
        fleet.targets[target].draining_since = fleet.now

    get_world(context).schedule(delay, start_draining)


@when(parsers.parse("requests take {seconds:g} s"))
def set_request_duration(context, seconds):
    for target in get_world(context).fleet.targets.values():
        target.draw_work_s = lambda: seconds


@when("the store is down")
def stop_store(context):
    get_world(context).fleet.is_store_available = False


@when(parsers.parse("{seconds:g} s pass"))
def pass_time(context, seconds):
    get_world(context).advance(seconds)


@when("ticket 2 is accepted")
def accept_ticket(context):
    service = get_world(context).deployment.services[0].name
    ticket = {
        "number": 2,
        "author": "operator",
        "reason": "weights",
        "services": {service: {"latency_weight": 0.5}},
    }
    get_world(context).fleet.submit_ticket(ticket)
    get_world(context).check()
    context["accepted_at"] = get_world(context).fleet.now


@when("all entry VMs are replaced one after another")
def replace_all(context):
    fleet = get_world(context).fleet
    for name in list(fleet.vms):
        member = fleet.vms[name].host.membership.own
        fleet.kill(name)
        get_world(context).advance(0.5)
        fleet.add_vm(name, member.region, member.failure_domain, cell=member.cell)
        get_world(context).advance(1.5)


@when("all entry VMs are replaced at once")
def replace_all_at_once(context):
    fleet = get_world(context).fleet
    members = [vm.host.membership.own for vm in fleet.vms.values()]
    for member in members:
        fleet.kill(member.vm)
    get_world(context).advance(1.0)
    for member in members:
        fleet.add_vm(member.vm, member.region, member.failure_domain, cell=member.cell)


@when(parsers.parse("entry VMs and targets of {region} are killed after {delay:g} s"))
def kill_region(context, region, delay):
    fleet = get_world(context).fleet

    def kill_all():
        for vm in fleet.vms.values():
            if vm.locality.region == region:
                fleet.kill(vm.name)
        for target in fleet.targets.values():
            if target.locality.region == region:
                target.alive = False

    get_world(context).schedule(delay, kill_all)


@when("all links are restored")
def restore_links(context):
    get_world(context).fleet.restore_links()


@when(parsers.parse("dead members are forgotten after {seconds:g} s"))
def forget_dead_members_after(context, seconds, monkeypatch):
    monkeypatch.setattr(group, "_FORGET_DEAD_AFTER_S", seconds)
