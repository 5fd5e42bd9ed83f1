"""Handles callers' requests by performing the actions that the router returns.

The router does no I/O; this module performs its actions over the network. Each request is handled
in one task, which is cancelled when the caller disconnects.
"""

import asyncio
import contextlib
import functools
import itertools
from collections.abc import Callable
from typing import NamedTuple, Protocol

from carawaybank.callers.requests import CallerRequest
from carawaybank.charging import Charging, RequestCharge
from carawaybank.client import HttpCall
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.replies import Headers, HttpReply
from carawaybank.routing.configuration import Limits
from carawaybank.routing.identification import UNAUTHORIZED
from carawaybank.routing.messages import (
    Action,
    AttemptResult,
    Finish,
    Relay,
    RelayResult,
    RelayTerms,
    Request,
    Send,
)
from carawaybank.routing.router import Router
from carawaybank.targets.sender import TargetDialect, TargetSender
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, may_have_run

#: Maximum time in seconds that a request waits for the first configuration after a start. Reading
#: the configuration takes two calls to the store, which is less than the time after which a caller
#: retries a rejected request.
MAX_CONFIGURATION_WAIT_S = 0.4
#: Statuses of refusals that state when the caller may retry.
_RETRY_STATUSES = frozenset({429, 503})


class CallerDialect(TargetDialect, Protocol):
    """Decodes callers' requests and encodes the responses that the entry VM itself generates."""

    def decode_request(self, request: CallerRequest, *, key: int) -> Request:
        """Returns what the router needs to know of a request.

        Args:
            request: The request as received from the caller.
            key: Number that identifies the request in the router.
        """

    def make_forwarded_call(self, request: CallerRequest) -> HttpCall:
        """Returns the request to forward, without the headers for a particular target."""

    def remove_identity(self, call: HttpCall, *, has_tenants: bool) -> HttpCall:
        """Returns a call without a stated tenant and, if there are tenants, without its key."""

    def unauthorized_reply(self, request_id: str, detail: str) -> HttpReply:
        """Returns the response to a request without a valid API key."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Returns the headers of a response that the entry VM itself generates.

        Args:
            request_id: Id of the request.
            retry_after_s: Seconds after which the caller may retry; None to omit the header.
        """


class RelaySender(Protocol):
    """Passes requests on to siblings."""

    async def send(self, relay: Relay, request: Request, call: HttpCall) -> RelayResult:
        """Returns the result of the sibling's attempt; failures are part of it."""


class Attempt(NamedTuple):
    """An attempt to send a request to a target.

    Attributes:
        sent: The router's action that was performed.
        result: How the attempt ended.
    """

    sent: Send
    result: AttemptResult


class Waits(NamedTuple):
    """How long a request waited at this entry VM before it was judged.

    Attributes:
        unread_s: Seconds in the kernel until it was read.
        allotment_s: Seconds for a token of its tenant's allotment; None if it needed none.
    """

    unread_s: float
    allotment_s: float | None


class RequestHandler:
    """Handles callers' requests.

    Attributes:
        is_stopping: Whether the VM is stopping; set by the node.
    """

    def __init__(
        self,
        *,
        router: Router,
        sender: TargetSender,
        relays: RelaySender,
        charging: Charging,
        dialect: CallerDialect,
        journal: Journal,
        counters: Counters,
        on_attempt: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the handler.

        Args:
            router: Decides which target each request is sent to.
            sender: Sends requests to targets.
            relays: Passes requests on to siblings.
            charging: Charges requests to the allotments of tenants.
            dialect: Decodes and encodes the messages of callers.
            journal: Receives a log event for each request and each failed attempt.
            counters: Counts finished and abandoned requests.
            on_attempt: Called after each attempt, which may have changed the limit of a target.
        """
        self._router = router
        self._sender = sender
        self._relays = relays
        self._charging = charging
        self._dialect = dialect
        self._journal = journal
        self._keys = itertools.count(1)
        self._configured = asyncio.Event()
        self._counters = counters
        self._on_attempt = on_attempt
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is known and the VM is not stopping."""
        return not self.is_stopping and self._router.configuration is not None

    @property
    def limits(self) -> Limits:
        """Limits of callers' connections; defaults before the first configuration."""
        configuration = self._router.configuration
        return configuration.limits if configuration else Limits()

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the response to a request.

        The caller's connection cancels this call when the caller disconnects.
        """
        loop = asyncio.get_running_loop()
        arrived_at = loop.time() - request.unread_s
        await self._wait_for_configuration()
        routing_request = self._dialect.decode_request(request, key=next(self._keys))
        # A configuration without tenants may come into force while the request waits for a grant.
        call = self._remove_identity(self._dialect.make_forwarded_call(request))
        try:
            charged_at = loop.time()
            charge = await self._charging.charge(routing_request)
            allotment_wait_s = loop.time() - charged_at if charge is not None else None
            if routing_request.budget_s is not None:
                routing_request = routing_request._replace(
                    budget_s=routing_request.budget_s - (loop.time() - arrived_at)
                )
            action: Action
            if isinstance(charge, Finish):
                action, charge = charge, None
            else:
                call = self._remove_identity(call)
                action = self._router.arrive(
                    routing_request, loop.time(), waited_s=request.unread_s
                )
            finish, last = await self._run(routing_request, call, action, charge)
        except asyncio.CancelledError:
            self._abandon(routing_request, unread_s=request.unread_s)
            raise
        except Exception:
            self._router.abandon(routing_request.key, loop.time())
            raise
        latency_s = loop.time() - arrived_at
        waits = Waits(unread_s=request.unread_s, allotment_s=allotment_wait_s)
        self._record_outcome(routing_request, finish, last, latency_s, waits)
        return self._reply(routing_request, finish)

    async def handle_relayed(
        self, request: Request, call: HttpCall, terms: RelayTerms, *, vm: str
    ) -> RelayResult:
        """Makes one attempt for another entry VM and returns its result.

        The connection of that VM cancels this call when it disconnects.

        Args:
            request: The request, with what is left of its budget.
            call: The request to send, without the headers for a target.
            terms: What to observe.
            vm: Name of the VM that passed the request on.
        """
        request = request._replace(key=next(self._keys))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        call = self._remove_identity(call)
        try:
            action = self._router.arrive(request, started_at, terms)
            finish, last = await self._run(request, call, action)
        except asyncio.CancelledError:
            self._abandon(request)
            raise
        except Exception:
            self._router.abandon(request.key, loop.time())
            raise
        verdict = finish.verdict
        self._journal.log(
            "relays",
            "taken in",
            id=request.request_id,
            sibling=vm,
            service=finish.service,
            target=finish.target_id,
            status=finish.status,
            reason="" if isinstance(verdict, Answered) else f"{verdict.reason}: {verdict.detail}",
            ms=round((loop.time() - started_at) * 1000),
        )
        return RelayResult(verdict, last.sent.target_id if last else "")

    def _remove_identity(self, call: HttpCall) -> HttpCall:
        """Prepares a call for targets, by the configuration that its request is judged by."""
        has_tenants = not self._router.identification.tenants.is_empty
        return self._dialect.remove_identity(call, has_tenants=has_tenants)

    def _abandon(self, request: Request, *, unread_s: float = 0.0) -> None:
        self._router.abandon(request.key, asyncio.get_running_loop().time())
        self._counters.count_abandoned_request()
        fields = {"unread_ms": round(unread_s * 1000)} if unread_s else {}
        self._journal.log("request", "caller left", id=request.request_id, **fields)

    async def _wait_for_configuration(self) -> None:
        """Delays the first requests after a start until a configuration and targets are known."""
        if self._router.configuration is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CONFIGURATION_WAIT_S):
                await self._configured.wait()

    def record_configured(self) -> None:
        """Wakes waiting requests, because the first configuration and the targets are known."""
        self._configured.set()

    async def _run(
        self,
        routing_request: Request,
        call: HttpCall,
        action: Action,
        charge: RequestCharge | None = None,
    ) -> tuple[Finish, Attempt | None]:
        """Performs the router's actions until one finishes the request.

        Returns:
            The finishing action, and the last attempt, or None if there was none.
        """
        try:
            return await self._run_charged(routing_request, call, action, charge)
        except (asyncio.CancelledError, Exception):
            if charge is not None:
                charge.record_attempt(may_have_run=True)
            raise
        finally:
            if charge is not None:
                charge.settle()

    async def _run_charged(
        self,
        routing_request: Request,
        call: HttpCall,
        action: Action,
        charge: RequestCharge | None,
    ) -> tuple[Finish, Attempt | None]:
        loop = asyncio.get_running_loop()
        last: Attempt | None = None
        while not isinstance(action, Finish):
            if isinstance(action, Relay):
                relayed = await self._relay(routing_request, action, call)
                if charge is not None:
                    charge.record_attempt(may_have_run=may_have_run(relayed.verdict))
                action = self._router.end_relay(routing_request.key, relayed, loop.time())
                continue
            sent = action
            result = await self._send(routing_request, sent, call)
            last = Attempt(sent, result)
            self._count_load(result)
            if charge is not None:
                charge.record_attempt(may_have_run=may_have_run(result.verdict))
            self._record_round_trip_times()
            action = self._router.end_attempt(routing_request.key, result, loop.time())
            self._on_attempt()
            if not isinstance(result.verdict, Answered) or isinstance(action, Send):
                self._log_attempt(routing_request, sent, result)
        return action, last

    async def _relay(self, request: Request, relay: Relay, call: HttpCall) -> RelayResult:
        self._counters.count_relay("passed on")
        attempt = self._relays.send(relay, request, call)
        if relay.idempotent:
            return await attempt
        return await asyncio.shield(asyncio.ensure_future(attempt))

    async def _send(self, routing_request: Request, sent: Send, call: HttpCall) -> AttemptResult:
        region = self._router.targets.region_of(sent.target_id)
        round_trip_s = self._router.round_trip_times.estimate_s(sent.failure_domain, region)
        attempt = self._sender.send(sent, call, round_trip_s=round_trip_s)
        if sent.idempotent:
            return await attempt
        # A request that must not run twice is completed even if the caller disconnects.
        task = asyncio.ensure_future(attempt)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._router.detach(routing_request.key)
            task.add_done_callback(functools.partial(self._end_detached, routing_request, sent))
            raise

    def _end_detached(
        self, routing_request: Request, sent: Send, task: asyncio.Future[AttemptResult]
    ) -> None:
        """Records the result of an attempt whose caller has left."""
        failure = None if task.cancelled() else task.exception()
        result = None if task.cancelled() or failure else task.result()
        self._router.end_detached(routing_request.key, result, asyncio.get_running_loop().time())
        self._record_round_trip_times()
        self._on_attempt()
        if result is not None:
            self._count_load(result)
        if failure is not None:
            self._journal.log(
                "request", "attempt failed", id=routing_request.request_id, outcome=repr(failure)
            )
        elif result is not None and not isinstance(result.verdict, Answered):
            self._log_attempt(routing_request, sent, result)

    def _count_load(self, result: AttemptResult) -> None:
        if result.load is not None and result.load.machine_slowness is not None:
            self._counters.count_machine_report(result.load.machine_slowness)

    def _record_round_trip_times(self) -> None:
        while self._sender.connect_times:
            failure_domain, seconds = self._sender.connect_times.pop()
            self._router.round_trip_times.record(failure_domain, seconds)

    def _reply(self, routing_request: Request, finish: Finish) -> HttpReply:
        verdict = finish.verdict
        if isinstance(verdict, Answered):
            return HttpReply(verdict.status, list(verdict.headers), verdict.body)
        if finish.status == UNAUTHORIZED:
            return self._dialect.unauthorized_reply(routing_request.request_id, verdict.detail)
        retry_after_s = verdict.retry_after_s if finish.status in _RETRY_STATUSES else None
        headers = self._dialect.refusal_headers(routing_request.request_id, retry_after_s)
        return HttpReply(finish.status, headers, f"{verdict.reason}: {verdict.detail}\n".encode())

    def _log_attempt(self, routing_request: Request, sent: Send, result: AttemptResult) -> None:
        verdict = result.verdict
        outcome = verdict.status if isinstance(verdict, Answered) else str(verdict.reason)
        self._journal.log(
            "request",
            "attempt failed",
            id=routing_request.request_id,
            target=sent.target_id,
            outcome=outcome,
            ms=round(result.latency_s * 1000),
        )

    def _record_outcome(
        self,
        routing_request: Request,
        finish: Finish,
        last: Attempt | None,
        latency_s: float,
        waits: Waits,
    ) -> None:
        verdict = finish.verdict
        self._counters.count_request(finish.service, verdict, latency_s)
        if finish.limited_by:
            self._counters.count_held_off_request()
        fields: dict[str, object] = {
            "id": routing_request.request_id,
            "service": finish.service,
            "object": routing_request.object_key,
            "status": finish.status,
            "objective_ms": round(finish.objective_s * 1000),
            "attempts": finish.attempts,
        }
        if finish.tenant:
            fields["tenant"] = finish.tenant
        if isinstance(verdict, NotRun | MayHaveRun):
            fields["reason"] = str(verdict.reason)
            fields["detail"] = verdict.detail
        if isinstance(verdict, NotRun):
            fields["retry_after_s"] = round(verdict.retry_after_s, 2)
        else:
            fields["target"] = finish.target_id
        if last is not None:
            fields["expected_ms"] = round(last.sent.expected_s * 1000)
            fields["wait_ms"] = round(last.sent.wait_s * 1000)
            fields["warmth"] = last.sent.warmth
            fields["load"] = last.result.load
        if finish.limited_by:
            fields["limited_by"] = finish.limited_by
        if waits.allotment_s is not None:
            fields["allotment_wait_ms"] = round(waits.allotment_s * 1000)
        if waits.unread_s:
            fields["unread_ms"] = round(waits.unread_s * 1000)
        if finish.relayed_by:
            fields["relayed_by"] = list(finish.relayed_by)
        configuration = self._router.configuration
        fields["config"] = configuration.version if configuration else None
        fields["ms"] = round(latency_s * 1000)
        self._journal.log("request", "answered", **fields)
