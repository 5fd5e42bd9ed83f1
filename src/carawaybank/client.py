"""Client connections over HTTP/1.1, for targets, siblings and the store.

A connection carries one exchange at a time. Answers to earlier exchanges are told apart by an id
that the peer echoes; a connection on which anything unexpected was seen is not used again.
"""

import asyncio
import socket
from typing import NamedTuple

from carawaybank.buffers import BufferBudget
from carawaybank.exceptions import CarawaybankError
from carawaybank.replies import Headers, HttpReply, ReplyReader
from carawaybank.verdicts import Reason

#: Longest time in milliseconds that sent bytes may stay unacknowledged before the kernel gives up.
_USER_TIMEOUT_MS = 2_500
#: Seconds of silence after which the kernel probes a watched connection, and between probes.
_KEEPALIVE_S = 1
#: Answers to earlier exchanges that are passed over on one connection.
_MOST_STRAY_ANSWERS = 2
#: Largest body in bytes of an answer for which the caller of an exchange names no bound.
_MOST_BODY_BYTES = 16_000_000
#: Bytes of an answer that no budget counts; most answers are smaller.
_UNCOUNTED_BYTES = 65_536
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})


class HttpCall(NamedTuple):
    """A request to a peer.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: All headers, the host's included.
        body: The whole body.
        echo: Header and value that the answer must carry; empty for none.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b""
    echo: tuple[str, str] = ("", "")


class ExchangeError(CarawaybankError):
    """An exchange ended without a whole answer.

    Attributes:
        reason: Why.
        sent: Whether any byte of the request may have reached the peer.
        heard: Whether any byte of an answer arrived.
    """

    def __init__(self, *, reason: Reason, message: str, sent: bool, heard: bool = False) -> None:
        """Describes the failure."""
        super().__init__(message)
        self.reason = reason
        self.sent = sent
        self.heard = heard


class ClientConnection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self) -> None:
        """Starts unconnected."""
        self._transport: asyncio.Transport | None = None
        self._reader = ReplyReader(method="GET")
        self._call: HttpCall | None = None
        self._waiter: asyncio.Future[HttpReply] | None = None
        self._max_body_bytes = _MOST_BODY_BYTES
        self._budget: BufferBudget | None = None
        self._taken_bytes = 0
        self._strays = 0
        self._heard = False
        self.is_reusable = True
        self.exchanges = 0
        self.idle_since = 0.0
        self.idle_limit_s = 60.0

    @property
    def is_open(self) -> bool:
        """Whether it can carry another exchange."""
        transport = self._transport
        return self.is_reusable and transport is not None and not transport.is_closing()

    @classmethod
    async def open(
        cls, address: str, *, timeout_s: float, keep_alive: bool = False
    ) -> "ClientConnection":
        """Opens a connection.

        Args:
            address: ``IP:PORT`` of the peer.
            timeout_s: Longest time in seconds.
            keep_alive: Whether the kernel probes the peer while nothing is exchanged, so that a
                connection that went silent ends a long wait.

        Raises:
            ExchangeError: If the peer refuses or does not answer in time.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(cls, host, int(port))
        except ConnectionRefusedError:
            message = f"{address} refused the connection"
            raise ExchangeError(
                reason=Reason.CONNECTION_REFUSED, message=message, sent=False
            ) from None
        except (OSError, ValueError) as error:
            message = f"no connection to {address}: {type(error).__name__}"
            raise ExchangeError(reason=Reason.CONNECT_FAILED, message=message, sent=False) from None
        if keep_alive:
            connection.keep_alive()
        return connection

    def keep_alive(self) -> None:
        """Lets the kernel probe the peer while nothing is exchanged."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
                sock.setsockopt(socket.IPPROTO_TCP, option, _KEEPALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)

    async def exchange(
        self,
        call: HttpCall,
        *,
        timeout_s: float,
        max_body_bytes: int | None = None,
        budget: BufferBudget | None = None,
    ) -> HttpReply:
        """Sends a request and returns the whole answer.

        Args:
            call: The request.
            timeout_s: Longest time in seconds until the whole answer is there.
            max_body_bytes: Largest body accepted; None for 16 MB.
            budget: What large answers draw on until they are whole.

        Raises:
            ExchangeError: If there is no whole answer in time. The connection is then closed.
        """
        if not self.is_open or self._transport is None:
            message = "the connection was closed while idle"
            raise ExchangeError(reason=Reason.CONNECTION_LOST, message=message, sent=False)
        data = _encode(call)
        self._begin(call)
        self._max_body_bytes = _MOST_BODY_BYTES if max_body_bytes is None else max_body_bytes
        self._budget = budget
        self._transport.write(data)
        assert self._waiter is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._waiter
        except TimeoutError:
            message = f"no whole answer within {timeout_s:.3f} s"
            raise ExchangeError(
                reason=Reason.TIMEOUT, message=message, sent=True, heard=self._heard
            ) from None
        finally:
            self._end()

    def close(self) -> None:
        """Closes the connection at once, so that the peer drops what it does for it."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer; bytes that nobody waits for end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._heard = True
        self._reader.feed(data)
        self._take_replies()

    def eof_received(self) -> bool:
        """Takes the peer's end of the connection, which may be the end of an answer."""
        self.is_reusable = False
        if self._heard:
            self._reader.end()
            self._take_replies()
        self._fail(Reason.CONNECTION_LOST, "the peer closed the connection before a whole answer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a pending exchange."""
        self.is_reusable = False
        cause = type(exc).__name__ if exc else "closed"
        self._fail(Reason.CONNECTION_LOST, f"the connection broke: {cause}")

    def _begin(self, call: HttpCall) -> None:
        self._call = call
        self._reader = ReplyReader(method=call.method)
        self._waiter = asyncio.get_running_loop().create_future()
        self._strays = 0
        self._heard = False
        self.exchanges += 1

    def _end(self) -> None:
        waiter, self._waiter = self._waiter, None
        if self._budget is not None:
            self._budget.give_back(self._taken_bytes)
            self._budget, self._taken_bytes = None, 0
        finished = waiter is not None and waiter.done() and not waiter.cancelled()
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if not finished or unsent or not self.is_reusable:
            self.close()
        self.idle_since = asyncio.get_running_loop().time()

    def _take_replies(self) -> None:
        reader = self._reader
        while reader.replies and self._waiter is not None and not self._waiter.done():
            self._take_reply(reader.replies.popleft())
        if self._waiter is None or self._waiter.done():
            return
        if reader.problem:
            reason = Reason.ANSWER_TRUNCATED if reader.has_head else Reason.CONNECTION_LOST
            self._fail(reason, f"the answer is damaged: {reader.problem}")
        elif reader.body_bytes > self._max_body_bytes:
            self._fail(Reason.ANSWER_TOO_LARGE, "the answer is too large")
        elif not self._draw(reader.body_bytes):
            self._fail(Reason.ANSWER_TOO_LARGE, "no memory is left for so large an answer")

    def _draw(self, body_bytes: int) -> bool:
        """Takes what an answer needs from the budget; returns whether it was there."""
        needed = body_bytes - _UNCOUNTED_BYTES - self._taken_bytes
        if self._budget is None or needed <= 0:
            return True
        if not self._budget.try_take(needed):
            return False
        self._taken_bytes += needed
        return True

    def _take_reply(self, reply: HttpReply) -> None:
        assert self._call is not None
        assert self._waiter is not None
        name, value = self._call.echo
        found = reply.header(name) if name else None
        if name and found is not None and found != value:
            self._pass_over(reply)
        elif len(reply.body) > self._max_body_bytes:
            self._fail(Reason.ANSWER_TOO_LARGE, "the answer is too large")
        else:
            if self._reader.is_midway or self._reader.replies or reply.closes or self._strays:
                self.is_reusable = False
            self._note_keep_alive(reply)
            self._waiter.set_result(reply)

    def _pass_over(self, reply: HttpReply) -> None:
        """Passes over an answer to an earlier exchange."""
        self._strays += 1
        if self._strays > _MOST_STRAY_ANSWERS or reply.closes:
            self._fail(Reason.ANSWER_CROSSED, "the answer carries another request's id")

    def _note_keep_alive(self, reply: HttpReply) -> None:
        for item in (reply.header("keep-alive") or "").split(","):
            name, _, value = item.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.idle_limit_s = float(value)

    def _fail(self, reason: Reason, message: str) -> None:
        self.is_reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ExchangeError(reason=reason, message=message, sent=True, heard=self._heard)
            )


class ClientPool:
    """Idle connections by peer."""

    #: Part of the peer's idle limit after which a connection is not used any more.
    IDLE_PART = 0.7
    #: Longest idle time in seconds, below that of any target seen.
    MAX_IDLE_S = 7.0
    #: Idle connections kept for a peer.
    MAX_IDLE = 16

    def __init__(self) -> None:
        """Starts without connections."""
        self._idle: dict[str, list[ClientConnection]] = {}

    def take(self, peer: str, *, max_idle_s: float = MAX_IDLE_S) -> ClientConnection | None:
        """Returns the connection to a peer that was used last, if it is fresh enough."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(peer, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, now):
                if now - connection.idle_since <= max_idle_s:
                    return connection
                idle.append(connection)
                return None
            connection.close()
        return None

    def has(self, peer: str) -> bool:
        """Returns whether there is a connection to a peer that is fresh enough."""
        now = asyncio.get_running_loop().time()
        return any(self._is_fresh(connection, now) for connection in self._idle.get(peer, ()))

    def put(self, peer: str, connection: ClientConnection) -> None:
        """Takes back a connection after an exchange."""
        idle = self._idle.setdefault(peer, [])
        if connection.is_open and len(idle) < self.MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def drop(self, peer: str) -> None:
        """Closes the idle connections to a peer."""
        for connection in self._idle.pop(peer, []):
            connection.close()

    def close_all(self) -> None:
        """Closes all idle connections."""
        for peer in list(self._idle):
            self.drop(peer)

    def close_idle(self) -> None:
        """Closes connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for peer, idle in list(self._idle.items()):
            fresh: list[ClientConnection] = []
            for connection in idle:
                if self._is_fresh(connection, now):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle[peer] = fresh
            else:
                del self._idle[peer]

    def _is_fresh(self, connection: ClientConnection, now: float) -> bool:
        limit_s = min(self.MAX_IDLE_S, self.IDLE_PART * connection.idle_limit_s)
        return connection.is_open and now - connection.idle_since <= limit_s


def _encode(call: HttpCall) -> bytes:
    """Returns the bytes of a request.

    Raises:
        ExchangeError: If a header would break the framing.
    """
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.body or call.method not in _BODILESS_METHODS:
        lines.append(f"Content-Length: {len(call.body)}")
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        message = "a header contains the end of a line"
        raise ExchangeError(reason=Reason.BAD_REQUEST, message=message, sent=False)
    return f"{head}\r\n\r\n".encode("latin-1") + call.body
