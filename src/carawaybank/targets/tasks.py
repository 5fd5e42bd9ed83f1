"""The task that probes owned targets, new ones at once."""

import threading
from concurrent.futures import ThreadPoolExecutor

from carawaybank import logs
from carawaybank.host import Host
from carawaybank.steering.pools import PoolTarget
from carawaybank.targets.client import TargetClient

_WORKERS = 4


class ProbeTask(threading.Thread):
    """Asks each owned target how it is, once an interval."""

    def __init__(self, *, host: Host, client: TargetClient, interval_s: float) -> None:
        """Prepares the task.

        Args:
            host: The decision core.
            client: Probes targets.
            interval_s: Seconds between probes of the same target.
        """
        super().__init__(name="probes", daemon=True)
        self._host = host
        self._client = client
        self._interval_s = interval_s
        self._stopping = False
        self._log = logs.part("targets")

    def run(self) -> None:
        """Runs until stopped."""
        with ThreadPoolExecutor(max_workers=_WORKERS) as workers:
            while not self._stopping:
                self._host.targets_changed.wait(self._interval_s)
                self._host.targets_changed.clear()
                list(workers.map(self._probe, self._host.owned_targets()))

    def stop(self) -> None:
        """Ends the task."""
        self._stopping = True
        self._host.targets_changed.set()

    def _probe(self, target: PoolTarget) -> None:
        try:
            self._host.handle(self._client.probe(target))
        except Exception:
            self._log.exception("Probe of {} failed", target.name)
