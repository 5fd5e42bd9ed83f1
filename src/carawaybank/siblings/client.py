"""HTTP client for siblings: relayed requests, bound requests, exchanges and snapshots."""

import asyncio
import time
from collections.abc import Mapping

from carawaybank import documents, headers
from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.messages import ForwardToBoundVm, Relay, RelayEnded, RequestInfo
from carawaybank.steering.tickets import State
from carawaybank.transport import HttpRequest, Outcome, Transport
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

RELAY_PREFIX = "/v1/relay/"
BOUND_PREFIX = "/v1/bound/"
EXCHANGE_PATH = "/v1/exchange"
SNAPSHOT_PATH = "/v1/snapshot"

#: Bytes counted for the HTTP headers of an exchange, in both directions together.
_HTTP_OVERHEAD_BYTES = 220
#: Seconds after a request's deadline for which the sibling's response is still awaited.
_RELAY_MARGIN_S = 0.05


class SiblingClient:
    """Sends requests to other entry VMs.

    ``relay`` and ``forward_bound`` are coroutines of the event loop. The other methods block and
    must be called from other threads.
    """

    def __init__(
        self, *, transport: Transport, counters: Counters, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Creates a client that uses a transport.

        Args:
            transport: Sends the requests over connections to siblings.
            counters: Counts the bytes of exchanges.
            loop: Runs the requests that other threads make.
        """
        self._transport = transport
        self._loop = loop
        self._counters = counters

    async def relay(self, action: Relay, request: HttpRequest, info: RequestInfo) -> RelayEnded:
        """Sends a request to a sibling that owns targets; returns how it ended."""
        extra_headers = {headers.TRIED: ",".join(action.tried)}
        sibling_request = _forwarded_request(
            request, RELAY_PREFIX, info, extra_headers, action.deadline
        )
        outcome = await self._transport.send(
            action.address,
            sibling_request,
            deadline=action.deadline + _RELAY_MARGIN_S,
            fresh=action.fresh_connection,
        )
        return _decode_relay(action.key, action.vm, outcome.verdict)

    async def forward_bound(
        self, action: ForwardToBoundVm, request: HttpRequest, info: RequestInfo
    ) -> RelayEnded:
        """Sends a request to the entry VM that its id is bound to; returns how it ended."""
        sibling_request = _forwarded_request(request, BOUND_PREFIX, info, {}, action.deadline)
        deadline = action.deadline + _RELAY_MARGIN_S
        outcome = await self._transport.send(
            action.address, sibling_request, deadline=deadline, fresh=True
        )
        return _decode_relay(action.key, action.vm, outcome.verdict)

    def exchange(self, address: str, message: Exchange, *, timeout_s: float) -> Exchange | NotRun:
        """Sends an exchange; returns the response, or the reason why there is none.

        A ``NotRun`` with ``CONNECTION_REFUSED`` means that no process listens at the address. With
        ``TIMEOUT``, the sibling may have processed the exchange; with ``BAD_REQUEST``, its response
        is not a valid exchange.
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
        """Returns the state in force at a sibling, or None if it cannot be fetched or decoded."""
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
        """Returns the response to a GET request without headers, or None if there is none."""
        deadline = time.monotonic() + timeout_s
        verdict = self._send(address, HttpRequest("GET", path), deadline).verdict
        return verdict if isinstance(verdict, Answered) else None

    def _send(self, address: str, request: HttpRequest, deadline: float) -> Outcome:
        """Sends a request from another thread than the event loop's and waits for its outcome."""
        exchange = self._transport.send(address, request, deadline=deadline)
        return asyncio.run_coroutine_threadsafe(exchange, self._loop).result()


def _forwarded_request(
    request: HttpRequest,
    prefix: str,
    info: RequestInfo,
    extra_headers: Mapping[str, str],
    deadline: float,
) -> HttpRequest:
    remaining_ms = max(0, int((deadline - time.monotonic()) * 1000))
    all_headers = {
        **request.headers,
        **extra_headers,
        headers.DEADLINE_MS: str(remaining_ms),
        headers.REPEATABLE: "true" if info.repeatable else "false",
        headers.FIRST_SEND: "true" if info.first_send else "false",
    }
    return request._replace(path=f"{prefix}{info.service}{request.path}", headers=all_headers)


def _decode_relay(key: int, vm: str, verdict: Verdict) -> RelayEnded:
    if not isinstance(verdict, Answered):
        return RelayEnded(key, vm, verdict)
    response_headers = {name.lower(): value for name, value in verdict.headers}
    tried = tuple(filter(None, response_headers.get(headers.TRIED.lower(), "").split(",")))
    free = response_headers.get(headers.FREE.lower(), "")
    return RelayEnded(
        key,
        vm,
        _decode_verdict(verdict, response_headers),
        tried,
        int(free) if free.isdecimal() else None,
        len(verdict.body),
    )


def _decode_verdict(response: Answered, response_headers: Mapping[str, str]) -> Verdict:
    name = response_headers.get(headers.VERDICT.lower(), "")
    if name == "answered":
        return response._replace(target=response_headers.get(headers.TARGET.lower(), ""))
    try:
        reason = Reason(response_headers.get(headers.REASON.lower(), ""))
        retry_after_s = int(response_headers.get(headers.RETRY_AFTER_MS.lower(), "1000")) / 1000
    except ValueError:
        return MayHaveRun(Reason.CONNECTION_LOST, detail="the sibling's verdict is unreadable")
    if name == "not-run":
        return NotRun(reason, retry_after_s)
    return MayHaveRun(reason, retry_after_s)
