"""Keeps the router's targets in step with the rows of the platform's registry."""

import asyncio

from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.platform import decoding
from carawaybank.platform.store import Row
from carawaybank.platform.watch import Changes
from carawaybank.routing.router import Router


class Registry:
    """Passes announcements on to the router.

    Rows that went missing while the store was out of reach may come back with it: their targets
    stay in use until a grace time after its return. Rows removed in plain sight are gone at once.
    """

    def __init__(
        self, *, router: Router, regions: dict[str, str], lapse_grace_s: float, journal: Journal
    ) -> None:
        """Starts without targets.

        Args:
            router: Takes the targets.
            regions: Region by failure domain.
            lapse_grace_s: Seconds after the store's return for which lapsed rows may reappear.
            journal: Where changes are noted.
        """
        self._router = router
        self._regions = regions
        self._lapse_grace_s = lapse_grace_s
        self._journal = journal
        self._removals: dict[str, asyncio.TimerHandle] = {}
        self.is_loaded = False

    def take(self, changes: Changes) -> None:
        """Takes what the registry said."""
        present = {row.key for row in changes.rows if not row.removed}
        for row in changes.rows:
            if row.removed:
                self._miss(row.key, at_once=not changes.after_outage)
            else:
                self._announce(row)
        if changes.whole:
            for target_id in set(self._router.targets.all) - present:
                self._miss(target_id, at_once=not changes.after_outage)
        self.is_loaded = True

    def _announce(self, row: Row) -> None:
        pending = self._removals.pop(row.key, None)
        if pending is not None:
            pending.cancel()
        try:
            entry = decoding.read_target(row.key, row.value, regions=self._regions)
        except DocumentError as error:
            self._journal.note("registry", "entry passed over", target=row.key, reason=str(error))
            return
        now = asyncio.get_running_loop().time()
        if self._router.targets.update(entry, now=now):
            self._journal.note(
                "registry",
                "target changed",
                target=entry.target_id,
                failure_domain=entry.failure_domain,
                draining=entry.draining,
                cold_left_s=entry.cold_left_s,
                version=row.version,
            )

    def _miss(self, target_id: str, *, at_once: bool) -> None:
        if self._router.targets.find(target_id) is None:
            return
        if at_once:
            self._remove(target_id)
        elif target_id not in self._removals:
            loop = asyncio.get_running_loop()
            self._removals[target_id] = loop.call_later(
                self._lapse_grace_s, self._remove, target_id
            )

    def _remove(self, target_id: str) -> None:
        self._removals.pop(target_id, None)
        if self._router.targets.remove(target_id):
            self._journal.note("registry", "target gone", target=target_id)
