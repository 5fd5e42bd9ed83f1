"""A stand-in store and a target registry that follows it, for tests that read the store."""

import asyncio
import random

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.platform.adapter import PlatformAdapter
from carawaybank.siblings.sources import TableSource
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.targets.registry import Registry
from carawaybank.watch import TableWatch
from standins.rowstore import RowStore
from tests.routing.builders import make_router

REGIONS = {"a1": "a"}
EXPIRY_GRACE_S = 0.2
RECOVERY_S = 0.4


def target_row(number, **changes):
    entry = {
        "service": "ledger",
        "addr": f"10.0.0.{number}:80",
        "zone": "a1",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }
    return {**entry, **changes}


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def make_adapter(address):
    return PlatformAdapter(store_address=address, regions=REGIONS)


class StoreWorld:
    """A stand-in store, and the registry of one VM that follows its table of targets."""

    def __init__(self):
        self.lines = []
        self.journal = Journal(vm="vm-1", write=self.lines.append, lines_per_s=10_000)
        self.counters = Counters()
        self.router = make_router()
        self.store = RowStore()

    async def __aenter__(self):
        self.address = await self.store.start()
        self.adapter = make_adapter(self.address)
        self.client = self.adapter.store
        self.registry = self.make_registry(self.router)
        self.vms = VmDirectory(own=VmRecord("vm-1", "", "", "a1", "a", 1))
        self.watch = self.make_watch("servers", self.registry.apply)
        self.task = asyncio.create_task(self.watch.run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await self.store.stop()

    def make_registry(self, router):
        return Registry(
            router=router,
            read_target=self.adapter.read_target,
            expiry_grace_s=EXPIRY_GRACE_S,
            counters=self.counters,
            journal=self.journal,
        )

    def make_watch(self, table, on_update, address=None, batch_delay_s=0.0):
        store = make_adapter(address).store if address else self.client
        return TableWatch(
            selector=self.make_source(self.vms, store),
            table=table,
            on_update=on_update,
            journal=self.journal,
            batch_delay_s=lambda: batch_delay_s,
            recovery_s=RECOVERY_S,
        )

    def make_source(self, vms, store):
        return TableSource(vms=vms, store=store, journal=self.journal, rng=random.Random(1))

    @property
    def targets(self):
        return set(self.router.targets.by_id)

    def eligible_targets(self):
        return {target.entry.target_id for target in self.router.targets.eligible_targets("ledger")}

    def has_logged(self, text):
        return any(text in line.decode() for line in self.lines)


def run_scenario(scenario):
    async def run():
        async with StoreWorld() as world:
            await scenario(world)

    asyncio.run(run())


async def remove_rows_during_outage(world, names):
    world.store.set_error_status(503)
    await world.store.put("op", "x", {})
    await wait_until(lambda: world.has_logged('"lost"'))
    for name in names:
        await world.store.delete("servers", name)
    world.store.set_error_status(0)
    await wait_until(lambda: world.has_logged('"regained"'))
