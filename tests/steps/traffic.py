"""Steps that send requests."""

from pytest_bdd import parsers, when

from standins.sampledeployments import schedule_poisson_load
from tests.steps.world import get_world


@when(
    parsers.parse(
        "callers of {region:w} send {rate:g} requests per second to {service} for {seconds:g} s"
    )
)
def send_from_region(context, region, rate, service, seconds):
    fleet = get_world(context).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.locality.region == region]
    schedule_poisson_load(fleet, vms, service, rate=rate, seconds=seconds, deadline_s=3.0)


@when(
    parsers.parse(
        "targets report no load and callers of {region:w} send {rate:g} per second "
        "for {seconds:g} s"
    )
)
def send_from_region_with_no_load_reported(context, region, rate, seconds):
    get_world(context).fleet.reports_no_load = True
    send_from_region(context, region, rate, "dispatch", seconds)


@when(
    parsers.parse(
        "customers large and small request {times:g} times the capacity of {service}, split 9 to 1"
    )
)
def send_by_customers(context, service, times):
    fleet = get_world(context).fleet
    slots = sum(t.slots for t in fleet.targets.values() if t.name.startswith(service))
    context["fair"] = slots * get_world(context).utilisation / 0.1 / 2
    schedule_poisson_load(
        fleet,
        list(fleet.vms),
        service,
        rate=times * slots / 0.1,
        seconds=6.0,
        customers={"large": 0.9, "small": 0.1},
    )


@when(
    parsers.parse(
        "callers of {one} and {other} send {rate:g} requests per second to {service} for {secs:g} s"
    )
)
def send_from_two_regions(context, one, other, rate, service, secs):
    fleet = get_world(context).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.locality.region in (one, other)]
    schedule_poisson_load(fleet, vms, service, rate=rate, seconds=secs)


@when(parsers.parse("callers send {rate:g} requests per second to {service} for {seconds:g} s"))
def send_from_all_callers(context, rate, service, seconds):
    fleet = get_world(context).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.alive]
    schedule_poisson_load(fleet, vms, service, rate=rate, seconds=seconds, repeatable_share=0.5)


@when(parsers.parse("a request that crashes targets is sent {count:d} times through all entry VMs"))
def send_crashing(context, count):
    fleet = get_world(context).fleet
    fleet.crashing_fingerprints.add("crashing")
    vms = list(fleet.vms)
    for index in range(count):
        fleet.send_request(vms[index % len(vms)], "dispatch", fingerprint="crashing")
        get_world(context).advance(0.5)


@when("every target of dispatch is busy for 1 s")
def occupy_targets(context):
    fleet = get_world(context).fleet
    for target in fleet.targets.values():
        target.busy += target.slots

    def release_targets():
        for target in fleet.targets.values():
            target.busy -= target.slots

    fleet.call_later(1.0, release_targets)


@when(parsers.parse("order {order} bound to {binder} is sent through every entry VM"))
def send_order_through_every_vm(context, order, binder):
    for vm in get_world(context).fleet.vms:
        send_order(context, order, binder, vm, 0.0)


@when(parsers.re(r"order (?P<order>\w+) bound to (?P<binder>\S+) is sent through (?P<vm>\S+)"))
def send_first(context, order, binder, vm):
    send_order(context, order, binder, vm, 0.0, first_send=True)


@when(parsers.parse("order {order} bound to {binder} is sent again through {vm} after {delay:g} s"))
def send_again(context, order, binder, vm, delay):
    send_order(context, order, binder, vm, delay)


@when(parsers.parse("order {order} with an unbound id is sent through {vm}"))
def send_unbound(context, order, vm):
    get_world(context).order_ids[order] = order
    get_world(context).fleet.send_request(vm, "dispatch", request_id=order, repeatable=False)


def send_order(context, order, binder, vm, delay, *, first_send=False):
    fleet = get_world(context).fleet
    if order not in get_world(context).order_ids:
        get_world(context).order_ids[order] = fleet.make_bound_id(binder, order)
    request_id = get_world(context).order_ids[order]
    get_world(context).schedule(
        delay,
        lambda: fleet.send_request(
            vm, "dispatch", request_id=request_id, repeatable=False, first_send=first_send
        ),
    )
