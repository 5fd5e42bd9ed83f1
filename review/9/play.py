"""A booking crashes each server that runs it; its client leaves early, and comes again."""

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

ZONES = {"regina": "sask", "calgary": "alberta", "winnipeg": "manitoba"}
SERVERS_PER_ZONE, SLOTS, WORK_S = 4, 6, 0.5
STATUS, BOOKING, CRASHING = "/lohu930/", "/pufi791/", "/pufi791/2f"
STABLE_S, AGAIN_S, TIMES = 3.0, 5.0, 10
#: Seconds after which a server that runs the booking crashes, and after which it is back.
CRASH_S, BACK_S = 0.6, 2.0
#: Seconds after which the client leaves: half the objective of the route.
OBJECTIVE_MS, LEAVE_S = 800, 0.4
#: Retries that the rule allows to reach a server.
ALLOWED = 3
WARM_UP_S, CALM_S, SENT_PER_S, DEADLINE_MS = 4.0, 6.0, 60, 6_000


class Servers:
    """What the servers do: they answer, or crash and come back under their ids."""

    def __init__(self, world: rig.World) -> None:
        """Starts without crashes."""
        self._world = world
        self._returns: set[asyncio.Task[None]] = set()
        #: Time and request of each crash.
        self.crashes: list[tuple[float, str]] = []
        #: Time and request of each arrival of the booking that crashes servers.
        self.arrivals: list[tuple[float, str]] = []

    async def work(
        self, server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Answers a request, or crashes."""
        if path == CRASHING:
            request_id = headers[rig.REQUEST_ID]
            self.arrivals.append((self._world.record.now, request_id))
            await asyncio.sleep(CRASH_S)
            self.crashes.append((self._world.record.now, request_id))
            task = asyncio.create_task(self._bring_back(server))
            self._returns.add(task)
            server.crash()
        await asyncio.sleep(WORK_S * random.uniform(0.85, 1.15))
        return 200, b"done"

    async def _bring_back(self, server: rig.Server) -> None:
        await asyncio.sleep(BACK_S)
        await server.start(is_cold=True)


class Clients:
    """Other clients, which read the status of jobs and book calls."""

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
            key=str(number % 40),
            deadline_ms=DEADLINE_MS,
            method=method,
            body=b"book %d" % number if number % 2 else b"",
        )
        self.statuses[method, answer.status] += 1
        self._world.record.add("answered", request_id, method, answer.status)


async def send_again(world: rig.World) -> dict[str, float]:
    """Sends the booking again and again, and returns when each attempt was sent."""
    sent_at = {}
    for number in range(TIMES):
        request_id = f"again{number}"
        vm = world.vms[number % len(world.vms)]
        sent_at[request_id] = world.record.now
        headers = [("Host", rig.HOST), ("X-Carawaybank-Request-Id", request_id)]
        headers += [("X-Carawaybank-Affinity-Key", "47")]
        headers += [("X-Carawaybank-Deadline-Ms", str(DEADLINE_MS))]
        try:
            async with asyncio.timeout(LEAVE_S):
                answer = await rig.call(vm.front, CRASHING, headers, method="POST", body=b"book 47")
            detail = f"{answer.status} {answer.body[:60].decode('latin-1').strip()}"
        except TimeoutError:
            detail = "the client left"
        world.record.add("answered", request_id, "by", vm.name, detail)
        await asyncio.sleep(max(0.0, sent_at[request_id] + AGAIN_S - world.record.now))
    return sent_at


async def script(world: rig.World) -> bool:
    """Returns whether BUDGET was broken."""
    await world.start_store()
    servers = Servers(world)
    for zone in ZONES:
        for number in range(SERVERS_PER_ZONE):
            await world.add_server(
                name=f"i-{zone}-{number}",
                service="dispatch",
                zone=zone,
                work=servers.work,
                slots=SLOTS,
                cold_s=1.0,
            )
    status = rig.route("job-status", STATUS, "dispatch")
    booking = rig.route(
        "service-booking", BOOKING, "dispatch", kind="non_idempotent", sloMs=OBJECTIVE_MS
    )
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
        sent_at = await send_again(world)
    traffic.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await traffic
    if not all(vm.is_running for vm in world.vms):
        raise rig.NotRunError("a VM ended by itself")
    world.record.say("requests of other clients, by method and status:", dict(clients.statuses))
    return judge(world, servers, sent_at)


def judge(world: rig.World, servers: Servers, sent_at: dict[str, float]) -> bool:
    """Returns whether more retries reached a server than the rule allows."""
    world.record.say(f"the booking crashed servers {len(servers.crashes)} times")
    if len(servers.crashes) < 3:
        return False
    third_at = servers.crashes[2][0]
    late = {each for _, each in servers.arrivals if sent_at[each] > third_at + STABLE_S}
    world.record.say(f"{len(late)} retries reached servers later than {STABLE_S} s after the third")
    return len(late) > ALLOWED


if __name__ == "__main__":
    rig.play(script, folder=FOLDER)
