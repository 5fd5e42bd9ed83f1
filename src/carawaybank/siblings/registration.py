"""Registrations of entry VMs in the store, the own one included.

A registration that the store lost, because it returned from an older copy, is written again. All
VMs notice that in the same moment, whether they read the store or follow a reader, so their calls
are spread.
"""

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
#: Longest pause in seconds before a lost registration is written again, by a fleet of one VM and
#: for each further VM. The store takes hundreds of writes a second.
_AGAIN_PAUSE_S = 0.3
_AGAIN_PAUSE_FOR_EACH_S = 0.004
#: Seconds after its confirmation in which a reading may be older than the registration.
_CONFIRMED_LATELY_S = 3.0


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
        self._is_wanted = asyncio.Event()
        self._is_wanted.set()
        self._confirmed_at: float | None = None

    def take(self, changes: Changes) -> None:
        """Takes what the table said of VMs, with their names as keys."""
        now = asyncio.get_running_loop().time()
        present = set()
        own = self._vms.own
        for row in changes.rows:
            if row.removed:
                self._vms.remove(row.key, now=now, has_ended=True)
                if row.key == own.vm and not own.stopping:
                    # An earlier process of this VM removed it; the call took effect late.
                    self._vms.renew()
                    self._note_missing(now, is_certain=True)
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
            if record.vm != own.vm or record.incarnation == own.incarnation:
                present.add(row.key)
            if self._vms.update(record, now=now):
                self.note_change(record)
        if changes.whole and own.vm not in present:
            self._note_missing(now, is_certain=changes.is_copy)
        if changes.whole and not changes.is_copy:
            for record in self._vms.others:
                if record.vm not in present:
                    self._vms.remove(record.vm, now=now, has_ended=False)
        self._router.vms = self._vms.names
        self._router.domain_size = 1 + len(self._vms.mates)

    def note_change(self, record: VmRecord) -> None:
        """Takes what a VM said of itself, here or by a heartbeat."""
        self._journal.note("siblings", "vm changed", sibling=record._asdict())
        self._router.vms = self._vms.names
        self._router.domain_size = 1 + len(self._vms.mates)

    def _note_missing(self, now: float, *, is_certain: bool) -> None:
        """Has the row of this VM written again, if the store held it and has lost it."""
        if self._confirmed_at is None or self._vms.own.stopping:
            return
        if is_certain or now - self._confirmed_at > _CONFIRMED_LATELY_S:
            self._journal.note("store", "registration lost")
            self._is_wanted.set()

    async def register(self) -> None:
        """Writes the row of this VM, and again whenever the store lost it, until cancelled."""
        while True:
            await self._is_wanted.wait()
            if self._confirmed_at is not None:
                longest_s = _AGAIN_PAUSE_S + _AGAIN_PAUSE_FOR_EACH_S * len(self._vms.names)
                await asyncio.sleep(self._rng.uniform(0.0, longest_s))
            self._is_wanted.clear()
            await self._write()

    async def _write(self) -> None:
        """Writes the row of this VM, again until the store confirms it or this VM stops."""
        while not self._vms.own.stopping:
            value = msgspec.json.encode(self._vms.own)
            try:
                await self._store.put(self._table, self._key, value)
            except StoreError as error:
                self._journal.note("store", "registration failed", reason=str(error))
                await asyncio.sleep(self._rng.uniform(*_REGISTER_PAUSES_S))
            else:
                self._confirmed_at = asyncio.get_running_loop().time()
                return

    async def deregister(self) -> None:
        """Removes the row of this VM; siblings heard of the stop from its last heartbeat."""
        try:
            await self._store.remove(self._table, self._key)
        except StoreError as error:
            self._journal.note("store", "deregistration failed", reason=str(error))
