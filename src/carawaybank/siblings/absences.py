"""Notices in the store that a registered entry VM is absent.

Load pattern: machines are lost for good, most of them at once or one after the other, while others
freeze, restart, or are cut off from their siblings and still reach the store.

A VM that misses another one writes a notice. The VM that is missed removes it, or one that still
hears it does. A notice that stands for ``CONFIRM_S`` is confirmed: the VM then no longer counts
towards a majority, although it stays registered, and shares of limits still allow for it, for
``REMOVAL_S``. Each step is a transaction on the rows of the step before, so that a denial and a
confirmation cannot both succeed.

Two sides of a cut must not both take themselves for the majority. A side that does not reach the
store cannot deny its absence. It counts on itself for ``RECENT_S`` after it last read the store,
and on a VM that does not deny a notice for ``DENIAL_S``; both together, and a round of updates, are
less than ``CONFIRM_S``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.routing.electorate import Electorate
from carawaybank.rows import Row

#: Prefix of the keys of notices in the shared table; the names of VMs follow.
KEY_PREFIX = "vm-absent/"
#: Seconds within which a VM that reaches the store denies its absence.
DENIAL_S = 2.0
#: Seconds for which what a VM read of the notices is recent.
RECENT_S = 2.8
#: Seconds for which it counts that a VM was present, or all of them were.
PRESENT_S = 6.4
#: Seconds after which a notice that was not denied is confirmed.
CONFIRM_S = 7.0
#: Seconds after the confirmation before the registration is removed. A VM that is cut off from the
#: store and its siblings still uses its part of the limits of targets meanwhile.
REMOVAL_S = 600.0


class AbsenceNotice(NamedTuple):
    """The value of a row.

    Attributes:
        incarnation: Number of the start of the process that is missed.
        is_confirmed: Whether the absence was not denied in time.
        reporter: The VM that wrote the row.
    """

    incarnation: int
    is_confirmed: bool
    reporter: str


class KnownNotice(NamedTuple):
    """A notice that stands.

    Attributes:
        notice: The content of the row.
        version: Version of the row.
        seen_at: Time in monotonic seconds at which this VM first saw this version.
        is_late: Whether it may have stood for long before, because what this VM knew of the store
            was not recent.
    """

    notice: AbsenceNotice
    version: int
    seen_at: float
    is_late: bool


class Absences:
    """The notices that stand, as last read from the store.

    >>> import msgspec
    >>> absences = Absences()
    >>> row = Row("b", msgspec.json.encode(AbsenceNotice(7, False, "a")), 3, removed=False)
    >>> _ = absences.apply([row], is_full=False, now=10.0)
    >>> [absences.is_unanswered("b", 7, now=now) for now in (11.0, 12.0)]
    [False, True]
    >>> absences.is_unanswered("b", 8, now=12.0)
    False
    """

    def __init__(self) -> None:
        """Starts without notices."""
        self._notices: dict[str, KnownNotice] = {}
        #: Time of the last direct read, and time at which all VMs were last known to be present.
        self._read_at = float("-inf")
        self._all_present_at = float("-inf")
        #: Version of the store of the last direct read; rows of the watch may be older.
        self._read_version = 0

    @property
    def notices(self) -> dict[str, KnownNotice]:
        """The notices that stand, by the name of the VM that is missed."""
        return dict(self._notices)

    @property
    def recent_until(self) -> float:
        """Time until which the notices known are recent."""
        return max(self._read_at + RECENT_S, self._all_present_at + PRESENT_S)

    def find(self, vm: str, incarnation: int) -> KnownNotice | None:
        """Returns the notice on an incarnation of a VM, or None; a later start ends a notice."""
        known = self._notices.get(vm)
        if known is None or known.notice.incarnation < incarnation:
            return None
        return known

    def is_confirmed(self, vm: str, incarnation: int) -> bool:
        """Returns whether the absence of an incarnation of a VM is confirmed."""
        known = self.find(vm, incarnation)
        return known is not None and known.notice.is_confirmed

    def is_unanswered(self, vm: str, incarnation: int, *, now: float) -> bool:
        """Returns whether a VM did not deny its absence in time."""
        known = self.find(vm, incarnation)
        return known is not None and (known.notice.is_confirmed or now - known.seen_at >= DENIAL_S)

    def electorate(self, registered: Mapping[str, int], *, now: float) -> Electorate:
        """Returns the VMs that count towards a majority.

        A confirmed absence ends only with its notice, which all VMs read, not with a later start.

        Args:
            registered: Incarnations of all registered VMs by name.
            now: Current time in monotonic seconds.
        """
        confirmed = {vm for vm, known in self._notices.items() if known.notice.is_confirmed}
        doubted = {
            vm
            for vm, incarnation in registered.items()
            if (known := self.find(vm, incarnation))
            and (known.is_late or self.is_unanswered(vm, incarnation, now=now))
        }
        confirmed_at = [self._notices[vm].seen_at for vm in confirmed & registered.keys()]
        return Electorate(
            frozenset(registered.keys() - confirmed),
            len(registered),
            frozenset(doubted),
            self.recent_until,
            max(confirmed_at, default=float("-inf")),
        )

    def record_all_present(self, *, at: float) -> None:
        """Records that all VMs were present at a time, so that none was missed before."""
        self._all_present_at = max(self._all_present_at, at)

    def apply(self, rows: list[Row], *, is_full: bool, now: float) -> list[str]:
        """Applies changed rows, or all rows, whose keys are the names of VMs.

        Args:
            rows: The rows.
            is_full: Whether these are all rows, so that other notices are gone.
            now: Current time in monotonic seconds.

        Returns:
            The rows that could not be read, with the reason.
        """
        faults = []
        if is_full:
            present = {row.key for row in rows}
            self._notices = {vm: each for vm, each in self._notices.items() if vm in present}
            self._read_version = 0
        for row in rows:
            if row.version <= self._read_version:
                continue
            try:
                self._apply_row(row, now)
            except DocumentError as error:
                faults.append(f"{row.key}: {error}")
        return faults

    def apply_read(self, rows: list[Row], version: int, *, sent_at: float, now: float) -> None:
        """Applies all rows as the store has them.

        Args:
            rows: All rows; their keys are the names of VMs.
            version: Version of the store.
            sent_at: Time in monotonic seconds at which the call was sent.
            now: Current time in monotonic seconds.
        """
        self.apply(rows, is_full=True, now=now)
        self._read_version = version
        self._read_at = max(self._read_at, sent_at)

    def _apply_row(self, row: Row, now: float) -> None:
        if row.removed:
            self._notices.pop(row.key, None)
            return
        notice = decode_message(row.value, AbsenceNotice, source="absence")
        known = self._notices.get(row.key)
        if known is not None and known.version == row.version:
            return
        is_late = now > self.recent_until
        self._notices[row.key] = KnownNotice(notice, row.version, now, is_late)
