"""The budget of the memory that messages of peers use."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank import memory
from carawaybank.buffers import BodyBuffer
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.inputs import loop_inputs
from carawaybank.memory import SMALL_BYTES, MemoryBudget, MemoryHolder
from carawaybank.verdicts import Reason

LARGE = 4 * SMALL_BYTES


class Peers:
    """Peers whose messages share a budget."""

    def __init__(self, *, max_bytes):
        self.broken = []
        self.budget = MemoryBudget(max_bytes=max_bytes, on_break_off=self.broken.append)
        self.holders = {}

    def grow(self, name, size, *, unfinished=None):
        holder = self.holders.get(name)
        if holder is None:
            holder = self.holders[name] = MemoryHolder(
                budget=self.budget, kind="callers", peer=name, break_off=lambda: self.end(name)
            )
        holder.resize(size, unfinished_size=size if unfinished is None else unfinished)

    def end(self, name):
        holder = self.holders[name]
        holder.resize(holder.size - holder.unfinished_size)

    @property
    def broken_names(self):
        return [broken.peer for broken in self.broken]


def test_the_largest_unfinished_message_is_broken_off():
    """Guards against a flood that costs the messages of others their place."""
    peers = Peers(max_bytes=4 * LARGE)
    peers.grow("flood", 3 * LARGE)
    peers.grow("other", LARGE)
    assert not peers.broken
    peers.grow("late", SMALL_BYTES)
    assert peers.broken_names == ["flood"]
    assert peers.budget.used_bytes == LARGE + SMALL_BYTES


def test_a_complete_message_is_not_broken_off():
    """Guards against a request at its target that is ended for want of memory."""
    peers = Peers(max_bytes=4 * LARGE)
    peers.grow("complete", 3 * LARGE, unfinished=0)
    peers.grow("growing", 2 * LARGE)
    assert peers.broken_names == ["growing"]


def test_a_small_message_is_broken_off_only_if_it_grows_beyond_the_budget_itself():
    """Guards against small messages without number, each of which counts for nothing."""
    peers = Peers(max_bytes=10 * SMALL_BYTES)
    for number in range(12):
        peers.grow(f"small{number}", SMALL_BYTES)
    assert peers.broken_names == ["small10", "small11"]


@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 10)), max_size=60))
def test_the_budget_holds_whatever_peers_do(steps):
    """Guards against memory that is counted twice, or that is never returned."""
    peers = Peers(max_bytes=5 * LARGE)
    for number, size in steps:
        peers.grow(str(number), size * SMALL_BYTES)
        assert peers.budget.used_bytes <= peers.budget.max_bytes
        assert peers.budget.used_bytes == sum(holder.size for holder in peers.holders.values())
    for name in peers.holders:
        peers.grow(name, 0)
    assert peers.budget.used_bytes == 0
    assert sum(peers.budget.used_by_kind.values()) == 0


@pytest.mark.parametrize("memory_mb", [128, 200, 300, 600])
def test_the_budget_leaves_room_for_the_process_and_its_copies(memory_mb):
    """Guards against bounds whose sum is more than the memory of a VM."""
    budget = memory.budget_bytes(memory_mb)
    assert budget > 40e6
    assert 40e6 + 1.25 * budget + 16e6 < 0.97 * memory_mb * 1e6


@given(st.lists(st.integers(1, 9_000), max_size=40))
def test_a_body_is_the_same_however_it_is_cut(sizes):
    """Guards against pieces that are lost or swapped while they are joined."""
    body = bytes(range(256)) * 1_500
    buffer, expected, offset = BodyBuffer(), b"", 0
    for size in sizes:
        buffer.append(body[offset : offset + size])
        expected += body[offset : offset + size]
        offset += size
    assert buffer.size == len(expected)
    assert buffer.take() == expected
    assert buffer.take() == b""


def test_a_response_that_exceeds_the_budget_of_the_process_is_broken_off():
    """Guards against exchanges without a limit of their own, such as those with the store."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(b"2\r\nxx\r\n" * 10_000)
                await writer.drain()
        except OSError:
            writer.close()

    async def run():
        budget = loop_inputs().memory = MemoryBudget(max_bytes=500_000)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await ClientConnection.open(address, timeout_s=1.0)
        call = HttpCall("GET", "/", [("Host", "peer")])
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(call, timeout_s=10.0)
        server.close()
        assert caught.value.reason is Reason.ANSWER_TOO_LARGE
        assert budget.used_bytes == 0

    asyncio.run(run())
