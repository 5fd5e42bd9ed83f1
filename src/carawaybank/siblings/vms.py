"""The entry VMs that are known, and which of them callers are told to use.

A VM is listed while it is heard or a report has it, or for a short time after it registered. A VM
that hears nobody cannot tell its own isolation from the loss of the others and lists them all.
"""

from typing import NamedTuple

from carawaybank.rows import Position
from carawaybank.siblings.liveness import SILENCE_LIMIT_S, DomainReport, Liveness

#: Fewest VMs that a look-up names, if there are so many in the caller's region.
FEWEST_LISTED = 2
_PORTS = 65_536
#: VMs that ended and are remembered, so that an older copy of the store does not bring them back.
_MOST_ENDED = 4_096
#: Most VMs that a look-up names.
MOST_LISTED = 64


class VmRecord(NamedTuple):
    """An entry VM.

    Attributes:
        vm: Its name.
        callers_address: Where callers connect.
        sibling_address: ``IP:PORT`` of its heartbeats.
        failure_domain: Its failure domain.
        region: Its region.
        incarnation: Start of its process; a higher one replaces a lower one.
        stopping: Whether it is shutting down.
        control_address: Where siblings read the tables that it has read; empty if nowhere.
    """

    vm: str
    callers_address: str
    sibling_address: str
    failure_domain: str
    region: str
    incarnation: int
    stopping: bool = False
    control_address: str = ""


def is_usable(record: VmRecord) -> bool:
    """Returns whether the addresses of a record can be used.

    >>> record = VmRecord("vm", "10.0.0.1:80", "10.0.0.1:90", "a1", "a", 1)
    >>> is_usable(record), is_usable(record._replace(sibling_address="10.0.0.1"))
    (True, False)
    """
    addresses = [record.callers_address, record.sibling_address]
    addresses += [record.control_address] if record.control_address else []
    parts = [address.rpartition(":") for address in addresses]
    return all(
        host and port.isascii() and port.isdigit() and 0 < int(port) < _PORTS
        for host, _, port in parts
    )


class Heartbeat(NamedTuple):
    """What a VM tells its siblings again and again.

    Attributes:
        vm: Its name.
        incarnation: Start of its process.
        stopping: Whether it is shutting down.
        positions: How far it read each watched table.
        reaches_store: Whether the store answered its last call.
        reports: What readers say of the VMs of each failure domain.
    """

    vm: str
    incarnation: int
    stopping: bool
    positions: dict[str, Position]
    reaches_store: bool = True
    reports: dict[str, list[DomainReport]] | None = None


class VmDirectory:
    """Entry VMs by name, and which of them are alive."""

    def __init__(self, *, own: VmRecord) -> None:
        """Starts with this VM alone.

        Args:
            own: The record of this VM.
        """
        self._own = own
        self._records: dict[str, VmRecord] = {}
        self._registered: dict[str, float] = {}
        #: The incarnations of VMs that ended and whose registration was removed.
        self._ended: dict[str, int] = {}
        self._liveness = Liveness(own=own.vm)
        #: Whether the store answered this VM's last call.
        self.reaches_store = True

    @property
    def own(self) -> VmRecord:
        """The record of this VM."""
        return self._own

    @property
    def others(self) -> list[VmRecord]:
        """All other known VMs."""
        return list(self._records.values())

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all known VMs, this one included."""
        return (self._own.vm, *self._records)

    @property
    def mates(self) -> list[VmRecord]:
        """The other known VMs of the own failure domain."""
        domain = self._own.failure_domain
        return [record for record in self._records.values() if record.failure_domain == domain]

    @property
    def store_missed_at(self) -> float:
        """Time at which this VM or another one said last that it does not reach the store."""
        return self._liveness.store_missed_at

    def renew(self) -> None:
        """Starts another incarnation of this VM, for siblings that took it to have ended."""
        self._own = self._own._replace(incarnation=self._own.incarnation + 1)

    def stop(self) -> None:
        """Records that this VM is shutting down."""
        self._own = self._own._replace(stopping=True)

    def readers(self, *, now: float) -> list[VmRecord]:
        """Returns the VMs that read the store for the own failure domain."""
        members = [record.vm for record in [self._own, *self.mates] if not record.stopping]
        self._liveness.hear(self._own.vm, reaches_store=self.reaches_store, now=now)
        names = self._liveness.readers(members, now=now)
        return [self._own if name == self._own.vm else self._records[name] for name in names]

    def remote_readers(self, *, now: float) -> list[VmRecord]:
        """Returns the probable readers of all other failure domains."""
        by_domain: dict[str, list[str]] = {}
        for record in self._records.values():
            if record.failure_domain != self._own.failure_domain and not record.stopping:
                by_domain.setdefault(record.failure_domain, []).append(record.vm)
        return [
            self._records[name]
            for domain, members in by_domain.items()
            for name in self._liveness.remote_readers(domain, members, now)
        ]

    def beat(
        self,
        positions: dict[str, Position],
        reports: dict[str, list[DomainReport]] | None = None,
    ) -> Heartbeat:
        """Returns this VM's heartbeat."""
        own = self._own
        return Heartbeat(
            own.vm, own.incarnation, own.stopping, positions, self.reaches_store, reports
        )

    def own_report(self, *, now: float) -> DomainReport:
        """Returns what this VM, as a reader, says of its failure domain."""
        mates = self.mates
        stopping = [record.vm for record in mates if record.stopping]
        if self._own.stopping:
            stopping.append(self._own.vm)
        fresh = [record.vm for record in mates if not self._is_new(record.vm, now)]
        return self._liveness.report(fresh, stopping=stopping, now=now)

    def known_reports(self, *, now: float) -> dict[str, list[DomainReport]]:
        """Returns the reports of other readers that still count."""
        return self._liveness.fresh_reports(now=now)

    def update(self, record: VmRecord, *, now: float) -> bool:
        """Takes a VM's registration or its own word; returns whether it was news."""
        if record.vm == self._own.vm:
            return False
        known = self._records.get(record.vm)
        if known is not None and record.incarnation < known.incarnation:
            return False
        if known is not None and known.incarnation == record.incarnation and known.stopping:
            record = record._replace(stopping=True)
        if record.incarnation == self._ended.get(record.vm):
            record = record._replace(stopping=True)
        if known == record:
            return False
        self._records[record.vm] = record
        if known is None or record.incarnation > known.incarnation:
            self._registered[record.vm] = now
        return True

    def remove(self, vm: str, *, now: float, has_ended: bool) -> None:
        """Forgets a VM whose registration is gone, unless it is still heard.

        Args:
            vm: Its name.
            now: Monotonic seconds.
            has_ended: Whether it removed the registration itself; this incarnation does not come
                back then.
        """
        record = self._records.get(vm)
        if record is not None and (record.stopping or not self.is_alive(record, now=now)):
            del self._records[vm]
            self._registered.pop(vm, None)
            self._liveness.forget(vm)
            if has_ended:
                self._note_ended(record)

    def _note_ended(self, record: VmRecord) -> None:
        self._ended[record.vm] = record.incarnation
        if len(self._ended) > _MOST_ENDED:
            del self._ended[next(iter(self._ended))]

    def hear(self, beat: Heartbeat, *, now: float) -> VmRecord | None:
        """Records a heartbeat; returns the VM's record if the heartbeat changed it."""
        record = self._records.get(beat.vm)
        if record is None or beat.incarnation < record.incarnation:
            return None
        self._liveness.hear(beat.vm, reaches_store=beat.reaches_store, now=now)
        for domain, reports in (beat.reports or {}).items():
            for report in reports:
                if report.reporter != self._own.vm:
                    self._liveness.take_report(domain, report, now=now)
        changed = record._replace(incarnation=beat.incarnation, stopping=beat.stopping)
        return changed if self.update(changed, now=now) else None

    def is_alive(self, record: VmRecord, *, now: float) -> bool:
        """Returns whether a VM is heard, reported, or new."""
        if self._is_new(record.vm, now):
            return True
        return self._liveness.is_alive(record.vm, record.failure_domain, now=now)

    def silent_s(self, vm: str, *, now: float) -> float | None:
        """Returns the seconds since a VM was heard itself, or None if it never was."""
        return self._liveness.silent_s(vm, now=now)

    def is_near(self, record: VmRecord) -> bool:
        """Returns whether a VM is of the own region."""
        return record.region == self._own.region

    def find(self, failure_domain: str, region: str, *, now: float) -> list[VmRecord]:
        """Returns the VMs that callers of a failure domain should use, the nearest alone."""
        listed = [record for record in self._listed(now) if not record.stopping]
        near = [record for record in listed if record.failure_domain == failure_domain]
        if len(near) < FEWEST_LISTED:
            near = [record for record in listed if record.region == region] or near
        return (near or listed)[:MOST_LISTED]

    def _is_new(self, vm: str, now: float) -> bool:
        return now - self._registered.get(vm, float("-inf")) <= SILENCE_LIMIT_S

    def _listed(self, now: float) -> list[VmRecord]:
        alive = [record for record in self._records.values() if self.is_alive(record, now=now)]
        if not alive:
            alive = list(self._records.values())
        return [self._own, *alive]
