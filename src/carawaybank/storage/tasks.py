"""The task that reads tickets, members and the VM list from the platform.

Two daemons of each failure domain read, chosen by rendezvous hash over the live ones, so reads
stay flat in the number of daemons and two readers at once do no harm. The others hear from them.
"""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from carawaybank import logs
from carawaybank.exceptions import PlatformError, SnapshotError
from carawaybank.host import Host
from carawaybank.steering import hashing
from carawaybank.steering.blocks import BlockMap
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.ownership import DeathProof
from carawaybank.storage.incidents import IncidentDocument, IncidentLog
from carawaybank.storage.leases import TableLease
from carawaybank.storage.models import ListedVm, Platform, Table, Write
from carawaybank.storage.tickets import SNAPSHOT_INTERVAL, TicketStore

_READERS = 2
_MAX_BACKOFF_S = 5.0
#: Failures after which the pause is not doubled any more.
_MOST_DOUBLINGS = 10
_MISSING_READS_BEFORE_PROOF = 3
_MEMBER_PREFIX = "members/"
_MAX_REPLAYED = 200
_SNAPSHOT_DUTY_KEY = "duties/snapshots"
_DUTY_S = 10.0
_DUTY_GUARD_S = 1.0


class Holding(NamedTuple):
    """A start of a daemon that the table names as a possible owner of keys."""

    vm: str
    incarnation: int


class PlatformTask(threading.Thread):
    """Keeps the core in step with the platform."""

    def __init__(
        self,
        *,
        host: Host,
        platform: Platform,
        add_contact: Callable[[str, Holding], None],
        poll_s: float,
        rng: random.Random,
    ) -> None:
        """Prepares the task.

        Args:
            host: The decision core.
            platform: The platform's services.
            add_contact: Takes addresses of entry VMs that the table names.
            poll_s: Seconds between reads.
            rng: Source of jitter.
        """
        super().__init__(name="platform", daemon=True)
        self._host = host
        self._table, self._objects, self._vm_list = platform
        self._add_contact = add_contact
        self._poll_s = poll_s
        self._rng = rng
        self._tickets = TicketStore(table=self._table, objects=self._objects)
        self._stopping = threading.Event()
        self._failures = 0
        self._missing: dict[Holding, int] = {}
        self._registered = False
        self._prefix = f"{_MEMBER_PREFIX}{host.membership.own.cell}/"
        self._rows_checked_at = -1
        self._blocks_digest = ""
        self._snapshot_number = 0
        own = host.membership.own
        self._snapshot_duty = _snapshot_duty(self._table, own)
        self.incidents = IncidentLog(objects=self._objects, vm=own.vm, incarnation=own.incarnation)
        self._log = logs.part("platform")
        self.first_read_done = False
        self.reached_at: float | None = None

    def run(self) -> None:
        """Runs until stopped."""
        while True:
            try:
                self._read()
                self._failures = 0
                self.reached_at = self._host.now
            except PlatformError as error:
                self._note_failure(error)
            except Exception:
                self._log.exception("Read failed")
            self.first_read_done = True
            if self._stopping.wait(self._pause_s()):
                return

    def stop(self) -> None:
        """Ends the task."""
        self._stopping.set()

    def unregister(self) -> None:
        """Removes this entry VM from the table, if the table answers."""
        own = self._host.membership.own
        try:
            row = self._table.get(self._prefix + own.vm)
            if row is not None and row["value"]["incarnation"] == own.incarnation:
                self._table.commit([Write(row["key"], None, if_version=row["version"])])
        except PlatformError as error:
            self._log.warning("Could not unregister: {}", error)

    def _read(self) -> None:
        if not self._registered:
            self._register()
        self._store_incidents()
        self._check_rows()
        if not self.is_reader():
            self._load_blocks()
            return
        self._read_tickets()
        self._read_vm_list()
        self._load_blocks()
        self._write_snapshot()

    def is_reader(self) -> bool:
        """Returns whether this daemon reads for its failure domain."""
        with self._host.lock:
            own = self._host.membership.own
            members = [
                m.vm
                for m in self._host.membership.serving()
                if m.failure_domain == own.failure_domain
            ]
        ranked = hashing.rank(key=f"reader/{own.failure_domain}", members=members)
        return own.vm in ranked[:_READERS] or self._host.state.number == 0

    def _register(self) -> None:
        own = self._host.membership.own
        prefix = self._prefix
        value = {"incarnation": own.incarnation, "control_address": own.control_address}
        self._table.commit([Write(prefix + own.vm, value)])
        for row in self._table.scan(prefix):
            vm = row["key"][len(prefix) :]
            if vm != own.vm:
                holding = Holding(vm, int(row["value"]["incarnation"]))
                self._host.observe_holder(vm, holding.incarnation)
                self._add_contact(str(row["value"]["control_address"]), holding)
        self._registered = True

    def _read_tickets(self) -> None:
        held = self._host.log.held
        head = self._tickets.head()
        if head - held > _MAX_REPLAYED or (held == 0 and head > SNAPSHOT_INTERVAL):
            self._host.install(self._tickets.load_state())
        while self._host.log.held < head:
            tickets = self._tickets.read_after(self._host.log.held)
            if not tickets:
                return
            self._host.accept_tickets(tickets)

    def _read_vm_list(self) -> None:
        listed = self._vm_list.read()
        if not listed:
            return
        leaving = sorted(vm["name"] for vm in listed if vm["state"] == "leaving")
        targets = self._host.state.targets
        self._host.note_leaving([name for name in leaving if name in targets], spread=True)
        self._remove_missing(listed)

    def _remove_missing(self, listed: list[ListedVm]) -> None:
        names = {vm["name"] for vm in listed}
        missing = [holding for holding in self._silent() if holding.vm not in names]
        self._missing = {h: self._missing.get(h, 0) + 1 for h in missing}
        for holding, count in self._missing.items():
            if count >= _MISSING_READS_BEFORE_PROOF:
                self._prove_removed(holding)

    def _silent(self) -> list[Holding]:
        """Returns suspected members, and owners of keys that never answered."""
        with self._host.lock:
            found = [
                Holding(m.vm, m.incarnation)
                for m in self._host.membership.others()
                if m.status is Status.SUSPECT
            ]
        unknown = self._unknown_holders()
        return found + [Holding(vm, incarnation) for vm, incarnation in unknown.items()]

    def _prove_removed(self, holding: Holding) -> None:
        if self._host.prove_dead(holding.vm, holding.incarnation, DeathProof.VM_REMOVED):
            self._log.warning("{} is gone: the platform removed it", holding.vm)

    def _store_incidents(self) -> None:
        taken = self._host.take_incidents()
        own = self._host.membership.own
        documents = [
            IncidentDocument(
                request_id=incident.request_id,
                service=incident.service,
                customer=incident.customer,
                reason=str(incident.reason),
                entry_vm=own.vm,
                seen_at=self._host.wall_time - (self._host.now - incident.at),
            )
            for incident in taken
        ]
        try:
            self.incidents.store(documents, at=self._host.wall_time)
        except PlatformError:
            self._host.put_back_incidents(taken)
            raise

    def _check_rows(self) -> None:
        """Compares the cell's rows with what is known, when ownership changed since."""
        version = self._host.ownership.version
        if version != self._rows_checked_at or self._unknown_holders():
            self._drop_rows()
            self._rows_checked_at = version

    def _unknown_holders(self) -> dict[str, int]:
        with self._host.lock:
            return {
                vm: holder.incarnation
                for vm, holder in self._host.ownership.holders.items()
                if self._host.membership.find(vm) is None
            }

    def _drop_rows(self) -> None:
        """Removes the rows of members of the cell whose process ended, and heeds removed rows."""
        rows = {row["key"][len(self._prefix) :]: row for row in self._table.scan(self._prefix)}
        with self._host.lock:
            ended = self._host.ownership.ended
        for vm, end in ended.items():
            row = rows.get(vm)
            if row is not None and int(row["value"]["incarnation"]) <= end.incarnation:
                self._table.commit([Write(row["key"], None, if_version=row["version"])])
        for vm, incarnation in self._unknown_holders().items():
            if vm not in rows:
                self._prove_removed(Holding(vm, incarnation))

    def _load_blocks(self) -> None:
        blocks = self._host.state.blocks
        if blocks is None or blocks["digest"] == self._blocks_digest:
            return
        data = self._objects.get(blocks["object"])
        if data is None:
            return
        try:
            loaded = BlockMap.from_bytes(data, digest=blocks["digest"], sites=blocks["sites"])
        except SnapshotError as error:
            self._log.error("Client blocks unusable: {}", error)
            return
        self._host.install_blocks(loaded)
        self._blocks_digest = blocks["digest"]

    def _write_snapshot(self) -> None:
        state = self._host.state
        due = state.number // SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL
        if due <= self._snapshot_number:
            return
        if not self._snapshot_duty.try_hold(clock=lambda: self._host.now):
            return
        self._tickets.write_snapshot(state)
        self._snapshot_number = due

    def _note_failure(self, error: PlatformError) -> None:
        if self._failures == 0:
            self._log.warning("Platform unavailable: {}", error)
        self._failures += 1

    def _pause_s(self) -> float:
        base = self._poll_s
        if self._failures:
            base = max(base, min(_MAX_BACKOFF_S, base * 2 ** min(self._failures, _MOST_DOUBLINGS)))
        return float(base * self._rng.uniform(0.8, 1.2))


def _snapshot_duty(table: Table, own: Member) -> TableLease:
    return TableLease(
        table=table,
        key=_SNAPSHOT_DUTY_KEY,
        holder=f"{own.vm}.{own.incarnation}",
        duration_s=_DUTY_S,
        guard_s=_DUTY_GUARD_S,
    )
