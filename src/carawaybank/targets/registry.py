"""Keeps the router's targets in step with what they announce in the store."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.fleet import TargetEntry
from carawaybank.routing.router import Router
from carawaybank.rows import Row
from carawaybank.watch import Changes

#: Share of a service's rows beyond which rows that are missing after an outage are taken to have
#: lapsed. Planned work replaces fewer targets within an outage.
_LAPSED_SHARE = 0.5
#: Targets that are gone and whose last announcement is remembered.
_MOST_GONE = 4_096


class Registry:
    """Passes announcements on to the router.

    Rows removed in plain sight are gone at once, and so are the few that went missing while the
    store was out of reach. When most rows of a service went missing with it, they lapsed because
    the targets did not reach the store either: those stay in use until a grace time after the
    store's return, within which they come back.

    A copy from which the store returned lacks what was announced since, which is announced again,
    and holds targets that have left since, which announce nothing any more. The former stay in use
    for the grace time; the latter are not taken until they announce something new, or are still
    there when the store has settled.
    """

    def __init__(
        self,
        *,
        router: Router,
        read_target: Callable[[Row], TargetEntry],
        lapse_grace_s: float,
        journal: Journal,
    ) -> None:
        """Starts without targets.

        Args:
            router: Takes the targets.
            read_target: Returns the target that a row announces; raises ``DocumentError``.
            lapse_grace_s: Seconds after the store's return for which lapsed rows may reappear.
            journal: Where changes are noted.
        """
        self._router = router
        self._read_target = read_target
        self._lapse_grace_s = lapse_grace_s
        self._journal = journal
        self._removals: dict[str, asyncio.TimerHandle] = {}
        #: Incarnation and sequence of the last announcement of targets that are gone.
        self._gone: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.is_loaded = False

    def take(self, changes: Changes) -> None:
        """Takes what the registry said."""
        present = {row.key for row in changes.rows if not row.removed}
        missing = {row.key for row in changes.rows if row.removed}
        if changes.whole:
            missing |= set(self._router.targets.all) - present
        for row in changes.rows:
            if not row.removed:
                self._announce(row, is_copy=changes.is_copy)
        lapsed = self._find_lapsed(missing) if changes.after_outage else set()
        if changes.is_copy:
            lapsed = missing
        for target_id in sorted(missing):
            self._miss(target_id, at_once=target_id not in lapsed)
        self.is_loaded = True

    def _find_lapsed(self, missing: set[str]) -> set[str]:
        """Returns the missing targets of services that lost most of their rows."""
        by_service: dict[str, set[str]] = {}
        for target_id, target in self._router.targets.all.items():
            by_service.setdefault(target.entry.service, set()).add(target_id)
        lapsed: set[str] = set()
        for known in by_service.values():
            gone = known & missing
            if len(gone) > _LAPSED_SHARE * len(known):
                lapsed |= gone
        return lapsed

    def _announce(self, row: Row, *, is_copy: bool) -> None:
        pending = self._removals.pop(row.key, None)
        if pending is not None:
            pending.cancel()
        try:
            entry = self._read_target(row)
        except DocumentError as error:
            self._journal.note("registry", "entry passed over", target=row.key, reason=str(error))
            return
        if is_copy and self._is_outdated(entry):
            self._journal.note("registry", "outdated entry passed over", target=row.key)
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

    def _is_outdated(self, entry: TargetEntry) -> bool:
        """Returns whether a target was gone after it had announced this, or something later."""
        gone = self._gone.get(entry.target_id)
        return gone is not None and (entry.incarnation, entry.sequence) <= gone

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
        target = self._router.targets.find(target_id)
        if target is not None and self._router.targets.remove(target_id):
            self._gone[target_id] = (target.entry.incarnation, target.entry.sequence)
            self._gone.move_to_end(target_id)
            if len(self._gone) > _MOST_GONE:
                self._gone.popitem(last=False)
            self._journal.note("registry", "target gone", target=target_id)
