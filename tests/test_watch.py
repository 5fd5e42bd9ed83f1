"""TableWatch against a store that loses its history, rejects calls, stalls or holds bad rows."""

import asyncio

import pytest

from carawaybank.inputs import loop_inputs
from carawaybank.memory import MemoryBudget
from carawaybank.rows import Position, Row, Rows, StoreError, max_table_bytes
from tests.store_world import run_scenario, target_row, wait_until


def test_the_whole_table_is_read_when_the_history_is_gone():
    """A removal may be missed if the store drops its change history during an outage.

    The row is removed without a change that a poll could return, so only a full read reveals it.
    """

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        world.store.rows.pop(("servers", "t1"))
        world.store.set_error_status(503)
        await world.store.put("servers", "t2", target_row(2))
        world.store.compact()
        world.store.set_error_status(0)
        await wait_until(lambda: world.targets == {"t2"})

    run_scenario(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_targets_are_kept_while_the_store_rejects_calls(status):
    """Targets must stay usable while the store responds with an error.

    Changes written meanwhile are read once the store recovers.
    """

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        world.store.set_error_status(status)
        await world.store.put("servers", "t2", target_row(2))
        await wait_until(lambda: world.has_logged('"lost"'))
        assert world.targets == {"t1"}
        world.store.set_error_status(0)
        await wait_until(lambda: world.targets == {"t1", "t2"})
        assert world.has_logged('"regained"')

    run_scenario(scenario)


def test_a_stalled_call_is_repeated_when_a_sibling_is_ahead():
    """A long poll may stall, for example on a connection that the network drops without a reset.

    A sibling reports a newer position, so the watch cancels the call and makes a new one.
    """

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        await wait_until(lambda: world.store.waiting_watches == 1)
        calls = len(world.store.calls)
        while len(world.store.calls) == calls:
            world.watch.record_sibling_position(Position(1, 99))
            await asyncio.sleep(0.05)
        assert world.has_logged("watch is behind")

    run_scenario(scenario)


def test_changes_in_quick_succession_are_read_in_batches():
    """Many targets that join at once must not cause one call to the store for each row."""

    async def scenario(world):
        watch = world.make_watch("rush", lambda update: None, batch_delay_s=0.3)
        task = asyncio.create_task(watch.run())
        await wait_until(lambda: watch.is_loaded)
        for number in range(20):
            await world.store.put("rush", f"t{number}", target_row(number))
            await asyncio.sleep(0.01)
        await wait_until(lambda: len(watch.rows.rows) == 20)
        assert sum("table=rush" in call for call in world.store.calls) <= 5
        task.cancel()

    run_scenario(scenario)


def test_a_row_that_raises_neither_ends_the_watch_nor_blocks_other_rows():
    """A malformed row would otherwise end the process again after each restart, on all VMs."""

    async def scenario(world):
        applied = set()

        def apply(update):
            for row in update.rows:
                if row.key == "bad":
                    raise RuntimeError("unexpected row content")
                applied.add(row.key)

        watch = world.make_watch("odd", apply)
        task = asyncio.create_task(watch.run())
        await wait_until(lambda: watch.is_loaded)
        for key in ("a", "bad", "z"):
            await world.store.put("odd", key, b"{}")
        await wait_until(lambda: applied == {"a", "z"})
        assert not task.done()
        assert world.has_logged("row not taken")
        task.cancel()

    run_scenario(scenario)


def test_an_update_at_which_the_watch_failed_is_read_again():
    """Guards against a change that is lost, as its position counts as read when the watch fails."""

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})

        def fail(update):
            raise RuntimeError("unexpected")

        world.watch._history.add, add = fail, world.watch._history.add
        await world.store.put("servers", "t2", target_row(2))
        with pytest.raises(RuntimeError):
            await world.task
        assert world.targets == {"t1"}
        world.watch._history.add = add
        world.task = asyncio.create_task(world.watch.run())
        await wait_until(lambda: world.targets == {"t1", "t2"})

    run_scenario(scenario)


def test_tables_share_their_memory_and_each_keeps_a_part(monkeypatch):
    """Guards against tables that each use up the memory, or of which one stops the others."""

    async def scenario(world):
        memory = MemoryBudget(max_bytes=1_000_000)
        monkeypatch.setattr(loop_inputs(), "memory", memory)
        first, second = (world.make_watch(name, lambda _: None) for name in ("one", "two"))

        def rows(count):
            return Rows([Row(f"k{n}", b"", 1, removed=False) for n in range(count)], 1, era=1)

        most = int(max_table_bytes() / rows(1).rows[0].memory_bytes) - 1
        first.use_initial_rows(rows(most))
        with pytest.raises(StoreError, match="bytes of memory"):
            second.use_initial_rows(rows(most // 2))
        second.use_initial_rows(rows(most // 3 - 1))
        assert (first.is_loaded, second.is_loaded) == (True, True)

    run_scenario(scenario)
