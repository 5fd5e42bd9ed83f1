"""Sends requests to targets over pooled connections and converts the results into verdicts."""

import asyncio
from collections.abc import Collection
from typing import NamedTuple, Protocol

from carawaybank.buffers import BufferBudget
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.pool import ClientPool
from carawaybank.replies import HttpReply
from carawaybank.routing.messages import AttemptResult, Send
from carawaybank.routing.target import LoadReport
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.verdicts import UNREACHED_REASONS, MayHaveRun, NotRun, Reason, Verdict

#: Time limit in seconds to open a connection, to which four round trips to the target are added.
BASE_CONNECT_TIMEOUT_S = 0.15
#: Longest idle time in seconds of a pooled connection that is reused for a request that must not
#: run twice. If the connection has died or was closed meanwhile, the outcome of the request is
#: unknown.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
#: Largest response body of a target in bytes. A response is buffered whole before any of it is sent
#: to the caller, so that a request whose response is truncated can be sent to another target.
MAX_RESPONSE_BYTES = 16_000_000
#: Text of the failure of an attempt that a stop of the VM ends.
STOP_MESSAGE = "the entry VM stops"


class TargetReply(NamedTuple):
    """The decoded response of a target.

    Attributes:
        verdict: Whether the request was answered, may have run, or did not run.
        load: The target's load, if the response reports it.
        address_reused: Whether the address now belongs to another target.
        is_draining: Whether the target announces its departure.
        pause_s: Seconds for which the target asks this entry VM to send no requests.
        limit: What the response says of the target's limit; None if it is not a valid response, or
            one that cannot end a limit and names none.
    """

    verdict: Verdict
    load: LoadReport | None = None
    address_reused: bool = False
    is_draining: bool = False
    pause_s: float = 0.0
    limit: LimitStatement | None = None


class InterruptedAttempt(NamedTuple):
    """An attempt that ended because the VM stops.

    Attributes:
        key: Key of its request in the router.
        has_response: Whether a part of a response had arrived, read or not.
    """

    key: int
    has_response: bool


class TargetDialect(Protocol):
    """Encodes requests and decodes responses in the protocol of the targets."""

    def encode(
        self, call: HttpCall, *, target_id: str, remaining_s: float, tenant: str
    ) -> HttpCall:
        """Returns the call with the headers that a target expects.

        Args:
            call: The request without these headers.
            target_id: Identifier of the target.
            remaining_s: Seconds until the deadline of the attempt.
            tenant: Name of the request's tenant; empty if it has none.
        """

    def decode(self, call: HttpCall, reply: HttpReply) -> TargetReply:
        """Returns the decoded response to a call."""


class TargetSender:
    """Sends requests to targets, one attempt each, over pooled connections."""

    def __init__(
        self, *, dialect: TargetDialect, max_buffered_bytes: int = 8 * MAX_RESPONSE_BYTES
    ) -> None:
        """Starts without connections.

        Args:
            dialect: Encodes requests and decodes responses.
            max_buffered_bytes: Memory limit for all large responses that are being received.
        """
        self._dialect = dialect
        self._budget = BufferBudget(max_bytes=max_buffered_bytes)
        self._pool = ClientPool()
        self._exchanging: dict[ClientConnection, Send] = {}
        self._has_given_up = False
        #: Failure domain and connect time in seconds of each new connection. The owner of the
        #: sender removes the entries that it has processed.
        self.connect_times: list[tuple[str, float]] = []

    @property
    def pool(self) -> ClientPool:
        """The pool of idle connections, by target."""
        return self._pool

    @property
    def budget(self) -> BufferBudget:
        """The memory that unfinished large responses share."""
        return self._budget

    async def send(self, action: Send, call: HttpCall, *, round_trip_s: float) -> AttemptResult:
        """Performs one attempt.

        Args:
            action: The target and the deadline of the attempt.
            call: The request, still without the headers for the target.
            round_trip_s: Round-trip time to the target in seconds.

        Returns:
            The result. Failures of the target or the network are part of it and are not raised.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self._attempt(action, call, round_trip_s)
        except ExchangeError as error:
            verdict = _to_verdict(error)
            may_have_crashed = (
                error.may_have_sent
                and error.reason is Reason.CONNECTION_LOST
                and not error.has_received_bytes
            )
            return AttemptResult(verdict, loop.time() - started, may_have_crashed=may_have_crashed)
        decoded = self._dialect.decode(call, reply)
        return AttemptResult(
            decoded.verdict,
            loop.time() - started,
            load=decoded.load,
            is_draining=decoded.is_draining,
            pause_s=decoded.pause_s,
            address_reused=decoded.address_reused,
            limit=decoded.limit,
        )

    async def _attempt(self, action: Send, call: HttpCall, round_trip_s: float) -> HttpReply:
        peer = f"{action.target_id}@{action.address}"
        connection = self._acquire(peer, action, request_id=call.expected_echo[1])
        if connection is None:
            connection = await self._open(action, round_trip_s)
        if self._has_given_up:
            connection.close()
            raise ExchangeError(
                reason=Reason.CONNECT_FAILED, message=STOP_MESSAGE, may_have_sent=False
            )
        try:
            reply = await self._exchange(connection, action, call)
        except ExchangeError:
            self._pool.close_peer(peer)
            raise
        self._pool.release(peer, connection)
        return reply

    async def _exchange(
        self, connection: ClientConnection, action: Send, call: HttpCall
    ) -> HttpReply:
        remaining_s = action.deadline - asyncio.get_running_loop().time()
        encoded = self._dialect.encode(
            call, target_id=action.target_id, remaining_s=remaining_s, tenant=action.tenant
        )
        self._exchanging[connection] = action
        try:
            return await connection.exchange(
                encoded,
                timeout_s=max(0.001, remaining_s),
                max_body_bytes=min(MAX_RESPONSE_BYTES, self._budget.max_bytes),
                budget=self._budget,
                needs_echo=True,
            )
        finally:
            del self._exchanging[connection]

    def abort_idempotent(self, target_ids: Collection[str]) -> int:
        """Ends the idempotent attempts at targets to which the path was lost.

        Others are left to their deadline: their response may still come, and nothing may be sent
        in their place.

        Returns:
            The number of attempts that were ended.
        """
        aborted = [
            connection
            for connection, action in self._exchanging.items()
            if action.idempotent and action.target_id in target_ids
        ]
        for connection in aborted:
            connection.fail(Reason.PATH_LOST, "the path to the targets was lost")
        return len(aborted)

    def give_up(self, *, is_final: bool) -> list[InterruptedAttempt]:
        """Ends attempts and sends no further request, because the VM stops.

        Args:
            is_final: Whether attempts of which a part of the response has arrived are ended too.

        Returns:
            The attempts that were ended.
        """
        self._has_given_up = True
        interrupted = []
        for connection, action in self._exchanging.items():
            has_response = connection.has_response
            if connection.is_awaiting_response and (is_final or not has_response):
                connection.fail(Reason.STOPPING, STOP_MESSAGE)
                interrupted.append(InterruptedAttempt(action.key, has_response))
        return interrupted

    def _acquire(self, peer: str, action: Send, *, request_id: str) -> ClientConnection | None:
        """Returns an idle connection on which no late response can belong to the same id."""
        if not request_id:
            return None
        if action.idempotent:
            connection = self._pool.acquire(peer)
        else:
            connection = self._pool.acquire(peer, max_idle_s=NON_IDEMPOTENT_MAX_IDLE_S)
        if connection is not None and connection.has_carried(request_id):
            self._pool.release(peer, connection)
            return None
        return connection

    async def _open(self, action: Send, round_trip_s: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        started = loop.time()
        limit_s = min(BASE_CONNECT_TIMEOUT_S + 4 * round_trip_s, action.deadline - started)
        connection = await ClientConnection.open(action.address, timeout_s=max(0.001, limit_s))
        self.connect_times.append((action.failure_domain, loop.time() - started))
        return connection


def _to_verdict(error: ExchangeError) -> NotRun | MayHaveRun:
    if error.may_have_sent:
        return MayHaveRun(error.reason, 1.0, str(error))
    reason = error.reason if error.reason in UNREACHED_REASONS else Reason.CONNECT_FAILED
    return NotRun(reason, 1.0, str(error))
