"""Targets as they announce themselves, lapse and leave."""

import asyncio

from tests.store_world import GRACE_S, beat, lose_while_down, play, until


def test_targets_follow_the_registry():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: world.targets == {"t1", "t2"})
        await world.store.put("servers", "t1", beat(1, state="draining", seq=2))
        await until(lambda: world.usable() == {"t2"})
        await world.store.drop("servers", "t2")
        await until(lambda: world.targets == {"t1"})

    play(scenario)


def test_entries_of_other_writers_are_passed_over_and_noted():
    async def scenario(world):
        await world.store.put("servers", "bad", b"\xff\x00")
        await world.store.put("servers", "odd", {**beat(1), "slots": None})
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        assert world.saw("entry passed over")

    play(scenario)


def test_the_few_entries_missing_after_an_outage_are_gone_at_once():
    async def scenario(world):
        for number in range(1, 6):
            await world.store.put("servers", f"t{number}", beat(number))
        await until(lambda: len(world.targets) == 5)
        await lose_while_down(world, ["t1", "t2"])
        await until(lambda: world.targets == {"t3", "t4", "t5"}, timeout_s=GRACE_S)

    play(scenario)


def test_entries_that_lapsed_together_are_kept_until_the_grace_time_is_over():
    async def scenario(world):
        names = [f"t{number}" for number in range(1, 5)]
        for number, name in enumerate(names, start=1):
            await world.store.put("servers", name, beat(number))
        await until(lambda: len(world.targets) == 4)
        await lose_while_down(world, names)
        assert world.targets == set(names)
        await world.store.put("servers", "t1", beat(1, seq=5))
        await until(lambda: world.targets == {"t1"})
        await asyncio.sleep(2 * GRACE_S)
        assert world.targets == {"t1"}

    play(scenario)
