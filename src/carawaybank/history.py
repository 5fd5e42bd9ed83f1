"""Keeps recent changes of a followed table, to serve siblings that follow it from this VM."""

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from carawaybank.rows import INITIAL_POSITION, HistoryGoneError, Position, Row, Rows

#: Changed rows kept for siblings; a sibling that lags by more reads the whole table.
_MAX_CHANGED_ROWS = 2_000
#: Bytes of memory that these may use.
_MAX_CHANGED_BYTES = 8_000_000


class _Batch(NamedTuple):
    """Changes that were read in one call.

    Attributes:
        version: Version of the store up to which the table is known with these changes.
        rows: The changed rows.
        after_outage: Whether the store was unreachable just before the call.
    """

    version: int
    rows: list[Row]
    after_outage: bool


class History:
    """A bounded list of changes within one era of the store; the oldest are dropped first."""

    def __init__(self) -> None:
        """Initializes an empty history."""
        self._batches: deque[_Batch] = deque()
        self._row_count = self._bytes = 0
        self._position = INITIAL_POSITION
        #: Changes after this version are kept; None before the first read.
        self._oldest_version: int | None = None
        self._changed = asyncio.Event()

    def add(self, update: Rows) -> None:
        """Appends changes and wakes all waiting calls of :meth:`changes_since`.

        A new era discards the changes of the previous one; siblings then read the whole table.
        """
        is_new_era = update.era != self._position.era
        self._position = update.position
        if is_new_era or self._oldest_version is None:
            self._batches.clear()
            self._row_count = self._bytes = 0
            self._oldest_version = update.version
        elif update.rows or update.after_outage:
            self._batches.append(_Batch(update.version, update.rows, update.after_outage))
            self._row_count += len(update.rows)
            self._bytes += _count_bytes(update.rows)
        else:
            return
        while self._row_count > _MAX_CHANGED_ROWS or self._bytes > _MAX_CHANGED_BYTES:
            oldest = self._batches.popleft()
            self._row_count -= len(oldest.rows)
            self._bytes -= _count_bytes(oldest.rows)
            self._oldest_version = oldest.version
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def changes_since(self, position: Position, *, wait_s: float) -> Rows:
        """Waits for changes after a position and returns them.

        Args:
            position: Position up to which the caller has read the table.
            wait_s: Maximum time in seconds to wait; without a change, the result has no rows.

        Raises:
            HistoryGoneError: If the changes are no longer kept, or nothing was read yet.
        """
        batches = self._batches_since(position)
        if not batches and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    while not batches:
                        await self._changed.wait()
                        batches = self._batches_since(position)
            except TimeoutError:
                batches = []
        version = position.version
        rows = _latest_rows(row for batch in batches for row in batch.rows if row.version > version)
        after_outage = any(batch.after_outage for batch in batches)
        return Rows(rows, max(version, self._position.version), after_outage, position.era)

    def _batches_since(self, position: Position) -> list[_Batch]:
        is_known = self._oldest_version is not None and position.era == self._position.era
        if not is_known or position.version < (self._oldest_version or 0):
            raise HistoryGoneError(message="the changes since this position are no longer kept")
        return [batch for batch in self._batches if batch.version > position.version]


def _count_bytes(rows: Iterable[Row]) -> int:
    return sum(row.memory_bytes for row in rows)


def _latest_rows(rows: Iterable[Row]) -> list[Row]:
    """Returns only the last change of each key."""
    return list({row.key: row for row in rows}.values())
