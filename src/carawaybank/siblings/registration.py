"""Registrations of entry VMs in the store, the own one included."""

import asyncio
import random

import msgspec

from carawaybank.journal import Journal
from carawaybank.routing.router import Router
from carawaybank.rows import RowStore, StoreError
from carawaybank.siblings.vms import VmDirectory, VmRecord, is_usable
from carawaybank.watch import Changes

#: Beginning of the keys of registrations in the table that the project shares.
PREFIX = "vm/"
#: Bounds in seconds of the pause after a registration that failed.
_REGISTER_PAUSES_S = (0.3, 0.8)


class Registrations:
    """Registers this VM and passes on the registrations of all."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        router: Router,
        store: RowStore,
        table: str,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Takes the parts.

        Args:
            vms: The entry VMs that are known.
            router: Takes their names.
            store: Where VMs register.
            table: Table of the project's own rows.
            journal: Where changes are noted.
            rng: Source of the pauses' jitter.
        """
        self._vms = vms
        self._router = router
        self._store = store
        self._table = table
        self._key = PREFIX + vms.own.vm
        self._journal = journal
        self._rng = rng

    def take(self, changes: Changes) -> None:
        """Takes what the table said of VMs, with their names as keys."""
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
            if record.vm != row.key or not is_usable(record):
                reason = "another name or an address that cannot be used"
                self._journal.note("siblings", "row passed over", vm=row.key, reason=reason)
                continue
            present.add(row.key)
            if self._vms.update(record, now=now):
                self.note_change(record)
        if changes.whole:
            for record in self._vms.others:
                if record.vm not in present:
                    self._vms.remove(record.vm, now=now)
        self._router.vms = self._vms.names
        self._router.domain_size = 1 + len(self._vms.mates)

    def note_change(self, record: VmRecord) -> None:
        """Takes what a VM said of itself, here or by a heartbeat."""
        self._journal.note("siblings", "vm changed", sibling=record._asdict())
        self._router.vms = self._vms.names
        self._router.domain_size = 1 + len(self._vms.mates)

    async def register(self) -> None:
        """Writes the row of this VM, again until the store confirms it."""
        while True:
            value = msgspec.json.encode(self._vms.own)
            try:
                await self._store.put(self._table, self._key, value)
            except StoreError as error:
                self._journal.note("store", "registration failed", reason=str(error))
                await asyncio.sleep(self._rng.uniform(*_REGISTER_PAUSES_S))
            else:
                return

    async def deregister(self) -> None:
        """Removes the row of this VM; siblings heard of the stop from its last heartbeat."""
        try:
            await self._store.remove(self._table, self._key)
        except StoreError as error:
            self._journal.note("store", "deregistration failed", reason=str(error))
