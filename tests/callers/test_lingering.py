"""Refusals of bodies that are on their way, to callers that read once they have sent all."""

import asyncio

import pytest

from carawaybank.callers import lingering
from carawaybank.callers.bodies import BodyMemory
from carawaybank.routing.configuration import Limits
from tests.callers.test_connections import Caller, run, wait_until

HEAD = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\r\n"
PART_BYTES = 10_000
ANSWER_S = 5.0


async def upload(caller, *, parts, pause_s):
    """Sends a body in parts, and returns what the caller reads afterwards."""
    caller.send(HEAD.format(parts * PART_BYTES).encode())
    for _ in range(parts):
        caller.send(bytes(PART_BYTES))
        await caller.writer.drain()
        await asyncio.sleep(pause_s)
    return await asyncio.wait_for(caller.reader.read(), ANSWER_S)


def without_memory():
    memory = BodyMemory(max_bytes=1)
    memory.reserve(1)
    return memory


@pytest.mark.parametrize(
    ("status", "limits", "bodies"),
    [(413, Limits(body_bytes=50_000), None), (503, Limits(), without_memory())],
)
def test_a_caller_that_sends_on_for_seconds_gets_the_refusal_of_its_body(status, limits, bodies):
    """Guards against a reset in place of the response, by a close while the body is arriving."""

    async def scenario():
        async with Caller(limits=limits, bodies=bodies) as caller:
            answer = await upload(caller, parts=36, pause_s=0.1)
            assert answer.startswith(f"HTTP/1.1 {status} ".encode())
            assert caller.started == []
            caller.writer.close()
            await wait_until(lambda: not caller.connections)

    run(scenario())


def test_a_refused_caller_that_never_ends_is_closed(monkeypatch):
    """Guards against connections that are read for ever, however fast their callers send."""
    monkeypatch.setattr(lingering, "_INTERVAL_S", 0.1)

    async def scenario(pause_s):
        async with Caller(limits=Limits(body_bytes=10)) as caller:
            with pytest.raises(ConnectionError):
                await upload(caller, parts=1_000_000, pause_s=pause_s)
            await wait_until(lambda: not caller.connections)

    async def scenarios():
        await asyncio.wait_for(asyncio.gather(scenario(0.01), scenario(0.0)), ANSWER_S)

    run(scenarios())


def test_a_refused_caller_that_sends_nothing_more_is_closed_after_one_interval(monkeypatch):
    """Guards against descriptors that are held for callers that have left the rest unsent."""
    monkeypatch.setattr(lingering, "_INTERVAL_S", 0.1)

    async def scenario():
        async with Caller(limits=Limits(body_bytes=10)) as caller:
            started_at = asyncio.get_running_loop().time()
            caller.send(HEAD.format(1000).encode())
            await wait_until(lambda: caller.connections)
            await wait_until(lambda: not caller.connections)
            assert asyncio.get_running_loop().time() - started_at < 4 * 0.1

    run(scenario())
