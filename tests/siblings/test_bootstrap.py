"""Tables that a VM fetches from siblings when it starts during an outage of the store."""

import asyncio
import contextlib

from carawaybank.callers.listeners import connection_factory, listen, sync_connection_factory
from carawaybank.replies import HttpReply
from carawaybank.routing.departures import Departures
from carawaybank.siblings.bootstrap import DEPARTURES_PATH, Bootstrap
from carawaybank.siblings.tables import TableServer
from tests.routing.builders import make_router
from tests.store_world import run_scenario, target_row, wait_until

UNREACHABLE = "127.0.0.1:1"


@contextlib.asynccontextmanager
async def serving(handle):
    """Yields the address of a control interface that responds with ``handle``."""
    protocol = (
        connection_factory(handle)
        if asyncio.iscoroutinefunction(handle)
        else sync_connection_factory(handle)
    )
    server = await listen("127.0.0.1:0", protocol)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@contextlib.asynccontextmanager
async def serving_nothing():
    """Yields the address of a VM that accepts connections and sends no response."""

    async def send_nothing(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(send_nothing, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def loaded_handler(world):
    """Returns the request handler of a VM that has read the tables."""
    await world.store.put("servers", "t1", target_row(1))
    await wait_until(lambda: world.targets == {"t1"})
    return control_handler(world, world.watch, world.router.targets.departures)


def control_handler(world, watch, departures=None):
    """Returns the request handler of a VM's control interface."""
    bootstrap = Bootstrap(
        watches=[watch],
        departures=departures or Departures(),
        seeds=[],
        own_address="",
        journal=world.journal,
    )
    tables = TableServer(watches=[watch])

    async def handle(request):
        if request.path == DEPARTURES_PATH:
            return bootstrap.handle(request)
        return await tables.handle(request)

    return handle


def make_bootstrap(world, router, *, seeds, own_address=""):
    """Returns the bootstrap of a VM that starts while the store is unreachable."""
    watch = world.make_watch("servers", world.make_registry(router).apply, address=UNREACHABLE)
    return Bootstrap(
        watches=[watch],
        departures=router.targets.departures,
        seeds=seeds,
        own_address=own_address,
        journal=world.journal,
    )


def test_vm_that_starts_in_outage_gets_tables_from_sibling():
    """An outage of the store must not keep a new VM from its targets if a sibling has them."""

    async def scenario(world):
        async with serving(await loaded_handler(world)) as seed:
            router = make_router()
            await asyncio.wait_for(
                make_bootstrap(world, router, seeds=[UNREACHABLE, seed]).run(), 5.0
            )
            assert set(router.targets.by_id) == {"t1"}

    run_scenario(scenario)


def test_unresponsive_seed_does_not_delay_tables(monkeypatch):
    """Guards against asking the seeds one after the other: one may not respond until a timeout."""
    monkeypatch.setattr("carawaybank.siblings.bootstrap._TIMEOUT_S", 60.0)
    monkeypatch.setattr("carawaybank.siblings.tables._TIMEOUT_S", 60.0)

    async def scenario(world):
        async with serving(await loaded_handler(world)) as seed, serving_nothing() as unresponsive:
            router = make_router()
            await asyncio.wait_for(
                make_bootstrap(world, router, seeds=[unresponsive, seed]).run(), 5.0
            )
            assert set(router.targets.by_id) == {"t1"}

    run_scenario(scenario)


def test_vm_sends_no_requests_to_itself():
    """The seeds of the settings may contain the address of the VM itself."""

    async def scenario(world):
        paths = []

        def refuse(request):
            paths.append(request.path)
            return HttpReply(503, [], b"")

        async with serving(await loaded_handler(world)) as seed, serving(refuse) as own:
            bootstrap = make_bootstrap(world, make_router(), seeds=[own, seed], own_address=own)
            await asyncio.wait_for(bootstrap.run(), 5.0)
        assert paths == []

    run_scenario(scenario)


def test_log_names_seed_without_tables():
    """An operator must be able to see why a VM that starts in an outage gets no tables."""

    async def scenario(world):
        unloaded_watch = world.make_watch("servers", lambda changes: None, address=UNREACHABLE)
        async with serving(control_handler(world, unloaded_watch)) as other:
            await make_bootstrap(world, make_router(), seeds=[other])._fetch_from_seeds()
        lines = map(str, world.lines)
        assert any("status 503: it has not read the table" in line for line in lines)

    run_scenario(scenario)


def test_departed_target_is_not_used_by_vm_that_starts_in_outage():
    """Guards against using a target whose departure only siblings know, not its row."""

    async def scenario(world):
        control = await loaded_handler(world)
        world.router.targets.record_departure(world.router.targets.find("t1"))
        async with serving(control) as seed:
            router = make_router()
            await asyncio.wait_for(make_bootstrap(world, router, seeds=[seed]).run(), 5.0)
            assert set(router.targets.by_id) == {"t1"}
            assert not router.targets.eligible_targets("ledger")

    run_scenario(scenario)
