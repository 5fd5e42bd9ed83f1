"""Clients send many requests on one connection and leave before the first response.

Usage: python3 -P review/common-2/gone.py [NUMBER]

NUMBER is that of the requests on one connection, 40 by default. Beside it, ten clients send one
request each and leave at the same moment. With ``TROUBLE=0`` nobody leaves.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import rig  # noqa: E402

ZONES = {"regina": "sask", "calgary": "alberta", "winnipeg": "manitoba"}
SERVERS_PER_ZONE, SLOTS, WORK_S = 4, 6, 3.0
STATUS = "/lohu930/"
ROUNDS, SINGLE_CLIENTS, NUMBER = 5, 10, 40
WARM_UP_S, LEAVE_S, LATE_S, DEADLINE_MS = 6.0, 0.4, 0.5, 6_000
#: Share of the requests whose clients left that servers may go on with.
ALLOWED = 0.25
_POLL_S = 0.02


class DroppingServer(rig.Server):
    """A server that drops a request when its connection closes."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection."""
        while (head := await rig.read_head(reader)) is not None:
            line, headers = head
            body = await rig.read_body(reader, headers)
            method, path, _ = line.split(" ")
            answer = asyncio.create_task(self._answer(method, path, headers, body))
            while not answer.done():
                await asyncio.wait([answer], timeout=_POLL_S)
                if reader.at_eof() or reader.exception() is not None:
                    answer.cancel()
                    return
            writer.write(answer.result())
            await writer.drain()


class Runs:
    """When servers began and ended requests, by id."""

    def __init__(self, world: rig.World) -> None:
        """Starts without runs."""
        self._world = world
        self.began: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    async def work(
        self, server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Works on a request until it is done or dropped."""
        request_id = headers[rig.REQUEST_ID]
        self.began[request_id] = self._world.record.now
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.ended[request_id] = self._world.record.now
            self._world.record.add("ended", server.name, request_id)
        return 200, b"done"


async def send(world: rig.World, vm: rig.Vm, ids: list[str]) -> None:
    """Sends requests on one connection, and leaves before the first response."""
    host, _, port = vm.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number, request_id in enumerate(ids):
        lines = [f"GET {STATUS}{request_id} HTTP/1.1", f"Host: {rig.HOST}"]
        lines += [f"X-Carawaybank-Request-Id: {request_id}"]
        lines += [f"X-Carawaybank-Affinity-Key: {number}"]
        lines += [f"X-Carawaybank-Deadline-Ms: {DEADLINE_MS}", "", ""]
        writer.write("\r\n".join(lines).encode())
    await asyncio.sleep(LEAVE_S)
    if world.trouble == "0":
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                for _ in ids:
                    head = await rig.read_head(reader)
                    if head is not None:
                        await rig.read_body(reader, head[1])
    writer.close()
    world.record.add("left", vm.name, ids[0], "and", len(ids) - 1, "more")


async def script(world: rig.World) -> bool:
    """Returns whether GONE was broken."""
    number = int(sys.argv[1]) if len(sys.argv) > 1 else NUMBER
    await world.start_store()
    runs = Runs(world)
    for zone in ZONES:
        for each in range(SERVERS_PER_ZONE):
            server = DroppingServer(
                name=f"i-{zone}-{each}",
                service="dispatch",
                zone=zone,
                store=world.store,
                record=world.record,
                work=runs.work,
                slots=SLOTS,
                cold_s=1.0,
            )
            await server.start()
            world.servers.append(server)
    status = rig.route("job-status", STATUS, "dispatch")
    world.store.put("op", "config", rig.configuration(7, status, services=["dispatch"]))
    contracts = ["base", "retry", "recover", "platform"]
    world.add_vms(ZONES, regions=ZONES, contracts=contracts, bounds="retry_slack = 62")
    await world.start_vms(world.vms)
    await asyncio.sleep(WARM_UP_S)
    late = begun_late = total = 0
    for turn in range(ROUNDS):
        vm = world.vms[turn % len(world.vms)]
        connections = [[f"r{turn}-{each}" for each in range(number)]]
        connections += [[f"s{turn}-{each}"] for each in range(SINGLE_CLIENTS)]
        await asyncio.gather(*(send(world, vm, ids) for ids in connections))
        left_at = world.record.now
        await asyncio.sleep(WORK_S + 2.0)
        if world.trouble == "0":
            continue
        ran = [each for ids in connections for each in ids if each in runs.began]
        total += len(ran)
        late += sum(runs.ended[each] > left_at + LATE_S for each in ran)
        begun_late += sum(runs.began[each] > left_at + LATE_S for each in ran)
    if not all(vm.is_running for vm in world.vms):
        raise rig.NotRunError("an entry VM ended by itself")
    world.record.say(f"{late} of {total} requests were worked on over {LATE_S} s after the close")
    world.record.say(f"{begun_late} of them reached a server only then")
    return late > ALLOWED * total


rig.play(script, folder=FOLDER)
