"""Tables handed to VMs that start while the store is out of reach."""

import asyncio
import contextlib

from carawaybank.callers.listeners import listen, serve_text
from carawaybank.replies import HttpReply
from carawaybank.siblings.handover import Handover
from tests.routing.builders import make_router
from tests.store_world import beat, play, until

DEAD = "127.0.0.1:1"


@contextlib.asynccontextmanager
async def serving(answer):
    """Yields the address of a control interface."""
    server = await listen("127.0.0.1:0", serve_text(answer))
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
    handover = Handover(watches=[world.watch], seeds=[], own_address="", journal=world.journal)
    return handover.answer


def start_late(world, router, *, seeds, own_address=""):
    """Returns the handover of a VM that starts while the store is out of reach."""
    watch = world.make_watch("servers", world.make_registry(router).take, address=DEAD)
    return Handover(watches=[watch], seeds=seeds, own_address=own_address, journal=world.journal)


def test_a_vm_that_starts_in_an_outage_gets_the_tables_from_a_sibling():
    async def scenario(world):
        async with serving(await sibling_of(world)) as seed:
            router = make_router()
            await asyncio.wait_for(start_late(world, router, seeds=[DEAD, seed]).run(), 5.0)
            assert set(router.targets.all) == {"t1"}

    play(scenario)


def test_a_silent_seed_does_not_delay_the_tables(monkeypatch):
    monkeypatch.setattr("carawaybank.siblings.handover._TIMEOUT_S", 60.0)

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
        unread = start_late(world, make_router(), seeds=[])
        async with serving(unread.answer) as other:
            await start_late(world, make_router(), seeds=[other])._ask_all()
        lines = map(str, world.lines)
        assert any("status 503: it has not read all tables" in line for line in lines)

    play(scenario)
