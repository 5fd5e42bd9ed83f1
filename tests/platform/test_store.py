"""The client of the platform's store."""

import asyncio

import pytest

from carawaybank.rows import StoreError
from tests.store_world import run_scenario, wait_until


def test_a_write_without_a_response_raises_an_error():
    """Guards against a write that counts as confirmed when only its response was lost."""

    async def scenario(world):
        world.store.drops_responses = True
        call = asyncio.create_task(world.client.put("t", "k", b"v"))
        await wait_until(lambda: world.store.value("t", "k") == b"v")
        with pytest.raises(StoreError):
            await call

    run_scenario(scenario)
