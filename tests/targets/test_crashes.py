"""Crash reports that entry VMs share through the store."""

import asyncio
import contextlib

from carawaybank.routing.messages import AttemptResult
from carawaybank.rows import Row, TableUpdate
from carawaybank.steering.quarantine import CrashReport
from carawaybank.targets.crashes import KEY_PREFIX, CrashReports
from carawaybank.verdicts import Answered
from tests.routing.builders import make_request, make_router, make_target
from tests.store_world import run_scenario, wait_until

TARGETS = [f"t{number}.1" for number in range(4)]


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


class VmOfWorld:
    """The router of a VM that follows the crash reports of a store."""

    def __init__(self, *, world, name):
        self.router = make_router(make_target(1), vm=name)
        self.crashes = CrashReports(
            router=self.router, store=world.client, table="shared", journal=world.journal
        )
        self.task = asyncio.create_task(world.make_watch("shared", self.apply).run())

    def apply(self, update):
        self.crashes.apply(update.with_prefix(KEY_PREFIX))

    def run(self, fingerprint, status=200):
        """Runs a request to its end."""
        now = asyncio.get_running_loop().time()
        self.router.arrive(make_request(1, fingerprint=fingerprint), now)
        self.router.end_attempt(1, AttemptResult(Answered(status), 0.1), now)

    def count(self, fingerprint):
        now = asyncio.get_running_loop().time()
        return self.router.quarantine.crash_count(fingerprint, now=now)

    def refuses(self, fingerprint):
        now = asyncio.get_running_loop().time()
        return self.router.quarantine.is_quarantined(fingerprint, now=now)


@contextlib.asynccontextmanager
async def three_vms(world):
    vms = [VmOfWorld(world=world, name=f"vm-{number}") for number in range(3)]
    yield vms
    for vm in vms:
        vm.task.cancel()


def test_a_page_that_a_vm_goes_on_serving_is_served_by_all():
    """Guards against refusing a page at all VMs after targets crashed by themselves (CONFIG)."""

    async def scenario(world):
        async with three_vms(world) as (seeing, serving, other):
            serving.run("page")
            for target in TARGETS:
                seeing.crashes.report(CrashReport("page", target, "vm-0"))
            await wait_until(lambda: other.refuses("page") and serving.count("page") == 4)
            assert not serving.refuses("page")
            for _ in range(3):
                serving.run("page")
            await wait_until(lambda: not any(v.count("page") for v in (seeing, serving, other)))
            assert not [key for key in world.store.rows if key[1].startswith(KEY_PREFIX)]

    run_scenario(scenario)


def test_a_request_that_crashes_its_targets_is_refused_by_all_beside_a_page():
    """Guards against sending on what crashes targets, by turns at different VMs (BUDGET)."""

    async def scenario(world):
        async with three_vms(world) as vms:
            for number, vm in enumerate(vms):
                vm.run("page")
                for fingerprint in ("bad", "page"):
                    vm.crashes.report(CrashReport(fingerprint, f"t{number}.1", f"vm-{number}"))
                for status in (200, 200, 500):
                    vm.run("page", status)
            await wait_until(lambda: all(vm.refuses("bad") for vm in vms))
            await wait_until(lambda: not any(vm.count("page") for vm in vms))

    run_scenario(scenario)


def test_errors_refute_no_crash():
    """Guards against a request that targets reject before they run it."""

    async def scenario(world):
        async with three_vms(world) as (vm, *_):
            for target in TARGETS[:2]:
                vm.crashes.report(CrashReport("bad", target, "vm-0"))
            for status in (400, 404, 500, 503):
                vm.run("bad", status)
            assert vm.count("bad") == 2

    run_scenario(scenario)


def test_reports_that_were_refuted_meanwhile_are_forgotten_with_all_rows():
    """Guards against a VM that refuses a page for ten minutes after an outage of its watch."""

    async def scenario(world):
        vm = VmOfWorld(world=world, name="vm-0")
        vm.task.cancel()
        report = (asyncio.get_running_loop().time(), CrashReport("page", "t1.1", "vm-1"))
        reports = vm.router.quarantine
        reports.add_report(report[1], now=report[0])
        vm.crashes.report(CrashReport("own", "t1.1", "vm-0"))
        row = Row(f"{KEY_PREFIX}other", b"", 1, removed=True)
        vm.apply(TableUpdate([row], is_full=True, after_outage=True, is_backup=True))
        assert vm.count("page") == 1
        vm.apply(TableUpdate([], is_full=True, after_outage=True))
        assert [each.fingerprint for each in reports.reports()] == ["own"]

    run_scenario(scenario)
