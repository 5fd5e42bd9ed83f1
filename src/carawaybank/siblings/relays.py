"""Passes requests on to siblings, and sends requests that siblings pass on.

A request travels over TCP to the sibling's heartbeat port. Only VMs that are registered in the
store are served there; callers use another port, and nothing that they send is read as a relay. A
relay is one attempt at one target: the sibling returns the whole response or the reason why there
is none, and ends the attempt when the connection closes.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Annotated, NamedTuple, Protocol

import msgspec

from carawaybank.buffers import BufferBudget
from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.pool import ClientPool
from carawaybank.replies import FINAL_STATUSES, HttpReply
from carawaybank.routing.helpers import Helpers
from carawaybank.routing.messages import Relay, RelayResult, RelayTerms, Request
from carawaybank.siblings.vms import VmDirectory
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

RELAY_PATH = "/v1/relay"
_RELAY_ID = "Relay-Id"
#: Requests of other VMs that this VM has in progress at most.
MAX_RELAYED = 256
#: The same while this VM is congested. Other load on its machine may be the cause, which refusing
#: all requests would not end; a VM that is cut off could then serve no caller without other help.
MAX_RELAYED_CONGESTED = 8
#: Bytes of the bodies of these requests; a response is bounded by the budget for all responses.
MAX_RELAYED_BYTES = 32_000_000
#: Maximum size in bytes of a result, which contains a whole response of a target.
_MAX_RESULT_BYTES = 17_000_000
#: Headers or targets of a message that is passed on. Three bytes may become 64 bytes of memory.
_MAX_ELEMENTS = 20_000
#: Bytes of a sibling's error that are logged.
_MAX_LOGGED_BYTES = 200
#: Time limit in seconds to connect to a sibling.
_CONNECT_TIMEOUT_S = 0.5
#: Seconds after the deadline of an attempt for which the sibling's result is awaited.
_MARGIN_S = 0.05
#: Longest idle time in seconds of a connection that is reused; siblings close theirs later.
_MAX_IDLE_S = 5.0


_BoundedHeaders = Annotated[list[tuple[str, str]], msgspec.Meta(max_length=_MAX_ELEMENTS)]
_BoundedTargets = Annotated[tuple[str, ...], msgspec.Meta(max_length=_MAX_ELEMENTS)]


class _WireCall(NamedTuple):
    """An ``HttpCall`` with a limited number of headers."""

    method: str
    path: str
    headers: _BoundedHeaders
    body: bytes = b""
    expected_echo: tuple[str, str] = ("", "")


class _WireTerms(NamedTuple):
    """``RelayTerms`` with a limited number of targets."""

    service: str
    tried_targets: _BoundedTargets
    configuration_version: int
    tenant: str = ""


class _WireRelay(NamedTuple):
    """A ``RelayMessage`` as it is decoded."""

    vm: str
    request: Request
    call: _WireCall
    terms: _WireTerms


class RelayMessage(NamedTuple):
    """A request as passed on to a sibling.

    Attributes:
        vm: Name of the VM that passes it on.
        request: The properties that routing depends on; its budget is what is left of it.
        call: The request to send, without the headers for a target.
        terms: What the sibling must observe.
    """

    vm: str
    request: Request
    call: HttpCall
    terms: RelayTerms


class RelayReply(NamedTuple):
    """The result of a relay.

    Attributes:
        status: HTTP status of the target's response; 0 if there is none.
        headers: Headers of the response.
        body: Body of the response.
        may_have_run: Whether a request without a response may have run.
        reason: Why there is no response; empty if there is one.
        retry_after_s: Seconds after which the request may be sent again.
        detail: A sentence for people.
        target_id: Target that the request was sent to; empty if none.
    """

    status: int
    headers: _BoundedHeaders
    body: bytes
    may_have_run: bool
    reason: str
    retry_after_s: float
    detail: str
    target_id: str


class RelayedRequests(Protocol):
    """Sends requests that siblings pass on."""

    async def handle_relayed(
        self, request: Request, call: HttpCall, terms: RelayTerms, *, vm: str
    ) -> RelayResult:
        """Makes one attempt and returns its result; cancelled when the sibling disconnects."""


class RelayClient:
    """Passes requests on to siblings over pooled connections."""

    def __init__(
        self, *, vm: str, ip: str, helpers: Helpers, journal: Journal, budget: BufferBudget
    ) -> None:
        """Starts without connections.

        Args:
            vm: Name of this entry VM.
            ip: IP address of this entry VM, by which siblings recognize it.
            helpers: Forgets siblings that cannot be reached.
            journal: Logs relays that failed.
            budget: Memory for all large responses that this VM receives.
        """
        self._vm = vm
        self._ip = ip
        self._helpers = helpers
        self._journal = journal
        self._budget = budget
        self._pool = ClientPool()
        self._numbers = itertools.count(1)
        self._exchanging: dict[ClientConnection, Relay] = {}
        self._has_given_up = False

    @property
    def pool(self) -> ClientPool:
        """The pool of idle connections, by sibling."""
        return self._pool

    async def send(self, relay: Relay, request: Request, call: HttpCall) -> RelayResult:
        """Passes a request on and returns the result of the sibling's attempt.

        Failures of the sibling or the network are part of the result and are not raised.
        """
        try:
            reply = await self._exchange(relay, request, call)
        except ExchangeError as error:
            self._helpers.remove(relay.offer.vm)
            self._log_failure(relay, request, str(error))
            if error.may_have_sent:
                return RelayResult(MayHaveRun(error.reason, 1.0, str(error)))
            return RelayResult(NotRun(Reason.CONNECT_FAILED, 1.0, str(error)))
        if reply.status != 200:
            self._helpers.remove(relay.offer.vm)
            detail = reply.body[:_MAX_LOGGED_BYTES].decode("utf-8", "replace").strip()
            self._log_failure(relay, request, detail)
            return RelayResult(NotRun(Reason.NO_CAPACITY, 1.0, "a sibling refused the request"))
        try:
            return _decode_result(reply.body)
        except (msgspec.MsgspecError, ValueError) as error:
            self._log_failure(relay, request, str(error))
            return RelayResult(MayHaveRun(Reason.ANSWER_TRUNCATED, 1.0, "unreadable result"))

    def abort_idempotent(self, vm: str) -> None:
        """Ends the idempotent attempts at a sibling that does not answer any more."""
        for connection, relay in list(self._exchanging.items()):
            if relay.idempotent and relay.offer.vm == vm:
                connection.fail(Reason.PATH_LOST, f"{vm} does not answer")

    def give_up(self, *, is_final: bool) -> int:
        """Ends attempts at siblings, because this VM stops, and returns their number.

        Args:
            is_final: Whether attempts of which a part of the result has arrived are ended too.
        """
        self._has_given_up = True
        interrupted = [
            connection
            for connection in self._exchanging
            if connection.is_awaiting_response and (is_final or not connection.has_response)
        ]
        for connection in interrupted:
            connection.fail(Reason.STOPPING, "the entry VM stops")
        return len(interrupted)

    async def _exchange(self, relay: Relay, request: Request, call: HttpCall) -> HttpReply:
        loop = asyncio.get_running_loop()
        peer = f"{relay.offer.vm}@{relay.offer.address}"
        connection = self._pool.acquire(peer, max_idle_s=_MAX_IDLE_S if relay.idempotent else 1.0)
        if connection is None:
            timeout_s = max(0.001, min(_CONNECT_TIMEOUT_S, relay.deadline - loop.time()))
            connection = await ClientConnection.open(
                relay.offer.address, timeout_s=timeout_s, local_ip=self._ip
            )
        if self._has_given_up:
            connection.close()
            raise ExchangeError(
                reason=Reason.CONNECT_FAILED, message="the entry VM stops", may_have_sent=False
            )
        remaining_s = max(0.001, relay.deadline - loop.time())
        # The sibling does not judge the key again and does not get its digest.
        request = request._replace(budget_s=remaining_s, credential="")
        message = RelayMessage(self._vm, request, call, relay.terms)
        relay_id = f"{self._vm}/{next(self._numbers)}"
        headers = [("Host", relay.offer.address), (_RELAY_ID, relay_id)]
        body = encode_message(message)
        relay_call = HttpCall("POST", RELAY_PATH, headers, body, (_RELAY_ID, relay_id))
        self._exchanging[connection] = relay
        try:
            reply = await connection.exchange(
                relay_call,
                timeout_s=remaining_s + _MARGIN_S,
                max_body_bytes=_MAX_RESULT_BYTES,
                budget=self._budget,
            )
        except ExchangeError:
            self._pool.close_peer(peer)
            raise
        finally:
            del self._exchanging[connection]
        self._pool.release(peer, connection)
        return reply

    def _log_failure(self, relay: Relay, request: Request, reason: str) -> None:
        self._journal.log(
            "relays", "failed", id=request.request_id, sibling=relay.offer.vm, reason=reason
        )


class RelayServer:
    """Serves requests that siblings pass on."""

    def __init__(
        self,
        *,
        requests: RelayedRequests,
        vms: VmDirectory,
        is_accepting: Callable[[], bool],
        is_congested: Callable[[], bool],
        counters: Counters,
        journal: Journal,
    ) -> None:
        """Starts without requests.

        Args:
            requests: Makes the attempts.
            vms: The registered entry VMs.
            is_accepting: Returns whether this VM has a configuration and is not stopping.
            is_congested: Returns whether this VM is too busy for more than a few requests.
            counters: Counts requests that were taken in or refused.
            journal: Logs requests that are refused as malformed or not allowed.
        """
        self._requests = requests
        self._vms = vms
        self._is_accepting = is_accepting
        self._is_congested = is_congested
        self._counters = counters
        self._journal = journal
        self._in_progress = 0
        self._body_bytes = 0

    @property
    def in_progress(self) -> int:
        """Number of requests of other VMs that have no result yet."""
        return self._in_progress

    @property
    def room(self) -> int:
        """Number of requests of other VMs that this VM could take in addition."""
        if not self._is_accepting():
            return 0
        limit = MAX_RELAYED_CONGESTED if self._is_congested() else MAX_RELAYED
        return max(0, limit - self._in_progress)

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the result of a relay, or an error if the request is no valid relay."""
        relay_id = request.header(_RELAY_ID) or ""
        if request.method != "POST" or request.path != RELAY_PATH:
            return self._reject(request, 404, "unknown path")
        try:
            message = _decode_message(request.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return self._reject(request, 400, f"malformed relay: {error}")
        record = self._vms.find_serving(message.vm, now=asyncio.get_running_loop().time())
        if record is None or record.sibling_address.rpartition(":")[0] != request.peer:
            return self._reject(request, 403, f"{message.vm} is not registered at this address")
        size = len(request.body)
        if not self.room or self._body_bytes + size > MAX_RELAYED_BYTES:
            self._counters.count_relay("refused")
            verdict = NotRun(Reason.NO_CAPACITY, 0.5, "no room for requests of other VMs")
            return _encode_result(RelayResult(verdict), relay_id)
        self._counters.count_relay("taken in")
        self._in_progress += 1
        self._body_bytes += size
        try:
            result = await self._requests.handle_relayed(
                _subtract_wait(message.request, request.unread_s),
                message.call,
                message.terms,
                vm=message.vm,
            )
        except Exception as error:
            # A status other than 200 would tell the sibling that the request has not run.
            result = self._report_failure(error)
        finally:
            self._in_progress -= 1
            self._body_bytes -= size
        return _encode_result(result, relay_id)

    @staticmethod
    def _report_failure(error: Exception) -> RelayResult:
        context = {"message": "cannot handle a relay", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        return RelayResult(MayHaveRun(Reason.CONNECTION_LOST, 1.0, "unexpected error"))

    def _reject(self, request: CallerRequest, status: int, detail: str) -> HttpReply:
        self._journal.log("relays", "rejected", peer=request.peer, status=status, reason=detail)
        return HttpReply(status, [("content-type", "text/plain")], f"{detail}\n".encode())


def encode_message(message: RelayMessage) -> bytes:
    """Returns the body of a relay.

    Fields that builds before tenants do not have are left out unless they are set, because these
    builds reject a message that has them. They thereby refuse the requests of tenants, whose terms
    they cannot apply, and send all others.
    """
    request, terms = _drop_defaults(message.request), _drop_defaults(message.terms)
    return msgspec.msgpack.encode((message.vm, request, message.call, terms))


def _decode_message(body: bytes) -> RelayMessage:
    """Returns a relay.

    Raises:
        msgspec.MsgspecError: If it cannot be decoded, or has too many headers or targets.
        UnicodeDecodeError: If a text in it is no UTF-8.
    """
    vm, request, call, terms = msgspec.msgpack.decode(body, type=_WireRelay)
    return RelayMessage(vm, request, HttpCall(*call), RelayTerms(*terms))


def _drop_defaults(record: Request | RelayTerms) -> tuple[object, ...]:
    """Returns the values of a record without the last ones that are equal to their defaults."""
    values = tuple(record)
    defaults = record._field_defaults
    for name in reversed(record._fields):
        if name not in defaults or values[-1] != defaults[name]:
            break
        values = values[:-1]
    return values


def _encode_result(result: RelayResult, relay_id: str) -> HttpReply:
    verdict = result.verdict
    if isinstance(verdict, Answered):
        reply = RelayReply(
            verdict.status, list(verdict.headers), verdict.body, True, "", 0, "", result.target_id
        )
    else:
        may_have_run = isinstance(verdict, MayHaveRun)
        reason, retry_after_s, detail = str(verdict.reason), verdict.retry_after_s, verdict.detail
        reply = RelayReply(
            0, [], b"", may_have_run, reason, retry_after_s, detail, result.target_id
        )
    return HttpReply(200, [(_RELAY_ID, relay_id)], msgspec.msgpack.encode(reply))


def _decode_result(body: bytes) -> RelayResult:
    """Returns the result of a relay.

    Raises:
        msgspec.MsgspecError: If it cannot be decoded.
        ValueError: If its reason is unknown, or it has neither a reason nor a valid status.
    """
    reply = msgspec.msgpack.decode(body, type=RelayReply)
    if not reply.reason:
        if reply.status not in FINAL_STATUSES:
            raise ValueError(f"a result without a reason has the status {reply.status}")
        answer = Answered(reply.status, tuple((n, v) for n, v in reply.headers), reply.body)
        return RelayResult(answer, reply.target_id)
    kind = MayHaveRun if reply.may_have_run else NotRun
    verdict = kind(Reason(reply.reason), reply.retry_after_s, reply.detail)
    return RelayResult(verdict, reply.target_id)


def _subtract_wait(request: Request, unread_s: float) -> Request:
    """Returns a request with what is left of its budget after a wait in the kernel."""
    if request.budget_s is None:
        return request
    return request._replace(budget_s=request.budget_s - unread_s)
