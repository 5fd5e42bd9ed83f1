"""The entry VMs that are known, and which of them callers are told to use.

A VM is listed while its heartbeats arrive, or for a short time after it registered. A VM that
hears nobody cannot tell its own isolation from the loss of the others and lists them all.
"""

from typing import NamedTuple

#: Seconds without a heartbeat after which a VM of the own region is not listed any more.
SILENCE_LIMIT_S = 2.5
#: The same for VMs of other regions, whose heartbeats come less often.
REMOTE_SILENCE_LIMIT_S = 5.0
#: Fewest VMs that a look-up names, if there are so many in the caller's region.
FEWEST_LISTED = 2
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
    """

    vm: str
    callers_address: str
    sibling_address: str
    failure_domain: str
    region: str
    incarnation: int
    stopping: bool = False


class Heartbeat(NamedTuple):
    """What a VM tells its siblings again and again.

    Attributes:
        vm: Its name.
        incarnation: Start of its process.
        stopping: Whether it is shutting down.
        versions: Newest version that it read of each watched table.
    """

    vm: str
    incarnation: int
    stopping: bool
    versions: dict[str, int]


class VmDirectory:
    """Entry VMs by name, with the time at which each was heard last."""

    def __init__(self, *, own: VmRecord) -> None:
        """Starts with this VM alone.

        Args:
            own: The record of this VM.
        """
        self._own = own
        self._records: dict[str, VmRecord] = {}
        self._heard: dict[str, float] = {}

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

    def stop(self) -> None:
        """Records that this VM is shutting down."""
        self._own = self._own._replace(stopping=True)

    def beat(self, versions: dict[str, int]) -> Heartbeat:
        """Returns this VM's heartbeat."""
        return Heartbeat(self._own.vm, self._own.incarnation, self._own.stopping, versions)

    def update(self, record: VmRecord, *, now: float) -> bool:
        """Takes a VM's registration or its own word; returns whether it was news."""
        if record.vm == self._own.vm:
            return False
        known = self._records.get(record.vm)
        if known is not None and record.incarnation < known.incarnation:
            return False
        if known is not None and known.incarnation == record.incarnation and known.stopping:
            record = record._replace(stopping=True)
        if known == record:
            return False
        self._records[record.vm] = record
        if known is None or record.incarnation > known.incarnation:
            self._heard[record.vm] = now
        return True

    def remove(self, vm: str, *, now: float) -> None:
        """Forgets a VM whose registration was removed, unless it is still heard."""
        if not self.is_heard(vm, now=now) or self._records[vm].stopping:
            self._records.pop(vm, None)
            self._heard.pop(vm, None)

    def hear(self, beat: Heartbeat, *, now: float) -> VmRecord | None:
        """Records a heartbeat; returns the VM's record if the heartbeat changed it."""
        record = self._records.get(beat.vm)
        if record is None or beat.incarnation < record.incarnation:
            return None
        self._heard[beat.vm] = now
        changed = record._replace(incarnation=beat.incarnation, stopping=beat.stopping)
        return changed if self.update(changed, now=now) else None

    def is_heard(self, vm: str, *, now: float) -> bool:
        """Returns whether a VM's heartbeats arrive."""
        record = self._records.get(vm)
        if record is None:
            return False
        limit_s = SILENCE_LIMIT_S if self.is_near(record) else REMOTE_SILENCE_LIMIT_S
        return now - self._heard.get(vm, float("-inf")) <= limit_s

    def silent_s(self, vm: str, *, now: float) -> float | None:
        """Returns the seconds since a VM was heard, or None if it never was."""
        heard_at = self._heard.get(vm)
        return None if heard_at is None else now - heard_at

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

    def _listed(self, now: float) -> list[VmRecord]:
        heard = [record for record in self._records.values() if self.is_heard(record.vm, now=now)]
        if not heard:
            heard = list(self._records.values())
        return [self._own, *heard]
