"""Verdicts for each point at which an exchange with a target can fail."""

import asyncio
import socket
import struct
import time

import pytest

from carawaybank.steering.messages import Dispatch
from carawaybank.targets.client import TargetClient
from carawaybank.transport import HttpRequest, Transport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.scripted_server import ScriptedServer, make_response, read_request

ID = "r1"


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def script(*steps):
    def run(connection):
        for step in steps:
            step(connection)

    return run


def send(data: bytes):
    return lambda connection: connection.sendall(data)


def close(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_RDWR)
    connection.close()


def wait_for_request(connection: socket.socket) -> None:
    """Waits for the request without reading it; a reset before it is sent would be another case."""
    connection.recv(1, socket.MSG_PEEK)


def stop_responding(connection: socket.socket) -> None:
    time.sleep(5)


COMPLETE = make_response(ID)
#: Points at which an exchange is cut off, with the script of the server and the expected reason.
CUTS = {
    "before the request is read": (script(wait_for_request, reset), Reason.TARGET_CRASHED),
    "after the request is read": (script(read_request, close), Reason.TARGET_CRASHED),
    "reset after the request": (script(read_request, reset), Reason.TARGET_CRASHED),
    "in the status line": (script(read_request, send(COMPLETE[:7]), close), Reason.TARGET_CRASHED),
    "in the headers": (script(read_request, send(COMPLETE[:40]), close), Reason.TARGET_CRASHED),
    "between headers and body": (
        script(read_request, send(COMPLETE[: -len(b"whole")]), close),
        Reason.TARGET_CRASHED,
    ),
    "in the body": (script(read_request, send(COMPLETE[:-2]), close), Reason.TARGET_CRASHED),
    "in a chunked body": (
        script(
            read_request,
            send(
                b"HTTP/1.1 200 OK\r\nCarawaybank-Request-Id: r1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
            ),
            close,
        ),
        Reason.TARGET_CRASHED,
    ),
    "frozen before the answer": (script(read_request, stop_responding), Reason.TIMEOUT),
    "frozen in the headers": (
        script(read_request, send(COMPLETE[:40]), stop_responding),
        Reason.TIMEOUT,
    ),
    "frozen in the body": (
        script(read_request, send(COMPLETE[:-2]), stop_responding),
        Reason.TIMEOUT,
    ),
    "another request's answer": (
        script(read_request, send(make_response("r2")), stop_responding),
        Reason.ANSWER_OF_ANOTHER_REQUEST,
    ),
    "an answer without an id": (
        script(
            read_request, send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), stop_responding
        ),
        Reason.ANSWER_OF_ANOTHER_REQUEST,
    ),
    "an answer without a length": (
        script(
            read_request,
            send(b"HTTP/1.1 200 OK\r\nCarawaybank-Request-Id: r1\r\n\r\nwhole"),
            close,
        ),
        Reason.ANSWER_TRUNCATED,
    ),
    "an answer that is too large": (
        script(read_request, send(make_response(ID, b"x" * 5000)), stop_responding),
        Reason.ANSWER_TOO_LARGE,
    ),
    "no HTTP at all": (script(read_request, send(b"hello\r\n\r\n"), close), Reason.TARGET_CRASHED),
    "two lengths": (
        script(
            read_request,
            send(
                b"HTTP/1.1 200 OK\r\nCarawaybank-Request-Id: r1\r\n"
                b"Content-Length: 5\r\nContent-Length: 2\r\n\r\nwhole"
            ),
            close,
        ),
        Reason.TARGET_CRASHED,
    ),
}


class Client:
    """A target client with its own event loop, which runs only while a request is in flight."""

    def __init__(self, *, connect_timeout_s=0.5):
        self.loop = asyncio.new_event_loop()
        transport = Transport(connect_timeout_s=connect_timeout_s, max_body_bytes=1000)
        self.targets = TargetClient(transport=transport)

    def dispatch(self, address, *, fresh=True, reuse_limit_s=0.3, limit_s=0.6, body=b"job"):
        now = time.monotonic()
        action = Dispatch(1, "t1", address, now + limit_s, now + reuse_limit_s, fresh)
        request = HttpRequest("POST", "/run", {"Carawaybank-Request-Id": ID}, body, ID)
        return self.loop.run_until_complete(self.targets.dispatch(action, request))

    def exchange_successfully(self, address):
        """Performs an exchange that must succeed and leaves its connection idle."""
        verdict = self.dispatch(address, fresh=False, limit_s=20.0).verdict
        assert isinstance(verdict, Answered)

    def run_idle(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def client():
    client = Client()
    yield client
    client.loop.close()


@pytest.fixture
def server():
    servers = []

    def start(*scripts):
        servers.append(ScriptedServer(*scripts))
        return servers[-1]

    yield start
    for started in servers:
        started.close()


def test_complete_response_is_returned(client, server):
    result = client.dispatch(server(script(read_request, send(COMPLETE))).address)
    assert isinstance(result.verdict, Answered)
    assert result.verdict.body == b"whole"


def test_response_may_take_longer_than_connect_timeout(server):
    """Guards against limiting the response by the time limit for opening a connection."""
    quick = Client(connect_timeout_s=0.1)
    slow = script(read_request, lambda _: time.sleep(0.3), send(COMPLETE))
    assert isinstance(quick.dispatch(server(slow).address).verdict, Answered)


def test_request_on_refused_connection_did_not_run(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    result = client.dispatch(address)
    assert isinstance(result.verdict, NotRun)
    assert result.verdict.reason is Reason.CONNECTION_REFUSED


def test_request_that_the_target_shed_did_not_run(client, server):
    shed = (
        b"HTTP/1.1 503 Busy\r\nCarawaybank-Request-Id: r1\r\nCarawaybank-Not-Run: true\r\n"
        b"Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
    )
    verdict = client.dispatch(server(script(read_request, send(shed))).address).verdict
    assert verdict == NotRun(Reason.TARGET_SHED, 2.0, verdict.detail)


def test_shed_response_to_another_request_is_not_used(client, server):
    """Guards against repeating a request because of a response that belongs to another one."""
    shed = (
        b"HTTP/1.1 503 Busy\r\nCarawaybank-Request-Id: r2\r\nCarawaybank-Not-Run: true\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    result = client.dispatch(server(script(read_request, send(shed))).address)
    assert isinstance(result.verdict, MayHaveRun)


@pytest.mark.parametrize("cut", CUTS)
def test_failed_exchange_may_have_run(cut, client, server):
    """Guards against repeating a request that ran before its exchange failed."""
    server_script, reason = CUTS[cut]
    # Only a timeout depends on the limit. Other failures may take long on a busy machine.
    limit_s = 0.6 if reason is Reason.TIMEOUT else 10.0
    result = client.dispatch(server(server_script).address, limit_s=limit_s)
    assert isinstance(result.verdict, MayHaveRun)
    assert result.verdict.reason is reason


@pytest.mark.parametrize("cut", CUTS)
def test_failed_exchange_on_reused_connection_may_have_run(cut, client, server):
    """Guards against repeating a request that ran before a reused connection failed."""
    server_script, _ = CUTS[cut]
    first = script(read_request, send(COMPLETE), server_script)
    address = server(first, script(read_request, close)).address
    client.exchange_successfully(address)
    result = client.dispatch(address, fresh=False)
    assert isinstance(result.verdict, MayHaveRun)


def test_connection_is_not_reused_after_failed_exchange(client, server):
    """The rest of a failed exchange on the connection must not be read by the next request."""
    started = server(
        script(read_request, send(make_response("r2")), stop_responding),
        script(read_request, send(COMPLETE)),
    )
    client.dispatch(started.address)
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)
    assert len(started.connections) == 2


def test_surplus_response_does_not_reach_the_next_request(client, server):
    """Guards against returning a second response, sent for one request, to the next request."""
    started = server(
        script(
            read_request, send(COMPLETE + make_response("r1-late")), read_request, stop_responding
        ),
        script(read_request, send(make_response(ID, b"second"))),
    )
    client.exchange_successfully(started.address)
    second = client.dispatch(started.address, fresh=False).verdict
    assert (second.status, second.body) == (200, b"second")
    assert len(started.connections) == 2


def test_unresponsive_connection_times_out_at_reuse_deadline(client, server):
    """A reused connection that has died gives no error; only the earlier deadline detects it."""
    started = server(
        script(read_request, send(COMPLETE), read_request, stop_responding),
        script(read_request, send(COMPLETE)),
    )
    client.exchange_successfully(started.address)
    result = client.dispatch(started.address, fresh=False, reuse_limit_s=0.1)
    assert result.verdict.reason is Reason.TIMEOUT
    assert result.may_linger
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)


def test_close_of_reused_connection_is_no_crash_if_address_accepts_requests(client, server):
    """Guards against counting the restart of a target on its address as a crash by the request."""
    started = server(
        script(read_request, send(COMPLETE), close), script(read_request, send(make_response("")))
    )
    client.exchange_successfully(started.address)
    result = client.dispatch(started.address, fresh=False)
    assert isinstance(result.verdict, MayHaveRun)
    assert not result.crashed


def test_slow_response_ends_at_the_deadline(client, server):
    """A target that sends single bytes must not extend the time limit with each of them."""

    def send_slowly(connection):
        read_request(connection)
        connection.sendall(COMPLETE[:-5])
        for byte in b"whole":
            time.sleep(0.25)
            connection.sendall(bytes([byte]))

    result = client.dispatch(server(send_slowly).address)
    assert result.verdict.reason is Reason.TIMEOUT
    assert result.latency_s < 1.0


def test_idle_connection_closed_by_peer_is_not_reused(client, server):
    """Guards against losing a request on a connection that is known to be closed."""
    started = server(
        script(read_request, send(COMPLETE), close), script(read_request, send(make_response(ID)))
    )
    client.exchange_successfully(started.address)
    client.run_idle(0.2)
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)
