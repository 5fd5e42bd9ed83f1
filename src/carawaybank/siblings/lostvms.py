"""Finds entry VMs that are gone for good, and ends what their registrations are worth.

Load pattern: machines are lost for good, alone, most of them at once, or one after the other, and
a day of a large deployment replaces hundreds of them. :mod:`carawaybank.siblings.absences`
describes the notices. Only readers write them, and only for their own failure domain, unless no
reader of the other one is heard: a VM that is lost costs a few calls, and a calm day costs none.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.rows import ConflictError, Row, RowStore, StoreError, TableUpdate
from carawaybank.siblings import registration, weights
from carawaybank.siblings.absences import (
    CONFIRM_S,
    KEY_PREFIX,
    REMOVAL_S,
    AbsenceNotice,
    KnownNotice,
)
from carawaybank.siblings.liveness import HEARTBEAT_TIMEOUT_S
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.steering import hashing

#: Bounds in seconds of the pause between rounds; random, so that two readers rarely write the same.
_ROUND_S = (0.2, 0.4)
#: Seconds by which a round may be late before this VM counts as suspended. It misses all others
#: then, until their heartbeats arrive.
_SUSPENDED_S = 1.0
#: Seconds for which a VM is missed before a notice, unless this VM hears no other one.
MISSED_S = 2.0
#: Seconds for which a VM that has heard no other one since its start waits: it may be slow itself.
_FIRST_WAIT_S = 1.0
#: Seconds that the readers of each further failure domain wait for those of another one to write.
_TURN_S = 0.3
_MAX_TURN_S = 3.0
#: Seconds after which a VM that hears another one denies its absence in its place.
_DENY_FOR_OTHER_S = 1.0
#: Bounds in seconds of the pause after a denial before the next notice on the same VM, which is
#: doubled by each further denial while that VM is not heard.
_MIN_PAUSE_S = 10.0
_MAX_PAUSE_S = 160.0
#: Seconds for which a change is not repeated, until the watch delivers it, and for which none is
#: made after a failed call.
_REPEAT_S = 3.0
_RETRY_S = 1.0
#: Seconds between direct reads while a majority depends on the notices, and while nearly all VMs
#: are heard, which grant nearly all of each allotment without recent knowledge too.
READ_INTERVAL_S = 1.6
_SLOW_READ_INTERVAL_S = 15.0
_NEARLY_ALL = 0.95
#: Bounds in seconds of the pause between checks whether a read is due.
_READ_PAUSE_S = (0.3, 0.6)
#: Maximum number of VMs in a transaction, which may have 100 entries.
_MAX_VMS = 30


class Change(NamedTuple):
    """A transaction on the rows of some VMs.

    Attributes:
        event: What it does, for the log and the metric.
        vms: The VMs that it concerns.
        rows: New value by key; None removes the row.
        expected: Version that a row must have, by key.
    """

    event: str
    vms: tuple[str, ...]
    rows: Mapping[str, bytes | None]
    expected: Mapping[str, int]


class LostVms:
    """Writes, denies and confirms notices of absence, and removes registrations of lost VMs."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        versions: Mapping[str, int],
        store: RowStore,
        table: str,
        needs_reads: Callable[[], bool],
        counters: Counters,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Starts without having missed any VM.

        Args:
            vms: The known entry VMs and the notices.
            versions: Versions of the registrations' rows by the name of the VM.
            store: Stores the notices.
            table: Name of the shared table that holds them.
            needs_reads: Returns whether this VM's part in a majority matters now.
            counters: Counts changes of notices.
            journal: Logs them.
            rng: Source of random pauses.
        """
        self._vms = vms
        self._versions = versions
        self._store = store
        self._table = table
        self._needs_reads = needs_reads
        self._counters = counters
        self._journal = journal
        self._rng = rng
        self._missed_since: dict[str, float] = {}
        #: Number of denials in a row, and the time of the next notice, by VM.
        self._denials: dict[str, int] = {}
        self._next_notice_at: dict[str, float] = {}
        #: Time until which a change is not repeated, by event and VM.
        self._changed_until: dict[tuple[str, str], float] = {}
        self._suspended_until = float("-inf")
        #: Whether this VM has heard any other one since its start.
        self._has_heard = False
        self._read_at = float("-inf")

    def apply(self, update: TableUpdate) -> None:
        """Applies changes of the notices, whose keys are the names of VMs."""
        now = asyncio.get_running_loop().time()
        for fault in self.apply_rows(update.rows, is_full=update.is_full, now=now):
            self._journal.log("siblings", "row passed over", reason=fault)

    def apply_rows(self, rows: list[Row], *, is_full: bool, now: float) -> list[str]:
        """Applies changed rows, or all rows; returns those that could not be read.

        Args:
            rows: The rows; their keys are the names of VMs.
            is_full: Whether these are all rows.
            now: Current time in monotonic seconds.
        """
        earlier = self._vms.absences.notices
        faults = self._vms.absences.apply(rows, is_full=is_full, now=now)
        self._record_denials(earlier, now)
        return faults

    def _record_denials(self, earlier: Mapping[str, KnownNotice], now: float) -> None:
        """Delays the next notices on VMs whose last one is gone."""
        for vm in earlier.keys() - self._vms.absences.notices.keys():
            count = self._denials[vm] = self._denials.get(vm, 0) + 1
            pause_s = min(_MAX_PAUSE_S, _MIN_PAUSE_S * 2.0 ** min(count - 1, 10))
            self._next_notice_at[vm] = now + pause_s

    async def run(self) -> None:
        """Changes notices where that is due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            pause_s = self._rng.uniform(*_ROUND_S)
            paused_at = loop.time()
            await asyncio.sleep(pause_s)
            if loop.time() - paused_at - pause_s > _SUSPENDED_S:
                self.record_suspension(now=loop.time())
            for change in self.plan(now=loop.time()):
                if not await self._commit(change):
                    await asyncio.sleep(_RETRY_S)
                    break

    async def run_reads(self) -> None:
        """Reads the notices from the store while a majority depends on them, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.uniform(*_READ_PAUSE_S))
            if self._needs_reads() and self.is_read_due(now=loop.time()):
                self.record_read(now=loop.time())
                await self._read()

    def is_read_due(self, *, now: float) -> bool:
        """Returns whether the notices should be read from the store."""
        if now - self._read_at < READ_INTERVAL_S or self._vms.hears_all(now=now):
            return False
        is_nearly_all = self._vms.present_part(now=now) >= _NEARLY_ALL
        return not is_nearly_all or now - self._read_at >= _SLOW_READ_INTERVAL_S

    def record_read(self, *, now: float) -> None:
        """Records that a read of the notices was sent."""
        self._read_at = now

    def record_suspension(self, *, now: float) -> None:
        """Records that this process was suspended, so that it heard no other VM."""
        self._suspended_until = now + HEARTBEAT_TIMEOUT_S

    def plan(self, *, now: float) -> list[Change]:
        """Returns the changes that are due.

        Args:
            now: Current time in monotonic seconds.
        """
        own = self._vms.own
        if own.stopping or own.vm not in self._versions:
            return []
        is_reader = own in self._vms.readers(now=now)
        changes = [self._deny(now, is_reader=is_reader)]
        missed = self._missed(now)
        if is_reader:
            changes += [self._notice(missed, now), self._confirm(missed, now), self._remove(now)]
        return [change for change in changes if change.vms]

    def record_change(self, change: Change, *, now: float) -> None:
        """Records that a change was made, which the watch has not delivered yet."""
        self._changed_until = {
            key: until for key, until in self._changed_until.items() if now < until
        }
        for vm in change.vms:
            self._changed_until[change.event, vm] = now + _REPEAT_S

    def _deny(self, now: float, *, is_reader: bool) -> Change:
        """Denies the absence of this VM, and as a reader that of the others that it hears."""
        denied = []
        for vm, known in self._vms.absences.notices.items():
            record = self._find(vm)
            if record is None:
                continue  # The VM has ended.
            is_over = known.notice.incarnation < record.incarnation
            has_effect = known.notice.is_confirmed or not is_over
            is_heard = is_reader and not record.stopping and self._vms.is_heard(record, now=now)
            is_late = now - known.seen_at >= _DENY_FOR_OTHER_S
            if record == self._vms.own or (has_effect and is_heard and is_late):
                denied.append(vm)
        vms = self._select("absence denied", denied, now)
        rows: dict[str, bytes | None] = dict.fromkeys(map(_key, vms))
        return Change("absence denied", vms, rows, self._notice_versions(vms))

    def _notice(self, missed: Iterable[VmRecord], now: float) -> Change:
        """Writes notices on VMs that are missed and have none."""
        records = {
            record.vm: record
            for record in missed
            if self._vms.absences.find(record.vm, record.incarnation) is None
            and now >= self._next_notice_at.get(record.vm, now)
        }
        vms = self._select("absence noticed", records, now)
        rows = {_key(vm): self._encode(records[vm], is_confirmed=False) for vm in vms}
        return Change("absence noticed", vms, rows, self._notice_versions(vms))

    def _confirm(self, missed: Iterable[VmRecord], now: float) -> Change:
        """Confirms notices that were not denied, unless the VM has registered again."""
        records = {}
        for record in missed:
            known = self._vms.absences.find(record.vm, record.incarnation)
            is_due = known and not known.notice.is_confirmed and now - known.seen_at >= CONFIRM_S
            if is_due and record.vm in self._versions:
                records[record.vm] = record
        vms = self._select("absence confirmed", records, now)
        rows = {_key(vm): self._encode(records[vm], is_confirmed=True) for vm in vms}
        expected = self._notice_versions(vms) | self._registration_versions(vms)
        return Change("absence confirmed", vms, rows, expected)

    def _remove(self, now: float) -> Change:
        """Removes the rows of VMs that were confirmed absent long ago."""
        lost = []
        for vm, known in self._vms.absences.notices.items():
            record = self._find(vm)
            if now - known.seen_at < REMOVAL_S or record == self._vms.own:
                continue
            is_absent = record is not None and known.notice.is_confirmed
            if record is None or (is_absent and self._is_responsible(record, now)):
                lost.append(vm)
        vms = self._select("registration removed", lost, now)
        rows: dict[str, bytes | None] = dict.fromkeys(map(_key, vms))
        for vm in vms:
            rows |= {registration.KEY_PREFIX + vm: None, weights.KEY_PREFIX + vm: None}
        expected = self._notice_versions(vms) | self._registration_versions(vms)
        return Change("registration removed", vms, rows, expected)

    def _missed(self, now: float) -> list[VmRecord]:
        """Returns the VMs whose absence this VM should notice."""
        others = self._vms.others
        hears_nobody = not any(self._vms.is_heard(record, now=now) for record in others)
        self._has_heard = self._has_heard or not hears_nobody
        missed_since, self._missed_since = self._missed_since, {}
        missed = []
        for record in others:
            vm = record.vm
            if self._vms.is_heard(record, now=now):
                self._denials.pop(vm, None)
                self._next_notice_at.pop(vm, None)
                continue
            is_new = self._vms.is_newly_registered(vm, now=now)
            is_alive = self._vms.is_alive(record, now=now)
            if now < self._suspended_until or is_new or (is_alive and not hears_nobody):
                continue
            since = self._missed_since[vm] = missed_since.get(vm, now)
            if hears_nobody:
                wait_s = 0.0 if self._has_heard else _FIRST_WAIT_S
            else:
                wait_s = MISSED_S + self._turn_s(record)
            if now - since >= wait_s and (hears_nobody or self._is_responsible(record, now)):
                missed.append(record)
        return missed

    def _is_responsible(self, record: VmRecord, now: float) -> bool:
        """Returns whether no reader of another failure domain sees to a VM that is missed."""
        is_own = record.failure_domain == self._vms.own.failure_domain
        return is_own or not self._vms.has_report(record, now=now)

    def _turn_s(self, record: VmRecord) -> float:
        """Returns the seconds to wait for the readers of other failure domains to act first."""
        own = self._vms.own.failure_domain
        if record.failure_domain == own:
            return 0.0
        domains = {each.failure_domain for each in [self._vms.own, *self._vms.others]}
        order = hashing.rank(key=record.failure_domain, members=domains - {record.failure_domain})
        return min(_MAX_TURN_S, _TURN_S * order.index(own))

    def _find(self, vm: str) -> VmRecord | None:
        return self._vms.own if vm == self._vms.own.vm else self._vms.find(vm)

    def _select(self, event: str, vms: Iterable[str], now: float) -> tuple[str, ...]:
        due = [vm for vm in vms if now >= self._changed_until.get((event, vm), now)]
        return tuple(sorted(due)[:_MAX_VMS])

    def _notice_versions(self, vms: Iterable[str]) -> dict[str, int]:
        notices = self._vms.absences.notices
        return {_key(vm): notices[vm].version if vm in notices else 0 for vm in vms}

    def _registration_versions(self, vms: Iterable[str]) -> dict[str, int]:
        return {registration.KEY_PREFIX + vm: self._versions.get(vm, 0) for vm in vms}

    def _encode(self, record: VmRecord, *, is_confirmed: bool) -> bytes:
        notice = AbsenceNotice(record.incarnation, is_confirmed, self._vms.own.vm)
        return msgspec.json.encode(notice)

    async def _commit(self, change: Change) -> bool:
        """Makes a change and returns whether the store confirmed it."""
        try:
            await self._store.commit(self._table, change.rows, expected=change.expected)
        except ConflictError:
            self._journal.log("siblings", "absence changed meanwhile", vms=change.vms)
            return False
        except StoreError as error:
            self._journal.log("store", change.event, vms=change.vms, failure=str(error))
            return False
        self.record_change(change, now=asyncio.get_running_loop().time())
        self._counters.count_absences(change.event, len(change.vms))
        self._journal.log("siblings", change.event, vms=change.vms)
        return True

    async def _read(self) -> None:
        """Reads the notices; a failure is logged."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            found = await self._store.read_prefix(self._table, KEY_PREFIX)
        except StoreError as error:
            self._journal.log("store", "absences not read", reason=str(error))
            return
        rows = [row._replace(key=row.key.removeprefix(KEY_PREFIX)) for row in found.rows]
        earlier, now = self._vms.absences.notices, loop.time()
        self._vms.absences.apply_read(rows, found.version, sent_at=sent_at, now=now)
        self._record_denials(earlier, now)


def _key(vm: str) -> str:
    return KEY_PREFIX + vm
