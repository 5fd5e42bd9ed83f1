"""Where requests end: the parser against a second, strict reading of the same bytes.

A byte that is read as part of another request than its sender meant can run a request that nobody
sent.
"""

import contextlib
import re

from hypothesis import example, given, settings
from hypothesis import strategies as st

from carawaybank.callers.requests import InvalidRequestError, RequestParser
from carawaybank.routing.configuration import Limits

# Several spaces are accepted, as RFC 9112 (3) allows; they move no boundary.
REQUEST_LINE = re.compile(rb"([A-Z]+) +(\S+) +HTTP/1\.([01])")
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*")
CHUNK = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(;[^\r\n]*)?")
NOTE = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"


class NotStrictError(Exception):
    """The bytes are not framed as RFC 9112 says, or are not complete."""


def read_line(data):
    line, end, rest = data.partition(b"\r\n")
    if not end or b"\r" in line or b"\n" in line:
        raise NotStrictError
    return line, rest


def read_headers(data):
    headers = []
    while True:
        line, data = read_line(data)
        if not line:
            return headers, data
        match = HEADER.fullmatch(line)
        if not match:
            raise NotStrictError
        headers.append((match[1].lower(), match[2]))


def read_chunks(data):
    body = b""
    while True:
        line, data = read_line(data)
        match = CHUNK.fullmatch(line)
        if not match:
            raise NotStrictError
        size = int(match[1], 16)
        if not size:
            _, data = read_headers(data)
            return body, data
        if len(data) < size + 2 or data[size : size + 2] != b"\r\n":
            raise NotStrictError
        body, data = body + data[:size], data[size + 2 :]


def read_strictly(data):
    """Returns method, path and body of each request up to the first one that is not strict."""
    requests = []
    with contextlib.suppress(NotStrictError):
        while data:
            data = data.lstrip(b"\r\n")  # Empty lines before a request are ignored (2.2).
            line, data = read_line(data)
            match = REQUEST_LINE.fullmatch(line)
            if not match:
                break
            headers, data = read_headers(data)
            lengths = [value for name, value in headers if name == b"content-length"]
            codings = [value for name, value in headers if name == b"transfer-encoding"]
            if codings:
                if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
                    break
                body, data = read_chunks(data)
            else:
                if len(lengths) > 1 or (lengths and not re.fullmatch(rb"\d+", lengths[0])):
                    break
                size = int(lengths[0]) if lengths else 0
                if len(data) < size:
                    break
                body, data = data[:size], data[size:]
            requests.append((match[1].decode(), match[2].decode(), body))
            names = {name for name, _ in headers}
            if match[1] == b"CONNECT" or b"host" not in names:
                break
    return requests


def parse(data, size):
    requests = []
    parser = RequestParser(limits=Limits, on_request=requests.append)
    with contextlib.suppress(InvalidRequestError):
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
    return [(request.method, request.path, request.body) for request in requests]


LINES = st.sampled_from(
    [
        b"Content-Length: 5", b"Content-Length: 5", b"Content-Length: 0", b"Content-Length: +5",
        b"Content-Length: 5, 5", b"Content-Length: 0x5", b"Content-Length : 5",
        b"Content-Length: 41", b"content-length:41", b"Content-Length: 9999999999999999999999",
        b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked", b"transfer-encoding:chunked",
        b"Transfer-Encoding: identity", b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding : chunked",
        b"Transfer-Encoding: xchunked", b"Transfer-Encoding:\tchunked",
        b"Connection: Upgrade", b"Connection: close", b"Connection: keep-alive, Upgrade",
        b"Upgrade: h2c", b"Upgrade: websocket", b"Expect: 100-continue",
        b" folded: yes", b"\tContent-Length: 5", b"X: a\rContent-Length: 5",
        b"X: a\nContent-Length: 5", b"X-A: 1", b": empty", b"",
    ]
)  # fmt: skip
STARTS = st.sampled_from(
    [
        b"POST /a HTTP/1.1", b"GET /b HTTP/1.1", b"DELETE /c HTTP/1.1", b"POST /d HTTP/1.0",
        b"CONNECT a:80 HTTP/1.1", b"POST  /e HTTP/1.1", b"POST /f HTTP/1.1 ", b"POST /g",
        b"POST /h HTTP/1.1\r", b"OPTIONS * HTTP/1.1",
    ]
)  # fmt: skip
BODIES = st.sampled_from(
    [
        b"", b"hello", NOTE, b"5\r\nhello\r\n0\r\n\r\n", b"5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\n",
        b"5 \r\nhello\r\n0\r\n\r\n", b"5\nhello\n0\n\n", b"5\r\nhello0\r\n\r\n", b"0\r\n\r\n",
        b"0x5\r\nhello\r\n0\r\n\r\n", b"-5\r\nhello\r\n0\r\n\r\n", b"05\r\nhello\r\n00\r\n\r\n",
        b"29\r\n" + NOTE + b"\r\n0\r\n\r\n", b"5\r\nhello\r\n0\r\nHost: b\r\n\r\n",
    ]
)  # fmt: skip


@st.composite
def messages(draw):
    start, lines = draw(STARTS), draw(st.lists(LINES, max_size=4))
    lines.insert(draw(st.integers(0, len(lines))), b"Host: a")
    end = draw(st.sampled_from([b"\r\n"] * 6 + [b"\n"]))
    return end.join([start, *lines, b"", b""]) + draw(BODIES)


@settings(max_examples=1500)
@given(st.lists(messages(), min_size=1, max_size=3), st.sampled_from([1, 3, 50, 100_000]))
@example([b"POST /a HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: Upgrade\r\nContent-Length: 41\r\n\r\n" + NOTE], 7)  # fmt: skip # noqa: E501
def test_no_request_is_read_that_a_strict_reading_does_not_have(parts, size):
    """Guards against request smuggling by framing on which two readers disagree."""
    data = b"".join(parts) + NOTE
    parsed = parse(data, size)
    assert parsed == read_strictly(data)[: len(parsed)]
