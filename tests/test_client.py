"""Client connections against peers that answer late, twice, partly or not at all."""

import asyncio
import contextlib

import pytest

from carawaybank.client import ClientConnection, ClientPool, ExchangeError, HttpCall
from carawaybank.verdicts import Reason

ECHO = "X-Id"


def answer(request_id="1", body=b"ok", extra=b""):
    head = f"HTTP/1.1 200 OK\r\n{ECHO}: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body + extra


def call(request_id="1", method="GET", body=b""):
    headers = [("Host", "peer"), (ECHO, request_id)]
    return HttpCall(method, "/x", headers, body, (ECHO, request_id))


class Peer:
    """Writes the scripted bytes after each request, and notes what it read."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        while self.scripts:
            try:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            script = self.scripts.pop(0)
            if script is None:
                await asyncio.sleep(30)
            writer.write(script)
            await writer.drain()
            if not self.scripts:
                writer.close()


def exchange(*scripts, calls=1, timeout_s=2.0, pause_s=0.0):
    async def run():
        peer = Peer(*scripts)
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        replies = []
        try:
            for number in range(1, calls + 1):
                replies.append(await connection.exchange(call(str(number)), timeout_s=timeout_s))
                await asyncio.sleep(pause_s)
        finally:
            connection.close()
            server.close()
            for writer in peer.writers:
                writer.close()
        return replies, connection, peer

    return asyncio.run(run())


def failure(*scripts, **options):
    with pytest.raises(ExchangeError) as caught:
        exchange(*scripts, **options)
    return caught.value


def test_a_whole_answer():
    replies, _, _ = exchange(answer())
    assert replies[0].body == b"ok"
    assert replies[0].header(ECHO) == "1"


def test_a_connection_carries_many_exchanges():
    replies, _, peer = exchange(answer("1"), answer("2", b"two"), calls=2)
    assert [reply.body for reply in replies] == [b"ok", b"two"]
    assert peer.connections == 1


def test_an_answer_without_length_ends_with_the_connection():
    replies, connection, _ = exchange(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
    assert replies[0].body == b"all of it"
    assert not connection.is_open


def test_a_truncated_answer_is_not_whole():
    error = failure(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\nhalf")
    assert error.reason in {Reason.ANSWER_TRUNCATED, Reason.CONNECTION_LOST}
    assert error.sent


def test_bytes_that_are_no_answer():
    error = failure(b"\x00\x01 what is this\r\n\r\n")
    assert error.sent


def test_a_closed_connection_says_that_the_request_may_have_run():
    error = failure(b"")
    assert error.reason is Reason.CONNECTION_LOST
    assert error.sent
    assert not error.heard


def test_silence_ends_with_the_time():
    error = failure(None, timeout_s=0.05)
    assert error.reason is Reason.TIMEOUT


def test_a_second_answer_spoils_the_connection_and_belongs_to_nobody():
    replies, connection, _ = exchange(answer("1", extra=answer("1", b"again")))
    assert replies[0].body == b"ok"
    assert not connection.is_open


def test_a_late_answer_to_an_earlier_request_is_passed_over():
    replies, connection, _ = exchange(
        answer("1"), answer("1", b"late") + answer("2", b"two"), calls=2
    )
    assert replies[1].body == b"two"
    assert not connection.is_reusable


def test_bytes_on_an_idle_connection_end_its_use():
    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer("1"))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(answer("1", b"again"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        await connection.exchange(call("1"), timeout_s=2.0)
        pool = ClientPool()
        pool.put("peer", connection)
        while connection.is_open:
            await asyncio.sleep(0.01)
        assert pool.take("peer") is None
        server.close()

    asyncio.run(run())


def test_a_refused_connection_was_not_sent():
    async def run():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=1.0)

    with pytest.raises(ExchangeError) as caught:
        asyncio.run(run())
    assert caught.value.reason is Reason.CONNECTION_REFUSED
    assert not caught.value.sent


def test_a_cancelled_exchange_closes_its_connection_so_that_the_peer_stops():
    async def run():
        started, ended = asyncio.Event(), asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            started.set()
            with contextlib.suppress(ConnectionError):  # an abort may arrive as a reset
                await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        exchange = asyncio.create_task(connection.exchange(call("1"), timeout_s=30.0))
        async with asyncio.timeout(5):
            await started.wait()
            exchange.cancel()
            await ended.wait()
        assert not connection.is_open
        server.close()

    asyncio.run(run())


def test_an_answer_before_a_long_body_is_sent_stands_and_ends_the_connection():
    """What is left of the body would be read as the next request."""

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer("1", b"no"))
            await writer.drain()
            await asyncio.sleep(30)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        long = call("1", method="POST", body=b"x" * 30_000_000)
        reply = await connection.exchange(long, timeout_s=5.0)
        assert reply.body == b"no"
        assert not connection.is_open
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("script", "whole"),
    [
        (b"HTTP/1.1 103 Early\r\nX-Id: 0\r\n\r\n" + answer("1"), True),
        (b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nok", False),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok", False),
        (b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: " + b"y" * 70_000, False),
    ],
)
def test_answers_that_are_not_whole_answers(script, whole):
    if whole:
        replies, _, _ = exchange(script)
        assert replies[0].body == b"ok"
    else:
        assert failure(script, timeout_s=0.3).sent


def test_headers_cannot_end_a_line():
    async def run():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        forged = call("1")._replace(headers=[("Host", "peer\r\nX-Forged: 1")])
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(forged, timeout_s=1.0)
        assert not caught.value.sent
        server.close()

    asyncio.run(run())


def test_a_connection_is_not_used_again_if_the_answer_came_before_the_body_was_sent():
    """Otherwise the peer would take the next request for the rest of the body."""

    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer())
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.close()

    async def run():
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0, limit=1_000)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        body = b"x" * 20_000_000
        reply = await connection.exchange(call("1", "POST", body), timeout_s=2.0)
        server.close()
        assert reply.body == b"ok"
        assert not connection.is_open

    asyncio.run(run())
