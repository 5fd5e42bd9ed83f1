"""HTTP/1.1 client connections to targets, siblings and the store.

A connection carries one exchange at a time. Responses to earlier exchanges are recognized by a
request id that the peer echoes. A connection on which anything unexpected was received is not used
again.
"""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from carawaybank.buffers import BufferBudget
from carawaybank.exceptions import CarawaybankError
from carawaybank.inputs import InputReader
from carawaybank.memory import MemoryHolder
from carawaybank.replies import Headers, HttpReply, ReplyReader
from carawaybank.sockets import has_unread_input
from carawaybank.steering import hashing
from carawaybank.verdicts import Reason

#: Time in milliseconds after which the kernel closes a connection with unacknowledged bytes. On
#: connections with keep-alive it also decides when unanswered probes end an idle connection,
#: whatever their number.
_USER_TIMEOUT_MS = 2_500
#: The same for connections with keep-alive, which one unanswered probe ends. A change that a silent
#: connection did not deliver can then still be read within the smallest bound, which is 2.5 s.
_KEEPALIVE_USER_TIMEOUT_MS = 1_500
#: Idle seconds before the first TCP keep-alive probe, and seconds between probes.
_KEEPALIVE_S = 1
#: Number of request ids that a connection remembers. A request is sent again soon or never.
_MAX_REMEMBERED_IDS = 64
#: Responses to earlier exchanges that are skipped in one exchange before it fails.
_MAX_STRAY_REPLIES = 2
#: Maximum size in bytes of a response body if the caller of an exchange sets no limit.
_DEFAULT_MAX_BODY_BYTES = 16_000_000
#: Bytes of each response that are not counted in a budget; most responses are smaller.
_UNCOUNTED_BYTES = 65_536
#: Delay in seconds of the event loop from which the expiry of a timeout says nothing about the
#: peer, because the connection may have been established, or the response received, meanwhile.
_MAX_TIMER_DELAY_S = 0.02
#: Seconds in which the event loop then still processes the connection or the response.
_LATE_TIMER_GRACE_S = 0.05
#: Bytes of a body that are written at a time.
_WRITE_BYTES = 65_536
#: Value of ``SO_LINGER`` with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_MEMORY_MESSAGE = "no memory is left for so large an answer"
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})


class HttpCall(NamedTuple):
    """A request to a peer.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: All headers, including ``Host``, but not ``Content-Length``.
        body: The complete body.
        expected_echo: Name and value of the header that identifies the response. A response with
            another value belongs to an earlier exchange. Empty strings disable the check.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b""
    expected_echo: tuple[str, str] = ("", "")


class ExchangeError(CarawaybankError):
    """An exchange ended without a complete response.

    Attributes:
        reason: Kind of the failure.
        may_have_sent: Whether any byte of the request may have reached the peer.
        has_received_bytes: Whether any byte of a response was received.
    """

    def __init__(
        self, *, reason: Reason, message: str, may_have_sent: bool, has_received_bytes: bool = False
    ) -> None:
        """Initializes the error with its kind, message and what was transmitted."""
        super().__init__(message)
        self.reason = reason
        self.may_have_sent = may_have_sent
        self.has_received_bytes = has_received_bytes


class ClientConnection(asyncio.BufferedProtocol):
    """One connection to a peer, which carries one exchange at a time.

    Attributes:
        is_reusable: Whether another exchange may use the connection.
        exchanges: Number of exchanges started on the connection.
        idle_since: Loop time at which the last exchange ended.
        idle_limit_s: Seconds after which the peer closes an idle connection, as it announced in a
            ``Keep-Alive`` header, or 60.
    """

    def __init__(self) -> None:
        """Initializes an unconnected protocol; use :meth:`open` to connect."""
        self._transport: asyncio.Transport | None = None
        self._reader = ReplyReader(method="GET")
        self._input = InputReader(resume=self._resume_reading)
        self._memory: MemoryHolder | None = None
        self._call: HttpCall | None = None
        self._waiter: asyncio.Future[HttpReply] | None = None
        self._max_body_bytes = _DEFAULT_MAX_BODY_BYTES
        self._budget: BufferBudget | None = None
        self._needs_echo = False
        #: Done when the peer has read enough for more to be written; None if it may be written.
        self._resumed: asyncio.Future[None] | None = None
        self._is_body_unwritten = False
        self._sent_ids: deque[str] = deque(maxlen=_MAX_REMEMBERED_IDS)
        self._reserved_bytes = 0
        self._stray_replies = 0
        self._has_received_bytes = False
        self.is_reusable = True
        self.exchanges = 0
        self.idle_since = 0.0
        self.idle_limit_s = 60.0

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and can carry another exchange."""
        transport = self._transport
        return self.is_reusable and transport is not None and not transport.is_closing()

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and its peer has sent nothing since, such as its end."""
        transport = self._transport
        return self.is_open and transport is not None and not has_unread_input(transport)

    @property
    def is_awaiting_response(self) -> bool:
        """Whether an exchange is in progress that has neither its whole response nor failed."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_response(self) -> bool:
        """Whether a part of the response to the current exchange arrived, read or not."""
        transport = self._transport
        return self._has_received_bytes or (transport is not None and has_unread_input(transport))

    def has_carried(self, request_id: str) -> bool:
        """Returns whether a late response could belong to an earlier attempt with this id."""
        return hashing.shorten(request_id) in self._sent_ids

    @classmethod
    async def open(
        cls, address: str, *, timeout_s: float, keep_alive: bool = False, local_ip: str = ""
    ) -> "ClientConnection":
        """Opens a connection.

        Args:
            address: ``IP:PORT`` of the peer.
            timeout_s: Maximum time in seconds to connect.
            keep_alive: Whether TCP keep-alive is enabled, so that a long wait for a response ends
                when the peer becomes unreachable.
            local_ip: IP address to connect from; empty to let the system choose.

        Raises:
            ExchangeError: If the peer refuses the connection or does not accept it in time.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        local = (local_ip, 0) if local_ip else None
        try:
            async with _timeout(timeout_s):
                _, connection = await loop.create_connection(cls, host, int(port), local_addr=local)
        except ConnectionRefusedError:
            message = f"{address} refused the connection"
            raise ExchangeError(
                reason=Reason.CONNECTION_REFUSED, message=message, may_have_sent=False
            ) from None
        except (OSError, ValueError, OverflowError) as error:  # A port out of range overflows.
            message = f"no connection to {address}: {type(error).__name__}"
            raise ExchangeError(
                reason=Reason.CONNECT_FAILED, message=message, may_have_sent=False
            ) from None
        if keep_alive:
            connection.keep_alive()
        return connection

    def keep_alive(self) -> None:
        """Enables TCP keep-alive with probes after each idle second.

        An idle connection is closed when a probe stays unanswered for a second, which is in the
        second second. The user timeout says the same as the number of probes, because it takes
        precedence. A connection whose peer answers probes stays open, even if it never responds.
        """
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
                sock.setsockopt(socket.IPPROTO_TCP, option, _KEEPALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _KEEPALIVE_USER_TIMEOUT_MS)

    async def exchange(
        self,
        call: HttpCall,
        *,
        timeout_s: float,
        max_body_bytes: int | None = None,
        budget: BufferBudget | None = None,
        needs_echo: bool = False,
    ) -> HttpReply:
        """Sends a request and returns the complete response.

        Args:
            call: The request.
            timeout_s: Maximum time in seconds until the complete response is received.
            max_body_bytes: Maximum size of the response body; None for 16 MB.
            budget: Shared budget in which a large response reserves bytes until it is complete.
            needs_echo: Whether each response must name its request if the connection has carried
                others. One that does not may belong to any of them.

        Raises:
            ExchangeError: If the request cannot be sent, or no complete response is received in
                time. If the request was sent, the connection is then closed.
        """
        if not self.is_open or self._transport is None:
            message = "the connection was closed while idle"
            raise ExchangeError(reason=Reason.CONNECTION_LOST, message=message, may_have_sent=False)
        head = _encode_head(call)
        self._begin_exchange(call, needs_echo)
        self._max_body_bytes = _DEFAULT_MAX_BODY_BYTES if max_body_bytes is None else max_body_bytes
        self._budget = budget
        assert self._waiter is not None
        try:
            async with _timeout(timeout_s):
                await self._write(self._transport, head, call.body)
                return await self._waiter
        except TimeoutError:
            message = f"no whole answer within {timeout_s:.3f} s"
            raise ExchangeError(
                reason=Reason.TIMEOUT,
                message=message,
                may_have_sent=True,
                has_received_bytes=self._has_received_bytes,
            ) from None
        finally:
            self._end_exchange()

    async def _write(self, transport: asyncio.Transport, head: bytes, body: bytes) -> None:
        """Writes a request; a large body in parts, as the peer reads, so that it is not copied.

        The rest of a body is not written once the exchange has its response or has failed.
        """
        if len(body) <= _WRITE_BYTES:
            transport.write(head + body)
            return
        transport.write(head)
        assert self._waiter is not None
        view = memoryview(body)
        self._is_body_unwritten = True
        for start in range(0, len(view), _WRITE_BYTES):
            if self._resumed is not None:
                events: list[asyncio.Future[Any]] = [self._resumed, self._waiter]
                await asyncio.wait(events, return_when=asyncio.FIRST_COMPLETED)
            if self._waiter.done():
                return
            transport.write(view[start : start + _WRITE_BYTES])
        self._is_body_unwritten = False

    def pause_writing(self) -> None:
        """Records that the peer reads more slowly than a body is written."""
        self._resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continues to write a body."""
        if self._resumed is not None:
            self._resumed.set_result(None)
            self._resumed = None

    def close(self) -> None:
        """Aborts the connection at once, so that the peer stops work on its request."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        """Resets the connection, which takes back what the peer has not acknowledged.

        Otherwise the kernel goes on sending a request that was given up, and a peer that was cut
        off runs it once it can be reached again.
        """
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport else None
        if transport is not None and sock is not None and not transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and limits how long sent bytes may stay unacknowledged.

        A connection that hangs is closed after ``_USER_TIMEOUT_MS`` if it has sent bytes; an idle
        one without keep-alive is not noticed until it is used.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        host, port = (transport.get_extra_info("peername") or ("", 0))[:2]
        self._memory = MemoryHolder(
            budget=self._input.memory,
            kind="responses",
            peer=f"{host}:{port}",
            break_off=self._break_off,
        )
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer of the next read."""
        return self._input.get_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Processes a read, and pauses if it took much time."""
        self.data_received(self._input.get_input(nbytes))
        if self._waiter is None or self._waiter.done() or self._transport is None:
            return
        must_pause = self._input.record(nbytes, pieces=self._reader.pop_pieces())
        if must_pause and not self._transport.is_closing():
            self._transport.pause_reading()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses bytes of a response; closes the connection if no exchange is pending."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._has_received_bytes = True
        self._reader.feed(data)
        self._process_replies()
        if self._memory is not None and not self._waiter.done():
            size = self._reader.memory_bytes
            self._memory.resize(size, unfinished_size=size)

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _break_off(self) -> None:
        """Fails the exchange, whose response uses more memory than is left."""
        self.fail(Reason.ANSWER_TOO_LARGE, _NO_MEMORY_MESSAGE)

    def eof_received(self) -> bool:
        """Handles end of stream, which may complete a response or fail the exchange."""
        self.is_reusable = False
        if self._has_received_bytes:
            self._reader.end()
            self._process_replies()
        self.fail(Reason.CONNECTION_LOST, "the peer closed the connection before a whole answer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending exchange, if any."""
        self.is_reusable = False
        cause = type(exc).__name__ if exc else "closed"
        self.fail(Reason.CONNECTION_LOST, f"the connection broke: {cause}")

    def _begin_exchange(self, call: HttpCall, needs_echo: bool) -> None:
        self._call, self._needs_echo = call, needs_echo
        self._reader = ReplyReader(method=call.method)
        self._waiter = asyncio.get_running_loop().create_future()
        self._stray_replies = 0
        self._has_received_bytes = self._is_body_unwritten = False
        self._sent_ids.append(hashing.shorten(call.expected_echo[1]))
        self.exchanges += 1

    def _end_exchange(self) -> None:
        waiter, self._waiter = self._waiter, None
        self._call = None
        if self._memory is not None and self._memory.size:
            self._memory.resize(0)
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
            self._budget, self._reserved_bytes = None, 0
        is_answered = (
            waiter is not None
            and waiter.done()
            and not waiter.cancelled()
            and waiter.exception() is None
        )
        transport = self._transport
        has_unsent_bytes = self._is_body_unwritten or (
            transport is not None and transport.get_write_buffer_size() > 0
        )
        if not is_answered:
            self._reset()
        elif has_unsent_bytes or not self.is_reusable:
            self.close()
        self.idle_since = asyncio.get_running_loop().time()

    def _process_replies(self) -> None:
        reader = self._reader
        while reader.replies and self._waiter is not None and not self._waiter.done():
            self._process_reply(reader.replies.popleft())
        if self._waiter is None or self._waiter.done():
            return
        if reader.problem:
            reason = Reason.ANSWER_TRUNCATED if reader.has_head else Reason.CONNECTION_LOST
            self.fail(reason, f"the answer is damaged: {reader.problem}")
        elif reader.body_bytes > self._max_body_bytes:
            self.fail(Reason.ANSWER_TOO_LARGE, "the answer is too large")
        elif not self._reserve(reader.body_bytes):
            self.fail(Reason.ANSWER_TOO_LARGE, _NO_MEMORY_MESSAGE)

    def _reserve(self, body_bytes: int) -> bool:
        """Reserves bytes for a response body and returns whether the budget had them left."""
        needed_bytes = body_bytes - _UNCOUNTED_BYTES - self._reserved_bytes
        if self._budget is None or needed_bytes <= 0:
            return True
        if not self._budget.try_acquire(needed_bytes):
            return False
        self._reserved_bytes += needed_bytes
        return True

    def _process_reply(self, reply: HttpReply) -> None:
        assert self._call is not None
        assert self._waiter is not None
        name, value = self._call.expected_echo
        echoed = reply.header(name) if name else None
        lacks_echo = self._needs_echo and self.exchanges > 1
        is_stray = echoed != value if echoed is not None else lacks_echo
        if name and is_stray:
            self._skip_stray_reply(reply)
        elif len(reply.body) > self._max_body_bytes:
            self.fail(Reason.ANSWER_TOO_LARGE, "the answer is too large")
        else:
            if (
                self._reader.has_partial_reply
                or self._reader.replies
                or reply.closes
                or self._stray_replies
            ):
                self.is_reusable = False
            self._apply_keep_alive(reply)
            self._waiter.set_result(reply)

    def _skip_stray_reply(self, reply: HttpReply) -> None:
        """Skips a response to an earlier exchange, or fails after too many of them."""
        self._stray_replies += 1
        if self._stray_replies > _MAX_STRAY_REPLIES or reply.closes:
            self.fail(Reason.ANSWER_OF_ANOTHER_REQUEST, "the answer carries another request's id")

    def _apply_keep_alive(self, reply: HttpReply) -> None:
        for item in (reply.header("keep-alive") or "").split(","):
            name, _, value = item.strip().partition("=")
            if name == "timeout" and value.isascii() and value.isdigit():
                self.idle_limit_s = float(value)

    def fail(self, reason: Reason, message: str) -> None:
        """Fails the pending exchange, if any; the connection is then closed."""
        self.is_reusable = False
        # References between the connection and its transport keep both until a garbage collection.
        self._reader.drop()
        if self._memory is not None:
            self._memory.resize(0)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ExchangeError(
                    reason=reason,
                    message=message,
                    may_have_sent=True,
                    has_received_bytes=self._has_received_bytes,
                )
            )


@contextlib.asynccontextmanager
async def _timeout(timeout_s: float) -> AsyncIterator[None]:
    """Cancels the block after some seconds, and a little later if this process was late itself.

    After a pause of the process, the event loop runs a timer that has expired before the task whose
    connection was established, or whose response was received, during the pause.

    Raises:
        TimeoutError: If the block did not finish in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    async with asyncio.timeout(None) as limit:

        def expire() -> None:
            now = loop.time()
            is_late = now - deadline > _MAX_TIMER_DELAY_S
            limit.reschedule(now + _LATE_TIMER_GRACE_S if is_late else now)

        timer = loop.call_at(deadline, expire)
        try:
            yield
        finally:
            timer.cancel()


def _encode_head(call: HttpCall) -> bytes:
    """Returns the head of the request encoded as HTTP/1.1.

    Raises:
        ExchangeError: If a header contains a line break, which would corrupt the framing.
    """
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.body or call.method not in _BODILESS_METHODS:
        lines.append(f"Content-Length: {len(call.body)}")
    head = "\r\n".join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        message = "a header contains the end of a line"
        raise ExchangeError(reason=Reason.BAD_REQUEST, message=message, may_have_sent=False)
    return f"{head}\r\n\r\n".encode("latin-1")
