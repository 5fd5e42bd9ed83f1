"""More than half of the entry VMs are removed for good; a final fault follows."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

ZONES = {"ba-petrzalka": "bratislava", "za-vlcince": "zilina", "ke-terasa": "kosice"}
#: Zones of the VMs. The first one of each zone stays.
PLACES = ["ba-petrzalka", "za-vlcince", "ke-terasa"]
REMOVED_PLACES = ["ba-petrzalka", "ba-petrzalka", "za-vlcince", "ke-terasa"]
API_KEY = "acruddedev3nax7u27gx"
#: The tenant's allotment is twelve times what its clients send.
RATE_PER_S, BURST, SENT_PER_S = 481, 481, 40
DEADLINE_MS, RETRY_MS = 5_062, 300
WARM_UP_S, REMOVED_S, FAULT_S, DOWN_S, RECOVER_S, MEASURED_S = 6.0, 5.0, 14.0, 1.5, 15.0, 10.0


class Outcome(NamedTuple):
    """How a request of a client ended, with its retry.

    Attributes:
        sent_at: Seconds since the start of traffic.
        status: Status of the last attempt.
    """

    sent_at: float
    status: int


async def work(
    server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    """Answers a request after 100 ms."""
    await asyncio.sleep(0.1)
    return 200, headers[rig.REQUEST_ID].encode()


class Clients:
    """Clients of the tenant: each request is sent to a VM that runs, and once more if it fails."""

    def __init__(self, world: rig.World) -> None:
        """Starts without traffic."""
        self._world = world
        self._rng = random.Random(6)
        self._started_at = world.record.now
        self.outcomes: list[Outcome] = []

    @property
    def now(self) -> float:
        """Seconds since the start of traffic."""
        return self._world.record.now - self._started_at

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                number += 1
                tasks.create_task(self._request(number))
                await asyncio.sleep(1 / SENT_PER_S)

    async def _request(self, number: int) -> None:
        sent_at, status = self.now, 0
        for attempt in range(2):
            vms = [vm for vm in self._world.vms if vm.is_running]
            if not vms:
                break
            vm = self._rng.choice(vms)
            request_id, thing = f"q{number}-{attempt}", number % 40
            answer = await rig.ask(
                vm.front,
                f"/lohu930/{thing:x}",
                request_id,
                key=str(thing),
                deadline_ms=DEADLINE_MS,
                api_key=API_KEY,
            )
            status = answer.status
            self._world.record.add("answered", request_id, vm.name, status)
            if status == 200:
                break
            wait_s = float(answer.headers.get("retry-after", RETRY_MS / 1000))
            await asyncio.sleep(min(wait_s, DEADLINE_MS / 3000))
        self.outcomes.append(Outcome(sent_at, status))


async def script(world: rig.World) -> bool:
    """Returns whether RECOVER was broken."""
    await world.start_store()
    for zone in ZONES:
        for number in range(2):
            name = f"i-{zone}-{number}"
            await world.add_server(name=name, service="slot-desk", zone=zone, work=work)
    tenant = {"apiKeys": [API_KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}
    resource = {"resKind": "tenants", "metadata": {"name": "kaje80"}, "spec": tenant}
    lookup = rig.route("lookup", "/lohu930/", "slot-desk", public=False, timeoutMs=1200)
    world.store.put("op", "config", rig.configuration(7, lookup, resource, services=["slot-desk"]))
    bounds = "allotment_window_s = 5\nallotment_excess = 0.1\nallotment_slack = 20"
    contracts = ["base", "recover", "tenants", "quota", "platform"]
    world.add_vms([*PLACES, *REMOVED_PLACES], regions=ZONES, bounds=bounds, contracts=contracts)
    staying, removed = world.vms[: len(PLACES)], world.vms[len(PLACES) :]
    await world.start_vms(world.vms)
    await asyncio.sleep(WARM_UP_S)
    clients = Clients(world)
    traffic = asyncio.create_task(clients.run())
    await asyncio.sleep(REMOVED_S)
    if world.trouble == "1":
        await world.kill_vms(removed)
    await asyncio.sleep(FAULT_S - REMOVED_S)
    fault_at = back_at = clients.now
    if world.trouble != "0":
        running = [vm for vm in world.vms if vm.is_running]
        await world.kill_vms(running)
        await asyncio.sleep(DOWN_S)
        await world.start_vms(running)
        back_at = clients.now
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    traffic.cancel()
    await asyncio.wait([traffic])
    return judge(world, clients.outcomes, fault_at=fault_at, back_at=back_at, staying=staying)


def judge(
    world: rig.World,
    outcomes: list[Outcome],
    *,
    fault_at: float,
    back_at: float,
    staying: list[rig.Vm],
) -> bool:
    """Returns whether less than a quarter of the late requests was served, and more before."""
    before = Counter(o.status for o in outcomes if o.sent_at < fault_at)
    after = Counter(o.status for o in outcomes if o.sent_at > back_at + RECOVER_S)
    if not all(vm.is_running for vm in staying) or not before.total() or not after.total():
        raise rig.NotRunError("a VM ended by itself, or there was no traffic")
    world.record.say("before the final fault, by status:", dict(before))
    world.record.say(f"later than {RECOVER_S} s after the VMs were back:", dict(after))
    served_before = before[200] >= before.total() / 4
    return served_before and after[200] < after.total() / 4


if __name__ == "__main__":
    rig.play(script, folder=FOLDER)
