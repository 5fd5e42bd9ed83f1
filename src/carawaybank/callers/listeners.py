"""Small HTTP interfaces of an entry VM: look-ups, readiness and metrics."""

import asyncio
from collections.abc import Callable

from carawaybank.callers.front import CallerConnection, Gate, Handler
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import ListenError
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Limits


def serve_text(
    answer: Callable[[CallerRequest], HttpReply],
) -> Callable[[], CallerConnection]:
    """Returns a maker of connections that answer each request at once.

    Args:
        answer: Returns the answer to a request.
    """

    async def handle(request: CallerRequest) -> HttpReply:
        return answer(request)

    return serve(handle)


def serve(handle: Handler) -> Callable[[], CallerConnection]:
    """Returns a maker of connections whose requests are answered by a coroutine.

    Args:
        handle: Answers a request.
    """
    gate = Gate(handle=handle, limits=Limits, is_closing=lambda: False)
    connections: set[CallerConnection] = set()
    return lambda: CallerConnection(gate=gate, connections=connections)


async def listen(address: str, make: Callable[[], CallerConnection]) -> asyncio.Server:
    """Returns a server that listens at an address.

    Args:
        address: ``IP:PORT``.
        make: Makes the protocol of a connection.

    Raises:
        ListenError: If the address is in use or not one of this VM.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(make, host, int(port), backlog=1024, reuse_address=True)
    except OSError as error:
        raise ListenError(f"cannot listen on {address}: {error}") from error
