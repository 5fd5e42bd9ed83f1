"""Planned stops of an entry VM that gets no processor when its listener is due to close."""

import asyncio
import json
import os
import signal
import sys
import time

import pytest

from tests.platform.stops import STOP_S, Caller, StoppingVm
from tests.platform.test_process import Node

pytestmark = pytest.mark.processes

#: Seconds after SIGTERM between which the process gets no processor; the listener closes meanwhile.
PAUSE = (2.3, 2.9)
#: The same for the end of the stop, when attempts in progress are given up. Targets answer requests
#: that are sent at ``SENT_AT`` in this pause.
END_PAUSE = (4.6, 5.62)
SENT_AT = 2.2
WORK_MS = 2700


async def ignore(vm, callers):
    """Does nothing."""


def run_late_stop(tmp_path, *, before=ignore, meanwhile=ignore, afterwards=ignore):
    """Stops a VM that is paused in between, and returns the log line of the stop.

    Args:
        before: Coroutine function of the VM and the list of its callers, called before SIGTERM.
        meanwhile: The same, called while the VM is paused.
        afterwards: The same, called when the VM runs again.
    """

    async def run():
        async with StoppingVm() as vm:
            await vm.start(tmp_path)
            reading = asyncio.create_task(vm.output())
            callers = []
            await before(vm, callers)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE[0])
            vm.process.send_signal(signal.SIGSTOP)
            await meanwhile(vm, callers)
            await asyncio.sleep(PAUSE[1] - PAUSE[0])
            vm.process.send_signal(signal.SIGCONT)
            await afterwards(vm, callers)
            assert await asyncio.wait_for(vm.process.wait(), STOP_S) == 0
            await asyncio.gather(*(caller.finish() for caller in callers))
            (stopped,) = vm.events(await reading, "stopped")
            assert [i for c in callers for i in c.sent if i not in c.statuses] == []
            assert stopped["cut"] == 0
            return stopped

    return asyncio.run(run())


async def open_callers(vm, callers):
    callers += [Caller(vm=vm, name=f"c{number}") for number in range(12)]
    for caller in callers:
        await caller.open()


async def send(vm, callers):
    for number, caller in enumerate(callers):
        caller.send("POST" if number % 2 else "GET", work_ms=200)


async def open_and_send(vm, callers):
    await open_callers(vm, callers)
    await send(vm, callers)


def test_connections_that_the_kernel_accepted_are_answered(tmp_path):
    """Guards against a reset of connections that wait to be accepted when the listener closes."""
    run_late_stop(tmp_path, meanwhile=open_and_send)


def test_a_new_connection_is_kept_until_its_first_request_can_arrive(tmp_path):
    """Guards against a close of connections whose first request is on its way."""

    async def send_late(vm, callers):
        await asyncio.sleep(0.3)
        await send(vm, callers)

    run_late_stop(tmp_path, meanwhile=open_callers, afterwards=send_late)


def test_requests_on_idle_connections_that_were_not_read_yet_are_answered(tmp_path):
    """Guards against a reset of idle connections whose next request was not read yet."""
    run_late_stop(tmp_path, before=open_callers, meanwhile=send)


#: Runs the daemon's entry point in an interpreter that takes long to clean up.
SLOW_END = """
import atexit, runpy, time
atexit.register(time.sleep, 3)
runpy.run_module("carawaybank.platform", run_name="__main__", alter_sys=True)
"""


def test_the_process_ends_as_soon_as_it_has_stopped(tmp_path, monkeypatch):
    """Guards against a process that is killed while its interpreter cleans up."""

    async def start(path, *_, **streams):
        environment = {**os.environ, "CARAWAYBANK_SETTINGS": str(path)}
        return await asyncio.create_subprocess_exec(
            sys.executable, "-c", SLOW_END, env=environment, **streams
        )

    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            reading = asyncio.create_task(node.output())
            node.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(node.process.wait(), STOP_S) == 0
            ended_at = time.time()
            (stopped,) = [
                json.loads(line)
                for line in (await reading).splitlines()
                if '"event":"stopped"' in line
            ]
            assert ended_at - stopped["at"] < 2.0

    monkeypatch.setattr("tests.platform.test_process.run_process", start)
    asyncio.run(run())


def test_responses_that_were_not_read_yet_are_delivered_before_the_end(tmp_path):
    """Guards against responses that are discarded because attempts are given up before a read."""

    async def run():
        async with StoppingVm() as vm:
            await vm.start(tmp_path)
            reading = asyncio.create_task(vm.output())
            callers = []
            await open_callers(vm, callers)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(SENT_AT)
            for caller in callers:
                caller.send("POST", work_ms=WORK_MS)
            await asyncio.sleep(END_PAUSE[0] - SENT_AT)
            vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(END_PAUSE[1] - END_PAUSE[0])
            vm.process.send_signal(signal.SIGCONT)
            assert await asyncio.wait_for(vm.process.wait(), STOP_S) == 0
            await asyncio.gather(*(caller.finish() for caller in callers))
            await reading
            statuses = [status for caller in callers for status in caller.statuses.values()]
            assert statuses == [200] * len(callers)

    asyncio.run(run())
