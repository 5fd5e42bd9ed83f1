"""Planned stops of an entry VM that gets no processor when its listener is due to close."""

import asyncio
import signal

import pytest

from tests.platform.stops import STOP_S, Caller, StoppingVm

pytestmark = pytest.mark.processes

#: Seconds after SIGTERM between which the process gets no processor; the listener closes meanwhile.
PAUSE = (2.3, 2.9)


def run_late_stop(tmp_path, before, meanwhile):
    """Stops a VM that is paused in between, and returns the callers and the log line of the stop.

    Args:
        before: Coroutine function of the VM that returns the callers, called before SIGTERM.
        meanwhile: Coroutine function of the VM and the callers, called while the VM is paused.
    """

    async def run():
        async with StoppingVm() as vm:
            await vm.start(tmp_path)
            reading = asyncio.create_task(vm.output())
            callers = await before(vm)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE[0])
            vm.process.send_signal(signal.SIGSTOP)
            await meanwhile(vm, callers)
            await asyncio.sleep(PAUSE[1] - PAUSE[0])
            vm.process.send_signal(signal.SIGCONT)
            assert await asyncio.wait_for(vm.process.wait(), STOP_S) == 0
            await asyncio.gather(*(caller.finish() for caller in callers))
            (stopped,) = vm.events(await reading, "stopped")
            return callers, stopped

    return asyncio.run(run())


async def open_callers(vm, count):
    callers = [Caller(vm=vm, name=f"c{number}") for number in range(count)]
    for caller in callers:
        await caller.open()
    return callers


def find_unanswered(callers):
    return [i for caller in callers for i in caller.sent if i not in caller.statuses]


def test_connections_that_the_kernel_accepted_are_answered(tmp_path):
    """Guards against a reset of connections that wait to be accepted when the listener closes."""

    async def before(vm):
        return []

    async def meanwhile(vm, callers):
        callers += await open_callers(vm, 12)
        for number, caller in enumerate(callers):
            caller.send("POST" if number % 2 else "GET", work_ms=200)

    callers, stopped = run_late_stop(tmp_path, before, meanwhile)
    assert find_unanswered(callers) == []
    assert stopped["cut"] == 0


def test_requests_on_idle_connections_that_were_not_read_yet_are_answered(tmp_path):
    """Guards against a reset of idle connections whose next request was not read yet."""

    async def before(vm):
        return await open_callers(vm, 12)

    async def meanwhile(vm, callers):
        for number, caller in enumerate(callers):
            caller.send("POST" if number % 2 else "GET", work_ms=200)

    callers, stopped = run_late_stop(tmp_path, before, meanwhile)
    assert find_unanswered(callers) == []
    assert stopped["cut"] == 0
