"""Reads requests from the bytes of one caller's connection."""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from carawaybank.buffers import FramingLimit
from carawaybank.replies import Headers
from carawaybank.routing.catalogue import Limits

#: Bytes of a header that are neither its name nor its value.
_HEADER_OVERHEAD = 4


class CallerRequest(NamedTuple):
    """A whole request of a caller.

    Attributes:
        method: HTTP method.
        path: Path with query, as it was sent.
        headers: Headers with names in lower case.
        body: The whole body.
        peer: IP number of the caller; empty if it is not known.
        is_last: Whether the caller sends nothing behind it on its connection.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str = ""
    is_last: bool = False

    def header(self, name: str) -> str | None:
        """Returns the value of a header, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key == wanted), None)


class ImproperRequestError(Exception):
    """The bytes are no request that can be answered, and nothing behind them can be read.

    Attributes:
        status: HTTP status that says so.
    """

    def __init__(self, *, status: int, detail: str) -> None:
        """Describes the problem."""
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Reads requests one behind the other."""

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
            on_request: Takes each whole request.
            peer: IP number of the caller.
        """
        self._limits = limits
        self._on_request = on_request
        self._peer = peer
        self._parser = httptools.HttpRequestParser(self)
        self._problem: ImproperRequestError | None = None
        self._path = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._head_bytes = self._body_bytes = 0
        self._framing = FramingLimit()
        self._is_ended = False
        #: Whether a part of a request's head was read.
        self.is_in_head = False
        #: Whether a request's head was read, and its body not yet.
        self.is_in_body = False

    @property
    def waits_for_continue(self) -> bool:
        """Whether the caller asked to be told before it sends a body."""
        if not self.is_in_body or self._body:
            return False
        return any(name == "expect" and "100" in value for name, value in self._headers)

    def feed(self, data: bytes) -> None:
        """Takes bytes of the caller.

        Raises:
            ImproperRequestError: If they are no proper request; those before were taken.
        """
        was_in_head = self.is_in_head
        self._framing.note(read=len(data), body=0)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The caller may offer another protocol; it is not taken up.
            self._parser = httptools.HttpRequestParser(self)
            self.feed(data[upgrade.args[0] :])
            return
        except httptools.HttpParserCallbackError:
            if self._problem is None:
                raise
            raise self._problem from None
        except httptools.HttpParserError as error:
            if self._is_ended:
                return
            raise ImproperRequestError(status=400, detail=str(error)) from None
        if was_in_head and self.is_in_head:
            self._head_bytes += len(data)
            self._check_head()
        if self._framing.is_exceeded:
            raise ImproperRequestError(status=400, detail="more framing than any request needs")

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.is_in_head = True
        self._path = b""
        self._headers, self._body = [], []
        self._head_bytes = self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Takes a part of the path."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; those behind the body are passed over."""
        if self.is_in_head:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Takes the end of the head and checks it."""
        self.is_in_head, self.is_in_body = False, True
        sizes = (len(name) + len(value) + _HEADER_OVERHEAD for name, value in self._headers)
        self._head_bytes = len(self._path) + sum(sizes)
        self._check_head()
        names = [name for name, _ in self._headers]
        is_new = self._parser.get_http_version() == "1.1"
        if names.count("host") != 1 and (is_new or names.count("host")):
            self._refuse(400, "a request needs one host header")
        fields = dict(self._headers)
        if fields.get("transfer-encoding", "chunked").lower() != "chunked":
            self._refuse(501, "the transfer coding is not known")
        if int(fields.get("content-length", 0)) > self._limits().body_bytes:
            self._refuse(413, "the request body is too large")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits().body_bytes:
            self._refuse(413, "the request body is too large")
        self._framing.note(read=0, body=len(data))
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Passes on a whole request."""
        self.is_in_body = False
        self._framing.reset()
        keeps = self._parser.get_http_version() == "1.1" and self._parser.should_keep_alive()
        self._is_ended = not keeps
        request = CallerRequest(
            self._parser.get_method().decode("ascii"),
            self._path.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._peer,
            is_last=not keeps,
        )
        self._on_request(request)

    def _check_head(self) -> None:
        if self._head_bytes > self._limits().header_bytes:
            self._refuse(431, "the request head is too large")

    def _refuse(self, status: int, detail: str) -> None:
        self._problem = ImproperRequestError(status=status, detail=detail)
        raise self._problem
