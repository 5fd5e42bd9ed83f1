"""Tables handed to VMs that start while the store is out of reach."""

import asyncio

from carawaybank.callers.listeners import listen, serve_text
from carawaybank.siblings.handover import Handover
from tests.routing.builders import make_router
from tests.store_world import beat, play, until


def test_a_vm_that_starts_in_an_outage_gets_the_tables_from_a_sibling():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        handover = Handover(watches=[world.watch], seeds=[], journal=world.journal)
        server = await listen("127.0.0.1:0", serve_text(handover.answer))
        seed = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        router = make_router()
        registry = world.make_registry(router)
        dead = "127.0.0.1:1"
        watch = world.make_watch("servers", registry.take, address=dead)
        late = Handover(watches=[watch], seeds=[dead, seed], journal=world.journal)
        await asyncio.wait_for(late.run(), 5.0)
        assert set(router.targets.all) == {"t1"}
        server.close()

    play(scenario)
