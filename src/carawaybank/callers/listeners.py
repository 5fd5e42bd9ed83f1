"""Starts HTTP servers, and makes connections for look-ups, readiness, metrics and control."""

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

from carawaybank.callers.connections import CallerConnection, ConnectionContext, Handler
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import ListenError
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits
from carawaybank.sockets import count_waiting_connections

_T = TypeVar("_T")

#: Seconds between two attempts to listen on an address that is in use.
_LISTEN_INTERVAL_S = 0.1
#: Connections that the kernel establishes before the process accepts them.
_BACKLOG = 1024
#: Connections that are opened in one round of the event loop. With more of them, requests would
#: wait for the next steps of all others, and those already read for their responses.
_OPENED_PER_ROUND = 16
#: Seconds without accepting after an error, such as a lack of descriptors.
_ACCEPT_RETRY_S = 1.0


def sync_connection_factory(
    respond: Callable[[CallerRequest], HttpReply],
) -> Callable[[], CallerConnection]:
    """Returns a protocol factory for a server whose handler is a plain function.

    Args:
        respond: Returns the response to a request; must not block.
    """

    async def handle(request: CallerRequest) -> HttpReply:
        return respond(request)

    return connection_factory(handle)


def connection_factory(handle: Handler) -> Callable[[], CallerConnection]:
    """Returns a protocol factory for a server whose handler is a coroutine function.

    Args:
        handle: Returns the response to a request.
    """
    context = ConnectionContext(handle=handle, limits=Limits, is_closing=lambda: False)
    connections: set[CallerConnection] = set()
    return lambda: CallerConnection(context=context, connections=connections)


class AddressWait:
    """Tries again to listen on addresses that are in use.

    The process before this one may still be stopping, and an outgoing connection may have got the
    port.
    """

    def __init__(self, *, wait_s: float, journal: Journal) -> None:
        """Starts without a failure.

        Args:
            wait_s: Seconds after which an address in use is an error.
            journal: Logs the first failure for each address, and the end of the wait.
        """
        self._wait_s = wait_s
        self._journal = journal

    async def run(self, listen_once: Callable[[], Awaitable[_T]]) -> _T:
        """Calls a function until it does not raise ``ListenError``, and returns its result.

        Raises:
            ListenError: If the address is still in use after the wait.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reason = ""
        while True:
            try:
                result = await listen_once()
            except ListenError as error:
                if loop.time() >= started_at + self._wait_s:
                    raise
                if not reason:
                    reason = str(error)
                    self._journal.log("daemon", "waiting for an address", reason=reason)
            else:
                if reason:
                    waited_s = round(loop.time() - started_at, 1)
                    self._journal.log(
                        "daemon", "listening after a wait", waited_s=waited_s, reason=reason
                    )
                return result
            await asyncio.sleep(_LISTEN_INTERVAL_S)


class Listener:
    """Accepts connections on one address.

    When it stops, it first accepts the connections that the kernel has established. Their callers
    may have sent requests, which a close of the listening socket would reset.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        make_connection: Callable[[], CallerConnection],
        refuse: Callable[[socket.socket], bool] = lambda _: False,
    ) -> None:
        """Starts to accept connections.

        Args:
            sock: The listening socket, which the listener closes.
            make_connection: Creates the protocol of each accepted connection.
            refuse: Responds to the request on an accepted connection and closes it, and returns
                True; or returns False to have it opened.
        """
        sock.setblocking(False)
        self._sock = sock
        self._refuse = refuse
        self._make_connection = make_connection
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._loop.add_reader(sock, self._accept)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket, for its address; empty after the close."""
        return (self._sock,) if self._is_open else ()

    async def stop(self) -> int:
        """Accepts the connections that wait, closes the listener and opens these connections.

        Without descriptors for them, the listener stays open, and the call has to be repeated.

        Returns:
            The number of these connections.
        """
        if not self._is_open:
            return 0
        self._cancel_retry()
        count = self._accept_waiting()
        if self._retry is None:
            self.close()
        await asyncio.gather(*self._opening)
        return count

    def close(self) -> None:
        """Closes the listener; connections that wait to be accepted are reset."""
        if not self._is_open:
            return
        self._cancel_retry()
        self._loop.remove_reader(self._sock)
        self._sock.close()

    @property
    def _is_open(self) -> bool:
        return self._sock.fileno() >= 0

    def _accept_waiting(self) -> int:
        """Accepts all connections that wait now, and returns how many it took from the queue.

        Of those that come meanwhile it accepts a few. If they come faster than the process accepts
        them, it would not end.
        """
        waiting = count_waiting_connections(self._sock)
        if waiting > _OPENED_PER_ROUND:
            self._sock.listen(0)
        left = waiting + _OPENED_PER_ROUND if waiting else sys.maxsize
        count = 0
        while taken := self._accept(_BACKLOG, min(_BACKLOG, left - count)):
            count += taken
        return count

    def _accept(self, max_opened: int = _OPENED_PER_ROUND, max_taken: int = _BACKLOG) -> int:
        """Accepts connections that wait, and returns how many it took from the queue.

        Args:
            max_opened: Number of connections that are opened at most.
            max_taken: Number of connections that are opened or refused at most.
        """
        taken = opened = 0
        while opened < max_opened and taken < max_taken:
            try:
                connection, _ = self._sock.accept()
            except BlockingIOError:
                return taken
            except ConnectionAbortedError:  # Its caller has left; others may wait behind it.
                taken += 1
                continue
            except OSError as error:
                self._pause(error)
                return taken
            taken += 1
            connection.setblocking(False)
            if self._refuse(connection):
                continue
            opened += 1
            task = self._loop.create_task(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        return taken

    async def _open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_connection, connection)
        except OSError as error:
            self._report("cannot open an accepted connection", error)
            connection.close()

    def _pause(self, error: OSError) -> None:
        """Accepts nothing for a while; the process has no descriptors or memory left."""
        self._report("cannot accept connections", error)
        self._loop.remove_reader(self._sock)
        self._retry = self._loop.call_later(_ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._sock, self._accept)

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _report(self, message: str, error: OSError) -> None:
        self._loop.call_exception_handler({"message": message, "exception": error})


async def listen(
    address: str,
    make_connection: Callable[[], CallerConnection],
    *,
    refuse: Callable[[socket.socket], bool] = lambda _: False,
) -> Listener:
    """Starts to listen and returns the listener.

    Args:
        address: ``IP:PORT`` to listen on.
        make_connection: Creates the protocol of each accepted connection.
        refuse: Refuses the request on an accepted connection, see :class:`Listener`.

    Raises:
        ListenError: If the address is in use or does not belong to this VM.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_server((host, int(port)), backlog=_BACKLOG)
    except OSError as error:
        raise ListenError(f"cannot listen on {address}: {error}") from error
    return Listener(sock=sock, make_connection=make_connection, refuse=refuse)
