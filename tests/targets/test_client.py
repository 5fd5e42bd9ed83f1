"""Every place at which an exchange with a target can be cut, and the verdict for it."""

import asyncio
import socket
import struct
import time

import pytest

from carawaybank.steering.messages import Dispatch
from carawaybank.targets.client import TargetClient
from carawaybank.transport import HttpRequest, Transport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason
from tests.scripted import ScriptedServer, answer, read_request

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


def await_request(connection: socket.socket) -> None:
    """Waits for the request without reading it: a reset before it is sent is no cut."""
    connection.recv(1, socket.MSG_PEEK)


def freeze(connection: socket.socket) -> None:
    time.sleep(5)


WHOLE = answer(ID)
CUTS = {
    "before the request is read": (script(await_request, reset), Reason.TARGET_CRASHED),
    "after the request is read": (script(read_request, close), Reason.TARGET_CRASHED),
    "reset after the request": (script(read_request, reset), Reason.TARGET_CRASHED),
    "in the status line": (script(read_request, send(WHOLE[:7]), close), Reason.TARGET_CRASHED),
    "in the headers": (script(read_request, send(WHOLE[:40]), close), Reason.TARGET_CRASHED),
    "between headers and body": (
        script(read_request, send(WHOLE[: -len(b"whole")]), close),
        Reason.TARGET_CRASHED,
    ),
    "in the body": (script(read_request, send(WHOLE[:-2]), close), Reason.TARGET_CRASHED),
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
    "frozen before the answer": (script(read_request, freeze), Reason.TIMEOUT),
    "frozen in the headers": (script(read_request, send(WHOLE[:40]), freeze), Reason.TIMEOUT),
    "frozen in the body": (script(read_request, send(WHOLE[:-2]), freeze), Reason.TIMEOUT),
    "another request's answer": (
        script(read_request, send(answer("r2")), freeze),
        Reason.ANSWER_CROSSED,
    ),
    "an answer without an id": (
        script(read_request, send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), freeze),
        Reason.ANSWER_CROSSED,
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
        script(read_request, send(answer(ID, b"x" * 5000)), freeze),
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
    """A client of targets with a loop of its own, which runs while a request is under way."""

    def __init__(self, *, connect_timeout_s=0.5):
        self.loop = asyncio.new_event_loop()
        transport = Transport(connect_timeout_s=connect_timeout_s, max_body_bytes=1000)
        self.targets = TargetClient(transport=transport)

    def dispatch(self, address, *, fresh=True, patience=0.3, limit=0.6, body=b"job"):
        now = time.monotonic()
        action = Dispatch(1, "t1", address, now + limit, now + patience, fresh)
        request = HttpRequest("POST", "/run", {"Carawaybank-Request-Id": ID}, body, ID)
        return self.loop.run_until_complete(self.targets.dispatch(action, request))

    def answered(self, address):
        """Makes an exchange that must succeed and leaves its connection idle."""
        verdict = self.dispatch(address, fresh=False, limit=20.0).verdict
        assert isinstance(verdict, Answered)

    def idle(self, seconds):
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


def test_a_whole_answer_is_passed_on(client, server):
    ended = client.dispatch(server(script(read_request, send(WHOLE))).address)
    assert isinstance(ended.verdict, Answered)
    assert ended.verdict.body == b"whole"


def test_an_answer_may_take_longer_than_a_connection(server):
    quick = Client(connect_timeout_s=0.1)
    slow = script(read_request, lambda _: time.sleep(0.3), send(WHOLE))
    assert isinstance(quick.dispatch(server(slow).address).verdict, Answered)


def test_a_refused_connection_did_not_run(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    ended = client.dispatch(address)
    assert isinstance(ended.verdict, NotRun)
    assert ended.verdict.reason is Reason.CONNECTION_REFUSED


def test_a_request_that_the_target_shed_did_not_run(client, server):
    shed = (
        b"HTTP/1.1 503 Busy\r\nCarawaybank-Request-Id: r1\r\nCarawaybank-Not-Run: true\r\n"
        b"Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
    )
    verdict = client.dispatch(server(script(read_request, send(shed))).address).verdict
    assert verdict == NotRun(Reason.TARGET_SHED, 2.0, verdict.detail)


def test_another_requests_shed_answer_is_not_believed(client, server):
    shed = (
        b"HTTP/1.1 503 Busy\r\nCarawaybank-Request-Id: r2\r\nCarawaybank-Not-Run: true\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    ended = client.dispatch(server(script(read_request, send(shed))).address)
    assert isinstance(ended.verdict, MayHaveRun)


@pytest.mark.parametrize("cut", CUTS)
def test_every_cut_says_that_it_may_have_run(cut, client, server):
    behaviour, reason = CUTS[cut]
    # Only silence is told by time; on a busy machine other cuts may take long to come.
    limit = 0.6 if reason is Reason.TIMEOUT else 10.0
    ended = client.dispatch(server(behaviour).address, limit=limit)
    assert isinstance(ended.verdict, MayHaveRun)
    assert ended.verdict.reason is reason


@pytest.mark.parametrize("cut", CUTS)
def test_every_cut_on_a_reused_connection_says_that_it_may_have_run(cut, client, server):
    behaviour, _ = CUTS[cut]
    first = script(read_request, send(WHOLE), behaviour)
    address = server(first, script(read_request, close)).address
    client.answered(address)
    ended = client.dispatch(address, fresh=False)
    assert isinstance(ended.verdict, MayHaveRun)


def test_a_broken_connection_is_not_used_again(client, server):
    started = server(
        script(read_request, send(answer("r2")), freeze), script(read_request, send(WHOLE))
    )
    client.dispatch(started.address)
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)
    assert len(started.connections) == 2


def test_a_doubled_answer_does_not_reach_the_next_request(client, server):
    started = server(
        script(read_request, send(WHOLE + answer("r1-late")), read_request, freeze),
        script(read_request, send(answer(ID, b"second"))),
    )
    client.answered(started.address)
    second = client.dispatch(started.address, fresh=False).verdict
    assert (second.status, second.body) == (200, b"second")
    assert len(started.connections) == 2


def test_a_silent_connection_is_noticed_within_the_patience(client, server):
    started = server(
        script(read_request, send(WHOLE), read_request, freeze), script(read_request, send(WHOLE))
    )
    client.answered(started.address)
    ended = client.dispatch(started.address, fresh=False, patience=0.1)
    assert ended.verdict.reason is Reason.TIMEOUT
    assert ended.may_linger
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)


def test_a_restarted_target_on_the_same_address_is_no_crash(client, server):
    started = server(
        script(read_request, send(WHOLE), close), script(read_request, send(answer("")))
    )
    client.answered(started.address)
    ended = client.dispatch(started.address, fresh=False)
    assert isinstance(ended.verdict, MayHaveRun)
    assert not ended.crashed


def test_a_slow_drip_ends_at_the_deadline(client, server):
    def drip(connection):
        read_request(connection)
        connection.sendall(WHOLE[:-5])
        for byte in b"whole":
            time.sleep(0.25)
            connection.sendall(bytes([byte]))

    ended = client.dispatch(server(drip).address)
    assert ended.verdict.reason is Reason.TIMEOUT
    assert ended.latency_s < 1.0


def test_an_idle_connection_that_the_peer_closed_is_not_used(client, server):
    started = server(
        script(read_request, send(WHOLE), close), script(read_request, send(answer(ID)))
    )
    client.answered(started.address)
    client.idle(0.2)
    assert isinstance(client.dispatch(started.address, fresh=False).verdict, Answered)
