"""Responses of targets that end in the middle of their head, byte by byte."""

import asyncio

import pytest

from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.replies import ReplyReader
from carawaybank.verdicts import Answered

ID_HEADER = "X-Carawaybank-Request-Id"
_IDENTITY = f"{ID_HEADER}: r1\r\nX-Carawaybank-Server-Seal: s\r\n"
_CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
#: Heads by what delimits the body that would follow.
HEADS = {
    "length": f"HTTP/1.1 200 OK\r\n{_IDENTITY}Content-Length: 12\r\n\r\n",
    "chunks": f"HTTP/1.1 200 OK\r\n{_IDENTITY}Transfer-Encoding: chunked\r\n\r\n",
    "close": f"HTTP/1.1 200 OK\r\n{_IDENTITY}Connection: close\r\n\r\n",
    "length last": f"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n{_IDENTITY}\r\n",
    "old version": f"HTTP/1.0 200 OK\r\n{_IDENTITY}\r\n",
    "after informational": f"{_CONTINUE}HTTP/1.1 200 OK\r\n{_IDENTITY}Content-Length: 12\r\n\r\n",
}
CALL = HttpCall("GET", "/x", [("host", "x"), (ID_HEADER, "r1")], b"", (ID_HEADER, "r1"))


def read(data, *, method, size):
    """Returns the responses in data that is received in pieces of a size, and then ends."""
    reader = ReplyReader(method=method)
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
    reader.end()
    return list(reader.replies)


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
def test_a_head_that_ends_early_is_no_response(method, head):
    """Guards against an empty or short body that is sent to the caller as a whole one."""
    data = head.encode()
    for size in (1, 7, len(data)):
        for end in range(len(data)):
            assert read(data[:end], method=method, size=size) == [], (end, size)


@pytest.mark.parametrize("name", ["length", "chunks", "length last", "after informational"])
def test_a_body_that_ends_early_is_no_response(name):
    body = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n" if name == "chunks" else "hello world!"
    data = (HEADS[name] + body).encode()
    for end in range(len(HEADS[name]), len(data)):
        assert read(data[:end], method="GET", size=1) == [], end
    assert len(read(data, method="GET", size=1)) == 1


def test_an_informational_response_alone_is_no_response():
    """Its head has no length, which does not mean that the end of the connection ends a body."""
    assert read(_CONTINUE.encode(), method="GET", size=1) == []


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
def test_a_target_that_closes_in_its_head_gives_no_answer(head):
    """The same over connections, where the end of the stream and bytes can arrive together."""

    async def run(end):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head.encode()[:end])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connection = await ClientConnection.open(f"{host}:{port}", timeout_s=1.0)
        try:
            reply = await connection.exchange(CALL, timeout_s=1.0)
            return PlatformDialect().decode(CALL, reply).verdict
        except ExchangeError:
            return None
        finally:
            connection.close()
            server.close()

    for end in range(0, len(head), 5):
        verdict = asyncio.run(run(end))
        assert not isinstance(verdict, Answered), (end, verdict)


@pytest.mark.parametrize("status", ["000", "099", "007"])
def test_a_status_that_is_none_is_no_response(status):
    """Guards against a garbled status that is passed on as ``HTTP/1.1 0``."""
    reader = ReplyReader(method="GET")
    reader.feed(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
    assert not reader.replies
    assert "status" in reader.problem.lower()
