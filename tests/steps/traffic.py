"""Steps that send requests."""

from pytest_bdd import parsers, when

from standins.places import send_poisson
from tests.steps.world import of


@when(
    parsers.parse(
        "callers of {region:w} send {rate:g} requests a second to {service} for {seconds:g} s"
    )
)
def send_skewed(world, region, rate, service, seconds):
    fleet = of(world).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.place.region == region]
    send_poisson(fleet, vms, service, rate=rate, seconds=seconds, deadline_s=3.0)


@when(
    parsers.parse(
        "targets report no load and callers of {region:w} send {rate:g} a second for {seconds:g} s"
    )
)
def send_misled(world, region, rate, seconds):
    of(world).fleet.misleading = True
    send_skewed(world, region, rate, "dispatch", seconds)


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


@when(
    parsers.parse(
        "callers of {one} and {other} send {rate:g} requests a second to {service} for {secs:g} s"
    )
)
def send_two(world, one, other, rate, service, secs):
    fleet = of(world).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.place.region in (one, other)]
    send_poisson(fleet, vms, service, rate=rate, seconds=secs)


@when(parsers.parse("coordinators send {rate:g} requests a second to {service} for {seconds:g} s"))
def send(world, rate, service, seconds):
    fleet = of(world).fleet
    vms = [name for name, vm in fleet.vms.items() if vm.alive]
    send_poisson(fleet, vms, service, rate=rate, seconds=seconds, repeatable_share=0.5)


@when(parsers.parse("a request that crashes targets is sent {count:d} times through all entry VMs"))
def send_crashing(world, count):
    fleet = of(world).fleet
    fleet.crashing.add("crashing")
    vms = list(fleet.vms)
    for index in range(count):
        fleet.request(vms[index % len(vms)], "dispatch", fingerprint="crashing")
        of(world).run(0.5)


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
