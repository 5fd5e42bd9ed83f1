"""Follows tables of the store: a whole reading first, then the changes as they come."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.journal import Journal
from carawaybank.platform.store import HistoryGoneError, Row, StoreClient, StoreError

#: Seconds for which the store holds a call that has no news.
_WAIT_S = 20.0
#: Bounds in seconds of the pause after a failed call.
_PAUSES_S = (0.15, 1.0)


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
        store: StoreClient,
        table: str,
        on_changes: Callable[[Changes], None],
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Starts without having read anything.

        Args:
            store: The store.
            table: Name of the table.
            on_changes: Takes what the table said.
            journal: Where losses of the store are noted.
            rng: Source of the pauses' jitter.
        """
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._journal = journal
        self._rng = rng
        self._version: int | None = None
        self._failures = 0

    @property
    def is_connected(self) -> bool:
        """Whether the last call succeeded."""
        return self._version is not None and self._failures == 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._journal.note("store", "history gone", table=self._table, seen=self._version)
                self._version = None
            except StoreError as error:
                await self._pause(error)

    async def _step(self) -> None:
        whole = self._version is None
        if self._version is None:
            found = await self._store.read(self._table)
        else:
            # The first call after an outage returns at once, to show that the store is back.
            wait_s = 0.0 if self._failures else _WAIT_S
            found = await self._store.watch(self._table, after=self._version, wait_s=wait_s)
        after_outage = self._failures > 0
        if after_outage:
            self._journal.note("store", "regained", table=self._table, failures=self._failures)
        self._failures = 0
        self._version = found.version
        if found.rows or whole or after_outage:
            self._on_changes(Changes(found.rows, whole, after_outage))

    async def _pause(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._journal.note("store", "lost", table=self._table, reason=str(error))
        low, high = _PAUSES_S
        pause_s = min(high, low * 1.5**self._failures)
        await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
