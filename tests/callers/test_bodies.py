"""Memory of request bodies: reserved before they are read on, and always returned."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank.callers import connections as caller_connections
from carawaybank.callers.bodies import UNCOUNTED_BYTES, BodyMemory, ConnectionBodies
from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits

MEMORY_BYTES = 3_000_000
BODY_BYTES = 2_000_000


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["grow", "take", "drop"]))))
def test_all_memory_is_returned_whatever_becomes_of_the_bodies(steps):
    """Guards against memory that is lost with a caller, until no body is read any more."""
    memory = BodyMemory(max_bytes=100_000)
    bodies = [ConnectionBodies(memory=memory) for _ in range(6)]
    held = []
    for number, step in steps:
        body = bodies[number]
        size = (number + 1) * 40_000 + UNCOUNTED_BYTES
        if step == "drop":
            body.drop()
        elif step == "take" and not body.is_waiting:
            held.append(body.take(size))
        elif step == "grow" and not body.is_waiting and not body.grow(size):
            body.wait(size, on_granted=lambda: None)
    for body in bodies:
        body.drop()
    memory.release(sum(held))
    assert memory.reserved_bytes == 0
    assert memory.try_reserve(1)


def test_bodies_get_memory_in_the_order_of_arrival():
    """Guards against a large body that never gets memory because small ones overtake it."""
    memory = BodyMemory(max_bytes=100)
    granted = []
    assert memory.try_reserve(80)
    memory.wait(60, on_granted=lambda: granted.append("large"))
    assert not memory.try_reserve(10)
    memory.wait(10, on_granted=lambda: granted.append("small"))
    memory.release(80)
    assert granted == ["large", "small"]


def test_a_body_larger_than_the_memory_is_read_alone():
    """Guards against a body within the operator's limit that is refused for ever."""
    memory = BodyMemory(max_bytes=100)
    assert memory.try_reserve(150)
    assert not memory.try_reserve(1)
    memory.release(150)
    assert memory.try_reserve(1)


class Vm:
    """The connections of a VM whose handler waits for its gate."""

    def __init__(self):
        self.bodies = BodyMemory(max_bytes=MEMORY_BYTES)
        self.gate = asyncio.Event()
        self.started = []
        self.context = ConnectionContext(
            handle=self.handle,
            limits=lambda: Limits(body_bytes=10_000_000),
            is_closing=lambda: False,
            bodies=self.bodies,
        )

    async def handle(self, request):
        self.started.append(request.path)
        assert len(request.body) == BODY_BYTES
        await self.gate.wait()
        return HttpReply(200, [], b"")

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        connections = set()
        self.server = await loop.create_server(
            lambda: CallerConnection(context=self.context, connections=connections), "127.0.0.1", 0
        )
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def upload(self, path, *, is_chunked=False):
        address = self.server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        body = b"x" * BODY_BYTES
        framing = f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        if is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (BODY_BYTES, body)
        writer.write(f"POST {path} HTTP/1.1\r\nHost: a\r\n".encode() + framing + body)
        try:
            return (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        finally:
            writer.transport.abort()

    async def wait_until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)


def test_a_body_is_read_on_once_another_one_is_sent():
    """Guards against uploads that take a VM beyond its memory, or that are refused too early."""

    async def run():
        async with Vm() as vm:
            first = asyncio.create_task(vm.upload("/1"))
            await vm.wait_until(lambda: vm.started == ["/1"])
            second = asyncio.create_task(vm.upload("/2"))
            await asyncio.sleep(0.2)
            assert vm.started == ["/1"]
            assert vm.bodies.reserved_bytes < MEMORY_BYTES
            vm.gate.set()
            assert " 200 " in await first
            assert " 200 " in await second
            await vm.wait_until(lambda: vm.bodies.reserved_bytes == 0)

    asyncio.run(run())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_that_finds_no_memory_in_time_is_refused(monkeypatch, is_chunked):
    """Guards against a caller that waits until its deadline for a request that is not read."""
    monkeypatch.setattr(caller_connections, "_BODY_WAIT_S", 0.1)

    async def run():
        async with Vm() as vm:
            first = asyncio.create_task(vm.upload("/1"))
            await vm.wait_until(lambda: vm.started == ["/1"])
            head = await asyncio.wait_for(vm.upload("/2", is_chunked=is_chunked), 2.0)
            assert " 503 " in head.split("\r\n")[0]
            assert "retry-after: " in head
            assert vm.started == ["/1"]
            vm.gate.set()
            assert " 200 " in await first
            await vm.wait_until(lambda: vm.bodies.reserved_bytes == 0)

    asyncio.run(run())


def test_a_caller_that_leaves_returns_the_memory_of_its_body():
    """Guards against memory that is lost with each caller that disconnects."""

    async def run():
        async with Vm() as vm:
            uploads = [asyncio.create_task(vm.upload(f"/{number}")) for number in range(3)]
            await vm.wait_until(lambda: vm.started)
            for upload in uploads:
                upload.cancel()
            await asyncio.wait(uploads)
            await vm.wait_until(lambda: vm.bodies.reserved_bytes == 0)

    asyncio.run(run())
