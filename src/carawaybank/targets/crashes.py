"""Reports of requests that cost targets, shared by all entry VMs through the store."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import msgspec

from carawaybank.journal import Journal
from carawaybank.routing.router import Router
from carawaybank.rows import RowStore, StoreError
from carawaybank.steering.quarantine import CrashReport
from carawaybank.watch import Changes

#: Beginning of the keys of reports in the table that the project shares.
PREFIX = "crash/"
#: Seconds after which a row counts no longer and may be removed.
_RETENTION_S = 600.0
#: Own reports that are kept, to be written again.
_MOST_OWN = 2_000


class CrashReports:
    """Writes own reports and passes those of all VMs to the router."""

    def __init__(self, *, router: Router, store: RowStore, table: str, journal: Journal) -> None:
        """Takes the parts.

        Args:
            router: Stops requests that crash targets.
            store: Where reports are kept.
            table: Table of the project's own rows.
            journal: Where reports are noted.
        """
        self._router = router
        self._store = store
        self._table = table
        self._journal = journal
        self._writes: set[asyncio.Task[None]] = set()
        #: Own reports by key, with the time of day at which each was made.
        self._own: dict[str, tuple[float, CrashReport]] = {}

    def take(self, changes: Changes) -> None:
        """Takes what the table said of crashes."""
        now = asyncio.get_running_loop().time()
        for row in changes.rows:
            if row.removed:
                continue
            try:
                written_at, report = msgspec.json.decode(row.value, type=tuple[float, CrashReport])
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                self._journal.note("crashes", "row passed over", row=row.key, reason=str(error))
                continue
            if time.time() - written_at < _RETENTION_S:
                self._router.note_crash(report, now)
            elif changes.whole:
                self._start(self._remove(row.key))
        if changes.is_copy:
            self._write_again({PREFIX + row.key for row in changes.rows})

    def _write_again(self, present: set[str]) -> None:
        """Writes the own reports that the store lost, because it returned from an older copy."""
        oldest = time.time() - _RETENTION_S
        self._own = {key: made for key, made in self._own.items() if made[0] > oldest}
        for key in self._own.keys() - present:
            self._start(self._write(key, self._own[key]))

    def report(self, report: CrashReport) -> None:
        """Records a request that was under way at a target that crashed."""
        if self._router.note_crash(report, asyncio.get_running_loop().time()):
            self._journal.note("crashes", "reported", **report._asdict())
            key = f"{PREFIX}{report.fingerprint}.{report.target}"
            made = (time.time(), report)
            self._own[key] = made
            if len(self._own) > _MOST_OWN:
                del self._own[next(iter(self._own))]
            self._start(self._write(key, made))

    def _start(self, write: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(write)
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write(self, key: str, made: tuple[float, CrashReport]) -> None:
        value = msgspec.json.encode(made)
        try:
            await self._store.put(self._table, key, value)
        except StoreError as error:
            self._journal.note("crashes", "not shared", row=key, reason=str(error))

    async def _remove(self, key: str) -> None:
        try:
            await self._store.remove(self._table, PREFIX + key)
        except StoreError as error:
            self._journal.note("crashes", "not removed", row=key, reason=str(error))
