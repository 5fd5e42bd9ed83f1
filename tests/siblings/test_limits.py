"""Reports of targets' limits between VMs: recipients, loss, and builds that do not know them."""

import asyncio

import msgspec
import pytest

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.targetlimits import LimitReport, LimitStatement, TargetLimits
from carawaybank.siblings.heartbeat import HeartbeatTask
from carawaybank.siblings.limits import (
    BATCH_DELAY_S,
    MAX_REPEATED_DATAGRAMS,
    MAX_REPORTS,
    REPEAT_EVERY,
    LimitExchange,
    LimitMessage,
)
from carawaybank.siblings.vms import Heartbeat, VmDirectory, VmRecord
from tests.routing.builders import make_target

TARGET = make_target(1)
#: Seconds within which a change reaches all VMs: five hops, each with the delay of a batch.
SPREAD_S = 6 * BATCH_DELAY_S
DOMAINS = {"a1": "a", "a2": "a", "b1": "b"}


def make_record(name):
    domain = name[:2]
    return VmRecord(name, f"{name}:1", f"{name}:2", domain, DOMAINS[domain], 1)


class Vm:
    """A VM whose datagrams are delivered to the others by a cluster."""

    def __init__(self, *, name, cluster):
        self.name, self.sent, self.lines = name, [], []
        self.directory = VmDirectory(own=make_record(name))
        locality = VmLocality(name[:2], DOMAINS[name[:2]])
        self.limits = TargetLimits(vm=name, locality=locality)
        self.counters = Counters()
        self.exchange = LimitExchange(
            limits=self.limits,
            vms=self.directory,
            send=lambda data, records: cluster.deliver(self, data, records),
            counters=self.counters,
            journal=Journal(vm=name, write=self.lines.append),
        )

    def state(self, rate, *, target=TARGET):
        now = asyncio.get_running_loop().time()
        self.limits.record_statement(target, LimitStatement(rate), sent_at=now, now=now)
        self.exchange.publish()


class Cluster:
    """VMs of three failure domains that hear each other."""

    def __init__(self, *, names):
        self.lost = False
        self.vms = {name: Vm(name=name, cluster=self) for name in names}
        now = asyncio.get_running_loop().time()
        for vm in self.vms.values():
            for name in names:
                vm.directory.update(make_record(name), now=now)

    def deliver(self, sender, data, records):
        for record in records:
            sender.sent.append((record.vm, data))
            if not self.lost:
                asyncio.get_running_loop().call_soon(self.vms[record.vm].exchange.receive, data)

    def rates(self):
        return {vm.limits.rate_of(TARGET) for vm in self.vms.values()}


NAMES = [f"{domain}-{number}" for domain in DOMAINS for number in range(6)]


def run_cluster(scenario):
    async def run():
        await scenario(Cluster(names=NAMES))

    asyncio.run(run())


@pytest.mark.parametrize("name", NAMES[:6])
def test_a_limit_and_its_end_reach_all_vms_at_once(name):
    """Guards against VMs that hold back for an ended limit because they send nothing."""

    async def scenario(cluster):
        cluster.vms[name].state(1.6)
        await asyncio.sleep(SPREAD_S)
        assert cluster.rates() == {1.6}
        await asyncio.sleep(0.5)  # The end of a limit must be newer than its start by the skew.
        cluster.vms[name].state(None)
        await asyncio.sleep(SPREAD_S)
        assert cluster.rates() == {None}
        assert all(
            vm.counters.limit_events() == {"learned": 1, "ended": 1} for vm in cluster.vms.values()
        )

    run_cluster(scenario)


def test_a_lost_report_is_repeated_and_nothing_is_sent_without_limits():
    async def scenario(cluster):
        for _ in range(REPEAT_EVERY * 4):
            for vm in cluster.vms.values():
                vm.exchange.repeat()
        assert not any(vm.sent for vm in cluster.vms.values())
        cluster.lost = True
        cluster.vms["a1-0"].state(1.6)
        await asyncio.sleep(2 * BATCH_DELAY_S)
        cluster.lost = False
        for _ in range(REPEAT_EVERY * 4):
            for vm in cluster.vms.values():
                vm.exchange.repeat()
            await asyncio.sleep(0)
        assert cluster.rates() == {1.6}

    run_cluster(scenario)


def test_many_limits_are_repeated_in_turn_within_bounded_datagrams():
    async def scenario(cluster):
        count = 3 * MAX_REPORTS * MAX_REPEATED_DATAGRAMS
        vm = cluster.vms["a1-0"]
        cluster.lost = True
        for number in range(count):
            vm.state(1.6, target=make_target(number))
        await asyncio.sleep(2 * BATCH_DELAY_S)
        vm.sent.clear()
        for _ in range(3 * REPEAT_EVERY):
            vm.exchange.repeat()
        reported = set()
        for _, data in vm.sent:
            assert len(data) <= 1_472
            message = msgspec.json.decode(data, type=LimitMessage)
            reported |= {report.target_id for report in message["limits"]}
        assert len(reported) == count

    run_cluster(scenario)


def test_a_report_is_no_heartbeat_and_a_heartbeat_is_no_report():
    """Guards against a build that ends or misreads a datagram of the other one.

    A VM of the previous build decodes each datagram as a heartbeat and discards it if that fails.
    """
    report = msgspec.json.encode(LimitMessage(vm="a", limits=[LimitReport("t1", 0, 1.6, 0.5)]))
    with pytest.raises(msgspec.MsgspecError):
        msgspec.json.decode(report, type=Heartbeat)
    vms = VmDirectory(own=make_record("a1-0"))
    reports, positions = [], []
    task = HeartbeatTask(
        vms=vms,
        positions=dict,
        on_change=lambda _: None,
        on_positions=lambda read, vm: positions.append(read),
        on_report=reports.append,
    )

    async def receive():
        task.datagram_received(report, None)
        task.datagram_received(msgspec.json.encode(vms.make_heartbeat({})), None)

    asyncio.run(receive())
    assert (reports, positions) == ([report], [{}])


@pytest.mark.parametrize(
    "data", [b"{", b'{"vm":1}', b'{"vm":"a1-1","limits":[["t1",0,"x",0]]}', b'{"\xff":1}']
)
def test_an_invalid_report_is_logged_and_changes_nothing(data):
    async def scenario(cluster):
        vm = cluster.vms["a1-0"]
        vm.exchange.receive(data)
        assert vm.limits.rate_of(TARGET) is None
        assert b"report ignored" in vm.lines[0]

    run_cluster(scenario)
