"""Allotments of tenants over all entry VMs: messages between them, and waiting for a grant.

The messages are UDP datagrams over the heartbeat socket, JSON objects in the form of reports of
limits with further fields. VMs of an older build read them as reports without limits. Nothing is
sent while no tenant has a limit.

Load pattern: a tenant sends several times its allotment to many VMs. A request without a token
waits for the response of the tenant's owner, or is refused at once if that has no tokens left.
"""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NotRequired

import msgspec

from carawaybank.counters import Counters
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.allotmentmessages import (
    AskBatch,
    Borrow,
    Claim,
    GrantBatch,
    Handover,
    Loan,
    Message,
)
from carawaybank.routing.allotments import Allotments
from carawaybank.routing.allotmentshares import Token
from carawaybank.routing.allotmentterms import AllotmentBounds
from carawaybank.routing.configuration import Configuration
from carawaybank.routing.electorate import Electorate
from carawaybank.routing.limitshares import VmLocality
from carawaybank.siblings.limits import LimitMessage
from carawaybank.siblings.vms import VmDirectory, VmRecord

#: Seconds between rounds, each of which takes over slots and asks for tokens where that is due.
ROUND_S = 0.1
#: Rounds between updates of the VMs that are alive.
_ROUNDS_PER_UPDATE = 5
#: Longest wait for a grant in seconds, and as a part of the request's objective. A round trip
#: between regions takes 0.07 s; with waits up to 0.1 s, 7% of the requests within allotments were
#: refused.
MAX_WAIT_S = 0.25
MAX_WAIT_PART = 0.5
#: Seconds for which a VM still counts as alive after the last report on its failure domain
#: expired. While readers are replaced, domains are not reported for some seconds, and without this
#: a quarter of the VMs of a deployment gave up their allotments at the same time.
UNREPORTED_S = 4.0
#: Seconds after which a caller may retry if the owner did not respond; another VM has then replaced
#: an owner that ended.
_NO_ANSWER_RETRY_S = 1.0
#: Part by which the wait in a refusal varies, so that callers do not return together.
_SPREAD = 0.5
_PREFIX = b'{"allotments":'


class AllotmentMessage(LimitMessage):
    """The content of a datagram.

    Attributes:
        allotments: Number of the format; the first field, by which datagrams are told apart.
        claim: Takes over slots.
        handover: Response to a claim.
        asks: Asks for tokens.
        grants: Response to asks.
        borrow: Asks another VM of the region for tokens.
        loan: Response to this.
    """

    allotments: int
    claim: NotRequired[Claim]
    handover: NotRequired[Handover]
    asks: NotRequired[AskBatch]
    grants: NotRequired[GrantBatch]
    borrow: NotRequired[Borrow]
    loan: NotRequired[Loan]


class Charge:
    """What a request takes of its tenant's allotment."""

    def __init__(self, *, allotments: Allotments, tenant: str, token: Token) -> None:
        """Charges one token.

        Args:
            allotments: The allotments that the token is from.
            tenant: Name of the tenant.
            token: The token.
        """
        self._allotments = allotments
        self._tenant = tenant
        self._token = token
        self._run_count = 0

    def record_attempt(self, *, may_have_run: bool) -> None:
        """Records an attempt; each one that may have run counts."""
        self._run_count += may_have_run
        if may_have_run and self._run_count > 1 and self._allotments.is_limited(self._tenant):
            now = asyncio.get_running_loop().time()
            self._allotments.share(self._tenant, now=now).charge()

    def settle(self) -> None:
        """Returns the token if no attempt can have run."""
        if not self._run_count and self._allotments.is_limited(self._tenant):
            now = asyncio.get_running_loop().time()
            self._allotments.share(self._tenant, now=now).give_back(self._token, now=now)


class AllotmentExchange:
    """Keeps the allotments of tenants together with the other entry VMs."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        bounds: AllotmentBounds,
        configuration: Callable[[], Configuration | None],
        send: Callable[[bytes, Sequence[VmRecord]], None],
        counters: Counters,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Starts without tenants.

        Args:
            vms: The known entry VMs.
            bounds: What users tolerate beyond the allotments.
            configuration: Returns the configuration in force.
            send: Sends a datagram to VMs.
            counters: Counts requests that used or exceeded an allotment.
            journal: Logs ownership and allotments that are used up.
            rng: Spreads the waits in refusals.
        """
        self._vms = vms
        self._read_configuration = configuration
        self._configuration: Configuration | None = None
        self._send = send
        self._counters = counters
        self._journal = journal
        self._rng = rng
        own = vms.own
        # The time of day numbers messages higher than those of an earlier process of this VM.
        self._allotments = Allotments(
            vm=own.vm,
            locality=VmLocality(own.failure_domain, own.region),
            bounds=bounds,
            first_number=time.time_ns() // 1_000_000,
        )
        self._waiting: dict[str, deque[asyncio.Future[Token | None]]] = {}
        self._asks_due: set[str] = set()
        #: Numbers of VMs that were logged last.
        self._logged_counts: tuple[int, ...] = ()
        #: Time at which each other VM was last known to be alive.
        self._alive_at: dict[str, float] = {}

    @property
    def is_contending(self) -> bool:
        """Whether this VM owns allotments, or would if it heard more than half of all VMs."""
        return self._allotments.is_active and self._allotments.is_contending

    def update_bounds(self, bounds: AllotmentBounds) -> None:
        """Applies changed settings."""
        self._allotments.update_bounds(bounds)
        self._configuration = None

    def start(self) -> None:
        """Starts to own slots, because the registrations of VMs are known."""
        self._update_vms()
        self._allotments.start(now=asyncio.get_running_loop().time())

    def stop(self) -> None:
        """Gives up what this VM owns, because it stops."""
        self._allotments.stop(now=asyncio.get_running_loop().time())
        self._flush()

    def recover(self) -> None:
        """Gives up what this VM owns and holds, because its machine was suspended."""
        self._allotments.recover(now=asyncio.get_running_loop().time())
        self._flush()

    async def run(self) -> None:
        """Takes over and gives up slots and asks for tokens, until cancelled."""
        rounds = 0
        while True:
            await asyncio.sleep(ROUND_S)
            self._update_configuration()
            if not self._allotments.is_active:
                continue
            rounds += 1
            now = asyncio.get_running_loop().time()
            if rounds % _ROUNDS_PER_UPDATE == 0:
                self._update_vms()
            self._allotments.tick(now=now)
            self._allotments.ask(now=now)
            self._flush()

    def is_limited(self, tenant: str) -> bool:
        """Returns whether a tenant has an allotment."""
        self._update_configuration()
        return self._allotments.is_limited(tenant)

    async def admit(self, tenant: str, *, objective_s: float) -> Charge | float | None:
        """Charges a request to the allotment of a limited tenant.

        Args:
            tenant: Name of the tenant.
            objective_s: Latency objective of the request, which bounds the wait for a grant.

        Returns:
            The charge, or the seconds after which the caller may retry a request that is refused;
            None if the tenant's limit ended while the request waited.
        """
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        token = self._allotments.try_acquire(tenant, now=arrived_at)
        if token is None and not self._wait_s(tenant):
            max_wait_s = min(MAX_WAIT_S, MAX_WAIT_PART * objective_s)
            token = await self._wait_for_token(tenant, max_wait_s)
            self._counters.count_allotment_wait(loop.time() - arrived_at)
        if token is None and not self._allotments.is_limited(tenant):
            return None
        self._counters.count_allotment(tenant, "refused" if token is None else "used")
        if token is not None:
            return Charge(allotments=self._allotments, tenant=tenant, token=token)
        retry_after_s = self._wait_s(tenant) or _NO_ANSWER_RETRY_S
        return retry_after_s * (1.0 + _SPREAD * self._rng.random())

    async def _wait_for_token(self, tenant: str, max_wait_s: float) -> Token | None:
        future: asyncio.Future[Token | None] = asyncio.get_running_loop().create_future()
        queue = self._waiting.setdefault(tenant, deque())
        queue.append(future)
        self._ask_for(tenant)
        try:
            async with asyncio.timeout(max_wait_s):
                return await future
        except TimeoutError:
            # The grant may have arrived in the same iteration of the event loop.
            return future.result() if future.done() and not future.cancelled() else None
        except asyncio.CancelledError:
            self._return_unused(tenant, future)
            raise
        finally:
            if future in queue:
                queue.remove(future)
            self._count_waiting(tenant)

    def _return_unused(self, tenant: str, future: asyncio.Future[Token | None]) -> None:
        """Returns the token of a request whose caller left just when it was granted."""
        if future.done() and not future.cancelled():
            token = future.result()
            if token is not None:
                Charge(allotments=self._allotments, tenant=tenant, token=token).settle()

    def _ask_for(self, tenant: str) -> None:
        """Asks for tokens of a tenant, and again while any of its requests waits."""
        if not self._waiting.get(tenant) or not self._allotments.is_limited(tenant):
            return
        self._count_waiting(tenant)
        loop = asyncio.get_running_loop()
        delay_s = self._allotments.ask_for(tenant, now=loop.time())
        if tenant not in self._asks_due:
            self._asks_due.add(tenant)
            loop.call_later(delay_s, self._ask_again, tenant)
        self._flush()

    def _ask_again(self, tenant: str) -> None:
        self._asks_due.discard(tenant)
        self._ask_for(tenant)

    def _wait_s(self, tenant: str) -> float:
        if not self._allotments.is_limited(tenant):
            return 0.0
        now = asyncio.get_running_loop().time()
        return self._allotments.share(tenant, now=now).wait_s(now=now)

    def _count_waiting(self, tenant: str) -> None:
        queue = self._waiting.get(tenant)
        if not queue:
            self._waiting.pop(tenant, None)
        if self._allotments.is_limited(tenant):
            now = asyncio.get_running_loop().time()
            self._allotments.share(tenant, now=now).waiting = len(queue or ())

    def receive(self, data: bytes) -> bool:
        """Handles a datagram; returns False if it concerns no allotments."""
        if not data.startswith(_PREFIX):
            return False
        try:
            message = decode_message(data, AllotmentMessage, source="datagram")
        except DocumentError as error:
            self._journal.log("allotments", "datagram ignored", reason=str(error))
            return True
        if self._vms.find(message["vm"]) is None:
            return True
        self._update_configuration()
        now = asyncio.get_running_loop().time()
        for content in (
            message.get("claim"),
            message.get("handover"),
            message.get("asks"),
            message.get("grants"),
            message.get("borrow"),
            message.get("loan"),
        ):
            if content is not None:
                self._allotments.receive(message["vm"], content, now=now)
        self._flush()
        return True

    def _flush(self) -> None:
        """Sends messages, logs events, and serves waiting requests."""
        for vm, message in self._allotments.pop_outgoing():
            record = self._vms.find(vm)
            if record is not None:
                data = encode(self._vms.own.vm, message)
                self._counters.count_control_bytes(len(data))
                self._send(data, [record])
        version = self._configuration.version if self._configuration else None
        for event in self._allotments.pop_events():
            self._journal.log(
                "allotments", event.name, tenant=event.tenant, config=version, rate=event.rate
            )
        for tenant in list(self._waiting):
            self._serve(tenant)

    def _serve(self, tenant: str) -> None:
        queue = self._waiting[tenant]
        if not self._allotments.is_limited(tenant):
            while queue:
                future = queue.popleft()
                if not future.done():
                    future.set_result(None)
            return
        now = asyncio.get_running_loop().time()
        share = self._allotments.share(tenant, now=now)
        while queue:
            token = share.try_acquire(now=now)
            if token is None and not share.wait_s(now=now):
                break
            future = queue.popleft()
            if not future.done():
                future.set_result(token)
            elif token is not None:
                share.give_back(token, now=now)
        share.waiting = len(queue)

    def _update_configuration(self) -> None:
        configuration = self._read_configuration()
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            now = asyncio.get_running_loop().time()
            self._allotments.update_tenants(configuration.tenants, now=now)

    def _update_vms(self) -> None:
        now = asyncio.get_running_loop().time()
        records = [self._vms.own, *self._vms.others]
        localities = {r.vm: VmLocality(r.failure_domain, r.region) for r in records}
        others = [record for record in records[1:] if not record.stopping]
        self._alive_at = {r.vm: self._alive_at.get(r.vm, float("-inf")) for r in others}
        for record in others:
            if self._vms.is_alive(record, now=now):
                self._alive_at[record.vm] = now
        alive = frozenset(
            record.vm
            for record in others
            if self._alive_at[record.vm] == now
            or (
                now - self._alive_at[record.vm] < UNREPORTED_S
                and not self._vms.has_report(record, now=now)
            )
        )
        present = frozenset(r.vm for r in others if self._vms.is_present(r, now=now))
        electorate = self._vms.electorate(now=now)
        # A VM that is only registered or unreported may be on the other side of a cut.
        electorate = electorate._replace(doubted=electorate.doubted | (alive - present))
        self._log_counts(len(present), electorate)
        self._allotments.update_vms(localities, alive, now=now, electorate=electorate)

    def _log_counts(self, present_count: int, electorate: Electorate) -> None:
        """Logs how many VMs a majority depends on, if that changed and any tenant has a limit."""
        counts = (present_count, len(electorate.voters), electorate.registered_count)
        if counts != self._logged_counts and self._allotments.is_active:
            self._logged_counts = counts
            present, voters, registered = counts
            fields = {"present": present, "voters": voters, "registered": registered}
            self._journal.log("allotments", "voters", doubted=len(electorate.doubted), **fields)


def encode(vm: str, message: Message) -> bytes:
    """Returns the datagram with a message of a VM.

    >>> from carawaybank.routing.allotmentbucket import Ask, Grant
    >>> encode("a", AskBatch(7, 6, [Ask("acme", 3, 0, 1, 0)]))
    b'{"allotments":1,"vm":"a","limits":[],"asks":[7,6,[["acme",3,0,1,0]]]}'
    >>> encode("b", GrantBatch(7, [Grant("acme", 3, 0.0)], {}))
    b'{"allotments":1,"vm":"b","limits":[],"grants":[7,[["acme",3,0.0]],{}]}'
    """
    name = _FIELDS[type(message)]
    return msgspec.json.encode({"allotments": 1, "vm": vm, "limits": [], name: message})


_FIELDS = {
    Claim: "claim",
    Handover: "handover",
    AskBatch: "asks",
    GrantBatch: "grants",
    Borrow: "borrow",
    Loan: "loan",
}
