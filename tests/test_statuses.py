"""Responses whose status line names no status or version of HTTP/1.1."""

import asyncio

import msgspec
import pytest

from carawaybank.callers.responses import encode_response
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.exceptions import PlatformError
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.platform.store import StoreClient
from carawaybank.replies import HttpReply, ReplyReader
from carawaybank.rows import StoreError
from carawaybank.siblings.relays import RelayReply, _decode_result
from carawaybank.storage.clients import HttpObjectStore, HttpVmList, PlatformClient
from carawaybank.verdicts import Answered, MayHaveRun, NotRun

TIMEOUT_S = 5.0
METHODS = ("GET", "HEAD", "POST")
#: What is no status of a final response, as it stands in a status line.
NO_STATUSES = (
    "000", "0", "00", "007", "099", "99", "20", "2000", "0200", "-200", "+200", "2 00", "2x0",
    "101", "OK", "", "600", "700", "999",
)  # fmt: skip
NO_VERSIONS = ("HTTP/0.9", "HTTP/2.0", "HTTP/1.2", "HTTP/3.0", "HTTP/11", "HTTP/01.1", "http/1.1")
STATUS_LINES = (
    *(f"HTTP/1.1 {status} X" for status in NO_STATUSES),
    *(f"HTTP/1.0 {status}" for status in NO_STATUSES),
    *(f"{version} 200 OK" for version in NO_VERSIONS),
    "HTTP/1.1",
)
IDENTITY = "X-Carawaybank-Request-Id: r1\r\nX-Carawaybank-Server-Seal: s\r\n"
#: Ends of a response, by what says where its body ends.
ENDS = {
    "length": "Content-Length: 2\r\n\r\nok",
    "empty": "Content-Length: 0\r\n\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "close": "\r\nok",
}


def read(data, *, method, size):
    reader = ReplyReader(method=method)
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
    reader.end()
    return reader


def make_response(line, end="length", *, method="GET"):
    """Returns a response, without its body if it responds to ``HEAD``."""
    head, separator, body = f"{line}\r\n{IDENTITY}{ENDS[end]}".partition("\r\n\r\n")
    return (head + separator + ("" if method == "HEAD" else body)).encode()


@pytest.mark.parametrize("line", STATUS_LINES)
@pytest.mark.parametrize("method", METHODS)
def test_a_status_line_that_is_none_begins_no_response(method, line):
    """Guards against a garbled status that callers get as that of a target, with its seal."""
    for end in ENDS:
        for before in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
            data = before + make_response(line, end, method=method)
            for size in (1, 9, len(data)):
                reader = read(data, method=method, size=size)
                assert not reader.replies, (end, size)
                assert reader.problem
                assert reader.has_partial_reply


@pytest.mark.parametrize("status", [200, 204, 226, 299, 304, 399, 421, 451, 499, 500, 511, 599])
@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
@pytest.mark.parametrize("method", METHODS)
def test_statuses_from_200_to_599_are_read_in_both_versions(method, version, status):
    data = make_response(f"{version} {status} X", "empty", method=method)
    for size in (1, len(data)):
        assert [reply.status for reply in read(data, method=method, size=size).replies] == [status]


@pytest.mark.parametrize("protocol", ["RTSP/1.0", "ICE/1.0"])
@pytest.mark.parametrize("before", [b"", b"\r\n", b"\r\n\r\n\n"])
def test_a_response_of_another_protocol_is_none(protocol, before):
    """The parser library accepts these two as well."""
    for method in METHODS:
        data = before + make_response(f"{protocol} 200 OK", method=method)
        for size in (1, 3, len(data)):
            reader = read(data, method=method, size=size)
            assert not reader.replies
            assert reader.problem


@pytest.mark.parametrize("before", [b"", b"\r\n", b"\r\n\r\n\n"])
def test_empty_lines_before_a_response_are_skipped(before):
    for size in (1, 3, 100_000):
        assert len(read(before + make_response("HTTP/1.1 200 OK"), method="GET", size=size).replies)


async def exchange(method, response):
    """Returns the verdict on a target's response."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await ClientConnection.open(f"{host}:{port}", timeout_s=TIMEOUT_S)
    echo = ("X-Carawaybank-Request-Id", "r1")
    call = HttpCall(method, "/x", [("host", "x"), echo], b"", echo)
    try:
        return PlatformDialect().decode(call, await connection.exchange(call, timeout_s=TIMEOUT_S))
    finally:
        connection.close()
        server.close()


@pytest.mark.parametrize("method", METHODS)
def test_a_target_whose_status_line_is_none_may_have_run_the_request(method):
    """Also one that says that it has not run it, since nothing that it sends can be relied on."""
    for line in STATUS_LINES:
        response = make_response(line, method=method)
        not_run = response.replace(b"\r\n", b"\r\nX-Carawaybank-Not-Run: 1\r\n", 1)
        for data in (response, not_run):
            with pytest.raises(ExchangeError) as raised:
                asyncio.run(exchange(method, data))
            assert raised.value.may_have_sent, line


@pytest.mark.parametrize("status", [-200, 0, 1, 20, 99, 100, 101, 199, 600, 999, 2000])
def test_a_result_of_a_sibling_without_a_status_is_no_answer(status):
    """Guards against a result without answer and reason, which a caller got with status 0."""
    body = msgspec.msgpack.encode(RelayReply(status, [], b"ok", True, "", 0, "", "t1"))
    with pytest.raises(ValueError, match=str(status)):
        _decode_result(body)


def test_other_results_of_a_sibling_are_decoded():
    for status in (200, 404, 503, 599):
        body = msgspec.msgpack.encode(RelayReply(status, [], b"ok", True, "", 0, "", "t1"))
        assert _decode_result(body).verdict == Answered(status, (), b"ok")
    for may_have_run, kind in ((True, MayHaveRun), (False, NotRun)):
        reply = RelayReply(0, [], b"", may_have_run, "no-capacity", 1.0, "", "")
        assert isinstance(_decode_result(msgspec.msgpack.encode(reply)).verdict, kind)


@pytest.mark.parametrize("status", [-200, 0, 20, 99, 100, 101, 199, 600, 999, 2000])
@pytest.mark.parametrize("is_head", [False, True])
def test_no_response_is_encoded_whose_status_is_none(status, is_head):
    """Guards against ``HTTP/1.1 0 Unknown``, whatever part of the process made it."""
    with pytest.raises(ValueError, match=str(status)):
        encode_response(HttpReply(status, [], b"ok"), is_head=is_head, must_close=False)


async def respond(line, body, call):
    """Returns what a call returns to whose address each request gets this response."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"{line}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await reader.read()
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        return await call(f"{host}:{port}")
    finally:
        server.close()


@pytest.mark.parametrize("line", STATUS_LINES)
def test_no_response_of_the_store_is_used_whose_status_line_is_none(line):
    async def read_rows(address):
        return await StoreClient(address=address).read("op")

    assert not asyncio.run(respond("HTTP/1.1 200 OK", b"{}", read_rows)).rows
    with pytest.raises(StoreError):
        asyncio.run(respond(line, b"{}", read_rows))


@pytest.mark.parametrize("status", [0, 99, 101, 103, 199, 600, 999])
def test_a_call_to_the_services_of_the_platform_fails_whose_status_is_none(status):
    """Guards against an object that counts as stored after a response such as 101."""

    def put(address):
        client = PlatformClient(url=f"http://{address}", timeout_s=TIMEOUT_S)
        HttpObjectStore(client=client).put("key", b"value")

    def list_vms(address):
        client = PlatformClient(url=f"http://{address}", timeout_s=TIMEOUT_S)
        return HttpVmList(client=client).read()

    for call in (put, list_vms):

        async def run(address, call=call):
            await asyncio.to_thread(call, address)

        asyncio.run(respond("HTTP/1.1 200 OK", b"[]", run))
        with pytest.raises(PlatformError):
            asyncio.run(respond(f"HTTP/1.1 {status:03} X", b"[]", run))


@pytest.mark.parametrize("line", STATUS_LINES)
def test_a_health_check_whose_status_line_is_none_does_not_show_a_sound_target(line):
    async def check(address):
        connection = await ClientConnection.open(address, timeout_s=TIMEOUT_S)
        call = PlatformDialect().encode_health("/health", address=address)
        reply = await connection.exchange(call, timeout_s=TIMEOUT_S)
        return PlatformDialect().decode_health(reply)

    assert asyncio.run(respond("HTTP/1.1 200 OK", b"", check)).is_healthy
    with pytest.raises(ExchangeError):
        asyncio.run(respond(line, b"", check))
