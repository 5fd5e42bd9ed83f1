"""Follows a table of the store: one full read, then long polls for changes.

A table is read from the store, or from a reader: a sibling that reads the store for its failure
domain. Rows and recent changes are kept in memory for siblings that follow the table from this VM.

The store may be restored from a backup that is some seconds old, which starts a new era. Responses
of an older era are rejected. The first response of a newer era is applied even if its versions are
lower than those already read. Rows missing from it may be lost in the restore and written again by
their owners, and its rows may have been removed after the backup was taken. Rows are therefore
delivered twice: at once, marked as a backup, and again without the mark after a recovery time.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from carawaybank.catchup import CatchUp
from carawaybank.delivery import Delivery
from carawaybank.history import History
from carawaybank.inputs import loop_inputs
from carawaybank.journal import Journal
from carawaybank.memory import MemoryHolder
from carawaybank.rows import (
    INITIAL_POSITION,
    ConnectionBrokenError,
    HistoryGoneError,
    Position,
    ReaderSelector,
    Row,
    RowReader,
    Rows,
    StoreError,
    TableUpdate,
    check_table_size,
    max_table_bytes,
)

_T = TypeVar("_T")

#: Seconds for which the store or a reader may hold a long poll while there is no change.
_LONG_POLL_WAIT_S = 29.0
#: Seconds for which a watch may lag behind a sibling's before its call is cancelled and repeated.
#: The first is for calls to the store, which may be slow; the second is for calls to a reader in
#: the same failure domain. The smallest bound for applying a configuration is 2.5 s, and two
#: readers in a row that do not respond must leave about a second of it.
_STORE_LAG_LIMIT_S = 0.7
_READER_LAG_LIMIT_S = 0.6
#: Fraction of the memory of all tables that each may use regardless of the others, so that one with
#: very many rows does not stop the changes of the others.
_TABLE_SHARE = 1 / 3
#: Seconds before a full read when the history is gone; limits the call rate if none is ever kept.
_REREAD_PAUSE_S = 0.02
#: Seconds after a restore of the store within which writers repeat the writes that it lost. Rows of
#: targets that have ended expire within three announcement intervals of 1.5 s.
RECOVERY_S = 5.0


class TableWatch:
    """Follows one table and delivers its updates to a callback."""

    def __init__(
        self,
        *,
        selector: ReaderSelector,
        table: str,
        on_update: Callable[[TableUpdate], None],
        journal: Journal,
        batch_delay_s: Callable[[], float] = lambda: 0.0,
        recovery_s: float = RECOVERY_S,
        on_set_aside: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Initializes a watch that has not read the table yet.

        Args:
            selector: Selects the reader for each call.
            table: Name of the table.
            on_update: Called with each update of the table.
            journal: Receives the log events of the watch.
            batch_delay_s: Returns the seconds to wait after an update to batch further changes.
            recovery_s: Seconds after a restore of the store for which its rows may be outdated.
            on_set_aside: Called with the table for each row that ``on_update`` fails on.
        """
        self._recovery_s = recovery_s
        self._batch_delay_s = batch_delay_s
        self._selector = selector
        self._table = table
        self._delivery = Delivery(
            on_update=on_update, table=table, on_set_aside=on_set_aside, journal=journal
        )
        self._journal = journal
        self._position: Position | None = None  #: Read up to here; None before the first read.
        #: Whether the next call reads the whole table. Until it succeeds, siblings are served the
        #: rows that were read before; refusing them would send all of them to the store at once.
        self._needs_full_read = True
        self._era: int | None = None
        self._recovery_timer: asyncio.TimerHandle | None = None
        self._failures = 0
        self._newest_read_position = INITIAL_POSITION
        self._rows: dict[str, Row] = {}
        self._rows_bytes = 0
        self._memory: MemoryHolder | None = None  # Set by the first read.
        self._read_at: float | None = None
        self._history = History()
        self._make_call_state()

    def _make_call_state(self) -> None:
        self._catch_up = CatchUp()
        self._is_catch_up_call = self._is_pausing = False
        self._lag_check: asyncio.TimerHandle | None = None
        #: Whether the last call was cancelled for its lag, so that the next one must not be held.
        self._is_call_uncertain = False
        self._open_call: asyncio.Task[Any] | None = None
        self._reader: RowReader | None = None
        self._last_responder: RowReader | None = None  #: None if the last call failed.

    @property
    def read_at(self) -> float | None:
        """Loop time of the last successful call; None before the first one."""
        return self._read_at

    @property
    def failures(self) -> int:
        """Number of calls to the store that failed since the last successful one."""
        return self._failures

    @property
    def rows(self) -> Rows:
        """All rows of the table as last read; empty before the first read."""
        after_outage = self._selector.is_after_outage
        era, version = self._position or INITIAL_POSITION
        return Rows(list(self._rows.values()), version, after_outage, era)

    @property
    def is_loaded(self) -> bool:
        """Whether rows are available, read by this VM or fetched from a sibling."""
        return self._position is not None

    @property
    def is_read_from_sibling(self) -> bool:
        """Whether the calls of this VM go to a sibling instead of the store."""
        return self._reader is not None and not self._selector.is_store(self._reader)

    @property
    def is_recovering(self) -> bool:
        """Whether the store was restored from a backup less than the recovery time ago."""
        return self._recovery_timer is not None

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def newest_read_position(self) -> Position:
        """Position of the newest change that this VM has read."""
        return self._newest_read_position

    @property
    def newest_known_position(self) -> Position:
        """Position of the newest change that this VM has read or a sibling has reported."""
        return max(self._newest_read_position, self._catch_up.newest_position)

    def use_initial_rows(self, rows: Rows) -> None:
        """Uses a sibling's rows while the store cannot be read, if only the sibling read them.

        Raises:
            StoreError: If they would leave too little memory for the messages of peers.
        """
        if self._position is None and rows.version:
            self._check_size(rows, is_full=True)
            self._journal.log("store", "read by a sibling", table=self._table, rows=len(rows.rows))
            self._apply(rows, is_full=True, reader="a seed")

    async def changes_since(self, position: Position, *, wait_s: float) -> Rows:
        """Waits at most ``wait_s`` seconds for changes after a sibling's position; returns them.

        Raises:
            HistoryGoneError: If the changes are no longer kept, or nothing was read yet.
        """
        return await self._history.changes_since(position, wait_s=wait_s)

    def record_sibling_position(self, position: Position, *, vm: str = "") -> bool:
        """Records a sibling's newest position and returns whether it is newer than all known.

        If the open call does not return it within the lag limit, the sibling is asked for it.

        Args:
            position: Position up to which the sibling knows of changes.
            vm: Name of the sibling; empty if it has not read these changes itself.
        """
        is_newer = position > self.newest_known_position
        self._catch_up.record_report(position, vm=vm)
        if self.is_lagging and self._lag_check is None:
            loop = asyncio.get_running_loop()
            self._lag_check = loop.call_later(self._lag_limit_s(), self._check_lag, self._open_call)
        return is_newer

    @property
    def is_lagging(self) -> bool:
        """Whether a sibling has reported a change that this VM has not read."""
        return self._position is not None and self._catch_up.newest_position > self._position

    def _check_lag(self, call: "asyncio.Task[Any] | None") -> None:
        """Cancels the call that was open when the lag was noticed, if the watch still lags.

        The next call goes to the sibling that reported the newer position: the reader and the store
        may be as unreachable for this VM as they are slow.
        """
        self._lag_check = None
        if not self.is_lagging:
            return
        is_source_known = self._catch_up.begin(now=asyncio.get_running_loop().time())
        if self._open_call is None or (self._is_pausing and not is_source_known):
            return
        known = self._catch_up.newest_position
        if call is not self._open_call:
            self.record_sibling_position(known)
            return
        self._journal.log("store", "watch is behind", table=self._table, known=known)
        if self._reader is not None:
            self._selector.record_lag(self._reader)
        self._is_call_uncertain = True
        self._open_call.cancel()

    def restart_call(self) -> None:
        """Cancels the open call, so that a new one is made at once."""
        if self._open_call is not None:
            self._open_call.cancel()

    def recheck_reader(self) -> None:
        """Cancels the open call if the selector would now select another reader."""
        if self._open_call is None or self._is_catch_up_call:
            return
        if self._selector.select_reader() is not self._reader:
            self._open_call.cancel()

    def _lag_limit_s(self) -> float:
        if self._failures and self._catch_up.can_begin(now=asyncio.get_running_loop().time()):
            return 0.0
        reader = self._reader
        from_store = reader is None or self._selector.is_store(reader)
        return _STORE_LAG_LIMIT_S if from_store else _READER_LAG_LIMIT_S

    async def run(self) -> None:
        """Follows the table until cancelled; an earlier run may have applied an update in part."""
        self._needs_full_read = True
        while True:
            reader = self._reader = self._select_reader()
            try:
                await self._poll_once(reader)
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
            except HistoryGoneError:
                self._journal.log("store", "history gone", table=self._table, seen=self._position)
                self._needs_full_read = True
                await asyncio.sleep(_REREAD_PAUSE_S)
                continue
            except StoreError as error:
                self._record_failure(reader, error)
            if self._is_catch_up_call:
                self._catch_up.end(now=asyncio.get_running_loop().time())

    def _select_reader(self) -> RowReader:
        """Returns the sibling that has what the watch lacks, or the usual reader."""
        source = self._catch_up.source if self.is_lagging else ""
        sibling = self._selector.sibling_reader(source)
        self._is_catch_up_call = sibling is not None
        return sibling or self._selector.select_reader()

    async def _poll_once(self, reader: RowReader) -> None:
        self._is_pausing = True
        try:
            await self._run_cancellable(self._selector.wait_for_call_slot(reader))
        finally:
            self._is_pausing = False
        is_full = self._needs_full_read
        update = await self._read(reader)
        # Failures counted here matter as well: at the end of an outage, another VM that did not
        # notice the outage may become the reader.
        after_outage = self._failures > 0 or self._selector.is_after_outage
        self._selector.record_success(reader)
        self._last_responder = reader
        if not is_full and update.era != self._era:
            self._journal.log("store", "era changed", table=self._table, era=update.era)
            self._needs_full_read = True
            return
        self._check_size(update, is_full=is_full)
        if self._failures:
            self._journal.log("store", "regained", table=self._table, failures=self._failures)
        if after_outage:
            update = update._replace(after_outage=True)
        self._failures = 0
        self._read_at = asyncio.get_running_loop().time()
        self._apply(update, is_full=is_full, reader=self._selector.reader_name(reader))
        if update.rows and not is_full:
            await asyncio.sleep(self._batch_delay_s())

    async def _read(self, reader: RowReader) -> Rows:
        """Returns all rows of the table, or the changes since the last read.

        Raises:
            HistoryGoneError: If the reader no longer has the changes since then.
            StoreError: If the reader does not respond, or its data is older than that already read.
        """
        if self._needs_full_read or self._position is None:
            update = await reader.read(self._table)
            if update.position < self._newest_read_position:
                raise StoreError(message="it has read less than is known here")
            return update
        # The first call after an outage or to another reader does not wait for a change, because
        # its response confirms that the reader is reachable and contains the era.
        is_reader_confirmed = reader is self._last_responder and not (
            self._is_call_uncertain or self._is_catch_up_call
        )
        wait_s = _LONG_POLL_WAIT_S if is_reader_confirmed and not self._failures else 0.0
        self._is_call_uncertain = False
        update = await self._poll_changes(reader, self._position, wait_s)
        if update.era < self._position.era:
            raise StoreError(message="its response is from an older era than the last one read")
        return update

    async def _poll_changes(self, reader: RowReader, after: Position, wait_s: float) -> Rows:
        """Polls for changes; a call whose connection breaks is repeated over a new one.

        Silent connections are noticed late and all at once, so a search for another reader would
        only add to the delay.
        """
        poll = reader.poll_changes
        try:
            return await self._run_cancellable(poll(self._table, after=after, wait_s=wait_s))
        except ConnectionBrokenError as error:
            self._journal.log("store", "connection broke", table=self._table, reason=str(error))
            self._selector.record_break(reader)
            return await self._run_cancellable(poll(self._table, after=after, wait_s=0.0))

    def _check_size(self, update: Rows, *, is_full: bool) -> None:
        """Checks that all tables together leave memory for the messages of peers.

        Raises:
            StoreError: If it does not.
        """
        size = 0 if is_full else self._rows_bytes
        for row in {row.key: row for row in update.rows}.values():
            known = None if is_full else self._rows.get(row.key)
            size += (0 if row.removed else row.memory_bytes) - (known.memory_bytes if known else 0)
        others_bytes = loop_inputs().memory.used_by_kind.get("tables", 0)
        if self._memory is not None:
            others_bytes -= self._memory.size
        max_bytes = max_table_bytes()
        own_share = int(_TABLE_SHARE * max_bytes)
        check_table_size(size, max_bytes=max(own_share, max_bytes - others_bytes))

    def _apply(self, update: Rows, *, is_full: bool, reader: str) -> None:
        if self._era is not None and update.era > self._era:
            self._begin_recovery(update)
        self._era = update.era
        removed = set(self._rows) - {row.key for row in update.rows} if is_full else set()
        self._position = max(update.position, self._position or INITIAL_POSITION)
        self._needs_full_read = False
        positions = (Position(update.era, row.version) for row in update.rows)
        self._newest_read_position = max([self._newest_read_position, *positions])
        for key in removed:
            self._drop_row(key)
        for row in update.rows:
            self._drop_row(row.key)
            if not row.removed:
                self._rows[row.key] = row
                self._rows_bytes += row.memory_bytes
        self._count_memory()
        removals = [Row(key, b"", update.version, removed=True) for key in removed]
        self._history.add(
            update._replace(rows=[*update.rows, *removals], version=self._position.version)
        )
        if update.rows or is_full or update.after_outage:
            is_backup = is_full and self.is_recovering
            delivery = TableUpdate(
                update.rows, is_full, update.after_outage, is_backup, update.era, reader
            )
            self._delivery.publish(delivery)

    def _count_memory(self) -> None:
        if self._memory is None:
            self._memory = MemoryHolder(
                budget=loop_inputs().memory, kind="tables", peer=self._table, break_off=lambda: None
            )
        self._memory.resize(self._rows_bytes)

    def _drop_row(self, key: str) -> None:
        row = self._rows.pop(key, None)
        if row is not None:
            self._rows_bytes -= row.memory_bytes

    def _begin_recovery(self, update: Rows) -> None:
        """Logs the restore from a backup and schedules the second delivery of the rows."""
        self._journal.log(
            "store",
            "returned from a copy",
            table=self._table,
            era=update.era,
            version=update.version,
            known=self._newest_read_position,
        )
        # Rows in the backup may have lower versions than those read before it was restored.
        self._newest_read_position = Position(update.era, 0)
        self._schedule_recovery_end()

    def _schedule_recovery_end(self) -> None:
        if self._recovery_timer is not None:
            self._recovery_timer.cancel()
        loop = asyncio.get_running_loop()
        self._recovery_timer = loop.call_later(self._recovery_s, self._end_recovery)

    def _end_recovery(self) -> None:
        """Delivers all rows again, now that writers had the time to repeat lost writes."""
        if self._failures or self._position is None:
            self._schedule_recovery_end()
            return
        self._recovery_timer = None
        self._journal.log("store", "settled", table=self._table, rows=len(self._rows))
        rows = list(self._rows.values())
        self._delivery.publish(
            TableUpdate(rows, is_full=True, after_outage=False, era=self._position.era)
        )

    async def _run_cancellable(self, call: Coroutine[Any, Any, _T]) -> _T:
        """Runs a call or a pause as a task, so that :meth:`restart_call` and others can cancel it.

        Raises:
            asyncio.CancelledError: If it was cancelled.
        """
        task: asyncio.Task[_T] = asyncio.create_task(call)
        self._open_call = task
        try:
            return await task
        finally:
            task.cancel()
            self._open_call = None

    def _record_failure(self, reader: RowReader, error: StoreError) -> None:
        self._last_responder = None
        self._selector.record_failure(reader, error)
        if not self._selector.is_store(reader):
            return
        self._failures += 1
        if self._failures == 1:
            self._journal.log("store", "lost", table=self._table, reason=str(error))
