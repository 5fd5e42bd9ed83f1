"""A request crashes each server that runs it, and comes again, where there are two servers."""

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

ZONES = {"regina": "sask", "saskatoon": "sask"}
STATUS, BOOKING, POISON = "/lohu930/", "/pufi791/", "/lohu930/2f"
STABLE_S, BACK_S, AGAIN_S, TIMES = 3.0, 2.0, 5.0, 10
#: Retries that the rule allows to reach a server.
ALLOWED = 3
WARM_UP_S, CALM_S, SENT_PER_S, DEADLINE_MS = 4.0, 8.0, 20, 4_000


class Servers:
    """The two servers, which crash when they begin to run the request, and come back."""

    def __init__(self, world: rig.World) -> None:
        """Starts without crashes."""
        self._world = world
        self.crashes: list[tuple[float, str]] = []
        self.poison: dict[str, str] = {}

    async def work(
        self, server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Answers a request, or crashes."""
        request_id = headers[rig.REQUEST_ID]
        if request_id in self.poison:
            self.crashes.append((self._world.record.now, request_id))
            server.crash()
            asyncio.get_running_loop().call_later(BACK_S, self._bring_back, server)
        await asyncio.sleep(0.3)
        return 200, b"done"

    def _bring_back(self, server: rig.Server) -> None:
        self._task = asyncio.ensure_future(server.start(is_cold=True))


class Clients:
    """Clients that read the status of jobs and book calls."""

    def __init__(self, world: rig.World) -> None:
        """Starts without traffic."""
        self._world = world
        self._rng = random.Random(9)
        self.statuses: Counter[tuple[str, int]] = Counter()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                number += 1
                tasks.create_task(self._request(number))
                await asyncio.sleep(1 / SENT_PER_S)

    async def _request(self, number: int) -> None:
        vm = self._rng.choice(self._world.vms)
        method, prefix = ("POST", BOOKING) if number % 2 else ("GET", STATUS)
        request_id = f"q{number}"
        answer = await rig.ask(
            vm.front,
            f"{prefix}job-{number}",
            request_id,
            key=str(number % 20),
            deadline_ms=DEADLINE_MS,
            method=method,
            body=b"book %d" % number if number % 2 else b"",
        )
        self.statuses[method, answer.status] += 1
        self._world.record.add("answered", request_id, method, answer.status)


async def send_again(world: rig.World, servers: Servers) -> dict[str, float]:
    """Sends the request again and again, and returns when each attempt was sent."""
    sent_at = {}
    for number in range(TIMES):
        request_id = f"again{number}"
        servers.poison[request_id] = POISON
        sent_at[request_id] = world.record.now
        vm = world.vms[number % len(world.vms)]
        answer = await rig.ask(vm.front, POISON, request_id, key="47", deadline_ms=DEADLINE_MS)
        detail = answer.body[:60].decode("latin-1").strip()
        world.record.add("answered", request_id, "by", vm.name, answer.status, detail)
        await asyncio.sleep(max(0.0, sent_at[request_id] + AGAIN_S - world.record.now))
    return sent_at


async def script(world: rig.World) -> bool:
    """Returns whether BUDGET was broken."""
    await world.start_store()
    servers = Servers(world)
    for zone in ZONES:
        await world.add_server(
            name=f"i-{zone}", service="dispatch", zone=zone, work=servers.work, slots=8, cold_s=1.0
        )
    status = rig.route("job-status", STATUS, "dispatch")
    booking = rig.route("service-booking", BOOKING, "dispatch", kind="non_idempotent")
    world.store.put("op", "config", rig.configuration(7, status, booking, services=["dispatch"]))
    contracts = ["base", "retry", "recover", "platform"]
    world.add_vms(ZONES, regions=ZONES, contracts=contracts, bounds="retry_slack = 62")
    await world.start_vms(world.vms)
    await asyncio.sleep(WARM_UP_S)
    clients = Clients(world)
    traffic = asyncio.create_task(clients.run())
    await asyncio.sleep(CALM_S)
    sent_at = {}
    if world.trouble == "0":
        await asyncio.sleep(TIMES * AGAIN_S)
    else:
        sent_at = await send_again(world, servers)
    traffic.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await traffic
    if not all(vm.is_running for vm in world.vms):
        raise rig.NotRunError("a VM ended by itself")
    world.record.say("requests of other clients, by method and status:", dict(clients.statuses))
    return judge(world, servers.crashes, sent_at)


def judge(world: rig.World, crashes: list[tuple[float, str]], sent_at: dict[str, float]) -> bool:
    """Returns whether more retries reached a server than the rule allows."""
    world.record.say(f"it crashed servers {len(crashes)} times")
    if len(crashes) < 3:
        return False
    third_at = crashes[2][0]
    late = {each for _, each in crashes if sent_at[each] > third_at + STABLE_S}
    world.record.say(f"{len(late)} retries reached servers later than {STABLE_S} s after the third")
    return len(late) > ALLOWED


if __name__ == "__main__":
    rig.play(script, folder=FOLDER)
