"""Some servers crash once while many clients read the same page."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

ZONES = {
    "regina": "sask",
    "calgary": "alberta",
    "winnipeg": "manitoba",
    "saskatoon": "sask",
    "edmonton": "alberta",
    "brandon": "manitoba",
}
SERVERS_PER_ZONE, SLOTS, WORK_S = 5, 8, 0.8
#: One request in five is on the route of the first configuration.
SENT_PER_S, CLIENTS, DEADLINE_MS = 190, 180, 4_000
FIRST, ADDED = "/kati510/", "/lohu930/"
WARM_UP_S, ADDED_S, CRASH_S, DOWN_S, STABLE_S = 4.0, 3.0, 10.0, 4.5, 3.0
#: Seconds after the return of the servers until the state is steady, and for which it is measured.
SETTLED_S, MEASURED_S = 2 * STABLE_S, 10.0
#: Servers that crash: 0.14 of 30, rounded down.
CRASHED = 4


class Outcome(NamedTuple):
    """How a request of a client ended, with its retry.

    Attributes:
        sent_at: Seconds since the start of traffic.
        prefix: Prefix of its route.
        status: Status of the last attempt.
    """

    sent_at: float
    prefix: str
    status: int


async def work(
    server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    """Answers a request."""
    await asyncio.sleep(WORK_S * random.uniform(0.85, 1.15))
    return 200, b"page " + path.encode()


class Clients:
    """Clients with addresses of their own."""

    def __init__(self, world: rig.World) -> None:
        """Starts without traffic."""
        self._world = world
        self._rng = random.Random(8)
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
        local_ip = f"{self._world.network}.{50 + number % CLIENTS}"
        is_first = number % 5 == 0 or sent_at < ADDED_S + 2 * STABLE_S / 3
        # Each client reads the status of its own job, and all of them read the same page.
        prefix, path = (FIRST, f"{FIRST}{number:x}") if is_first else (ADDED, ADDED)
        for attempt in range(2):
            vm = self._rng.choice(self._world.vms)
            request_id = f"q{number}-{attempt}"
            answer = await rig.ask(
                vm.front,
                path,
                request_id,
                key=path,
                deadline_ms=DEADLINE_MS,
                local_ip=local_ip,
            )
            status = answer.status
            detail = "" if status == 200 else answer.body[:60].decode().strip()
            self._world.record.add("answered", request_id, local_ip, path, status, detail)
            if status == 200:
                break
            wait_s = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(min(wait_s, DEADLINE_MS / 3000))
        self.outcomes.append(Outcome(sent_at, prefix, status))


async def script(world: rig.World) -> bool:
    """Returns whether CONFIG was broken."""
    await world.start_store()
    for zone in ZONES:
        for number in range(SERVERS_PER_ZONE):
            name = f"i-{zone}-{number}"
            await world.add_server(
                name=name, service="dispatch", zone=zone, work=work, slots=SLOTS, cold_s=3.0
            )
    first = rig.route("job-status", FIRST, "dispatch", sticky=False, sloMs=1500)
    added = rig.route("page", ADDED, "dispatch", sticky=False, sloMs=1500)
    world.store.put("op", "config", rig.configuration(7, first, services=["dispatch"]))
    world.add_vms(ZONES, regions=ZONES, contracts=["base", "config", "recover", "platform"])
    await world.start_vms(world.vms)
    await asyncio.sleep(WARM_UP_S)
    clients = Clients(world)
    traffic = asyncio.create_task(clients.run())
    await asyncio.sleep(ADDED_S)
    world.store.put("op", "config", rig.configuration(9, first, added, services=["dispatch"]))
    await asyncio.sleep(CRASH_S - clients.now)
    if world.trouble != "0":
        crashed = random.Random(8).sample(world.servers, CRASHED)
        for server in crashed:
            server.crash()
        await asyncio.sleep(DOWN_S)
        for server in crashed:
            await server.start(is_cold=True)
    steady_from = CRASH_S + DOWN_S + SETTLED_S
    await asyncio.sleep(steady_from + MEASURED_S - clients.now)
    steady_until = clients.now
    await asyncio.sleep(DEADLINE_MS / 1000)
    traffic.cancel()
    await asyncio.wait([traffic])
    if not all(vm.is_running for vm in world.vms):
        raise rig.NotRunError("a VM ended by itself")
    return judge(world, [o for o in clients.outcomes if steady_from < o.sent_at < steady_until])


def judge(world: rig.World, outcomes: list[Outcome]) -> bool:
    """Returns whether requests on the added route are served a quarter as often as the others."""
    served = {}
    for prefix in (FIRST, ADDED):
        statuses = Counter(o.status for o in outcomes if o.prefix == prefix)
        world.record.say(f"in steady state on {prefix}, by status:", dict(statuses))
        if statuses.total() < 20:
            raise rig.NotRunError("there was too little traffic")
        served[prefix] = statuses[200] / statuses.total()
    return served[ADDED] < served[FIRST] / 4


if __name__ == "__main__":
    rig.play(script, folder=FOLDER)
