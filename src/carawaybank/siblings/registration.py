"""Registrations of entry VMs in the store, including that of this VM.

A VM writes its registration again if the store lost it because it was restored from an older
backup. All VMs detect the loss at the same time, whether they read the store or follow a reader, so
each waits for a random pause before the write.
"""

import asyncio
import random
import time

import msgspec

from carawaybank.deployment import Deployment
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.router import Router
from carawaybank.rows import RowStore, StoreError, TableUpdate
from carawaybank.siblings import weights
from carawaybank.siblings.vms import VmDirectory, VmRecord, is_usable

#: Prefix of the registrations' keys in the shared table.
KEY_PREFIX = "vm/"
#: Bounds in seconds of the random pause after a failed registration.
_REGISTER_PAUSES_S = (0.3, 0.8)
#: Maximum pause in seconds before a lost registration is written again: a constant, plus an amount
#: for each known VM, because the store accepts hundreds of writes a second.
_REWRITE_PAUSE_S = 0.3
_REWRITE_PAUSE_PER_VM_S = 0.004
#: Seconds after the confirmation of a registration in which rows read may be older than it.
_RECENTLY_CONFIRMED_S = 3.0


class Registrations:
    """Registers this VM and applies the registrations of all VMs."""

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
        """Starts without a registration; ``register`` writes it.

        Args:
            vms: The known entry VMs.
            router: Receives their names.
            store: Stores the registrations.
            table: Name of the shared table that holds the registrations.
            journal: Logs changes and failed writes.
            rng: Source of random pauses.
        """
        self._vms = vms
        self._router = router
        self._store = store
        self._table = table
        self._key = KEY_PREFIX + vms.own.vm
        self._weight_key = weights.KEY_PREFIX + vms.own.vm
        self._journal = journal
        self._rng = rng
        self._write_requested = asyncio.Event()
        self._write_requested.set()
        self._confirmed_at: float | None = None
        self._cut_off: frozenset[str] = frozenset()
        #: Versions of the rows of all VMs by name, as last read.
        self.versions: dict[str, int] = {}

    def apply(self, update: TableUpdate) -> None:
        """Applies changes of the registrations, whose keys are the names of the VMs.

        A row that cannot be read or used is logged and skipped. If the row of this VM is missing,
        it is written again.
        """
        now = asyncio.get_running_loop().time()
        present = set()
        own = self._vms.own
        if update.is_full:
            self.versions.clear()
        for row in update.rows:
            if row.removed:
                self.versions.pop(row.key, None)
                self._vms.remove(row.key, now=now, has_ended=True)
                if row.key == own.vm and not own.stopping:
                    # A delayed call of an earlier process of this VM removed the row.
                    self._vms.start_new_incarnation()
                    self._handle_missing(now, is_certain=True)
                continue
            try:
                record = decode_message(row.value, VmRecord, source="registration")
            except DocumentError as error:
                self._journal.log("siblings", "row passed over", vm=row.key, reason=str(error))
                continue
            if record.vm != row.key or not is_usable(record):
                reason = "the name differs from the key, or an address is invalid"
                self._journal.log("siblings", "row passed over", vm=row.key, reason=reason)
                continue
            self.versions[row.key] = row.version
            if record.vm != own.vm or record.incarnation == own.incarnation:
                present.add(row.key)
            if self._vms.update(record, now=now):
                self._log_change(record)
        if update.is_full and own.vm not in present:
            self._handle_missing(now, is_certain=update.is_backup)
        if update.is_full and not update.is_backup:
            for record in self._vms.others:
                if record.vm not in present:
                    self._vms.remove(record.vm, now=now, has_ended=False)
        self._update_router()

    def record_change(self, record: VmRecord) -> None:
        """Logs the record of a VM that a heartbeat changed, and updates the router."""
        self._log_change(record)
        self._update_router()

    def _log_change(self, record: VmRecord) -> None:
        self._journal.log("siblings", "vm changed", sibling=record._asdict())

    def update_cut_off(self) -> None:
        """Updates the router if other VMs reach no targets or do so again.

        Those that reach none have no share in the limits of targets.
        """
        cut_off = self._vms.cut_off_vms(now=asyncio.get_running_loop().time())
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            self._update_router()

    def _update_router(self) -> None:
        records = [self._vms.own, *self._vms.others]
        self._router.vms = self._vms.names
        self._router.limits.update_vms(
            {
                record.vm: VmLocality(record.failure_domain, record.region)
                for record in records
                if record.vm not in self._cut_off
            }
        )
        self._router.failure_domain_vm_count = 1 + len(self._vms.domain_peers)

    def _handle_missing(self, now: float, *, is_certain: bool) -> None:
        """Requests another write of this VM's row if the store has confirmed and then lost it.

        Args:
            now: Monotonic seconds.
            is_certain: Whether the row is known to be lost. Otherwise it counts as lost only if the
                confirmation is not recent, because the rows read may be older.
        """
        if self._confirmed_at is None or self._vms.own.stopping:
            return
        if is_certain or now - self._confirmed_at > _RECENTLY_CONFIRMED_S:
            self._journal.log("store", "registration lost")
            self._write_requested.set()

    async def register(self) -> None:
        """Writes the row of this VM now and whenever the store has lost it, until cancelled."""
        while True:
            await self._write_requested.wait()
            if self._confirmed_at is not None:
                max_pause_s = _REWRITE_PAUSE_S + _REWRITE_PAUSE_PER_VM_S * len(self._vms.names)
                await asyncio.sleep(self._rng.uniform(0.0, max_pause_s))
            self._write_requested.clear()
            try:
                await self._write()
            except Exception:
                self._write_requested.set()
                raise

    async def _write(self) -> None:
        """Writes the rows of this VM, with retries until the store confirms them or it stops."""
        is_registered = False
        while not self._vms.own.stopping:
            # The weight first: a VM that is known without it counts as one of mean size.
            own_weight = weights.encode_row(self._vms.weights.own_size)
            has_weight = own_weight is None or await self._put(self._weight_key, own_weight)
            if not is_registered:
                is_registered = await self._put(self._key, msgspec.json.encode(self._vms.own))
                if is_registered:
                    self._confirmed_at = asyncio.get_running_loop().time()
            if is_registered and has_weight:
                return
            await asyncio.sleep(self._rng.uniform(*_REGISTER_PAUSES_S))

    async def _put(self, key: str, value: bytes) -> bool:
        try:
            await self._store.put(self._table, key, value)
        except StoreError as error:
            self._journal.log("store", "registration failed", reason=str(error))
            return False
        return True

    async def deregister(self) -> None:
        """Removes the rows of this VM; a failure is only logged.

        Siblings know of the stop from the last heartbeat of this VM.
        """
        try:
            await self._store.remove(self._table, self._key)
            if self._vms.weights.own_size:
                await self._store.remove(self._table, self._weight_key)
        except StoreError as error:
            self._journal.log("store", "deregistration failed", reason=str(error))


def own_record(deployment: Deployment) -> VmRecord:
    """Returns the record of this VM, with a new incarnation."""
    return VmRecord(
        vm=deployment.vm,
        callers_address=deployment.callers_address,
        sibling_address=f"{deployment.ip}:{deployment.sibling_port}",
        failure_domain=deployment.failure_domain,
        region=deployment.region,
        incarnation=time.time_ns() // 1_000_000,
        control_address=deployment.control_address,
    )
