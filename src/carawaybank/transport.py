"""One HTTP exchange with a verdict for every place at which it can be cut.

A :class:`Transport` carries one exchange at a time on a connection. A connection that timed out,
broke or brought a wrong answer is closed and never used again, and neither is an idle one that the
peer closed or sent more bytes on.

Usage::

    transport = Transport(connect_timeout_s=0.5, max_body_bytes=1_000_000)
    outcome = await transport.send("127.0.0.1:9000", HttpRequest("GET", "/"), deadline=deadline)
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from carawaybank import headers
from carawaybank.client import ClientConnection, ClientPool, ExchangeError, HttpCall
from carawaybank.replies import HttpReply
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_MIN_TIMEOUT_S = 0.001
_BODILESS_STATUSES = frozenset({204, 304})
_BROKEN = frozenset({Reason.CONNECTION_LOST, Reason.ANSWER_TRUNCATED})


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


class Transport:
    """Performs exchanges over pooled connections."""

    def __init__(self, *, connect_timeout_s: float, max_body_bytes: int) -> None:
        """Starts without connections.

        Args:
            connect_timeout_s: Longest time in seconds to open a connection.
            max_body_bytes: Largest answer body accepted.
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
        connection = None if fresh else self._pool.take(address)
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
            if not error.sent:
                return Outcome(NotRun(error.reason, 1.0, str(error)), reused)
            broken = error.reason in _BROKEN
            return Outcome(MayHaveRun(error.reason, 1.0, str(error)), reused, broken)
        verdict = _judge(request, reply)
        if isinstance(verdict, Answered) and not _closes(request):
            self._pool.put(address, connection)
        else:
            connection.close()
        return Outcome(verdict, reused)

    def close_idle(self) -> None:
        """Closes connections that were idle for too long."""
        self._pool.close_idle()

    async def _open(self, address: str, deadline: float) -> ClientConnection:
        left_s = deadline - asyncio.get_running_loop().time()
        timeout_s = max(_MIN_TIMEOUT_S, min(self._connect_timeout_s, left_s))
        return await ClientConnection.open(address, timeout_s=timeout_s)


def _encode(address: str, request: HttpRequest) -> HttpCall:
    fields = [("Host", address), *request.headers.items()]
    return HttpCall(request.method, request.path, fields, request.body)


def _closes(request: HttpRequest) -> bool:
    return request.headers.get("Connection") == "close"


def _judge(request: HttpRequest, reply: HttpReply) -> Answered | MayHaveRun:
    framed = reply.header("content-length") or reply.header("transfer-encoding")
    bodiless = request.method == "HEAD" or reply.status in _BODILESS_STATUSES
    if not framed and not bodiless:
        return MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "the answer has no length")
    carried_id = reply.header(headers.REQUEST_ID) or ""
    if request.request_id and carried_id != request.request_id:
        return MayHaveRun(Reason.ANSWER_CROSSED, 1.0, "the answer carries another request's id")
    kept = tuple((name, value) for name, value in reply.headers if name not in headers.HOP_BY_HOP)
    return Answered(reply.status, kept, reply.body)
