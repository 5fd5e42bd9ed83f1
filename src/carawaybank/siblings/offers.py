"""Requests for help and offers between entry VMs, sent as UDP datagrams to the heartbeat address.

A VM that reaches few or none of a service's targets asks some siblings what they reach. Their
answers show whether this VM is cut off or the targets are gone, and how many requests each sibling
would send in its place. Nothing is sent while all VMs reach their targets. The datagrams have the
form of reports of limits, with further fields that VMs of an older build ignore: these never offer
help and are never asked to send a request.

Load pattern: all VMs of a failure domain are cut off in the same moment and ask the same siblings,
which divide their room among those that ask.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NotRequired, TypedDict

import msgspec

from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing import relaying
from carawaybank.routing.helpers import Offer, ServicePaths
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.router import Router
from carawaybank.siblings.limits import LimitMessage
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.steering import hashing

#: Seconds between requests for help; several fit into the validity of an offer.
ASK_INTERVAL_S = 0.2
#: Siblings asked in the own failure domain and in its region; of each other region, one is asked.
ASKED_PER_LOCALITY = 3
#: Seconds for which a sibling is asked before another one takes its place, if none offers help.
ROTATION_S = 1.0
#: Seconds for which a VM that asked counts when room is divided.
ASKER_VALIDITY_S = 1.5


class OfferFields(TypedDict):
    """An offer of help.

    Attributes:
        room: Number of requests that the VM that asked may have in progress here.
        services: What the sender reaches, by service.
    """

    room: int
    services: dict[str, ServicePaths]


class HelpMessage(LimitMessage):
    """The content of a datagram.

    Attributes:
        ask: Services that the sender cannot reach.
        offer: The sender's offer of help.
    """

    ask: NotRequired[list[str]]
    offer: NotRequired[OfferFields]


class OfferExchange:
    """Asks siblings for help, and answers those that ask."""

    def __init__(
        self,
        *,
        router: Router,
        vms: VmDirectory,
        send: Callable[[bytes, Sequence[VmRecord]], None],
        room: Callable[[], int],
        on_question: Callable[[str], None],
        on_evidence: Callable[[str, str, float], None],
        on_helper_lost: Callable[[str], None],
        journal: Journal,
    ) -> None:
        """Starts without offers.

        Args:
            router: Holds the paths of this VM and the offers of siblings.
            vms: The known entry VMs.
            send: Sends a datagram to VMs.
            room: Returns the number of requests of other VMs that this VM can take in addition.
            on_question: Called with a service that a sibling asks for, before the answer.
            on_evidence: Called with a service, the sibling that reached a target of it, and the
                seconds since then.
            on_helper_lost: Called with a sibling that has requests in progress and stopped
                answering.
            journal: Logs datagrams that cannot be decoded.
        """
        self._router = router
        self._vms = vms
        self._send = send
        self._room = room
        self._on_question = on_question
        self._on_evidence = on_evidence
        self._on_helper_lost = on_helper_lost
        self._journal = journal
        #: Time at which each VM last asked.
        self._askers: dict[str, float] = {}

    async def run(self) -> None:
        """Asks for help while it is needed, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            self.ask(loop.time())

    def ask(self, now: float) -> None:
        """Asks siblings what they reach, if this VM needs help, and drops expired offers."""
        router = self._router
        services = relaying.services_in_need(router, now)
        if not services and not router.helpers.has_requests:
            return
        lost_helpers = router.helpers.pop_expired(now=now)
        if router.starts_retries(now):
            for vm in lost_helpers:
                self._on_helper_lost(vm)
        has_offers = all(router.helpers.has_offer(service, now=now) for service in services)
        turn = 0 if has_offers else int(now / ROTATION_S)
        message = HelpMessage(vm=self._vms.own.vm, limits=[], ask=services)
        self._send(msgspec.json.encode(message), self._select_siblings(turn, now))

    def receive(self, data: bytes) -> None:
        """Answers a sibling that asks, or applies its offer; an invalid datagram is logged."""
        try:
            message = decode_message(data, HelpMessage, source="datagram")
        except DocumentError as error:
            self._journal.log("relays", "datagram ignored", reason=str(error))
            return
        now = asyncio.get_running_loop().time()
        record = self._vms.find_serving(message["vm"], now=now)
        if record is None:
            return
        if "ask" in message:
            self._answer(record, message["ask"], now)
        if "offer" in message:
            self._apply(record, message["offer"], now)

    def _answer(self, record: VmRecord, services: list[str], now: float) -> None:
        self._askers[record.vm] = now
        self._askers = {vm: at for vm, at in self._askers.items() if now - at <= ASKER_VALIDITY_S}
        for service in services:
            self._on_question(service)
        reached = {
            service: self._paths_to(service, now)
            for service in services
            if not self._router.reachability.is_lost(service)
        }
        room = -(-self._room() // len(self._askers))
        offer = OfferFields(room=room, services=reached)
        message = HelpMessage(vm=self._vms.own.vm, limits=[], offer=offer)
        self._send(msgspec.json.encode(message), [record])

    def _paths_to(self, service: str, now: float) -> ServicePaths:
        counts = self._router.targets.slot_counts(service, now=now)
        age_s = self._router.reachability.reached_age_s(service, now=now)
        return ServicePaths(dict(counts.by_region), age_s)

    def _apply(self, record: VmRecord, fields: OfferFields, now: float) -> None:
        offer = Offer(
            record.vm,
            record.sibling_address,
            record.failure_domain,
            record.region,
            fields["room"],
            fields["services"],
        )
        self._router.helpers.update(offer, now=now)
        for service, paths in offer.services.items():
            if paths.reached_age_s is not None:
                self._on_evidence(service, record.vm, max(0.0, paths.reached_age_s))

    def _select_siblings(self, turn: int, now: float) -> list[VmRecord]:
        """Returns the siblings to ask: the same ones as long as they offer help."""
        own = self._vms.own
        usable = {
            record.vm: record
            for record in self._vms.others
            if not record.stopping and not self._vms.is_cut_off(record.vm, now=now)
        }
        by_locality: dict[VmLocality, list[VmRecord]] = {}
        for vm in hashing.rank(key=f"{own.vm}/{turn}", members=usable):
            record = usable[vm]
            is_near = record.region == own.region
            is_peer = record.failure_domain == own.failure_domain
            locality = VmLocality(own.failure_domain if is_peer else "", record.region)
            selected = by_locality.setdefault(locality, [])
            if len(selected) < (ASKED_PER_LOCALITY if is_near else 1):
                selected.append(record)
        return [record for records in by_locality.values() for record in records]
