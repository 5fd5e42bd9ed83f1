"""Starts HTTP servers, and makes connections for look-ups, readiness, metrics and control."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from carawaybank.callers.connections import CallerConnection, ConnectionContext, Handler
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import ListenError
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits

_T = TypeVar("_T")

#: Seconds between two attempts to listen on an address that is in use.
_LISTEN_INTERVAL_S = 0.1


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
            journal: Logs the first failure for each address.
        """
        self._wait_s = wait_s
        self._journal = journal

    async def run(self, listen_once: Callable[[], Awaitable[_T]]) -> _T:
        """Calls a function until it does not raise ``ListenError``, and returns its result.

        Raises:
            ListenError: If the address is still in use after the wait.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._wait_s
        is_logged = False
        while True:
            try:
                return await listen_once()
            except ListenError as error:
                if loop.time() >= deadline:
                    raise
                if not is_logged:
                    is_logged = True
                    self._journal.log("daemon", "waiting for an address", reason=str(error))
            await asyncio.sleep(_LISTEN_INTERVAL_S)


async def listen(address: str, make_connection: Callable[[], CallerConnection]) -> asyncio.Server:
    """Starts a server and returns it.

    Args:
        address: ``IP:PORT`` to listen on.
        make_connection: Creates the protocol of each accepted connection.

    Raises:
        ListenError: If the address is in use or does not belong to this VM.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            make_connection, host, int(port), backlog=1024, reuse_address=True
        )
    except OSError as error:
        raise ListenError(f"cannot listen on {address}: {error}") from error
