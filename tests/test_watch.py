"""Watches of tables against a store that fails in its ways."""

import asyncio

import pytest

from carawaybank.rows import Position
from tests.store_world import beat, play, until


def test_a_forgotten_history_is_read_anew():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        world.store.rows.pop(("servers", "t1"))
        world.store.fail(503)
        await world.store.put("servers", "t2", beat(2))
        world.store.forget_history()
        world.store.fail(0)
        await until(lambda: world.targets == {"t2"})

    play(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_targets_stay_while_the_store_refuses_and_are_followed_again(status):
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        world.store.fail(status)
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: world.saw('"lost"'))
        assert world.targets == {"t1"}
        world.store.fail(0)
        await until(lambda: world.targets == {"t1", "t2"})
        assert world.saw('"regained"')

    play(scenario)


def test_a_watch_that_went_silent_is_started_again_when_a_sibling_is_ahead():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        await until(lambda: world.store.waiting == 1)
        calls = len(world.store.calls)
        while len(world.store.calls) == calls:
            world.watch.compare(Position(1, 99))
            await asyncio.sleep(0.05)
        assert world.saw("watch is behind")

    play(scenario)


def test_changes_that_come_in_a_rush_are_read_together():
    async def scenario(world):
        watch = world.make_watch("rush", lambda changes: None, batch_delay_s=0.3)
        task = asyncio.create_task(watch.run())
        await until(lambda: watch.is_loaded)
        for number in range(20):
            await world.store.put("rush", f"t{number}", beat(number))
            await asyncio.sleep(0.01)
        await until(lambda: len(watch.rows.rows) == 20)
        assert sum("table=rush" in call for call in world.store.calls) <= 5
        task.cancel()

    play(scenario)


def test_a_row_that_cannot_be_taken_ends_nothing_and_keeps_no_other_back():
    async def scenario(world):
        applied = set()

        def apply(changes):
            for row in changes.rows:
                if row.key == "bad":
                    raise RuntimeError("a row that nobody thought of")
                applied.add(row.key)

        watch = world.make_watch("odd", apply)
        task = asyncio.create_task(watch.run())
        await until(lambda: watch.is_loaded)
        for key in ("a", "bad", "z"):
            await world.store.put("odd", key, b"{}")
        await until(lambda: applied == {"a", "z"})
        assert not task.done()
        assert world.saw("row not taken")
        task.cancel()

    play(scenario)
