"""Follows tables of the store: a whole reading first, then the changes as they come."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from carawaybank.journal import Journal
from carawaybank.rows import HistoryGoneError, Row, Rows, RowStore, StoreError

#: Seconds for which the store holds a call that has no news.
_WAIT_S = 20.0
#: Bounds in seconds of the pause after a failed call.
_PAUSES_S = (0.1, 0.4)
#: Seconds for which a watch may be behind a sibling's before it is started again.
_BEHIND_S = 0.7


class Changes(NamedTuple):
    """What a table said.

    Attributes:
        rows: Changed rows, or all of them.
        whole: Whether these are all rows of the table.
        after_outage: Whether the store was out of reach just before.
    """

    rows: list[Row]
    whole: bool
    after_outage: bool


class TableWatch:
    """Follows one table and passes on what it says."""

    def __init__(
        self,
        *,
        store: RowStore,
        table: str,
        on_changes: Callable[[Changes], None],
        journal: Journal,
        rng: random.Random,
        pause_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Starts without having read anything.

        Args:
            store: The store.
            table: Name of the table.
            on_changes: Takes what the table said.
            journal: Where losses of the store are noted.
            rng: Source of the pauses' jitter.
            pause_s: Returns the seconds after a change for which further ones are left to
                gather, so that a rush of changes takes few calls.
        """
        self._pause_s = pause_s
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._journal = journal
        self._rng = rng
        self._version: int | None = None
        self._failures = 0
        self._changed_at = 0
        self._behind_since: float | None = None
        self._call: asyncio.Task[Rows] | None = None
        self._rows: dict[str, Row] = {}
        self._read_at: float | None = None

    @property
    def read_at(self) -> float | None:
        """Time at which the store answered last; None if it never did."""
        return self._read_at

    @property
    def failures(self) -> int:
        """Calls that failed since the store answered last."""
        return self._failures

    @property
    def rows(self) -> Rows:
        """All rows as they were read last, or none before the first reading."""
        return Rows(list(self._rows.values()), self._version or 0)

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read, here or by a sibling."""
        return self._version is not None

    def adopt(self, rows: Rows) -> None:
        """Takes a sibling's rows while the store cannot be read."""
        if self._version is None and rows.version:
            self._journal.note("store", "read by a sibling", table=self._table, rows=len(rows.rows))
            self._take(rows, whole=True, after_outage=False)

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def changed_at(self) -> int:
        """Version of the newest change that was read."""
        return self._changed_at

    def compare(self, version: int) -> None:
        """Takes the version that a sibling has read; starts a watch again that stays behind."""
        now = asyncio.get_running_loop().time()
        is_waiting = self._call is not None
        if self._version is None or version <= self._version or not is_waiting:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > _BEHIND_S and self._call is not None:
            self._behind_since = None
            self._journal.note("store", "watch is behind", table=self._table, sibling=version)
            self._call.cancel()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
            except HistoryGoneError:
                self._journal.note("store", "history gone", table=self._table, seen=self._version)
                self._version = None
            except StoreError as error:
                await self._back_off(error)

    async def _step(self) -> None:
        whole = self._version is None
        if self._version is None:
            found = await self._store.read(self._table)
        else:
            # The first call after an outage returns at once, to show that the store is back.
            wait_s = 0.0 if self._failures else _WAIT_S
            found = await self._interruptible(
                self._store.watch(self._table, after=self._version, wait_s=wait_s)
            )
        after_outage = self._failures > 0
        if after_outage:
            self._journal.note("store", "regained", table=self._table, failures=self._failures)
        self._failures = 0
        self._read_at = asyncio.get_running_loop().time()
        self._take(found, whole=whole, after_outage=after_outage)
        if found.rows and not whole:
            await asyncio.sleep(self._pause_s())

    def _take(self, found: Rows, *, whole: bool, after_outage: bool) -> None:
        self._version = found.version
        self._changed_at = max([self._changed_at, *(row.version for row in found.rows)])
        if whole:
            self._rows.clear()
        for row in found.rows:
            if row.removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        if found.rows or whole or after_outage:
            self._on_changes(Changes(found.rows, whole, after_outage))

    async def _interruptible(self, call: Coroutine[Any, Any, Rows]) -> Rows:
        """Returns what a call returned; :meth:`compare` may cancel it."""
        self._call = asyncio.create_task(call)
        try:
            return await self._call
        finally:
            self._call.cancel()
            self._call = None

    async def _back_off(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._journal.note("store", "lost", table=self._table, reason=str(error))
        low, high = _PAUSES_S
        pause_s = min(high, low * 1.5**self._failures)
        await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
