"""Allotments between VMs with sockets: the death of an owner, older builds and bad datagrams."""

import asyncio
import random

import msgspec
import pytest

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.allotmentmessages import Borrow, Claim, Loan
from carawaybank.routing.allotmentowners import TRANSITION_S, rank_vms, slot_of
from carawaybank.routing.allotmentterms import AllotmentBounds
from carawaybank.routing.configuration import Configuration, Tenant
from carawaybank.siblings.allotments import UNREPORTED_S, AllotmentExchange, Charge, encode
from carawaybank.siblings.heartbeat import HeartbeatTask
from carawaybank.siblings.limits import LimitMessage
from carawaybank.siblings.liveness import HEARTBEAT_TIMEOUT_S, REPORT_VALIDITY_S
from carawaybank.siblings.vms import VmDirectory, VmRecord

BOUNDS = AllotmentBounds()
RATE, BURST = 40.0, 20.0
#: Seconds within which VMs notice that another one ended, whose failure domain nobody reports any
#: more, and its successor grants tokens.
TAKEOVER_S = HEARTBEAT_TIMEOUT_S + REPORT_VALIDITY_S + UNREPORTED_S + TRANSITION_S
LIMITED = (Tenant("acme", rate=RATE),)


class Vm:
    """A VM with a socket for heartbeats and messages on allotments."""

    def __init__(self, *, name, port, tenants):
        self.lines, self.sent, self.admitted, self.refusals = [], [], [], []
        record = VmRecord(name, "127.0.0.1:1", f"127.0.0.1:{port}", name[:2], name[:1], 1)
        self.vms = VmDirectory(own=record)
        configuration = Configuration(3, (), {}, tenants=tenants)
        self.counters = Counters()
        self.exchange = AllotmentExchange(
            vms=self.vms,
            bounds=BOUNDS,
            configuration=lambda: configuration,
            send=self.send,
            counters=self.counters,
            journal=Journal(vm=name, write=self.lines.append),
            rng=random.Random(name),
        )
        self.socket = HeartbeatTask(
            vms=self.vms,
            positions=dict,
            on_change=lambda _: None,
            on_positions=lambda read, vm: None,
            on_report=self.exchange.receive,
        )

    def send(self, data, records):
        self.sent.append(data)
        self.socket.send_datagram(data, records)

    async def start(self, records):
        now = asyncio.get_running_loop().time()
        for record in records:
            self.vms.update(record, now=now)
        self.exchange.start()
        runs = (self.exchange.run, self.socket.run, self.read_notices)
        self.tasks = [asyncio.create_task(run()) for run in runs]

    async def read_notices(self):
        """Stands for the store, which has no notice of absence."""
        while True:
            now = asyncio.get_running_loop().time()
            self.vms.absences.apply_read([], 0, sent_at=now, now=now)
            await asyncio.sleep(0.5)

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.transport.close()

    def owns(self, name):
        lines = [msgspec.json.decode(line) for line in self.lines]
        events = [
            line["event"]
            for line in lines
            if line.get("tenant") == name and line["event"] in ("owned", "released")
        ]
        return bool(events) and events[-1] == "owned"

    async def send_requests(self, tenant, rate, *, objective_s=0.5):
        loop = asyncio.get_running_loop()
        while True:
            charge = await self.exchange.admit(tenant, objective_s=objective_s)
            if isinstance(charge, Charge):
                charge.record_attempt(may_have_run=True)
                charge.settle()
                self.admitted.append(loop.time())
            else:
                self.refusals.append(charge)
            await asyncio.sleep(1.0 / rate)


async def make_vms(names, tenants):
    loop, vms = asyncio.get_running_loop(), {}
    for name in names:
        vm = Vm(name=name, port=0, tenants=tenants)
        vm.transport, _ = await loop.create_datagram_endpoint(
            lambda vm=vm: vm.socket, local_addr=("127.0.0.1", 0)
        )
        port = vm.transport.get_extra_info("sockname")[1]
        vm.record = vm.vms.own._replace(sibling_address=f"127.0.0.1:{port}")
        vms[name] = vm
    for vm in vms.values():
        await vm.start([other.record for other in vms.values()])
    return vms


def run(scenario, *, names=("a1-0", "b1-0", "c1-0"), tenants=LIMITED):
    async def run_scenario():
        vms = await make_vms(names, tenants)
        try:
            await scenario(vms)
        finally:
            for vm in vms.values():
                vm.kill()

    asyncio.run(run_scenario())


def busiest_window(times):
    times = sorted(times)
    return max(sum(start <= at < start + BOUNDS.window_s for at in times) for start in times)


async def wait_for_owner(vms, tenant="acme"):
    async with asyncio.timeout(TAKEOVER_S):
        while True:
            owners = [vm for vm in vms if vm.owns(tenant)]
            if owners:
                return owners
            await asyncio.sleep(0.01)


def test_an_owner_that_is_killed_is_replaced_and_the_allotment_is_kept():
    """Guards against an allotment that is granted twice, or by nobody, after the owner ended."""

    async def scenario(vms):
        loop = asyncio.get_running_loop()
        (owner,) = await wait_for_owner(vms.values())
        others = [vm for vm in vms.values() if vm is not owner]
        traffic = [
            asyncio.create_task(vm.send_requests("acme", 4 * RATE / len(others))) for vm in others
        ]
        await asyncio.sleep(2.0)
        killed_at = loop.time()
        owner.kill()
        (successor,) = await wait_for_owner(others)
        assert successor is not owner
        assert loop.time() - killed_at < TAKEOVER_S
        await asyncio.sleep(4.0)
        for task in traffic:
            task.cancel()
        admitted = [at for vm in vms.values() for at in vm.admitted]
        allowed = (RATE * BOUNDS.window_s + BURST) * (1 + BOUNDS.excess) + BOUNDS.slack
        assert busiest_window(admitted) <= allowed
        late = [at for at in admitted if at > loop.time() - 2.5]
        assert len(late) >= 0.9 * 2.5 * RATE
        assert all(0 < wait_s <= 5 for vm in others for wait_s in vm.refusals)

    run(scenario, tenants=(Tenant("acme", rate=RATE, burst=BURST),))


def test_a_planned_stop_hands_over_at_once():
    """Guards against a gap of the length of a lease at each replacement of a VM."""

    async def scenario(vms):
        (owner,) = await wait_for_owner(vms.values())
        owner.exchange.stop()
        others = [vm for vm in vms.values() if vm is not owner]
        for vm in others:
            stopping = owner.record._replace(stopping=True)
            vm.vms.update(stopping, now=asyncio.get_running_loop().time())
        async with asyncio.timeout(1.0):
            await wait_for_owner(others)

    run(scenario)


def test_nothing_is_sent_without_limited_tenants():
    """Guards against traffic in deployments whose tenants have no allotment."""

    async def scenario(vms):
        await asyncio.sleep(1.6)
        assert not any(vm.sent for vm in vms.values())
        assert not any(vm.exchange.is_limited("free") for vm in vms.values())

    run(scenario, tenants=(Tenant("free"),))


def test_a_vm_alone_grants_the_allotment_and_refuses_the_rest():
    async def scenario(vms):
        vm = vms["a1-0"]
        await wait_for_owner([vm])
        await asyncio.sleep(0.2)  # A new owner's bucket is empty.
        task = asyncio.create_task(vm.send_requests("acme", 300.0))
        await asyncio.sleep(2.0)
        task.cancel()
        assert 0.9 * RATE <= len(vm.admitted) / 2.0 <= 1.5 * RATE
        counts = vm.counters.allotments()
        assert counts["acme", "used"] == len(vm.admitted)
        assert counts["acme", "refused"] == len(vm.refusals) > 0
        assert any(b'"exhausted","tenant":"acme","config":3,"rate":40.0' in x for x in vm.lines)

    run(scenario, names=("a1-0",))


def test_the_token_of_a_request_that_did_not_run_is_returned():
    """Guards against requests that targets shed and that use up the allotment."""

    async def scenario(vms):
        vm = vms["a1-0"]
        await wait_for_owner([vm])
        await asyncio.sleep(0.2)
        for _ in range(100):
            charge = await vm.exchange.admit("acme", objective_s=1.0)
            charge.record_attempt(may_have_run=False)
            charge.settle()

    run(scenario, names=("a1-0",), tenants=(Tenant("acme", rate=10.0),))


def test_a_caller_that_leaves_while_waiting_takes_no_token():
    """Guards against tokens that are granted to requests whose callers left."""

    async def scenario(vms):
        vm = vms["a1-0"]
        assert vm.exchange.is_limited("acme")
        task = asyncio.create_task(vm.exchange.admit("acme", objective_s=1.0))
        await asyncio.sleep(0.02)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not vm.exchange._waiting

    run(scenario, names=("a1-0",))


def loans(vm):
    return [data for data in vm.sent if b'"loan":' in data]


def test_a_vm_of_the_region_lends_tokens_while_the_owner_is_elsewhere():
    """Guards against requests that wait for an owner in another region, and waits nobody sees."""
    names = next(
        names
        for number in range(100)
        if (names := ("a1-0", "a1-1", f"b1-{number}"))
        and rank_vms(slot_of("acme"), names)[0][0] == "b"
    )

    async def scenario(vms):
        loop = asyncio.get_running_loop()
        (owner,) = await wait_for_owner(vms.values())
        assert owner is vms[names[2]]
        await asyncio.sleep(0.3)
        lender, other = (vms[n] for n in rank_vms(slot_of("acme"), names) if n[0] == "a")
        until = loop.time() + 5.0
        while loop.time() < until and not any(b',"acme",1]' in x for x in loans(lender)):
            assert isinstance(await other.exchange.admit("acme", objective_s=1.0), Charge)
            await asyncio.sleep(0.4)
        assert any(b',"acme",1]' in x for x in loans(lender))
        count, wait_s = other.counters.allotment_waits()
        assert count > 0
        assert wait_s > 0

    run(scenario, names=names)


@pytest.mark.parametrize("message", [Claim([3]), Borrow(1, "acme", 1), Loan(1, "acme", 1)])
def test_an_older_build_reads_a_message_as_a_report_without_limits(message):
    data = encode("a1-0", message)
    assert msgspec.json.decode(data, type=LimitMessage)["limits"] == []


@pytest.mark.parametrize(
    "data",
    [
        b'{"allotments":',
        b'{"allotments":1,"vm":"b1-0","limits":[],"asks":[1,0,[["acme",1e99,0,0,0]]]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"asks":[1,0,[["acme",-5,-5,-5,-5]]]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"asks":[1,0,[["none",5,0,0,0]]]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"grants":[1,[["acme",-5,-1.0]],{"999":"x"}]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"handover":[[-1,70],false]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"claim":[[-1,70]]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"borrow":[1,"acme",-5]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"borrow":[1,"none",5]}',
        b'{"allotments":1,"vm":"b1-0","limits":[],"loan":[1,"acme",5]}',
        b'{"allotments":1,"vm":"stranger","limits":[],"claim":[[3]]}',
    ],
)
def test_a_bad_datagram_changes_nothing(data):
    """Guards against datagrams that end the process or add tokens."""

    async def scenario(vms):
        vm = vms["a1-0"]
        await wait_for_owner(vms.values())
        assert vm.exchange.receive(data)
        await asyncio.sleep(0.2)  # A new owner's bucket is empty.
        assert isinstance(await vm.exchange.admit("acme", objective_s=1.0), Charge)

    run(scenario)
