"""Unexpected errors beside requests in progress: each caller gets an answer, and at once."""

import asyncio

import pytest

from carawaybank.callers import connections
from tests.callers.test_connections import Caller, encode_get, run, wait_until

ANSWER_S = 1.0


async def read_answers(caller, count):
    async with asyncio.timeout(ANSWER_S):
        return [await caller.read_response() for _ in range(count)]


def statuses(answers):
    return [int(head.split()[1]) for head, _ in answers]


@pytest.mark.parametrize(
    "error", [KeyError("k"), MemoryError(), UnicodeEncodeError("a", "", 0, 1, "")]
)
def test_an_unexpected_error_in_the_handler_is_answered_and_blocks_no_later_request(error):
    """Guards against a caller that gets no answer, for this request and all behind it."""

    async def scenario():
        async with Caller() as caller:
            caller.errors["/2"] = error
            caller.send(b"".join(encode_get(f"/{number}") for number in range(1, 5)))
            answers = await read_answers(caller, 4)
            assert statuses(answers) == [200, 500, 200, 200]
            assert b"unexpected error" in answers[1][1]
            assert "retry-after" not in answers[1][0].lower()
            caller.send(encode_get("/5"))
            assert statuses(await read_answers(caller, 1)) == [200]
            assert [report["exception"] for report in caller.reported] == [error]

    run(scenario())


def test_an_error_after_which_the_connection_closes_is_answered_first():
    """Guards against a close without an answer of a connection that its caller asked to close."""

    async def scenario():
        async with Caller() as caller:
            caller.errors["/1"] = KeyError("k")
            caller.send(b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert statuses(await read_answers(caller, 1)) == [500]
            assert await caller.reader.read() == b""
            await wait_until(lambda: not caller.connections)

    run(scenario())


#: Input that a parser of HTTP finds to be invalid only after it has read an offer of an upgrade.
ODD_UPGRADE = (
    b"DESCRIBE /2 RTSP/1.0\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n"
    b"Content-Length: 3\r\n\r\n"
)


def test_an_upgrade_with_an_odd_method_is_malformed_input():
    """Guards against a connection that is aborted with a request in progress at a target."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1") + ODD_UPGRADE)
            await wait_until(lambda: caller.started)
            caller.release_events["/1"].set()
            assert statuses(await read_answers(caller, 2)) == [200, 400]
            assert await caller.reader.read() == b""
            assert caller.reported == []

    run(scenario())


class FailingParser(connections.RequestParser):
    """A parser that fails unexpectedly at some input."""

    def feed(self, data):
        super().feed(data.partition(b"FAIL")[0])
        if b"FAIL" in data:
            raise KeyError("k")


def test_an_unexpected_error_while_input_is_read_is_answered_behind_the_requests_before_it(
    monkeypatch,
):
    """Guards against an event loop that aborts a connection with requests at targets."""
    monkeypatch.setattr(connections, "RequestParser", FailingParser)

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.send(encode_get("/1") + encode_get("/2") + b"FAIL")
            await wait_until(lambda: caller.started == ["/1", "/2"])
            caller.release_events["/1"].set()
            assert statuses(await read_answers(caller, 3)) == [200, 200, 500]
            assert await caller.reader.read() == b""
            assert caller.cancelled == []
            assert [type(report["exception"]) for report in caller.reported] == [KeyError]

    run(scenario())


def test_an_unexpected_error_while_a_request_is_queued_is_answered_and_names_its_cause():
    """Guards against the same, with an error that the parser's library wraps in its own."""

    async def scenario():
        async with Caller() as caller:
            caller.release_events["/1"] = asyncio.Event()
            caller.shed_errors["/3"] = KeyError("k")
            caller.send(b"".join(encode_get(f"/{number}") for number in range(1, 5)))
            await wait_until(lambda: caller.started == ["/1", "/2"])
            caller.release_events["/1"].set()
            assert statuses(await read_answers(caller, 3)) == [200, 200, 500]
            assert await caller.reader.read() == b""
            assert [report["exception"] for report in caller.reported] == [caller.shed_errors["/3"]]

    run(scenario())


def test_a_response_that_cannot_be_encoded_is_replaced():
    """Guards against a caller that takes the next response for the one that is missing."""

    async def scenario():
        async with Caller() as caller:
            caller.odd_headers["/2"] = [("x-name", "\u6771")]
            caller.send(b"".join(encode_get(f"/{number}") for number in range(1, 5)))
            answers = await read_answers(caller, 4)
            assert statuses(answers) == [200, 500, 200, 200]
            assert [body for _, body in answers][2:] == [b"/3", b"/4"]
            assert [type(report["exception"]) for report in caller.reported] == [UnicodeEncodeError]

    run(scenario())


@pytest.mark.parametrize("status", [-1, 0, 99, 100, 101, 199, 600, 999])
def test_a_response_whose_status_is_none_is_replaced(status):
    """Guards against ``HTTP/1.1 0``, and informational responses that end no request."""

    async def scenario():
        async with Caller() as caller:
            caller.statuses["/2"] = status
            caller.send(b"".join(encode_get(f"/{number}") for number in range(1, 5)))
            answers = await read_answers(caller, 4)
            assert statuses(answers) == [200, 500, 200, 200]
            assert len(caller.reported) == 1

    run(scenario())
