"""Registrations of entry VMs in a store that fails or loses rows."""

import asyncio
import random

import msgspec
import pytest

from carawaybank.rows import Row, TableUpdate
from carawaybank.siblings.liveness import HEARTBEAT_TIMEOUT_S
from carawaybank.siblings.registration import KEY_PREFIX, Registrations
from carawaybank.siblings.vms import VmDirectory, VmRecord
from tests.store_world import run_scenario, wait_until

OWN = VmRecord("vm-1", "10.0.0.1:80", "10.0.0.1:90", "a1", "a", 7)
OTHER = OWN._replace(vm="vm-2", callers_address="10.0.0.2:80")


TABLE = "shared"


def start(world):
    vms = VmDirectory(own=OWN)
    registrations = Registrations(
        vms=vms,
        router=world.router,
        store=world.client,
        table=TABLE,
        journal=world.journal,
        rng=random.Random(1),
    )

    def apply(update):
        registrations.apply(update.with_prefix(KEY_PREFIX))

    task = asyncio.create_task(world.make_watch(TABLE, apply).run())
    return vms, registrations, task


def test_registration_is_retried_until_confirmed():
    """Guards against a VM that stays unknown because its first write failed."""

    async def scenario(world):
        _, registrations, task = start(world)
        world.store.set_error_status(503)
        registering = asyncio.create_task(registrations.register())
        await wait_until(lambda: world.has_logged("registration failed"))
        world.store.set_error_status(0)
        await wait_until(lambda: world.store.value(TABLE, KEY_PREFIX + "vm-1") is not None)
        assert (
            msgspec.json.decode(world.store.value(TABLE, KEY_PREFIX + "vm-1"), type=VmRecord) == OWN
        )
        await registrations.deregister()
        assert world.store.value(TABLE, KEY_PREFIX + "vm-1") is None
        registering.cancel()
        task.cancel()

    run_scenario(scenario)


def test_known_vms_follow_their_rows():
    """Added, stopping and removed rows must each change the known VMs and the router."""

    async def scenario(world):
        vms, _, task = start(world)
        await world.store.put(TABLE, KEY_PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await wait_until(lambda: vms.others == [OTHER])
        assert set(world.router.vms) == {"vm-1", "vm-2"}
        stopping = OTHER._replace(stopping=True)
        await world.store.put(TABLE, KEY_PREFIX + "vm-2", msgspec.json.encode(stopping))
        await wait_until(lambda: vms.others == [stopping])
        await world.store.delete(TABLE, KEY_PREFIX + "vm-2")
        await wait_until(lambda: not vms.others)
        assert world.router.vms == ("vm-1",)
        task.cancel()

    run_scenario(scenario)


def test_many_changed_rows_update_the_router_once(monkeypatch):
    """Guards against an update of all VMs for each changed row, which held up the event loop."""

    async def scenario(world):
        vms, registrations, task = start(world)
        updates = []
        monkeypatch.setattr(world.router.limits, "update_vms", updates.append)
        records = [OWN._replace(vm=f"vm-{n}") for n in range(100, 200)]
        rows = [Row(r.vm, msgspec.json.encode(r), 1, removed=False) for r in records]
        registrations.apply(TableUpdate(rows, is_full=True, after_outage=False))
        assert len(vms.others) == 100
        assert [len(update) for update in updates] == [101]
        task.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        msgspec.json.encode(OTHER._replace(vm="vm-3", sibling_address="nowhere")),
        msgspec.json.encode(OTHER._replace(vm="vm-3", callers_address="10.0.0.3:99999")),
        msgspec.json.encode(OTHER),
    ],
)
def test_invalid_registration_is_skipped_and_logged(value):
    """Guards against a row that cannot be used stopping the registrations of all other VMs."""

    async def scenario(world):
        vms, _, task = start(world)
        await world.store.put(TABLE, KEY_PREFIX + "vm-3", value)
        await world.store.put(TABLE, KEY_PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await wait_until(lambda: vms.others == [OTHER])
        assert world.has_logged("row passed over")
        task.cancel()

    run_scenario(scenario)


def test_registration_is_written_again_after_restore_of_store():
    """Guards against a VM that stays unknown because the backup of the store lacks its row."""

    async def scenario(world):
        _, registrations, task = start(world)
        backup = world.store.make_backup()
        registering = asyncio.create_task(registrations.register())
        await wait_until(lambda: world.store.value(TABLE, KEY_PREFIX + "vm-1") is not None)
        await wait_until(lambda: registrations._confirmed_at is not None)
        await world.store.put(TABLE, "other", b"{}")
        await wait_until(lambda: world.store.waiting_watches >= 2)
        world.store.restore(backup)
        assert world.store.value(TABLE, KEY_PREFIX + "vm-1") is None
        await wait_until(lambda: world.store.value(TABLE, KEY_PREFIX + "vm-1") is not None)
        registering.cancel()
        task.cancel()

    run_scenario(scenario)


def test_registration_removed_by_earlier_process_is_written_again():
    """A delayed call of the previous process of a VM may remove the row of the new process.

    The new row needs a higher incarnation, because siblings consider the removed one ended.
    """

    async def scenario(world):
        vms, registrations, task = start(world)
        registering = asyncio.create_task(registrations.register())
        await wait_until(lambda: registrations._confirmed_at is not None)
        await world.store.delete(TABLE, KEY_PREFIX + "vm-1")
        await wait_until(lambda: world.store.value(TABLE, KEY_PREFIX + "vm-1") is not None)
        assert vms.own.incarnation == OWN.incarnation + 1
        registering.cancel()
        task.cancel()

    run_scenario(scenario)


def test_ended_vm_in_restored_backup_is_not_listed():
    """Guards against listing a VM that ended after the backup of the store was made.

    Its next incarnation must be listed.
    """

    async def scenario(world):
        vms, _, task = start(world)
        await world.store.put(TABLE, KEY_PREFIX + "vm-2", msgspec.json.encode(OTHER))
        await wait_until(lambda: vms.others == [OTHER])
        backup = world.store.make_backup()
        await asyncio.sleep(HEARTBEAT_TIMEOUT_S)
        await world.store.delete(TABLE, KEY_PREFIX + "vm-2")
        await wait_until(lambda: not vms.others)
        world.store.restore(backup)
        await wait_until(lambda: vms.others)
        now = asyncio.get_running_loop().time()
        assert [record.vm for record in vms.select_for_caller("a1", "a", now=now)] == ["vm-1"]
        restarted = OTHER._replace(incarnation=OTHER.incarnation + 1)
        await world.store.put(TABLE, KEY_PREFIX + "vm-2", msgspec.json.encode(restarted))
        await wait_until(lambda: restarted in vms.others)
        now = asyncio.get_running_loop().time()
        assert len(vms.select_for_caller("a1", "a", now=now)) == 2
        task.cancel()

    run_scenario(scenario)


def test_a_registration_at_which_an_error_occurred_is_written_again():
    """Guards against a VM that stays unknown because its first write met an unexpected error."""

    async def scenario(world):
        _, registrations, task = start(world)

        async def fail(*_):
            raise RuntimeError("unexpected")

        world.client.put, put = fail, world.client.put
        with pytest.raises(RuntimeError):
            await registrations.register()
        world.client.put = put
        registering = asyncio.create_task(registrations.register())
        await wait_until(lambda: world.store.value(TABLE, KEY_PREFIX + "vm-1") is not None)
        registering.cancel()
        task.cancel()

    run_scenario(scenario)
