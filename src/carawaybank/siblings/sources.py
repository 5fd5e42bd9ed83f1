"""From whom an entry VM reads the tables: the store, or a reader of its failure domain.

Load pattern: hundreds of VMs follow the same tables while targets and VMs come and go, or while
the store is down. Only readers call the store; each call of the others is answered by a sibling
of the same failure domain. While the store does not answer, a reader makes one call at a time for
all tables.
"""

import asyncio
import random

from carawaybank.journal import Journal
from carawaybank.rows import RowReader, RowStore, StoreError
from carawaybank.siblings.tables import SiblingTables
from carawaybank.siblings.vms import VmDirectory

#: Bounds in seconds of the pause between calls to a store that does not answer.
_PAUSES_S = (0.1, 0.6)
#: Factor between these pauses, and failures after which they grow no more.
_PAUSE_GROWTH = 1.5
_MOST_GROWTH = 8
#: Seconds after an outage for which changes count as read after it: lapsed rows are back by then.
_RETURN_S = 3.0
#: Seconds for which a sibling that failed is not asked again.
_AVOID_S = 3.0


class TableSource:
    """Chooses the reader of each call, and spaces calls to a store that fails."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        store: RowStore,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Starts with the store.

        Args:
            vms: The entry VMs that are known.
            store: The store.
            journal: Where changes of the reader are noted.
            rng: Source of the pauses' jitter.
        """
        self._vms = vms
        self._store = store
        self._journal = journal
        self._rng = rng
        self._siblings: dict[str, SiblingTables] = {}
        self._avoided: dict[str, float] = {}
        self._failures = 0
        self._turn = asyncio.Lock()
        self._current = ""

    def is_store(self, reader: RowReader) -> bool:
        """Returns whether a reader is the store itself."""
        return reader is self._store

    @property
    def is_after_outage(self) -> bool:
        """Whether the store was out of reach just now, for this VM or for one that it follows."""
        now = asyncio.get_running_loop().time()
        return now - self._vms.store_missed_at < _RETURN_S

    def choose(self) -> RowReader:
        """Returns the store for readers, and a reader for the others."""
        now = asyncio.get_running_loop().time()
        own = self._vms.own
        readers = self._vms.readers(now=now)
        if own in readers:
            return self._note_choice("", self._store)
        usable = [
            reader
            for reader in readers
            if reader.control_address and self._avoided.get(reader.control_address, 0.0) <= now
        ]
        if not usable:
            return self._note_choice("", self._store)
        # The VMs of a failure domain are spread over its readers by their names.
        chosen = usable[sum(own.vm.encode()) % len(usable)]
        address = chosen.control_address
        if address not in self._siblings:
            self._siblings[address] = SiblingTables(address=address)
        return self._note_choice(chosen.vm, self._siblings[address])

    async def wait_for_turn(self, reader: RowReader) -> None:
        """Waits for the turn of a call to a store that does not answer."""
        if reader is not self._store or not self._failures:
            return
        async with self._turn:
            if not self._failures:
                return
            low, high = _PAUSES_S
            pause_s = min(high, low * _PAUSE_GROWTH ** min(self._failures, _MOST_GROWTH))
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def note_answer(self, reader: RowReader) -> None:
        """Records that a reader answered."""
        if reader is self._store:
            self._failures = 0
            self._vms.reaches_store = True

    def note_failure(self, reader: RowReader, error: StoreError) -> None:
        """Records that a reader failed."""
        if reader is self._store:
            self._failures += 1
            self._vms.reaches_store = False
        else:
            self.avoid(reader, str(error))

    def avoid(self, reader: RowReader, reason: str) -> None:
        """Asks others than a sibling for a while."""
        for address, sibling in self._siblings.items():
            if sibling is reader:
                now = asyncio.get_running_loop().time()
                self._avoided[address] = now + _AVOID_S
                self._journal.note("siblings", "reader passed over", address=address, reason=reason)

    def _note_choice(self, name: str, reader: RowReader) -> RowReader:
        if name != self._current:
            self._current = name
            self._journal.note("siblings", "tables are read", reader=name or "the store")
        return reader
