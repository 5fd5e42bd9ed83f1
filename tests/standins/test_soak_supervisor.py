"""VMs that end by themselves in a soak come back, and each of their ends is found."""

import asyncio
import contextlib

from standins.soak.supervisor import supervise
from tests.standins.soak_vms import rules_in, run_vm, wait_for_lines

#: Ends by itself after its first and second start, and ends as planned after the third.
ENDS_TWICE = """
import pathlib, signal, sys
starts = pathlib.Path("starts")
count = len(starts.read_text()) if starts.exists() else 0
starts.write_text("x" * (count + 1))
if count < 2:
    sys.exit(7)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
print("handles signals", flush=True)
signal.pause()
"""


async def play(directory):
    async with run_vm(directory, ENDS_TWICE) as vm:
        supervisor = asyncio.create_task(supervise(vm))
        await wait_for_lines(directory, 1)
        await vm.stop()
        supervisor.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await supervisor
        assert not vm.is_running


def test_vm_that_ends_by_itself_is_started_again_and_each_end_is_found(tmp_path):
    """Guards against a VM that stays away after its first end, which hides what follows."""
    asyncio.run(play(tmp_path))
    assert rules_in(tmp_path) == ["FAULT", "FAULT"]


def test_planned_end_is_left_to_the_runner(tmp_path):
    """Guards against a supervisor that shortens the time for which a stopped VM is away."""

    async def stop_and_wait():
        async with run_vm(tmp_path, ENDS_TWICE.replace("count < 2", "False")) as vm:
            supervisor = asyncio.create_task(supervise(vm))
            await wait_for_lines(tmp_path, 1)
            await vm.stop()
            await asyncio.sleep(1.0)
            supervisor.cancel()
            assert not vm.is_running

    asyncio.run(stop_and_wait())
    assert rules_in(tmp_path) == []
