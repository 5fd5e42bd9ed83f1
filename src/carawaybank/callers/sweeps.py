"""Periodic work on all connections, such as time-outs and the decisions of a planned stop."""

import asyncio
from collections.abc import Callable, Iterable

from carawaybank.callers.connections import CallerConnection


def visit(
    connections: Iterable[CallerConnection], act: Callable[[CallerConnection], object]
) -> None:
    """Calls a function with each connection.

    An unexpected error at one connection is reported to the event loop. It must not keep the others
    from being visited, nor end a planned stop or a background task.

    Args:
        connections: The connections; they may open and close meanwhile.
        act: Called with each of them.
    """
    for connection in list(connections):
        try:
            act(connection)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "cannot handle a connection", "exception": error}
            )


def check_timeouts(connections: Iterable[CallerConnection], *, now: float) -> None:
    """Enforces the time-outs of all connections.

    Args:
        connections: The connections.
        now: Time in seconds on the event loop's clock.
    """
    visit(connections, lambda connection: connection.check_timeouts(now))
