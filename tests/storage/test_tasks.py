"""The platform task with a list of VMs that lags, empties or repeats, and the duty lease."""

import random

import pytest

from carawaybank.exceptions import PlatformError
from carawaybank.host import Host
from carawaybank.steering.membership import Member, Status
from carawaybank.storage.incidents import IncidentLog
from carawaybank.storage.leases import TableLease
from carawaybank.storage.models import Platform as PlatformServices
from carawaybank.storage.tasks import PlatformTask
from standins.fleet_models import make_settings
from standins.platform import Platform
from tests.fakes import FailurePlan, FakeObjects, FakeTable


class FakeVmList:
    def __init__(self):
        self.vms = []

    def read(self):
        return self.vms


class Setup:
    def __init__(self):
        self.now = 0.0
        self.host = Host(
            settings=make_settings("a", "r", "fd"),
            incarnation=5,
            seed=1,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        self.platform = Platform()
        self.vm_list = FakeVmList()
        self.contacts = []
        self.table = FakeTable(platform=self.platform)
        self.task = PlatformTask(
            host=self.host,
            platform=PlatformServices(
                self.table, FakeObjects(platform=self.platform), self.vm_list
            ),
            add_contact=lambda address, holding: self.contacts.append((address, holding)),
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
    return Setup()


def listed(*names):
    return [{"name": name, "state": "live"} for name in names]


def test_a_suspect_that_the_list_drops_thrice_is_gone(setup):
    setup.add_suspect()
    setup.vm_list.vms = listed("a")
    for _ in range(2):
        setup.task._read()
    assert setup.holders() == {"b"}
    setup.task._read()
    assert setup.holders() == set()


def test_a_list_that_empties_removes_nobody(setup):
    setup.add_suspect()
    setup.vm_list.vms = []
    for _ in range(10):
        setup.task._read()
    assert setup.holders() == {"b"}


def test_a_list_that_lags_and_repeats_removes_nobody(setup):
    setup.add_suspect()
    setup.vm_list.vms = listed("a", "b", "b", "dead-long-ago")
    for _ in range(10):
        setup.task._read()
    assert setup.holders() == {"b"}


def test_a_list_that_omits_a_member_which_is_heard_removes_nobody(setup):
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
    setup.vm_list.vms = listed("a")
    for _ in range(10):
        setup.task._read()
    assert setup.holders() == {"b"}


def test_a_start_registers_and_finds_the_members_before_it(setup):
    rows = setup.platform.rows
    value = {"incarnation": 3, "control_address": "127.0.0.9:1"}
    rows["members/fd/b"] = {"key": "members/fd/b", "value": value, "version": 1}
    setup.task._read()
    assert setup.contacts[0][0] == "127.0.0.9:1"
    assert setup.holders() == {"b"}
    assert rows["members/fd/a"]["value"]["incarnation"] == 5


def test_an_owner_known_only_by_its_row_is_gone_once_the_row_is(setup):
    rows = setup.platform.rows
    value = {"incarnation": 3, "control_address": "127.0.0.9:1"}
    rows["members/fd/b"] = {"key": "members/fd/b", "value": value, "version": 1}
    setup.task._read()
    del rows["members/fd/b"]
    setup.task._read()
    assert setup.holders() == set()


def test_a_stop_leaves_the_row_of_a_later_start_alone(setup):
    setup.task._read()
    row = setup.platform.rows["members/fd/a"]
    row["value"] = {**row["value"], "incarnation": 9}
    setup.task.unregister()
    assert "members/fd/a" in setup.platform.rows
    row["value"] = {**row["value"], "incarnation": 5}
    setup.task.unregister()
    assert "members/fd/a" not in setup.platform.rows


def test_pauses_grow_and_differ_while_the_store_is_down(setup):
    setup.task._record_failure(PlatformError(message="down", may_have_run=False))
    first = setup.task._pause_s()
    for _ in range(5):
        setup.task._record_failure(PlatformError(message="down", may_have_run=False))
    later = [setup.task._pause_s() for _ in range(5)]
    assert first < min(later)
    assert max(later) <= 6.0
    assert len(set(later)) == 5


def test_an_outage_of_hours_ends_no_task(setup):
    setup.task._failures = 100_000
    assert setup.task._pause_s() <= 6.0


def test_two_processes_never_hold_a_duty_at_once():
    platform, clock = Platform(), [0.0]
    duties = [
        TableLease(
            table=FakeTable(platform=platform), key="k", holder=name, duration_s=10, guard_s=1
        )
        for name in "ab"
    ]
    rng = random.Random(7)
    held_by_each = [0, 0]
    for _ in range(400):
        clock[0] += rng.uniform(0, 4)
        index = rng.randrange(2)
        held_by_each[index] += duties[index].try_hold(clock=lambda: clock[0])
        assert sum(duty.is_held(clock[0]) for duty in duties) <= 1
    assert min(held_by_each) > 0


def test_a_duty_whose_renewal_was_not_answered_ends_in_time():
    platform, clock = Platform(), [0.0]
    plan = FailurePlan()
    duty = TableLease(
        table=FakeTable(platform=platform, plan=plan),
        key="k",
        holder="a",
        duration_s=10,
        guard_s=1,
    )
    assert duty.try_hold(clock=lambda: clock[0])
    plan.before = set(range(100))
    clock[0] = 9.0
    with pytest.raises(PlatformError):
        duty.try_hold(clock=lambda: clock[0])
    assert duty.is_held(9.9)
    assert not duty.is_held(10.0)


def test_incidents_outlive_the_entry_vm_that_saw_them():
    platform = Platform()
    incident = {
        "request_id": "a.1.0.x",
        "service": "dispatch",
        "customer": "c",
        "reason": "timeout",
        "entry_vm": "a",
        "seen_at": 1.0,
    }
    IncidentLog(objects=FakeObjects(platform=platform), vm="a", incarnation=1).store(
        [incident], at=1.0
    )
    other = IncidentLog(objects=FakeObjects(platform=platform), vm="b", incarnation=1)
    assert other.read() == [incident]
