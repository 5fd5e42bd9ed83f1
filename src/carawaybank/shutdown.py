"""Performs the planned stop of an entry VM, as :mod:`carawaybank.routing.stopping` decides."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

from carawaybank.callers import sweeps
from carawaybank.callers.connections import CallerConnection
from carawaybank.callers.listeners import Listener
from carawaybank.routing.stopping import Step, StopPlan

#: Seconds between two decisions on all connections.
_INTERVAL_S = 0.1
#: Delay in seconds of a decision from which the event loop reads first. After a pause of the
#: process it runs expired timers before it reads what arrived, such as responses of targets.
_MAX_DELAY_S = 0.02
#: Seconds in which the event loop then reads, and in which responses are written at the end.
_READ_S = 0.02


class StopResult(NamedTuple):
    """What happened to connections and requests in a stop.

    Attributes:
        closed: Idle connections that were closed.
        refused: Requests that were refused because they were not complete in time.
        given_up: Attempts that were ended because no time was left.
        cut: Connections whose callers have not received all responses.
        queued: Connections that waited to be accepted when the VM stopped listening for requests.
        late_s: Longest delay in seconds of a decision, for want of processor time.
    """

    closed: int
    refused: int
    given_up: int
    cut: int
    queued: int
    late_s: float


class Listeners(NamedTuple):
    """The listeners of an entry VM.

    Attributes:
        requests: Those on which requests arrive, from callers and from siblings.
        others: Those of look-ups, readiness checks, metrics and control.
    """

    requests: Sequence[Listener]
    others: Sequence[Listener]


class AttemptEnder(Protocol):
    """Ends attempts in progress, because the VM stops."""

    def __call__(self, *, is_final: bool) -> int:
        """Ends attempts and returns their number.

        Args:
            is_final: Whether attempts of which a part of the response has arrived are ended too.
        """


async def drain(
    plan: StopPlan,
    *,
    listeners: Listeners,
    connections: Callable[[], Iterable[CallerConnection]],
    is_idle: Callable[[], bool],
    give_up: AttemptEnder,
    is_overloaded: Callable[[float], bool] = lambda _: False,
) -> StopResult:
    """Serves requests on open connections until callers have switched, and closes everything.

    Args:
        plan: Decides what is closed and when.
        listeners: The listeners.
        connections: Returns the open connections of callers and siblings.
        is_idle: Returns whether no request is in progress.
        give_up: Ends attempts in progress.
        is_overloaded: Returns whether more requests arrive than can be served; new connections are
            then refused at once, so that their callers turn to other VMs.
    """
    loop = asyncio.get_running_loop()
    closed = refused = given_up = queued = 0
    late_s = 0.0
    while not plan.is_over(started_at := loop.time()):
        await asyncio.sleep(_INTERVAL_S)
        now = loop.time()
        delay_s = now - started_at - _INTERVAL_S
        late_s = max(late_s, delay_s)
        if delay_s > _MAX_DELAY_S:
            await asyncio.sleep(_READ_S)
            now = loop.time()
        if is_overloaded(now) or not plan.is_listening(now):
            queued += await _stop_listening(listeners.requests)
        open_connections = list(connections())
        steps = _apply_steps(plan, open_connections, now)
        closed += steps[Step.CLOSE]
        refused += steps[Step.REFUSE]
        if plan.has_given_up(now):
            given_up += give_up(is_final=False)
        is_listening = any(listener.sockets for listener in listeners.requests)
        if not is_listening and not open_connections and is_idle():
            break
    given_up += give_up(is_final=True)
    if given_up:
        await asyncio.sleep(_READ_S)
    cut = sum(connection.is_response_outstanding for connection in connections())
    if await _stop_listening(listeners.others):
        await asyncio.sleep(_INTERVAL_S)
    return StopResult(closed, refused, given_up, cut, queued, late_s)


def _apply_steps(
    plan: StopPlan, connections: Iterable[CallerConnection], now: float
) -> Counter[Step]:
    """Closes connections and refuses requests by the plan, and returns how many of each."""
    steps: Counter[Step] = Counter()

    def apply_step(connection: CallerConnection) -> None:
        step = plan.decide(connection.state, now)
        if step is Step.CLOSE:
            connection.close()
            steps[step] += 1
        elif step is Step.REFUSE:
            steps[step] += connection.refuse_unfinished("the entry VM stops")

    sweeps.visit(connections, apply_step)
    return steps


async def _stop_listening(listeners: Iterable[Listener]) -> int:
    """Stops listeners, and returns the number of connections that waited to be accepted."""
    return sum([await listener.stop() for listener in listeners])
