"""The platform poller, with a VM list that lags, empties or repeats entries; leases; incidents."""

import random

import pytest

from carawaybank.exceptions import PlatformError
from carawaybank.host import Host
from carawaybank.steering.membership import Member, Status
from carawaybank.storage.incidents import IncidentLog
from carawaybank.storage.leases import TableLease
from carawaybank.storage.models import Platform as PlatformServices
from carawaybank.storage.poller import PlatformPoller
from standins.fleet_models import make_settings
from standins.platform import SimulatedPlatform
from tests.fakes import FailurePlan, FakeObjects, FakeTable


class FakeVmList:
    def __init__(self):
        self.vms = []

    def read(self):
        return self.vms


class PlatformPollerSetup:
    def __init__(self):
        self.now = 0.0
        self.host = Host(
            settings=make_settings("a", "r", "fd"),
            incarnation=5,
            seed=1,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        self.platform = SimulatedPlatform()
        self.vm_list = FakeVmList()
        self.contacts = []
        self.table = FakeTable(platform=self.platform)
        self.poller = PlatformPoller(
            host=self.host,
            platform=PlatformServices(
                self.table, FakeObjects(platform=self.platform), self.vm_list
            ),
            add_contact=lambda address, identity: self.contacts.append((address, identity)),
            poll_s=1.0,
            rng=random.Random(1),
        )

    def add_suspect(self, vm="b"):
        record = Member(vm, 1, 0, Status.SUSPECT, "fd", "r", "fd", "c", "d")
        self.host.group.receive(
            {
                "vm": vm,
                "incarnation": 1,
                "recognized": 5,
                "held": 0,
                "digest": "",
                "members": [record],
            },
            self.now,
        )

    def holders(self):
        return set(self.host.ownership.holders)


@pytest.fixture
def setup():
    return PlatformPollerSetup()


def make_vm_list(*names):
    return [{"name": name, "state": "live"} for name in names]


def test_a_suspected_member_missing_from_three_reads_of_the_list_is_removed(setup):
    setup.add_suspect()
    setup.vm_list.vms = make_vm_list("a")
    for _ in range(2):
        setup.poller._read()
    assert setup.holders() == {"b"}
    setup.poller._read()
    assert setup.holders() == set()


def test_an_empty_list_removes_no_member(setup):
    """Guards against a failure of the VM list that removes all suspected members at once."""
    setup.add_suspect()
    setup.vm_list.vms = []
    for _ in range(10):
        setup.poller._read()
    assert setup.holders() == {"b"}


def test_a_list_with_outdated_and_repeated_entries_removes_no_member(setup):
    setup.add_suspect()
    setup.vm_list.vms = make_vm_list("a", "b", "b", "dead-long-ago")
    for _ in range(10):
        setup.poller._read()
    assert setup.holders() == {"b"}


def test_a_list_without_a_live_member_does_not_remove_it(setup):
    """Guards against the removal of a member that still runs and owns keys.

    The list lags, so it may omit a VM; exchanges with the member show that it is alive.
    """
    setup.add_suspect()
    setup.host.group.receive(
        {
            "vm": "b",
            "incarnation": 1,
            "recognized": 5,
            "held": 0,
            "digest": "",
            "members": [Member("b", 1, 1, Status.ALIVE, "fd", "r", "fd", "c", "d")],
        },
        0.0,
    )
    setup.vm_list.vms = make_vm_list("a")
    for _ in range(10):
        setup.poller._read()
    assert setup.holders() == {"b"}


def test_a_start_registers_its_row_and_finds_earlier_members(setup):
    rows = setup.platform.rows
    value = {"incarnation": 3, "control_address": "127.0.0.9:1"}
    rows["members/fd/b"] = {"key": "members/fd/b", "value": value, "version": 1}
    setup.poller._read()
    assert setup.contacts[0][0] == "127.0.0.9:1"
    assert setup.holders() == {"b"}
    assert rows["members/fd/a"]["value"]["incarnation"] == 5


def test_a_holder_known_only_by_its_row_is_removed_with_the_row(setup):
    """Guards against keys that stay stranded with a holder that never responded."""
    rows = setup.platform.rows
    value = {"incarnation": 3, "control_address": "127.0.0.9:1"}
    rows["members/fd/b"] = {"key": "members/fd/b", "value": value, "version": 1}
    setup.poller._read()
    del rows["members/fd/b"]
    setup.poller._read()
    assert setup.holders() == set()


def test_a_stop_does_not_delete_the_row_of_a_later_start(setup):
    """Guards against a slow stop that deregisters the process which replaced this one."""
    setup.poller._read()
    row = setup.platform.rows["members/fd/a"]
    row["value"] = {**row["value"], "incarnation": 9}
    setup.poller.deregister()
    assert "members/fd/a" in setup.platform.rows
    row["value"] = {**row["value"], "incarnation": 5}
    setup.poller.deregister()
    assert "members/fd/a" not in setup.platform.rows


def test_pauses_grow_with_jitter_while_the_platform_is_down(setup):
    """Guards against daemons that all call the platform at once when it recovers."""
    setup.poller._record_failure(PlatformError(message="down", may_have_run=False))
    first = setup.poller._pause_s()
    for _ in range(5):
        setup.poller._record_failure(PlatformError(message="down", may_have_run=False))
    later = [setup.poller._pause_s() for _ in range(5)]
    assert first < min(later)
    assert max(later) <= 6.0
    assert len(set(later)) == 5


def test_an_outage_of_hours_does_not_end_the_poller(setup):
    """Guards against an overflow of the exponential backoff after many failures."""
    setup.poller._failures = 100_000
    assert setup.poller._pause_s() <= 6.0


def test_two_processes_never_hold_a_lease_at_once():
    platform, clock = SimulatedPlatform(), [0.0]
    leases = [
        TableLease(
            table=FakeTable(platform=platform), key="k", holder=name, duration_s=10, guard_s=1
        )
        for name in "ab"
    ]
    rng = random.Random(7)
    acquire_counts = [0, 0]
    for _ in range(400):
        clock[0] += rng.uniform(0, 4)
        index = rng.randrange(2)
        acquire_counts[index] += leases[index].try_acquire(clock=lambda: clock[0])
        assert sum(lease.is_held(clock[0]) for lease in leases) <= 1
    assert min(acquire_counts) > 0


def test_a_lease_whose_renewal_failed_expires_in_time():
    """Guards against a holder that acts after another process may have acquired the lease."""
    platform, clock = SimulatedPlatform(), [0.0]
    plan = FailurePlan()
    lease = TableLease(
        table=FakeTable(platform=platform, plan=plan),
        key="k",
        holder="a",
        duration_s=10,
        guard_s=1,
    )
    assert lease.try_acquire(clock=lambda: clock[0])
    plan.before = set(range(100))
    clock[0] = 9.0
    with pytest.raises(PlatformError):
        lease.try_acquire(clock=lambda: clock[0])
    assert lease.is_held(9.9)
    assert not lease.is_held(10.0)


def test_incidents_can_be_read_by_another_entry_vm():
    """Guards against incidents that are lost with the entry VM that recorded them."""
    platform = SimulatedPlatform()
    incident = {
        "request_id": "a.1.0.x",
        "service": "dispatch",
        "customer": "c",
        "reason": "timeout",
        "entry_vm": "a",
        "seen_at": 1.0,
    }
    IncidentLog(objects=FakeObjects(platform=platform), vm="a", incarnation=1).append(
        [incident], stored_at=1.0
    )
    other = IncidentLog(objects=FakeObjects(platform=platform), vm="b", incarnation=1)
    assert other.read() == [incident]
