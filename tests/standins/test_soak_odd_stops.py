"""Stops by other signals and at other moments: what they do to a sound VM, and what they find."""

import asyncio

import pytest

from standins.soak import odd_stops
from standins.soak.faults import draw_faults
from standins.soak.layout import Layout, load_deployment
from standins.soak.odd_stops import ODD_STOPS, stop_oddly
from tests.standins.soak_vms import rules_in, run_vm, wait_for_lines

SOUND_VM = """
import _signal, os, sys, time
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
def stop(*_):
    time.sleep(0.3)
    os._exit(0)
for number in (_signal.SIGTERM, _signal.SIGINT):
    _signal.signal(number, stop)
print("handles signals", flush=True)
while True:
    _signal.pause()
"""
#: A change of the sound VM for each variety, which it has to find.
FAULTS = {
    "interrupt": ("(_signal.SIGTERM, _signal.SIGINT)", "(_signal.SIGTERM,)"),
    "twice": ("    time", "    _signal.signal(_signal.SIGTERM, _signal.SIG_DFL)\n    time"),
    "hup_after": ("    time", "    _signal.signal(_signal.SIGHUP, _signal.SIG_DFL)\n    time"),
    "hup_before": ("SIG_IGN", "SIG_DFL"),
    "paused": ("print", "_signal.signal(_signal.SIGCONT, lambda *_: os._exit(3))\nprint"),
    "in_start": ("import _signal, os, sys, time", "import _signal, os, sys, time; time.sleep(1)"),
    "hup_in_start": (
        "_signal.signal(_signal.SIGHUP",
        "time.sleep(1)\n_signal.signal(_signal.SIGHUP",
    ),
}


def make_fault(how):
    return {
        "at": 4.0, "kind": "odd_stop", "subject": "vm", "for_s": 0.0, "how": how, "x": 0.05,
        "after_start_s": 0.5, "pause_s": 0.2, "pause_after_s": 0.1,
    }  # fmt: skip


async def play(directory, code, how):
    async with run_vm(directory, code) as vm:
        await wait_for_lines(directory, 1)
        await stop_oddly(vm, make_fault(how))


@pytest.mark.parametrize("how", ODD_STOPS)
@pytest.mark.parametrize("is_sound", [True, False])
def test_each_odd_stop_finds_its_fault_and_no_other(how, is_sound, tmp_path, monkeypatch):
    """Guards against a variety that a VM with its fault passes, or a sound one does not."""
    monkeypatch.setattr(odd_stops, "START_S", 0.0)
    code = SOUND_VM if is_sound else SOUND_VM.replace(*FAULTS[how], 1)
    assert (code == SOUND_VM) == is_sound
    asyncio.run(play(tmp_path, code, how))
    assert rules_in(tmp_path) == ([] if is_sound else ["FAULT"])


def test_blocked_signals_find_a_vm_that_leaves_them_blocked(tmp_path):
    """Guards against a VM that does not see its stop because its parent blocks signals."""
    unblocking = SOUND_VM + "\n"
    unblocking = unblocking.replace(
        "print(", "_signal.pthread_sigmask(_signal.SIG_UNBLOCK, (_signal.SIGTERM,))\nprint("
    )

    async def stop_blocked(directory, code):
        directory.mkdir()
        async with run_vm(directory, code, blocks_signals=True) as vm:
            await wait_for_lines(directory, 1)
            await vm.stop()

    async def stop_both():
        await asyncio.gather(
            stop_blocked(tmp_path / "blocked", SOUND_VM),
            stop_blocked(tmp_path / "unblocked", unblocking),
        )

    asyncio.run(stop_both())
    assert rules_in(tmp_path / "blocked") == ["KILL"]
    assert rules_in(tmp_path / "unblocked") == []


def test_odd_stops_draw_each_variety():
    """Guards against a variety that no seed plays."""
    layout = Layout(load_deployment("campoverde"), "127.210.0")
    drawn = [
        [fault["how"] for fault in draw_faults("odd_stops", layout=layout, seed=seed, seconds=24.0)]
        for seed in range(20)
    ]
    assert {how for hows in drawn for how in hows} == set(ODD_STOPS)
    assert all(len(set(hows)) == len(hows) for hows in drawn)
