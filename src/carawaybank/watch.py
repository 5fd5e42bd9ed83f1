"""Follows tables: a whole reading first, then the changes as they come.

A table is read from the store, or from a sibling that reads the store for the failure domain. What
was read is kept, so that siblings can follow it here.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, NamedTuple, Protocol

from carawaybank.journal import Journal
from carawaybank.rows import HistoryGoneError, Row, RowReader, Rows, StoreError

#: Seconds for which a call that has no news is held.
_WAIT_S = 29.0
#: Seconds for which a watch may be behind a sibling's before it is started again: of the store,
#: which may be slow, and of a reader of the own failure domain. Two readers that stay silent, one
#: after the other, leave a second of the smallest bound for a configuration (2.5 s).
_BEHIND_S = 0.7
_BEHIND_READER_S = 0.6
#: Changes that are kept for siblings; one that is further behind reads the whole table.
_MOST_CHANGES = 2_000


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

    def under(self, prefix: str) -> "Changes":
        """Returns the rows whose keys have a prefix, without it."""
        rows = [
            row._replace(key=row.key.removeprefix(prefix))
            for row in self.rows
            if row.key.startswith(prefix)
        ]
        return self._replace(rows=rows)


class Source(Protocol):
    """From whom tables are read at the moment."""

    def is_store(self, reader: RowReader) -> bool:
        """Returns whether a reader is the store itself."""

    @property
    def is_after_outage(self) -> bool:
        """Whether the store was out of reach just now, for this VM or for one that it follows."""

    def choose(self) -> RowReader:
        """Returns whom to ask now."""

    async def wait_for_turn(self, reader: RowReader) -> None:
        """Returns when a call may be made: one at a time while the store does not answer."""

    def note_answer(self, reader: RowReader) -> None:
        """Records that a reader answered."""

    def note_failure(self, reader: RowReader, error: StoreError) -> None:
        """Records that a reader failed."""

    def avoid(self, reader: RowReader, reason: str) -> None:
        """Asks others than a sibling for a while."""


class TableWatch:
    """Follows one table and passes on what it says."""

    def __init__(
        self,
        *,
        source: Source,
        table: str,
        on_changes: Callable[[Changes], None],
        journal: Journal,
        pause_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Starts without having read anything.

        Args:
            source: From whom the table is read.
            table: Name of the table.
            on_changes: Takes what the table said.
            journal: Where losses of the store are noted.
            pause_s: Returns the seconds after a change for which further ones are left to
                gather, so that a rush of changes takes few calls.
        """
        self._pause_s = pause_s
        self._source = source
        self._table = table
        self._on_changes = on_changes
        self._journal = journal
        self._version: int | None = None
        self._failures = 0
        self._changed_at = 0
        self._known_at = 0
        self._check: asyncio.TimerHandle | None = None
        #: Whether the last call was given up, so that the next one must answer at once.
        self._is_doubtful = False
        self._call: asyncio.Task[Rows] | None = None
        self._reader: RowReader | None = None
        self._rows: dict[str, Row] = {}
        self._read_at: float | None = None
        self._history = _History()

    @property
    def read_at(self) -> float | None:
        """Time at which the table was read last; None if it never was."""
        return self._read_at

    @property
    def failures(self) -> int:
        """Calls that failed since the store answered last."""
        return self._failures

    @property
    def rows(self) -> Rows:
        """All rows as they were read last, or none before the first reading."""
        after_outage = self._source.is_after_outage
        return Rows(list(self._rows.values()), self._version or 0, after_outage)

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read, here or by a sibling."""
        return self._version is not None

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def changed_at(self) -> int:
        """Version of the newest change that was read."""
        return self._changed_at

    @property
    def known_at(self) -> int:
        """Version of the newest change that was read here or that a sibling knows of."""
        return max(self._changed_at, self._known_at)

    def adopt(self, rows: Rows) -> None:
        """Takes a sibling's rows while the store cannot be read."""
        if self._version is None and rows.version:
            self._journal.note("store", "read by a sibling", table=self._table, rows=len(rows.rows))
            self._take(rows, whole=True)

    async def changes_since(self, version: int, *, wait_s: float) -> Rows:
        """Returns the changes after a version, once there are any, for a sibling.

        Raises:
            HistoryGoneError: If they are not kept any more, or nothing was read yet.
        """
        return await self._history.changes_since(version, wait_s=wait_s)

    def compare(self, version: int) -> bool:
        """Takes the newest version that a sibling knows of; returns whether that is news.

        A call that does not bring it within a short time is given up, and another reader is asked.
        """
        is_news = version > self.known_at
        self._known_at = max(self._known_at, version)
        if self.is_behind and self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(self._patience_s(), self._check_behind, self._call)
        return is_news

    @property
    def is_behind(self) -> bool:
        """Whether a sibling knows of a change that was not read here."""
        return self._version is not None and self._known_at > self._version

    def _check_behind(self, call: "asyncio.Task[Rows] | None") -> None:
        """Gives up a call that did not bring what a sibling knew when this was set up."""
        self._check = None
        if not self.is_behind or self._call is None:
            return
        if call is not self._call:
            self.compare(self._known_at)
            return
        self._journal.note("store", "watch is behind", table=self._table, known=self._known_at)
        if self._reader is not None:
            self._source.avoid(self._reader, "it stayed behind another sibling")
        self._is_doubtful = True
        self._call.cancel()

    def renew(self) -> None:
        """Ends the call that is open, so that changes are asked for anew."""
        if self._call is not None:
            self._call.cancel()

    def review(self) -> None:
        """Ends a call to a reader that would not be chosen any more."""
        if self._call is not None and self._source.choose() is not self._reader:
            self._call.cancel()

    def _patience_s(self) -> float:
        reader = self._reader
        from_store = reader is None or self._source.is_store(reader)
        return _BEHIND_S if from_store else _BEHIND_READER_S

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            reader = self._reader = self._source.choose()
            try:
                await self._step(reader)
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
            except HistoryGoneError:
                self._journal.note("store", "history gone", table=self._table, seen=self._version)
                self._version = None
            except StoreError as error:
                self._note_failure(reader, error)

    async def _step(self, reader: RowReader) -> None:
        await self._source.wait_for_turn(reader)
        whole = self._version is None
        if self._version is None:
            found = await reader.read(self._table)
            if found.version < self._changed_at:
                raise StoreError(message="it has read less than is known here")
        else:
            # The first call after an outage returns at once, to show that the store is back.
            wait_s = 0.0 if self._failures or self._is_doubtful else _WAIT_S
            self._is_doubtful = False
            found = await self._interruptible(
                reader.watch(self._table, after=self._version, wait_s=wait_s)
            )
        # An outage may end while another VM, which did not notice it, takes over from a reader.
        after_outage = self._failures > 0 or self._source.is_after_outage
        self._source.note_answer(reader)
        if self._failures:
            self._journal.note("store", "regained", table=self._table, failures=self._failures)
        if after_outage:
            found = found._replace(after_outage=True)
        self._failures = 0
        self._read_at = asyncio.get_running_loop().time()
        self._take(found, whole=whole)
        if found.rows and not whole:
            await asyncio.sleep(self._pause_s())

    def _take(self, found: Rows, *, whole: bool) -> None:
        removed = set(self._rows) - {row.key for row in found.rows} if whole else set()
        self._version = max(found.version, self._version or 0)
        self._changed_at = max([self._changed_at, *(row.version for row in found.rows)])
        for key in removed:
            del self._rows[key]
        for row in found.rows:
            if row.removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        gone = [Row(key, b"", found.version, removed=True) for key in removed]
        self._history.add(found._replace(rows=[*found.rows, *gone], version=self._version))
        if found.rows or whole or found.after_outage:
            self._pass_on(Changes(found.rows, whole, found.after_outage))

    def _pass_on(self, changes: Changes) -> None:
        """Passes changes on; a row that nobody can take must not keep the others back.

        A row that ended the process would end it again after each restart, and on all VMs.
        """
        try:
            self._on_changes(changes)
        except Exception as error:
            self._journal.note("store", "changes not taken", table=self._table, reason=repr(error))
            for row in changes.rows:
                self._pass_on_alone(row, after_outage=changes.after_outage)

    def _pass_on_alone(self, row: Row, *, after_outage: bool) -> None:
        try:
            self._on_changes(Changes([row], whole=False, after_outage=after_outage))
        except Exception as error:
            self._journal.note(
                "store", "row not taken", table=self._table, row=row.key, reason=repr(error)
            )

    async def _interruptible(self, call: Coroutine[Any, Any, Rows]) -> Rows:
        """Returns what a call returned; :meth:`compare` may cancel it."""
        self._call = asyncio.create_task(call)
        try:
            return await self._call
        finally:
            self._call.cancel()
            self._call = None

    def _note_failure(self, reader: RowReader, error: StoreError) -> None:
        self._source.note_failure(reader, error)
        if not self._source.is_store(reader):
            return
        self._failures += 1
        if self._failures == 1:
            self._journal.note("store", "lost", table=self._table, reason=str(error))


class _Batch(NamedTuple):
    """Changes that were read together.

    Attributes:
        version: Version up to which the table is known with them.
        rows: The changed rows.
        after_outage: Whether the store was out of reach just before.
    """

    version: int
    rows: list[Row]
    after_outage: bool


class _History:
    """The last changes of a table, for siblings that follow it here."""

    def __init__(self) -> None:
        self._batches: deque[_Batch] = deque()
        self._size = 0
        self._version = 0
        #: Version from which on the changes are kept; 0 before the first reading.
        self._first = 0
        self._news = asyncio.Event()

    def add(self, found: Rows) -> None:
        """Keeps changes and wakes those who wait for them."""
        self._version = found.version
        if not self._first:
            self._first = found.version
            return
        if not found.rows and not found.after_outage:
            return
        self._batches.append(_Batch(found.version, found.rows, found.after_outage))
        self._size += len(found.rows)
        while self._size > _MOST_CHANGES:
            dropped = self._batches.popleft()
            self._size -= len(dropped.rows)
            self._first = dropped.version
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def changes_since(self, version: int, *, wait_s: float) -> Rows:
        if not self._first or version < self._first:
            raise HistoryGoneError(message="the changes since then are not kept")
        found = self._find(version)
        if not found and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    while not found:
                        await self._news.wait()
                        found = self._find(version)
            except TimeoutError:
                found = []
        rows = _newest(row for batch in found for row in batch.rows if row.version > version)
        after_outage = any(batch.after_outage for batch in found)
        return Rows(rows, max(version, self._version), after_outage)

    def _find(self, version: int) -> list[_Batch]:
        return [batch for batch in self._batches if batch.version > version]


def _newest(rows: Iterable[Row]) -> list[Row]:
    """Returns the last state of each row."""
    return list({row.key: row for row in rows}.values())
