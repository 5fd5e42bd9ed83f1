"""The known entry VMs, and the selection of those that look-ups list for callers.

A VM is listed while it is heard from, while it is present in a valid report, and for a short time
after its registration. A VM that hears from no other VM cannot distinguish its own isolation from
the loss of all others, and lists those that do not leave a notice of their absence unanswered.
"""

from collections.abc import Collection
from typing import NamedTuple

from carawaybank.addresses import is_ip_endpoint
from carawaybank.routing import callerlists
from carawaybank.routing.electorate import Electorate
from carawaybank.rows import Position
from carawaybank.siblings.absences import PRESENT_S, Absences
from carawaybank.siblings.ended import EndedVms
from carawaybank.siblings.liveness import (
    HEARTBEAT_TIMEOUT_S,
    REPORT_VALIDITY_S,
    UNHEARD_PREFIX,
    DomainReport,
    Liveness,
)
from carawaybank.siblings.weights import CONGESTED_PREFIXES, VmWeights

#: Number of VMs below which a look-up lists the caller's region instead of its failure domain.
MIN_LISTED = 2
#: Maximum number of VMs that a look-up lists.
MAX_LISTED = 64
#: Prefix of the failure domain under which reports list VMs that reach no targets. VMs of an older
#: build pass such reports on as those of a failure domain that has no VMs.
CUT_OFF_PREFIX = "no-targets/"
#: Seconds after which what is known of all VMs is old. VMs report to other regions every 1.8 s.
_ALL_HEARD_S = 5.0


class VmRecord(NamedTuple):
    """The registration of an entry VM.

    Attributes:
        vm: Its name.
        callers_address: ``IP:PORT`` to which callers connect.
        sibling_address: ``IP:PORT`` at which it receives heartbeats.
        failure_domain: Its failure domain.
        region: Its region.
        incarnation: Number of the start of its process; a higher one replaces a lower one.
        stopping: Whether it is shutting down.
        control_address: ``IP:PORT`` at which it serves the tables that it has read to siblings;
            empty if it does not.
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
    """Returns whether all addresses of a record are IP addresses with a port.

    >>> record = VmRecord("vm", "10.0.0.1:80", "10.0.0.1:90", "a1", "a", 1)
    >>> is_usable(record), is_usable(record._replace(sibling_address="10.0.0.1"))
    (True, False)
    """
    addresses = [record.callers_address, record.sibling_address]
    addresses += [record.control_address] if record.control_address else []
    return all(is_ip_endpoint(address) for address in addresses)


class Heartbeat(NamedTuple):
    """The content of the datagram that a VM repeatedly sends to its siblings.

    Attributes:
        vm: Its name.
        incarnation: Number of the start of its process.
        stopping: Whether it is shutting down.
        positions: Position up to which it has read each watched table.
        reaches_store: Whether the store responded to its last call.
        reports: Reports of readers, by failure domain, and with ``CUT_OFF_PREFIX`` reports on VMs
            that reach no targets; None if it sends none.
    """

    vm: str
    incarnation: int
    stopping: bool
    positions: dict[str, Position]
    reaches_store: bool = True
    reports: dict[str, list[DomainReport]] | None = None


class VmDirectory:
    """The known entry VMs by name, and their liveness."""

    def __init__(self, *, own: VmRecord, own_size: float = 0.0) -> None:
        """Starts with only this VM.

        Args:
            own: The record of this VM.
            own_size: Weight of this VM without congestion; 0 if its size is not stated.
        """
        self._own = own
        self.weights = VmWeights(own=own.vm, own_size=own_size)
        self.absences = Absences()
        self._records: dict[str, VmRecord] = {}
        self._registered_at: dict[str, float] = {}
        #: Time at which each VM was last known to be present.
        self._last_present_at: dict[str, float] = {}
        self._ended: EndedVms[VmRecord] = EndedVms()
        self._liveness = Liveness(own=own.vm)
        #: Whether the store responded to the last call of this VM.
        self.reaches_store = True
        self._is_cut_off = False
        #: Time until which siblings are told the VMs of a topic, by topic.
        self._reported_until: dict[str, float] = {}

    @property
    def own(self) -> VmRecord:
        """The record of this VM."""
        return self._own

    @property
    def others(self) -> list[VmRecord]:
        """The records of all other known VMs."""
        return list(self._records.values())

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all known VMs, including this one."""
        return (self._own.vm, *self._records)

    @property
    def domain_peers(self) -> list[VmRecord]:
        """The records of the other known VMs of the own failure domain."""
        domain = self._own.failure_domain
        return [record for record in self._records.values() if record.failure_domain == domain]

    @property
    def store_unreachable_at(self) -> float:
        """Last time at which this VM or another one indicated that it cannot reach the store."""
        return self._liveness.store_unreachable_at

    def record_store_unreachable(self, *, now: float) -> None:
        """Records that this VM could not reach the store until now, although it can again."""
        self._liveness.store_unreachable_at = now

    def find(self, vm: str) -> VmRecord | None:
        """Returns the record of another VM by its name, or None if it is not known."""
        return self._records.get(vm)

    def find_serving(self, vm: str, *, now: float) -> VmRecord | None:
        """Returns the record of another VM that may be serving callers, or None.

        A VM that stops removes its registration first and then serves on for its stop time.
        """
        return self._records.get(vm) or self._ended.find_serving(vm, now=now)

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Records whether this VM has lost its paths to the targets of all services."""
        self._is_cut_off = is_cut_off

    def is_cut_off(self, vm: str, *, now: float) -> bool:
        """Returns whether a VM is known to reach no targets."""
        if vm == self._own.vm:
            return self._is_cut_off
        record = self._records.get(vm)
        domain = record.failure_domain if record else ""
        return self._liveness.is_reported(CUT_OFF_PREFIX + domain, vm, now=now)

    def cut_off_vms(self, *, now: float) -> frozenset[str]:
        """Returns the names of the other VMs that are known to reach no targets."""
        named = self._liveness.reported(CUT_OFF_PREFIX, now=now)
        return frozenset(vm for vm in named if vm in self._records and self.is_cut_off(vm, now=now))

    def cut_off_reports(self, *, now: float, is_reader: bool) -> dict[str, list[DomainReport]]:
        """Returns the report of this VM on VMs that reach no targets; empty if there are none.

        Args:
            now: Monotonic seconds.
            is_reader: Whether this VM is a reader of its failure domain.
        """
        return self._topic_reports(
            CUT_OFF_PREFIX, includes_own=self._is_cut_off, now=now, is_reader=is_reader
        )

    def state_reports(self, *, now: float, is_reader: bool) -> dict[str, list[DomainReport]]:
        """Returns the reports of this VM on VMs that reach no targets, are congested or unheard.

        Args:
            now: Monotonic seconds.
            is_reader: Whether this VM is a reader of its failure domain.
        """
        reports = self.cut_off_reports(now=now, is_reader=is_reader)
        for level, prefix in enumerate(CONGESTED_PREFIXES, start=1):
            is_reached = self.weights.own_level >= level
            reports |= self._topic_reports(
                prefix, includes_own=is_reached, now=now, is_reader=is_reader
            )
        return reports | self._unheard_reports(now=now, is_reader=is_reader)

    def _unheard_reports(self, *, now: float, is_reader: bool) -> dict[str, list[DomainReport]]:
        """Returns the report of a reader on VMs that it neither hears nor lists as absent."""
        if not is_reader:
            return {}
        peers = [record.vm for record in self.domain_peers]
        unheard = self._liveness.unheard(peers, now=now)
        unheard -= set(self.own_report(now=now).absent)
        return self._topic_report(UNHEARD_PREFIX + self._own.failure_domain, unheard, now=now)

    def _topic_reports(
        self, prefix: str, *, includes_own: bool, now: float, is_reader: bool
    ) -> dict[str, list[DomainReport]]:
        """Returns the report of this VM on a topic; empty if it has nothing to report.

        A reader lists those of its failure domain that say so themselves.
        """
        topic = prefix + self._own.failure_domain
        names = {self._own.vm} if includes_own else set()
        if is_reader:
            names |= self._liveness.self_reported(topic, now=now)
        return self._topic_report(topic, names, now=now)

    def _topic_report(
        self, topic: str, names: set[str], *, now: float
    ) -> dict[str, list[DomainReport]]:
        """Returns a report that lists VMs, or its end as long as older reports are valid."""
        if names:
            self._reported_until[topic] = now + REPORT_VALIDITY_S
        if now > self._reported_until.get(topic, float("-inf")):
            return {}
        return {topic: [DomainReport(self._own.vm, 0.0, tuple(sorted(names)))]}

    def start_new_incarnation(self) -> None:
        """Increments the incarnation of this VM, for siblings that consider it ended."""
        self._own = self._own._replace(incarnation=self._own.incarnation + 1)

    def stop(self) -> None:
        """Marks the record of this VM as stopping."""
        self._own = self._own._replace(stopping=True)

    def readers(self, *, now: float) -> list[VmRecord]:
        """Returns the VMs that read the store for the own failure domain.

        This VM may be one of them.
        """
        members = [record.vm for record in [self._own, *self.domain_peers] if not record.stopping]
        self._liveness.record_heartbeat(self._own.vm, reaches_store=self.reaches_store, now=now)
        names = self._liveness.readers(members, now=now)
        return [self._own if name == self._own.vm else self._records[name] for name in names]

    def remote_readers(self, *, now: float) -> list[VmRecord]:
        """Returns the VMs that are probably the readers of all other failure domains."""
        by_domain: dict[str, list[str]] = {}
        for record in self._records.values():
            if record.failure_domain != self._own.failure_domain and not record.stopping:
                by_domain.setdefault(record.failure_domain, []).append(record.vm)
        return [
            self._records[name]
            for domain, members in by_domain.items()
            for name in self._liveness.remote_readers(domain, members, now)
        ]

    def make_heartbeat(
        self,
        positions: dict[str, Position],
        reports: dict[str, list[DomainReport]] | None = None,
    ) -> Heartbeat:
        """Returns a heartbeat of this VM with the given positions and reports."""
        own = self._own
        return Heartbeat(
            own.vm, own.incarnation, own.stopping, positions, self.reaches_store, reports
        )

    def own_report(self, *, now: float) -> DomainReport:
        """Returns the report of this VM, as a reader, on its failure domain.

        Newly registered VMs are not reported as absent.
        """
        domain_peers = self.domain_peers
        stopping = [record.vm for record in domain_peers if record.stopping]
        if self._own.stopping:
            stopping.append(self._own.vm)
        established = [
            record.vm for record in domain_peers if not self.is_newly_registered(record.vm, now=now)
        ]
        return self._liveness.report(established, stopping=stopping, now=now)

    def known_reports(self, *, now: float) -> dict[str, list[DomainReport]]:
        """Returns the valid reports of other readers, by failure domain."""
        return self._liveness.valid_reports(now=now)

    def update(self, record: VmRecord, *, now: float) -> bool:
        """Applies a VM's registration or heartbeat; returns whether its record changed.

        An older incarnation is ignored. An incarnation that stops or has ended stays stopping.
        """
        if record.vm == self._own.vm:
            return False
        known = self._records.get(record.vm)
        if known is not None and record.incarnation < known.incarnation:
            return False
        if known is not None and known.incarnation == record.incarnation and known.stopping:
            record = record._replace(stopping=True)
        if self._ended.has_ended(record):
            record = record._replace(stopping=True)
        if known == record:
            return False
        self._records[record.vm] = record
        if known is None or record.incarnation > known.incarnation:
            self._registered_at[record.vm] = now
        return True

    def remove(self, vm: str, *, now: float, has_ended: bool) -> None:
        """Removes a VM whose registration is gone, unless it is alive and not stopping.

        Args:
            vm: Its name.
            now: Monotonic seconds.
            has_ended: Whether the VM itself removed its registration. This incarnation is then not
                listed again.
        """
        record = self._records.get(vm)
        if record is not None and (record.stopping or not self.is_alive(record, now=now)):
            del self._records[vm]
            self._registered_at.pop(vm, None)
            self._last_present_at.pop(vm, None)
            self._liveness.forget(vm)
            if has_ended:
                self._ended.record(record, now=now)

    def record_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> VmRecord | None:
        """Records a heartbeat and its reports; returns the VM's record if that changed.

        Heartbeats of unknown VMs and of older incarnations are ignored.
        """
        record = self._records.get(heartbeat.vm)
        if record is None or heartbeat.incarnation < record.incarnation:
            return None
        self._liveness.record_heartbeat(
            heartbeat.vm, reaches_store=heartbeat.reaches_store, now=now
        )
        for domain, reports in (heartbeat.reports or {}).items():
            for report in reports:
                if report.reporter != self._own.vm:
                    self._liveness.apply_report(domain, report, now=now)
        changed = record._replace(incarnation=heartbeat.incarnation, stopping=heartbeat.stopping)
        return changed if self.update(changed, now=now) else None

    def is_alive(self, record: VmRecord, *, now: float) -> bool:
        """Returns whether a VM is heard from, reported as present, or newly registered."""
        is_absent = self.absences.is_confirmed(record.vm, record.incarnation)
        if self.is_newly_registered(record.vm, now=now) and not is_absent:
            return True
        return self._liveness.is_alive(record.vm, record.failure_domain, now=now)

    def is_present(self, record: VmRecord, *, now: float) -> bool:
        """Returns whether this VM or a reader has heard from a VM.

        While readers are replaced or a domain is cut off, there is no report on it for a time.
        """
        known_at = self._present_at(record, now)
        if known_at > float("-inf"):
            self._last_present_at[record.vm] = known_at
            return True
        last_at = self._last_present_at.get(record.vm, float("-inf"))
        return now - last_at <= PRESENT_S and not self.has_report(record, now=now)

    def present_part(self, *, now: float) -> float:
        """Returns the part of all registered VMs that are present and not noticed as absent."""
        present = 1 + sum(
            self.absences.find(record.vm, record.incarnation) is None
            and self.is_present(record, now=now)
            for record in self._records.values()
        )
        return present / (1 + len(self._records))

    def _present_at(self, record: VmRecord, now: float) -> float:
        return self._liveness.present_at(record.vm, record.failure_domain, now=now)

    def has_report(self, record: VmRecord, *, now: float) -> bool:
        """Returns whether a valid report says if a VM is absent."""
        return self._liveness.has_report(record.failure_domain, now=now)

    def last_heartbeat_age_s(self, vm: str, *, now: float) -> float | None:
        """Returns the seconds since the last heartbeat of a VM, or None if there was none."""
        return self._liveness.last_heartbeat_age_s(vm, now=now)

    def is_heard(self, record: VmRecord, *, now: float) -> bool:
        """Returns whether a heartbeat of a VM arrived recently, whatever reports say."""
        return self._liveness.is_heard(record.vm, now=now)

    def hears_all(self, *, now: float) -> bool:
        """Returns whether this VM or a reader hears each VM that is registered and not stopping."""
        return now - self._all_present_at(now) <= _ALL_HEARD_S

    def _all_present_at(self, now: float) -> float:
        """Returns when all VMs were present, as far as is known; ``-inf`` if one is not."""
        running = (record for record in self._records.values() if not record.stopping)
        return min((self._present_at(record, now) for record in running), default=now)

    def electorate(self, *, now: float) -> Electorate:
        """Returns the VMs of which more than half have to be heard by one that owns allotments."""
        self.absences.record_all_present(at=self._all_present_at(now))
        registered = {record.vm: record.incarnation for record in [self._own, *self.others]}
        return self.absences.electorate(registered, now=now)

    def is_in_own_region(self, record: VmRecord) -> bool:
        """Returns whether a VM is in the own region."""
        return record.region == self._own.region

    def select_for_caller(
        self,
        failure_domain: str,
        region: str,
        *,
        now: float,
        allowed_regions: Collection[str] | None = None,
        caller: str = "",
    ) -> list[VmRecord]:
        """Returns the VMs that callers of a failure domain should use, at most ``MAX_LISTED``.

        These are the VMs of the failure domain, of the region if those are too few, or all VMs if
        there is none in the region. VMs that reach no targets are returned only if there is no
        other one that the caller may use. If VMs state different weights, those that are returned
        depend on the caller.

        Args:
            failure_domain: Failure domain of the caller; empty if unknown.
            region: Region of the caller; empty if unknown.
            now: Monotonic seconds.
            allowed_regions: Regions outside the caller's whose VMs may receive its requests; None
                for all.
            caller: Address of the caller; empty for one that gets VMs regardless of their weights.
        """
        listed = [record for record in self._candidates(now) if not record.stopping]
        reaching = [record for record in listed if not self.is_cut_off(record.vm, now=now)]
        if allowed_regions is not None:
            reaching = [r for r in reaching if r.region == region or r.region in allowed_regions]
        listed = reaching or listed
        nearest = [record for record in listed if record.failure_domain == failure_domain]
        if len(nearest) < MIN_LISTED:
            nearest = [record for record in listed if record.region == region] or nearest
        return self._select_by_weight(nearest or listed, caller, now)[:MAX_LISTED]

    def _select_by_weight(self, records: list[VmRecord], caller: str, now: float) -> list[VmRecord]:
        if not caller or not self.weights.any_stated:
            return records
        weights = {
            record.vm: self.weights.reduce(
                self.weights.size(record.vm), self._congestion_level(record, now)
            )
            for record in records
        }
        names = callerlists.select(caller, weights, max_listed=MAX_LISTED)
        return [record for record in records if record.vm in names]

    def _congestion_level(self, record: VmRecord, now: float) -> int:
        """Returns the level of congestion that a VM is known to have."""
        if record.vm == self._own.vm:
            return self.weights.own_level
        topics = (prefix + record.failure_domain for prefix in CONGESTED_PREFIXES)
        return sum(self._liveness.is_reported(topic, record.vm, now=now) for topic in topics)

    def is_newly_registered(self, vm: str, *, now: float) -> bool:
        """Returns whether a VM registered too recently to be missed."""
        return now - self._registered_at.get(vm, float("-inf")) <= HEARTBEAT_TIMEOUT_S

    def _candidates(self, now: float) -> list[VmRecord]:
        alive = [record for record in self._records.values() if self.is_alive(record, now=now)]
        if not alive:
            alive = [
                record
                for record in self._records.values()
                if not self.absences.is_unanswered(record.vm, record.incarnation, now=now)
            ]
        return [self._own, *alive]
