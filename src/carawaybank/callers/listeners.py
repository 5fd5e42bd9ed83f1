"""Starts HTTP servers, and makes connections for look-ups, readiness, metrics and control."""

import asyncio
from collections.abc import Callable

from carawaybank.callers.connections import CallerConnection, ConnectionContext, Handler
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import ListenError
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits


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
