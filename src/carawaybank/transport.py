"""One HTTP exchange with a verdict for every place at which it can be cut.

A :class:`ConnectionPool` carries one exchange at a time on a connection. A connection that timed
out, broke or brought a wrong answer is closed and never used again, and neither is an idle one that
the peer closed or sent more bytes on.

Usage::

    pool = ConnectionPool(connect_timeout_s=0.5, max_body_bytes=1_000_000)
    outcome = pool.send("127.0.0.1:9000", HttpRequest("GET", "/"), deadline=deadline)
"""

import threading
import time
from collections.abc import Mapping
from http.client import HTTPException
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from carawaybank import headers
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_READ_BYTES = 65_536
_MAX_IDLE = 8
_MAX_IDLE_S = 20.0
_MIN_TIMEOUT_S = 0.001
_BODILESS_STATUSES = frozenset({204, 304})
_CONNECT_ERRORS = (OSError, HTTPError, HTTPException)


class HttpRequest(NamedTuple):
    """A request as it goes on the wire.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Headers without hop-by-hop ones.
        body: The whole body.
        request_id: Id that the answer must carry; empty if none is expected.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    request_id: str = ""


class Outcome(NamedTuple):
    """How an exchange ended.

    Attributes:
        verdict: What is known.
        reused: Whether the connection had carried an exchange before.
        broken: Whether the peer closed or reset the connection before a whole answer.
    """

    verdict: Verdict
    reused: bool = False
    broken: bool = False


class _Idle(NamedTuple):
    connection: HTTPConnection
    since: float


class ConnectionPool:
    """Idle connections by address; connections in use belong to the thread that uses them."""

    def __init__(self, *, connect_timeout_s: float, max_body_bytes: int) -> None:
        """Starts without connections.

        Args:
            connect_timeout_s: Longest time in seconds to open a connection.
            max_body_bytes: Largest answer body accepted.
        """
        self._connect_timeout_s = connect_timeout_s
        self._max_body_bytes = max_body_bytes
        self._idle: dict[str, list[_Idle]] = {}
        self._lock = threading.Lock()

    def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        deadline: float,
        reuse_deadline: float | None = None,
        fresh: bool = False,
    ) -> Outcome:
        """Performs one exchange.

        Args:
            address: ``IP:PORT`` of the peer.
            request: What to send.
            deadline: Monotonic time in seconds by which it must have ended.
            reuse_deadline: The same on a reused connection.
            fresh: Whether to open a connection for it.

        Returns:
            The outcome; never raises for what the peer or the network does.
        """
        connection = None if fresh else self._take_idle(address)
        reused = connection is not None
        if connection is None:
            try:
                connection = self._open(address, deadline)
            except _CONNECT_ERRORS as error:
                detail = f"connecting to {address} failed: {type(error).__name__}"
                refused = "refused" in str(error)
                reason = Reason.CONNECTION_REFUSED if refused else Reason.CONNECT_FAILED
                return Outcome(NotRun(reason, 1.0, detail))
        elif reuse_deadline is not None:
            deadline = reuse_deadline
        outcome, keep = self._exchange(connection, request, deadline)
        if keep:
            self._put_idle(address, connection)
        else:
            connection.close()
        return outcome._replace(reused=reused)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            idle = [entry for entries in self._idle.values() for entry in entries]
            self._idle.clear()
        for entry in idle:
            entry.connection.close()

    def _open(self, address: str, deadline: float) -> HTTPConnection:
        host, _, port = address.rpartition(":")
        timeout_s = min(self._connect_timeout_s, deadline - time.monotonic())
        connection = HTTPConnection(
            host.strip("[]"), int(port), timeout=max(_MIN_TIMEOUT_S, timeout_s)
        )
        connection.connect()
        return connection

    def _exchange(
        self, connection: HTTPConnection, request: HttpRequest, deadline: float
    ) -> tuple[Outcome, bool]:
        try:
            _limit_time(connection, deadline)
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
            body = self._read_body(connection, response, request.method, deadline)
        except TimeoutError:
            return Outcome(MayHaveRun(Reason.TIMEOUT, 1.0, "no whole answer in time")), False
        except _AnswerTooLargeError:
            return Outcome(
                MayHaveRun(Reason.ANSWER_TOO_LARGE, 1.0, "the answer is too large")
            ), False
        except _UnframedAnswerError:
            return Outcome(
                MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "the answer has no length")
            ), False
        except (OSError, HTTPError, HTTPException, ValueError) as error:
            if _is_timeout(error):
                return Outcome(MayHaveRun(Reason.TIMEOUT, 1.0, "no whole answer in time")), False
            detail = f"the connection broke: {type(error).__name__}"
            return Outcome(MayHaveRun(Reason.CONNECTION_LOST, 1.0, detail), broken=True), False
        return _judge(request, response, body)

    def _read_body(
        self, connection: HTTPConnection, response: HTTPResponse, method: str, deadline: float
    ) -> bytes:
        if method == "HEAD" or response.status in _BODILESS_STATUSES:
            return b""
        if "content-length" not in response.headers and not response.chunked:
            raise _UnframedAnswerError
        chunks: list[bytes] = []
        size = 0
        while True:
            _limit_time(connection, deadline)
            chunk = response.read1(_READ_BYTES)
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > self._max_body_bytes:
                raise _AnswerTooLargeError
            chunks.append(chunk)
            if response.length_remaining == 0:
                return b"".join(chunks)

    def _take_idle(self, address: str) -> HTTPConnection | None:
        oldest = time.monotonic() - _MAX_IDLE_S
        with self._lock:
            entries = self._idle.get(address, [])
            while entries:
                entry = entries.pop()
                if entry.since >= oldest and entry.connection.is_connected:
                    return entry.connection
                entry.connection.close()
        return None

    def _put_idle(self, address: str, connection: HTTPConnection) -> None:
        with self._lock:
            entries = self._idle.setdefault(address, [])
            if len(entries) < _MAX_IDLE:
                entries.append(_Idle(connection, time.monotonic()))
                return
        connection.close()


class _AnswerTooLargeError(Exception):
    pass


class _UnframedAnswerError(Exception):
    pass


def _limit_time(connection: HTTPConnection, deadline: float) -> None:
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError
    connection.timeout = remaining_s  # the library sets it again when it reads the answer
    if connection.sock is not None:
        connection.sock.settimeout(remaining_s)


def _is_timeout(error: BaseException) -> bool:
    seen: BaseException | None = error
    while seen is not None:
        if isinstance(seen, TimeoutError) or "timed out" in str(seen):
            return True
        seen = seen.__cause__ or seen.__context__
    return False


def _judge(request: HttpRequest, response: HTTPResponse, body: bytes) -> tuple[Outcome, bool]:
    closes = "close" in (request.headers.get("Connection"), response.headers.get("Connection"))
    carried_id = response.headers.get(headers.REQUEST_ID, "")
    if request.request_id and carried_id != request.request_id:
        detail = "the answer carries another request's id"
        return Outcome(MayHaveRun(Reason.ANSWER_CROSSED, 1.0, detail)), False
    kept = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in headers.HOP_BY_HOP
    )
    return Outcome(Answered(response.status, kept, body)), not closes
