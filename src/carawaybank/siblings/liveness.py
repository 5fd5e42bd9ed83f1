"""Failure detection among entry VMs, with traffic per VM that does not grow with their number.

Two VMs of each failure domain, its readers, receive the heartbeats of all its other VMs, read the
store for them and exchange reports with the readers of the other failure domains. The readers are
the VMs that rank first by rendezvous hash among those that are heard from; there is no election.
While two VMs disagree about the readers, the store is read twice or a reader receives fewer
heartbeats. A VM that is absent from one report counts as alive while another report has it.

Load pattern: all VMs start at once, or a failure domain loses power while the others are busy.
"""

from collections.abc import Iterable
from typing import NamedTuple

from carawaybank.steering import hashing

#: Number of readers of a failure domain.
READER_COUNT = 2
#: Seconds without a heartbeat after which the next VM replaces a reader. One heartbeat may be lost;
#: the next one after two lost in a row would come only after 1.8 s.
READER_TIMEOUT_S = 1.5
#: Seconds without a heartbeat after which a VM of the own failure domain is absent. Two heartbeats
#: may be lost; the next one after three lost in a row arrives just when this time ends.
HEARTBEAT_TIMEOUT_S = 2.4
#: Seconds for which a report on another failure domain is valid. A VM that ended must not be listed
#: 7 s later, which is the limit of the platform; its readers need 3 s of these to detect the end.
REPORT_VALIDITY_S = 5.0
#: Seconds that a report may be under way between two VMs and still be taken for the same one.
#: Readers make the next one after 0.6 s.
_MAX_TRANSIT_S = 0.4
#: Prefix of the failure domain under which a reader lists VMs that it has not heard from and does
#: not list as absent, because they or the reader started a short time ago.
UNHEARD_PREFIX = "unheard/"


class DomainReport(NamedTuple):
    """A report of a reader on the VMs of its failure domain.

    Attributes:
        reporter: Name of the reader.
        age_s: Seconds since the report was made.
        absent: Registered VMs that the reader does not hear from, or that are stopping.
    """

    reporter: str
    age_s: float
    absent: tuple[str, ...]


class _Report(NamedTuple):
    made_at: float
    absent: frozenset[str]


class Liveness:
    """What one entry VM knows of the others from their heartbeats and from reports.

    >>> liveness = Liveness(own="a")
    >>> liveness.readers(["a"], now=0.0)
    ['a']
    """

    def __init__(self, *, own: str) -> None:
        """Starts without heartbeats and reports.

        Args:
            own: Name of this VM.
        """
        self._own = own
        self._last_seen_at: dict[str, float] = {}
        self._without_store: set[str] = set()
        self._expected_since: dict[str, float] = {}
        self._reports: dict[str, dict[str, _Report]] = {}
        self._reader_since: float | None = None
        #: Last time at which a VM indicated that it cannot reach the store.
        self.store_unreachable_at = float("-inf")

    def record_heartbeat(self, vm: str, *, reaches_store: bool, now: float) -> None:
        """Records a heartbeat, and whether the store responded to the last call of that VM."""
        self._last_seen_at[vm] = now
        if reaches_store:
            self._without_store.discard(vm)
        else:
            self._without_store.add(vm)
            self.store_unreachable_at = now

    def forget(self, vm: str) -> None:
        """Removes a VM that is no longer registered."""
        self._last_seen_at.pop(vm, None)
        self._without_store.discard(vm)

    def last_heartbeat_age_s(self, vm: str, *, now: float) -> float | None:
        """Returns the seconds since the last heartbeat of a VM, or None if there was none."""
        last_seen_at = self._last_seen_at.get(vm)
        return None if last_seen_at is None else now - last_seen_at

    def is_heard(self, vm: str, *, now: float) -> bool:
        """Returns whether a heartbeat of a VM arrived within ``HEARTBEAT_TIMEOUT_S``."""
        age_s = self.last_heartbeat_age_s(vm, now=now)
        return age_s is not None and age_s <= HEARTBEAT_TIMEOUT_S

    def is_alive(self, vm: str, failure_domain: str, *, now: float) -> bool:
        """Returns whether a VM is this one, is heard from, or is present in a valid report.

        A reader never lists itself as absent, so its own report counts like a heartbeat if there is
        the report of another one. Otherwise it would be listed for as long as its last report.
        """
        if vm == self._own or self.is_heard(vm, now=now):
            return True
        reports = self._reports_on(vm, failure_domain, now)
        return any(vm not in report.absent for report in reports.values())

    def present_at(self, vm: str, failure_domain: str, *, now: float) -> float:
        """Returns when this VM or a reader last knew that it hears a VM; ``-inf`` if none does."""
        if vm == self._own:
            return now
        unheard = self._valid_reports(UNHEARD_PREFIX + failure_domain, now)
        known_at = [
            report.made_at
            for reporter, report in self._reports_on(vm, failure_domain, now).items()
            if vm not in report.absent
            and (reporter not in unheard or vm not in unheard[reporter].absent)
        ]
        if self.is_heard(vm, now=now):
            known_at.append(self._last_seen_at[vm])
        return max(known_at, default=float("-inf"))

    def unheard(self, members: Iterable[str], *, now: float) -> set[str]:
        """Returns the VMs whose heartbeats do not arrive, also if they are not missed yet."""
        return {vm for vm in members if not self.is_heard(vm, now=now)}

    def has_report(self, failure_domain: str, *, now: float) -> bool:
        """Returns whether a valid report says which VMs of a failure domain are absent."""
        return bool(self._valid_reports(failure_domain, now))

    def readers(self, members: Iterable[str], *, now: float) -> list[str]:
        """Returns the readers of the own failure domain.

        VMs that cannot reach the store are used only if there are too few others.

        Args:
            members: Its VMs that are not stopping, this one included.
            now: Monotonic seconds.
        """
        order = hashing.rank(key="readers", members=members)
        selected: list[str] = []
        skipped: list[str] = []
        considered: set[str] = set()
        for vm in order:
            if len(selected) == READER_COUNT:
                break
            considered.add(vm)
            if vm in self._without_store:
                skipped.append(vm)
            elif self._is_expected(vm, now):
                selected.append(vm)
        # A VM that is considered again later gets the full time for its first heartbeat.
        self._expected_since = {
            vm: at for vm, at in self._expected_since.items() if vm in considered
        }
        selected += skipped[: READER_COUNT - len(selected)]
        self._record_role(self._own in selected, now)
        return selected

    def remote_readers(self, failure_domain: str, members: Iterable[str], now: float) -> list[str]:
        """Returns the VMs that are probably the readers of another failure domain."""
        reports = self._valid_reports(failure_domain, now)
        absents = [report.absent for report in reports.values()]
        absent = frozenset.intersection(*absents) if absents else ()
        present = [vm for vm in members if vm not in absent]
        # Without a report, the usual readers may have ended: try other VMs as time passes.
        key = "readers" if reports else f"readers/{int(now / READER_TIMEOUT_S)}"
        return hashing.rank(key=key, members=present)[:READER_COUNT]

    def report(
        self, members: Iterable[str], *, stopping: Iterable[str], now: float
    ) -> DomainReport:
        """Returns this reader's report on its failure domain.

        Args:
            members: Its VMs other than this one.
            stopping: Its VMs that are stopping.
            now: Monotonic seconds.
        """
        unheard = self.unheard(members, now=now)
        if self._reader_since is None or now - self._reader_since < HEARTBEAT_TIMEOUT_S:
            unheard = set()  # peers may not send their heartbeats to a new reader yet
        return DomainReport(self._own, 0.0, tuple(sorted(unheard | set(stopping))))

    def apply_report(self, failure_domain: str, report: DomainReport, *, now: float) -> None:
        """Stores a report, unless a newer one of the same reader is known.

        One with a negative age would be valid for ever, and no later one would replace it. One that
        is sent on between VMs of a failure domain seems younger with each transit, so one that says
        the same has to be younger by more than that.
        """
        made_at = now - max(0.0, report.age_s)
        absent = frozenset(report.absent)
        reports = self._reports.setdefault(failure_domain, {})
        known = reports.get(report.reporter)
        is_copy = known is not None and known.absent == absent
        if known is None or made_at > known.made_at + (_MAX_TRANSIT_S if is_copy else 0.0):
            reports[report.reporter] = _Report(made_at, absent)

    def is_reported(self, topic: str, vm: str, *, now: float) -> bool:
        """Returns whether a valid report on a topic lists a VM.

        What the VM says itself takes precedence over the reports of others that are older.
        """
        reports = self._reports.get(topic, {})
        own = reports.get(vm)
        oldest = own.made_at if own else float("-inf")
        return any(
            vm in report.absent and report.made_at >= oldest
            for report in reports.values()
            if now - report.made_at <= REPORT_VALIDITY_S
        )

    def reported(self, prefix: str, *, now: float) -> set[str]:
        """Returns the VMs that any valid report on a topic with a prefix lists."""
        return {
            vm
            for topic, reports in self._reports.items()
            if topic.startswith(prefix)
            for report in reports.values()
            if now - report.made_at <= REPORT_VALIDITY_S
            for vm in report.absent
        }

    def self_reported(self, topic: str, *, now: float) -> set[str]:
        """Returns the VMs whose own valid reports on a topic list them."""
        return {
            vm
            for vm, report in self._reports.get(topic, {}).items()
            if vm in report.absent and now - report.made_at <= READER_TIMEOUT_S
        }

    def valid_reports(self, *, now: float) -> dict[str, list[DomainReport]]:
        """Returns the valid reports by failure domain, to be sent on with heartbeats."""
        self._drop_expired_reports(now)
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
        since = self._expected_since.setdefault(vm, now)
        return now - max(since, self._last_seen_at.get(vm, since)) <= READER_TIMEOUT_S

    def _record_role(self, is_reader: bool, now: float) -> None:
        if not is_reader:
            self._reader_since = None
        elif self._reader_since is None:
            self._reader_since = now

    def _valid_reports(self, failure_domain: str, now: float) -> dict[str, _Report]:
        """Returns the valid reports on a failure domain, by reporter."""
        return {
            reporter: report
            for reporter, report in self._reports.get(failure_domain, {}).items()
            if now - report.made_at <= REPORT_VALIDITY_S
        }

    def _reports_on(self, vm: str, failure_domain: str, now: float) -> dict[str, _Report]:
        """Returns the valid reports that say whether a VM is absent, by reporter."""
        reports = self._valid_reports(failure_domain, now)
        own = reports.get(vm)
        if own and len(reports) > 1 and now - own.made_at > HEARTBEAT_TIMEOUT_S:
            del reports[vm]
        return reports

    def _drop_expired_reports(self, now: float) -> None:
        for reports in self._reports.values():
            for reporter, report in list(reports.items()):
                if now - report.made_at > REPORT_VALIDITY_S:
                    del reports[reporter]
