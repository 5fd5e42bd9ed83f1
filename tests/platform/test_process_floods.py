"""Peers whose bytes never end, in small pieces and large ones, beside other callers of a VM."""

import asyncio
import collections
import contextlib
import json
import time
from typing import NamedTuple

import pytest

from carawaybank.client import ClientConnection, HttpCall
from standins.cluster import process_ip
from standins.floods import RESPONSES, FloodServer, requests, send_without_end
from tests.platform.sites import peak_mb
from tests.platform.test_process import Node

pytestmark = pytest.mark.processes

#: Megabytes above which the platform ends the VM, and those that it may use while a peer floods it.
MEMORY_MB = 300
MAX_PEAK_MB = 120
FLOOD_S = 4.0
#: Seconds within which each of the other callers' requests must be answered.
DEADLINE_S = 3.0
OTHERS = 10
PAUSE_S = 0.1


class Seen(NamedTuple):
    """What a play showed.

    Attributes:
        peak_mb: Largest memory of the VM.
        slowest_s: Longest wait of another caller for its response.
        outcomes: Number of the other callers' requests by status, or by error.
    """

    peak_mb: float
    slowest_s: float
    outcomes: collections.Counter


class FloodedVm(Node):
    """An entry VM between callers, one target and a store, of which one floods it."""

    async def __aenter__(self):
        await super().__aenter__()
        self.flood = FloodServer(respond=self.respond)
        row = json.loads(self.store.value("servers", "t1"))
        address = await self.flood.start()
        await self.store.put("servers", "t1", {**row, "addr": address, "slots": 1000, "born": 2})
        store_address = self.text.partition('[store]\naddress = "')[2].partition('"')[0]
        self.store_gate = FloodServer(upstream=store_address)
        self.text = self.text.replace(store_address, await self.store_gate.start())
        self.text = self.text.replace("[bounds]\n", f"[bounds]\nmemory_mb = {MEMORY_MB}\n")
        self.flooded = []
        return self

    async def __aexit__(self, *details):
        self.flood.close()
        self.store_gate.close()
        await super().__aexit__(*details)

    def respond(self, head):
        path = head.split(" ")[1]
        name = path.rpartition("/")[2].replace("-", " ")
        if name in RESPONSES:
            return RESPONSES[name]
        request_id = head.lower().partition("request-id: ")[2].partition("\r\n")[0]
        return (
            "HTTP/1.1 200 OK\r\nX-Carawaybank-Server-Seal: sealed\r\nContent-Length: 2\r\n"
            f"X-Carawaybank-Request-Id: {request_id}\r\n\r\nok"
        ).encode()

    @property
    def address(self):
        return f"{process_ip()}:{self.ports['8100']}"

    async def ask(self, name, path, results, *, until):
        """Sends requests on a kept connection, one after another."""
        connection, number = None, 0
        while time.monotonic() < until:
            if connection is None or not connection.is_usable:
                connection = await ClientConnection.open(self.address, timeout_s=DEADLINE_S)
            number += 1
            headers = [
                ("Host", "a.example"),
                ("X-Carawaybank-Request-Id", f"{name}-{number}"),
                ("X-Carawaybank-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ]
            started = time.monotonic()
            try:
                reply = await connection.exchange(
                    HttpCall("GET", path, headers), timeout_s=2 * DEADLINE_S
                )
                results.append((time.monotonic() - started, reply.status))
            except Exception as error:
                results.append((time.monotonic() - started, str(error)))
            await asyncio.sleep(PAUSE_S)

    async def send_flood(self, form, *, bytes_per_s):
        """Sends requests without end until cancelled, on a new connection after each close."""
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.address.split(":"))
                await send_without_end(writer, form, bytes_per_s=bytes_per_s)
            await asyncio.sleep(0.01)

    async def play(self, *, peer, form, count=1, bytes_per_s=float("inf")):
        """Lets a peer flood the VM beside other callers.

        Returns:
            What the other callers and the VM's memory saw.
        """
        until = time.monotonic() + FLOOD_S
        others, self.flood.bytes_per_s = [], bytes_per_s
        asking = [self.ask(f"other{n}", "/x/sound", others, until=until) for n in range(OTHERS)]
        callers = []
        if peer == "target":
            path = f"/x/{form.replace(' ', '-')}"
            asking += [self.ask(f"flood{n}", path, self.flooded, until=until) for n in range(count)]
        elif peer == "callers":
            message = requests("/x/sound")[form]
            callers = [
                asyncio.create_task(self.send_flood(message, bytes_per_s=bytes_per_s))
                for _ in range(count)
            ]
        else:
            self.store_gate.flood(RESPONSES[form])
        await asyncio.gather(*asking)
        for caller in callers:
            caller.cancel()
        assert self.process.returncode is None
        outcomes = collections.Counter(outcome for _, outcome in others)
        slowest_s = max(elapsed_s for elapsed_s, _ in others)
        return Seen(peak_mb(self.process.pid), slowest_s, outcomes)


def play(tmp_path, **options):
    async def run():
        async with FloodedVm() as vm:
            await vm.start(tmp_path)
            return await vm.play(**options)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("peer", "form", "count"),
    [
        ("target", "chunks of 2", 1),
        ("target", "chunks of 2", 40),
        ("target", "no length", 200),
        ("callers", "chunks of 2", 1),
        ("callers", "headers", 200),
        ("callers", "pipelined", 40),
        ("store", "chunks of 2", 1),
    ],
)
def test_a_flood_in_small_pieces_uses_up_no_memory(tmp_path, peer, form, count):
    """Guards against limits that count the bytes of a message and not the memory that they cost."""
    seen = play(tmp_path, peer=peer, form=form, count=count)
    print(seen)
    assert seen.peak_mb < MAX_PEAK_MB
    assert seen.slowest_s < DEADLINE_S
