"""Server connections of callers: response order, limits, disconnects and closing."""

import asyncio
import socket
import struct
import time

import pytest

from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits


class Caller:
    """A client with its server.

    A path in ``release_events`` is answered after its event, and with the headers in
    ``odd_headers``, the body in ``bodies`` and the status in ``statuses``. One in ``errors`` or
    ``shed_errors`` raises its error in the handler or before it. What the event loop was told of
    is in ``reported``.
    """

    def __init__(self, *, limits=None, closing=False, bodies=None):
        self.limits = limits or Limits()
        self.memory = bodies
        self.closing = closing
        self.started = []
        self.cancelled = []
        self.release_events = {}
        self.errors = {}
        self.shed_errors = {}
        self.odd_headers = {}
        self.bodies = {}
        self.statuses = {}
        self.reported = []
        self.connections = set()

    async def handle(self, request):
        self.started.append(request.path)
        release_event = self.release_events.get(request.path)
        try:
            if release_event is not None:
                await release_event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        if request.path in self.errors:
            raise self.errors[request.path]
        headers = self.odd_headers.get(request.path, [("x-path", request.path)])
        body = self.bodies.get(request.path, request.path.encode() + request.body)
        return HttpReply(self.statuses.get(request.path, 200), headers, body)

    def shed(self, request):
        if request.path in self.shed_errors:
            raise self.shed_errors[request.path]

    async def __aenter__(self):
        context = ConnectionContext(
            handle=self.handle,
            limits=lambda: self.limits,
            is_closing=lambda: self.closing,
            bodies=self.memory,
            shed=self.shed,
        )
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, report: self.reported.append(report))
        self.server = await loop.create_server(
            lambda: CallerConnection(context=context, connections=self.connections), "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.close()

    def send(self, data):
        self.writer.write(data)

    async def read_response(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        length = int(
            next(
                line.split(":")[1]
                for line in head.split("\r\n")
                if line.lower().startswith("content-length")
            )
        )
        return head, await self.reader.readexactly(length)


def encode_get(path):
    return f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def run(coroutine):
    return asyncio.run(coroutine)


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    """Guards against a response that overtakes that of an earlier, slower request."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1") + encode_get("/2"))
            await wait_until(lambda: caller.started == ["/1", "/2"])
            caller.release_events["/1"].set()
            bodies = [(await caller.read_response())[1] for _ in range(2)]
            assert bodies == [b"/1", b"/2"]

    run(scenario())


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_bodies_with_a_length_and_in_chunks_are_read(body):
    """Guards against a body whose end is missed, so that it swallows the pipelined next request."""

    async def scenario():
        async with Caller() as caller:
            caller.send(b"POST /p HTTP/1.1\r\nHost: a\r\n" + body + encode_get("/next"))
            assert (await caller.read_response())[1] == b"/phello"
            assert (await caller.read_response())[1] == b"/next"

    run(scenario())


def test_requests_of_a_disconnected_caller_are_cancelled():
    """Guards against handlers that keep running after the caller closed its connection."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1"))
            await wait_until(lambda: caller.started)
            caller.writer.close()
            await wait_until(lambda: caller.cancelled == ["/1"])
            await wait_until(lambda: not caller.connections)

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
def test_malformed_and_oversized_requests_get_an_error_and_the_connection_closes(data, status):
    """Guards against a handler that runs for a malformed or oversized request.

    The bytes after such a request cannot be parsed, so the connection must not be used again.
    """

    async def scenario():
        limits = Limits(header_bytes=2000, body_bytes=100)
        async with Caller(limits=limits) as caller:
            caller.send(data)
            head, body = await caller.read_response()
            assert status in head.split("\r\n")[0]
            assert body
            assert await caller.reader.read() == b""
            assert caller.started == []

    run(scenario())


def test_pipelined_heads_within_the_limit_are_accepted_however_they_are_cut():
    """Guards against a head that is charged with the bytes of the requests before it."""

    async def scenario():
        limits = Limits(header_bytes=3000)
        async with Caller(limits=limits) as caller:
            requests = [
                f"GET /{n} HTTP/1.1\r\nHost: a\r\nX: {'y' * 2000}\r\n\r\n".encode()
                for n in range(8)
            ]
            data = b"".join(requests)
            for start in range(0, len(data), 5000):
                caller.send(data[start : start + 5000])
                await asyncio.sleep(0.005)
            bodies = [(await caller.read_response())[1] for _ in requests]
            assert bodies == [f"/{n}".encode() for n in range(8)]

    run(scenario())


def test_an_error_response_follows_the_response_to_the_request_before_it():
    """Guards against an error response that the caller takes for that of an earlier request.

    The malformed bytes arrive while the earlier request still runs.
    """

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1") + b"nonsense\r\n\r\n")
            await wait_until(lambda: caller.started)
            caller.release_events["/1"].set()
            assert (await caller.read_response())[1] == b"/1"
            assert " 400 " in (await caller.read_response())[0].split("\r\n")[0]

    run(scenario())


def test_a_slow_request_head_and_an_idle_connection_time_out():
    """Guards against connections that are kept open forever by callers that send nothing more."""

    async def scenario():
        limits = Limits(header_timeout_s=1.0, idle_timeout_s=2.0)
        async with Caller(limits=limits) as caller:
            caller.send(b"GET /slow HTTP/1.1\r\n")
            await wait_until(lambda: caller.connections)
            connection = next(iter(caller.connections))
            await wait_until(lambda: not connection.is_idle)
            connection.check_timeouts(asyncio.get_running_loop().time() + 1.5)
            assert "408" in (await caller.read_response())[0]
        async with Caller(limits=limits) as caller:
            caller.send(encode_get("/1"))
            await caller.read_response()
            connection = next(iter(caller.connections))
            now = asyncio.get_running_loop().time()
            connection.check_timeouts(now + 1.9)
            assert not caller.writer.is_closing()
            connection.check_timeouts(now + 2.5)
            assert await caller.reader.read() == b""

    run(scenario())


@pytest.mark.parametrize("sent_before", [0, 1])
def test_a_request_that_was_not_read_yet_is_no_reason_to_time_out(sent_before):
    """Guards against an idle timeout that resets a connection with an unread request."""

    async def scenario():
        async with Caller(limits=Limits(idle_timeout_s=2.0)) as caller:
            for _ in range(sent_before):
                caller.send(encode_get("/1"))
                await caller.read_response()
            await wait_until(lambda: caller.connections)
            (connection,) = caller.connections
            caller.send(encode_get("/2"))
            connection.check_timeouts(asyncio.get_running_loop().time() + 2.5)
            assert (await caller.read_response())[1] == b"/2"

    run(scenario())


def test_a_request_that_was_not_read_yet_counts_as_being_received():
    """Guards against a stop that closes a connection as idle whose request was not read yet."""

    async def scenario():
        async with Caller() as caller:
            await wait_until(lambda: caller.connections)
            (connection,) = caller.connections
            assert connection.state == (False, False, True)
            caller.send(encode_get("/1"))
            assert connection.state == (False, True, True)
            await caller.read_response()
            assert connection.state == (False, False, False)

    run(scenario())


def test_while_closing_all_received_requests_are_answered_and_the_last_response_closes():
    """Guards against a planned stop that drops requests which were already received."""

    async def scenario():
        async with Caller(closing=True) as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1") + encode_get("/2"))
            await wait_until(lambda: caller.started == ["/1", "/2"])
            caller.release_events["/1"].set()
            first, _ = await caller.read_response()
            second, _ = await caller.read_response()
            assert "connection: close" not in first.lower()
            assert "connection: close" in second.lower()
            assert await caller.reader.read() == b""

    run(scenario())


def test_while_closing_nothing_is_read_behind_a_request_in_progress():
    """Guards against a pipelining caller that is never told to close, and is cut off at the end."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1"))
            await wait_until(lambda: caller.started == ["/1"])
            caller.closing = True
            caller.send(encode_get("/2"))
            await asyncio.sleep(0.05)
            caller.release_events["/1"].set()
            head, _ = await caller.read_response()
            assert "connection: close" in head.lower()
            assert caller.started == ["/1"]

    run(scenario())


def test_while_closing_requests_above_the_pipelining_limit_are_left_to_the_caller():
    """Guards against a last response that waits for requests that were not even started."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/0"] = asyncio.Event()
            caller.send(b"".join(encode_get(f"/{number}") for number in range(100)))
            await wait_until(lambda: len(caller.started) == 32)
            caller.closing = True
            caller.release_events["/0"].set()
            heads = [(await caller.read_response())[0].lower() for _ in range(32)]
            assert ["connection: close" in head for head in heads] == [False] * 31 + [True]
            assert await caller.reader.read() == b""

    run(scenario())


def test_bytes_behind_the_last_response_do_not_reset_the_connection():
    """Guards against a caller that loses a response because its next request is not read."""

    async def scenario():
        async with Caller(closing=True) as caller:
            caller.send(encode_get("/1"))
            await wait_until(lambda: any(c.state.is_answering for c in caller.connections))
            await asyncio.sleep(0.05)
            for _ in range(20):
                caller.send(encode_get("/more"))
                await asyncio.sleep(0.002)
            assert (await caller.read_response())[1] == b"/1"
            assert await caller.reader.read() == b""
            assert caller.started == ["/1"]

    run(scenario())


def test_a_slow_caller_that_sends_on_gets_the_whole_last_response():
    """Guards against a response that is reset while its caller still receives it."""

    async def scenario():
        async with Caller(closing=True) as caller:
            sock = caller.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            size = 12_000_000
            caller.limits = Limits(body_bytes=size)
            head = f"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
            caller.send(head.encode() + b"x" * size)
            await caller.reader.readuntil(b"\r\n\r\n")
            received = 0
            async with asyncio.timeout(20):
                while received < size + len("/1"):
                    data = await caller.reader.read(100_000)
                    assert data, f"the connection ended after {received} bytes"
                    received += len(data)
                    caller.send(encode_get("/more"))
                    await asyncio.sleep(0.02)
            assert caller.started == ["/1"]

    run(scenario())


@pytest.mark.parametrize(
    "data",
    [b"GET /1 HTTP/1.1\r\nHost", b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbo"],
)
def test_a_request_that_is_not_complete_in_time_is_refused(data):
    """Guards against a part of a request that gets no response when the VM stops."""

    async def scenario():
        async with Caller(closing=True) as caller:
            caller.send(data)
            await wait_until(lambda: any(c.state.is_receiving for c in caller.connections))
            connection = next(iter(caller.connections))
            assert connection.refuse_unfinished("the entry VM stops")
            assert not connection.refuse_unfinished("the entry VM stops")
            head, _ = await caller.read_response()
            assert " 503 " in head.split("\r\n")[0]
            assert "connection: close" in head.lower()
            assert caller.started == []

    run(scenario())


def test_100_continue_is_sent_after_the_responses_to_earlier_requests():
    """Guards against a caller that waits for 100 Continue forever, or gets it out of order."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            head = (
                b"POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
            )
            caller.send(encode_get("/1") + head)
            await wait_until(lambda: caller.started)
            caller.release_events["/1"].set()
            assert (await caller.read_response())[1] == b"/1"
            assert b" 100 " in await caller.reader.readuntil(b"\r\n\r\n")
            caller.send(b"body")
            assert (await caller.read_response())[1] == b"/2body"

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
def test_requests_with_ambiguous_framing_are_rejected(data, status):
    """Guards against request smuggling, where the next hop sees other request boundaries."""

    async def scenario():
        async with Caller() as caller:
            caller.send(data)
            head, _ = await caller.read_response()
            assert status in head.split("\r\n")[0]
            assert caller.started == []

    run(scenario())


def test_the_caller_sees_at_once_that_an_idle_connection_closes():
    """Guards against a request that is sent between the decision to close and the close."""

    async def scenario():
        async with Caller() as caller:
            loop = asyncio.get_running_loop()
            port = caller.server.sockets[0].getsockname()[1]
            with socket.create_connection(("127.0.0.1", port)) as sock:
                sock.setblocking(False)
                await wait_until(lambda: len(caller.connections) == 2)
                for connection in caller.connections:
                    connection.check_timeouts(loop.time() + caller.limits.idle_timeout_s + 1)
                assert sock.recv(1) == b""
            await wait_until(lambda: not caller.connections)

    run(scenario())


def test_an_idle_connection_that_its_caller_has_reset_closes():
    """Guards against an error at the end of a connection that exists no more."""

    async def scenario():
        async with Caller() as caller:
            port = caller.server.sockets[0].getsockname()[1]
            sock = socket.create_connection(("127.0.0.1", port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await wait_until(lambda: len(caller.connections) == 2)
            sock.close()
            for connection in caller.connections:
                connection.close()
            await wait_until(lambda: not caller.connections)

    run(scenario())


def test_a_refusal_to_a_caller_that_has_left_raises_nothing():
    """Guards against a stop that fails at a caller that left in the middle of a body."""

    async def scenario():
        async with Caller() as caller:
            port = caller.server.sockets[0].getsockname()[1]
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab")
            await wait_until(lambda: any(c.state.is_receiving for c in caller.connections))
            (connection,) = (c for c in caller.connections if c.state.is_receiving)
            sock.close()
            assert connection.refuse_unfinished("the entry VM stops")
            await wait_until(lambda: connection not in caller.connections)

    run(scenario())


def test_an_upgrade_is_ignored_and_later_requests_are_answered():
    """Guards against requests lost after an Upgrade header, at which the parser stops."""

    async def scenario():
        async with Caller() as caller:
            offer = b"GET /1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"
            caller.send(offer + encode_get("/2"))
            assert [(await caller.read_response())[1] for _ in range(2)] == [b"/1", b"/2"]

    run(scenario())


OFFER = b"Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAEA\r\n"
NOTE = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: %d\r\n\r\n%s" % (len(NOTE), NOTE),
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(NOTE), NOTE),
    ],
    ids=["length", "chunks"],
)
def test_the_body_of_a_request_that_offers_an_upgrade_is_its_body(framed, size):
    """Guards against a body that is dropped, or run as a request that no caller sent."""

    async def scenario():
        async with Caller() as caller:
            data = b"POST /1 HTTP/1.1\r\nHost: a\r\n" + OFFER + framed + encode_get("/2")
            for start in range(0, len(data), size):
                caller.send(data[start : start + size])
                await asyncio.sleep(0)
            bodies = [(await caller.read_response())[1] for _ in range(2)]
            assert bodies == [b"/1" + NOTE, b"/2"]
            assert caller.started == ["/1", "/2"]

    run(scenario())


def test_an_upgrade_with_a_body_on_a_closing_connection_closes_it():
    """Guards against a connection that stays open because its head was parsed anew."""

    async def scenario():
        async with Caller() as caller:
            head = b"POST /1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade, close\r\n"
            caller.send(head + b"Content-Length: 2\r\n\r\nok")
            assert (await caller.read_response())[1] == b"/1ok"
            assert await caller.reader.read() == b""

    run(scenario())


def test_a_request_for_a_tunnel_is_rejected():
    """Guards against bytes of a tunnel that are run as requests."""

    async def scenario():
        async with Caller() as caller:
            caller.send(b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" + NOTE)
            assert " 400 " in (await caller.read_response())[0].split("\r\n")[0]
            assert await caller.reader.read() == b""
            assert caller.started == []

    run(scenario())


def test_requests_above_the_pipelining_limit_are_all_answered_in_order():
    """Guards against queued requests that never start when earlier ones have been answered."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/0"] = asyncio.Event()
            caller.send(b"".join(encode_get(f"/{number}") for number in range(100)))
            await wait_until(lambda: len(caller.started) == 32)
            caller.release_events["/0"].set()
            bodies = [(await caller.read_response())[1] for _ in range(100)]
            assert bodies == [f"/{number}".encode() for number in range(100)]

    run(scenario())


class UnreadTimes(Caller):
    """A client whose server records how long each request waited to be read."""

    def __init__(self):
        super().__init__()
        self.unread_s = []

    async def handle(self, request):
        self.unread_s.append(request.unread_s)
        return await super().handle(request)


def test_a_request_states_how_long_it_waited_to_be_read():
    """Guards against delays between the kernel and the process that no log line shows."""

    async def scenario():
        async with UnreadTimes() as caller:
            for pause_s in (0.0, 0.3):
                caller.send(encode_get("/a"))
                time.sleep(pause_s)
                await caller.read_response()
            return caller.unread_s

    read_at_once, read_late = run(scenario())
    assert read_at_once < 0.2
    assert 0.25 <= read_late < 3.0
