"""Refusals on kept connections: which attempt a target's promise belongs to."""

import asyncio

from carawaybank.client import HttpCall
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.routing.messages import Send
from carawaybank.targets.sender import TargetSender
from carawaybank.verdicts import Answered, NotRun, Reason

ID_HEADER = "X-Carawaybank-Request-Id"
SEAL = "X-Carawaybank-Server-Seal"


def make_refusal(request_id="", *, status=503):
    echo = f"{ID_HEADER}: {request_id}\r\n" if request_id else ""
    reason = "X-Carawaybank-Not-Run: full\r\n" if status != 421 else ""
    return f"HTTP/1.1 {status} No\r\n{echo}{reason}Content-Length: 0\r\n\r\n".encode()


def make_answer(request_id):
    head = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n{SEAL}: s\r\n"
    return f"{head}Content-Length: 2\r\n\r\nok".encode()


class Target:
    """Writes the next scripted bytes after each request, over all connections."""

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                for part in self._scripts.pop(0):
                    writer.write(part)
                    await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def send_all(target, *request_ids, idempotent=False):
    """Sends requests one after the other and returns their verdicts."""

    async def run():
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        sender = TargetSender(dialect=PlatformDialect())
        verdicts = []
        for key, request_id in enumerate(request_ids):
            deadline = asyncio.get_running_loop().time() + 1.0
            action = Send(key, "t1", f"{host}:{port}", "a1", deadline, idempotent)
            headers = [("host", "x"), (ID_HEADER, request_id)] if request_id else [("host", "x")]
            call = HttpCall("GET", "/x", headers, b"", (ID_HEADER, request_id))
            result = await sender.send(action, call, round_trip_s=0.0)
            verdicts.append(result.verdict)
        sender.pool.close_all()
        server.close()
        return verdicts

    return asyncio.run(run())


def test_an_earlier_refusal_that_comes_again_does_not_refuse_the_next_request():
    """Guards against telling a caller that a request has not run while a target runs it."""
    for status in (503, 429, 421):
        refusal = make_refusal(status=status)
        target = Target([make_answer("r1")], [refusal, make_answer("r2")])
        _, second = send_all(target, "r1", "r2")
        assert isinstance(second, Answered), (status, second)
        assert target.connections == 1


def test_additional_bytes_without_an_id_are_no_answer_on_a_kept_connection():
    """Guards against the response of nobody, passed on as that of a booking that has run."""
    for status in (200, 400, 408, 429, 500, 503, 504):
        extra = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
        target = Target([make_answer("r1")], [extra, make_answer("r2")])
        _, second = send_all(target, "r1", "r2")
        assert isinstance(second, Answered), (status, second)
        assert (second.status, second.body) == (200, b"ok")


def test_an_earlier_refusal_does_not_refuse_another_attempt_of_the_same_request():
    """A refused request has the same id when it is sent again, so only the connection differs."""
    refusal = make_refusal("r1")
    target = Target([refusal], [make_answer("r1")])
    first, second = send_all(target, "r1", "r1")
    assert isinstance(first, NotRun)
    assert isinstance(second, Answered)
    assert target.connections == 2


def test_a_refusal_without_an_id_counts_on_a_connection_without_earlier_requests():
    """Targets refuse requests without an id, and no other request can be meant."""
    target = Target([make_answer("r1")], [make_refusal(status=400)])
    _, second = send_all(target, "r1", "")
    assert isinstance(second, NotRun)
    assert second.reason is Reason.TARGET_SHED


def test_a_refusal_that_names_the_request_counts_on_a_kept_connection():
    target = Target([make_answer("r1")], [make_refusal("r2")])
    _, second = send_all(target, "r1", "r2")
    assert isinstance(second, NotRun)
    assert target.connections == 1
