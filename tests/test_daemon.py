"""The wiring of the daemon of the own interface, in this process."""

import asyncio

import pytest

from carawaybank.daemon import Daemon
from carawaybank.exceptions import TaskError
from carawaybank.targets.tasks import ProbeTask
from standins.cluster import free_address
from standins.fleet_models import make_settings


def test_a_daemon_whose_probes_ended_stops(monkeypatch):
    async def break_down(self):
        raise RuntimeError("probes ended")

    async def run():
        settings = make_settings("regina-vm1", "sask", "regina")._replace(
            callers_address=free_address(),
            control_address=free_address(),
            platform_url=f"http://{free_address()}",
            platform_timeout_s=0.2,
            entries_ttl_s=0.1,
        )
        daemon = Daemon(settings=settings)
        try:
            with pytest.raises(TaskError, match="probes ended"):
                await asyncio.wait_for(daemon.run(), 10.0)
        finally:
            daemon._metrics.close()

    monkeypatch.setattr(ProbeTask, "run", break_down)
    asyncio.run(run())
