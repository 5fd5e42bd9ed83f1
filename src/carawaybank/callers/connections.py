"""HTTP/1.1 server connections of callers, with pipelining.

Each connection owns its socket. Pipelined requests of a connection run concurrently; their
responses are written in the order of the requests. While the caller reads more slowly than
responses become ready, no further response is written and no further request is read; a caller that
reads nothing for some seconds is disconnected. When the caller closes its connection, the
requests that still run for it are cancelled.

When the VM stops, nothing is read behind a request that waits for its response, and the response to
the last request that was read closes the connection. Callers send what was not read again.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from carawaybank.callers.backlog import ConnectionBacklog, ResponseBacklog
from carawaybank.callers.bodies import BodyMemory, ConnectionBodies
from carawaybank.callers.exchanges import Exchange
from carawaybank.callers.lingering import LingeringClose, close_now
from carawaybank.callers.requests import CallerRequest, InvalidRequestError, RequestParser
from carawaybank.callers.responses import encode_segments
from carawaybank.inputs import InputReader
from carawaybank.memory import MemoryHolder
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits
from carawaybank.routing.stopping import ConnectionState
from carawaybank.sockets import count_unread_bytes, has_peer_ended, input_age_s

#: Requests of one connection that run concurrently. Reading pauses at this number of requests and
#: resumes when responses have been written.
_MAX_PIPELINED = 32
#: Seconds for which a body waits for memory before its request is refused.
_BODY_WAIT_S = 1.0
#: Wait in seconds from which a request may be that of a caller who has left meanwhile.
_MIN_LEAVING_S = 0.1
#: Memory for bodies of connections that have no limit, in bytes.
_UNLIMITED_BYTES = 2**62
#: Bytes of memory of an open connection with one ordinary request.
_CONNECTION_BYTES = 8_000
#: Bytes of a request up to which it is ordinary.
_ORDINARY_BYTES = 2_048
#: Requests of a connection that run without waiting for a turn.
_MAX_STARTED = 4
#: Seconds of work to route and forward a request.
_REQUEST_WORK_S = 0.001


Handler = Callable[[CallerRequest], Awaitable[HttpReply]]


class ConnectionContext(NamedTuple):
    """The handler and limits that all connections of a server share.

    Attributes:
        handle: Returns the response to a request; cancelled when the caller closes its connection.
        limits: Returns the limits in force.
        is_closing: Returns whether connections close with the response to the last request that was
            read from them.
        backlog: Counts the responses that wait for slow callers; None to count none.
        on_told_to_close: Called for each connection that closes for this reason.
        bodies: Memory that the bodies of requests share; None for no limit.
        shed: Returns the response to a request that is refused without handling it, or None.
    """

    handle: Handler
    limits: Callable[[], Limits]
    is_closing: Callable[[], bool]
    backlog: ResponseBacklog | None = None
    on_told_to_close: Callable[[], None] = lambda: None
    bodies: BodyMemory | None = None
    shed: Callable[[CallerRequest], HttpReply | None] = lambda _: None


class CallerConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one connection of a caller."""

    def __init__(self, *, context: ConnectionContext, connections: set["CallerConnection"]) -> None:
        """Starts without a transport.

        Args:
            context: The handler and limits that connections share.
            connections: The open connections; each adds itself when it opens and removes itself
                when it closes.
        """
        self._context = context
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._backlog: ConnectionBacklog | None = None
        self._parser = RequestParser(limits=context.limits, on_request=self._enqueue)
        self._input = InputReader(resume=self._flush)
        self._memory: MemoryHolder | None = None
        self._startable = _MAX_STARTED
        self._is_start_waiting = False
        self._queue: deque[Exchange] = deque()
        self._has_received = False
        self._is_input_ended = False
        self._is_reading_paused = False
        self._is_continue_sent = False
        self._socket: Any = None
        self._unread_s = 0.0
        self._resumed_at = float("-inf")
        self._has_waited_here = False
        self._head_started_at: float | None = None
        self._idle_since = self._loop.time()
        self._lingering: LingeringClose | None = None
        self._bodies = ConnectionBodies(
            memory=context.bodies or BodyMemory(max_bytes=_UNLIMITED_BYTES)
        )
        self._body_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, run or responded to."""
        return not self._is_answering and not self._parser.is_receiving

    @property
    def state(self) -> ConnectionState:
        """What is in progress on the connection."""
        return ConnectionState(
            is_answering=self._is_answering,
            is_receiving=self._parser.is_receiving or self.has_unread_bytes,
            is_new=not self._has_received,
        )

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel holds bytes of the caller, which a close would discard unread."""
        return self._transport is not None and count_unread_bytes(self._transport) > 0

    @property
    def is_response_outstanding(self) -> bool:
        """Whether a request has no response, or the caller has not received all of it."""
        is_unreceived = self._backlog is not None and self._backlog.unreceived_bytes > 0
        return bool(self._queue) or is_unreceived

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and adds this connection to the open ones."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        peer = (transport.get_extra_info("peername") or ("",))[0]
        self._parser = RequestParser(
            limits=self._context.limits, on_request=self._enqueue, peer=peer
        )
        self._backlog = ConnectionBacklog(
            transport=transport,
            ready_bytes=self._count_ready_bytes,
            shared=self._context.backlog,
            peer=peer,
            on_update=self._update_memory,
        )
        self._memory = MemoryHolder(
            budget=self._input.memory, kind="callers", peer=peer, break_off=self._break_off
        )
        self._connections.add(self)
        self._update_memory()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer of the next read."""
        return self._input.get_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Processes a read, and pauses if it took much time."""
        self.data_received(self._input.get_input(nbytes))
        if self._input.record(nbytes, pieces=self._parser.pop_pieces()):
            self._pause_reading()
        if self._parser.is_receiving or nbytes > _ORDINARY_BYTES or len(self._queue) > 1:
            self._update_memory()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes and starts the requests that are complete."""
        self._has_received = True
        self._end_input_if_closing()
        if self._is_input_ended:
            if self._lingering is not None:
                self._lingering.record_input(len(data))
            return
        self._unread_s = input_age_s(self._socket)
        self._has_waited_here = self._unread_s > self._loop.time() - self._resumed_at
        try:
            self._parser.feed(data)
        except InvalidRequestError as error:
            self._refuse(error.status, str(error))
        except Exception as error:
            # The event loop would abort the connection, with requests that are at targets.
            self._end_input(self._report_failure(error))
        if self._queue and self._queue[0].reply is not None:
            self._flush()
        self._reserve_body()
        if not self._parser.is_in_head:
            self._head_started_at = None
        elif self._head_started_at is None:
            self._head_started_at = self._loop.time()
        if len(self._queue) >= _MAX_PIPELINED:
            self._pause_reading()
        self._end_input_if_closing()
        self._send_continue()

    def eof_received(self) -> bool:
        """Returns False: a caller that half-closes its connection is treated as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Stops writing responses and reading requests; the caller reads too slowly."""
        if self._backlog is not None:
            self._backlog.pause()
        self._pause_reading()

    def resume_writing(self) -> None:
        """Continues with the responses that have become ready meanwhile, and with reading."""
        if self._backlog is not None:
            self._backlog.resume()
        # The transport calls this method while it writes and must not be closed meanwhile.
        self._loop.call_soon(self._flush)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests that still run for the caller."""
        self._connections.discard(self)
        self._is_input_ended = True
        if self._lingering is not None:
            self._lingering.cancel()
        self._drop_body()
        for exchange in self._queue:
            if exchange.task is not None:
                exchange.task.cancel()
            self._release_body(exchange)
        self._queue.clear()
        if self._backlog is not None:
            self._backlog.resume()
        if self._memory is not None:
            self._memory.resize(0)
            self._memory = None

    def close(self) -> None:
        """Closes the connection after the data written so far; later input is ignored."""
        self._is_input_ended = True
        if self._transport is None or self._lingering is not None:
            return
        if self._transport.get_write_buffer_size():
            self._close_once_received(self._transport)
        else:
            close_now(self._transport)

    def refuse_unfinished(self, detail: str) -> bool:
        """Refuses the request that is being received and closes the connection.

        Args:
            detail: The text of the response.

        Returns:
            Whether there was one.
        """
        if self._is_input_ended or not self.state.is_receiving:
            return False
        self._refuse(503, detail)
        return True

    def check_timeouts(self, now: float) -> None:
        """Enforces the header and idle timeouts, and aborts the connection if it is not read.

        Args:
            now: Time in seconds on the event loop's clock.
        """
        limits = self._context.limits()
        if self._backlog is not None and self._backlog.abort_if_unread(now):
            return
        if self._is_input_ended:
            return
        if self._transport is not None and self._transport.get_write_buffer_size():
            # The caller still receives a response, which a close with unread bytes would reset.
            self._idle_since = now
        if (
            self._head_started_at is not None
            and not self._is_reading_paused
            and now - self._head_started_at > limits.header_timeout_s
        ):
            self._head_started_at = None
            self._refuse(408, "the request head took too long")
        elif (
            self.is_idle
            and now - self._idle_since > limits.idle_timeout_s
            and not self.has_unread_bytes
        ):
            self.close()

    @property
    def _is_answering(self) -> bool:
        return bool(self._queue) or self._lingering is not None

    @property
    def _is_writing_paused(self) -> bool:
        return self._backlog is not None and self._backlog.is_paused

    def _update_memory(self) -> None:
        """States the memory of what is received, queued and not read by the caller."""
        if self._memory is None or self._transport is None:
            return
        unfinished = self._parser.memory_bytes if self._parser.is_receiving else 0
        size = _CONNECTION_BYTES + unfinished + self._transport.get_write_buffer_size()
        for exchange in self._queue:
            size += exchange.memory_bytes
        if len(self._queue) > _MAX_PIPELINED:
            for exchange in reversed(self._queue):
                if exchange.is_started:
                    break
                unfinished += exchange.memory_bytes
        self._memory.resize(size, unfinished_size=unfinished)

    def _break_off(self) -> None:
        """Refuses what is being received and what was not started, for want of memory."""
        self._drop_unstarted()
        if not self._is_input_ended:
            self._refuse_body()
        self._update_memory()

    def _count_ready_bytes(self) -> int:
        return sum(len(entry.reply.body) for entry in self._queue if entry.reply is not None)

    def _enqueue(self, request: CallerRequest) -> None:
        """Queues a complete request, and runs it unless too many are queued before it."""
        if self._is_input_ended:
            return
        if self._unread_s > _MIN_LEAVING_S and has_peer_ended(self._socket):
            self._is_input_ended = True  # The end of the connection is read next.
            return
        self._is_continue_sent = False
        request = request._replace(unread_s=self._unread_s)
        exchange = Exchange(request=request)
        # A request that this connection itself did not read yet says nothing about the process.
        exchange.reply = None if self._has_waited_here else self._context.shed(request)
        exchange.body_bytes = self._bodies.take(len(request.body))
        if exchange.reply is not None:
            self._release_body(exchange)
        self._queue.append(exchange)
        self._run_queued()
        if request.is_last:
            self._is_input_ended = True

    def _run_queued(self) -> None:
        """Starts the queued requests that are within the pipelining limit."""
        for exchange in itertools.islice(self._queue, _MAX_PIPELINED):
            if exchange.is_started or exchange.request is None:
                continue
            if not self._startable:
                self._wait_to_start()
                return
            self._startable -= 1
            exchange.task = self._loop.create_task(self._run_handler(exchange, exchange.request))

    def _wait_to_start(self) -> None:
        """Starts further requests in turn with other connections that pipeline."""
        if not self._is_start_waiting:
            self._is_start_waiting = True
            self._input.start_turns.wait(self._end_start_wait, work_s=_REQUEST_WORK_S)

    def _end_start_wait(self) -> None:
        self._is_start_waiting = False
        self._startable = 1
        self._run_queued()

    async def _run_handler(self, exchange: Exchange, request: CallerRequest) -> None:
        # The task keeps the body while the handler runs, and nothing else does.
        exchange.request = request._replace(body=b"")
        try:
            exchange.reply = await self._context.handle(request)
        except Exception as error:
            exchange.reply = self._report_failure(error)
        finally:
            self._release_body(exchange)
        if self._backlog is not None and self._backlog.is_paused:
            self._backlog.update()
        self._flush()

    def _report_failure(self, error: BaseException) -> HttpReply:
        """Reports an unexpected error, and returns a response that promises nothing."""
        context = {"message": "cannot handle a request", "exception": error}
        self._loop.call_exception_handler(context)
        return HttpReply(500, [("content-type", "text/plain")], b"unexpected error\n")

    def _refuse(self, status: int, detail: str, *, retry_after_s: float | None = None) -> None:
        """Queues an error response to malformed or late input, and ignores further input."""
        headers = [("content-type", "text/plain")]
        if retry_after_s is not None:
            headers.append(("retry-after", f"{retry_after_s:.2f}"))
        self._end_input(HttpReply(status, headers, f"{detail}\n".encode()))

    def _end_input(self, reply: HttpReply) -> None:
        """Queues a response behind those to earlier requests, and ignores further input."""
        exchange = Exchange(request=None)
        exchange.reply = reply
        self._is_input_ended = True
        self._drop_body()
        self._queue.append(exchange)
        self._flush()

    def _reserve_body(self) -> None:
        """Reserves memory for the body that is being received, or stops reading until there is."""
        if self._is_input_ended or self._bodies.grow(self._parser.body_bytes):
            return
        if not self._parser.has_known_length:
            self._refuse_body()
            return
        self._bodies.wait(self._parser.body_bytes, on_granted=self._continue_body)
        self._body_timer = self._loop.call_later(_BODY_WAIT_S, self._refuse_body)
        self._pause_reading()

    def _continue_body(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._loop.call_soon(self._flush)

    def _refuse_body(self) -> None:
        self._refuse(503, "no memory is left for so large a request", retry_after_s=_BODY_WAIT_S)

    def _drop_body(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._bodies.drop()
        self._parser.drop()

    def _release_body(self, exchange: Exchange) -> None:
        self._bodies.release(exchange.body_bytes)
        exchange.body_bytes = 0

    def _end_input_if_closing(self) -> None:
        """Reads nothing further if a request is queued and connections close.

        Queued requests that were not started are dropped: a response that closes the connection
        precedes them, so callers send them again.
        """
        if not self._queue or not self._context.is_closing():
            return
        self._is_input_ended = True
        self._drop_body()
        self._drop_unstarted()

    def _drop_unstarted(self) -> None:
        while self._queue and not self._queue[-1].is_started:
            self._release_body(self._queue.pop())

    def _flush(self) -> None:
        """Writes the responses that are ready, in request order, and resumes reading."""
        self._write_ready()
        if self._transport is None or self._memory is None:
            return
        holds_more = self._queue or self._transport.get_write_buffer_size()
        if holds_more or self._memory.size > _CONNECTION_BYTES:
            self._update_memory()

    def _write_ready(self) -> None:
        self._end_input_if_closing()
        while (
            self._queue
            and self._queue[0].reply is not None
            and self._transport is not None
            and not self._is_writing_paused
        ):
            exchange = self._queue.popleft()
            self._startable = min(_MAX_STARTED, self._startable + 1)
            must_close = exchange.is_last or (self._is_input_ended and not self._queue)
            self._write(exchange, must_close=must_close)
            self._idle_since = self._loop.time()
            if must_close:
                self._close_after_response(exchange)
                return
        self._run_queued()
        if (
            self._is_reading_paused
            and not self._is_writing_paused
            and not self._bodies.is_waiting
            and not self._input.is_waiting
            and len(self._queue) < _MAX_PIPELINED
            and self._transport is not None
        ):
            self._is_reading_paused = False
            self._resumed_at = self._loop.time()
            self._transport.resume_reading()
            if self._head_started_at is not None:
                self._head_started_at = self._loop.time()
        self._send_continue()

    def _close_after_response(self, exchange: Exchange) -> None:
        """Closes the connection; the caller may have sent more, unless it asked to close."""
        self._is_input_ended = True
        if self._context.is_closing():
            self._context.on_told_to_close()
        asked_to_close = exchange.request is not None and exchange.request.is_last
        if self._transport is None:
            return
        if asked_to_close or self._transport.is_closing():
            close_now(self._transport)
        else:
            self._close_once_received(self._transport)

    def _close_once_received(self, transport: asyncio.Transport) -> None:
        """Reads and ignores what the caller sends until it has received all that was written."""
        assert self._backlog is not None
        backlog = self._backlog
        self._lingering = LingeringClose(
            transport=transport, count_unreceived_bytes=lambda: backlog.unreceived_bytes
        )
        if self._is_reading_paused:
            self._is_reading_paused = False
            transport.resume_reading()

    def _write(self, exchange: Exchange, *, must_close: bool) -> None:
        reply, backlog = exchange.reply, self._backlog
        assert reply is not None
        assert backlog is not None
        is_head = exchange.request is not None and exchange.request.method == "HEAD"
        try:
            segments = encode_segments(reply, is_head=is_head, must_close=must_close)
        except Exception as error:
            # Without a response, the caller would take the next one for the response to this.
            failure = self._report_failure(error)
            segments = encode_segments(failure, is_head=is_head, must_close=must_close)
        for segment in segments:
            backlog.write(segment)

    def _send_continue(self) -> None:
        """Sends ``100 Continue`` if the caller waits for it and no earlier response is pending."""
        is_waiting = (
            not self._is_input_ended
            and not self._queue
            and not self._is_writing_paused
            and not self._bodies.is_waiting
            and self._parser.waits_for_continue
        )
        if is_waiting and not self._is_continue_sent and self._backlog is not None:
            self._is_continue_sent = True
            self._backlog.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
