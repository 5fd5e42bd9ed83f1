"""Entry VMs that hear each other, a store and a clock, without sockets and processes."""

import random
from typing import NamedTuple

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.rows import Row
from carawaybank.siblings.absences import KEY_PREFIX
from carawaybank.siblings.heartbeat import INTERVAL_S, OTHER_REGION_EVERY, SAME_REGION_EVERY
from carawaybank.siblings.lostvms import LostVms
from carawaybank.siblings.registration import KEY_PREFIX as VM_PREFIX
from carawaybank.siblings.vms import VmDirectory, VmRecord

STEP_S = 0.1
ROUND_STEPS = 3
HEARTBEAT_STEPS = round(INTERVAL_S / STEP_S)
UPDATE_STEPS = 5


class StoredRow(NamedTuple):
    value: object
    version: int


class Store:
    """Rows with versions, and the transactions so far."""

    def __init__(self):
        self.version, self.rows, self.changes, self.transactions = 0, {}, [], []
        self.reads = 0

    def commit(self, rows, expected):
        self.transactions.append(rows)
        current = {key: self.rows[key].version if key in self.rows else 0 for key in expected}
        if current != dict(expected):
            return False
        self.version += 1
        for key, value in rows.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = StoredRow(value, self.version)
            self.changes.append((self.version, key, value))
        return True


class SimulatedVm:
    """A VM with its directory and its part in finding lost VMs."""

    def __init__(self, *, record, site):
        self.site, self.record = site, record
        self.versions, self.position = {}, 0
        self.vms = VmDirectory(own=record)
        self.lost_vms = LostVms(
            vms=self.vms,
            versions=self.versions,
            store=None,
            table="shared",
            needs_reads=lambda: True,
            counters=Counters(),
            journal=Journal(vm=record.vm, write=lambda _: None),
            rng=random.Random(1),
        )
        self.present, self.electorate = set(), None
        self.is_frozen, self.has_store, self.rounds = False, True, 0

    @property
    def name(self):
        return self.record.vm

    def register(self):
        self.site.store.commit({VM_PREFIX + self.name: self.vms.own}, {})

    def read(self, now):
        """Reads the rows that have changed, as the watch does."""
        rows = []
        for version, key, value in self.site.store.changes[self.position :]:
            if key.startswith(VM_PREFIX):
                self.apply_registration(key.removeprefix(VM_PREFIX), value, version, now)
            elif key.startswith(KEY_PREFIX):
                name = key.removeprefix(KEY_PREFIX)
                rows.append(Row(name, value or b"", version, removed=value is None))
        self.position = len(self.site.store.changes)
        self.lost_vms.apply_rows(rows, is_full=False, now=now)

    def apply_registration(self, name, record, version, now):
        if record is not None:
            self.versions[name] = version
            self.vms.update(record, now=now)
            return
        self.versions.pop(name, None)
        self.vms.remove(name, now=now, has_ended=True)
        if name == self.name:
            self.vms.start_new_incarnation()
            self.register()

    def read_notices(self, now):
        if not self.lost_vms.is_read_due(now=now):
            return
        self.lost_vms.record_read(now=now)
        self.site.store.reads += 1
        rows = [
            Row(key.removeprefix(KEY_PREFIX), row.value, row.version, removed=False)
            for key, row in self.site.store.rows.items()
            if key.startswith(KEY_PREFIX)
        ]
        absences = self.vms.absences
        absences.apply_read(rows, self.site.store.version, sent_at=now, now=now)

    def send_heartbeats(self, now):
        self.rounds += 1
        own, vms = self.vms.own, self.vms
        readers = vms.readers(now=now)
        own_reports = vms.state_reports(now=now, is_reader=own in readers)
        if own not in readers:
            self.send(vms.make_heartbeat({}, own_reports or None), readers, now)
            return
        reports = vms.known_reports(now=now)
        own_reports[own.failure_domain] = [vms.own_report(now=now)]
        for topic, each in own_reports.items():
            reports[topic] = [*reports.get(topic, ()), *each]
        self.send(vms.make_heartbeat({}, reports), vms.domain_peers, now)
        every = {True: SAME_REGION_EVERY, False: OTHER_REGION_EVERY}
        due = [
            record
            for record in vms.remote_readers(now=now)
            if self.rounds % every[vms.is_in_own_region(record)] == 0
        ]
        self.send(vms.make_heartbeat({}, own_reports), due, now)

    def send(self, heartbeat, records, now):
        for record in records:
            other = self.site.running.get(record.vm)
            if other is not None and self.site.are_connected(self.name, record.vm):
                other.inbox.append(heartbeat)

    def update(self, now):
        """Takes the VMs that are present, as the exchange of allotments does."""
        others = [record for record in self.vms.others if not record.stopping]
        present = {record.vm for record in others if self.vms.is_present(record, now=now)}
        self.present = {self.name, *present}
        self.electorate = self.vms.electorate(now=now)

    def share(self, now):
        """Returns the part of each allotment that this VM may grant."""
        if self.electorate is None:
            return 0.0
        return self.electorate.share(self.present, vm=self.name, now=now)


class LostSite:
    """A site of VMs whose machines, links and store fail.

    Args:
        domains: Failure domain of each VM; the first letter is its region.
    """

    def __init__(self, *, domains):
        self.store, self.now, self.steps = Store(), 0.0, 0
        self.running, self.cuts, self.incarnation = {}, set(), 1
        self.confirmed_at = None
        for number, domain in enumerate(domains):
            self.start(f"vm-{number}", domain)

    def start(self, name, domain):
        """Starts a VM, or starts it again; it reads all rows first."""
        self.incarnation += 1
        number = int(name.rpartition("-")[2])
        address = f"10.0.0.{number + 1}"
        record = VmRecord(
            name, f"{address}:80", f"{address}:90", domain, domain[0], self.incarnation
        )
        vm = self.running[name] = SimulatedVm(record=record, site=self)
        vm.inbox = []
        vm.read(self.now)
        vm.register()
        return vm

    def restart(self, names):
        domains = {name: self.running[name].record.failure_domain for name in names}
        for name, domain in domains.items():
            self.start(name, domain)

    def lose(self, names):
        for name in names:
            del self.running[name]

    def cut(self, names):
        """Cuts the links between some VMs and all others, in both directions."""
        self.cuts = {frozenset(names)}

    def are_connected(self, a, b):
        return not any((a in side) != (b in side) for side in self.cuts)

    def run(self, seconds, *, check=lambda: None):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.steps += 1
            self.step()
            check()

    def step(self):
        awake = [vm for vm in self.running.values() if not vm.is_frozen]
        for vm in awake:
            for heartbeat in vm.inbox:
                vm.vms.record_heartbeat(heartbeat, now=self.now)
            vm.inbox.clear()
            if vm.has_store:
                vm.read(self.now)
                vm.read_notices(self.now)
        for offset, vm in enumerate(awake):
            if (self.steps + offset) % HEARTBEAT_STEPS == 0:
                vm.send_heartbeats(self.now)
            if (self.steps + offset) % UPDATE_STEPS == 0:
                vm.update(self.now)
            if (self.steps + offset) % ROUND_STEPS == 0 and vm.has_store:
                self.change(vm)
        if self.confirmed_at is None and any(
            vm.vms.absences.is_confirmed(name, 0)
            for vm in awake
            for name in vm.vms.absences.notices
        ):
            self.confirmed_at = self.now

    def change(self, vm):
        for change in vm.lost_vms.plan(now=self.now):
            if not self.store.commit(change.rows, change.expected):
                return
            vm.lost_vms.record_change(change, now=self.now)

    def thaw(self, names):
        for name in names:
            vm = self.running[name]
            vm.is_frozen = False
            vm.lost_vms.record_suspension(now=self.now)

    def share(self, names):
        """Returns the largest part of an allotment that any of some VMs may grant."""
        running = [self.running[name] for name in names if name in self.running]
        return max((vm.share(self.now) for vm in running if not vm.is_frozen), default=0.0)

    @property
    def leaders(self):
        """The VMs that take themselves for part of a majority."""
        return {name for name in self.running if self.share([name])}

    def notices(self):
        """The VMs on which notices stand in the store."""
        return {k.removeprefix(KEY_PREFIX) for k in self.store.rows if k.startswith(KEY_PREFIX)}

    def registered(self):
        return {k.removeprefix(VM_PREFIX) for k in self.store.rows if k.startswith(VM_PREFIX)}
