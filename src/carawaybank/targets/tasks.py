"""Periodic probes of the targets that this entry VM owns."""

import asyncio

from carawaybank import logs
from carawaybank.host import Host
from carawaybank.steering.pools import PoolTarget
from carawaybank.targets.client import TargetClient

_MAX_CONCURRENT_PROBES = 4
#: Seconds between polls for targets that are newly owned.
_POLL_INTERVAL_S = 0.05


class ProbeTask:
    """Probes each owned target once per interval, and at once when the owned targets change."""

    def __init__(self, *, host: Host, client: TargetClient, interval_s: float) -> None:
        """Creates the task; ``run`` starts the probes.

        Args:
            host: Provides the owned targets and receives the results.
            client: Sends the probes.
            interval_s: Seconds between probes of the same target.
        """
        self._host = host
        self._client = client
        self._interval_s = interval_s
        self._probe_slots = asyncio.Semaphore(_MAX_CONCURRENT_PROBES)
        self._log = logs.get_logger("targets")

    async def run(self) -> None:
        """Probes all owned targets in rounds, until cancelled."""
        while True:
            await self._wait_for_round()
            await asyncio.gather(*map(self._probe, self._host.owned_targets()))

    async def _wait_for_round(self) -> None:
        """Waits for the interval, or until owned targets may have changed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._interval_s
        while loop.time() < end and not self._host.targets_changed.is_set():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._host.targets_changed.clear()

    async def _probe(self, target: PoolTarget) -> None:
        async with self._probe_slots:
            try:
                self._host.handle(await self._client.probe(target))
            except Exception:
                self._log.exception("Probe of {} failed", target.name)
