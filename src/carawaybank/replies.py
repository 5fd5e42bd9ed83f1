"""Reads whole answers from the bytes of one connection."""

from collections import deque
from typing import NamedTuple

import httptools

from carawaybank.buffers import FramingLimit

Headers = list[tuple[str, str]]

#: Largest head of an answer in bytes.
_MAX_HEAD_BYTES = 65_536
#: Most headers of an answer.
_MOST_HEADERS = 256
_INFORMATIONAL = range(100, 200)


class HttpReply(NamedTuple):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Headers with names in lower case.
        body: The whole body.
        closes: Whether the peer closes the connection after it.
    """

    status: int
    headers: Headers
    body: bytes
    closes: bool = False

    def header(self, name: str) -> str | None:
        """Returns the value of a header, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key == wanted), None)


class ReplyReader:
    r"""Reads the answers that one exchange brings.

    Bytes behind a whole answer that are no answer, or a part of one, are a problem of the
    connection and not of that answer.

    >>> reader = ReplyReader(method="GET")
    >>> reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok?")
    >>> reader.replies[0].body, reader.is_midway
    (b'ok', True)
    """

    def __init__(self, *, method: str) -> None:
        """Starts before the first byte.

        Args:
            method: Method of the request, which decides whether its answer has a body.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = method == "HEAD"
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._framing = FramingLimit()
        self._head_bytes = 0
        self._has_head = False
        self._ends_with_connection = False
        #: Whole answers that were read and not taken yet.
        self.replies: deque[HttpReply] = deque()
        #: Bytes of the body that is being read.
        self.body_bytes = 0
        #: Whether a part of a further answer was read.
        self.is_midway = False
        #: Why the bytes cannot be read any further; empty if they can.
        self.problem = ""

    @property
    def has_head(self) -> bool:
        """Whether the head of the answer that is being read is complete."""
        return self._has_head

    def feed(self, data: bytes) -> None:
        """Takes bytes of the peer."""
        if self.problem:
            return
        if self.is_midway and not self._has_head:
            self._head_bytes += len(data)
        self._framing.note(read=len(data), body=0)
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
        elif self._framing.is_exceeded:
            self._fail("it has more framing than any answer needs")

    def end(self) -> None:
        """Takes the peer's end, which ends an answer that has no length."""
        if self._has_head and self._ends_with_connection and not self.problem:
            self._finish(closes=True)

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self.is_midway = True
        self._headers, self._body = [], []
        self._head_bytes = self.body_bytes = 0
        self._has_head = self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; those behind the body are passed over."""
        if len(self._headers) >= _MOST_HEADERS:
            self._refuse("it has too many headers")
        if not self._has_head:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Takes the end of the head."""
        self._has_head = True
        names = dict(self._headers)
        coding = names.get("transfer-encoding")
        if coding is not None and coding.lower() != "chunked":
            self._refuse(f"it has the transfer coding {coding}")
        bodiless = self._parser.get_status_code() in {204, 304} or self._is_head
        framed = coding is not None or "content-length" in names
        self._ends_with_connection = not framed and not bodiless
        if self._is_head and self._parser.get_status_code() not in _INFORMATIONAL:
            # The parser would take the length of the missing body for a body.
            self._finish(closes=True)
            self._refuse("an answer to HEAD is read on its own")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self.body_bytes += len(data)
        self._framing.note(read=0, body=len(data))
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Takes the end of an answer; an informational one is passed over."""
        if self._parser.get_status_code() in _INFORMATIONAL:
            self.is_midway = False
        else:
            self._finish(closes=not self._parser.should_keep_alive())

    def _finish(self, *, closes: bool) -> None:
        status = self._parser.get_status_code()
        self.replies.append(HttpReply(status, self._headers, b"".join(self._body), closes))
        self.is_midway = False

    def _refuse(self, problem: str) -> None:
        self.problem = problem
        raise ValueError(problem)

    def _fail(self, problem: str) -> None:
        self.problem = problem
        self.is_midway = True
