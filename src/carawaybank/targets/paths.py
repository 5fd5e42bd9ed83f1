"""Checks whether this entry VM still reaches the targets of a service, over new connections.

A path is checked when attempts get no response or fail at several targets, and while it is lost.
A few targets in different failure domains are tried each time, so that neither the end of a cut
nor an outage of targets causes a rush of connections.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from carawaybank.background import ShortTasks
from carawaybank.client import ClientConnection, ExchangeError
from carawaybank.journal import Journal
from carawaybank.routing import relaying
from carawaybank.routing.reachability import CHECK_INTERVAL_S, LOST_FAILURES, RESTORED_TARGETS
from carawaybank.routing.router import Router
from carawaybank.routing.target import Target

#: Seconds between polls for paths whose check is due.
_POLL_INTERVAL_S = 0.1
#: Time limit in seconds to connect, to which four round trips to the target are added.
_BASE_TIMEOUT_S = 0.2
#: Other targets tried before a VM considers itself cut off.
_OTHER_TARGETS = 3


class PathChecks:
    """Checks suspected and lost paths, and applies the loss and the return of paths."""

    def __init__(
        self,
        *,
        router: Router,
        journal: Journal,
        rng: random.Random,
        on_change: Callable[[], None],
        abort_attempts: Callable[[frozenset[str]], int],
    ) -> None:
        """Creates the checks; ``run`` starts them.

        Args:
            router: Holds the targets and what is known of the paths to them.
            journal: Logs losses and returns of paths.
            rng: Selects the targets to check.
            on_change: Called after a path was lost or restored.
            abort_attempts: Ends the idempotent attempts at some targets; returns their number.
        """
        self._router = router
        self._journal = journal
        self._rng = rng
        self._on_change = on_change
        self._abort_attempts = abort_attempts
        self._tasks = ShortTasks(part="paths", journal=journal)

    async def run(self) -> None:
        """Starts the checks that are due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._start_due_checks(loop.time())

    def _start_due_checks(self, now: float) -> None:
        router, reachability = self._router, self._router.reachability
        reachability.retain(router.targets.services)
        silent = relaying.silent_services(router, now)
        for service in router.targets.services:
            targets = router.targets.eligible_targets(service)
            usable = [target for target in targets if not target.is_down]
            reachability.record_unreachable(service, is_unreachable=not usable, now=now)
            is_due = not usable or service in silent
            is_due |= reachability.is_suspect(service, target_count=len(targets), now=now)
            if is_due and reachability.try_check(service, now=now):
                self._check(usable or targets, LOST_FAILURES if usable else RESTORED_TARGETS)

    def apply_evidence(self, service: str, sibling: str, age_s: float) -> None:
        """Applies a sibling's statement that it reached a target of a service.

        Args:
            service: Name of the service.
            sibling: Name of the sibling.
            age_s: Seconds since it reached a target.
        """
        router, now = self._router, asyncio.get_running_loop().time()
        targets = router.targets.eligible_targets(service)
        if router.reachability.is_lost(service):
            return
        if router.reachability.apply_evidence(
            service, sibling=sibling, age_s=age_s, target_count=len(targets), now=now
        ):
            relaying.lose_paths(router, service, now)
            aborted = 0
            if router.starts_retries(now):
                aborted = self._abort_attempts(frozenset(t.entry.target_id for t in targets))
            self._log_changes(aborted=aborted)
            for other in router.targets.services:
                if other != service and not router.reachability.is_lost(other):
                    self._check(router.targets.eligible_targets(other), LOST_FAILURES)

    def refresh(self, service: str) -> None:
        """Checks two targets of a service, because a sibling asked and the last response is old."""
        now = asyncio.get_running_loop().time()
        age_s = self._router.reachability.reached_age_s(service, now=now)
        if age_s is not None and age_s < CHECK_INTERVAL_S:
            return
        if self._router.reachability.try_check(service, now=now):
            targets = self._router.targets.eligible_targets(service)
            self._check([target for target in targets if not target.is_down], RESTORED_TARGETS)

    async def is_cut_off(self, *, beyond: Target) -> bool:
        """Returns whether this VM reaches none of a few targets other than one that is down.

        The result is False if it knows no others.
        """
        others = [t for t in self._router.targets.by_id.values() if t is not beyond]
        if not others:
            return False
        others = [target for target in others if not target.is_down]
        checks = [self._connect(target) for target in self._spread(others, _OTHER_TARGETS)]
        return not any(await asyncio.gather(*checks))

    def _check(self, targets: list[Target], count: int) -> None:
        for target in self._spread(targets, count):
            self._tasks.start(self._check_target(target))

    async def _check_target(self, target: Target) -> None:
        service, target_id = target.entry.service, target.entry.target_id
        reachability = self._router.reachability
        is_reached = await self._connect(target)
        now = asyncio.get_running_loop().time()
        if not is_reached:
            reachability.record_failure(service, target_id, now=now)
            if not target.is_down:
                target.eject(now=now)
            return
        was_lost, failing_since = reachability.is_lost(service), reachability.failing_since(service)
        target_count = len(self._router.targets.eligible_targets(service))
        if reachability.record_check(service, target_id, target_count=target_count, now=now):
            if was_lost:
                relaying.restore_paths(self._router, service, failing_since=failing_since, now=now)
            else:
                relaying.hasten_checks(self._router, service, now)
            self._log_changes()

    async def _connect(self, target: Target) -> bool:
        entry = target.entry
        round_trip_s = self._router.round_trip_times.estimate_s(entry.failure_domain, entry.region)
        timeout_s = _BASE_TIMEOUT_S + 4 * round_trip_s
        try:
            connection = await ClientConnection.open(entry.address, timeout_s=timeout_s)
        except ExchangeError:  # The caller records the failure.
            return False
        connection.close()
        return True

    def _spread(self, targets: Iterable[Target], count: int) -> list[Target]:
        """Returns some random targets, in different failure domains if there are any."""
        shuffled = list(targets)
        self._rng.shuffle(shuffled)
        first_by_domain: dict[str, Target] = {}
        for target in shuffled:
            first_by_domain.setdefault(target.entry.failure_domain, target)
        preferred = list(first_by_domain.values())
        rest = [target for target in shuffled if target not in preferred]
        return (preferred + rest)[:count]

    def _log_changes(self, *, aborted: int = 0) -> None:
        for change in self._router.reachability.pop_changes():
            if change.is_lost:
                self._journal.log(
                    "paths",
                    "lost",
                    service=change.service,
                    sibling=change.sibling,
                    evidence_age_s=round(change.evidence_age_s, 2),
                    aborted=aborted,
                )
            else:
                self._journal.log(
                    "paths", "restored", service=change.service, lost_s=round(change.lost_s, 2)
                )
        self._on_change()
