"""Callers' connections: requests are read ahead and answered in order.

Each connection owns its socket. Pipelined requests run at the same time; their answers are written
in the order of the requests. When the caller leaves, whatever runs for it is cancelled.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from carawaybank.client import Headers, HttpReply
from carawaybank.routing.catalogue import Limits

#: Requests of one connection that run at a time; more are read when earlier ones are answered.
_MAX_PIPELINED = 32
_STATUS_BY_HINT = {431: 431, 413: 413}


class CallerRequest(NamedTuple):
    """A whole request of a caller.

    Attributes:
        method: HTTP method.
        path: Path with query, as it was sent.
        headers: Headers with names in lower case.
        body: The whole body.
        peer: IP number of the caller; empty if it is not known.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str = ""

    def header(self, name: str) -> str | None:
        """Returns the value of a header, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key == wanted), None)


Handler = Callable[[CallerRequest], Awaitable[HttpReply]]


class Gate(NamedTuple):
    """What connections share.

    Attributes:
        handle: Answers a request; cancelled when the caller leaves.
        limits: Returns the limits in force.
        is_closing: Returns whether connections end with their next answer.
    """

    handle: Handler
    limits: Callable[[], Limits]
    is_closing: Callable[[], bool]


class _Exchange:
    """A request and its answer on one connection."""

    def __init__(self, *, parser: h11.Connection) -> None:
        self.parser = parser
        self.task: asyncio.Task[HttpReply] | None = None
        self.reply: HttpReply | None = None
        self.is_last = False


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, *, gate: Gate, connections: set["CallerConnection"]) -> None:
        """Starts unconnected.

        Args:
            gate: What connections share.
            connections: All open connections, kept by the connections themselves.
        """
        self._gate = gate
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = self._new_parser()
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._queue: deque[_Exchange] = deque()
        self._ended = False
        self._unread = b""
        self._peer = ""
        self._head_since: float | None = None
        self._idle_since = self._loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._queue and self._request is None and self._head_since is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._peer = (transport.get_extra_info("peername") or ("",))[0]
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of requests."""
        if self._ended:
            return
        if len(self._queue) >= _MAX_PIPELINED:
            self._unread += data
            self._pause()
            return
        if self._head_since is None and self._request is None:
            self._head_since = self._loop.time()
        self._parser.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Takes the caller's end of the connection as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what runs for the caller."""
        self._connections.discard(self)
        self._ended = True
        for exchange in self._queue:
            if exchange.task is not None:
                exchange.task.cancel()
        self._queue.clear()

    def close(self) -> None:
        """Closes the connection."""
        self._ended = True
        if self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Ends the connection if it is idle or slow beyond the limits."""
        limits = self._gate.limits()
        if self._head_since is not None and now - self._head_since > limits.header_timeout_s:
            self._head_since = None
            self._refuse(408, "the request head took too long")
        elif self.is_idle and now - self._idle_since > limits.idle_timeout_s:
            self.close()

    def _new_parser(self) -> h11.Connection:
        limit = self._gate.limits().header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _read_events(self) -> None:
        try:
            while not self._ended:
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._send_continue()
                    return
                self._take_event(event)
        except h11.RemoteProtocolError as error:
            status = _STATUS_BY_HINT.get(error.error_status_hint, 400)
            self._refuse(status, str(error))

    def _take_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._request, self._body, self._size = event, [], 0
            self._head_since = None
            if _head_size(event) > self._gate.limits().header_bytes:
                self._refuse(431, "the request head is too large")
            elif _declared_size(event) > self._gate.limits().body_bytes:
                self._refuse(413, "the request body is too large")
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self._gate.limits().body_bytes:
                self._refuse(413, "the request body is too large")
                return
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._start()

    def _start(self) -> None:
        """Runs the request that was read, and prepares for the next one."""
        assert self._request is not None
        request = CallerRequest(
            self._request.method.decode("ascii"),
            self._request.target.decode("latin-1"),
            [(k.decode("latin-1"), v.decode("latin-1")) for k, v in self._request.headers],
            b"".join(self._body),
            self._peer,
        )
        self._request, self._body = None, []
        exchange = _Exchange(parser=self._parser)
        self._queue.append(exchange)
        exchange.task = self._loop.create_task(self._answer(exchange, request))
        if self._parser.their_state is h11.MUST_CLOSE:
            self._ended = True
            return
        trailing, _ = self._parser.trailing_data
        self._parser = self._new_parser()
        if trailing:
            self._head_since = self._loop.time()
            self._parser.receive_data(trailing)

    async def _answer(self, exchange: _Exchange, request: CallerRequest) -> HttpReply:
        reply = await self._gate.handle(request)
        exchange.reply = reply
        self._flush()
        return reply

    def _refuse(self, status: int, detail: str) -> None:
        """Answers bytes that are no proper request, and reads no further."""
        exchange = _Exchange(parser=self._parser)
        headers = [("content-type", "text/plain")]
        exchange.reply = HttpReply(status, headers, f"{detail}\n".encode())
        exchange.is_last = True
        self._ended = True
        self._queue.append(exchange)
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are ready and in turn."""
        while self._queue and self._queue[0].reply is not None and self._transport is not None:
            exchange = self._queue.popleft()
            closes = exchange.is_last or (self._gate.is_closing() and not self._queue)
            if self._ended and not self._queue:
                closes = True
            self._write(exchange, closes=closes)
            self._idle_since = self._loop.time()
            if closes:
                self.close()
                return
        if self._unread and len(self._queue) < _MAX_PIPELINED and self._transport is not None:
            data, self._unread = self._unread, b""
            self._transport.resume_reading()
            self.data_received(data)

    def _write(self, exchange: _Exchange, *, closes: bool) -> None:
        reply = exchange.reply
        assert reply is not None
        assert self._transport is not None
        headers = [*reply.headers, ("content-length", str(len(reply.body)))]
        if closes:
            headers.append(("connection", "close"))
        parser = exchange.parser
        data = parser.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        if reply.body:
            data += parser.send(h11.Data(data=reply.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue and not self._queue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            if self._transport is not None:
                self._transport.write(self._parser.send(event) or b"")

    def _pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()


def _head_size(request: h11.Request) -> int:
    """Returns the bytes of a request head, without the blanks between its parts."""
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.method) + len(request.target) + fields


def _declared_size(request: h11.Request) -> int:
    """Returns the length that a request head gives for its body; 0 if it gives none."""
    lengths = (value for name, value in request.headers if name == b"content-length")
    return int(next(lengths, b"0"))
