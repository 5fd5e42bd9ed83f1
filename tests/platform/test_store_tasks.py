"""The watches, the registry and the handover against a store that fails in its ways."""

import asyncio
import random

import pytest

from carawaybank.callers.listeners import listen, serve_text
from carawaybank.journal import Journal
from carawaybank.platform.crashes import TABLE as CRASHES
from carawaybank.platform.crashes import CrashReports
from carawaybank.platform.handover import Handover
from carawaybank.platform.registry import Registry
from carawaybank.platform.store import StoreClient, StoreError
from carawaybank.platform.watch import TableWatch
from carawaybank.steering.quarantine import CrashReport
from standins.rowstore import RowStore
from tests.routing.builders import make_router

REGIONS = {"a1": "a"}
GRACE_S = 0.2


def beat(number, **changes):
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


async def until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class World:
    """A store, and a VM's registry that follows it."""

    def __init__(self):
        self.lines = []
        self.journal = Journal(vm="vm-1", write=self.lines.append, lines_per_s=10_000)
        self.router = make_router()
        self.store = RowStore()

    async def __aenter__(self):
        self.address = await self.store.start()
        self.client = StoreClient(address=self.address)
        self.registry = Registry(
            router=self.router, regions=REGIONS, lapse_grace_s=GRACE_S, journal=self.journal
        )
        self.watch = self.make_watch("servers", self.registry.take)
        self.task = asyncio.create_task(self.watch.run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await self.store.stop()

    def make_watch(self, table, on_changes, address=None):
        store = StoreClient(address=address) if address else self.client
        return TableWatch(
            store=store,
            table=table,
            on_changes=on_changes,
            journal=self.journal,
            rng=random.Random(1),
        )

    @property
    def targets(self):
        return set(self.router.targets.all)

    def usable(self):
        return {target.entry.target_id for target in self.router.targets.usable("ledger")}

    def saw(self, text):
        return any(text in line.decode() for line in self.lines)


def play(scenario):
    async def run():
        async with World() as world:
            await scenario(world)

    asyncio.run(run())


def test_targets_follow_the_registry():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: world.targets == {"t1", "t2"})
        await world.store.put("servers", "t1", beat(1, state="draining", seq=2))
        await until(lambda: world.usable() == {"t2"})
        await world.store.drop("servers", "t2")
        await until(lambda: world.targets == {"t1"})

    play(scenario)


def test_entries_of_other_writers_are_passed_over_and_noted():
    async def scenario(world):
        await world.store.put("servers", "bad", b"\xff\x00")
        await world.store.put("servers", "odd", {**beat(1), "slots": None})
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        assert world.saw("entry passed over")

    play(scenario)


def test_a_forgotten_history_is_read_anew():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        world.store.rows.pop(("servers", "t1"))
        world.store.fail(503)
        await world.store.put("servers", "t2", beat(2))
        world.store.forget_history()
        world.store.fail(0)
        await until(lambda: world.targets == {"t2"})

    play(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_targets_stay_while_the_store_refuses_and_are_followed_again(status):
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        world.store.fail(status)
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: world.saw('"lost"'))
        assert world.targets == {"t1"}
        world.store.fail(0)
        await until(lambda: world.targets == {"t1", "t2"})
        assert world.saw('"regained"')

    play(scenario)


async def lose_while_down(world, names):
    world.store.fail(503)
    await world.store.put("op", "x", {})
    await until(lambda: world.saw('"lost"'))
    for name in names:
        await world.store.drop("servers", name)
    world.store.fail(0)
    await until(lambda: world.saw('"regained"'))


def test_the_few_entries_missing_after_an_outage_are_gone_at_once():
    async def scenario(world):
        for number in range(1, 6):
            await world.store.put("servers", f"t{number}", beat(number))
        await until(lambda: len(world.targets) == 5)
        await lose_while_down(world, ["t1", "t2"])
        await until(lambda: world.targets == {"t3", "t4", "t5"}, timeout_s=GRACE_S)

    play(scenario)


def test_entries_that_lapsed_together_are_kept_until_the_grace_time_is_over():
    async def scenario(world):
        names = [f"t{number}" for number in range(1, 5)]
        for number, name in enumerate(names, start=1):
            await world.store.put("servers", name, beat(number))
        await until(lambda: len(world.targets) == 4)
        await lose_while_down(world, names)
        assert world.targets == set(names)
        await world.store.put("servers", "t1", beat(1, seq=5))
        await until(lambda: world.targets == {"t1"})
        await asyncio.sleep(2 * GRACE_S)
        assert world.targets == {"t1"}

    play(scenario)


def test_a_watch_that_went_silent_is_started_again_when_a_sibling_is_ahead():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        calls = len(world.store.calls)
        while len(world.store.calls) == calls:
            world.watch.compare(99)
            await asyncio.sleep(0.05)
        assert world.saw("watch is behind")

    play(scenario)


def test_a_vm_that_starts_in_an_outage_gets_the_tables_from_a_sibling():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        handover = Handover(watches=[world.watch], seeds=[], journal=world.journal)
        server = await listen("127.0.0.1:0", serve_text(handover.answer))
        seed = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        router = make_router()
        registry = Registry(
            router=router, regions=REGIONS, lapse_grace_s=GRACE_S, journal=world.journal
        )
        dead = "127.0.0.1:1"
        watch = world.make_watch("servers", registry.take, address=dead)
        late = Handover(watches=[watch], seeds=[dead, seed], journal=world.journal)
        await asyncio.wait_for(late.run(), 5.0)
        assert set(router.targets.all) == {"t1"}
        server.close()

    play(scenario)


def test_crash_reports_reach_the_other_vms():
    async def scenario(world):
        others = make_router(vm="vm-2")
        reader = CrashReports(router=others, store=world.client, journal=world.journal)
        writer = CrashReports(router=world.router, store=world.client, journal=world.journal)
        task = asyncio.create_task(world.make_watch(CRASHES, reader.take).run())
        for number in range(3):
            writer.report(CrashReport("bad", f"t{number}", "vm-1"))
        await until(lambda: others.quarantine.is_refused("bad", now=0.0))
        task.cancel()

    play(scenario)


def test_a_write_without_an_answer_is_an_error_and_not_a_success():
    async def scenario(world):
        world.store.loses_answers = True
        call = asyncio.create_task(world.client.put("t", "k", b"v"))
        await until(lambda: world.store.value("t", "k") == b"v")
        with pytest.raises(StoreError):
            await call

    play(scenario)
