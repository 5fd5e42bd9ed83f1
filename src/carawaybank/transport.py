"""HTTP exchanges that end in a verdict, at whatever point they fail.

A :class:`Transport` performs one exchange at a time on a connection. A connection is closed and
never reused after a timeout, a connection error or an invalid response. An idle connection is not
reused either if the peer has closed it or has sent unexpected bytes on it.

Usage::

    transport = Transport(connect_timeout_s=0.5, max_body_bytes=1_000_000)
    outcome = await transport.send("127.0.0.1:9000", HttpRequest("GET", "/"), deadline=deadline)
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from carawaybank import headers
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.pool import ClientPool
from carawaybank.replies import HttpReply
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_MIN_TIMEOUT_S = 0.001
_BODILESS_STATUSES = frozenset({204, 304})
_BROKEN_CONNECTION_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.ANSWER_TRUNCATED})


class HttpRequest(NamedTuple):
    """A request to send.

    Attributes:
        method: HTTP method.
        path: Path with the query string.
        headers: Headers, without hop-by-hop headers.
        body: Complete body.
        request_id: Id that the response must have; empty if none is expected.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    request_id: str = ""


class Outcome(NamedTuple):
    """Outcome of an exchange.

    Attributes:
        verdict: Whether the request ran, as far as known.
        reused: Whether the connection had been used for an earlier exchange.
        broken: Whether the peer closed or reset the connection before the response was complete.
    """

    verdict: Verdict
    reused: bool = False
    broken: bool = False


class Transport:
    """Performs HTTP exchanges over pooled connections."""

    def __init__(self, *, connect_timeout_s: float, max_body_bytes: int) -> None:
        """Creates an empty connection pool.

        Args:
            connect_timeout_s: Maximum time in seconds to open a connection.
            max_body_bytes: Maximum size of a response body.
        """
        self._connect_timeout_s = connect_timeout_s
        self._max_body_bytes = max_body_bytes
        self._pool = ClientPool()

    async def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        deadline: float,
        reuse_deadline: float | None = None,
        fresh: bool = False,
    ) -> Outcome:
        """Sends a request and waits for the response.

        Args:
            address: ``IP:PORT`` of the peer.
            request: Request to send.
            deadline: Monotonic time in seconds by which the exchange must have ended.
            reuse_deadline: Deadline that applies instead on a reused connection, if given.
            fresh: Whether to open a new connection instead of reusing a pooled one.

        Returns:
            The outcome; faults of the peer or the network never raise an exception.
        """
        connection = None if fresh else self._pool.acquire(address)
        reused = connection is not None
        if reused and reuse_deadline is not None:
            deadline = reuse_deadline
        try:
            if connection is None:
                connection = await self._open(address, deadline)
            reply = await connection.exchange(
                _encode(address, request),
                timeout_s=max(_MIN_TIMEOUT_S, deadline - asyncio.get_running_loop().time()),
                max_body_bytes=self._max_body_bytes,
            )
        except ExchangeError as error:
            if not error.may_have_sent:
                return Outcome(NotRun(error.reason, 1.0, str(error)), reused)
            broken = error.reason in _BROKEN_CONNECTION_REASONS
            return Outcome(MayHaveRun(error.reason, 1.0, str(error)), reused, broken)
        verdict = _classify(request, reply)
        if isinstance(verdict, Answered) and not _requests_close(request):
            self._pool.release(address, connection)
        else:
            connection.close()
        return Outcome(verdict, reused)

    def close_idle(self) -> None:
        """Closes pooled connections whose idle timeout has passed."""
        self._pool.close_idle()

    async def _open(self, address: str, deadline: float) -> ClientConnection:
        remaining_s = deadline - asyncio.get_running_loop().time()
        timeout_s = max(_MIN_TIMEOUT_S, min(self._connect_timeout_s, remaining_s))
        return await ClientConnection.open(address, timeout_s=timeout_s)


def _encode(address: str, request: HttpRequest) -> HttpCall:
    fields = [("Host", address), *request.headers.items()]
    return HttpCall(request.method, request.path, fields, request.body)


def _requests_close(request: HttpRequest) -> bool:
    return request.headers.get("Connection") == "close"


def _classify(request: HttpRequest, reply: HttpReply) -> Answered | MayHaveRun:
    has_length = reply.header("content-length") or reply.header("transfer-encoding")
    has_no_body = request.method == "HEAD" or reply.status in _BODILESS_STATUSES
    if not has_length and not has_no_body:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "the answer has no length")
    response_id = reply.header(headers.REQUEST_ID) or ""
    if request.request_id and response_id != request.request_id:
        return MayHaveRun(
            Reason.ANSWER_OF_ANOTHER_REQUEST, 1.0, "the answer carries another request's id"
        )
    end_to_end_headers = tuple(
        (name, value) for name, value in reply.headers if name not in headers.HOP_BY_HOP_HEADERS
    )
    return Answered(reply.status, end_to_end_headers, reply.body)
