"""Starts of an entry VM while an operator changes settings, or another process has an address."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.platform.sites import START_S
from tests.platform.test_process import Node

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
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.005)


def test_changed_settings_do_not_end_a_process_that_starts(tmp_path):
    """Guards against SIGHUP ending a process that still imports its modules."""

    async def run():
        async with Node() as node:
            starting = asyncio.create_task(node.start(tmp_path))
            while not hasattr(node, "process") or not survives_hangups(node.process.pid):
                await asyncio.sleep(0)
                assert not starting.done()
            assert "httptools" not in Path(f"/proc/{node.process.pid}/maps").read_text()
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
