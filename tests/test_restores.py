"""A store that is restored from a backup some seconds old, which starts a new era."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaybank.callers.requests import CallerRequest
from carawaybank.history import History
from carawaybank.rows import HistoryGoneError, Position, Row, Rows, StoreError
from carawaybank.siblings import tables
from carawaybank.siblings.tables import TABLE_PATH, TableServer
from carawaybank.watch import TableWatch
from tests.siblings.test_sources import Fleet
from tests.store_world import RECOVERY_S, run_scenario, target_row, wait_until


def test_writes_after_a_restore_are_read_although_their_versions_are_lower():
    """If only versions were compared, writes with versions below the old ones would be ignored."""

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        backup = world.store.make_backup()
        for number in range(2, 6):
            await world.store.put("servers", f"t{number}", target_row(number))
        await wait_until(lambda: len(world.targets) == 5)
        world.store.restore(backup)
        await world.store.put("servers", "t9", target_row(9))
        await wait_until(lambda: "t9" in world.targets)
        assert world.watch.newest_read_position == Position(2, backup.version + 1)
        assert world.has_logged("returned from a copy")

    run_scenario(scenario)


def test_a_target_missing_from_the_backup_is_kept_if_it_announces_itself_again():
    """A target that joined after the backup was taken is missing right after the restore.

    It must not be dropped before it had the time to announce itself again; one that does not do so
    within that time has ended and is dropped.
    """

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        backup = world.store.make_backup()
        await world.store.put("servers", "t2", target_row(2))
        await world.store.put("servers", "t3", target_row(3))
        await wait_until(lambda: len(world.targets) == 3)
        world.store.restore(backup)
        await wait_until(lambda: world.has_logged("returned from a copy"))
        assert world.targets == {"t1", "t2", "t3"}
        await world.store.put("servers", "t2", target_row(2, seq=2))
        await wait_until(lambda: world.targets == {"t1", "t2"})
        await asyncio.sleep(2 * RECOVERY_S)
        assert world.targets == {"t1", "t2"}

    run_scenario(scenario)


def test_a_target_that_ended_is_not_used_although_the_backup_contains_it():
    """The backup may contain outdated rows of targets that drained or ended after it was taken."""

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await world.store.put("servers", "t2", target_row(2, seq=7))
        await wait_until(lambda: world.targets == {"t1", "t2"})
        backup = world.store.make_backup()
        await world.store.put("servers", "t1", target_row(1, state="draining", seq=2))
        await world.store.delete("servers", "t2")
        await wait_until(lambda: world.targets == {"t1"})
        world.store.restore(backup)
        await wait_until(lambda: world.has_logged("outdated entry passed over"))
        assert world.eligible_targets() == set()
        await world.store.put("servers", "t2", target_row(2, seq=8))
        await wait_until(lambda: world.eligible_targets() == {"t2"})

    run_scenario(scenario)


def test_a_target_still_in_the_store_after_the_recovery_time_is_used():
    """A row of the backup that looks outdated is used once the recovery time has passed.

    By then, the rows of ended targets have expired.
    """

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        backup = world.store.make_backup()
        await world.store.delete("servers", "t1")
        await wait_until(lambda: not world.targets)
        world.store.restore(backup)
        await wait_until(lambda: world.has_logged("outdated entry passed over"))
        assert not world.targets
        await wait_until(lambda: world.targets == {"t1"})
        assert world.has_logged('"settled"')

    run_scenario(scenario)


def test_two_restores_in_a_row_while_the_store_is_unreachable():
    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        backup = world.store.make_backup()
        await world.store.put("servers", "t2", target_row(2))
        await wait_until(lambda: len(world.targets) == 2)
        world.store.set_error_status(503)
        await wait_until(lambda: world.has_logged('"lost"'))
        world.store.restore(backup)
        await asyncio.sleep(0.1)
        world.store.restore(backup)
        world.store.set_error_status(0)
        await world.store.put("servers", "t3", target_row(3))
        await wait_until(lambda: {"t1", "t3"} <= world.targets)
        assert world.watch.newest_read_position.era == 3

    run_scenario(scenario)


def test_the_whole_table_is_read_if_the_backup_lacks_the_known_version():
    """After a restore, the position of the watch may be ahead of the store.

    The store then rejects the poll with a missing history, even if it does not report a new era.
    """

    async def scenario(world):
        backup = world.store.make_backup()
        for number in range(1, 4):
            await world.store.put("servers", f"t{number}", target_row(number))
        await wait_until(lambda: len(world.targets) == 3)
        world.store.era = 0  # a store that does not report the restore
        world.store.restore(backup)
        world.store.era = 2
        await wait_until(lambda: world.has_logged("history gone"))
        await wait_until(lambda: world.has_logged("returned from a copy"))

    run_scenario(scenario)


class ScriptedReader:
    """A RowReader that returns scripted rows."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def read(self, table):
        return self._next()

    async def poll_changes(self, table, *, after, wait_s):
        return self._next()

    def _next(self):
        if not self.answers:
            raise StoreError(message="no scripted rows left")
        return self.answers.pop(0)


def make_rows(version, era, *keys):
    return Rows([Row(key, b"{}", version, False) for key in keys], version, era=era)


def test_a_delayed_response_of_an_older_era_is_rejected():
    """A response may be delayed beyond a restore of the store; its rows are outdated."""

    async def scenario(world):
        updates = []
        watch = world.make_watch("odd", updates.append)
        reader = ScriptedReader(make_rows(5, 2, "a"), make_rows(9, 1, "old"), make_rows(6, 2, "b"))
        await watch._poll_once(reader)
        with pytest.raises(StoreError, match="older era"):
            await watch._poll_once(reader)
        await watch._poll_once(reader)
        assert set(watch._rows) == {"a", "b"}
        assert watch.newest_read_position == Position(2, 6)

    run_scenario(scenario)


def test_the_rows_of_a_sibling_in_an_older_era_are_rejected():
    """A sibling may not have noticed the restore yet, so its rows may be outdated."""

    async def scenario(world):
        watch = world.make_watch("odd", lambda update: None)
        watch.record_sibling_position(Position(3, 1))
        await watch._poll_once(ScriptedReader(make_rows(5, 2, "a")))
        assert watch.is_lagging
        await watch._poll_once(ScriptedReader(make_rows(1, 3, "b")))
        await watch._poll_once(ScriptedReader(make_rows(1, 3, "b")))
        assert set(watch._rows) == {"b"}
        watch._needs_full_read = True
        with pytest.raises(StoreError, match="less than is known"):
            await watch._poll_once(ScriptedReader(make_rows(99, 2, "a")))

    run_scenario(scenario)


def test_a_new_era_makes_followers_of_the_history_read_the_whole_table():
    """Changes of the new era do not continue those of the old one.

    A sibling whose call waits for changes must get an error rather than changes of the new era.
    """

    async def run():
        history = History()
        history.add(make_rows(5, 1, "a"))
        waiting = asyncio.create_task(history.changes_since(Position(1, 5), wait_s=5.0))
        await asyncio.sleep(0)
        history.add(make_rows(3, 2, "b"))
        with pytest.raises(HistoryGoneError):
            await waiting
        history.add(make_rows(4, 2, "c"))
        found = await history.changes_since(Position(2, 3), wait_s=0.0)
        assert [row.key for row in found.rows] == ["c"]

    asyncio.run(run())


STEPS = st.lists(
    st.sampled_from(["write", "remove", "copy", "return", "dark", "light", "pause"]),
    min_size=4,
    max_size=14,
)


@settings(max_examples=12, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_all_vms_reach_the_newest_era_and_no_position_decreases(steps):
    """Writes, removals, backups, restores and outages in random order.

    The position of each VM must never decrease, and all VMs must end with the rows of the store.
    """

    async def scenario(world):
        async with Fleet(world=world) as fleet:
            store, backup = world.store, world.store.make_backup()
            last_positions = {vm.record.vm: vm.watch.newest_read_position for vm in fleet.vms}
            for number, step in enumerate([*steps, "light"]):
                if step == "write":
                    await store.put("servers", f"t{number % 5}", target_row(number, seq=number))
                elif step == "remove":
                    await store.delete("servers", f"t{number % 5}")
                elif step == "copy":
                    backup = store.make_backup()
                elif step == "return":
                    store.restore(backup)
                elif step in {"dark", "light"}:
                    store.set_error_status(503 if step == "dark" else 0)
                await asyncio.sleep(0.1 if step == "pause" else 0.02)
                for vm in fleet.vms:
                    assert vm.watch.newest_read_position >= last_positions[vm.record.vm]
                    last_positions[vm.record.vm] = vm.watch.newest_read_position
            await store.put("servers", "last", target_row(99))
            expected_keys = {key for table, key in store.rows if table == "servers"}
            await fleet.wait_until_all_have(expected_keys, timeout_s=5.0)
            assert {vm.watch.newest_read_position.era for vm in fleet.vms} == {store.era}

    run_scenario(scenario)


def test_siblings_are_served_while_a_full_read_is_pending():
    """Readers that rejected their followers would send all of them to the store at once."""

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        server = TableServer(watches=[world.watch])
        world.store.set_error_status(503)
        world.store.compact()
        world.store.era += 1
        world.watch._needs_full_read = True
        await wait_until(lambda: world.has_logged('"lost"'))
        request = CallerRequest("GET", f"{TABLE_PATH}?name=servers", [], b"")
        reply = await server.handle(request)
        assert reply.status == 200
        assert [row.key for row in tables.decode(reply.body).rows] == ["t1"]

    run_scenario(scenario)


def test_a_watch_without_a_call_during_an_outage_notices_the_restore():
    """Guards against a long poll after a restore, from a watch that did not see the outage.

    The watch gathers changes while another call opens a connection to the restored store. Once that
    has passed the version that the watch read, no history is missing, so that a poll of the old era
    on this connection would be held.
    """

    async def scenario(world):
        source = world.make_source(world.vms, world.client)
        batch_delay_s = 0.5
        seen, watches = [], []
        for table, delay_s in (("quiet", batch_delay_s), ("other", 0.0)):
            watches.append(
                TableWatch(
                    selector=source,
                    table=table,
                    on_update=lambda update: seen.extend(row.key for row in update.rows),
                    journal=world.journal,
                    batch_delay_s=lambda delay_s=delay_s: delay_s,
                    recovery_s=RECOVERY_S,
                )
            )
        tasks = [asyncio.create_task(watch.run()) for watch in watches]
        await wait_until(lambda: all(watch.is_loaded for watch in watches))
        backup = world.store.make_backup()
        await asyncio.sleep(0.1)
        await world.store.put("quiet", "old", b"{}")
        await wait_until(lambda: "old" in seen)
        world.store.set_error_status(503)
        await asyncio.sleep(0.1)
        world.store.restore(backup)
        await world.store.put("quiet", "new", b"{}")
        await world.store.put("other", "x", b"{}")
        world.store.set_error_status(0)
        for _ in range(4):
            await asyncio.sleep(0.05)
            await world.client.read("unwatched")
        await wait_until(lambda: "new" in seen, timeout_s=batch_delay_s + 3.0)
        for task in tasks:
            task.cancel()

    run_scenario(scenario)
