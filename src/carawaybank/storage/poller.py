"""The thread that reads tickets, members and the VM list from the platform.

Two daemons of each failure domain read tickets and the VM list. They are chosen by rendezvous hash
among the live daemons, so the number of reads does not grow with the number of daemons, and reads
by two of them at once do no harm. The other daemons receive the updates from them.
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

_READERS_PER_DOMAIN = 2
_MAX_BACKOFF_S = 5.0
#: Limits the exponent of the backoff, which would overflow a float in an outage of hours.
_MAX_DOUBLINGS = 10
_MISSING_READS_BEFORE_PROOF = 3
_MEMBER_PREFIX = "members/"
_MAX_REPLAYED = 200
_SNAPSHOT_LEASE_KEY = "duties/snapshots"
_SNAPSHOT_LEASE_S = 10.0
_SNAPSHOT_LEASE_GUARD_S = 1.0


class VmIdentity(NamedTuple):
    """A process start of a daemon that may own keys.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Number of the process start.
    """

    vm: str
    incarnation: int


class PlatformPoller(threading.Thread):
    """The thread that polls the platform and applies updates to the decision core.

    Attributes:
        incidents: Stores and reads requests of unknown outcome.
        first_read_done: Whether the first read has ended, successfully or not.
        reached_at: Monotonic seconds of the last successful read; None before the first.
    """

    def __init__(
        self,
        *,
        host: Host,
        platform: Platform,
        add_contact: Callable[[str, VmIdentity], None],
        poll_s: float,
        rng: random.Random,
    ) -> None:
        """Creates the thread without starting it.

        Args:
            host: The decision core.
            platform: The platform's services.
            add_contact: Called at registration with the control address and process start of each
                other entry VM of the cell.
            poll_s: Seconds between reads while they succeed.
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
        self._missing_reads: dict[VmIdentity, int] = {}
        self._registered = False
        self._member_prefix = f"{_MEMBER_PREFIX}{host.membership.own.cell}/"
        self._reconciled_version = -1
        self._blocks_digest = ""
        self._snapshot_number = 0
        own = host.membership.own
        self._snapshot_lease = _snapshot_lease(self._table, own)
        self.incidents = IncidentLog(objects=self._objects, vm=own.vm, incarnation=own.incarnation)
        self._log = logs.get_logger("platform")
        self.first_read_done = False
        self.reached_at: float | None = None

    def run(self) -> None:
        """Reads from the platform until stopped, with exponential backoff while it fails."""
        while True:
            try:
                self._read()
                self._failures = 0
                self.reached_at = self._host.now
            except PlatformError as error:
                self._record_failure(error)
            except Exception:
                self._log.exception("Read from the platform failed unexpectedly")
            self.first_read_done = True
            if self._stopping.wait(self._pause_s()):
                return

    def stop(self) -> None:
        """Makes the thread end after the current read."""
        self._stopping.set()

    def deregister(self) -> None:
        """Removes this entry VM's row from the table, unless a later process start wrote it.

        A failure of the platform is logged.
        """
        own = self._host.membership.own
        try:
            row = self._table.get(self._member_prefix + own.vm)
            if row is not None and row["value"]["incarnation"] == own.incarnation:
                self._table.commit([Write(row["key"], None, if_version=row["version"])])
        except PlatformError as error:
            self._log.warning("Cannot remove the row of this entry VM from the table: {}", error)

    def _read(self) -> None:
        if not self._registered:
            self._register()
        self._store_incidents()
        self._reconcile_rows_if_needed()
        if not self.is_reader():
            self._load_blocks()
            return
        self._read_tickets()
        self._read_vm_list()
        self._load_blocks()
        self._write_snapshot()

    def is_reader(self) -> bool:
        """Returns whether this daemon reads for its failure domain.

        A daemon without a ticket in force always reads.
        """
        with self._host.lock:
            own = self._host.membership.own
            members = [
                member.vm
                for member in self._host.membership.serving()
                if member.failure_domain == own.failure_domain
            ]
        ranked = hashing.rank(key=f"reader/{own.failure_domain}", members=members)
        return own.vm in ranked[:_READERS_PER_DOMAIN] or self._host.state.number == 0

    def _register(self) -> None:
        own = self._host.membership.own
        prefix = self._member_prefix
        value = {"incarnation": own.incarnation, "control_address": own.control_address}
        self._table.commit([Write(prefix + own.vm, value)])
        for row in self._table.scan(prefix):
            vm = row["key"][len(prefix) :]
            if vm != own.vm:
                identity = VmIdentity(vm, int(row["value"]["incarnation"]))
                self._host.record_cell_member(vm, identity.incarnation)
                self._add_contact(str(row["value"]["control_address"]), identity)
        self._registered = True

    def _read_tickets(self) -> None:
        held = self._host.ticket_log.highest_held
        last_number = self._tickets.last_number()
        if last_number - held > _MAX_REPLAYED or (held == 0 and last_number > SNAPSHOT_INTERVAL):
            self._host.apply_snapshot(self._tickets.load_state())
        while self._host.ticket_log.highest_held < last_number:
            tickets = self._tickets.read_after(self._host.ticket_log.highest_held)
            if not tickets:
                return
            self._host.add_tickets(tickets)

    def _read_vm_list(self) -> None:
        listed = self._vm_list.read()
        if not listed:
            return
        leaving = sorted(vm["name"] for vm in listed if vm["state"] == "leaving")
        targets = self._host.state.targets
        self._host.record_leaving_targets(
            [name for name in leaving if name in targets], spread=True
        )
        self._remove_missing(listed)

    def _remove_missing(self, listed: list[ListedVm]) -> None:
        names = {vm["name"] for vm in listed}
        missing = [identity for identity in self._removal_candidates() if identity.vm not in names]
        self._missing_reads = {
            identity: self._missing_reads.get(identity, 0) + 1 for identity in missing
        }
        for identity, count in self._missing_reads.items():
            if count >= _MISSING_READS_BEFORE_PROOF:
                self._prove_removed(identity)

    def _removal_candidates(self) -> list[VmIdentity]:
        """Returns suspected members, and holders of keys from which nothing was ever received."""
        with self._host.lock:
            suspected = [
                VmIdentity(member.vm, member.incarnation)
                for member in self._host.membership.other_members()
                if member.status is Status.SUSPECT
            ]
        unknown_holders = self._unknown_holders()
        return suspected + [
            VmIdentity(vm, incarnation) for vm, incarnation in unknown_holders.items()
        ]

    def _prove_removed(self, identity: VmIdentity) -> None:
        if self._host.record_death(identity.vm, identity.incarnation, DeathProof.VM_REMOVED):
            self._log.warning("{} is gone: the platform removed it", identity.vm)

    def _store_incidents(self) -> None:
        unstored = self._host.pop_incidents()
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
            for incident in unstored
        ]
        try:
            self.incidents.append(documents, stored_at=self._host.wall_time)
        except PlatformError:
            self._host.requeue_incidents(unstored)
            raise

    def _reconcile_rows_if_needed(self) -> None:
        """Reconciles the cell's rows if ownership changed, or while holders are unknown."""
        version = self._host.ownership.version
        if version != self._reconciled_version or self._unknown_holders():
            self._reconcile_rows()
            self._reconciled_version = version

    def _unknown_holders(self) -> dict[str, int]:
        with self._host.lock:
            return {
                vm: holder.incarnation
                for vm, holder in self._host.ownership.holders.items()
                if self._host.membership.find(vm) is None
            }

    def _reconcile_rows(self) -> None:
        """Deletes the rows of members that ended; a holder that has no row counts as ended.

        The second rule applies only to holders that are unknown to the membership.
        """
        rows = {
            row["key"][len(self._member_prefix) :]: row
            for row in self._table.scan(self._member_prefix)
        }
        with self._host.lock:
            ended = self._host.ownership.ended
        for vm, ended_member in ended.items():
            row = rows.get(vm)
            if row is not None and int(row["value"]["incarnation"]) <= ended_member.incarnation:
                self._table.commit([Write(row["key"], None, if_version=row["version"])])
        for vm, incarnation in self._unknown_holders().items():
            if vm not in rows:
                self._prove_removed(VmIdentity(vm, incarnation))

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
            self._log.error("Cannot load the map of client blocks: {}", error)
            return
        self._host.set_block_map(loaded)
        self._blocks_digest = blocks["digest"]

    def _write_snapshot(self) -> None:
        state = self._host.state
        due_number = state.number // SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL
        if due_number <= self._snapshot_number:
            return
        if not self._snapshot_lease.try_acquire(clock=lambda: self._host.now):
            return
        self._tickets.write_snapshot(state)
        self._snapshot_number = due_number

    def _record_failure(self, error: PlatformError) -> None:
        if self._failures == 0:
            self._log.warning("Platform unavailable: {}", error)
        self._failures += 1

    def _pause_s(self) -> float:
        base = self._poll_s
        if self._failures:
            base = max(base, min(_MAX_BACKOFF_S, base * 2 ** min(self._failures, _MAX_DOUBLINGS)))
        return float(base * self._rng.uniform(0.8, 1.2))


def _snapshot_lease(table: Table, own: Member) -> TableLease:
    return TableLease(
        table=table,
        key=_SNAPSHOT_LEASE_KEY,
        holder=f"{own.vm}.{own.incarnation}",
        duration_s=_SNAPSHOT_LEASE_S,
        guard_s=_SNAPSHOT_LEASE_GUARD_S,
    )
