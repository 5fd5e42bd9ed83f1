"""Callers' connections: requests are read ahead and answered in order.

Each connection owns its socket. Pipelined requests run at the same time; their answers are written
in the order of the requests. When the caller leaves, whatever runs for it is cancelled.
"""

import asyncio
import functools
import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from carawaybank.callers.requests import CallerRequest, ImproperRequestError, RequestReader
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Limits

#: Requests of one connection that run at a time; more are read when earlier ones are answered.
_MAX_PIPELINED = 32
#: Statuses whose answers have neither a body nor its length.
_BODILESS_STATUSES = frozenset({204, 304})


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

    def __init__(self, *, request: CallerRequest | None) -> None:
        self.request = request
        self.task: asyncio.Task[None] | None = None
        self.reply: HttpReply | None = None
        self.is_last = request is None or request.is_last


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
        self._reader = RequestReader(limits=gate.limits, on_request=self._start)
        self._queue: deque[_Exchange] = deque()
        self._ended = False
        self._is_paused = False
        self._is_continued = False
        self._head_since: float | None = None
        self._idle_since = self._loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (self._queue or self._reader.is_in_head or self._reader.is_in_body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = (transport.get_extra_info("peername") or ("",))[0]
        self._reader = RequestReader(limits=self._gate.limits, on_request=self._start, peer=peer)
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of requests."""
        if self._ended:
            return
        try:
            self._reader.feed(data)
        except ImproperRequestError as error:
            self._refuse(error.status, str(error))
        if not self._reader.is_in_head:
            self._head_since = None
        elif self._head_since is None:
            self._head_since = self._loop.time()
        if len(self._queue) >= _MAX_PIPELINED:
            self._pause()
        self._send_continue()

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

    def _start(self, request: CallerRequest) -> None:
        """Queues a request that was read, and runs it unless many are ahead of it."""
        if self._ended:
            return
        self._is_continued = False
        self._queue.append(_Exchange(request=request))
        self._run_first()
        if request.is_last:
            self._ended = True

    def _run_first(self) -> None:
        """Runs the first requests of the queue that do not run yet."""
        for exchange in itertools.islice(self._queue, _MAX_PIPELINED):
            if exchange.task is None and exchange.reply is None and exchange.request is not None:
                exchange.task = self._loop.create_task(self._answer(exchange, exchange.request))

    async def _answer(self, exchange: _Exchange, request: CallerRequest) -> None:
        exchange.reply = await self._gate.handle(request)
        self._flush()

    def _refuse(self, status: int, detail: str) -> None:
        """Answers bytes that are no proper request, and reads no further."""
        exchange = _Exchange(request=None)
        headers = [("content-type", "text/plain")]
        exchange.reply = HttpReply(status, headers, f"{detail}\n".encode())
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
        self._run_first()
        if self._is_paused and len(self._queue) < _MAX_PIPELINED and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        self._send_continue()

    def _write(self, exchange: _Exchange, *, closes: bool) -> None:
        reply, transport = exchange.reply, self._transport
        assert reply is not None
        assert transport is not None
        lines = [f"HTTP/1.1 {reply.status} {_phrase(reply.status)}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        if reply.status not in _BODILESS_STATUSES:
            lines.append(f"content-length: {len(reply.body)}")
        if closes:
            lines.append("connection: close")
        head = "\r\n".join(lines)
        is_head = exchange.request is not None and exchange.request.method == "HEAD"
        body = b"" if is_head or reply.status in _BODILESS_STATUSES else reply.body
        transport.write(f"{head}\r\n\r\n".encode("latin-1") + body)

    def _send_continue(self) -> None:
        """Asks for a body whose caller waits to be asked, once all earlier answers are out."""
        waits = not self._ended and not self._queue and self._reader.waits_for_continue
        if waits and not self._is_continued and self._transport is not None:
            self._is_continued = True
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pause(self) -> None:
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()


@functools.cache
def _phrase(status: int) -> str:
    """Returns the words behind a status, which mean nothing to programs."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
