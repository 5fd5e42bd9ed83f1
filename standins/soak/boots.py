"""Starts of many VMs at the same moment, to each of which changed settings are announced."""

import asyncio
import random

from standins.soak.fleet import VmProcess
from standins.soak.layout import Layout
from standins.soak.records import Fault
from standins.soak.supervisor import START_S

#: Kind of the announcement to a VM in the first start, before the load.
FIRST_START = "first_start"

_FIRST_S = 4.0
#: Longest time in seconds from a start to the announcement of its settings.
_MAX_ANNOUNCED_S = 0.5
_DOWN_S = 1.0


def draw_boots(layout: Layout, *, rng: random.Random, until_s: float) -> list[Fault]:
    """Draws the first start, one of all VMs in the load and one of a failure domain.

    Args:
        layout: The deployment.
        rng: Source of random numbers.
        until_s: Latest time of a start in seconds after the start of the load.
    """
    names = [vm.name for vm in layout.vms]
    place = rng.choice(sorted({vm.failure_domain for vm in layout.vms}))
    domain = [vm.name for vm in layout.vms if vm.failure_domain == place]
    middle_s = (_FIRST_S + max(until_s, _FIRST_S + 1.0)) / 2
    times = (rng.uniform(_FIRST_S, middle_s), rng.uniform(middle_s, max(until_s, middle_s)))
    groups = [(FIRST_START, 0.0, names), ("boot", times[0], names), ("boot", times[1], domain)]
    return [
        Fault(
            at=at, kind=kind, subject=vm, for_s=_DOWN_S,
            after_start_s=rng.uniform(0.0, _MAX_ANNOUNCED_S),
        )
        for kind, at, vms in groups
        for vm in vms
    ]  # fmt: skip


async def boot(vm: VmProcess, fault: Fault) -> None:
    """Kills a VM, starts it again, and announces settings while it starts."""
    await vm.kill()
    await asyncio.sleep(fault["for_s"])
    await vm.start()
    await vm.announce_settings(after_s=fault["after_start_s"])
    await vm.wait_until_ready(START_S)


async def start_first(vm: VmProcess, fault: Fault) -> None:
    """Starts a VM for the first time, and announces settings while it starts."""
    await vm.start()
    await vm.announce_settings(after_s=fault["after_start_s"])
