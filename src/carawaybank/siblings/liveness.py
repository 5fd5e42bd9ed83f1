"""Which entry VMs are alive, at a cost for each that does not grow with their number.

Two VMs of each failure domain, its readers, hear all others of it, read the store for them and
exchange reports with the readers of the other failure domains. Readers come first by rendezvous
hash among the VMs that are heard; nobody elects them. Two VMs that disagree for a moment read
twice or hear less, and a VM that one report misses counts as alive while another has it.

Load pattern: all VMs start at once, or a failure domain loses power while the others are busy.
"""

from collections.abc import Iterable
from typing import NamedTuple

from carawaybank.steering import hashing

#: Readers of a failure domain.
READERS = 2
#: Seconds without a heartbeat after which a reader is replaced by the next; two may be lost.
READER_SILENCE_S = 1.5
#: Seconds without a heartbeat after which a VM of the own failure domain is absent; three may be
#: lost.
SILENCE_LIMIT_S = 2.4
#: Seconds for which a report on another failure domain counts. A VM that ended must not be named
#: 7 s later (the platform's bound), of which its readers take 3.
REPORT_LIMIT_S = 5.0


class DomainReport(NamedTuple):
    """What a reader of a failure domain says of its VMs.

    Attributes:
        reporter: The reader.
        age_s: Seconds since it said so.
        absent: Registered VMs that it does not hear, or that stop.
    """

    reporter: str
    age_s: float
    absent: tuple[str, ...]


class _Report(NamedTuple):
    made_at: float
    absent: frozenset[str]


class Liveness:
    """What one entry VM heard of the others, directly and by reports.

    >>> liveness = Liveness(own="a")
    >>> liveness.readers(["a"], now=0.0)
    ['a']
    """

    def __init__(self, *, own: str) -> None:
        """Starts without having heard anybody.

        Args:
            own: Name of this VM.
        """
        self._own = own
        self._heard: dict[str, float] = {}
        self._without_store: set[str] = set()
        self._expected: dict[str, float] = {}
        self._reports: dict[str, dict[str, _Report]] = {}
        self._reader_since: float | None = None
        #: Time at which a VM said last that it does not reach the store.
        self.store_missed_at = float("-inf")

    def hear(self, vm: str, *, reaches_store: bool, now: float) -> None:
        """Records a heartbeat."""
        self._heard[vm] = now
        if reaches_store:
            self._without_store.discard(vm)
        else:
            self._without_store.add(vm)
            self.store_missed_at = now

    def forget(self, vm: str) -> None:
        """Forgets a VM that is registered no more."""
        self._heard.pop(vm, None)
        self._without_store.discard(vm)

    def silent_s(self, vm: str, *, now: float) -> float | None:
        """Returns the seconds since a VM was heard, or None if it never was."""
        heard_at = self._heard.get(vm)
        return None if heard_at is None else now - heard_at

    def is_heard(self, vm: str, *, now: float) -> bool:
        """Returns whether a VM's own heartbeats arrive."""
        silent_s = self.silent_s(vm, now=now)
        return silent_s is not None and silent_s <= SILENCE_LIMIT_S

    def is_alive(self, vm: str, failure_domain: str, *, now: float) -> bool:
        """Returns whether a VM is heard, or present in a report that counts."""
        if vm == self._own or self.is_heard(vm, now=now):
            return True
        reports = self._fresh_reports(failure_domain, now)
        return any(vm not in report.absent for report in reports)

    def readers(self, members: Iterable[str], *, now: float) -> list[str]:
        """Returns the readers of the own failure domain.

        Args:
            members: Its VMs that do not stop, this one included.
            now: Monotonic seconds.
        """
        order = hashing.rank(key="readers", members=members)
        found: list[str] = []
        passed_over: list[str] = []
        looked_at: set[str] = set()
        for vm in order:
            if len(found) == READERS:
                break
            looked_at.add(vm)
            if vm in self._without_store:
                passed_over.append(vm)
            elif self._is_expected(vm, now):
                found.append(vm)
        # A VM that is looked at again later gets the time to be heard anew.
        self._expected = {vm: at for vm, at in self._expected.items() if vm in looked_at}
        found += passed_over[: READERS - len(found)]
        self._note_role(self._own in found, now)
        return found

    def remote_readers(self, failure_domain: str, members: Iterable[str], now: float) -> list[str]:
        """Returns the probable readers of another failure domain."""
        reports = self._fresh_reports(failure_domain, now)
        absent = frozenset.intersection(*(report.absent for report in reports)) if reports else ()
        present = [vm for vm in members if vm not in absent]
        # Without a report the usual readers may have ended; others are tried as time passes.
        key = "readers" if reports else f"readers/{int(now / READER_SILENCE_S)}"
        return hashing.rank(key=key, members=present)[:READERS]

    def report(
        self, members: Iterable[str], *, stopping: Iterable[str], now: float
    ) -> DomainReport:
        """Returns this reader's report on its failure domain.

        Args:
            members: The other VMs of it.
            stopping: Those that stop.
            now: Monotonic seconds.
        """
        silent = {vm for vm in members if not self.is_heard(vm, now=now)}
        if self._reader_since is None or now - self._reader_since < SILENCE_LIMIT_S:
            silent = set()  # the others may not know yet that they are to be heard here
        return DomainReport(self._own, 0.0, tuple(sorted(silent | set(stopping))))

    def take_report(self, failure_domain: str, report: DomainReport, *, now: float) -> None:
        """Takes a report, unless a newer one of the same reader is known."""
        made_at = now - report.age_s
        reports = self._reports.setdefault(failure_domain, {})
        known = reports.get(report.reporter)
        if known is None or made_at > known.made_at:
            reports[report.reporter] = _Report(made_at, frozenset(report.absent))

    def fresh_reports(self, *, now: float) -> dict[str, list[DomainReport]]:
        """Returns the reports that count, by failure domain, to be passed on."""
        self._drop_old_reports(now)
        return {
            domain: [
                DomainReport(reporter, round(now - made_at, 3), tuple(sorted(absent)))
                for reporter, (made_at, absent) in reports.items()
            ]
            for domain, reports in self._reports.items()
            if reports
        }

    def _is_expected(self, vm: str, now: float) -> bool:
        if vm == self._own:
            return True
        since = self._expected.setdefault(vm, now)
        return now - max(since, self._heard.get(vm, since)) <= READER_SILENCE_S

    def _note_role(self, is_reader: bool, now: float) -> None:
        if not is_reader:
            self._reader_since = None
        elif self._reader_since is None:
            self._reader_since = now

    def _fresh_reports(self, failure_domain: str, now: float) -> list[_Report]:
        reports = self._reports.get(failure_domain, {})
        return [report for report in reports.values() if now - report.made_at <= REPORT_LIMIT_S]

    def _drop_old_reports(self, now: float) -> None:
        for reports in self._reports.values():
            for reporter, report in list(reports.items()):
                if now - report.made_at > REPORT_LIMIT_S:
                    del reports[reporter]
