"""Starts of an entry VM while an operator changes settings, or another process has an address."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.cluster import process_ip
from tests.platform.sites import START_S, wait_until_ready
from tests.platform.test_process import Node, run_process

pytestmark = pytest.mark.processes

SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def survives_hangups(pid):
    """Returns whether a process ignores or handles SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = dict(line.split(":") for line in lines if line.startswith(("SigIgn", "SigCgt")))
    return any(int(mask, 16) & SIGHUP_BIT for mask in masks.values())


async def send_hangups(process, *, until):
    """Sends SIGHUP every few milliseconds until a condition holds or the process ends."""
    async with asyncio.timeout(START_S):
        while not until() and process.returncode is None:
            # Process.send_signal polls, which takes the exit status away from the event loop.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(0.005)


#: Runs the daemon's entry point, and prints the action of SIGHUP when it begins to import.
PRINT_ACTION = """
import runpy, signal, sys

class Finder:
    def find_spec(self, name, *_):
        if name == "carawaybank.platform.command":
            print(signal.getsignal(signal.SIGHUP).name)

sys.meta_path.insert(0, Finder())
sys.argv[1:] = ["--version"]
runpy.run_module("carawaybank.platform", run_name="__main__", alter_sys=True)
"""


def test_changed_settings_are_ignored_before_the_first_import():
    """Guards against SIGHUP ending a process that still imports its modules."""
    run = subprocess.run(
        [sys.executable, "-c", PRINT_ACTION], capture_output=True, text=True, check=False
    )
    assert run.stdout.splitlines()[0] == "SIG_IGN"


#: Runs the daemon's entry point, and sends it SIGTERM when it begins to import.
STOP_AT_IMPORT = PRINT_ACTION.replace("import runpy, ", "import os, runpy, ").replace(
    "print(signal.getsignal(signal.SIGHUP).name)", "os.kill(os.getpid(), signal.SIGTERM)"
)


def test_a_process_that_is_stopped_while_it_imports_ends_as_planned():
    """Guards against a stop that looks like a failure because the process has just started."""
    run = subprocess.run([sys.executable, "-c", STOP_AT_IMPORT], check=False)
    assert run.returncode == 0


def test_a_process_that_waits_for_its_settings_can_be_stopped(tmp_path):
    """Guards against a stop that looks like a failure because the settings are wrong."""

    async def run():
        process = await run_process(tmp_path / "absent.toml", stdout=asyncio.subprocess.PIPE)
        line = await asyncio.wait_for(read_event(process, "waiting for settings"), START_S)
        assert "absent.toml" in line["reason"]
        os.kill(process.pid, signal.SIGTERM)
        await asyncio.wait_for(process.communicate(), 2)
        assert process.returncode == 0

    asyncio.run(run())


def test_a_closed_standard_error_does_not_end_a_process_that_waits_for_its_settings(tmp_path):
    """Guards against an end with status 1 when the reader of standard error has ended."""

    async def run():
        async with Node() as node:
            reading, writing = os.pipe()
            os.close(reading)
            path = tmp_path / "node.toml"
            pipe = asyncio.subprocess.PIPE
            node.process = await run_process(path, stdout=pipe, stderr=writing)
            os.close(writing)
            await asyncio.wait_for(read_event(node.process, "waiting for settings"), START_S)
            await asyncio.sleep(0.5)
            path.write_text(node.text)
            await wait_until_ready(node.process, node.is_ready, node.output)

    asyncio.run(run())


def test_changed_settings_do_not_end_a_process_that_starts(tmp_path):
    """Guards against SIGHUP ending a process between its imports and its first request."""

    async def run():
        async with Node() as node:
            starting = asyncio.create_task(node.start(tmp_path))
            while not hasattr(node, "process") or not survives_hangups(node.process.pid):
                await asyncio.sleep(0)
                assert not starting.done()
            await send_hangups(node.process, until=starting.done)
            await starting
            assert (await node.call("8100", "/x/1", method="POST")).status == 200

    asyncio.run(run())


def test_changed_settings_do_not_end_a_process_that_stops(tmp_path):
    """Guards against SIGHUP ending a process after its event loop was closed."""

    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            reading = asyncio.create_task(node.output())
            node.process.send_signal(signal.SIGTERM)
            await send_hangups(node.process, until=lambda: False)
            assert node.process.returncode == 0
            await reading

    asyncio.run(run())


def test_settings_that_are_incomplete_at_the_start_are_read_again(tmp_path):
    """Guards against a process that ends because its settings are being replaced."""

    async def run():
        async with Node() as node:
            node.path = tmp_path / "node.toml"
            text = node.text
            node.text = text[: len(text) // 2]
            starting = asyncio.create_task(node.start(tmp_path))
            await asyncio.sleep(1.0)
            node.path.write_text(text)
            await starting
            assert (await node.call("8100", "/x/1", method="POST")).status == 200

    asyncio.run(run())


@pytest.mark.parametrize(
    ("port", "kind"),
    [
        ("8100", socket.SOCK_STREAM),
        ("8102", socket.SOCK_STREAM),
        ("8103", socket.SOCK_DGRAM),
        ("8105", socket.SOCK_STREAM),
    ],
)
def test_an_address_that_becomes_free_is_waited_for(tmp_path, port, kind):
    """Guards against a process that ends because the one before it is still stopping."""

    async def run():
        async with Node() as node:
            with socket.socket(type=kind) as holder:
                holder.bind((process_ip(), node.ports[port]))
                if kind == socket.SOCK_STREAM:
                    holder.listen()
                starting = asyncio.create_task(node.start(tmp_path))
                await asyncio.sleep(2.0)
                assert node.process.returncode is None
                assert await node.status("8100", "/x/1") is None or port == "8100"
            await starting
            assert (await node.call("8100", "/x/1", method="POST")).status == 200

    asyncio.run(run())


def test_a_port_for_metrics_that_is_in_use_does_not_keep_a_process_from_serving(tmp_path):
    """Guards against a start that ends for want of an address that serving does not need."""

    async def run():
        async with Node() as node:
            with socket.socket() as holder:
                holder.bind((process_ip(), node.ports["8106"]))
                holder.listen()
                await asyncio.wait_for(node.start(tmp_path), 5.0)
                assert (await node.call("8100", "/x/1", method="POST")).status == 200
                line = await asyncio.wait_for(read_event(node.process, "waiting for an address"), 1)
                assert f":{node.ports['8106']}" in line["reason"]
            async with asyncio.timeout(5.0):
                while await node.status("8106", "/metrics") is None:
                    await asyncio.sleep(0.05)
            node.process.send_signal(signal.SIGTERM)
            await node.process.communicate()
            assert node.process.returncode == 0

    asyncio.run(run())


def test_a_process_that_waits_for_an_address_can_be_stopped(tmp_path):
    """Guards against a process that is killed because it waits longer than a stop may take."""

    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            other = await run_process(node.path, stdout=asyncio.subprocess.PIPE)
            line = await asyncio.wait_for(read_event(other, "waiting for an address"), START_S)
            assert "cannot listen on" in line["reason"]
            started = time.monotonic()
            other.send_signal(signal.SIGTERM)
            await asyncio.wait_for(other.communicate(), 5)
            assert time.monotonic() - started < 2.0
            assert other.returncode == 0

    asyncio.run(run())


async def read_event(process, event):
    while True:
        line = json.loads(await process.stdout.readline())
        if line["event"] == event:
            return line
