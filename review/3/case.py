"""LOST: a client that pipelines keeps its connection; SIGTERM cuts what was sent after 3 s."""

import asyncio
import signal
import time
from collections import deque
from pathlib import Path

from review.common.site import ID, Server, Site, limits, read_reply, request_bytes, route, run
from review.common.site import service as service_of

CLIENTS = 4
INTERVAL_S = 0.25
#: graceS of the pages.
GRACE_S = 6.0
#: Requests that were sent later than this after SIGTERM have no excuse under the rule.
EXCUSED_S = 3.0
#: ttlS x 3: some clients keep a response of the directory for that long.
KEPT_TIMES = 3


class Client:
    """Sends idempotent requests on one connection, each before the last one is answered."""

    def __init__(self, number, vm, record):
        """Starts without a connection."""
        self.number, self.vm, self.record = number, vm, record
        self.sent, self.answered = {}, {}
        self._waiting = deque()
        self.is_closing = False
        self.ended_at = None

    async def run(self, until):
        """Sends until a time or until the connection ends or is announced to close."""
        host, _, port = self.vm.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.create_task(self._read(reader))
        count = 0
        while time.monotonic() < until() and not (self.is_closing or reading.done()):
            request_id = f"c{self.number}-{count:04d}"
            count += 1
            headers = [(ID, request_id), ("X-Carawaybank-Deadline-Ms", "4000")]
            writer.write(request_bytes("GET", f"/look/{request_id}", headers=headers))
            self.sent[request_id] = time.monotonic()
            self._waiting.append(request_id)
            self.record.add(f"client {self.number} sends {request_id}")
            await asyncio.sleep(INTERVAL_S)
        while self._waiting and not reading.done():
            await asyncio.wait([reading], timeout=0.1)
        if reading.done():
            reading.result()
        reading.cancel()
        writer.transport.abort()

    async def _read(self, reader):
        while True:
            try:
                reply = await read_reply(reader)
            except OSError:
                reply = None
            if reply is None:
                break
            first, headers, _ = reply
            request_id = self._waiting.popleft()
            self.answered[request_id] = first
            self.record.add(f"client {self.number} gets {first!r} for {headers.get(ID.lower())}")
            if headers.get("connection", "") == "close":
                self.is_closing = True
                break
        self.ended_at = time.monotonic()
        self.record.add(f"connection of client {self.number} ended")


async def case(record, has_trouble):
    """Returns what was broken; empty if nothing was."""
    async with Site(record) as site:
        for number in range(3):
            await site.add_server(Server(f"i-{number}", "ledger", record, slots=8, work_s=0.9))
        look = route("look", "/look/", "idempotent", "ledger")
        await site.configure(1, look, service_of("ledger"), limits())
        first = site.add_vm("edge-1", ip="127.0.0.2")
        site.add_vm("edge-2", ip="127.0.0.3")
        await site.start_vms()
        await asyncio.sleep(5.0)
        found = await first.resolve("sask", "regina")
        record.add(f"look-up of the clients: {found}")
        if first.front not in found["addrs"]:
            return ""
        kept_until = time.monotonic() + KEPT_TIMES * found["ttlS"]
        clients = [Client(number, first, record) for number in range(CLIENTS)]
        traffic = [asyncio.create_task(client.run(lambda: kept_until)) for client in clients]
        await asyncio.sleep(0.3)
        stopped_at = time.monotonic()
        if has_trouble:
            first.signal(signal.SIGTERM)
            await asyncio.wait_for(first.process.wait(), GRACE_S)
            record.add(f"process of {first.name} ended {time.monotonic() - stopped_at:.2f} s later")
        await asyncio.gather(*traffic)
        runs = {key for server in site.servers for key in server.runs}
        lost = [
            key
            for client in clients
            for key, sent_at in client.sent.items()
            if key in runs
            and key not in client.answered
            and client.ended_at is not None
            and EXCUSED_S < sent_at - stopped_at <= GRACE_S + 1.0
        ]
        sent = sum(len(client.sent) for client in clients)
        answered = sum(len(client.answered) for client in clients)
        record.add(f"{sent} sent, {answered} answered")
        for key in lost:
            record.add(f"{key}: read, passed on to a server, connection ended without an answer")
        return f"LOST: {len(lost)} requests, e.g. {lost[:3]}" if lost else ""


run(case, Path(__file__).parent)
