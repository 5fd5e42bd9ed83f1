"""A client's connection to an entry VM, with the record of each request on it."""

import asyncio
import time
import zlib
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import httptools

from standins.soak.links import reset_on_close

_CONNECT_S = 1.0
#: Bytes a second and interval of bodies on a slow link.
_SLOW_BYTES_PER_S = 60_000
_SLOW_INTERVAL_S = 0.1
#: Statuses and versions of final responses. The parser library reads others too.
_STATUSES = range(200, 600)
_VERSIONS = frozenset({"1.0", "1.1"})


class Departure(NamedTuple):
    """How a caller leaves before its response.

    Attributes:
        after_s: Seconds from the start of the request.
        is_reset: Whether it resets the connection instead of closing it.
    """

    after_s: float
    is_reset: bool


#: Connects a protocol to an address; raises OSError if the connection is refused.
Connector = Callable[[asyncio.Protocol, str], Awaitable[None]]


async def connect_directly(protocol: asyncio.Protocol, address: str) -> None:
    """Connects without a simulated link."""
    host, _, port = address.rpartition(":")
    await asyncio.get_running_loop().create_connection(lambda: protocol, host, int(port))


class Exchange:
    """A request and what is known about its response.

    Attributes:
        record: Fields of the request's line in the record.
        ended: Resolved at the end of the exchange.
        headers: Headers of the response.
        body: Body of the response.
    """

    def __init__(self, *, record: dict[str, Any]) -> None:
        """Creates an exchange without response.

        Args:
            record: Fields that are known before the request is sent.
        """
        self.record = record
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def end(self, outcome: str) -> None:
        """Ends the exchange; later calls have no effect."""
        if self.ended.done():
            return
        seal = self.headers.get("x-carawaybank-server-seal")
        parts = seal.rsplit(".", 3)[1:] if seal else []
        expected = [str(self.record["status"]), str(len(self.body))]
        self.record |= {
            "ended_at": time.monotonic(),
            "outcome": outcome,
            "complete": outcome == "answered",
            "seal": seal,
            "reply_id": self.headers.get("x-carawaybank-request-id"),
            "body_ok": parts == [*expected, f"{zlib.crc32(self.body):08x}"],
        }
        self.ended.set_result(None)


class CallerConnection(asyncio.Protocol):
    """A connection; responses come in the order of the requests.

    Attributes:
        address: Address of the VM.
        number: Number of the connection among those of its process.
        position: Number of requests sent so far.
        is_told_to_close: Whether a response said that the connection ends.
        is_lost: Whether the connection has ended.
        idle_since: Monotonic time of the last response.
        waiting: Requests without a complete response.
    """

    def __init__(
        self,
        *,
        address: str,
        number: int,
        connect: Connector = connect_directly,
        on_surplus: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            address: Address of the VM.
            number: Number of the connection among those of its process.
            connect: Opens the connection.
            on_surplus: Called at bytes for which no request waits.
        """
        self.address, self.number = address, number
        self._on_surplus = on_surplus
        self._is_ended_by_caller = False
        self.position = 0
        self._connect = connect
        self.is_told_to_close = self.is_lost = False
        self.idle_since = time.monotonic()
        self.waiting: deque[Exchange] = deque()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def is_usable(self) -> bool:
        """Whether a further request may be sent."""
        return not (self.is_told_to_close or self.is_lost)

    async def open(self) -> None:
        """Connects.

        Raises:
            OSError: If the connection is refused or not established within a second.
        """
        async with asyncio.timeout(_CONNECT_S):
            await self._connect(self, self.address)

    async def exchange(
        self,
        exchange: Exchange,
        data: bytes,
        *,
        timeout_s: float,
        head_bytes: int = 0,
        departure: Departure | None = None,
    ) -> None:
        """Sends a request and waits for the end of the exchange.

        Args:
            exchange: The request, which is ended in any case.
            data: Its bytes.
            timeout_s: Seconds until the client gives up and closes the connection.
            head_bytes: Bytes to send at once before a slow body; 0 to send all at once.
            departure: How the caller leaves if it has no response by then.
        """
        exchange.record |= {"position": self.position, "sent_at": time.monotonic()}
        self.position += 1
        self.waiting.append(exchange)
        sending = asyncio.create_task(self._send(exchange, data, head_bytes))
        if self.is_lost:
            exchange.end("closed")
        leaves = departure is not None and departure.after_s < timeout_s
        limit_s = departure.after_s if departure and leaves else timeout_s
        await asyncio.wait([exchange.ended], timeout=limit_s)
        if not exchange.ended.done():
            exchange.end("left" if leaves else "timeout")
            self.close(is_reset=bool(departure and leaves and departure.is_reset))
        sending.cancel()
        if exchange.record["last_byte_at"] is None:
            # The response came before the whole body was sent.
            self.close()
        exchange.record["told_to_close"] = self.is_told_to_close

    def close(self, *, is_reset: bool = False) -> None:
        """Closes the connection; requests that still wait on it count as left by the caller.

        Args:
            is_reset: Whether to reset the connection.
        """
        self.is_told_to_close = self._is_ended_by_caller = True
        if self._transport is None:
            return
        if is_reset and not self.is_lost:
            reset_on_close(self._transport)
        self._transport.abort()

    async def _send(self, exchange: Exchange, data: bytes, head_bytes: int) -> None:
        step = int(_SLOW_BYTES_PER_S * _SLOW_INTERVAL_S)
        sent = 0
        while sent < len(data) and self._transport is not None and not self.is_lost:
            size = step if sent else head_bytes or len(data)
            self._transport.write(data[sent : sent + size])
            sent += size
            await self._drained.wait()
            if sent < len(data):
                await asyncio.sleep(_SLOW_INTERVAL_S)
        if sent >= len(data) and not self.is_lost:
            exchange.record["last_byte_at"] = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(0)
        self._transport = transport

    def pause_writing(self) -> None:
        """Notes that bytes wait for the kernel."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Notes that the kernel has taken all bytes."""
        self._drained.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all requests that wait."""
        self.is_lost = True
        self._drained.set()
        outcome = "left" if self._is_ended_by_caller else "reset" if exc else "closed"
        if self.waiting and self._transport is not None:
            discarded = self._transport.get_extra_info("discarded_bytes", 0)
            self.waiting[0].record["discarded_bytes"] = discarded
        while self.waiting:
            self.waiting.popleft().end(outcome)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.waiting:
                self.waiting.popleft().end("garbled")
            self.close()

    def on_message_begin(self) -> None:
        """Reports a response for which no request waits."""
        if not self.waiting and not self._is_ended_by_caller:
            self._on_surplus()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header of the first waiting request's response."""
        if self.waiting:
            self.waiting[0].headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Keeps the status and whether the connection ends.

        Raises:
            ValueError: If a final response has no such status or version.
        """
        status, version = self._parser.get_status_code(), self._parser.get_http_version()
        if self.waiting:
            self.waiting[0].record["status"] = status
            value = self.waiting[0].headers.get("connection", "")
            self.is_told_to_close = self.is_told_to_close or value.lower() == "close"
        if status not in _STATUSES or version not in _VERSIONS:
            raise ValueError(f"a response of HTTP/{version} has the status {status}")

    def on_body(self, data: bytes) -> None:
        """Keeps a part of the body."""
        if self.waiting:
            self.waiting[0].body += data

    def on_message_complete(self) -> None:
        """Ends the first waiting request."""
        self.idle_since = time.monotonic()
        if self.waiting:
            self.waiting.popleft().end("answered")
