"""What operators and entry VMs keep in the store's tables, passed on to the router."""

import asyncio
import random

import msgspec

from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.platform import decoding
from carawaybank.platform.store import StoreClient, StoreError
from carawaybank.platform.watch import Changes
from carawaybank.routing.router import Router
from carawaybank.siblings.vms import VmDirectory, VmRecord

OPERATORS_TABLE = "op"
TARGETS_TABLE = "servers"
VMS_TABLE = "entry-vms"
#: Bounds in seconds of the pause after a registration that failed.
_REGISTER_PAUSES_S = (0.3, 0.8)


class OperatorTable:
    """Configurations and evacuations."""

    def __init__(self, *, router: Router, counters: Counters, journal: Journal) -> None:
        """Takes the parts.

        Args:
            router: Takes configurations and evacuations.
            counters: Where the version in force is shown.
            journal: Where changes are noted.
        """
        self._router = router
        self._counters = counters
        self._journal = journal
        self._evacuated: set[str] = set()

    def take(self, changes: Changes) -> None:
        """Takes what the table said."""
        if changes.whole:
            self._evacuated = set()
        for row in changes.rows:
            failure_domain = decoding.read_evacuation(row.key)
            if failure_domain is not None and row.removed:
                self._evacuated.discard(failure_domain)
            elif failure_domain is not None:
                self._evacuated.add(failure_domain)
            elif row.key == decoding.CONFIGURATION_KEY and not row.removed:
                self._configure(row.value)
        if frozenset(self._evacuated) != self._router.targets.evacuated:
            self._journal.note("routing", "evacuated", failure_domains=sorted(self._evacuated))
            self._router.targets.evacuate(frozenset(self._evacuated))

    def _configure(self, value: bytes) -> None:
        try:
            configuration = decoding.read_configuration(value)
        except DocumentError as error:
            self._journal.note("config", "passed over", reason=str(error))
            return
        if self._router.configure(configuration):
            self._counters.configuration = configuration.version
            self._journal.note("config", "installed", version=configuration.version)


class VmTable:
    """Registrations of entry VMs, the own one included."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        router: Router,
        store: StoreClient,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Takes the parts.

        Args:
            vms: The entry VMs that are known.
            router: Takes their names.
            store: Where VMs register.
            journal: Where changes are noted.
            rng: Source of the pauses' jitter.
        """
        self._vms = vms
        self._router = router
        self._store = store
        self._journal = journal
        self._rng = rng

    def take(self, changes: Changes) -> None:
        """Takes what the table said."""
        now = asyncio.get_running_loop().time()
        present = set()
        for row in changes.rows:
            if row.removed:
                self._vms.remove(row.key, now=now)
                continue
            try:
                record = msgspec.json.decode(row.value, type=VmRecord)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                self._journal.note("siblings", "row passed over", vm=row.key, reason=str(error))
                continue
            present.add(row.key)
            if self._vms.update(record, now=now):
                self.note_change(record)
        if changes.whole:
            for record in self._vms.others:
                if record.vm not in present:
                    self._vms.remove(record.vm, now=now)
        self._router.vms = self._vms.names

    def note_change(self, record: VmRecord) -> None:
        """Takes what a VM said of itself, here or by a heartbeat."""
        self._journal.note("siblings", "vm changed", sibling=record._asdict())
        self._router.vms = self._vms.names

    async def register(self) -> None:
        """Writes the row of this VM, again until the store confirms it."""
        while True:
            value = msgspec.json.encode(self._vms.own)
            try:
                await self._store.put(VMS_TABLE, self._vms.own.vm, value)
            except StoreError as error:
                self._journal.note("store", "registration failed", reason=str(error))
                await asyncio.sleep(self._rng.uniform(*_REGISTER_PAUSES_S))
            else:
                return

    async def deregister(self) -> None:
        """Removes the row of this VM; siblings heard of the stop from its last heartbeat."""
        try:
            await self._store.remove(VMS_TABLE, self._vms.own.vm)
        except StoreError as error:
            self._journal.note("store", "deregistration failed", reason=str(error))
