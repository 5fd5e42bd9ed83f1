"""The memory of the soak's VMs: the limit that ends them, their peaks, and what is found."""

import asyncio

import pytest

from standins.soak.checks import summarize
from standins.soak.history import load_history
from tests.standins.soak_records import (
    make_cut,
    make_dropped_run,
    make_event,
    make_history,
    rules_of,
    stop,
)
from tests.standins.soak_vms import rules_in, run_vm, wait_for_lines

#: A VM that uses some megabytes for a moment and says so, if it comes that far.
USE = "import time; x = b'x' * {mb}_000_000; del x; print('used', flush=True); time.sleep(60)"
#: Limit of the deployment of run_vm.
LIMIT_MB = 300
END_S = 20


async def wait_for_end(vm):
    async with asyncio.timeout(END_S):
        await vm.wait_for_own_end()


def test_vm_above_its_memory_is_killed_and_found(tmp_path):
    """Guards against a VM that a machine of the platform would end and that the soak keeps."""

    async def play():
        async with run_vm(tmp_path, "x = []\nwhile len(x) < 900: x.append(b'x' * 1_000_000)") as vm:
            await wait_for_end(vm)

    asyncio.run(play())
    assert set(rules_in(tmp_path)) == {"FAULT"}
    history = load_history(tmp_path)
    ((kill,), (end,)) = history.find_events("memory_kill"), history.find_events("exit")
    assert (end.status, end.expected) == (-9, False)
    assert kill.at <= end.at
    assert end.peak_mb > LIMIT_MB
    assert "1 killed above it" in summarize(history)


@pytest.mark.parametrize(("mb", "rules"), [(100, []), (265, ["MEMORY"])])
def test_peak_between_two_samples_is_found(tmp_path, mb, rules):
    """Guards against a soak that holds although a VM was close to its end for a moment."""

    async def play():
        async with run_vm(tmp_path, USE.format(mb=mb)) as vm:
            await wait_for_lines(tmp_path, 1)
            await asyncio.sleep(0.3)
            assert vm.is_running

    asyncio.run(play())
    assert rules_in(tmp_path) == rules
    (end,) = load_history(tmp_path).find_events("exit")
    assert mb < end.peak_mb < LIMIT_MB


def test_requests_of_a_vm_that_is_killed_for_its_memory_are_lost():
    """Guards against taking the kill for a disturbance, which would excuse what it cost."""
    records = [
        make_event(50.0, "start"),
        make_event(100.5, "memory_kill"),
        make_event(100.5, "exit", status=-9, expected=False, peak_mb=310.0),
        make_event(101.0, "start"),
    ]
    for number in range(4):
        records.append(make_cut(id=f"r{number}", connection=f"c{number}"))
        records.append(make_dropped_run(id=f"r{number}"))
    assert sorted(set(rules_of(*records))) == ["FAULT", "LOST"]


def test_vm_that_is_killed_for_its_memory_in_a_stop_is_a_fault_and_its_requests_are_lost():
    """Guards against a stop that hides the kill."""
    end = make_event(100.5, "exit", status=-9, peak_mb=299.0)
    records = [stop(99.0), make_event(100.5, "memory_kill"), end, make_cut(), make_dropped_run()]
    assert sorted(rules_of(*records)) == ["FAULT", "LOST", "MEMORY"]


def test_summary_names_the_largest_peak():
    """Guards against figures of memory that nobody sees while they grow."""
    ends = [make_event(10.0, "exit", peak_mb=50.0), make_event(9.0, "exit", vm="vm2", peak_mb=99.5)]
    assert "largest memory 99.5 MB at vm2, of 300 MB; 0 killed above it" in summarize(
        make_history(*ends)
    )
