"""Parses complete HTTP/1.1 responses from the bytes of one connection."""

from collections import deque
from typing import NamedTuple

import httptools

from carawaybank.buffers import BodyBuffer, FramingLimit
from carawaybank.memory import HEADER_BYTES, body_memory

Headers = list[tuple[str, str]]

#: Maximum size in bytes of the status line and headers of a response.
_MAX_HEAD_BYTES = 65_536
#: Bytes of a head that are parsed at a time; those of the first time are not counted.
HEAD_STEP_BYTES = 8_192
#: Maximum number of headers of a response.
_MAX_HEADERS = 256
_INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
_VERSIONS = frozenset({"1.0", "1.1"})
#: First bytes of a response. The parser library takes RTSP and ICE for HTTP.
_PROTOCOL = b"HTTP/"
#: Characters of a header that an error message contains.
_MAX_LOGGED_CHARS = 40
#: Pieces as which a header counts, which takes as long as three chunks.
_PIECES_PER_HEADER = 3
#: Pieces as which the begin and the end of a message count.
_PIECES_PER_MESSAGE = 4


class HttpReply(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers with names in lower case.
        body: The complete body.
        closes: Whether the peer closes the connection after this response.
    """

    status: int
    headers: Headers
    body: bytes
    closes: bool = False

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None; the case of the name is ignored."""
        lowercase_name = name.lower()
        return next((value for key, value in self.headers if key == lowercase_name), None)


class ReplyReader:
    r"""Parses the responses that are received during one exchange.

    Bytes after a complete response, whether invalid or part of another response, make the
    connection unusable but leave the complete response valid.

    >>> reader = ReplyReader(method="GET")
    >>> reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok?")
    >>> reader.replies[0].body, reader.has_partial_reply
    (b'ok', True)
    """

    def __init__(self, *, method: str) -> None:
        """Initializes a reader that has not received any bytes.

        Args:
            method: Method of the request; a response to ``HEAD`` has no body.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._is_head_request = method == "HEAD"
        self._headers: Headers = []
        self._body = BodyBuffer()
        self._head_memory = self._pieces = 0
        self._framing_limit = FramingLimit()
        self._head_bytes = 0
        self._protocol = b""
        self._has_head = False
        self._is_ended_by_close = self._must_close = False
        #: Complete responses that the connection has not processed yet.
        self.replies: deque[HttpReply] = deque()
        #: Whether a response was received in part, or invalid bytes were received.
        self.has_partial_reply = False
        #: Why parsing has failed; empty if it has not.
        self.problem = ""

    @property
    def has_head(self) -> bool:
        """Whether all headers of the current response were received."""
        return self._has_head

    @property
    def body_bytes(self) -> int:
        """Bytes received so far of the current response's body."""
        return self._body.size

    @property
    def memory_bytes(self) -> int:
        """Bytes of memory that the current response uses."""
        return self._head_bytes + self._head_memory + body_memory(self._body.size)

    def pop_pieces(self) -> int:
        """Returns the pieces of messages that were parsed since the last call."""
        pieces, self._pieces = self._pieces, 0
        return pieces

    def drop(self) -> None:
        """Returns the memory of the current response, which is not read on."""
        self._fail("it was dropped")
        self._headers = []
        self._body.clear()
        self._head_bytes = self._head_memory = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parses bytes from the peer; ignores them after a failure, see ``problem``."""
        if len(data) <= HEAD_STEP_BYTES:
            self._feed(data)
            return
        start = 0
        while len(data) - start > HEAD_STEP_BYTES and not self._has_head and not self.problem:
            self._feed(data[start : start + HEAD_STEP_BYTES])
            start += HEAD_STEP_BYTES
        self._feed(data[start:] if start else data)

    def _feed(self, data: bytes | memoryview) -> None:
        if self.problem:
            return
        if self.has_partial_reply and not self._has_head:
            self._head_bytes += len(data)
        self._framing_limit.record(read_bytes=len(data), body_bytes=0)
        if len(self._protocol) < len(_PROTOCOL) and not self._is_protocol_known(data):
            self._fail("it is not HTTP")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("it changes the protocol")
        except httptools.HttpParserCallbackError:
            self._fail(self.problem)
        except httptools.HttpParserError as error:
            self._fail(str(error))
        if self._head_bytes > _MAX_HEAD_BYTES and not self._has_head:
            self._fail("its head is too large")
        elif self._framing_limit.is_exceeded:
            self._fail("it has more framing than any answer needs")

    def end(self) -> None:
        """Handles the peer's end of stream, which completes a response without a length."""
        if self._has_head and self._is_ended_by_close and not self.problem:
            self._finish(closes=True)

    def on_message_begin(self) -> None:
        """Resets the state for a new response; called by the parser."""
        self.has_partial_reply = True
        self._headers = []
        self._body.clear()
        self._head_bytes = self._head_memory = 0
        self._pieces += _PIECES_PER_MESSAGE
        self._has_head = self._is_ended_by_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header and ignores trailers; called by the parser."""
        self._pieces += _PIECES_PER_HEADER
        if len(self._headers) >= _MAX_HEADERS:
            self._reject("it has too many headers")
        if not self._has_head:
            self._head_memory += HEADER_BYTES + len(name) + len(value)
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Determines how the body is delimited; called by the parser after the headers."""
        self._has_head = True
        status = self._parser.get_status_code()
        if status not in FINAL_STATUSES and status not in _INFORMATIONAL_STATUSES:
            self._reject("it has no valid status")
        if self._parser.get_http_version() not in _VERSIONS:
            self._reject("its version of HTTP is not known")
        names = {name for name, _ in self._headers}
        # Codings in several headers are one list.
        coding = ", ".join(value for name, value in self._headers if name == "transfer-encoding")
        has_coding = "transfer-encoding" in names
        if has_coding and coding.lower() != "chunked":
            self._reject(f"it has the transfer coding {coding[:_MAX_LOGGED_CHARS]}")
        bodiless = status in {204, 304} or self._is_head_request
        has_length = has_coding or "content-length" in names
        self._is_ended_by_close = not has_length and not bodiless
        # Chunks are not part of HTTP/1.0: who sends them may not agree on where they end.
        self._must_close = has_coding and self._parser.get_http_version() == "1.0"
        if self._is_head_request and status in FINAL_STATUSES:
            # The parser would wait for a body of the announced length, which HEAD responses lack.
            self._finish(closes=True)
            self._reject("an answer to HEAD is read on its own")

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._pieces += 1
        self._framing_limit.record(read_bytes=0, body_bytes=len(data))
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Completes a response and ignores informational ones; called by the parser."""
        if self._parser.get_status_code() in _INFORMATIONAL_STATUSES:
            self.has_partial_reply = self._has_head = self._is_ended_by_close = False
        else:
            self._finish(closes=self._must_close or not self._parser.should_keep_alive())

    def _is_protocol_known(self, data: bytes | memoryview) -> bool:
        """Returns whether the first bytes of the exchange can be those of a response."""
        # The parser skips empty lines before a response.
        first = bytes(data) if self._protocol else bytes(data).lstrip(b"\r\n")
        self._protocol = (self._protocol + first[: len(_PROTOCOL)])[: len(_PROTOCOL)]
        return _PROTOCOL.startswith(self._protocol)

    def _finish(self, *, closes: bool) -> None:
        status = self._parser.get_status_code()
        self.replies.append(HttpReply(status, self._headers, self._body.take(), closes))
        self.has_partial_reply = False

    def _reject(self, problem: str) -> None:
        self.problem = problem
        raise ValueError(problem)

    def _fail(self, problem: str) -> None:
        self.problem = problem
        self.has_partial_reply = True
