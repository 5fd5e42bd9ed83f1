"""Peers whose bytes never complete a message, or whose messages never end."""

import asyncio
import time
import tracemalloc

import pytest

from carawaybank.buffers import BufferBudget
from carawaybank.callers.requests import InvalidRequestError, RequestParser
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.replies import ReplyReader
from carawaybank.routing.configuration import Limits
from carawaybank.verdicts import Reason

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
WRITE_BYTES = 16_384
MAX_BODY_BYTES = 1_000_000
#: Maximum seconds until an unbounded response is detected; the deadline is ten times as long.
MAX_DETECTION_S = 1.0
DEADLINE_S = 10.0
#: Maximum bytes of one read of a connection, and how many times as much memory a response without
#: a body may use: for the bytes themselves, the parser's copy and the data that it reports.
READ_BYTES = 262_144
MAX_COPIES = 8

UNBOUNDED_FRAMING = {
    "garbage": (b"", b"\x00garbage"),
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "header": (STATUS_LINE + b"X-A: ", b"a"),
    "headers": (STATUS_LINE, b"X-A: a\r\n"),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;a=", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: a\r\n"),
    "chunks of a byte with long extensions": (CHUNKED, b"1;" + b"a" * 400 + b"\r\nx\r\n"),
}
UNBOUNDED_BODIES = {
    "in chunks": (CHUNKED, b"4000\r\n" + b"x" * 16_384 + b"\r\n"),
    "without a length": (STATUS_LINE + b"\r\n", b"x" * 16_384),
    "of a great length": (STATUS_LINE + b"Content-Length: 99999999999\r\n\r\n", b"x" * 16_384),
}


def measure_failure(first, again, *, max_body_bytes=MAX_BODY_BYTES):
    """Sends a request to a peer that responds without end.

    Returns:
        The failure, the seconds until it and the peak of allocated memory in bytes.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        data = again * max(1, WRITE_BYTES // len(again))
        writer.write(first)
        try:
            while True:
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await ClientConnection.open(address, timeout_s=1.0)
        call = HttpCall("GET", "/", [("Host", "peer")])
        started = time.monotonic()
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(call, timeout_s=DEADLINE_S, max_body_bytes=max_body_bytes)
        assert not connection.is_open
        elapsed_s = time.monotonic() - started
        server.close()
        return caught.value, elapsed_s

    tracemalloc.start()
    try:
        failure, elapsed_s = asyncio.run(run())
        return failure, elapsed_s, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("name", UNBOUNDED_FRAMING)
def test_a_response_that_never_completes_is_detected_early(name):
    """A peer that repeats framing bytes without end must not hold a request until its deadline.

    Nor may the memory of the process grow with what the peer sends.
    """
    failure, elapsed_s, peak_bytes = measure_failure(*UNBOUNDED_FRAMING[name])
    assert failure.reason in {Reason.CONNECTION_LOST, Reason.ANSWER_TRUNCATED}
    assert elapsed_s < MAX_DETECTION_S
    assert peak_bytes < MAX_COPIES * READ_BYTES


@pytest.mark.parametrize("name", UNBOUNDED_BODIES)
def test_an_unbounded_body_uses_no_more_memory_than_allowed(name):
    """The body must be rejected at the size limit rather than collected until the deadline."""
    failure, elapsed_s, peak_bytes = measure_failure(*UNBOUNDED_BODIES[name])
    assert failure.reason is Reason.ANSWER_TOO_LARGE
    assert elapsed_s < MAX_DETECTION_S
    assert peak_bytes < 3 * MAX_BODY_BYTES


def test_an_exchange_without_a_size_limit_uses_the_default():
    """An unbounded body must not exhaust memory where a caller of the client sets no limit."""
    first, again = UNBOUNDED_BODIES["without a length"]
    failure, _, peak_bytes = measure_failure(first, again, max_body_bytes=None)
    assert failure.reason is Reason.ANSWER_TOO_LARGE
    assert peak_bytes < 100_000_000


@pytest.mark.parametrize("size", [1, 7, 100, 5_000])
def test_chunks_of_any_size_are_accepted(size):
    """The limit on framing bytes must not reject valid responses with very small chunks."""
    body = bytes(range(256)) * 400
    chunks = [body[offset : offset + size] for offset in range(0, len(body), size)]
    data = CHUNKED + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks)
    reader = ReplyReader(method="GET")
    for offset in range(0, len(data), 1_000):
        reader.feed(data[offset : offset + 1_000])
    reader.feed(b"0\r\nX-Trailer: 1\r\n\r\n")
    assert reader.problem == ""
    assert reader.replies[0].body == body


CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (CHUNKED_REQUEST, b"0"),
        (CHUNKED_REQUEST + b"5;a=", b"a"),
        (CHUNKED_REQUEST + b"0\r\n", b"X-A: a\r\n"),
        (b"", b"\r\n"),
    ],
    ids=["chunk size", "chunk extension", "trailers", "empty lines"],
)
def test_a_request_that_never_completes_is_rejected(first, again):
    """A caller that sends framing bytes without end must not keep a connection and its memory."""
    requests = []
    parser = RequestParser(limits=Limits, on_request=requests.append)
    parser.feed(first)
    with pytest.raises(InvalidRequestError):
        feed_all(parser, again, size=1_000_000)
    assert not requests


def feed_all(parser, data, *, size):
    for _ in range(size // len(data)):
        parser.feed(data)


def test_concurrent_large_responses_share_one_budget():
    """Each of many responses may be within its own limit while all together exhaust memory.

    The budget must also be free again after the exchanges have failed.
    """
    first, again = UNBOUNDED_BODIES["without a length"]
    budget = BufferBudget(max_bytes=2_000_000)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        try:
            while True:
                writer.write(again)
                await writer.drain()
        except ConnectionError:
            writer.close()

    async def exchange(address):
        connection = await ClientConnection.open(address, timeout_s=1.0)
        call = HttpCall("GET", "/", [("Host", "peer")])
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(call, timeout_s=DEADLINE_S, budget=budget)
        assert caught.value.reason is Reason.ANSWER_TOO_LARGE

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        await asyncio.gather(*(exchange(address) for _ in range(20)))
        server.close()

    asyncio.run(run())
    assert budget.try_acquire(budget.max_bytes)
