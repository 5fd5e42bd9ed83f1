"""An entry VM: answers callers' requests with what the router decides.

The router is pure; this module performs its actions over sockets. Each request is one task, which
ends early when its caller leaves.
"""

import asyncio
import contextlib
import itertools
from typing import NamedTuple, Protocol

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import HttpCall
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.replies import Headers, HttpReply
from carawaybank.routing.catalogue import Limits
from carawaybank.routing.messages import Action, AttemptResult, Finish, Request, Send
from carawaybank.routing.router import Router
from carawaybank.targets.sender import TargetDialect, TargetSender
from carawaybank.verdicts import Answered, MayHaveRun, NotRun

#: Longest time in seconds that a request waits for the first configuration after a start. Reading
#: it takes two calls of the store; a refused caller would come back later than that.
CONFIGURATION_WAIT_S = 0.4


class Dialect(TargetDialect, Protocol):
    """Reads callers' requests and writes the answers that no target gave."""

    def read_request(self, request: CallerRequest, *, key: int) -> Request:
        """Returns what routing needs to know of a request."""

    def forward(self, request: CallerRequest) -> HttpCall:
        """Returns the request as it goes to any target."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Returns the headers of an answer that no target gave."""


class Attempt(NamedTuple):
    """An attempt at a target and how it ended."""

    sent: Send
    result: AttemptResult


class EntryVm:
    """Serves callers' requests."""

    def __init__(
        self,
        *,
        router: Router,
        sender: TargetSender,
        dialect: Dialect,
        journal: Journal,
        counters: Counters,
    ) -> None:
        """Takes the parts.

        Args:
            router: Decides.
            sender: Performs attempts at targets.
            dialect: How callers speak.
            journal: Where decisions are noted.
            counters: Counts requests.
        """
        self._router = router
        self._sender = sender
        self._dialect = dialect
        self._journal = journal
        self._keys = itertools.count(1)
        self._configured = asyncio.Event()
        self._counters = counters
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return not self.is_stopping and self._router.configuration is not None

    @property
    def limits(self) -> Limits:
        """Limits of callers' connections."""
        configuration = self._router.configuration
        return configuration.limits if configuration else Limits()

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Answers a request; cancelled when its caller leaves."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        await self._wait_for_configuration()
        info = self._dialect.read_request(request, key=next(self._keys))
        if info.budget_s is not None:
            info = info._replace(budget_s=info.budget_s - (loop.time() - arrived))
        call = self._dialect.forward(request)
        try:
            finish, last = await self._run(info, call)
        except asyncio.CancelledError:
            self._router.abandon(info.key, loop.time())
            self._counters.count_abandoned()
            self._journal.note("request", "caller left", id=info.request_id)
            raise
        self._note(info, finish, last, loop.time() - arrived)
        return self._reply(info, finish)

    async def _wait_for_configuration(self) -> None:
        """Lets the first requests after a start wait until it is known where they may go."""
        if self._router.configuration is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await self._configured.wait()

    def note_configured(self) -> None:
        """Records that the first configuration and the targets are known."""
        self._configured.set()

    async def _run(self, info: Request, call: HttpCall) -> tuple[Finish, Attempt | None]:
        """Returns the outcome and the last attempt."""
        loop = asyncio.get_running_loop()
        last: Attempt | None = None
        action: Action = self._router.arrive(info, loop.time())
        while isinstance(action, Send):
            sent = action
            result = await self._send(info, sent, call)
            last = Attempt(sent, result)
            self._learn_distances()
            action = self._router.end_attempt(info.key, result, loop.time())
            if not isinstance(result.verdict, Answered) or isinstance(action, Send):
                self._note_attempt(info, sent, result)
        return action, last

    async def _send(self, info: Request, sent: Send, call: HttpCall) -> AttemptResult:
        region = self._router.targets.region_of(sent.target_id)
        distance_s = self._router.distances.find(sent.failure_domain, region)
        attempt = self._sender.send(sent, call, distance_s=distance_s)
        if sent.repeatable:
            return await attempt
        # Work that must not be repeated is not broken off when the caller leaves.
        return await asyncio.shield(asyncio.ensure_future(attempt))

    def _learn_distances(self) -> None:
        while self._sender.connect_times:
            failure_domain, seconds = self._sender.connect_times.pop()
            self._router.distances.note(failure_domain, seconds)

    def _reply(self, info: Request, finish: Finish) -> HttpReply:
        verdict = finish.verdict
        if isinstance(verdict, Answered):
            return HttpReply(verdict.status, list(verdict.headers), verdict.body)
        retry_after_s = verdict.retry_after_s if finish.status == 503 else None
        headers = self._dialect.refusal_headers(info.request_id, retry_after_s)
        return HttpReply(finish.status, headers, f"{verdict.reason}: {verdict.detail}\n".encode())

    def _note_attempt(self, info: Request, sent: Send, result: AttemptResult) -> None:
        verdict = result.verdict
        outcome = verdict.status if isinstance(verdict, Answered) else str(verdict.reason)
        self._journal.note(
            "request",
            "attempt failed",
            id=info.request_id,
            target=sent.target_id,
            outcome=outcome,
            ms=round(result.latency_s * 1000),
        )

    def _note(self, info: Request, finish: Finish, last: Attempt | None, latency_s: float) -> None:
        verdict = finish.verdict
        self._counters.count_request(finish.service, verdict, latency_s)
        fields: dict[str, object] = {
            "id": info.request_id,
            "service": finish.service,
            "object": info.object_key,
            "status": finish.status,
            "objective_ms": round(finish.objective_s * 1000),
            "attempts": finish.attempts,
        }
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
        configuration = self._router.configuration
        fields["config"] = configuration.version if configuration else None
        fields["ms"] = round(latency_s * 1000)
        self._journal.note("request", "answered", **fields)
