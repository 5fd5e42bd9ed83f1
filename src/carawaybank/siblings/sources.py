"""Selects where an entry VM reads the tables: the store, or a reader of its failure domain.

Load pattern: hundreds of VMs follow the same tables while targets and VMs come and go, or while
the store is down. Only readers call the store; the other VMs call a sibling of the same failure
domain. While the store does not respond, a reader makes one call at a time for all tables. If the
store rejects most VMs of a failure domain, its readers lag behind, and the VM reads from readers of
other failure domains for a while.
"""

import asyncio
import contextlib
import random

from carawaybank.journal import Journal
from carawaybank.rows import RowReader, RowStore, StoreError
from carawaybank.siblings.tables import SiblingTables
from carawaybank.siblings.vms import VmDirectory, VmRecord

_STORE_NAME = "the store"
#: Bounds in seconds of the pause between calls to a store that does not respond.
_PAUSES_S = (0.1, 0.6)
#: Growth factor of these pauses, and the number of failures after which they stop growing.
_PAUSE_GROWTH = 1.5
_MAX_GROWTH_STEPS = 8
#: Seconds after an outage of the store for which changes count as read after it. Expired rows have
#: been written again by then.
_AFTER_OUTAGE_S = 3.0
#: Seconds for which a sibling that failed is not used, and for which readers of other failure
#: domains are used after one lagged behind.
_EXCLUSION_S = 3.0


class TableSource:
    """Selects the reader for each call, and delays calls to a store that fails."""

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
            vms: The known entry VMs, of which some are readers.
            store: Reads the tables from the store.
            journal: Logs changes of the reader.
            rng: Source of the jitter of pauses.
        """
        self._vms = vms
        self._store = store
        self._journal = journal
        self._rng = rng
        self._siblings: dict[str, SiblingTables] = {}
        self._by_name: dict[str, SiblingTables] = {}
        self._excluded_until: dict[str, float] = {}
        self._lagging_until = float("-inf")
        self._failures = 0
        self._call_lock = asyncio.Lock()
        self._has_responded = asyncio.Event()
        self._current_reader = ""

    @property
    def store(self) -> RowStore:
        """The store itself."""
        return self._store

    def is_store(self, reader: RowReader) -> bool:
        """Returns whether a reader is the store itself."""
        return reader is self._store

    def sibling_reader(self, vm: str) -> RowReader | None:
        """Returns the tables of a sibling; None if it is unknown or serves none."""
        record = self._vms.find(vm)
        if record is None or not record.control_address:
            return None
        return self._tables_of(record)

    def reader_name(self, reader: RowReader) -> str:
        """Returns the name of a sibling, or ``the store``."""
        if self.is_store(reader):
            return _STORE_NAME
        return next((name for name, known in self._by_name.items() if known is reader), "")

    @property
    def is_after_outage(self) -> bool:
        """Whether this VM, or another one known to it, recently failed to reach the store."""
        now = asyncio.get_running_loop().time()
        return now - self._vms.store_unreachable_at < _AFTER_OUTAGE_S

    def select_reader(self) -> RowReader:
        """Returns the store or a sibling, from which the next call reads.

        This is the store if this VM is a reader or no reader can be used, and otherwise a reader of
        its failure domain, or of another one after one of its own lagged behind.
        """
        now = asyncio.get_running_loop().time()
        own = self._vms.own
        readers = self._vms.readers(now=now)
        if own in readers:
            return self._log_choice("", self._store)
        usable = self._usable(readers, now)
        if now < self._lagging_until:
            remote = self._usable(self._vms.remote_readers(now=now), now)
            nearby = [record for record in remote if self._vms.is_in_own_region(record)]
            usable = nearby or remote or usable
        if not usable:
            return self._log_choice("", self._store)
        # The names of VMs distribute them over the readers.
        chosen = usable[sum(own.vm.encode()) % len(usable)]
        return self._log_choice(chosen.vm, self._tables_of(chosen))

    def _tables_of(self, record: VmRecord) -> SiblingTables:
        address = record.control_address
        if address not in self._siblings:
            self._siblings[address] = SiblingTables(address=address)
        self._by_name[record.vm] = self._siblings[address]
        return self._siblings[address]

    def _usable(self, readers: list[VmRecord], now: float) -> list[VmRecord]:
        return [
            reader
            for reader in readers
            if reader.control_address
            and self._excluded_until.get(reader.control_address, 0.0) <= now
        ]

    async def wait_for_call_slot(self, reader: RowReader) -> None:
        """Waits for a pause, one call at a time, before a call to a store that does not respond.

        The pause ends when another call gets a response.
        """
        if reader is not self._store or not self._failures:
            return
        async with self._call_lock:
            if not self._failures:
                return
            low, high = _PAUSES_S
            pause_s = min(high, low * _PAUSE_GROWTH ** min(self._failures, _MAX_GROWTH_STEPS))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s * self._rng.uniform(0.8, 1.2)):
                    await self._has_responded.wait()

    def record_success(self, reader: RowReader) -> None:
        """Records a response; from the store, it ends the pauses between calls."""
        if reader is self._store:
            self._failures = 0
            self._has_responded.set()
            self._vms.reaches_store = True

    def record_failure(self, reader: RowReader, error: StoreError) -> None:
        """Records a failed call: lengthens the pauses for the store, or excludes the sibling."""
        if reader is self._store:
            self._failures += 1
            self._has_responded.clear()
            self._vms.reaches_store = False
        else:
            self._exclude(reader, str(error))

    def record_break(self, reader: RowReader) -> None:
        """Records that an open connection broke; the store may have been unreachable until now."""
        if reader is self._store:
            self._vms.record_store_unreachable(now=asyncio.get_running_loop().time())

    def record_lag(self, reader: RowReader) -> None:
        """Records that a reader lacks a change that another sibling has; ignored for the store."""
        if reader is not self._store:
            self._lagging_until = asyncio.get_running_loop().time() + _EXCLUSION_S
            self._exclude(reader, "its changes lag behind those of another sibling")

    def _exclude(self, reader: RowReader, reason: str) -> None:
        for address, sibling in self._siblings.items():
            if sibling is reader:
                now = asyncio.get_running_loop().time()
                self._excluded_until[address] = now + _EXCLUSION_S
                self._journal.log("siblings", "reader passed over", address=address, reason=reason)

    def _log_choice(self, name: str, reader: RowReader) -> RowReader:
        if name != self._current_reader:
            self._current_reader = name
            self._journal.log("siblings", "tables are read", reader=name or _STORE_NAME)
        return reader
