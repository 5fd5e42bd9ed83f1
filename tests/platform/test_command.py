"""What the log of an entry VM says about a process that ends by itself."""

import asyncio
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

from standins.cluster import process_ip
from tests.platform.sites import START_S, wait_until_ready
from tests.platform.test_process import Node, run_process

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parents[2]
PIPE = asyncio.subprocess.PIPE
#: Runs the daemon; its background tasks fail at the start of a run, the given number of times each.
FAILING_TASKS = """
import sys
from carawaybank.node import Node
from carawaybank.platform import command

failures, name = int(sys.argv.pop(1)), sys.argv.pop(1)
make = Node._background_functions

def make_failing(run):
    runs = []

    async def fail():
        runs.append(run)
        if len(runs) <= failures:
            raise KeyError("no such target")
        await run()

    fail.__qualname__ = run.__qualname__
    return fail

def functions(self):
    return [make_failing(run) if name in run.__qualname__ else run for run in make(self)]

Node._background_functions = functions
sys.exit(command.main())
"""


def read_failures(output):
    """Returns the log lines of processes that failed."""
    lines = [json.loads(line) for line in output.splitlines() if line.startswith(b"{")]
    return [line for line in lines if (line["part"], line["event"]) == ("daemon", "failed")]


async def end_of(process, *, within_s=START_S):
    """Returns the failures that an ended process logged, and its standard error."""
    try:
        output, errors = await asyncio.wait_for(process.communicate(), within_s)
    finally:
        if process.returncode is None:
            process.kill()
    return read_failures(output), errors.decode()


def test_wrong_settings_are_logged_as_the_reason_of_the_end(tmp_path):
    """Guards against an end with status 2 that the structured log does not show."""

    async def run():
        path = tmp_path / "node.toml"
        path.write_text("[vm]\n")
        process = await run_process(path, stdout=PIPE, stderr=PIPE)
        (failure,), errors = await end_of(process)
        assert process.returncode == failure["status"] == 2
        assert failure["at"] > 0
        assert failure["reason"] in errors

    asyncio.run(run())


def test_a_path_that_is_not_text_is_logged(tmp_path):
    """Guards against an end whose status and reason are lost as the reason cannot be encoded."""

    async def run():
        process = await run_process(
            os.fsdecode(bytes(tmp_path) + b"/\xff"), stdout=PIPE, stderr=PIPE
        )
        (failure,), _ = await end_of(process)
        assert process.returncode == 2
        assert "cannot be read" in failure["reason"]

    asyncio.run(run())


def test_an_address_in_use_is_logged_as_the_reason_of_the_end(tmp_path):
    """Guards against an end with status 1 that the structured log does not show."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            with socket.socket() as holder:
                holder.bind((process_ip(), node.ports["8102"]))
                holder.listen()
                node.process = await run_process(path, stdout=PIPE, stderr=PIPE)
                (failure,), errors = await end_of(node.process)
            assert node.process.returncode == failure["status"] == 1
            assert failure["vm"] == "regina-1"
            assert f":{node.ports['8102']}" in failure["reason"]
            assert failure["reason"] in errors

    asyncio.run(run())


async def start_failing(node, path, *, failures, name):
    """Starts a process whose background tasks with a name fail, the given number of times each."""
    path.write_text(node.text)
    arguments = ["-c", FAILING_TASKS, str(failures), name, "--settings", str(path)]
    return await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=PIPE, stderr=PIPE
    )


def test_a_vm_whose_task_fails_again_and_again_serves_on_and_says_so(tmp_path):
    """Guards against VMs that all end within seconds because of a failure that they share."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            node.process = await start_failing(node, path, failures=100, name="HealthChecks")
            await wait_until_ready(node.process, node.is_ready, node.output)
            async with asyncio.timeout(2 * START_S):
                while (await dump_of(node))["failing_tasks"][0]["failures"] < 7:
                    await asyncio.sleep(0.2)
            (state,) = (await dump_of(node))["failing_tasks"]
            assert state["task"] == "HealthChecks.run"
            assert "no such target" in state["reason"]
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            assert await node.is_ready()
            node.process.terminate()
            output, _ = await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0
            lines = [json.loads(line) for line in output.splitlines()]
            restarts = [line for line in lines if line["event"] == "task restarted"]
            assert [line["failures"] for line in restarts[:7]] == list(range(1, 8))
            assert all("no such target" in line["reason"] for line in restarts)

    asyncio.run(run())


async def dump_of(node):
    return json.loads((await node.call("8105", "/v1/dump")).body)


def test_a_vm_serves_after_all_its_background_tasks_have_failed_twice(tmp_path):
    """Guards against a VM that ends because its background tasks met an unexpected error."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            node.process = await start_failing(node, path, failures=2, name="")
            await wait_until_ready(node.process, node.is_ready, node.output)
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            await node.wait_until(lambda: node.store.value("carawaybank", "vm/regina-1"))
            node.process.terminate()
            output, _ = await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0
            lines = [json.loads(line) for line in output.splitlines()]
            restarts = [line["reason"] for line in lines if line["event"] == "task restarted"]
            assert restarts.count("TableWatch.run failed: KeyError('no such target')") == 6
            assert restarts.count("HeartbeatTask.run failed: KeyError('no such target')") == 2

    asyncio.run(run())


#: Runs the daemon; siblings cannot be told of its stop.
FAILING_ANNOUNCEMENT = """
import sys
from carawaybank.platform import command
from carawaybank.siblings.heartbeat import HeartbeatTask

def fail(self):
    raise KeyError("no such sibling")

HeartbeatTask.send_final = fail
sys.exit(command.main())
"""


def test_a_stop_that_cannot_be_announced_finishes_what_is_in_progress(tmp_path):
    """Guards against a planned stop that ends with status 1 and loses all requests in progress."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            arguments = ["-c", FAILING_ANNOUNCEMENT, "--settings", str(path)]
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=PIPE, stderr=PIPE
            )
            await wait_until_ready(node.process, node.is_ready, node.output)
            node.target.gate.clear()
            call = asyncio.create_task(node.call("8100", "/x/1", method="POST"))
            await node.wait_until(lambda: node.target.runs)
            node.process.terminate()
            await asyncio.sleep(0.5)
            node.target.gate.set()
            assert (await call).status == 200
            output, _ = await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0
            assert b"no such sibling" in output

    asyncio.run(run())


#: Runs the daemon; after SIGUSR1, callbacks of its event loop fail with much text.
FAILING_CALLBACKS = """
import asyncio, signal, sys
from carawaybank.node import Node
from carawaybank.platform import command

def fail(loop):
    for _ in range(1000):
        loop.call_soon(int, "odd " * 500)

run = Node.run

async def run_failing(self):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, fail, loop)
    await run(self)

Node.run = run_failing
sys.exit(command.main())
"""


def test_errors_of_callbacks_do_not_wait_for_a_reader(tmp_path):
    """Guards against a VM that stops serving as nobody reads the errors that it writes."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            reading, writing = os.pipe()
            arguments = ["-c", FAILING_CALLBACKS, "--settings", str(path)]
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=PIPE, stderr=writing
            )
            await wait_until_ready(node.process, node.is_ready, node.output)
            node.process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(0.5)
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            node.process.terminate()
            output, _ = await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0
            assert output.count(b'"callback failed"') >= 100
            os.close(reading)
            os.close(writing)

    asyncio.run(run())


@pytest.mark.parametrize("closed", ["<&-", ">&-", "2>&-", "<&- >&- 2>&-"])
def test_a_vm_serves_without_standard_streams(tmp_path, closed):
    """Guards against a start that fails, or logs into a connection, as descriptors are closed."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            command = (
                f'exec "{sys.executable}" -m carawaybank.platform --settings "{path}" {closed}'
            )
            node.process = await asyncio.create_subprocess_shell(command, stdout=PIPE, stderr=PIPE)
            await wait_until_ready(node.process, node.is_ready, node.output)
            for descriptor in range(3):
                name = os.readlink(f"/proc/{node.process.pid}/fd/{descriptor}")
                assert not name.startswith(("socket:", "anon_inode:"))
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            node.process.terminate()
            await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0

    asyncio.run(run())


@pytest.mark.parametrize("is_closed", [False, True])
def test_a_vm_serves_and_stops_while_nobody_reads_its_output(tmp_path, is_closed):
    """Guards against a VM that waits for the reader of its log, or ends with an error for it."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            reading, writing = os.pipe()
            fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
            os.write(writing, b"x" * 4096)
            if is_closed:
                os.close(reading)
            node.process = await run_process(path, stdout=writing, stderr=writing)
            await wait_until_ready(node.process, node.is_ready, node.output)
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            node.process.terminate()
            assert await asyncio.wait_for(node.process.wait(), START_S) == 0
            if not is_closed:
                os.close(reading)
            os.close(writing)

    asyncio.run(run())


def test_the_run_command_starts_a_vm_and_loads_its_metrics(tmp_path):
    """Guards against an option of the interpreter without which modules are not found."""

    async def scrape(node):
        while await node.status("8106", "/metrics") != 200:
            await asyncio.sleep(0.05)

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
            # The build copies the package from ``src`` to ``target/deps``.
            run = system["roles"]["entry"]["run"].replace("target/deps/", f"{ROOT / 'src'}/")
            _, *arguments = run.split()
            folders = [
                str(ROOT / "src"),
                sysconfig.get_path("platlib"),
                sysconfig.get_path("purelib"),
            ]
            environment = {
                **os.environ,
                "PYTHONPATH": os.pathsep.join(folders),
                "CARAWAYBANK_SETTINGS": str(path),
            }
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, env=environment, stdout=PIPE, stderr=PIPE
            )
            await wait_until_ready(node.process, node.is_ready, node.output)
            assert (await node.call("8100", "/x/1", method="POST")).status == 200
            await asyncio.wait_for(scrape(node), START_S)
            node.process.terminate()
            await asyncio.wait_for(node.process.communicate(), START_S)
            assert node.process.returncode == 0

    asyncio.run(run())


def test_little_is_imported_before_changed_settings_are_ignored():
    """Guards against a longer time after the start in which SIGHUP ends a process."""
    code = "import sys, carawaybank.platform; print({'typing', 're', 'logging'} & set(sys.modules))"
    run = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        check=True,
    )
    assert run.stdout == "set()\n"
