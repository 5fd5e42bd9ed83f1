"""Failure of a background task of ``carawaybankd``, and the modules that daemons import."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from carawaybank import background
from carawaybank.client import ClientConnection, HttpCall
from carawaybank.daemon import Daemon
from carawaybank.targets.tasks import ProbeTask
from standins.cluster import allocate_address
from standins.fleet_models import make_settings


def test_a_daemon_serves_on_while_its_background_tasks_fail(monkeypatch):
    """Guards against daemons that all end because of a failure that they have in common."""
    monkeypatch.setattr(background, "_MIN_PAUSE_S", 0.001)
    monkeypatch.setattr(background, "_MAX_PAUSE_S", 0.002)
    runs = []

    async def fail(self):
        runs.append(self)
        raise RuntimeError("probes ended")

    async def run():
        settings = make_settings("regina-vm1", "sask", "regina")._replace(
            callers_address=allocate_address(),
            control_address=allocate_address(),
            platform_url=f"http://{allocate_address()}",
            platform_timeout_s=0.2,
            entries_ttl_s=0.1,
        )
        daemon = Daemon(settings=settings)
        task = asyncio.create_task(daemon.run())
        async with asyncio.timeout(10.0):
            while len(runs) < 20:
                await asyncio.sleep(0.01)
            connection = await ClientConnection.open(settings.control_address, timeout_s=5.0)
            call = HttpCall("GET", "/v1/status", [("Host", settings.control_address)])
            assert (await connection.exchange(call, timeout_s=5.0)).status < 500
            assert daemon._counters.task_failures()["ProbeTask.run"] >= 19
            assert not task.done()
            daemon.stop()
            await task

    monkeypatch.setattr(ProbeTask, "run", fail)
    fail.__qualname__ = "ProbeTask.run"
    asyncio.run(run())


@pytest.mark.parametrize("module", ["carawaybank.daemon", "carawaybank.platform.__main__"])
def test_importing_a_daemon_does_not_load_the_metrics_library(module):
    """Guards against slower starts: a daemon serves later if it loads the library first."""
    code = f"import sys, {module}; print([m for m in sys.modules if m.startswith('opentelemetry')])"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert run.stdout.strip() == "[]"


def test_a_daemon_needs_no_standard_error(tmp_path):
    """Guards against a daemon that fails on its log if its supervisor closed standard error."""
    command = f'exec "{sys.executable}" -m carawaybank.daemon --settings "{tmp_path}/none" 2>&-'
    assert subprocess.run(["sh", "-c", command], check=False).returncode == 2


#: Runs the daemon with signals blocked by its parent, and stops it before its event loop runs.
STOP_BEFORE_LOOP = """
import os, signal, sys, time
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGHUP))
from carawaybank import daemon

def stop(coroutine):
    coroutine.close()
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(0.1)
    sys.exit(3)

daemon.asyncio.run = stop
daemon.main()
"""


def test_a_stop_signal_that_the_parent_blocks_stops_a_daemon():
    """Guards against a stop that is never noticed, or fails before the event loop runs."""
    settings = Path(__file__).resolve().parents[1] / "docs" / "entry-vm.toml"
    command = [sys.executable, "-c", STOP_BEFORE_LOOP, "--settings", str(settings)]
    assert subprocess.run(command, check=False).returncode == 0
