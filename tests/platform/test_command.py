"""What the log of an entry VM says about a process that ends by itself."""

import asyncio
import json
import socket
import sys

import pytest

from standins.cluster import process_ip
from tests.platform.sites import START_S
from tests.platform.test_process import Node, run_process

pytestmark = pytest.mark.processes

PIPE = asyncio.subprocess.PIPE
#: Runs the daemon with a background task that fails at once and each time that it is run again.
FAILING_TASK = """
import sys
from carawaybank.platform import command
from carawaybank.targets.checks import HealthChecks

async def run(self):
    raise KeyError("no such target")

HealthChecks.run = run
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


def test_an_address_in_use_is_logged_as_the_reason_of_the_end(tmp_path):
    """Guards against an end with status 1 that the structured log does not show."""

    async def run():
        async with Node() as node:
            path = tmp_path / "node.toml"
            path.write_text(node.text)
            with socket.socket() as holder:
                holder.bind((process_ip(), node.ports["8106"]))
                holder.listen()
                node.process = await run_process(path, stdout=PIPE, stderr=PIPE)
                (failure,), errors = await end_of(node.process)
            assert node.process.returncode == failure["status"] == 1
            assert failure["vm"] == "regina-1"
            assert f":{node.ports['8106']}" in failure["reason"]
            assert failure["reason"] in errors

    asyncio.run(run())


def test_a_task_that_fails_again_and_again_is_logged_as_the_reason_of_the_end(tmp_path):
    """Guards against a VM that goes on without a background task, or ends without saying why."""

    async def run():
        async with Node() as node:
            await node.start(tmp_path)  # Writes the settings.
            node.process.terminate()
            await node.process.communicate()
            command = [sys.executable, "-c", FAILING_TASK, "--settings", str(node.path)]
            process = await asyncio.create_subprocess_exec(*command, stdout=PIPE, stderr=PIPE)
            (failure,), errors = await end_of(process, within_s=2 * START_S)
            assert process.returncode == failure["status"] == 1
            assert "no such target" in failure["reason"]
            assert failure["reason"] in errors

    asyncio.run(run())
