"""Targets that announce themselves, expire and leave the registry."""

import asyncio

from tests.store_world import (
    EXPIRY_GRACE_S,
    remove_rows_during_outage,
    run_scenario,
    target_row,
    wait_until,
)


def test_targets_follow_the_registry():
    """Added, draining and removed rows must each change the targets in use."""

    async def scenario(world):
        await world.store.put("servers", "t1", target_row(1))
        await world.store.put("servers", "t2", target_row(2))
        await wait_until(lambda: world.targets == {"t1", "t2"})
        await world.store.put("servers", "t1", target_row(1, state="draining", seq=2))
        await wait_until(lambda: world.eligible_targets() == {"t2"})
        await world.store.delete("servers", "t2")
        await wait_until(lambda: world.targets == {"t1"})

    run_scenario(scenario)


def test_invalid_rows_are_skipped_and_logged():
    """Guards against a row that cannot be decoded stopping the updates of all other targets."""

    async def scenario(world):
        await world.store.put("servers", "bad", b"\xff\x00")
        await world.store.put("servers", "odd", {**target_row(1), "slots": None})
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        assert world.has_logged("entry passed over")

    run_scenario(scenario)


def test_few_rows_missing_after_outage_remove_targets_at_once():
    """Targets that left during an outage of the store must not stay in use."""

    async def scenario(world):
        for number in range(1, 6):
            await world.store.put("servers", f"t{number}", target_row(number))
        await wait_until(lambda: len(world.targets) == 5)
        await remove_rows_during_outage(world, ["t1", "t2"])
        await wait_until(lambda: world.targets == {"t3", "t4", "t5"}, timeout_s=EXPIRY_GRACE_S)

    run_scenario(scenario)


def test_targets_whose_rows_expired_together_are_kept_for_the_grace_period():
    """Guards against removing running targets whose rows expired during an outage of the store."""

    async def scenario(world):
        names = [f"t{number}" for number in range(1, 5)]
        for number, name in enumerate(names, start=1):
            await world.store.put("servers", name, target_row(number))
        await wait_until(lambda: len(world.targets) == 4)
        await remove_rows_during_outage(world, names)
        assert world.targets == set(names)
        await world.store.put("servers", "t1", target_row(1, seq=5))
        await wait_until(lambda: world.targets == {"t1"})
        await asyncio.sleep(2 * EXPIRY_GRACE_S)
        assert world.targets == {"t1"}

    run_scenario(scenario)
