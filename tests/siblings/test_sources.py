"""Readers of a failure domain: who calls the store, and what happens when a reader is lost."""

import asyncio
import random
import zlib

import msgspec
import pytest

from carawaybank.callers.listeners import listen, serve
from carawaybank.rows import Position, Row, Rows, StoreError
from carawaybank.siblings import liveness, tables
from carawaybank.siblings.sources import TableSource
from carawaybank.siblings.tables import TableServer
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.watch import TableWatch
from tests.store_world import beat, make_adapter, play, until

VMS = 6
BEAT_S = 0.05
#: The longest time in seconds for a change to reach all VMs while a reader is lost: the smallest
#: bound for a configuration to be in force on the deployments.
BOUND_S = 2.5


class Vm:
    """A VM that follows the targets and serves them to siblings."""

    def __init__(self, *, world, number):
        self.world = world
        self.number = number
        self.store = make_adapter(world.address).store
        self.is_silent = False
        self.outages = 0

    async def start(self):
        self.server = await listen("127.0.0.1:0", serve(self.answer))
        address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        name = f"vm-{self.number}"
        self.record = VmRecord(name, "", "", "a1", "a", 1, control_address=address)
        self.vms = VmDirectory(own=self.record)
        source = TableSource(
            vms=self.vms, store=self.store, journal=self.world.journal, rng=random.Random(1)
        )
        self.watch = TableWatch(
            source=source,
            table="servers",
            on_changes=self.note_changes,
            journal=self.world.journal,
        )
        self.tables = TableServer(watches=[self.watch])
        self.task = None

    def note_changes(self, changes):
        self.outages += changes.after_outage

    async def answer(self, request):
        while self.is_silent:
            await asyncio.sleep(0.05)
        reply = await self.tables.answer(request)
        while self.is_silent:
            await asyncio.sleep(0.05)
        return reply

    @property
    def is_reader(self):
        return self.record in self.vms.readers(now=asyncio.get_running_loop().time())

    @property
    def targets(self):
        return {row.key for row in self.watch.rows.rows}

    def tell(self, others, now):
        heartbeat = self.vms.make_heartbeat({"servers": self.watch.known_at})
        for other in others:
            if other is not self:
                other.vms.record_heartbeat(heartbeat, now=now)
                other.watch.compare(heartbeat.positions["servers"])
        self.watch.review()


class Fleet:
    """The VMs of a failure domain, which hear each other."""

    def __init__(self, *, world):
        self.vms = [Vm(world=world, number=number) for number in range(VMS)]

    async def __aenter__(self):
        for vm in self.vms:
            await vm.start()
        now = asyncio.get_running_loop().time()
        for vm in self.vms:
            for other in self.vms:
                vm.vms.update(other.record, now=now)
        self.beats = asyncio.create_task(self.exchange())
        for vm in sorted(self.vms, key=lambda vm: not vm.is_reader):
            vm.task = asyncio.create_task(vm.watch.run())
            await until(lambda vm=vm: vm.watch.is_loaded)
        return self

    async def __aexit__(self, *_):
        self.beats.cancel()
        for vm in self.vms:
            vm.task.cancel()
            vm.server.close()

    async def exchange(self):
        while True:
            now = asyncio.get_running_loop().time()
            for vm in self.vms:
                if not vm.is_silent:
                    vm.tell(self.vms, now)
            await asyncio.sleep(BEAT_S)

    @property
    def readers(self):
        return [vm for vm in self.vms if vm.is_reader and not vm.is_silent]

    @property
    def store_calls(self):
        return sum(sum(vm.store.calls.values()) for vm in self.vms)

    async def lose_the_store(self):
        readers = self.readers
        self.vms[0].world.store.fail(503)
        await until(lambda: not any(vm.vms.reaches_store for vm in readers))

    async def until_all_have(self, targets, timeout_s=BOUND_S):
        live = [vm for vm in self.vms if not vm.is_silent]
        await until(lambda: all(vm.targets == targets for vm in live), timeout_s)


def play_fleet(scenario):
    async def run(world):
        async with Fleet(world=world) as fleet:
            await world.store.put("servers", "t1", beat(1))
            await fleet.until_all_have({"t1"})
            await scenario(world, fleet)

    play(run)


def test_only_readers_call_the_store():
    async def scenario(world, fleet):
        await until(lambda: sum("rows-feed" in call for call in world.store.calls))
        before = {vm.record.vm: dict(vm.store.calls) for vm in fleet.vms}
        for number in range(2, 12):
            await world.store.put("servers", f"t{number}", beat(number))
            await asyncio.sleep(0.03)
        await fleet.until_all_have({f"t{number}" for number in range(1, 12)})
        called = {vm.record.vm for vm in fleet.vms if vm.store.calls != before[vm.record.vm]}
        assert called == {vm.record.vm for vm in fleet.readers}
        assert len(called) == liveness.READERS

    play_fleet(scenario)


@pytest.mark.parametrize("lost", [1, 2])
def test_silent_readers_are_replaced_within_the_bound(lost):
    async def scenario(world, fleet):
        for vm in fleet.readers[:lost]:
            vm.is_silent = True
        await world.store.put("servers", "t2", beat(2))
        await fleet.until_all_have({"t1", "t2"})

    play_fleet(scenario)


def test_readers_that_end_are_replaced_within_the_bound():
    async def scenario(world, fleet):
        for vm in fleet.readers:
            vm.is_silent = True
            vm.task.cancel()
            vm.server.close()
        await world.store.put("servers", "t2", beat(2))
        await fleet.until_all_have({"t1", "t2"})

    play_fleet(scenario)


def test_a_reader_that_the_store_turns_away_is_replaced_within_the_bound():
    async def scenario(world, fleet):
        turned_away = fleet.readers[0]
        turned_away.store._address = "127.0.0.1:1"
        turned_away.store._pool.close_all()
        turned_away.watch._call.cancel()
        await world.store.put("servers", "t2", beat(2))
        await fleet.until_all_have({"t1", "t2"})
        assert turned_away not in fleet.readers

    play_fleet(scenario)


def test_an_outage_of_the_store_is_known_to_all_that_follow_a_reader():
    async def scenario(world, fleet):
        await fleet.lose_the_store()
        world.store.fail(0)
        await world.store.put("servers", "t2", beat(2))
        await fleet.until_all_have({"t1", "t2"}, timeout_s=5.0)
        assert all(vm.outages for vm in fleet.vms)

    play_fleet(scenario)


def test_the_whole_fleet_calls_a_dark_store_no_more_often_than_its_readers_may():
    async def scenario(world, fleet):
        await fleet.lose_the_store()
        await asyncio.sleep(1.5)  # all VMs in turn have taken the place of the readers by then
        before = fleet.store_calls
        await asyncio.sleep(2.0)
        assert fleet.store_calls - before <= liveness.READERS * 2.0 / 0.45

    play_fleet(scenario)


def test_a_sibling_that_has_read_less_is_not_believed():
    async def scenario(world, fleet):
        follower = next(vm for vm in fleet.vms if not vm.is_reader)
        follower.watch._changed_at = Position(1, 10_000)
        follower.watch._needs_whole = True
        follower.watch._call.cancel()
        await until(lambda: world.saw("it has read less than is known here"))

    play_fleet(scenario)


def test_followers_read_for_themselves_while_the_store_is_silent_for_all_readers():
    """Readers whose calls get no answer see no failure; another failure domain knows more."""

    async def scenario(world, fleet):
        silent = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
        address = f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        for vm in fleet.readers:
            vm.store._address = address
            vm.store._pool.close_all()
            vm.watch.renew()
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: world.watch.rows.version > 1)
        now = asyncio.get_running_loop().time()
        stranger = VmDirectory(own=VmRecord("far", "", "", "b1", "b", 1))
        for vm in fleet.readers:
            vm.vms.record_heartbeat(stranger.make_heartbeat({}), now=now)
            vm.watch.compare(world.watch.changed_at)
        followers = [vm for vm in fleet.vms if vm not in fleet.readers]
        await until(lambda: all(vm.targets == {"t1", "t2"} for vm in followers), BOUND_S)
        silent.close()

    play_fleet(scenario)


async def say_nothing(reader, writer):
    await reader.read()
    writer.close()


def test_a_large_configuration_is_small_between_siblings():
    """It goes to all VMs of a failure domain over a link of 10 Mbit/s, within 4 s."""
    routes = [
        {
            "resKind": "routes",
            "metadata": {"name": f"r-{number * 7919:x}"},
            "spec": {
                "host": f"{number * 104729:x}.example",
                "prefix": f"/{number * 1299709:x}/",
                "kind": "idempotent",
                "timeoutMs": 1500,
                "service": "ledger",
                "attempts": 2,
            },
        }
        for number in range(1_000)
    ]
    value = msgspec.json.encode({"version": "0000001a", "resources": routes})
    found = Rows([Row("config", value, 26, removed=False)], 26)
    data = tables.encode(found)
    assert tables.decode(data) == found
    followers, link_bytes_s = 100, 10e6 / 8
    assert followers * len(data) / link_bytes_s < 4.0


@pytest.mark.parametrize(
    "data", [b"", b"{}", zlib.compress(b"{}"), tables.encode(Rows([], 1))[:-6]]
)
def test_rows_that_cannot_be_read_are_a_failure_of_the_sibling(data):
    with pytest.raises(StoreError):
        tables.decode(data)


def test_an_outage_of_hours_ends_no_watch():
    async def scenario(world):
        source = world.make_source(world.vms, world.client)
        source._failures = 100_000
        async with asyncio.timeout(2.0):
            await source.wait_for_turn(world.client)

    play(scenario)
