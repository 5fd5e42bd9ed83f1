"""Allotments of tenants: which VM owns them, and what VMs ask it for.

Load pattern: a tenant sends several times its allotment over all VMs, while VMs end, freeze,
restart together or are cut off from each other. The owner of a tenant's slot grants tokens from the
tenant's bucket. VMs ask the VM that they take for the owner and are told if it is another one. No
message has to arrive for the limit to hold: a lost one only loses tokens or time.
"""

from collections.abc import Iterable, Mapping

from carawaybank.routing import allotmentterms
from carawaybank.routing.allotmentbucket import (
    AllotmentBucket,
    AllotmentTerms,
    Ask,
    Grant,
)
from carawaybank.routing.allotmentlending import Borrower, Lender
from carawaybank.routing.allotmentmessages import (
    MAX_ASKS,
    AllotmentEvent,
    AskBatch,
    Borrow,
    Claim,
    GrantBatch,
    Handover,
    Loan,
    Message,
    Outgoing,
)
from carawaybank.routing.allotmentowners import slot_of
from carawaybank.routing.allotmentpeers import MAX_REPEAT_S, Peer, Slot
from carawaybank.routing.allotmentshares import TenantShare, Token
from carawaybank.routing.allotmentslots import ANSWERED_OWNER_S, SlotTable
from carawaybank.routing.allotmentterms import AllotmentBounds
from carawaybank.routing.configuration import Tenant
from carawaybank.routing.electorate import Electorate
from carawaybank.routing.limitshares import VmLocality

#: Seconds without requests after which the state of a tenant is dropped.
IDLE_S = 10.0


class Allotments:
    """The allotments of all tenants as one VM keeps them."""

    def __init__(
        self, *, vm: str, locality: VmLocality, bounds: AllotmentBounds, first_number: int = 1
    ) -> None:
        """Starts without tenants; nobody owns anything before :meth:`start`.

        Args:
            vm: Name of this VM.
            locality: Its locality.
            bounds: What users tolerate.
            first_number: Number of the first message; higher than those of earlier processes.
        """
        self._vm = vm
        self._bounds = bounds
        self._number = first_number
        self._terms: dict[str, AllotmentTerms] = {}
        self._slots = SlotTable(
            vm=vm, locality=locality, send=self._send, on_change=self._record_ownership
        )
        self._shares: dict[str, TenantShare] = {}
        #: Part of each allotment that this VM grants where it owns it.
        self._granted_share = 1.0
        self._peers: dict[str, Peer] = {}
        self._lender = Lender()
        self._borrower = Borrower()
        self._exhausted: dict[str, bool] = {}
        self._out: list[Outgoing] = []
        self._events: list[AllotmentEvent] = []

    @property
    def is_active(self) -> bool:
        """Whether any tenant has a limit."""
        return bool(self._terms)

    def start(self, *, now: float) -> None:
        """Starts to own slots, once the registrations are known."""
        self._slots.start(now=now)

    def is_limited(self, tenant: str) -> bool:
        """Returns whether a tenant has a limit."""
        return tenant in self._terms

    def pop_outgoing(self) -> list[Outgoing]:
        """Returns and clears the messages to send."""
        popped, self._out = self._out, []
        return popped

    def pop_events(self) -> list[AllotmentEvent]:
        """Returns and clears the changes since the last call."""
        popped, self._events = self._events, []
        return popped

    def update_bounds(self, bounds: AllotmentBounds) -> None:
        """Replaces what users tolerate; it takes effect with :meth:`update_tenants`."""
        self._bounds = bounds

    def update_tenants(self, tenants: Iterable[Tenant], *, now: float) -> None:
        """Replaces the tenants; those without a rate have no limit."""
        self._terms = {
            t.name: allotmentterms.tenant_terms(t, self._bounds) for t in tenants if t.rate > 0
        }
        self._slots.update_slots(map(slot_of, self._terms), now=now)
        self._shares = {n: s for n, s in self._shares.items() if n in self._terms}
        self._exhausted = {n: e for n, e in self._exhausted.items() if n in self._terms}
        for slot in self._slots.slots.values():
            slot.buckets = {n: b for n, b in slot.buckets.items() if n in self._terms}
        self._update_buckets(now)
        self._update_fixed()

    def _update_buckets(self, now: float) -> None:
        for slot in self._slots.slots.values():
            for name, bucket in slot.buckets.items():
                bucket.update_terms(self._bucket_terms(name), now=now)

    @property
    def is_contending(self) -> bool:
        """Whether this VM owns allotments, or would if it heard more than half of all VMs."""
        return self._slots.is_contending

    def update_vms(
        self,
        vms: Mapping[str, VmLocality],
        alive: frozenset[str],
        *,
        now: float,
        electorate: Electorate | None = None,
    ) -> None:
        """Replaces the registered VMs, and those of them that are alive and not stopping.

        Args:
            vms: The registered VMs with their localities.
            alive: Those that are alive and not stopping.
            now: Current time in monotonic seconds.
            electorate: Those that count towards a majority; None for all that are registered.
        """
        if self._slots.update_vms(vms, alive, now=now, electorate=electorate):
            self._peers = {vm: peer for vm, peer in self._peers.items() if vm in vms}
            self._update_fixed()

    def _update_fixed(self) -> None:
        count = len(self._slots.vms)
        for name, share in self._shares.items():
            share.update_fixed(allotmentterms.fixed_share(self._terms[name], vm_count=count))

    def _bucket_terms(self, name: str) -> AllotmentTerms:
        terms = allotmentterms.bucket_terms(self._terms[name], self._bounds)
        return allotmentterms.scale(terms, self._granted_share)

    def share(self, tenant: str, *, now: float) -> TenantShare:
        """Returns the tokens of a limited tenant at this VM."""
        share = self._shares.get(tenant)
        if share is None:
            share = self._shares[tenant] = TenantShare(
                fixed=allotmentterms.fixed_share(
                    self._terms[tenant], vm_count=len(self._slots.vms)
                ),
                window_s=self._bounds.window_s,
                ask_interval_s=allotmentterms.ask_interval_s(self._terms[tenant]),
                now=now,
            )
        return share

    def try_acquire(self, tenant: str, *, now: float) -> Token | None:
        """Counts a request of a limited tenant and takes a token for it if there is one."""
        share = self.share(tenant, now=now)
        share.record_demand(now=now)
        self._lender.record_own_demand(tenant, now=now)
        return share.try_acquire(now=now)

    def ask_for(self, tenant: str, *, now: float) -> float:
        """Asks the lender of this VM's region or the owner of a tenant, because requests wait.

        Returns:
            Seconds after which to call this again if any request still waits.
        """
        share = self.share(tenant, now=now)
        lender = self._find_lender(tenant, now)
        delay_s = MAX_REPEAT_S
        if lender:
            self._number += 1
            owner = self._find_owner(self._slots.slots[slot_of(tenant)], now)
            due, delay_s = self._borrower.request(
                lender, tenant, share.waiting, owner=owner, number=self._number, now=now
            )
            for vm, borrow in due:
                self._send(vm, borrow, now)
        share.expected = self._borrower.expected(tenant)
        if share.waiting > share.expected:
            delay_s = min(delay_s, self._ask_owner(tenant, now))
        return delay_s

    def _ask_owner(self, tenant: str, now: float) -> float:
        """Asks the owner of a tenant; returns the seconds until it is to be asked again."""
        owner = self._find_owner(self._slots.slots[slot_of(tenant)], now)
        peer = self._peers.setdefault(owner, Peer())
        delay_s = peer.ask_delay_s(now)
        if delay_s:
            return delay_s
        self.ask(now=now, tenant=tenant)
        return peer.repeat_after_s

    def _find_lender(self, tenant: str, now: float) -> str:
        """Returns the VM of this region that lends tokens of a tenant to this one, if any."""
        slot = self._slots.slots[slot_of(tenant)]
        owner = self._find_owner(slot, now)
        region = self._slots.region_of(self._vm)
        if owner == self._vm or self.share(tenant, now=now).is_scarce(now=now):
            return ""
        candidates: Iterable[str] = (
            vm
            for vm in slot.ranking
            if self._slots.region_of(vm) == region and self._slots.may_own(vm)
        )
        if self._slots.region_of(owner) == region:
            candidates = [owner]
        lender = self._borrower.find_lender(tenant, candidates, now=now)
        return lender if lender != self._vm else ""

    def ask(self, *, now: float, tenant: str = "") -> None:
        """Asks owners for what this VM expects to need; to be called every 0.1 s or so.

        Args:
            now: Current time.
            tenant: Asks for this tenant only; for all tenants if empty.
        """
        asks: dict[str, list[Ask]] = {}
        for name in [tenant] if tenant else list(self._shares):
            share = self._shares[name]
            slot = self._slots.slots[slot_of(name)]
            if not tenant and not share.is_ask_due(now=now):
                continue
            share.stock_for_loans = self._lender.stock(name, now=now)
            share.is_near_tokens = bool(self._find_lender(name, now))
            share.expected = self._borrower.expected(name)
            ask = share.make_ask(name, now=now, answer_timeout_s=self._answer_timeout_s(slot, now))
            if ask is not None:
                asks.setdefault(self._find_owner(slot, now), []).append(ask)
            elif not (share.waiting or share.stock_for_loans or now - share.last_used_at <= IDLE_S):
                del self._shares[name]
        for owner, batch in asks.items():
            self._slots.silent.record_sent(owner, now=now)
            for start in range(0, len(batch), MAX_ASKS):
                self._send_asks(owner, batch[start : start + MAX_ASKS], now)

    def _send_asks(self, owner: str, asks: list[Ask], now: float) -> None:
        peer = self._peers.setdefault(owner, Peer())
        self._number += 1
        peer.record_ask(self._number, now)
        self._send(owner, AskBatch(self._number, peer.confirmed, asks), now)

    def _find_owner(self, slot: Slot, now: float) -> str:
        """Returns the VM to ask: the known owner, or the first one that is alive and answers."""
        if slot.ownership.is_granting(now=now):
            return self._vm
        known = slot.known_owner(now)
        if known in self._slots.vms and not self._is_skipped(known, now):
            return known
        for vm in slot.ranking:
            if self._slots.may_own(vm) and not self._is_skipped(vm, now):
                return vm
        return self._vm

    def _is_skipped(self, vm: str, now: float) -> bool:
        peer = self._peers.get(vm)
        return peer is not None and vm != self._vm and peer.is_skipped(now)

    def owned_tenants(self, *, now: float) -> list[str]:
        """Returns the limited tenants whose allotment this VM owns."""
        return [
            name
            for name in self._terms
            if self._slots.slots[slot_of(name)].ownership.is_granting(now=now)
        ]

    def tick(self, *, now: float) -> None:
        """Takes over and gives up slots; to be called every 0.1 s or so."""
        self._check_suspension(now)
        self._slots.tick(now=now)
        share = self._slots.granted_share(now=now)
        if share and share != self._granted_share:
            self._granted_share = share
            self._update_buckets(now)

    def _check_suspension(self, now: float) -> None:
        if self._slots.is_suspension(now=now):
            self.recover(now=now)

    def recover(self, *, now: float) -> None:
        """Gives up all slots and tokens after a suspension, in which others took over."""
        self._shares.clear()
        self._slots.release_all(now=now)

    def stop(self, *, now: float) -> None:
        """Gives up all slots because this VM stops, so that others can own them at once."""
        self._slots.stop(now=now)

    def _record_ownership(self, number: int, is_owned: bool) -> None:
        for name, terms in self._terms.items():
            if slot_of(name) == number:
                self._exhausted.pop(name, None)
                event = "owned" if is_owned else "released"
                self._events.append(AllotmentEvent(event, name, terms.rate))

    def receive(self, vm: str, message: Message, *, now: float) -> None:
        """Handles a message of another VM."""
        self._slots.silent.record_heard(vm)
        self._check_suspension(now)
        if isinstance(message, Claim):
            self._slots.receive_claim(vm, message, now)
        elif isinstance(message, Handover):
            self._slots.receive_handover(vm, message, now)
        elif isinstance(message, AskBatch):
            self._receive_asks(vm, message, now)
        elif isinstance(message, Borrow):
            self._receive_borrow(vm, message, now)
        elif isinstance(message, Loan):
            self._receive_loan(vm, message, now)
        else:
            self._receive_grants(vm, message, now)

    def _send(self, vm: str, message: Message, now: float) -> None:
        if vm == self._vm:
            self.receive(vm, message, now=now)
        else:
            self._out.append(Outgoing(vm, message))

    def _answer_timeout_s(self, slot: Slot, now: float) -> float:
        peer = self._peers.get(self._find_owner(slot, now))
        return peer.repeat_after_s if peer is not None else MAX_REPEAT_S

    def _receive_borrow(self, vm: str, borrow: Borrow, now: float) -> None:
        """Lends tokens that this VM holds, and asks the owner for others in their place."""
        if borrow.tenant not in self._terms:
            return
        loan = self._lender.find_answer(vm, borrow, now=now)
        if loan is None:
            loan = Loan(borrow.number, borrow.tenant, self._lend(vm, borrow, now))
            self._lender.record_answer(vm, loan, now=now)
        self._send(vm, loan, now)

    def _lend(self, vm: str, borrow: Borrow, now: float) -> int:
        slot = self._slots.slots[slot_of(borrow.tenant)]
        if slot.ownership.is_granting(now=now):
            return self._bucket(borrow.tenant, slot).lend(vm, borrow.tokens, now=now)
        self._lender.record_demand(borrow.tenant, borrow.tokens, now=now)
        lent = self.share(borrow.tenant, now=now).lend(borrow.tokens, now=now)
        self._ask_owner(borrow.tenant, now)
        return lent

    def _receive_loan(self, vm: str, loan: Loan, now: float) -> None:
        until = self._borrower.receive(vm, loan, now=now)
        if until is None or loan.tenant not in self._terms:
            return
        share = self.share(loan.tenant, now=now)
        owner = self._find_owner(self._slots.slots[slot_of(loan.tenant)], now)
        share.record_loan(loan.tokens, until=until, is_from_owner=vm == owner, now=now)
        if loan.tokens < share.waiting:
            self.ask_for(loan.tenant, now=now)

    def _receive_asks(self, vm: str, batch: AskBatch, now: float) -> None:
        if not self._peers.setdefault(vm, Peer()).accept_ask(batch.number, now):
            return
        grants: list[Grant] = []
        owners: dict[int, str] = {}
        for ask in batch.asks:
            number = slot_of(ask.tenant)
            slot = self._slots.slots.get(number)
            if slot is None or ask.tenant not in self._terms:
                continue
            if slot.ownership.is_granting(now=now):
                grants.append(self._grant(vm, slot, ask, batch, now))
            else:
                owner = self._find_owner(slot, now)
                owners[number] = owner if owner != self._vm else ""
        self._send(vm, GrantBatch(batch.number, grants, owners), now)

    def _bucket(self, tenant: str, slot: Slot) -> AllotmentBucket:
        bucket = slot.buckets.get(tenant)
        if bucket is None:
            bucket = slot.buckets[tenant] = AllotmentBucket(
                terms=self._bucket_terms(tenant), now=slot.ownership.since
            )
        return bucket

    def _grant(self, vm: str, slot: Slot, ask: Ask, batch: AskBatch, now: float) -> Grant:
        bucket = self._bucket(ask.tenant, slot)
        grant = bucket.ask(vm, ask, number=batch.number, confirmed=batch.confirmed, now=now)
        is_exhausted = grant.wait_s > 0
        if ask.needed and is_exhausted != self._exhausted.get(ask.tenant, False):
            self._exhausted[ask.tenant] = is_exhausted
            event = "exhausted" if is_exhausted else "available"
            self._events.append(AllotmentEvent(event, ask.tenant, self._terms[ask.tenant].rate))
        return grant

    def _receive_grants(self, vm: str, batch: GrantBatch, now: float) -> None:
        peer = self._peers.get(vm)
        if peer is None:
            return
        sent_at = peer.sent.pop(batch.number, None)
        peer.record_answer(now - sent_at if sent_at is not None else None)
        if sent_at is None or batch.number < peer.confirmed:
            return  # Older than a grant that was confirmed, so the owner counts it as lost.
        peer.confirmed = batch.number
        for grant in batch.grants:
            share = self._shares.get(grant.tenant)
            slot = self._slots.slots.get(slot_of(grant.tenant))
            if share is not None and slot is not None:
                slot.learn_owner(vm, now + ANSWERED_OWNER_S)
                share.record_grant(grant, owner=vm, sent_at=sent_at, now=now)
        for number, owner in batch.owners.items():
            slot = self._slots.slots.get(number)
            if slot is not None and owner != vm and not self._is_skipped(owner, now):
                slot.learn_owner(owner, now + ANSWERED_OWNER_S)
