"""Callers' connections: order, limits, leaving and closing."""

import asyncio

import pytest

from carawaybank.callers.front import CallerConnection, Gate
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Limits


class Caller:
    """A connection to a front whose answers are scripted by path."""

    def __init__(self, *, limits=None, closing=False):
        self.limits = limits or Limits()
        self.closing = closing
        self.started = []
        self.cancelled = []
        self.gates = {}
        self.connections = set()

    async def handle(self, request):
        self.started.append(request.path)
        gate = self.gates.get(request.path)
        try:
            if gate is not None:
                await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return HttpReply(200, [("x-path", request.path)], request.path.encode() + request.body)

    async def __aenter__(self):
        gate = Gate(handle=self.handle, limits=lambda: self.limits, is_closing=lambda: self.closing)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(gate=gate, connections=self.connections), "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.close()

    def send(self, data):
        self.writer.write(data)

    async def read_answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        length = int(
            next(
                line.split(":")[1]
                for line in head.split("\r\n")
                if line.lower().startswith("content-length")
            )
        )
        return head, await self.reader.readexactly(length)


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def run(coroutine):
    return asyncio.run(coroutine)


def test_pipelined_requests_run_together_and_are_answered_in_order():
    async def scenario():
        async with Caller() as caller:
            caller.gates["/1"] = asyncio.Event()
            caller.send(get("/1") + get("/2"))
            await until(lambda: caller.started == ["/1", "/2"])
            caller.gates["/1"].set()
            bodies = [(await caller.read_answer())[1] for _ in range(2)]
            assert bodies == [b"/1", b"/2"]

    run(scenario())


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_bodies_with_a_length_and_in_chunks(body):
    async def scenario():
        async with Caller() as caller:
            caller.send(b"POST /p HTTP/1.1\r\nHost: a\r\n" + body + get("/next"))
            assert (await caller.read_answer())[1] == b"/phello"
            assert (await caller.read_answer())[1] == b"/next"

    run(scenario())


def test_work_for_a_caller_that_leaves_is_cancelled():
    async def scenario():
        async with Caller() as caller:
            caller.gates["/1"] = asyncio.Event()
            caller.send(get("/1"))
            await until(lambda: caller.started)
            caller.writer.close()
            await until(lambda: caller.cancelled == ["/1"])
            await until(lambda: not caller.connections)

    run(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", "400"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 5000 + b"\r\n\r\n", "431"),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" + b"z" * 200, "413"),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n", "413"),
    ],
)
def test_improper_requests_get_a_clear_error_and_the_connection_ends(data, status):
    async def scenario():
        limits = Limits(header_bytes=2000, body_bytes=100)
        async with Caller(limits=limits) as caller:
            caller.send(data)
            head, body = await caller.read_answer()
            assert status in head.split("\r\n")[0]
            assert body
            assert await caller.reader.read() == b""
            assert caller.started == []

    run(scenario())


def test_an_error_behind_a_request_comes_after_its_answer():
    async def scenario():
        async with Caller() as caller:
            caller.gates["/1"] = asyncio.Event()
            caller.send(get("/1") + b"nonsense\r\n\r\n")
            await until(lambda: caller.started)
            caller.gates["/1"].set()
            assert (await caller.read_answer())[1] == b"/1"
            assert " 400 " in (await caller.read_answer())[0].split("\r\n")[0]

    run(scenario())


def test_a_slow_head_and_an_idle_connection_end():
    async def scenario():
        limits = Limits(header_timeout_s=1.0, idle_timeout_s=2.0)
        async with Caller(limits=limits) as caller:
            caller.send(b"GET /slow HTTP/1.1\r\n")
            await until(lambda: caller.connections)
            connection = next(iter(caller.connections))
            await until(lambda: not connection.is_idle)
            connection.check_timeouts(asyncio.get_running_loop().time() + 1.5)
            assert "408" in (await caller.read_answer())[0]
        async with Caller(limits=limits) as caller:
            caller.send(get("/1"))
            await caller.read_answer()
            connection = next(iter(caller.connections))
            now = asyncio.get_running_loop().time()
            connection.check_timeouts(now + 1.9)
            assert not caller.writer.is_closing()
            connection.check_timeouts(now + 2.5)
            assert await caller.reader.read() == b""

    run(scenario())


def test_while_closing_all_requests_read_are_answered_and_the_last_says_close():
    async def scenario():
        async with Caller(closing=True) as caller:
            caller.gates["/1"] = asyncio.Event()
            caller.send(get("/1") + get("/2"))
            await until(lambda: caller.started == ["/1", "/2"])
            caller.gates["/1"].set()
            first, _ = await caller.read_answer()
            second, _ = await caller.read_answer()
            assert "connection: close" not in first.lower()
            assert "connection: close" in second.lower()
            assert await caller.reader.read() == b""

    run(scenario())


def test_a_caller_that_waits_to_be_asked_for_its_body_is_asked_once_earlier_answers_are_out():
    async def scenario():
        async with Caller() as caller:
            caller.gates["/1"] = asyncio.Event()
            head = (
                b"POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
            )
            caller.send(get("/1") + head)
            await until(lambda: caller.started)
            caller.gates["/1"].set()
            assert (await caller.read_answer())[1] == b"/1"
            assert b" 100 " in await caller.reader.readuntil(b"\r\n\r\n")
            caller.send(b"body")
            assert (await caller.read_answer())[1] == b"/2body"

    run(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /x HTTP/1.1\r\n\r\n", "400"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "501"),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nX: 1\n\nGET /y HTTP/1.1\r\nHost: a\r\n\r\n", "400"),
        (b"GET /x HTTP/1.1\r\nHost : a\r\n\r\n", "400"),
    ],
)
def test_requests_whose_framing_is_in_doubt_are_refused(data, status):
    async def scenario():
        async with Caller() as caller:
            caller.send(data)
            head, _ = await caller.read_answer()
            assert status in head.split("\r\n")[0]
            assert caller.started == []

    run(scenario())


def test_an_offered_protocol_is_not_taken_up_and_later_requests_are_answered():
    async def scenario():
        async with Caller() as caller:
            offer = b"GET /1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"
            caller.send(offer + get("/2"))
            assert [(await caller.read_answer())[1] for _ in range(2)] == [b"/1", b"/2"]

    run(scenario())


def test_more_requests_than_run_at_a_time_are_all_answered_in_order():
    async def scenario():
        async with Caller() as caller:
            caller.gates["/0"] = asyncio.Event()
            caller.send(b"".join(get(f"/{number}") for number in range(100)))
            await until(lambda: len(caller.started) == 32)
            caller.gates["/0"].set()
            bodies = [(await caller.read_answer())[1] for _ in range(100)]
            assert bodies == [f"/{number}".encode() for number in range(100)]

    run(scenario())
