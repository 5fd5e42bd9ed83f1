"""Offers of help between VMs: who is asked, what is answered, and datagrams of other builds."""

import asyncio

import msgspec

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.targetlimits import TargetLimits
from carawaybank.siblings.limits import LimitExchange
from carawaybank.siblings.offers import ASKED_PER_LOCALITY, HelpMessage, OfferExchange
from carawaybank.siblings.vms import VmDirectory, VmRecord
from tests.routing.builders import make_router, make_target

TARGETS = [make_target(number) for number in range(1, 7)]
DOMAINS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def make_record(name):
    domain = name[:2]
    return VmRecord(name, f"{name}:1", f"{name}:2", domain, DOMAINS[domain], 1)


class Vm:
    """A VM that records the datagrams that it sends, and what it was told."""

    def __init__(self, *, name, others=(), room=6):
        self.sent, self.evidence, self.lines = [], [], []
        self.router = make_router(*TARGETS, vm=name)
        self.directory = VmDirectory(own=make_record(name))
        for other in others:
            self.directory.update(make_record(other), now=0.0)
        self.exchange = OfferExchange(
            router=self.router,
            vms=self.directory,
            send=lambda data, records: self.sent.append((data, [record.vm for record in records])),
            room=lambda: room,
            on_question=lambda service: None,
            on_evidence=lambda *evidence: self.evidence.append(evidence),
            on_helper_lost=lambda vm: None,
            journal=Journal(vm=name, write=self.lines.append),
        )

    def eject_all(self, now):
        for target in self.router.targets.by_id.values():
            target.eject(now=now)


def run(scenario):
    async def start():
        scenario(asyncio.get_running_loop().time())

    asyncio.run(start())


def test_nothing_is_sent_while_targets_are_reached():
    vm = Vm(name="a1-1", others=["a1-2", "b1-1"])
    vm.exchange.ask(10.0)
    assert vm.sent == []


def test_siblings_near_and_in_each_region_are_asked():
    others = [f"{domain}-{number}" for domain in DOMAINS for number in range(2, 8)]
    vm = Vm(name="a1-1", others=others)
    vm.eject_all(10.0)
    vm.exchange.ask(10.0)
    ((_, asked),) = vm.sent
    counts = {domain: sum(name[:2] == domain for name in asked) for domain in DOMAINS}
    assert counts == {"a1": ASKED_PER_LOCALITY, "a2": ASKED_PER_LOCALITY, "b1": 1, "c1": 1}


def test_an_answer_states_what_is_reached_and_becomes_an_offer():
    def scenario(now):
        asking, helping = Vm(name="a1-1", others=["a1-2"]), Vm(name="a1-2", others=["a1-1"])
        asking.eject_all(now)
        helping.router.reachability.record_reached("ledger", now=now)
        asking.exchange.ask(now)
        helping.exchange.receive(asking.sent[0][0])
        asking.exchange.receive(helping.sent[0][0])
        ((service, sibling, age_s),) = asking.evidence
        assert (service, sibling) == ("ledger", "a1-2")
        assert age_s < 1.0
        offer = asking.router.helpers.choose("ledger", allowed_regions=(), excluded=(), now=now)
        assert (offer.address, offer.room) == ("a1-2:2", 6)

    run(scenario)


def test_a_vm_that_is_cut_off_too_offers_nothing():
    """Guards against VMs that are cut off and pass their requests on to each other."""

    def scenario(now):
        asking, other = Vm(name="a1-1", others=["a1-2"]), Vm(name="a1-2", others=["a1-1"])
        for vm in (asking, other):
            vm.eject_all(now)
        asking.exchange.ask(now)
        other.exchange.receive(asking.sent[0][0])
        asking.exchange.receive(other.sent[0][0])
        assert asking.evidence == []
        helpers = asking.router.helpers
        assert helpers.choose("ledger", allowed_regions=(), excluded=(), now=now) is None

    run(scenario)


def test_room_is_divided_among_the_vms_that_ask():
    def scenario(_):
        helping = Vm(name="a1-2", others=["a1-1", "a1-3", "b1-1"])
        for name in ("a1-1", "a1-3", "b1-1"):
            helping.exchange.receive(
                msgspec.json.encode(HelpMessage(vm=name, limits=[], ask=["ledger"]))
            )
        rooms = [msgspec.json.decode(data)["offer"]["room"] for data, _ in helping.sent]
        assert rooms == [6, 3, 2]

    run(scenario)


def test_datagrams_of_strangers_and_malformed_ones_are_not_answered():
    def scenario(_):
        vm = Vm(name="a1-2")
        stranger = HelpMessage(vm="z9-1", limits=[], ask=["ledger"])
        for data in (msgspec.json.encode(stranger), b"{", b'{"vm":1}'):
            vm.exchange.receive(data)
        assert vm.sent == []
        assert sum(b'"datagram ignored"' in line for line in vm.lines) == 2

    run(scenario)


def test_an_older_build_takes_a_request_for_help_for_a_report_without_limits():
    """Guards against errors at VMs of the previous build beside the present one."""

    def scenario(_):
        lines = []
        exchange = LimitExchange(
            limits=TargetLimits(vm="a1-2", locality=VmLocality("a1", "a")),
            vms=VmDirectory(own=make_record("a1-2")),
            send=lambda data, records: None,
            counters=Counters(),
            journal=Journal(vm="a1-2", write=lines.append),
        )
        message = HelpMessage(vm="a1-1", limits=[], ask=["ledger"])
        exchange.receive(msgspec.json.encode(message))
        assert lines == []

    run(scenario)
