"""Incremental parsing of HTTP/1.x requests from one connection of a caller."""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from carawaybank.buffers import BodyBuffer, FramingLimit
from carawaybank.memory import HEADER_BYTES, body_memory
from carawaybank.replies import HEAD_STEP_BYTES, Headers
from carawaybank.routing.configuration import Limits

#: The colon, the space and the line break of a header line.
_HEADER_OVERHEAD_BYTES = 4
_VERSIONS = frozenset({"1.0", "1.1"})
#: Pieces as which a header counts, which takes as long as three chunks.
_PIECES_PER_HEADER = 3
#: Pieces as which the begin and the end of a request count.
_PIECES_PER_MESSAGE = 4
#: Headers that say where a body ends.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Attributes:
        method: HTTP method.
        path: Path and query, as sent by the caller.
        headers: Names in lower case, and values.
        body: The complete body.
        peer: IP address of the caller; empty if it is not known.
        is_last: Whether the connection closes after the response (no keep-alive).
        unread_s: Seconds for which its last bytes waited in the kernel until they were read.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str = ""
    is_last: bool = False
    unread_s: float = 0.0

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None; the case of the name does not matter."""
        lower_name = name.lower()
        return next((value for key, value in self.headers if key == lower_name), None)


class InvalidRequestError(Exception):
    """A request is malformed or exceeds a limit; later bytes of its connection cannot be parsed.

    Attributes:
        status: HTTP status of the error response.
    """

    def __init__(self, *, status: int, detail: str) -> None:
        """Creates the error.

        Args:
            status: HTTP status of the error response.
            detail: The text of the error response.
        """
        super().__init__(detail)
        self.status = status


class RequestParser:
    """Parses the consecutive requests of one connection."""

    def __init__(
        self,
        *,
        limits: Callable[[], Limits],
        on_request: Callable[[CallerRequest], None],
        peer: str = "",
    ) -> None:
        """Starts before the first byte.

        Args:
            limits: Returns the limits in force.
            on_request: Called with each complete request.
            peer: IP address of the caller.
        """
        self._limits = limits
        self._on_request = on_request
        self._peer = peer
        self._parser = httptools.HttpRequestParser(self)
        self._error: InvalidRequestError | None = None
        self._path = b""
        self._headers: Headers = []
        self._body = BodyBuffer()
        self._head_bytes = self._head_memory = self._pieces = self._max_body_bytes = 0
        self._framing = FramingLimit()
        self._is_finished = False
        self._has_skipped_body = self._is_body_resumed = False
        self._announced_bytes: int | None = None
        self._head_count = 0
        #: Whether a part of a request's head was read, but not all of it.
        self.is_in_head = False
        #: Whether a request's head was read, but not all of its body.
        self.is_in_body = False

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request was read, but not all of it."""
        return self.is_in_head or self.is_in_body

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that is being received, in full if its length is known."""
        return max(self._body.size, self._announced_bytes or 0) if self.is_in_body else 0

    @property
    def has_known_length(self) -> bool:
        """Whether the head of the body that is being received announced its length."""
        return self._announced_bytes is not None

    @property
    def waits_for_continue(self) -> bool:
        """Whether the caller sent ``Expect: 100-continue`` and no byte of the body yet."""
        if not self.is_in_body or self._body.size:
            return False
        return any(name == "expect" and "100" in value for name, value in self._headers)

    @property
    def memory_bytes(self) -> int:
        """Bytes of memory that the request uses that is being received."""
        if not self.is_receiving:
            return 0
        return self._head_bytes + self._head_memory + body_memory(self._body.size)

    def pop_pieces(self) -> int:
        """Returns the pieces of requests that were parsed since the last call."""
        pieces, self._pieces = self._pieces, 0
        return pieces

    def drop(self) -> None:
        """Returns the memory of the request that is being received, which is not read on."""
        self._headers = []
        self._body.clear()
        self._head_bytes = self._head_memory = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parses bytes that were received from the caller.

        Raises:
            InvalidRequestError: If a request is malformed or exceeds a limit. The complete
                requests before it have been passed to ``on_request``.
        """
        start = 0
        while len(data) - start > HEAD_STEP_BYTES and not self.is_in_body:
            self._feed(data[start : start + HEAD_STEP_BYTES])
            start += HEAD_STEP_BYTES
        self._feed(data[start:] if start else data)

    def _feed(self, data: bytes | memoryview) -> None:
        heads = self._head_count if self.is_in_head else None
        self._max_body_bytes = self._limits().body_bytes
        self._framing.record(read_bytes=len(data), body_bytes=0)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._resume_after_upgrade(data[upgrade.args[0] :])
            return
        except httptools.HttpParserCallbackError as error:
            # The library wraps what a callback raises.
            raise self._error or error.__context__ or error from None
        except httptools.HttpParserError as error:
            if self._is_finished:
                return
            raise InvalidRequestError(status=400, detail=str(error)) from None
        if self.is_in_head:
            # The bytes before a head that began in this segment belong to other requests.
            has_begun = heads != self._head_count
            self._head_bytes += self._count_parsed_head() if has_begun else len(data)
            self._check_head()
        if self._framing.is_exceeded:
            raise InvalidRequestError(status=400, detail="more framing than any request needs")

    def _resume_after_upgrade(self, data: bytes | memoryview) -> None:
        """Parses the bytes behind a head that offers another protocol; the offer is ignored.

        The parser library takes them for the other protocol. They are the body, if the head
        announced one, which a new parser reads behind a head without the offer.
        """
        self._framing.record(read_bytes=-len(data), body_bytes=0)
        keeps_alive = self._parser.should_keep_alive()
        method = self._parser.get_method().decode("ascii")
        version = self._parser.get_http_version()
        self._parser = httptools.HttpRequestParser(self)
        if self._has_skipped_body:
            self._has_skipped_body, self._is_body_resumed = False, True
            connection = "keep-alive" if keeps_alive else "close"
            framing = [
                f"{name}: {value}" for name, value in self._headers if name in _FRAMING_HEADERS
            ]
            lines = [f"{method} / HTTP/{version}", f"connection: {connection}", *framing, "", ""]
            try:
                self._parser.feed_data("\r\n".join(lines).encode("latin-1"))
            except httptools.HttpParserError as error:  # Such as a method of another protocol.
                raise InvalidRequestError(status=400, detail=str(error)) from None
        self._feed(data)

    def on_message_begin(self) -> None:
        """Resets the state for the next request (callback of the parser)."""
        if self._is_body_resumed:
            return
        self.is_in_head = True
        self._head_count += 1
        self._path = b""
        self._headers = []
        self._body.clear()
        self._head_bytes = self._head_memory = 0
        self._pieces += _PIECES_PER_MESSAGE

    def on_url(self, url: bytes) -> None:
        """Appends a part of the path and query (callback of the parser)."""
        if not self._is_body_resumed:
            self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers after the body are ignored (callback of the parser)."""
        self._pieces += _PIECES_PER_HEADER
        if self.is_in_head:
            self._head_memory += HEADER_BYTES + len(name) + len(value)
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the complete head (callback of the parser).

        Raises:
            InvalidRequestError: If the head or the announced body is too large, the Host header is
                missing or repeated, the transfer coding is not supported, or the request asks for
                a tunnel.
        """
        if self._is_body_resumed:
            self._is_body_resumed = False
            return
        self.is_in_head, self.is_in_body = False, True
        self._head_bytes = self._count_parsed_head()
        self._check_head()
        if self._parser.get_method() == b"CONNECT":
            self._refuse(400, "tunnels are not served")
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            self._refuse(400, "the version of HTTP is not known")
        names = [name for name, _ in self._headers]
        is_http_1_1 = version == "1.1"
        if names.count("host") != 1 and (is_http_1_1 or names.count("host")):
            self._refuse(400, "a request needs one host header")
        values = dict(self._headers)
        coding = values.get("transfer-encoding", "chunked").lower()
        if coding != "chunked" or names.count("transfer-encoding") > 1:
            self._refuse(501, "the transfer coding is not known")
        is_chunked = "transfer-encoding" in values
        length = int(values.get("content-length", 0))
        if length > self._limits().body_bytes:
            self._refuse(413, "the request body is too large")
        self._announced_bytes = None if is_chunked else length
        announces_body = is_chunked or length > 0
        self._has_skipped_body = announces_body and self._parser.should_upgrade()

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body (callback of the parser).

        Raises:
            InvalidRequestError: If the body is too large.
        """
        self._pieces += 1
        if self._body.size + len(data) > self._max_body_bytes:
            self._refuse(413, "the request body is too large")
        self._framing.record(read_bytes=0, body_bytes=len(data))
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Passes the complete request to ``on_request`` (callback of the parser)."""
        if self._has_skipped_body:
            return
        self.is_in_body = False
        self._framing.reset()
        keeps_alive = self._parser.get_http_version() == "1.1" and self._parser.should_keep_alive()
        self._is_finished = not keeps_alive
        request = CallerRequest(
            self._parser.get_method().decode("ascii"),
            self._path.decode("latin-1"),
            self._headers,
            self._body.take(),
            self._peer,
            is_last=not keeps_alive,
        )
        self._on_request(request)

    def _count_parsed_head(self) -> int:
        sizes = (len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in self._headers)
        return len(self._path) + sum(sizes)

    def _check_head(self) -> None:
        if self._head_bytes > self._limits().header_bytes:
            self._refuse(431, "the request head is too large")

    def _refuse(self, status: int, detail: str) -> None:
        self._error = InvalidRequestError(status=status, detail=detail)
        raise self._error
