"""Performs the planned stop of an entry VM, as :mod:`carawaybank.routing.stopping` decides."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from carawaybank.callers.connections import CallerConnection
from carawaybank.routing.stopping import Step, StopPlan

#: Seconds between two decisions on all connections.
_INTERVAL_S = 0.1


class StopResult(NamedTuple):
    """What happened to connections and requests in a stop.

    Attributes:
        closed: Idle connections that were closed.
        refused: Requests that were refused because they were not complete in time.
        given_up: Attempts that were ended because no time was left.
        cut: Connections whose callers have not received all responses.
    """

    closed: int
    refused: int
    given_up: int
    cut: int


async def drain(
    plan: StopPlan,
    *,
    servers: Sequence[asyncio.Server],
    connections: Callable[[], Iterable[CallerConnection]],
    is_idle: Callable[[], bool],
    give_up: Callable[[], int],
) -> StopResult:
    """Serves requests on open connections until callers have switched, and closes everything.

    Args:
        plan: Decides what is closed and when.
        servers: The listeners; the first one is that of callers.
        connections: Returns the open connections of callers and siblings.
        is_idle: Returns whether no request is in progress.
        give_up: Ends the attempts in progress and returns their number.
    """
    loop = asyncio.get_running_loop()
    closed = refused = given_up = 0
    has_given_up = False
    while not plan.is_over(loop.time()):
        await asyncio.sleep(_INTERVAL_S)
        now = loop.time()
        if not plan.is_listening(now):
            servers[0].close()
        open_connections = list(connections())
        for connection in open_connections:
            step = plan.decide(connection.state, now)
            if step is Step.CLOSE:
                connection.close()
                closed += 1
            elif step is Step.REFUSE:
                refused += connection.refuse_unfinished("the entry VM stops")
        if plan.has_given_up(now) and not has_given_up:
            has_given_up = True
            given_up = give_up()
        if not plan.is_listening(now) and not open_connections and is_idle():
            break
    cut = sum(connection.is_response_outstanding for connection in connections())
    for server in servers:
        server.close()
    return StopResult(closed, refused, given_up, cut)
