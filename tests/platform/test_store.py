"""The client of the store."""

import asyncio

import pytest

from carawaybank.rows import StoreError
from tests.store_world import play, until


def test_a_write_without_an_answer_is_an_error_and_not_a_success():
    async def scenario(world):
        world.store.loses_answers = True
        call = asyncio.create_task(world.client.put("t", "k", b"v"))
        await until(lambda: world.store.value("t", "k") == b"v")
        with pytest.raises(StoreError):
            await call

    play(scenario)
