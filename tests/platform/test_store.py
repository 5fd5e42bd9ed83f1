"""The client of the platform's store."""

import asyncio
import itertools

import msgspec
import pytest

from carawaybank.platform.store import StoreClient
from carawaybank.rows import INITIAL_POSITION, ConflictError, StoreError
from tests.scripted_server import ScriptedServer, read_request
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


#: Nested more deeply than decoders follow, in a field that is not read.
DEEP = b'{"a":' * 5_000 + b"1" + b"}" * 5_000
LARGE = b"9" * 30


@pytest.mark.parametrize(
    "body",
    [
        b'{"x":' + DEEP + b"}",
        b'{"rows":[{"key":"k","x":' + DEEP + b"}]}",
        b'{"rows":[],"ver":' + LARGE + b"}",
        b'{"rows":[{"key":"k","ver":' + LARGE + b"}]}",
    ],
    ids=["deep", "deep row", "large version", "large version of a row"],
)
def test_an_odd_response_counts_as_a_failure_of_the_store(body):
    """Guards against a response that ends every VM: nested too deeply, or with a large version."""

    def answer(connection):
        while read_request(connection):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(head + body)

    async def run():
        server = ScriptedServer(answer)
        client = StoreClient(address=server.address)
        with pytest.raises(StoreError, match="decoded"):
            await client.read("op")
        with pytest.raises(StoreError, match="decoded"):
            await client.poll_changes("op", after=INITIAL_POSITION, wait_s=0.0)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("size", [0, 1, 1_000_000])
def test_pages_without_end_count_as_a_failure_of_the_store(size):
    """Guards against a read that never ends, or takes all memory, as each page announces another.

    The pages are empty, repeat a row or have a further row of a megabyte.
    """
    numbers = itertools.count()

    def answer(connection):
        while read_request(connection):
            key = f"k{next(numbers):09}" if size > 1 else "k"
            rows = [{"key": key, "value": "a" * size, "ver": 1}] if size else []
            page = {"rows": rows, "hasMore": True, "ver": 1}
            if size == 0 and next(numbers) == 0:
                page["rows"] = [{"key": "k", "value": "", "ver": 1}]
            body = msgspec.json.encode(page)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(head + body)

    async def run():
        server = ScriptedServer(answer)
        try:
            async with asyncio.timeout(15.0):
                with pytest.raises(StoreError, match="pages"):
                    await StoreClient(address=server.address).read("op")
        finally:
            server.close()

    asyncio.run(run())
    assert next(numbers) < 100


def test_a_transaction_fails_when_a_row_has_changed_meanwhile():
    """Guards against a confirmation of an absence that was denied in the same moment."""

    async def scenario(world):
        client = world.client
        await client.put("t", "a", b"1")
        version = (await client.read("t")).rows[0].version
        await client.commit("t", {"b": b"2"}, expected={"a": version, "b": 0})
        await client.put("t", "a", b"changed")
        for expected in ({"a": version}, {"b": 0}):
            with pytest.raises(ConflictError):
                await client.commit("t", {"b": b"3", "c": b"3", "a": None}, expected=expected)
        rows = {row.key: row.value for row in (await client.read("t")).rows}
        assert rows == {"a": b"changed", "b": b"2"}

    run_scenario(scenario)


def test_a_part_of_a_table_is_read_by_the_prefix_of_its_keys():
    """Guards against notices that are missed, or a whole table that is read for them."""

    async def scenario(world):
        for key in ("a", "p", "p/1", "p/2", "p/~", "p0", "q"):
            await world.client.put("t", key, b"v")
        found = await world.client.read_prefix("t", "p/")
        assert [row.key for row in found.rows] == ["p/1", "p/2", "p/~"]

    run_scenario(scenario)
