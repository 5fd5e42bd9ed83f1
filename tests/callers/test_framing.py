"""Where requests end: the parser against a second, strict reading of the same bytes.

A byte that is read as part of another request than its sender meant can run a request that nobody
sent.
"""

import contextlib

from hypothesis import example, given, settings
from hypothesis import strategies as st

from carawaybank.callers.requests import InvalidRequestError, RequestParser
from carawaybank.routing.configuration import Limits
from tests.strict_reading import read_requests

NOTE = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"


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
    assert parsed == read_requests(data)[: len(parsed)]
