"""Planned stops of entry VMs that pass requests on for others, or that stop at the same time."""

import asyncio
import itertools
import json
import signal
from collections import Counter

import pytest

from standins.links import Cut
from tests.platform.stops import ROUTES, STOP_S, WorkingTarget, connect
from tests.platform.test_process import CONFIGURATION, make_heartbeat
from tests.platform.test_stranded_vms import VMS, StrandedSite, run_site

pytestmark = pytest.mark.processes

#: Seconds after a cut within which requests are passed on to siblings, and their number after which
#: a VM is stopped.
RELAYED_S = 15.0
RELAYED = 20
#: Requests that ran in each test, at least.
MIN_RUNS = 30
BEFORE_S = 1.0
#: Callers of each VM and method, half of them with a connection for each request.
CALLERS = 4
WORK_MS = 300
#: Seconds after which a caller tries again that was not served.
REFUSED_PAUSE_S = 0.2
#: Last lines of a log that a failure shows.
SHOWN_LINES = 20


class StoppingSite(StrandedSite):
    """Entry VMs with targets that work for as long as requests ask for."""

    async def __aenter__(self):
        await super().__aenter__()
        for target in self.targets:
            target.server.close()
        self.targets = [WorkingTarget() for _ in self.targets]
        self.target_addresses = [await target.start() for target in self.targets]
        for number, address in enumerate(self.target_addresses):
            row = {**make_heartbeat(address), "slots": 60, "born": 2}
            await self.store.put("servers", f"t{number}", row)
        resources = [*ROUTES, *CONFIGURATION["resources"][1:]]
        await self.store.put("op", "config", {"version": "00000003", "resources": resources})
        return self

    async def stop_vms(self, names):
        """Sends SIGTERM to VMs at the same time and returns the log lines of their ends."""
        for name in names:
            self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            assert await asyncio.wait_for(self.processes[name].wait(), STOP_S) == 0
        lines = [json.loads(line) for name in names for line in self.read_log(name).splitlines()]
        return [line for line in lines if line["event"] == "stopped"]

    async def reconnect(self, name, method, number, *, has_pool):
        """Sends a request after the other to a VM until it listens no more or the traffic ends.

        Args:
            name: The VM.
            method: Method of the requests; GET may be repeated.
            number: Number of the caller.
            has_pool: Whether a connection is used until it is told to close.
        """
        for attempt in itertools.count():
            caller = await connect(self, f"{method}-{name}-{number}-{attempt}", self.ip(name))
            if caller is None or self.is_over.is_set():
                return
            self.callers.append(caller)
            while not caller.is_over:
                caller.send(method, work_ms=WORK_MS)
                while len(caller.statuses) < len(caller.sent) and not caller.reading.done():
                    await asyncio.sleep(0.01)
                if caller.statuses.get(caller.sent[-1]) != 200:
                    await asyncio.sleep(REFUSED_PAUSE_S)
                if not has_pool or self.is_over.is_set():
                    break
            caller.writer.close()

    def start_traffic(self, names):
        """Starts callers of VMs and returns the task that ends with them."""
        self.callers, self.is_over = [], asyncio.Event()
        calls = [
            self.reconnect(name, method, number, has_pool=bool(number % 2))
            for name in names
            for method in ("GET", "POST")
            for number in range(CALLERS)
        ]
        return asyncio.ensure_future(asyncio.gather(*calls))

    def check_callers(self, names):
        """Checks that each request sent has a response, and that bookings ran at most once."""
        runs = Counter(request_id for target in self.targets for request_id in target.runs)
        sent = [(i, caller) for caller in self.callers for i in caller.sent]
        lost = [i for i, caller in sent if i not in caller.statuses]
        logs = "\n".join(
            line for name in names for line in self.read_log(name).splitlines()[-SHOWN_LINES:]
        )
        assert not lost, f"{[(i, runs[i]) for i in lost]} of {len(sent)}\n{logs}"
        assert not [i for i, _ in sent if i.startswith("POST") and runs[i] > 1]
        assert sum(runs.values()) >= MIN_RUNS


async def check_stop_amid_relays(site, stopping):
    traffic = site.start_traffic(VMS[:1])
    await asyncio.sleep(BEFORE_S)
    await site.cut(VMS[:1], Cut.HANG)
    async with asyncio.timeout(RELAYED_S):
        while site.read_log(VMS[1]).count('"event":"taken in"') < RELAYED:
            await asyncio.sleep(0.05)
    before = {i for caller in site.callers for i in caller.sent}
    (stopped,) = await site.stop_vms([stopping])
    site.is_over.set()
    await traffic
    site.check_callers([stopping])
    statuses = {i: status for caller in site.callers for i, status in caller.statuses.items()}
    unfinished = {i: status for i, status in statuses.items() if status not in (200, 503)}
    assert not unfinished.keys() - before, unfinished
    assert not any('"event":"rejected"' in site.read_log(name) for name in VMS)
    assert (stopped["cut"], stopped["given_up"]) == (0, 0)


def test_a_stop_of_a_vm_that_serves_requests_of_a_sibling_loses_none(tmp_path):
    """Guards against requests that are cut because the sibling that passed them on stops."""
    run_site(tmp_path, lambda site: check_stop_amid_relays(site, VMS[1]), StoppingSite)


def test_a_stop_of_a_vm_whose_requests_siblings_serve_loses_none(tmp_path):
    """Guards against requests that are cut because their VM stops while siblings serve them."""
    run_site(tmp_path, lambda site: check_stop_amid_relays(site, VMS[0]), StoppingSite)


def test_stops_of_two_vms_at_once_lose_no_request(tmp_path):
    """Guards against requests that a VM passes on to another one that stops as well."""

    async def scenario(site):
        traffic = site.start_traffic(VMS[:2])
        await asyncio.sleep(BEFORE_S)
        stopped = await site.stop_vms(VMS[:2])
        site.is_over.set()
        await traffic
        site.check_callers(VMS[:2])
        assert [(line["cut"], line["given_up"]) for line in stopped] == [(0, 0)] * 2

    run_site(tmp_path, scenario, StoppingSite)
