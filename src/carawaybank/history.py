"""The last changes of a table that an entry VM follows, for siblings that follow it there."""

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from carawaybank.rows import BEGINNING, HistoryGoneError, Position, Row, Rows

#: Changes that are kept for siblings; one that is further behind reads the whole table.
_MOST_CHANGES = 2_000


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


class History:
    """Changes of one era of the store, the oldest dropped first."""

    def __init__(self) -> None:
        """Starts without changes."""
        self._batches: deque[_Batch] = deque()
        self._size = 0
        self._position = BEGINNING
        #: Version from which on the changes are kept; None before the first reading.
        self._first: int | None = None
        self._news = asyncio.Event()

    def add(self, found: Rows) -> None:
        """Keeps changes and wakes those who wait for them.

        The changes of an earlier era are dropped: siblings read the whole table anew.
        """
        is_new_era = found.era != self._position.era
        self._position = found.position
        if is_new_era or self._first is None:
            self._batches.clear()
            self._size = 0
            self._first = found.version
        elif found.rows or found.after_outage:
            self._batches.append(_Batch(found.version, found.rows, found.after_outage))
            self._size += len(found.rows)
        else:
            return
        while self._size > _MOST_CHANGES:
            dropped = self._batches.popleft()
            self._size -= len(dropped.rows)
            self._first = dropped.version
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def changes_since(self, position: Position, *, wait_s: float) -> Rows:
        """Returns the changes after a position, once there are any.

        Raises:
            HistoryGoneError: If they are not kept any more, or nothing was read yet.
        """
        found = self._find(position)
        if not found and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    while not found:
                        await self._news.wait()
                        found = self._find(position)
            except TimeoutError:
                found = []
        version = position.version
        rows = _newest(row for batch in found for row in batch.rows if row.version > version)
        after_outage = any(batch.after_outage for batch in found)
        return Rows(rows, max(version, self._position.version), after_outage, position.era)

    def _find(self, position: Position) -> list[_Batch]:
        is_known = self._first is not None and position.era == self._position.era
        if not is_known or position.version < (self._first or 0):
            raise HistoryGoneError(message="the changes since then are not kept")
        return [batch for batch in self._batches if batch.version > position.version]


def _newest(rows: Iterable[Row]) -> list[Row]:
    """Returns the last state of each row."""
    return list({row.key: row for row in rows}.values())
