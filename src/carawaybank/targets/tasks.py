"""The task that probes owned targets, new ones at once."""

import asyncio

from carawaybank import logs
from carawaybank.host import Host
from carawaybank.steering.pools import PoolTarget
from carawaybank.targets.client import TargetClient

_WORKERS = 4
#: Seconds between looks for targets that came into ownership.
_LOOK_S = 0.05


class ProbeTask:
    """Asks each owned target how it is, once an interval."""

    def __init__(self, *, host: Host, client: TargetClient, interval_s: float) -> None:
        """Prepares the task.

        Args:
            host: The decision core.
            client: Probes targets.
            interval_s: Seconds between probes of the same target.
        """
        self._host = host
        self._client = client
        self._interval_s = interval_s
        self._limit = asyncio.Semaphore(_WORKERS)
        self._log = logs.part("targets")

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            await self._wait()
            await asyncio.gather(*map(self._probe, self._host.owned_targets()))

    async def _wait(self) -> None:
        """Waits for the interval, or until owned targets may have changed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._interval_s
        while loop.time() < end and not self._host.targets_changed.is_set():
            await asyncio.sleep(_LOOK_S)
        self._host.targets_changed.clear()

    async def _probe(self, target: PoolTarget) -> None:
        async with self._limit:
            try:
                self._host.handle(await self._client.probe(target))
            except Exception:
                self._log.exception("Probe of {} failed", target.name)
