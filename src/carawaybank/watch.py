"""Follows tables: a whole reading first, then the changes as they come.

A table is read from the store, or from a sibling that reads the store for the failure domain. What
was read is kept, so that siblings can follow it here.

The store may return from a copy that is some seconds old, in a new era. An older reading of an era
is never believed; the first reading of a newer era is, although its versions may be lower. What is
missing in it may have been lost with the copy and be written again, and what is in it may have been
removed since; so it is passed on as a copy first, and as what the store holds after a grace time.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, Protocol

from carawaybank.history import History
from carawaybank.journal import Journal
from carawaybank.rows import BEGINNING, HistoryGoneError, Position, Row, RowReader, Rows, StoreError

#: Seconds for which a call that has no news is held.
_WAIT_S = 29.0
#: Seconds for which a watch may be behind a sibling's before it is started again: of the store,
#: which may be slow, and of a reader of the own failure domain. Two readers that stay silent, one
#: after the other, leave a second of the smallest bound for a configuration (2.5 s).
_BEHIND_S = 0.7
_BEHIND_READER_S = 0.6
#: Pause in seconds before a table is read anew because its history is gone, so that a history that
#: is always gone takes few calls.
_GONE_PAUSE_S = 0.02
#: Seconds after a return from a copy in which writers write again what it lost. Announcements of
#: targets that ended lapse within three of their intervals of 1.5 s.
SETTLING_S = 5.0


class Changes(NamedTuple):
    """What a table said.

    Attributes:
        rows: Changed rows, or all of them.
        whole: Whether these are all rows of the table.
        after_outage: Whether the store was out of reach just before.
        is_copy: Whether these are the rows of a copy from which the store returned just now: some
            may be outdated, and missing ones may be written again.
        era: The store's era.
    """

    rows: list[Row]
    whole: bool
    after_outage: bool
    is_copy: bool = False
    era: int = 0

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
        settling_s: float = SETTLING_S,
    ) -> None:
        """Starts without having read anything.

        Args:
            source: From whom the table is read.
            table: Name of the table.
            on_changes: Takes what the table said.
            journal: Where losses of the store are noted.
            pause_s: Returns the seconds after a change for which further ones gather.
            settling_s: Seconds after a return from a copy for which its rows may be outdated.
        """
        self._settling_s = settling_s
        self._pause_s = pause_s
        self._source = source
        self._table = table
        self._on_changes = on_changes
        self._journal = journal
        #: What was read last; None before the first reading.
        self._position: Position | None = None
        #: Whether all must be read anew. Siblings are served what was read before until then.
        self._needs_whole = True
        self._era: int | None = None
        self._settling: asyncio.TimerHandle | None = None
        self._failures = 0
        self._changed_at = BEGINNING
        self._known_at = BEGINNING
        self._check: asyncio.TimerHandle | None = None
        #: Whether the last call was given up, so that the next one must answer at once.
        self._is_doubtful = False
        self._call: asyncio.Task[Rows] | None = None
        self._reader: RowReader | None = None
        #: Who answered the last call.
        self._answered_by: RowReader | None = None
        self._rows: dict[str, Row] = {}
        self._read_at: float | None = None
        self._history = History()

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
        era, version = self._position or BEGINNING
        return Rows(list(self._rows.values()), version, after_outage, era)

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read, here or by a sibling."""
        return self._position is not None

    @property
    def is_settling(self) -> bool:
        """Whether the store returned from a copy a short time ago."""
        return self._settling is not None

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def changed_at(self) -> Position:
        """Position of the newest change that was read."""
        return self._changed_at

    @property
    def known_at(self) -> Position:
        """Position of the newest change that was read here or that a sibling knows of."""
        return max(self._changed_at, self._known_at)

    def adopt(self, rows: Rows) -> None:
        """Takes a sibling's rows while the store cannot be read."""
        if self._position is None and rows.version:
            self._journal.note("store", "read by a sibling", table=self._table, rows=len(rows.rows))
            self._take(rows, whole=True)

    async def changes_since(self, position: Position, *, wait_s: float) -> Rows:
        """Returns the changes after a position, once there are any, for a sibling.

        Raises:
            HistoryGoneError: If they are not kept any more, or nothing was read yet.
        """
        return await self._history.changes_since(position, wait_s=wait_s)

    def compare(self, position: Position) -> bool:
        """Takes the newest position that a sibling knows of; returns whether that is news.

        A call that does not bring it within a short time is given up, and another reader is asked.
        """
        is_news = position > self.known_at
        self._known_at = max(self._known_at, position)
        if self.is_behind and self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(self._patience_s(), self._check_behind, self._call)
        return is_news

    @property
    def is_behind(self) -> bool:
        """Whether a sibling knows of a change that was not read here."""
        return self._position is not None and self._known_at > self._position

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
                self._journal.note("store", "history gone", table=self._table, seen=self._position)
                self._needs_whole = True
                await asyncio.sleep(_GONE_PAUSE_S)
            except StoreError as error:
                self._note_failure(reader, error)

    async def _step(self, reader: RowReader) -> None:
        await self._source.wait_for_turn(reader)
        whole = self._needs_whole
        found = await self._read(reader)
        # An outage may end while another VM, which did not notice it, takes over from a reader.
        after_outage = self._failures > 0 or self._source.is_after_outage
        self._source.note_answer(reader)
        self._answered_by = reader
        if not whole and found.era != self._era:
            self._journal.note("store", "era changed", table=self._table, era=found.era)
            self._needs_whole = True
            return
        if self._failures:
            self._journal.note("store", "regained", table=self._table, failures=self._failures)
        if after_outage:
            found = found._replace(after_outage=True)
        self._failures = 0
        self._read_at = asyncio.get_running_loop().time()
        self._take(found, whole=whole)
        if found.rows and not whole:
            await asyncio.sleep(self._pause_s())

    async def _read(self, reader: RowReader) -> Rows:
        """Returns the whole table, or what changed since the last reading.

        Raises:
            HistoryGoneError: If the changes since then are not known any more.
            StoreError: If the reader does not answer, or has read less than is known here.
        """
        if self._needs_whole or self._position is None:
            found = await reader.read(self._table)
            if found.position < self._changed_at:
                raise StoreError(message="it has read less than is known here")
            return found
        # The first call after an outage or to another reader returns at once, to show that the
        # reader is there and of which era.
        is_certain = reader is self._answered_by and not self._is_doubtful
        wait_s = _WAIT_S if is_certain and not self._failures else 0.0
        self._is_doubtful = False
        found = await self._interruptible(
            reader.watch(self._table, after=self._position, wait_s=wait_s)
        )
        if found.era < self._position.era:
            raise StoreError(message="it is of an older era than is known here")
        return found

    def _take(self, found: Rows, *, whole: bool) -> None:
        if self._era is not None and found.era > self._era:
            self._settle_later(found)
        self._era = found.era
        removed = set(self._rows) - {row.key for row in found.rows} if whole else set()
        self._position = max(found.position, self._position or BEGINNING)
        self._needs_whole = False
        newest = (Position(found.era, row.version) for row in found.rows)
        self._changed_at = max([self._changed_at, *newest])
        for key in removed:
            del self._rows[key]
        for row in found.rows:
            if row.removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        gone = [Row(key, b"", found.version, removed=True) for key in removed]
        self._history.add(found._replace(rows=[*found.rows, *gone], version=self._position.version))
        if found.rows or whole or found.after_outage:
            is_copy = whole and self.is_settling
            changes = Changes(found.rows, whole, found.after_outage, is_copy, found.era)
            self._pass_on(changes)

    def _settle_later(self, found: Rows) -> None:
        """Notes a return from a copy, whose rows are passed on again when it has settled."""
        self._journal.note(
            "store",
            "returned from a copy",
            table=self._table,
            era=found.era,
            version=found.version,
            known=self._changed_at,
        )
        # A row that the copy holds may be older than what is known of it, also by its version.
        self._changed_at = Position(found.era, 0)
        self._schedule_settling()

    def _schedule_settling(self) -> None:
        if self._settling is not None:
            self._settling.cancel()
        loop = asyncio.get_running_loop()
        self._settling = loop.call_later(self._settling_s, self._settle)

    def _settle(self) -> None:
        """Passes on what the store holds now that writers had the time to write again."""
        if self._failures or self._position is None:
            self._schedule_settling()
            return
        self._settling = None
        self._journal.note("store", "settled", table=self._table, rows=len(self._rows))
        rows = list(self._rows.values())
        self._pass_on(Changes(rows, whole=True, after_outage=False, era=self._position.era))

    def _pass_on(self, changes: Changes) -> None:
        """Passes changes on; a row that nobody can take must not keep the others back.

        A row that ended the process would end it again after each restart, and on all VMs.
        """
        try:
            self._on_changes(changes)
        except Exception as error:
            self._journal.note("store", "changes not taken", table=self._table, reason=repr(error))
            for row in changes.rows:
                self._pass_on_alone(changes._replace(rows=[row], whole=False))

    def _pass_on_alone(self, changes: Changes) -> None:
        try:
            self._on_changes(changes)
        except Exception as error:
            row = changes.rows[0].key
            self._journal.note(
                "store", "row not taken", table=self._table, row=row, reason=repr(error)
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
        self._answered_by = None
        self._source.note_failure(reader, error)
        if not self._source.is_store(reader):
            return
        self._failures += 1
        if self._failures == 1:
            self._journal.note("store", "lost", table=self._table, reason=str(error))
