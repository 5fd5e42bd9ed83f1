"""Checks of targets that failed, until they pass, and of those whose connections broke."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, Protocol

from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.fleet import Target
from carawaybank.routing.router import Router
from carawaybank.steering.quarantine import CrashReport

#: Seconds between looks for targets that are due.
_LOOK_S = 0.2
#: Longest time in seconds of a health check.
_TIMEOUT_S = 0.8
#: Largest answer in bytes to a check, whose body means nothing.
_MOST_BYTES = 65_536


class Health(NamedTuple):
    """A target's answer to a health check.

    Attributes:
        is_healthy: Whether it considers itself healthy and is not leaving.
        target_id: Which target answered; empty if it did not say.
        cold_left_s: Seconds for which it stays cold.
        is_leaving: Whether it said that it is leaving.
    """

    is_healthy: bool
    target_id: str
    cold_left_s: float
    is_leaving: bool = False


class HealthDialect(Protocol):
    """How targets are asked for their health."""

    def health_call(self, path: str, *, address: str) -> HttpCall:
        """Returns a health check of a target."""

    def read_health(self, reply: HttpReply) -> Health:
        """Returns what a target says of itself in a health check."""


class HealthChecks:
    """Checks failed targets; healthy ones are judged by their answers alone."""

    def __init__(
        self,
        *,
        router: Router,
        dialect: HealthDialect,
        journal: Journal,
        on_crash: Callable[[CrashReport], None],
    ) -> None:
        """Takes the parts.

        Args:
            router: Knows the targets.
            dialect: How targets are asked.
            journal: Where changes are noted.
            on_crash: Called with each request that was under way at a target that crashed.
        """
        self._on_crash = on_crash
        self._router = router
        self._journal = journal
        self._dialect = dialect
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Checks until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_LOOK_S)
            now = loop.time()
            for target in self._router.targets.all.values():
                if target.is_down and now >= target.next_check:
                    target.fail(now=now)
                    self._start(self._check(target))
            suspected: dict[str, list[CrashReport]] = {
                target_id: [] for target_id in self._router.take_silent()
            }
            for report in self._router.take_suspected():
                suspected.setdefault(report.target, []).append(report)
            for target_id, reports in suspected.items():
                self._start(self._confirm(target_id, reports))

    def _start(self, check: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(check)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _confirm(self, target_id: str, reports: list[CrashReport]) -> None:
        """Takes a target out of use if it does not accept connections any more."""
        target = self._router.targets.find(target_id)
        if target is None:
            return
        if target.is_down:
            for report in reports:
                self._on_crash(report)
            return
        try:
            connection = await ClientConnection.open(target.entry.address, timeout_s=_TIMEOUT_S)
        except ExchangeError as error:
            target.fail(now=asyncio.get_running_loop().time())
            self._note(target, "unreachable", f"{len(reports)} requests lost with it; {error}")
            for report in reports:
                self._on_crash(report)
        else:
            connection.close()

    async def _check(self, target: Target) -> None:
        configuration = self._router.configuration
        service = configuration.services.get(target.entry.service) if configuration else None
        if service is None:
            return
        address = target.entry.address
        call = self._dialect.health_call(service.health_path, address=address)
        try:
            connection = await ClientConnection.open(address, timeout_s=_TIMEOUT_S)
            try:
                reply = await connection.exchange(
                    call, timeout_s=_TIMEOUT_S, max_body_bytes=_MOST_BYTES
                )
            finally:
                connection.close()
        except ExchangeError as error:
            self._note(target, "check failed", str(error))
            return
        health = self._dialect.read_health(reply)
        now = asyncio.get_running_loop().time()
        if health.target_id and health.target_id != target.entry.target_id:
            self._note(target, "address taken", health.target_id)
            self._router.targets.remove(target.entry.target_id)
        elif health.is_leaving:
            self._note(target, "leaving", "as its answer to a check says")
            self._router.targets.note_leaving(target)
        elif health.is_healthy:
            if health.cold_left_s:
                target.set_cold(health.cold_left_s, now=now)
            target.recover()
            self._note(target, "recovered", f"cold for {health.cold_left_s} s")

    def _note(self, target: Target, event: str, reason: str) -> None:
        self._journal.note("checks", event, target=target.entry.target_id, reason=reason)
