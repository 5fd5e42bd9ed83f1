"""Reports of requests that crashed targets, shared by all entry VMs through the store.

Load pattern: a request crashes each target that runs it and comes again at any VM, while targets
also crash for other reasons, several at a time, with requests in progress that many callers send. A
VM at which such a request ends well afterwards removes the reports for all VMs.
"""

import asyncio
import time

import msgspec

from carawaybank.background import ShortTasks
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.router import Router
from carawaybank.rows import RowStore, StoreError, TableUpdate
from carawaybank.steering.quarantine import CrashReport

#: Prefix of the reports' keys in the shared table.
KEY_PREFIX = "crash/"
#: Seconds after which a report is ignored and its row may be removed.
_RETENTION_S = 600.0
#: Maximum number of own reports that are kept so that they can be written again.
_MAX_OWN_REPORTS = 2_000


class CrashReports:
    """Writes this VM's reports to the store and passes those of all VMs to the router."""

    def __init__(self, *, router: Router, store: RowStore, table: str, journal: Journal) -> None:
        """Starts without reports.

        Args:
            router: Quarantines requests that crash targets.
            store: Stores the reports.
            table: Name of the shared table that holds the reports.
            journal: Logs reports and failed writes.
        """
        self._router = router
        self._store = store
        self._table = table
        self._journal = journal
        self._tasks = ShortTasks(part="crashes", journal=journal)
        #: Own reports by key, each with the wall-clock time at which it was made.
        self._own_reports: dict[str, tuple[float, CrashReport]] = {}
        router.on_refuted = self._withdraw

    def apply(self, update: TableUpdate) -> None:
        """Applies changes of the crash reports, whose keys come without the prefix.

        When all rows are read, rows past their retention are removed from the store, and reports
        of other VMs that it no longer has are forgotten. Own reports that a restored backup of the
        store lacks are written again.
        """
        now = asyncio.get_running_loop().time()
        for row in update.rows:
            if row.removed:
                self._router.quarantine.remove_crash(*_split(row.key))
                self._own_reports.pop(KEY_PREFIX + row.key, None)
                continue
            try:
                written_at, report = decode_message(
                    row.value, tuple[float, CrashReport], source="crash report"
                )
            except DocumentError as error:
                self._journal.log("crashes", "row passed over", row=row.key, reason=str(error))
                continue
            if time.time() - written_at < _RETENTION_S:
                self._router.quarantine.add_report(report, now=now)
            elif update.is_full:
                self._tasks.start(self._remove(KEY_PREFIX + row.key))
        present = {KEY_PREFIX + row.key for row in update.rows}
        if update.is_backup:
            self._rewrite_missing(present)
        elif update.is_full:
            self._forget_missing(present)

    def _forget_missing(self, present: set[str]) -> None:
        """Removes reports that were refuted while this VM did not follow the store."""
        for report in self._router.quarantine.reports():
            key = _key(report)
            if key not in present and key not in self._own_reports:
                self._router.quarantine.remove_crash(report.fingerprint, report.target)

    def _rewrite_missing(self, present: set[str]) -> None:
        """Writes own reports that are missing because the store was restored from a backup."""
        retained_since = time.time() - _RETENTION_S
        self._own_reports = {
            key: timed_report
            for key, timed_report in self._own_reports.items()
            if timed_report[0] > retained_since
        }
        for key in self._own_reports.keys() - present:
            self._tasks.start(self._write(key, self._own_reports[key]))

    def report(self, report: CrashReport) -> None:
        """Records a request that was in flight at a target that crashed.

        A report that is new to the router is also logged and written to the store.
        """
        if self._router.quarantine.add_report(report, now=asyncio.get_running_loop().time()):
            self._journal.log("crashes", "reported", **report._asdict())
            key = _key(report)
            timed_report = (time.time(), report)
            self._own_reports[key] = timed_report
            if len(self._own_reports) > _MAX_OWN_REPORTS:
                del self._own_reports[next(iter(self._own_reports))]
            self._tasks.start(self._write(key, timed_report))

    def _withdraw(self, refuted: list[CrashReport]) -> None:
        """Removes reports from the store that runs of their request have refuted."""
        keys = sorted(set(map(_key, refuted)))
        fingerprint = refuted[0].fingerprint
        self._journal.log("crashes", "refuted", fingerprint=fingerprint, crashes=len(keys))
        for key in keys:
            self._own_reports.pop(key, None)
            self._tasks.start(self._remove(key))

    async def _write(self, key: str, timed_report: tuple[float, CrashReport]) -> None:
        value = msgspec.json.encode(timed_report)
        try:
            await self._store.put(self._table, key, value)
        except StoreError as error:
            self._journal.log("crashes", "report not written", row=key, reason=str(error))
        if key not in self._own_reports:  # Refuted while it was being written.
            await self._remove(key)

    async def _remove(self, key: str) -> None:
        try:
            await self._store.remove(self._table, key)
        except StoreError as error:
            self._journal.log("crashes", "report not removed", row=key, reason=str(error))


def _key(report: CrashReport) -> str:
    return f"{KEY_PREFIX}{report.fingerprint}.{report.target}"


def _split(row_key: str) -> tuple[str, str]:
    """Returns the fingerprint and the target of a row's key, which comes without the prefix."""
    fingerprint, _, target = row_key.partition(".")
    return fingerprint, target
