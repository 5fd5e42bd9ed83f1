"""Crash reports that entry VMs share through the store."""

import asyncio

from carawaybank.steering.quarantine import CrashReport
from carawaybank.targets.crashes import KEY_PREFIX, CrashReports
from tests.routing.builders import make_router
from tests.store_world import run_scenario, wait_until


def test_crash_reports_reach_other_vms():
    """A request that crashed targets of one VM must be quarantined by the others."""

    async def scenario(world):
        other_router = make_router(vm="vm-2")
        common = {"store": world.client, "table": "shared", "journal": world.journal}
        reader = CrashReports(router=other_router, **common)
        writer = CrashReports(router=world.router, **common)

        def apply(update):
            reader.apply(update.with_prefix(KEY_PREFIX))

        task = asyncio.create_task(world.make_watch("shared", apply).run())
        for number in range(3):
            writer.report(CrashReport("bad", f"t{number}", "vm-1"))
        await wait_until(lambda: other_router.quarantine.is_quarantined("bad", now=0.0))
        task.cancel()

    run_scenario(scenario)


def test_a_crash_that_several_vms_see_counts_once():
    """Guards against refusing a sound request after one crash of a target that it ran at."""

    async def scenario(world):
        common = {"store": world.client, "table": "shared", "journal": world.journal}
        writers = [CrashReports(router=make_router(vm=vm), **common) for vm in ("a", "b", "c")]
        crashes = CrashReports(router=world.router, **common)

        def apply(update):
            crashes.apply(update.with_prefix(KEY_PREFIX))

        def count_reports():
            return len([r for r in world.router.quarantine.reports() if r.fingerprint == "read"])

        task = asyncio.create_task(world.make_watch("shared", apply).run())
        for number, (vm, writer) in enumerate(zip("abc", writers, strict=True)):
            writer.report(CrashReport("read", "t1.5", vm))
            await wait_until(lambda n=number: count_reports() == n + 1)
        assert not world.router.quarantine.is_quarantined("read", now=0.0)
        for boot in ("t1.6", "t2.1"):
            writers[0].report(CrashReport("read", boot, "a"))
        await wait_until(lambda: world.router.quarantine.is_quarantined("read", now=0.0))
        task.cancel()

    run_scenario(scenario)


def test_own_reports_are_written_again_after_restore_of_store():
    """Guards against losing reports when the store is restored from a backup without them."""

    async def scenario(world):
        crashes = CrashReports(
            router=world.router, store=world.client, table="shared", journal=world.journal
        )

        def apply(update):
            crashes.apply(update.with_prefix(KEY_PREFIX))

        task = asyncio.create_task(world.make_watch("shared", apply).run())
        await world.store.put("shared", "other", b"{}")
        backup = world.store.make_backup()
        key = f"{KEY_PREFIX}bad.t1"
        crashes.report(CrashReport("bad", "t1", "vm-1"))
        await wait_until(lambda: world.store.value("shared", key))
        await wait_until(lambda: world.store.waiting_watches == 2)
        world.store.restore(backup)
        assert world.store.value("shared", key) is None
        await wait_until(lambda: world.store.value("shared", key))
        task.cancel()

    run_scenario(scenario)
