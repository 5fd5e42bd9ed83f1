"""Sends requests to targets and turns what happens into verdicts."""

import asyncio
from typing import NamedTuple, Protocol

from carawaybank.buffers import BufferBudget
from carawaybank.client import ClientConnection, ClientPool, ExchangeError, HttpCall
from carawaybank.replies import HttpReply
from carawaybank.routing.fleet import LoadReport
from carawaybank.routing.messages import AttemptResult, Send
from carawaybank.verdicts import UNREACHED, MayHaveRun, NotRun, Reason, Verdict

#: Longest time in seconds to open a connection, beyond four round trips to the target.
CONNECT_ALLOWANCE_S = 0.15
#: Longest idle time in seconds of a connection for a request that must not run twice. A
#: connection that went silent or was closed meanwhile would leave its outcome unknown.
FRESH_ENOUGH_S = 1.0
#: Largest answer of a target in bytes. It is read whole before the caller gets any of it, so that
#: one that breaks off can be tried elsewhere.
LARGEST_ANSWER_BYTES = 16_000_000


class TargetReply(NamedTuple):
    """What an answer of a target means.

    Attributes:
        verdict: Whether it answers the request, or says that it did not run.
        load: The target's load, if it reports it.
        other_target: Whether another target has the address now.
        leaving: Whether the target said that it is leaving.
        pause_s: Seconds for which the target wants nothing from this entry VM.
    """

    verdict: Verdict
    load: LoadReport | None = None
    other_target: bool = False
    leaving: bool = False
    pause_s: float = 0.0


class TargetDialect(Protocol):
    """Reads targets' answers and writes the headers that they expect."""

    def encode(self, call: HttpCall, *, target_id: str, left_s: float) -> HttpCall:
        """Returns the call with the headers for a target."""

    def decode(self, call: HttpCall, reply: HttpReply) -> TargetReply:
        """Returns what an answer means."""


class TargetSender:
    """Performs attempts over pooled connections."""

    def __init__(
        self, *, dialect: TargetDialect, answer_bytes: int = 8 * LARGEST_ANSWER_BYTES
    ) -> None:
        """Starts without connections.

        Args:
            dialect: How targets speak.
            answer_bytes: Bytes that all unfinished large answers may take together.
        """
        self._dialect = dialect
        self._budget = BufferBudget(most_bytes=answer_bytes)
        self._pool = ClientPool()
        #: Times in seconds that new connections took, by failure domain; emptied by the owner.
        self.connect_times: list[tuple[str, float]] = []

    @property
    def pool(self) -> ClientPool:
        """Idle connections by target."""
        return self._pool

    async def send(self, action: Send, call: HttpCall, *, distance_s: float) -> AttemptResult:
        """Performs one attempt.

        Args:
            action: Where to send it and by when it must have ended.
            call: The request without the headers for targets.
            distance_s: Round-trip time to the target in seconds.

        Returns:
            The result; never raises for what the target or the network does.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self._attempt(action, call, distance_s)
        except ExchangeError as error:
            verdict = _verdict(error)
            lost = error.sent and error.reason is Reason.CONNECTION_LOST and not error.heard
            return AttemptResult(verdict, loop.time() - started, lost_target=lost)
        meaning = self._dialect.decode(call, reply)
        return AttemptResult(
            meaning.verdict,
            loop.time() - started,
            load=meaning.load,
            leaving=meaning.leaving,
            pause_s=meaning.pause_s,
            other_target=meaning.other_target,
        )

    async def _attempt(self, action: Send, call: HttpCall, distance_s: float) -> HttpReply:
        peer = f"{action.target_id}@{action.address}"
        connection = self._take(peer, action)
        if connection is None:
            connection = await self._open(action, distance_s)
        try:
            reply = await self._exchange(connection, action, call)
        except ExchangeError:
            self._pool.drop(peer)
            raise
        self._pool.put(peer, connection)
        return reply

    async def _exchange(
        self, connection: ClientConnection, action: Send, call: HttpCall
    ) -> HttpReply:
        left_s = action.deadline - asyncio.get_running_loop().time()
        ready = self._dialect.encode(call, target_id=action.target_id, left_s=left_s)
        return await connection.exchange(
            ready,
            timeout_s=max(0.001, left_s),
            max_body_bytes=min(LARGEST_ANSWER_BYTES, self._budget.most_bytes),
            budget=self._budget,
        )

    def _take(self, peer: str, action: Send) -> ClientConnection | None:
        if action.repeatable:
            return self._pool.take(peer)
        return self._pool.take(peer, max_idle_s=FRESH_ENOUGH_S)

    async def _open(self, action: Send, distance_s: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        started = loop.time()
        limit_s = min(CONNECT_ALLOWANCE_S + 4 * distance_s, action.deadline - started)
        connection = await ClientConnection.open(action.address, timeout_s=max(0.001, limit_s))
        self.connect_times.append((action.failure_domain, loop.time() - started))
        return connection


def _verdict(error: ExchangeError) -> NotRun | MayHaveRun:
    if error.sent:
        return MayHaveRun(error.reason, 1.0, str(error))
    reason = error.reason if error.reason in UNREACHED else Reason.CONNECT_FAILED
    return NotRun(reason, 1.0, str(error))
