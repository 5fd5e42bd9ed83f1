"""Processes of the soak's VMs, as their runner sees them."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time

from standins.soak import fleet
from standins.soak.fleet import VmProcess, has_ended
from standins.soak.launcher import Launcher
from standins.soak.layout import Layout, load_deployment
from standins.soak.records import Recorder
from tests.standins.soak_vms import rules_in, run_vm, wait_for_lines

#: Module of a VM that ends at SIGTERM and says when it handles the signal.
IDLE_VM = """
import signal, sys
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
print("handles signals", flush=True)
signal.pause()
"""


def test_end_of_a_process_is_seen():
    """Guards against a pause of a VM that has ended, which would count as a disturbance."""
    command = [sys.executable, "-S", "-c", "input()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
        pidfd = os.pidfd_open(process.pid)
        try:
            assert not has_ended(pidfd)
            process.communicate(b"\n", timeout=20)
            assert has_ended(pidfd)
        finally:
            os.close(pidfd)


def test_status_of_an_ended_process_is_left_to_others():
    """Guards against a runner that loses the exit status of a VM."""
    with subprocess.Popen([sys.executable, "-S", "-c", "raise SystemExit(3)"]) as process:
        pidfd = os.pidfd_open(process.pid)
        try:
            os.waitid(os.P_PIDFD, pidfd, os.WEXITED | os.WNOWAIT)
            assert has_ended(pidfd)
            assert process.wait(timeout=20) == 3
        finally:
            os.close(pidfd)


def test_end_that_the_watching_thread_sees_late_is_recorded_on_time(tmp_path, monkeypatch):
    """Guards against a stop in time that a busy machine turns into a KILL and a FAULT."""
    watch_end = fleet._watch_end

    def watch_end_late(pidfd, ended_at):
        time.sleep(3.0)
        watch_end(pidfd, ended_at)

    monkeypatch.setattr(fleet, "_watch_end", watch_end_late)
    package = tmp_path / "carawaybank" / "platform"
    package.mkdir(parents=True)
    for directory in (package, package.parent):
        (directory / "__init__.py").touch()
    (package / "__main__.py").write_text(IDLE_VM)
    layout = Layout(load_deployment("small"), "127.210.0")
    path = tmp_path / "runner.jsonl"
    vm = VmProcess(
        vm=layout.vms[0],
        layout=layout,
        directory=tmp_path,
        launcher=Launcher(source=tmp_path),
        recorder=Recorder(path=path),
    )

    async def start_and_stop():
        await vm.start()
        try:
            async with asyncio.timeout(20):
                while "handles" not in (tmp_path / f"{vm.vm.name}.log").read_text():
                    await asyncio.sleep(0.01)
            await vm.stop()
        finally:
            await vm.kill()

    asyncio.run(start_and_stop())
    events = {row["event"]: row for row in map(json.loads, path.read_text().splitlines())}
    assert set(events) == {"start", "SIGTERM", "exit"}
    assert events["exit"]["expected"]
    assert events["exit"]["at"] - events["SIGTERM"]["at"] < 2.0


def test_end_by_itself_that_a_busy_runner_notes_after_its_kill_is_found(tmp_path, monkeypatch):
    """Guards against taking the end of a VM for the runner's doing, because both saw it late."""
    monkeypatch.setattr(fleet, "_watch_end", lambda _, ended_at: time.sleep(1.0))

    async def end_and_kill():
        async with run_vm(tmp_path, "raise SystemExit(3)") as vm:
            with contextlib.suppress(ChildProcessError):
                os.waitid(os.P_PID, vm.process.pid, os.WEXITED | os.WNOWAIT)
            await vm.kill()

    asyncio.run(end_and_kill())
    assert rules_in(tmp_path) == ["FAULT"]


def test_vm_of_a_runner_that_ignores_signals_starts_with_their_default_actions(tmp_path):
    """Guards against a play under nohup, in whose starts no SIGHUP can end a VM."""
    code = "import _signal; print([_signal.getsignal(n) == _signal.SIG_IGN for n in (1, 2, 15)])"

    async def start():
        async with run_vm(tmp_path, code):
            await wait_for_lines(tmp_path, 1)

    numbers = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    before = [signal.signal(number, signal.SIG_IGN) for number in numbers]
    try:
        Launcher.restore_signals()
        asyncio.run(start())
    finally:
        for number, action in zip(numbers, before, strict=True):
            signal.signal(number, action)
    (log,) = tmp_path.glob("*.log")
    assert log.read_text() == "[False, False, False]\n"
