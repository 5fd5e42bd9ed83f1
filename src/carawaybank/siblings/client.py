"""Sends requests and exchanges to siblings."""

import asyncio
import time
from collections.abc import Mapping

from carawaybank import documents, headers
from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.messages import PassOn, Relay, RelayEnded, RequestInfo
from carawaybank.steering.tickets import State
from carawaybank.transport import HttpRequest, Outcome, Transport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

RELAY_PREFIX = "/v1/relay/"
BOUND_PREFIX = "/v1/bound/"
EXCHANGE_PATH = "/v1/exchange"
SNAPSHOT_PATH = "/v1/snapshot"

_HTTP_OVERHEAD_BYTES = 220
_RELAY_MARGIN_S = 0.05


class SiblingClient:
    """Talks to other entry VMs.

    Requests are awaited on the loop; control exchanges are called from threads.
    """

    def __init__(
        self, *, transport: Transport, counters: Counters, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Takes the connections to use.

        Args:
            transport: Connections to siblings.
            counters: Counts the bytes of exchanges.
            loop: Runs the exchanges that threads call for.
        """
        self._transport = transport
        self._loop = loop
        self._counters = counters

    async def relay(self, action: Relay, request: HttpRequest, info: RequestInfo) -> RelayEnded:
        """Sends a request to a sibling that owns targets; returns how it ended."""
        marks = {headers.TRIED: ",".join(action.tried)}
        sent = _forwarded(request, RELAY_PREFIX, info, marks, action.deadline)
        outcome = await self._transport.send(
            action.address,
            sent,
            deadline=action.deadline + _RELAY_MARGIN_S,
            fresh=action.fresh_connection,
        )
        return _end(action.key, action.vm, outcome.verdict)

    async def pass_on(self, action: PassOn, request: HttpRequest, info: RequestInfo) -> RelayEnded:
        """Sends a request to the entry VM that its id is bound to; returns how it ended."""
        sent = _forwarded(request, BOUND_PREFIX, info, {}, action.deadline)
        deadline = action.deadline + _RELAY_MARGIN_S
        outcome = await self._transport.send(action.address, sent, deadline=deadline, fresh=True)
        return _end(action.key, action.vm, outcome.verdict)

    def exchange(self, address: str, message: Exchange, *, timeout_s: float) -> Exchange | NotRun:
        """Sends an exchange; returns the answer, or why there is none.

        A ``NotRun`` with ``CONNECT_FAILED`` says that the address refused or did not answer.
        """
        body = documents.encode_json(message)
        request = HttpRequest("POST", EXCHANGE_PATH, {}, body)
        deadline = time.monotonic() + timeout_s
        verdict = self._send(address, request, deadline).verdict
        if isinstance(verdict, NotRun):
            return verdict
        if not isinstance(verdict, Answered) or verdict.status != 200:
            return NotRun(Reason.TIMEOUT, detail="no answer to the exchange")
        self._counters.count_control_bytes(len(body) + len(verdict.body) + _HTTP_OVERHEAD_BYTES)
        try:
            return documents.decode_json(verdict.body, Exchange, source=address)
        except DocumentError as error:
            return NotRun(Reason.BAD_REQUEST, detail=str(error))

    def fetch_snapshot(self, address: str, *, timeout_s: float) -> State | None:
        """Returns the state in force at a sibling, or None."""
        deadline = time.monotonic() + timeout_s
        request = HttpRequest("GET", SNAPSHOT_PATH)
        verdict = self._send(address, request, deadline).verdict
        if not isinstance(verdict, Answered) or verdict.status != 200:
            return None
        try:
            return documents.decode_json(verdict.body, State, source=address)
        except DocumentError:
            return None

    def get(self, address: str, path: str, *, timeout_s: float) -> Answered | None:
        """Returns the answer to a plain request, or None."""
        deadline = time.monotonic() + timeout_s
        verdict = self._send(address, HttpRequest("GET", path), deadline).verdict
        return verdict if isinstance(verdict, Answered) else None

    def _send(self, address: str, request: HttpRequest, deadline: float) -> Outcome:
        """Performs an exchange for another thread than the loop's."""
        exchange = self._transport.send(address, request, deadline=deadline)
        return asyncio.run_coroutine_threadsafe(exchange, self._loop).result()


def _forwarded(
    request: HttpRequest,
    prefix: str,
    info: RequestInfo,
    marks: Mapping[str, str],
    deadline: float,
) -> HttpRequest:
    remaining_ms = max(0, int((deadline - time.monotonic()) * 1000))
    sent = {
        **request.headers,
        **marks,
        headers.DEADLINE_MS: str(remaining_ms),
        headers.REPEATABLE: "true" if info.repeatable else "false",
        headers.FIRST_SEND: "true" if info.first_send else "false",
    }
    return request._replace(path=f"{prefix}{info.service}{request.path}", headers=sent)


def _end(key: int, vm: str, verdict: Verdict) -> RelayEnded:
    if not isinstance(verdict, Answered):
        return RelayEnded(key, vm, verdict)
    marks = {name.lower(): value for name, value in verdict.headers}
    tried = tuple(filter(None, marks.get(headers.TRIED.lower(), "").split(",")))
    free = marks.get(headers.FREE.lower(), "")
    return RelayEnded(
        key,
        vm,
        _read_verdict(verdict, marks),
        tried,
        int(free) if free.isdecimal() else None,
        len(verdict.body),
    )


def _read_verdict(answer: Answered, marks: Mapping[str, str]) -> Verdict:
    name = marks.get(headers.VERDICT.lower(), "")
    if name == "answered":
        return answer._replace(target=marks.get(headers.TARGET.lower(), ""))
    try:
        reason = Reason(marks.get(headers.REASON.lower(), ""))
        retry_after_s = int(marks.get(headers.RETRY_AFTER_MS.lower(), "1000")) / 1000
    except ValueError:
        return MayHaveRun(Reason.CONNECTION_LOST, detail="the sibling's verdict is unreadable")
    if name == "not-run":
        return NotRun(reason, retry_after_s)
    return MayHaveRun(reason, retry_after_s)
