"""Entry VMs as processes, most of which are lost for good."""

import asyncio
from collections import Counter

import pytest

from tests.platform.test_process import CONFIGURATION
from tests.platform.test_stranded_vms import VMS, run_site

pytestmark = pytest.mark.processes

KEY = "key-of-acme"
RATE = 200
#: Requests per second that the tenant sends, far below its allotment.
SENT_PER_S = 20.0
#: The users' limits: seconds after the VMs are back from which requests are served again, and
#: seconds after the loss of a VM from which look-ups do not name it.
RECOVER_S = 15.0
DELISTED_S = 6.0
MEASURED_S = 3.0
MIN_SERVED = 1 / 4
#: Seconds for which VMs learn of each other.
SETTLED_S = 4.0


async def kill(site, names):
    for name in names:
        site.processes[name].kill()
        await site.processes[name].wait()


async def put_tenant(site):
    spec = {"apiKeys": [KEY], "ratePerS": RATE, "burst": RATE}
    tenant = {"resKind": "tenants", "metadata": {"name": "acme"}, "spec": spec}
    route = {**CONFIGURATION["resources"][0], "metadata": {"name": "x"}}
    resources = [route, tenant, CONFIGURATION["resources"][1]]
    await site.store.put("op", "config", {"version": "00000005", "resources": resources})


async def count_statuses(site, name, seconds):
    """Sends requests of the tenant to one VM and returns their number by status."""
    statuses = Counter()
    for number in range(round(seconds * SENT_PER_S)):
        headers = [("Authorization", f"Bearer {KEY}")]
        reply = await site.call(name, "8100", "/x/1", f"{name}/{number}", headers=headers)
        statuses[reply.status] += 1
        await asyncio.sleep(1 / SENT_PER_S)
    return statuses


def test_a_tenant_is_served_by_the_vm_that_is_left_after_a_restart(tmp_path):
    """Guards against allotments that nobody grants once most VMs are lost for good (RECOVER)."""

    async def scenario(site):
        await put_tenant(site)
        await asyncio.sleep(SETTLED_S)
        left, *lost = VMS
        before = await count_statuses(site, left, 1.0)
        assert before[200] >= MIN_SERVED * before.total()
        await kill(site, lost)
        await kill(site, [left])
        await site.start_vm(left, tmp_path)
        await asyncio.sleep(RECOVER_S)
        after = await count_statuses(site, left, MEASURED_S)
        assert after[200] >= MIN_SERVED * after.total(), after

    run_site(tmp_path, scenario)


def test_the_vm_that_is_left_lists_no_lost_ones(tmp_path):
    """Guards against look-ups that name lost VMs for as long as a VM hears no other (DRAIN)."""

    async def scenario(site):
        await asyncio.sleep(SETTLED_S)
        left, *lost = VMS
        assert await site.look_up(left) == set(VMS)
        await kill(site, lost)
        await asyncio.sleep(DELISTED_S)
        assert await site.look_up(left) == {left}
        for name in lost:
            await site.start_vm(name, tmp_path)
        async with asyncio.timeout(SETTLED_S):
            await site.wait_for_look_up(left, set(VMS))

    run_site(tmp_path, scenario)
