"""Signals that meet the start or the stop of an entry VM, and signals that its parent blocks."""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from carawaybank import start
from standins.cluster import process_ip
from tests.platform.sites import START_S
from tests.platform.test_process import Node

pytestmark = pytest.mark.processes

ROOT = Path(__file__).resolve().parents[1]
SCRIPT = Path(start.__file__)
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
#: Seconds from SIGTERM to the kill, as in the settings of the tests.
STOP_S = 6.0

IMPORTED = re.compile(r"import time:[ \d]+\|[ \d]+\| *(\S+)")


def list_imports(script, *arguments):
    """Returns the modules that the interpreter imports to run a script, in their order."""
    command = [sys.executable, "-S", "-P", "-X", "importtime", str(script), *arguments]
    run = subprocess.run(command, env={}, capture_output=True, text=True, check=False)
    return IMPORTED.findall(run.stderr)


def test_nothing_is_imported_before_signals_are_handled(tmp_path):
    """Guards against a longer time after the start in which a signal ends a process."""
    empty = tmp_path / "empty.py"
    empty.write_text("")
    # The package is not on the module path, so that its import, the first one, ends the process.
    *imports, _, _, command = list_imports(SCRIPT, "--version")
    assert command == "carawaybank.platform.command"
    assert imports == list_imports(empty)


def test_the_deployment_starts_the_script_by_its_path():
    """Guards against a deployment that loads modules of the interpreter before the script."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        words = tomllib.load(file)["roles"]["entry"]["run"].split()
    assert words[0] == "python3"
    assert words[-1] == "target/deps/carawaybank/start.py"
    assert set(words[1:-1]) == {"-S", "-P"}


#: Command of a package that prints the module path.
PRINT_PATH = "import sys\ndef main():\n    print(sys.path[0])\n    return 0\n"


@pytest.mark.parametrize("options", [[], ["-P"]])
@pytest.mark.parametrize("is_linked", [False, True])
def test_modules_beside_the_script_hide_no_others(tmp_path, options, is_linked):
    """Guards against a folder of the package on the module path of a script that is run by path."""
    package = tmp_path / "built" / "carawaybank"
    (package / "platform").mkdir(parents=True)
    shutil.copy(SCRIPT, package)
    (package / "__init__.py").touch()
    (package / "platform" / "__init__.py").touch()
    (package / "platform" / "command.py").write_text(PRINT_PATH)
    (tmp_path / "linked").symlink_to(tmp_path / "built")
    folder = tmp_path / ("linked" if is_linked else "built")
    run = subprocess.run(
        [sys.executable, *options, str(folder / "carawaybank" / "start.py")],
        env={"PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert run.stdout == f"{folder}\n"


@pytest.mark.parametrize("number", SIGNALS)
def test_an_interrupted_check_does_not_report_success(tmp_path, number):
    """Guards against a deployment script that goes on with settings that were not checked."""
    settings = tmp_path / "node.toml"
    os.mkfifo(settings)
    command = [sys.executable, str(SCRIPT), "--check", "--settings", str(settings)]
    process = subprocess.Popen(command)
    with settings.open("wb"):  # Returns once the process reads its settings.
        process.send_signal(number)
        assert process.wait(START_S) == -number


class Vm(Node):
    """The process of an entry VM that is started by the script, by a parent with other signals."""

    def __init__(self, *, words=(str(SCRIPT),), blocked=(), ignored=()):
        self._words = words
        self._blocked, self._ignored = blocked, ignored

    async def launch(self, path):
        self.path = path
        if not path.exists():
            path.write_text(self.text)
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._words,
            env={**os.environ, "CARAWAYBANK_SETTINGS": str(path)},
            stdout=pipe,
            stderr=asyncio.subprocess.STDOUT,
            restore_signals=False,
            preexec_fn=self._set_signals,
        )

    def _set_signals(self):
        for number in self._ignored:
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_BLOCK, self._blocked)

    def send(self, number):
        # Process.send_signal polls, which takes the exit status away from the event loop.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def wait_for_event(self, event):
        async with asyncio.timeout(START_S):
            while line := await self.process.stdout.readline():
                if json.loads(line)["event"] == event:
                    return
        raise AssertionError(f"the process ended without {event!r}")

    async def wait_until_serving(self):
        async with asyncio.timeout(START_S):
            while not await self.is_ready():
                assert self.process.returncode is None
                await asyncio.sleep(0.05)

    async def end(self, *, within_s):
        """Returns the status of the process, which has to end in time by itself."""
        await asyncio.wait_for(self.process.communicate(), within_s)
        return self.process.returncode


WAYS = {"script": (str(SCRIPT),), "module": ("-m", "carawaybank.platform")}


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("number", SIGNALS[1:])
def test_a_stop_signal_that_the_parent_blocks_stops_the_process(tmp_path, way, number):
    """Guards against a stop that is never noticed and ends in a kill with requests in progress."""

    async def run():
        async with Vm(words=WAYS[way], blocked=SIGNALS) as vm:
            await vm.launch(tmp_path / "node.toml")
            await vm.wait_until_serving()
            vm.send(number)
            assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())


@pytest.mark.parametrize("way", WAYS)
def test_a_stop_signal_that_the_parent_ignores_stops_the_process(tmp_path, way):
    """Guards against a stop that ends in a kill since the parent ignores its signal."""

    async def run():
        async with Vm(words=WAYS[way], ignored=SIGNALS) as vm:
            await vm.launch(tmp_path / "node.toml")
            await vm.wait_until_serving()
            vm.send(signal.SIGTERM)
            assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())


def test_a_stop_signal_sent_before_the_first_line_of_a_blocked_start_ends_it_as_planned(tmp_path):
    """Guards against a stop that is lost, or fails, since it was sent to a process that starts."""

    async def run():
        async with Vm(blocked=SIGNALS) as vm:
            await vm.launch(tmp_path / "node.toml")
            vm.send(signal.SIGHUP)
            vm.send(signal.SIGTERM)
            assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())


def count_handled(pid):
    """Returns how many of the signals a process ignores or handles, and blocks none of."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = {key: int(value, 16) for key, _, value in (line.partition(":") for line in lines)
             if key in {"SigBlk", "SigIgn", "SigCgt"}}  # fmt: skip
    handled = (masks["SigIgn"] | masks["SigCgt"]) & ~masks["SigBlk"]
    return sum(bool(handled & 1 << number - 1) for number in SIGNALS)


@pytest.mark.parametrize("seed", range(5))
def test_signals_at_any_moment_of_a_start_end_it_as_planned_or_not_at_all(tmp_path, seed):
    """Guards against an end by a signal between the first line and the event loop's handlers."""
    rng = random.Random(f"start-{seed}")

    async def run():
        async with Vm() as vm:
            await vm.launch(tmp_path / "node.toml")
            async with asyncio.timeout(START_S):
                while count_handled(vm.process.pid) < len(SIGNALS):
                    await asyncio.sleep(0)
            stops_at = time.monotonic() + rng.uniform(0.0, 0.8)
            while time.monotonic() < stops_at:
                vm.send(signal.SIGHUP)
                await asyncio.sleep(rng.uniform(0.0, 0.01))
                assert vm.process.returncode is None
            for number in rng.sample((signal.SIGHUP, signal.SIGTERM, signal.SIGTERM), 3):
                vm.send(number)
            assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())


@pytest.mark.parametrize("blocked", [(), SIGNALS])
def test_a_process_that_waits_for_settings_or_addresses_stops_as_planned(tmp_path, blocked):
    """Guards against a stop of a process that does not serve yet which looks like a failure."""

    async def run():
        async with Vm(blocked=blocked) as vm:
            path = tmp_path / "node.toml"
            path.write_text("incomplete = ")
            await vm.launch(path)
            await vm.wait_for_event("waiting for settings")
            vm.send(signal.SIGHUP)
            vm.send(signal.SIGTERM)
            assert await vm.end(within_s=STOP_S) == 0
            with socket.socket() as holder:
                holder.bind((process_ip(), vm.ports["8100"]))
                holder.listen()
                path.write_text(vm.text)
                await vm.launch(path)
                await vm.wait_for_event("waiting for an address")
                vm.send(signal.SIGHUP)
                vm.send(signal.SIGTERM)
                assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())


SERIES = {
    "twice": (signal.SIGTERM, signal.SIGTERM),
    "then-settings": (signal.SIGTERM, signal.SIGHUP),
    "after-settings": (signal.SIGHUP, signal.SIGTERM),
    "interrupt": (signal.SIGINT, signal.SIGTERM),
    "paused": (signal.SIGTERM, signal.SIGSTOP),
}


@pytest.mark.parametrize("series", SERIES)
def test_a_series_of_signals_stops_the_process_once(tmp_path, series):
    """Guards against another status of a stop whose signals come in series."""

    async def run():
        async with Vm() as vm:
            await vm.launch(tmp_path / "node.toml")
            await vm.wait_until_serving()
            for number in SERIES[series]:
                vm.send(number)
            if series == "paused":
                await asyncio.sleep(1.0)
                vm.send(signal.SIGCONT)
            assert await vm.end(within_s=STOP_S) == 0

    asyncio.run(run())
