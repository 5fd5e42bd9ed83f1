"""Starts of many VMs at once, to which settings are announced."""

import asyncio
import time

import pytest

from standins.soak import boots
from standins.soak.boots import FIRST_START, boot
from standins.soak.faults import draw_faults
from standins.soak.history import load_history
from standins.soak.layout import Layout, load_deployment
from tests.standins.soak_vms import rules_in, run_vm, wait_for_lines

VM = """
import signal, sys, time
time.sleep({delay_s})
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
print("handles signals", flush=True)
signal.pause()
"""


@pytest.mark.parametrize(("delay_s", "rules"), [(0.0, []), (1.0, ["FAULT"])])
def test_start_that_settings_end_is_found(delay_s, rules, tmp_path, monkeypatch):
    """Guards against a VM that ends by the SIGHUP that announces settings in its start."""
    monkeypatch.setattr(boots, "START_S", 0.0)
    fault = {"at": 4.0, "kind": "boot", "subject": "vm", "for_s": 0.0, "after_start_s": 0.5}

    async def play():
        async with run_vm(tmp_path, VM.format(delay_s=delay_s)) as vm:
            await wait_for_lines(tmp_path, 1)
            await boot(vm, fault)
            await asyncio.sleep(0.2)

    asyncio.run(play())
    assert rules_in(tmp_path) == rules


@pytest.mark.parametrize("name", ["campoverde", "small"])
def test_boots_start_all_vms_and_a_failure_domain_at_once(name):
    """Guards against starts one after the other, which do not compete for the processor."""
    layout = Layout(load_deployment(name), "127.210.0")
    faults = draw_faults("boot", layout=layout, seed=3, seconds=24.0)
    starts: dict[tuple[str, float], set[str]] = {}
    for fault in faults:
        starts.setdefault((fault["kind"], fault["at"]), set()).add(fault["subject"])
    names = {vm.name for vm in layout.vms}
    first, everywhere, domain = starts.values()
    assert next(iter(starts)) == (FIRST_START, 0.0)
    assert first == everywhere == names
    places = {vm.failure_domain for vm in layout.vms if vm.name in domain}
    assert len(places) == 1
    assert domain == {vm.name for vm in layout.vms if vm.failure_domain in places}
    assert all(0.0 <= fault["after_start_s"] <= 0.5 for fault in faults)


def test_settings_are_announced_on_time_while_the_event_loop_is_late(tmp_path):
    """Guards against announcements after the start, because many starts hold up the runner."""

    async def play():
        async with run_vm(tmp_path, VM.format(delay_s=0.0)) as vm:
            announcement = asyncio.create_task(vm.announce_settings(after_s=0.2))
            await asyncio.sleep(0.0)
            time.sleep(1.5)
            await announcement

    asyncio.run(play())
    events = {event.event: event for event in load_history(tmp_path).events}
    assert 0.2 <= events["SIGHUP"].at - events["start"].at < 1.0
