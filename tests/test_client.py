"""Client connections to peers that respond late, twice, partially, invalidly or not at all."""

import asyncio
import contextlib
import socket
import time

import pytest

from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.pool import ClientPool
from carawaybank.verdicts import Reason

ECHO = "X-Id"


def make_response(request_id="1", body=b"ok", extra=b""):
    head = f"HTTP/1.1 200 OK\r\n{ECHO}: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body + extra


def make_call(request_id="1", method="GET", body=b""):
    headers = [("Host", "peer"), (ECHO, request_id)]
    return HttpCall(method, "/x", headers, body, (ECHO, request_id))


class Peer:
    """Writes the scripted bytes after each request and records the requests."""

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
                replies.append(
                    await connection.exchange(make_call(str(number)), timeout_s=timeout_s)
                )
                await asyncio.sleep(pause_s)
        finally:
            connection.close()
            server.close()
            for writer in peer.writers:
                writer.close()
        return replies, connection, peer

    return asyncio.run(run())


def exchange_failure(*scripts, **options):
    with pytest.raises(ExchangeError) as caught:
        exchange(*scripts, **options)
    return caught.value


def test_a_complete_response():
    replies, _, _ = exchange(make_response())
    assert replies[0].body == b"ok"
    assert replies[0].header(ECHO) == "1"


def test_a_connection_carries_many_exchanges():
    replies, _, peer = exchange(make_response("1"), make_response("2", b"two"), calls=2)
    assert [reply.body for reply in replies] == [b"ok", b"two"]
    assert peer.connections == 1


def test_a_response_without_length_ends_with_the_connection():
    replies, connection, _ = exchange(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
    assert replies[0].body == b"all of it"
    assert not connection.is_open


def test_a_truncated_response_fails_the_exchange():
    error = exchange_failure(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\nhalf")
    assert error.reason in {Reason.ANSWER_TRUNCATED, Reason.CONNECTION_LOST}
    assert error.may_have_sent


def test_bytes_that_are_no_response_fail_the_exchange():
    error = exchange_failure(b"\x00\x01 what is this\r\n\r\n")
    assert error.may_have_sent


def test_a_connection_closed_without_response_leaves_the_outcome_unknown():
    error = exchange_failure(b"")
    assert error.reason is Reason.CONNECTION_LOST
    assert error.may_have_sent
    assert not error.has_received_bytes


def test_a_connection_that_was_lost_has_no_response():
    """Guards against a stop that fails at an attempt whose target has just ended."""

    async def run():
        peer = Peer(b"")
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        with pytest.raises(ExchangeError):
            await connection.exchange(make_call(), timeout_s=2.0)
        await asyncio.sleep(0)
        assert not connection.has_response
        server.close()
        for writer in peer.writers:
            writer.close()

    asyncio.run(run())


def test_an_exchange_without_response_times_out():
    error = exchange_failure(None, timeout_s=0.05)
    assert error.reason is Reason.TIMEOUT


def test_a_second_response_to_one_request_ends_the_use_of_the_connection():
    """A peer may respond twice; the second response must not be used for the next request."""
    replies, connection, _ = exchange(make_response("1", extra=make_response("1", b"again")))
    assert replies[0].body == b"ok"
    assert not connection.is_open


def test_a_late_response_to_an_earlier_request_is_skipped():
    """A late response to request 1 arrives before that to request 2 on the same connection.

    The echoed request id distinguishes them.
    """
    replies, connection, _ = exchange(
        make_response("1"), make_response("1", b"late") + make_response("2", b"two"), calls=2
    )
    assert replies[1].body == b"two"
    assert not connection.is_reusable


def test_bytes_on_an_idle_connection_end_its_use():
    """Bytes without a pending request would be taken as the response to the next one."""

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_response("1"))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(make_response("1", b"again"))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        await connection.exchange(make_call("1"), timeout_s=2.0)
        pool = ClientPool()
        pool.release("peer", connection)
        while connection.is_open:
            await asyncio.sleep(0.01)
        assert pool.acquire("peer") is None
        server.close()

    asyncio.run(run())


def test_a_refused_connection_means_that_nothing_was_sent():
    async def run():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=1.0)

    with pytest.raises(ExchangeError) as caught:
        asyncio.run(run())
    assert caught.value.reason is Reason.CONNECTION_REFUSED
    assert not caught.value.may_have_sent


def test_a_cancelled_exchange_closes_its_connection():
    """The peer must see the end of the connection, so that it stops work on the request."""

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
        exchange = asyncio.create_task(connection.exchange(make_call("1"), timeout_s=30.0))
        async with asyncio.timeout(5):
            await started.wait()
            exchange.cancel()
            await ended.wait()
        assert not connection.is_open
        server.close()

    asyncio.run(run())


def test_a_response_before_the_request_body_was_sent_is_returned():
    """The response is valid, but the connection must be closed.

    The peer would read the rest of the request body as the next request.
    """

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_response("1", b"no"))
            await writer.drain()
            await asyncio.sleep(30)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        long_call = make_call("1", method="POST", body=b"x" * 30_000_000)
        reply = await connection.exchange(long_call, timeout_s=5.0)
        assert reply.body == b"no"
        assert not connection.is_open
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("script", "whole"),
    [
        (b"HTTP/1.1 103 Early\r\nX-Id: 0\r\n\r\n" + make_response("1"), True),
        (b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nok", False),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok", False),
        (b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: " + b"y" * 70_000, False),
    ],
)
def test_responses_with_unusual_status_or_framing(script, whole):
    if whole:
        replies, _, _ = exchange(script)
        assert replies[0].body == b"ok"
    else:
        assert exchange_failure(script, timeout_s=0.3).may_have_sent


def test_a_header_with_a_line_break_is_rejected():
    """A line break in a header value would let a caller add headers to the request."""

    async def run():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        forged = make_call("1")._replace(headers=[("Host", "peer\r\nX-Forged: 1")])
        with pytest.raises(ExchangeError) as caught:
            await connection.exchange(forged, timeout_s=1.0)
        assert not caught.value.may_have_sent
        server.close()

    asyncio.run(run())


def test_a_connection_with_an_unsent_request_body_is_not_reused():
    """The peer responds early and reads slowly, so the body stays in the send buffer.

    It would take a following request on this connection for the rest of the body.
    """

    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_response())
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.close()

    async def run():
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0, limit=1_000)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=2.0)
        body = b"x" * 20_000_000
        reply = await connection.exchange(make_call("1", "POST", body), timeout_s=2.0)
        server.close()
        assert reply.body == b"ok"
        assert not connection.is_open

    asyncio.run(run())


@pytest.mark.parametrize("pause_s", [0.0, 0.15, 0.4])
def test_a_pause_of_the_own_process_does_not_end_an_established_connection(pause_s):
    """Guards against targets that count as unreachable because this VM waited for a core."""

    async def run():
        async def serve(reader, writer):
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().call_soon(time.sleep, pause_s)
        connection = await ClientConnection.open(f"127.0.0.1:{port}", timeout_s=0.1)
        connection.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 408 Request Timeout\r\n\r\n"])
def test_a_connection_whose_end_was_not_read_yet_is_not_reused(sent):
    """Guards against requests of unknown outcome on connections that their peer has closed."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            connection = await ClientConnection.open(address, timeout_s=1.0)
            connection.idle_since = asyncio.get_running_loop().time()
            peer, _ = listener.accept()
            pool = ClientPool()
            pool.release("peer", connection)
            assert pool.has_usable("peer")
            peer.sendall(sent)
            peer.close()
            assert not pool.has_usable("peer")
            assert pool.acquire("peer") is None

    asyncio.run(run())


@pytest.mark.parametrize("pause_s", [0.15, 0.4])
def test_a_pause_of_the_own_process_does_not_discard_a_response(pause_s):
    """Guards against responses that arrived in time and are lost because this VM was late."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            connection = await ClientConnection.open(address, timeout_s=1.0)
            peer, _ = listener.accept()

            def respond_and_pause():
                peer.recv(1000)
                peer.sendall(make_response())
                time.sleep(pause_s)

            asyncio.get_running_loop().call_later(0.02, respond_and_pause)
            reply = await connection.exchange(make_call(), timeout_s=0.1)
            assert reply.body == b"ok"
            connection.close()
            peer.close()

    asyncio.run(run())


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
def test_a_connection_that_is_not_accepted_fails_in_time_also_after_a_pause(pause_s):
    """Guards against a pause of this VM after which it waits for a peer that does not respond."""

    async def run():
        loop = asyncio.get_running_loop()
        with socket.socket() as listener, contextlib.ExitStack() as fillers:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(2):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            started = loop.time()
            loop.call_soon(time.sleep, pause_s)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            attempt = asyncio.create_task(ClientConnection.open(address, timeout_s=0.1))
            with pytest.raises(ExchangeError, match="TimeoutError") as failure:
                await asyncio.wait_for(attempt, 5.0)
            assert failure.value.reason is Reason.CONNECT_FAILED
            assert not failure.value.may_have_sent
            assert loop.time() - started >= 0.1

    asyncio.run(run())


@pytest.mark.parametrize("end", ["timeout", "cancel", "garbage", "answer", "answer and close"])
def test_a_request_that_is_given_up_is_taken_back(end):
    """Guards against a request that reaches a peer after a cut, long after it was given up.

    A reset discards what the kernel has not delivered; a complete response needs none.
    """
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    sent = {
        "garbage": b"garbage\r\n",
        "answer": answer + b"\r\n",
        "answer and close": answer + b"Connection: close\r\n\r\n",
    }

    async def run():
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent.get(end, b""))
            try:
                ended.set_result(await reader.read())
            except ConnectionResetError:
                ended.set_result("reset")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await ClientConnection.open(address, timeout_s=1.0)
        call = HttpCall("GET", "/", [("Host", "x")])
        exchange = asyncio.create_task(connection.exchange(call, timeout_s=0.2))
        if end == "cancel":
            await asyncio.sleep(0.05)
            exchange.cancel()
        await asyncio.wait([exchange])
        if end == "answer":
            connection.close()
        assert await asyncio.wait_for(ended, 1.0) == (b"" if "answer" in end else "reset")
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("answers_early", [False, True])
def test_a_large_body_is_written_as_the_peer_reads_it(answers_early):
    """Guards against copies of a body in the buffers of its connection."""
    body = bytes(range(256)) * 40_000

    async def run():
        received = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            if answers_early:
                writer.write(answer)
                return
            await asyncio.sleep(0.1)
            assert buffered() < 1_000_000
            received.append(await reader.readexactly(len(body)))
            writer.write(answer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await ClientConnection.open(address, timeout_s=1.0)

        def buffered():
            return connection._transport.get_write_buffer_size()

        call = HttpCall("POST", "/", [("Host", "x")], body)
        reply = await connection.exchange(call, timeout_s=5.0)
        assert reply.status == 200
        assert connection.is_open != answers_early
        assert received == ([] if answers_early else [body])
        connection.close()
        server.close()

    asyncio.run(run())
