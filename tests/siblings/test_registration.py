"""Registrations of entry VMs in a store that fails in its ways."""

import asyncio
import random

import msgspec
import pytest

from carawaybank.siblings.liveness import SILENCE_LIMIT_S
from carawaybank.siblings.registration import PREFIX, Registrations
from carawaybank.siblings.vms import VmDirectory, VmRecord
from tests.store_world import play, until

OWN = VmRecord("vm-1", "10.0.0.1:80", "10.0.0.1:90", "a1", "a", 7)
OTHER = OWN._replace(vm="vm-2", callers_address="10.0.0.2:80")


TABLE = "shared"


def make(world):
    vms = VmDirectory(own=OWN)
    registrations = Registrations(
        vms=vms,
        router=world.router,
        store=world.client,
        table=TABLE,
        journal=world.journal,
        rng=random.Random(1),
    )

    def take(changes):
        registrations.take(changes.under(PREFIX))

    task = asyncio.create_task(world.make_watch(TABLE, take).run())
    return vms, registrations, task


def test_a_vm_registers_again_until_the_store_confirms_it():
    async def scenario(world):
        _, registrations, task = make(world)
        world.store.fail(503)
        registering = asyncio.create_task(registrations.register())
        await until(lambda: world.saw("registration failed"))
        world.store.fail(0)
        await until(lambda: world.store.value(TABLE, PREFIX + "vm-1") is not None)
        assert msgspec.json.decode(world.store.value(TABLE, PREFIX + "vm-1"), type=VmRecord) == OWN
        await registrations.deregister()
        assert world.store.value(TABLE, PREFIX + "vm-1") is None
        registering.cancel()
        task.cancel()

    play(scenario)


def test_other_vms_come_and_go_with_their_rows():
    async def scenario(world):
        vms, _, task = make(world)
        await world.store.put(TABLE, PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await until(lambda: vms.others == [OTHER])
        assert set(world.router.vms) == {"vm-1", "vm-2"}
        stopping = OTHER._replace(stopping=True)
        await world.store.put(TABLE, PREFIX + "vm-2", msgspec.json.encode(stopping))
        await until(lambda: vms.others == [stopping])
        await world.store.drop(TABLE, PREFIX + "vm-2")
        await until(lambda: not vms.others)
        assert world.router.vms == ("vm-1",)
        task.cancel()

    play(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        msgspec.json.encode(OTHER._replace(vm="vm-3", sibling_address="nowhere")),
        msgspec.json.encode(OTHER._replace(vm="vm-3", callers_address="10.0.0.3:99999")),
        msgspec.json.encode(OTHER),
    ],
)
def test_a_damaged_registration_is_passed_over_and_noted(value):
    async def scenario(world):
        vms, _, task = make(world)
        await world.store.put(TABLE, PREFIX + "vm-3", value)
        await world.store.put(TABLE, PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await until(lambda: vms.others == [OTHER])
        assert world.saw("row passed over")
        task.cancel()

    play(scenario)


def test_a_registration_that_the_store_lost_is_written_again():
    async def scenario(world):
        _, registrations, task = make(world)
        copy = world.store.copy()
        registering = asyncio.create_task(registrations.register())
        await until(lambda: world.store.value(TABLE, PREFIX + "vm-1") is not None)
        await until(lambda: registrations._confirmed_at is not None)
        await world.store.put(TABLE, "other", b"{}")
        await until(lambda: world.store.waiting >= 2)
        world.store.return_from(copy)
        assert world.store.value(TABLE, PREFIX + "vm-1") is None
        await until(lambda: world.store.value(TABLE, PREFIX + "vm-1") is not None)
        registering.cancel()
        task.cancel()

    play(scenario)


def test_a_registration_that_an_earlier_process_removed_late_is_written_again():
    async def scenario(world):
        vms, registrations, task = make(world)
        registering = asyncio.create_task(registrations.register())
        await until(lambda: registrations._confirmed_at is not None)
        await world.store.drop(TABLE, PREFIX + "vm-1")
        await until(lambda: world.store.value(TABLE, PREFIX + "vm-1") is not None)
        assert vms.own.incarnation == OWN.incarnation + 1
        registering.cancel()
        task.cancel()

    play(scenario)


def test_a_vm_that_ended_is_not_named_because_the_copy_holds_it():
    async def scenario(world):
        vms, _, task = make(world)
        await world.store.put(TABLE, PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await until(lambda: vms.others == [OTHER])
        copy = world.store.copy()
        await asyncio.sleep(SILENCE_LIMIT_S)
        await world.store.drop(TABLE, PREFIX + "vm-2")
        await until(lambda: not vms.others)
        world.store.return_from(copy)
        await until(lambda: vms.others)
        now = asyncio.get_running_loop().time()
        assert [record.vm for record in vms.find("a1", "a", now=now)] == ["vm-1"]
        again = OTHER._replace(incarnation=OTHER.incarnation + 1)
        await world.store.put(TABLE, PREFIX + "vm-2", msgspec.json.encode(again))
        await until(lambda: again in vms.others)
        now = asyncio.get_running_loop().time()
        assert len(vms.find("a1", "a", now=now)) == 2
        task.cancel()

    play(scenario)
