"""Crash reports that entry VMs share."""

import asyncio

from carawaybank.steering.quarantine import CrashReport
from carawaybank.targets.crashes import PREFIX, CrashReports
from tests.routing.builders import make_router
from tests.store_world import play, until


def test_crash_reports_reach_the_other_vms():
    async def scenario(world):
        others = make_router(vm="vm-2")
        parts = {"store": world.client, "table": "shared", "journal": world.journal}
        reader = CrashReports(router=others, **parts)
        writer = CrashReports(router=world.router, **parts)

        def take(changes):
            reader.take(changes.under(PREFIX))

        task = asyncio.create_task(world.make_watch("shared", take).run())
        for number in range(3):
            writer.report(CrashReport("bad", f"t{number}", "vm-1"))
        await until(lambda: others.quarantine.is_refused("bad", now=0.0))
        task.cancel()

    play(scenario)


def test_own_reports_that_the_store_lost_are_written_again():
    async def scenario(world):
        crashes = CrashReports(
            router=world.router, store=world.client, table="shared", journal=world.journal
        )

        def take(changes):
            crashes.take(changes.under(PREFIX))

        task = asyncio.create_task(world.make_watch("shared", take).run())
        await world.store.put("shared", "other", b"{}")
        copy = world.store.copy()
        key = f"{PREFIX}bad.t1"
        crashes.report(CrashReport("bad", "t1", "vm-1"))
        await until(lambda: world.store.value("shared", key))
        await until(lambda: world.store.waiting == 2)
        world.store.return_from(copy)
        assert world.store.value("shared", key) is None
        await until(lambda: world.store.value("shared", key))
        task.cancel()

    play(scenario)
