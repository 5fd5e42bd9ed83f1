"""Regular checks of an entry VM's connections, and its recovery from a suspension."""

import asyncio
import functools
from collections.abc import Callable, Collection, Sequence

from carawaybank.callers import sweeps
from carawaybank.callers.connections import CallerConnection
from carawaybank.failures import FailureLog
from carawaybank.journal import Journal
from carawaybank.pacing import PaceReports
from carawaybank.relays import Relays
from carawaybank.retryreports import RetryReports
from carawaybank.siblings.allotments import AllotmentExchange
from carawaybank.suspension import SuspensionWatch
from carawaybank.targets.sender import TargetSender
from carawaybank.watch import TableWatch

#: Seconds between checks of connections, settings and suspension of the machine.
_INTERVAL_S = 0.5


class Maintenance:
    """Checks connections and settings at regular intervals."""

    def __init__(
        self,
        *,
        connections: Collection[CallerConnection],
        sender: TargetSender,
        relays: Relays,
        allotments: AllotmentExchange,
        pacing: PaceReports,
        retries: RetryReports,
        watches: Sequence[TableWatch],
        reload: Callable[[], None],
        failures: FailureLog,
        journal: Journal,
    ) -> None:
        """Initializes the maintenance.

        Args:
            connections: The open connections of callers.
            sender: Keeps connections to targets.
            relays: Keeps connections to siblings.
            allotments: Gives up what this VM owns after a suspension.
            pacing: Logs the pace of targets.
            retries: Logs the retries of requests.
            watches: The followed tables.
            reload: Applies changed settings.
            failures: Records steps that fail.
            journal: Logs suspensions.
        """
        self._connections = connections
        self._sender = sender
        self._relays = relays
        self._allotments = allotments
        self._pacing = pacing
        self._retries = retries
        self._watches = watches
        self._reload = reload
        self._failures = failures
        self._journal = journal

    async def run(self) -> None:
        """Checks until cancelled; a check that fails does not keep the others from running."""
        loop = asyncio.get_running_loop()
        suspension = SuspensionWatch()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            suspended_s = suspension.pop_suspended_s()
            self._failures.run_steps(
                functools.partial(self._recover_from_suspension, suspended_s),
                self._reload,
                self._pacing.publish,
                self._retries.publish,
                self._sender.pool.close_idle,
                functools.partial(self._relays.check_timeouts, loop.time()),
                functools.partial(sweeps.check_timeouts, self._connections, now=loop.time()),
            )

    def _recover_from_suspension(self, suspended_s: float) -> None:
        """Cancels calls and closes idle connections; a suspension may have outdated their state."""
        if not suspended_s:
            return
        self._journal.log("daemon", "was suspended", seconds=round(suspended_s, 2))
        self._sender.pool.close_all()
        self._relays.pool.close_all()
        self._allotments.recover()
        for watch in self._watches:
            watch.restart_call()
