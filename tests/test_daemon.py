"""The wiring of the daemon of the own interface, in this process."""

import asyncio
import subprocess
import sys

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
        with pytest.raises(TaskError, match="probes ended"):
            await asyncio.wait_for(daemon.run(), 10.0)

    monkeypatch.setattr(ProbeTask, "run", break_down)
    asyncio.run(run())


@pytest.mark.parametrize("module", ["carawaybank.daemon", "carawaybank.platform.__main__"])
def test_no_daemon_loads_the_metrics_library_before_it_serves(module):
    code = f"import sys, {module}; print([m for m in sys.modules if m.startswith('opentelemetry')])"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert run.stdout.strip() == "[]"
