"""A tenant is removed and added again by configs; each time it gets its whole burst once more."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small_site  # noqa: E402
from small_site import (  # noqa: E402
    BROKEN,
    BUDGET_MS,
    HELD,
    STABLE_S,
    Site,
    Target,
    encode_request,
    make_config,
    read_message,
    route,
)

#: The tenant's allotment; the burst is one second of the rate, as on the sheet.
RATE, BURST = 60.0, 60.0
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20.0
TENANT = "kaje71"
KEY = "acruddedev3nax7u27gx"
#: Tenants on the sheet.
TENANTS = 73
#: Callers of the tenant, and seconds between two requests of each: about 4.5 times the rate.
CALLERS = 30
PAUSE_S = 0.08
#: The storm on the sheet: a change each 0.33 s for 4 s.
STORM_S, GAP_S = 4.0, 0.33


def config(version, *, has_tenant):
    """Returns a config with or without the tenant."""
    tenants = [(f"team{number}", f"key-of-team-{number}", RATE) for number in range(TENANTS - 1)]
    if has_tenant:
        tenants.append((TENANT, KEY, RATE))
    resources = [route("slots", "/slots/", "slot-desk", attempts=1)]
    for name, key, rate in tenants:
        spec = {"apiKeys": [key], "priority": 1, "ratePerS": rate, "burst": BURST}
        resources.append({"resKind": "tenants", "metadata": {"name": name}, "spec": spec})
    return make_config(version, resources, ["slot-desk"])


async def send_all(site, number, sent):
    """Sends requests of one caller over kept connections, one after the other."""
    vm = site.vms[number % len(site.vms)]
    host, _, port = vm.address("front").rpartition(":")
    while True:
        writer = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                request_id = site.next_id()
                fields = {
                    "X-Carawaybank-Request-Id": request_id,
                    "X-Carawaybank-Deadline-Ms": str(BUDGET_MS),
                    "Authorization": f"Bearer {KEY}",
                }
                sent[request_id] = time.monotonic()
                site.record.add(f"sent {request_id} GET /slots/1 to {vm.name}")
                writer.write(encode_request("GET", "/slots/1", fields))
                first, headers, _ = await read_message(reader)
                site.record.add(f"answered {request_id} {first.split(' ')[1]}")
                await asyncio.sleep(PAUSE_S)
                if headers.get("connection") == "close":
                    break
        if writer is not None:
            writer.close()


def busiest_window(runs, sent):
    """Returns the most requests that were both sent and arrived in any window."""
    times = sorted((sent[request_id], at) for at, request_id in runs)
    most = 0
    for index, (begin, _) in enumerate(times):
        most = max(most, sum(at < begin + WINDOW_S for _, at in times[index:]))
    return most


async def case(folder):
    """Returns whether more requests of the tenant ran in a window than its allotment allows."""
    contracts = {"tenants", "quota", "pressure", "health", "pool"}
    async with Site(folder, vms=3, contracts=contracts) as site:
        for number in range(6):
            zone = list(small_site.ZONES)[number % 3]
            target = Target(f"i-{number}", "slot-desk", zone, site.record, slots=8)
            await site.add_target(target)
        await site.put_config(config(1, has_tenant=True))
        await site.start_vms()
        await asyncio.sleep(STABLE_S + 2.0)
        sent = {}
        tasks = [asyncio.create_task(send_all(site, n, sent)) for n in range(CALLERS)]
        await asyncio.sleep(6.0)
        started_at, version = time.monotonic(), 1
        while small_site.is_troubled() and time.monotonic() < started_at + STORM_S:
            version += 1
            await site.put_config(config(version, has_tenant=version % 2 == 1))
            await asyncio.sleep(GAP_S)
        if version % 2 == 0:
            await site.put_config(config(version + 1, has_tenant=True))
        await asyncio.sleep(started_at + 10.0 - time.monotonic())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        runs = [run for target in site.targets for run in target.runs]
        most = busiest_window(runs, sent)
        allowed = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
        text = f"{most} requests ran in the busiest window of 5 s; the allotment allows {allowed:g}"
        site.record.add(text)
        print(text)
        return BROKEN if most > allowed else HELD


if __name__ == "__main__":
    small_site.run_case(case, FOLDER)
