"""Proofs that the configuration in force is current, which strict revocation of API keys needs.

The polls that follow the operators' table are held for up to 29 s while nothing changes, so their
age proves nothing. With strict revocation, the readers of a failure domain also ask the store at
short intervals whether anything has changed, and the other VMs ask a reader for its changes and for
the age of its own proof. Without strict revocation nothing is sent.

Load pattern: hundreds of VMs need a proof each second. The store gets the calls of two readers per
failure domain; a VM calls it itself only if no reader responds, or the reader's build has no
proofs.
"""

import asyncio
import math
from typing import Protocol

from carawaybank.journal import Journal
from carawaybank.routing.revocation import RevocationLimit
from carawaybank.rows import Position, RowReader, StoreError
from carawaybank.siblings.tables import SiblingTables
from carawaybank.watch import TableWatch

#: Proofs requested within the time for which one is valid. A follower's proof is as old as that of
#: its reader and one interval of its own, which leaves two failed attempts.
_PROOFS_PER_LIMIT = 5
#: Seconds between checks whether the table was read or strict revocation was enabled.
_IDLE_INTERVAL_S = 0.05


class ReaderSource(Protocol):
    """Selects the reader of the tables."""

    @property
    def store(self) -> RowReader:
        """The store."""

    def select_reader(self) -> RowReader:
        """Returns the store or the sibling from which this VM reads."""


class ConfigurationProofs:
    """Requests proofs that the operators' table holds nothing newer than what was read."""

    def __init__(
        self,
        *,
        watch: TableWatch,
        source: ReaderSource,
        limit: RevocationLimit,
        journal: Journal,
    ) -> None:
        """Starts without a proof.

        Args:
            watch: Follows the operators' table.
            source: Selects the reader.
            limit: Receives the proofs, and states how old they may become.
            journal: Logs when keys may no longer be used, and when they may again.
        """
        self._watch = watch
        self._source = source
        self._limit = limit
        self._journal = journal
        self._is_lost = False

    async def run(self) -> None:
        """Requests proofs while revocation is strict, until cancelled."""
        while True:
            if self._limit.is_strict and self._watch.is_loaded:
                await self.request_proof()
                self._log_change()
                await asyncio.sleep(self._limit.within_s / _PROOFS_PER_LIMIT)
            else:
                await asyncio.sleep(_IDLE_INTERVAL_S)

    def age_s(self, table: str) -> float | None:
        """Returns the age of this VM's proof for a table, for siblings that follow it.

        It is infinity without a proof, and None if this VM requests no proofs of the table.
        """
        if table != self._watch.table or not self._limit.is_strict:
            return None
        return self._limit.age_s(now=asyncio.get_running_loop().time())

    async def request_proof(self) -> None:
        """Asks the reader, or the store if the reader states no proof, for a proof."""
        position = self._watch.rows.position
        for reader in dict.fromkeys((self._source.select_reader(), self._source.store)):
            asked_at = asyncio.get_running_loop().time()
            try:
                age_s = await self._ask(reader, position)
            except StoreError:
                continue
            if age_s is None:
                continue
            # During the recovery from a backup, the configuration in force may be one that the
            # store no longer holds.
            if not self._watch.is_recovering and self._watch.rows.era == position.era:
                self._limit.record_proof(at=asked_at - age_s)
            return

    def _log_change(self) -> None:
        age_s = self._limit.age_s(now=asyncio.get_running_loop().time())
        if (age_s > self._limit.within_s) != self._is_lost:
            self._is_lost = not self._is_lost
            # JSON has no infinity; -1 stands for no proof at all.
            shown_s = round(age_s, 3) if math.isfinite(age_s) else -1
            event = "proof lost" if self._is_lost else "proof regained"
            self._journal.log("config", event, age_s=shown_s, limit_s=self._limit.within_s)

    async def _ask(self, reader: RowReader, position: Position) -> float | None:
        """Returns the seconds since nothing newer than a position existed.

        The result is infinity if there is something newer, and None if the reader states no proof.
        """
        if isinstance(reader, SiblingTables):
            return await reader.read_proof_age_s(self._watch.table, after=position)
        rows = await reader.poll_changes(self._watch.table, after=position, wait_s=0.0)
        if not rows.rows and rows.era == position.era:
            return 0.0
        # The store shows a new era once per connection, so the watch may not see it by itself.
        versions = (row.version for row in rows.rows)
        self._watch.record_sibling_position(Position(rows.era, max(versions, default=0)))
        return math.inf
