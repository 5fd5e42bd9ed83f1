"""Readers of a failure domain: which VMs call the store, and how lost readers are replaced."""

import asyncio
import random

import pytest

from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.callers.listeners import listen
from carawaybank.routing.configuration import Limits
from carawaybank.rows import Position, StoreError
from carawaybank.siblings import heartbeat, liveness
from carawaybank.siblings.sources import TableSource
from carawaybank.siblings.tables import TableServer
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.watch import TableWatch
from tests.store_world import make_adapter, run_scenario, target_row, wait_until

VM_COUNT = 6
HEARTBEAT_S = 0.05
#: Time limit in seconds for a change to reach all VMs while a reader is lost. It is the smallest
#: limit of the deployments for bringing a configuration into force.
TIME_LIMIT_S = 2.5
#: What is left of that limit when TCP keep-alive has ended a silent connection.
TIME_LEFT_S = 0.5


class Vm:
    """A VM that follows the table of targets and serves it to siblings."""

    def __init__(self, *, world, number, domain="a1"):
        self.domain = domain
        self.world = world
        self.number = number
        self.store = make_adapter(world.address).store
        self.is_unresponsive = False
        self.outages = 0

    async def start(self):
        context = ConnectionContext(handle=self.handle, limits=Limits, is_closing=lambda: False)
        self.connections = set()
        self.server = await listen(
            "127.0.0.1:0", lambda: CallerConnection(context=context, connections=self.connections)
        )
        address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        name = f"vm-{self.number}"
        self.record = VmRecord(name, "", "", self.domain, "a", 1, control_address=address)
        self.vms = VmDirectory(own=self.record)
        source = TableSource(
            vms=self.vms, store=self.store, journal=self.world.journal, rng=random.Random(1)
        )
        self.watch = TableWatch(
            selector=source,
            table="servers",
            on_update=self.count_outages,
            journal=self.world.journal,
        )
        self.tables = TableServer(watches=[self.watch])
        self.task = None

    def count_outages(self, update):
        self.outages += update.after_outage

    async def handle(self, request):
        while self.is_unresponsive:
            await asyncio.sleep(0.05)
        reply = await self.tables.handle(request)
        while self.is_unresponsive:
            await asyncio.sleep(0.05)
        return reply

    @property
    def is_reader(self):
        return self.record in self.vms.readers(now=asyncio.get_running_loop().time())

    @property
    def targets(self):
        return {row.key for row in self.watch.rows.rows}

    def send_heartbeat(self, others, now):
        heartbeat = self.vms.make_heartbeat({"servers": self.watch.newest_known_position})
        for other in others:
            if other is not self:
                other.vms.record_heartbeat(heartbeat, now=now)
                position = heartbeat.positions["servers"]
                has_read = self.watch.newest_read_position >= position
                name = heartbeat.vm if has_read else ""
                other.watch.record_sibling_position(position, vm=name)
        self.watch.recheck_reader()


class Fleet:
    """The VMs of a failure domain, which exchange heartbeats."""

    def __init__(self, *, world, heartbeat_s=HEARTBEAT_S):
        self.heartbeat_s = heartbeat_s
        self.vms = [Vm(world=world, number=number) for number in range(VM_COUNT)]

    async def __aenter__(self):
        for vm in self.vms:
            await vm.start()
        now = asyncio.get_running_loop().time()
        for vm in self.vms:
            for other in self.vms:
                vm.vms.update(other.record, now=now)
        self.heartbeats = asyncio.create_task(self.exchange_heartbeats())
        for vm in sorted(self.vms, key=lambda vm: not vm.is_reader):
            vm.task = asyncio.create_task(vm.watch.run())
            await wait_until(lambda vm=vm: vm.watch.is_loaded)
        return self

    async def __aexit__(self, *_):
        self.heartbeats.cancel()
        for vm in self.vms:
            vm.task.cancel()
            vm.server.close()

    async def exchange_heartbeats(self):
        while True:
            now = asyncio.get_running_loop().time()
            for vm in self.vms:
                if not vm.is_unresponsive:
                    vm.send_heartbeat(self.vms, now)
            await asyncio.sleep(self.heartbeat_s)

    @property
    def readers(self):
        return [vm for vm in self.vms if vm.is_reader and not vm.is_unresponsive]

    @property
    def store_calls(self):
        return sum(sum(vm.store.calls.values()) for vm in self.vms)

    async def fail_store(self):
        readers = self.readers
        self.vms[0].world.store.set_error_status(503)
        await wait_until(lambda: not any(vm.vms.reaches_store for vm in readers))

    def break_connections(self):
        """Breaks all connections to the store and between VMs; new ones work."""
        self.vms[0].world.store.close_connections()
        for vm in self.vms:
            for connection in list(vm.connections):
                connection.close()

    async def wait_until_all_have(self, targets, timeout_s=TIME_LIMIT_S):
        live = [vm for vm in self.vms if not vm.is_unresponsive]
        await wait_until(lambda: all(vm.targets == targets for vm in live), timeout_s)


def run_fleet(scenario, **options):
    async def run(world):
        async with Fleet(world=world, **options) as fleet:
            await world.store.put("servers", "t1", target_row(1))
            await fleet.wait_until_all_have({"t1"})
            await scenario(world, fleet)

    run_scenario(run)


def test_only_readers_call_the_store():
    """Guards against calls to the store that grow with the number of VMs."""

    async def scenario(world, fleet):
        await wait_until(lambda: sum("rows-feed" in call for call in world.store.calls))
        before = {vm.record.vm: dict(vm.store.calls) for vm in fleet.vms}
        for number in range(2, 12):
            await world.store.put("servers", f"t{number}", target_row(number))
            await asyncio.sleep(0.03)
        await fleet.wait_until_all_have({f"t{number}" for number in range(1, 12)})
        called = {vm.record.vm for vm in fleet.vms if vm.store.calls != before[vm.record.vm]}
        assert called == {vm.record.vm for vm in fleet.readers}
        assert len(called) == liveness.READER_COUNT

    run_fleet(scenario)


@pytest.mark.parametrize("lost", [1, 2])
def test_unresponsive_readers_are_replaced_within_limit(lost):
    """Readers that lose power close no connections; only missing heartbeats show the loss."""

    async def scenario(world, fleet):
        for vm in fleet.readers[:lost]:
            vm.is_unresponsive = True
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"})

    run_fleet(scenario)


def test_ended_readers_are_replaced_within_limit():
    """Followers of readers that ended must get changes through the next readers."""

    async def scenario(world, fleet):
        for vm in fleet.readers:
            vm.is_unresponsive = True
            vm.task.cancel()
            vm.server.close()
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"})

    run_fleet(scenario)


def test_reader_that_cannot_reach_store_is_replaced_within_limit():
    """A reader may lose its path to the store while its heartbeats still arrive."""

    async def scenario(world, fleet):
        isolated = fleet.readers[0]
        isolated.store._address = "127.0.0.1:1"
        isolated.store._pool.close_all()
        isolated.watch._open_call.cancel()
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"})
        assert isolated not in fleet.readers

    run_fleet(scenario)


def test_outage_of_store_is_known_to_followers_of_readers():
    """Followers must treat changes after an outage as such, though they do not call the store."""

    async def scenario(world, fleet):
        await fleet.fail_store()
        world.store.set_error_status(0)
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"}, timeout_s=5.0)
        assert all(vm.outages for vm in fleet.vms)

    run_fleet(scenario)


def test_calls_of_fleet_to_unavailable_store_are_limited_to_those_of_readers():
    """Guards against load on a failing store as each VM becomes a reader and retries."""

    async def scenario(world, fleet):
        await fleet.fail_store()
        await asyncio.sleep(1.5)  # each VM has been a reader by then
        before = fleet.store_calls
        await asyncio.sleep(2.0)
        assert fleet.store_calls - before <= liveness.READER_COUNT * 2.0 / 0.45

    run_fleet(scenario)


def test_connections_that_break_together_delay_no_change():
    """Guards against a pause, or a search for other readers, after the loss of open connections.

    All silent connections are noticed at the same moment, by TCP keep-alive.
    """

    async def scenario(world, fleet):
        await wait_until(lambda: world.store.waiting_watches)
        fleet.break_connections()
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"}, TIME_LEFT_S)
        assert not world.has_logged('"lost"')

    run_fleet(scenario, heartbeat_s=heartbeat.INTERVAL_S)


def test_no_vm_waits_for_a_sibling_that_does_not_read_the_store():
    """Guards against VMs that follow each other after all readers lost the store together."""

    async def scenario(world, fleet):
        await asyncio.sleep(2 * heartbeat.INTERVAL_S)
        world.store.set_error_status(503)
        fleet.break_connections()
        await wait_until(lambda: not any(vm.vms.reaches_store for vm in fleet.readers))
        world.store.set_error_status(0)
        await world.store.put("servers", "t2", target_row(2))
        await fleet.wait_until_all_have({"t1", "t2"}, 2 * TIME_LEFT_S)

    run_fleet(scenario, heartbeat_s=heartbeat.INTERVAL_S)


def test_rows_of_lagging_sibling_are_rejected():
    """Guards against replacing rows by older ones of a sibling that is lagging."""

    async def scenario(world, fleet):
        follower = next(vm for vm in fleet.vms if not vm.is_reader)
        follower.watch._newest_read_position = Position(1, 10_000)
        follower.watch._needs_full_read = True
        await wait_until(lambda: follower.watch._open_call)
        follower.watch.restart_call()
        await wait_until(lambda: world.has_logged("it has read less than is known here"))

    run_fleet(scenario)


def test_followers_read_store_while_it_does_not_respond_to_any_reader():
    """Calls of readers without a response are no failures yet, so the readers stay in place.

    Heartbeats of another failure domain show that the readers are lagging.
    """

    async def scenario(world, fleet):
        unresponsive = await asyncio.start_server(send_nothing, "127.0.0.1", 0)
        address = f"127.0.0.1:{unresponsive.sockets[0].getsockname()[1]}"
        for vm in fleet.readers:
            vm.store._address = address
            vm.store._pool.close_all()
            vm.watch.restart_call()
        await world.store.put("servers", "t2", target_row(2))
        await wait_until(lambda: world.watch.rows.version > 1)
        now = asyncio.get_running_loop().time()
        remote = VmDirectory(own=VmRecord("far", "", "", "b1", "b", 1))
        for vm in fleet.readers:
            vm.vms.record_heartbeat(remote.make_heartbeat({}), now=now)
            vm.watch.record_sibling_position(world.watch.newest_read_position)
        followers = [vm for vm in fleet.vms if vm not in fleet.readers]
        await wait_until(lambda: all(vm.targets == {"t1", "t2"} for vm in followers), TIME_LIMIT_S)
        unresponsive.close()

    run_fleet(scenario)


@pytest.mark.parametrize("is_refused", [False, True])
def test_a_failure_domain_without_the_store_gets_changes_from_the_vm_that_reports_them(is_refused):
    """Guards against VMs that wait for readers which are cut off from the store as they are."""

    async def scenario(world, fleet):
        far = Vm(world=world, number=VM_COUNT, domain="b1")
        await far.start()
        far.task = asyncio.create_task(far.watch.run())
        now = asyncio.get_running_loop().time()
        for vm in fleet.vms:
            vm.vms.update(far.record, now=now)
        unresponsive = await asyncio.start_server(send_nothing, "127.0.0.1", 0)
        port = unresponsive.sockets[0].getsockname()[1]
        readers = fleet.readers
        for vm in fleet.vms:
            vm.store._address = "127.0.0.1:1" if is_refused else f"127.0.0.1:{port}"
            vm.store._pool.close_all()
            vm.watch.restart_call()
        await world.store.put("servers", "t2", target_row(2))
        await wait_until(lambda: far.targets == {"t1", "t2"})
        started_at = asyncio.get_running_loop().time()
        while not all(vm.targets == {"t1", "t2"} for vm in fleet.vms):
            far.send_heartbeat(readers, asyncio.get_running_loop().time())
            await asyncio.sleep(heartbeat.INTERVAL_S / 4)
            assert asyncio.get_running_loop().time() - started_at < TIME_LIMIT_S
        far.task.cancel()
        far.server.close()
        unresponsive.close()

    run_fleet(scenario, heartbeat_s=heartbeat.INTERVAL_S)


def test_a_sibling_that_cannot_be_asked_does_not_keep_a_vm_from_the_store():
    """Guards against heartbeats that end each pause before a call to a store that failed."""

    async def scenario(world):
        await wait_until(lambda: world.watch.is_loaded)
        record = VmRecord("vm-2", "", "", "b1", "b", 1, control_address="127.0.0.1:1")
        world.vms.update(record, now=asyncio.get_running_loop().time())
        world.store.set_error_status(503)
        await wait_until(lambda: world.has_logged('"lost"'))
        started_at = asyncio.get_running_loop().time()
        while world.targets != {"t1"}:
            world.watch.record_sibling_position(Position(1, 99), vm="vm-2")
            await asyncio.sleep(HEARTBEAT_S)
            elapsed_s = asyncio.get_running_loop().time() - started_at
            assert elapsed_s < 2.0 + TIME_LIMIT_S
            if elapsed_s > 2.0 and world.store.error_status:
                world.store.set_error_status(0)
                await world.store.put("servers", "t1", target_row(1))

    run_scenario(scenario)


async def send_nothing(reader, writer):
    await reader.read()
    writer.close()


def test_pause_does_not_overflow_after_many_failures():
    """Guards against an overflow of the growing pause that ends the watch after hours of outage."""

    async def scenario(world):
        source = world.make_source(world.vms, world.client)
        source._failures = 100_000
        async with asyncio.timeout(2.0):
            await source.wait_for_call_slot(world.client)

    run_scenario(scenario)


def test_the_first_response_of_the_store_ends_the_pauses_of_all_tables():
    """Guards against tables that are read one pause after the other once the store responds."""

    async def scenario(world):
        source = world.make_source(world.vms, world.client)
        for _ in range(20):
            source.record_failure(world.client, StoreError(message="no response"))
        slots = [asyncio.create_task(source.wait_for_call_slot(world.client)) for _ in range(3)]
        await asyncio.wait(slots, return_when=asyncio.FIRST_COMPLETED)
        source.record_success(world.client)
        async with asyncio.timeout(0.1):
            await asyncio.gather(*slots)

    run_scenario(scenario)


def test_readers_of_other_domains_are_read_after_those_of_the_own_one_lagged():
    """Guards against a failure domain that tries its lagging readers one after the other.

    With the store refusing most VMs of a domain, they had a configuration 2.9 to 4 s late.
    """

    def record(vm, domain, region):
        return VmRecord(vm, "", "", domain, region, 1, control_address=f"{vm}:1")

    async def run(world):
        own = record("o1", "a1", "a")
        vms = VmDirectory(own=own)
        now = asyncio.get_running_loop().time()
        peers = [record(f"p{number}", "a1", "a") for number in range(4)]
        nearby = [record(f"near{number}", "a2", "a") for number in range(2)]
        remote = [record(f"other{number}", "b1", "b") for number in range(2)]
        for other in [*peers, *nearby, *remote]:
            vms.update(other, now=now)
        source = TableSource(
            vms=vms, store=make_adapter("").store, journal=world.journal, rng=random.Random(1)
        )
        vms.reaches_store = False
        lagging = source.select_reader()
        assert lagging.address in {peer.control_address for peer in peers}
        for domain in (nearby, nearby, remote, remote):
            source.record_lag(lagging)
            lagging = source.select_reader()
            assert lagging.address in {other.control_address for other in domain}

    run_scenario(run)
