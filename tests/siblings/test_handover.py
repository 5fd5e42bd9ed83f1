"""Tables handed to VMs that start while the store is out of reach."""

import asyncio
import contextlib

from carawaybank.callers.listeners import listen, serve, serve_text
from carawaybank.replies import HttpReply
from carawaybank.routing.departures import Departures
from carawaybank.siblings.handover import DEPARTURES_PATH, Handover
from carawaybank.siblings.tables import TableServer
from tests.routing.builders import make_router
from tests.store_world import beat, play, until

DEAD = "127.0.0.1:1"


@contextlib.asynccontextmanager
async def serving(answer):
    """Yields the address of a control interface."""
    make = serve(answer) if asyncio.iscoroutinefunction(answer) else serve_text(answer)
    server = await listen("127.0.0.1:0", make)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@contextlib.asynccontextmanager
async def silent():
    """Yields the address of a VM that takes connections and says nothing."""

    async def say_nothing(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def sibling_of(world):
    """Returns what a VM that has read the tables answers."""
    await world.store.put("servers", "t1", beat(1))
    await until(lambda: world.targets == {"t1"})
    return control_of(world, world.watch, world.router.targets.departures)


def control_of(world, watch, departures=None):
    """Returns what a VM's control interface answers to siblings."""
    handover = Handover(
        watches=[watch],
        departures=departures or Departures(),
        seeds=[],
        own_address="",
        journal=world.journal,
    )
    tables = TableServer(watches=[watch])

    async def answer(request):
        if request.path == DEPARTURES_PATH:
            return handover.answer(request)
        return await tables.answer(request)

    return answer


def start_late(world, router, *, seeds, own_address=""):
    """Returns the handover of a VM that starts while the store is out of reach."""
    watch = world.make_watch("servers", world.make_registry(router).take, address=DEAD)
    return Handover(
        watches=[watch],
        departures=router.targets.departures,
        seeds=seeds,
        own_address=own_address,
        journal=world.journal,
    )


def test_a_vm_that_starts_in_an_outage_gets_the_tables_from_a_sibling():
    async def scenario(world):
        async with serving(await sibling_of(world)) as seed:
            router = make_router()
            await asyncio.wait_for(start_late(world, router, seeds=[DEAD, seed]).run(), 5.0)
            assert set(router.targets.all) == {"t1"}

    play(scenario)


def test_a_silent_seed_does_not_delay_the_tables(monkeypatch):
    monkeypatch.setattr("carawaybank.siblings.handover._TIMEOUT_S", 60.0)
    monkeypatch.setattr("carawaybank.siblings.tables._TIMEOUT_S", 60.0)

    async def scenario(world):
        async with serving(await sibling_of(world)) as seed, silent() as lost:
            router = make_router()
            await asyncio.wait_for(start_late(world, router, seeds=[lost, seed]).run(), 5.0)
            assert set(router.targets.all) == {"t1"}

    play(scenario)


def test_a_vm_does_not_ask_itself():
    async def scenario(world):
        asked = []

        def refuse(request):
            asked.append(request.path)
            return HttpReply(503, [], b"")

        async with serving(await sibling_of(world)) as seed, serving(refuse) as own:
            late = start_late(world, make_router(), seeds=[own, seed], own_address=own)
            await asyncio.wait_for(late.run(), 5.0)
        assert asked == []

    play(scenario)


def test_the_log_says_that_a_seed_has_not_read_its_tables():
    async def scenario(world):
        unread = world.make_watch("servers", lambda changes: None, address=DEAD)
        async with serving(control_of(world, unread)) as other:
            await start_late(world, make_router(), seeds=[other])._fetch_from_seeds()
        lines = map(str, world.lines)
        assert any("status 503: it has not read the table" in line for line in lines)

    play(scenario)


def test_a_target_that_left_is_not_used_again_by_a_vm_that_starts_in_an_outage():
    async def scenario(world):
        control = await sibling_of(world)
        world.router.targets.note_leaving(world.router.targets.find("t1"))
        async with serving(control) as seed:
            router = make_router()
            await asyncio.wait_for(start_late(world, router, seeds=[seed]).run(), 5.0)
            assert set(router.targets.all) == {"t1"}
            assert not router.targets.usable("ledger")

    play(scenario)
