"""Health checks of targets that are down, and connection checks of targets that may be down."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from carawaybank.background import ShortTasks
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.router import Router
from carawaybank.routing.suspects import UnfinishedRun
from carawaybank.routing.target import Target
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.steering.quarantine import CrashReport
from carawaybank.targets.paths import PathChecks
from carawaybank.verdicts import Reason

#: Seconds between polls for targets whose check is due.
_POLL_INTERVAL_S = 0.2
#: Time limit in seconds for connecting, and again for the response to a health check.
_TIMEOUT_S = 0.8
#: Seconds in which a target that accepts connections may prove to have started again just now.
_RESTART_S = 2.0
#: The same if no other target could be reached.
_RETURN_S = 30.0
#: Largest response body in bytes to a health check; its content is not used.
_MAX_BODY_BYTES = 65_536


class Health(NamedTuple):
    """The content of a target's response to a health check.

    Attributes:
        is_healthy: Whether the target reports itself healthy and is not draining.
        target_id: Identifier of the target that responded; empty if the response lacks it.
        cold_left_s: Seconds for which the target stays cold.
        is_draining: Whether the target announces its departure.
        limit: The limit that the response names; None if it names none.
    """

    is_healthy: bool
    target_id: str
    cold_left_s: float
    is_draining: bool = False
    limit: LimitStatement | None = None


class HealthDialect(Protocol):
    """Encodes health checks and decodes their responses in the protocol of the targets."""

    def encode_health(self, path: str, *, address: str) -> HttpCall:
        """Returns the health check request for the target at an address."""

    def decode_health(self, reply: HttpReply) -> Health:
        """Returns the health that a response to a health check reports."""


class HealthChecks:
    """Checks targets that are down, and those that lost a connection or let a request time out.

    Other targets get no health checks: they are evaluated by their responses to requests alone.
    """

    def __init__(
        self,
        *,
        router: Router,
        dialect: HealthDialect,
        paths: PathChecks,
        journal: Journal,
        on_crash: Callable[[CrashReport], None],
    ) -> None:
        """Creates the checks; ``run`` starts them.

        Args:
            router: Holds the targets and collects the suspected ones.
            dialect: Encodes and decodes health checks.
            paths: Tells whether this VM reaches other targets.
            journal: Logs the results of checks.
            on_crash: Called with a report for each request that was in flight at a target that
                crashed.
        """
        self._on_crash = on_crash
        self._paths = paths
        self._router = router
        self._journal = journal
        self._dialect = dialect
        self._tasks = ShortTasks(part="checks", journal=journal)
        #: Starts of targets that were checked since they are down.
        self._checked_down: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Starts the checks that are due, until cancelled."""
        loop = asyncio.get_running_loop()
        reachability = self._router.reachability
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            now = loop.time()
            for target in self._router.targets.by_id.values():
                is_due = target.is_down and now >= target.next_check_at
                is_due = is_due and not reachability.is_lost(target.entry.service)
                if is_due and self._router.limits.try_send(target.entry, now=now):
                    target.eject(now=now)
                    self._tasks.start(self._check_health(target))
            suspected: dict[str, list[CrashReport]] = {
                target_id: [] for target_id in self._router.suspects.pop_timed_out()
            }
            for report in self._router.suspects.pop_crashes():
                suspected.setdefault(report.target, []).append(report)
            for target_id, reports in suspected.items():
                self._tasks.start(self._check_connection(target_id, reports))
            self._check_unfinished(now)

    def _check_unfinished(self, now: float) -> None:
        """Finds out whether targets crashed after this VM gave up requests that they ran.

        A target that starts again without having announced its departure has crashed. One that is
        down is checked once, also if it is no longer known.
        """
        targets, suspects = self._router.targets, self._router.suspects
        down: dict[tuple[str, int], list[UnfinishedRun]] = {}
        for run in suspects.unfinished(now=now):
            _, target_id, incarnation = run.key
            known = targets.find(target_id)
            if targets.departures.has_left(target_id, incarnation):
                suspects.forget(run)
            elif known is not None and known.entry.incarnation > incarnation:
                suspects.forget(run)
                self._report_run(run)
            elif (known or run.target).is_down or known is None:
                down.setdefault((target_id, incarnation), []).append(run)
        for start in self._checked_down - down.keys():
            self._checked_down.remove(start)
        for start in down.keys() - self._checked_down:
            self._checked_down.add(start)
            self._tasks.start(self._check_down(down[start]))

    async def _check_down(self, runs: list[UnfinishedRun]) -> None:
        """Reports given up requests at a target whose process is gone.

        A machine that does not respond at all is lost, or the path to it is.
        """
        target = runs[0].target
        try:
            connection = await ClientConnection.open(target.entry.address, timeout_s=_TIMEOUT_S)
        except ExchangeError as error:
            is_refused = error.reason is Reason.CONNECTION_REFUSED
            if not is_refused or await self._paths.is_cut_off(beyond=target):
                return  # They are reported if the target starts again in time.
            for run in runs:
                self._router.suspects.forget(run)
                self._report_run(run)
        else:
            connection.close()

    def _report_run(self, run: UnfinishedRun) -> None:
        fingerprint, target_id, incarnation = run.key
        vm = self._router.options.vm
        self._on_crash(CrashReport(fingerprint, f"{target_id}.{incarnation}", vm))

    async def _check_connection(self, target_id: str, reports: list[CrashReport]) -> None:
        """Marks a target as down and reports its lost requests if it accepts no connections."""
        target = self._router.targets.find(target_id)
        if target is None:
            return
        if target.is_down:
            await self._report_crashes(target, reports)
            return
        try:
            connection = await ClientConnection.open(target.entry.address, timeout_s=_TIMEOUT_S)
        except ExchangeError as error:
            now = asyncio.get_running_loop().time()
            target.eject(now=now)
            self._router.reachability.record_failure(target.entry.service, target_id, now=now)
            self._log_event(
                target, "unreachable", f"{len(reports)} requests were in flight; {error}"
            )
            await self._report_crashes(target, reports)
        else:
            connection.close()
            self._remember(target, reports, _RESTART_S)

    async def _report_crashes(self, target: Target, reports: list[CrashReport]) -> None:
        """Reports requests that were in flight at a target that is down.

        The connections of a VM that is cut off break too. A crash is therefore reported only if
        this VM still reaches another target, or once the target has started again.
        """
        if not reports:
            return
        if await self._paths.is_cut_off(beyond=target):
            self._log_event(target, "crash not reported", "no other target can be reached either")
            self._remember(target, reports, _RETURN_S)
            return
        crashed = f"{target.entry.target_id}.{target.entry.incarnation}"
        for report in reports:
            self._on_crash(report._replace(target=crashed))

    def _remember(self, target: Target, reports: list[CrashReport], seconds: float) -> None:
        """Keeps requests for a time in which a new start of the target shows that it crashed."""
        until = asyncio.get_running_loop().time() + seconds
        incarnation = target.entry.incarnation
        for report in reports:
            run = UnfinishedRun(report.fingerprint, target, incarnation, until)
            self._router.suspects.record_unfinished(run)

    async def _check_health(self, target: Target) -> None:
        configuration = self._router.configuration
        service = configuration.services.get(target.entry.service) if configuration else None
        if service is None:
            return
        address = target.entry.address
        call = self._dialect.encode_health(service.health_path, address=address)
        sent_at = asyncio.get_running_loop().time()
        try:
            connection = await ClientConnection.open(address, timeout_s=_TIMEOUT_S)
            try:
                reply = await connection.exchange(
                    call, timeout_s=_TIMEOUT_S, max_body_bytes=_MAX_BODY_BYTES
                )
            finally:
                connection.close()
        except ExchangeError as error:
            self._log_event(target, "check failed", str(error))
            return
        self._apply(target, self._dialect.decode_health(reply), sent_at=sent_at)

    def _apply(self, target: Target, health: Health, *, sent_at: float) -> None:
        """Applies the response to a health check that was sent at ``sent_at``."""
        now = asyncio.get_running_loop().time()
        if health.target_id and health.target_id != target.entry.target_id:
            self._log_event(target, "address taken", health.target_id)
            self._router.targets.remove(target.entry.target_id)
            return
        if health.limit is not None:
            self._router.limits.record_statement(
                target.entry, health.limit, sent_at=sent_at, now=now
            )
        if health.is_draining:
            self._log_event(target, "leaving", "announced in the health check response")
            self._router.targets.record_departure(target)
        elif health.is_healthy:
            if health.cold_left_s:
                target.mark_cold(health.cold_left_s, now=now)
            target.reset_estimates(now=now)
            self._log_event(target, "recovered", f"cold for {health.cold_left_s} s")

    def _log_event(self, target: Target, event: str, reason: str) -> None:
        self._journal.log("checks", event, target=target.entry.target_id, reason=reason)
