"""Callers that go on sending to an entry VM that stops, and what they got."""

import asyncio
import json
import random

from carawaybank.replies import HttpReply
from standins.cluster import process_ip
from tests.platform.test_process import CONFIGURATION, ROUTE, Node, Target

#: Seconds until the process is killed, as in the settings of the tests.
STOP_S = 6.0
RESPONSE_BYTES = {"large": 400_000, "huge": 11_000_000}
LOOK = {**ROUTE, "prefix": "/look/", "kind": "idempotent", "timeoutMs": 5000, "sloMs": 3000}
ROUTES = [
    {"resKind": "routes", "metadata": {"name": "r"}, "spec": {**ROUTE, "sloMs": 3000}},
    {"resKind": "routes", "metadata": {"name": "look"}, "spec": LOOK},
]


class WorkingTarget(Target):
    """A target that works for the milliseconds that the path names, with many slots."""

    async def handle(self, request):
        request_id = request.header("X-Carawaybank-Request-Id")
        if request_id is None:
            return HttpReply(200, [("X-Carawaybank-Instance-Id", "t1")], b"")
        self.runs.append(request_id)
        _, _, work_ms, size = request.path.split("/")[:4]
        await asyncio.sleep(int(work_ms) / 1000)
        headers = [
            ("X-Carawaybank-Request-Id", request_id),
            ("X-Carawaybank-Server-Seal", "sealed"),
        ]
        return HttpReply(200, headers, b"d" * RESPONSE_BYTES.get(size, 10))


class StoppingVm(Node):
    """The process of an entry VM with a target that works for as long as requests ask for."""

    async def __aenter__(self):
        await super().__aenter__()
        self.target.server.close()
        self.target = WorkingTarget()
        address = await self.target.start()
        row = json.loads(self.store.value("servers", "t1"))
        await self.store.put("servers", "t1", {**row, "addr": address, "slots": 300, "born": 2})
        resources = [*ROUTES, *CONFIGURATION["resources"][1:]]
        await self.store.put("op", "config", {"version": "00000003", "resources": resources})
        return self

    def events(self, output, name):
        """Returns the log lines with an event of the daemon."""
        lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
        return [line for line in lines if (line["part"], line["event"]) == ("daemon", name)]


class Caller:
    """A connection on which requests are sent until it is told to close.

    Attributes:
        sent: Ids of the requests that were sent as a whole, in order.
        statuses: Status of each complete response, by the id of its request.
    """

    def __init__(self, *, vm, name, ip=None, read_pause_s=0.0, object_key=""):
        self.vm, self.name, self.read_pause_s = vm, name, read_pause_s
        self.object_key = object_key
        self.ip = ip or process_ip()
        self.sent, self.statuses = [], {}
        self.is_told_to_close = False
        self._waiting = []

    async def open(self, *, limit=2**16):
        port = self.vm.ports["8100"]
        self.reader, self.writer = await asyncio.open_connection(self.ip, port, limit=limit)
        self.reading = asyncio.create_task(self._read())

    @property
    def is_over(self):
        return self.is_told_to_close or self.reading.done()

    def head(self, method, path, length=0):
        request_id = f"{self.name}-{len(self.sent)}"
        key = f"X-Carawaybank-Affinity-Key: {self.object_key}\r\n" if self.object_key else ""
        return request_id, (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{key}"
            f"X-Carawaybank-Request-Id: {request_id}\r\nX-Carawaybank-Deadline-Ms: 5000\r\n"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()

    def send(self, method="GET", *, work_ms=100, size="small"):
        prefix = "look" if method == "GET" else "x"
        request_id, data = self.head(method, f"/{prefix}/{work_ms}/{size}")
        self.sent.append(request_id)
        self._waiting.append(request_id)
        self.writer.write(data)

    async def send_slowly(self, *, gap_s, work_ms=100):
        """Sends a body in two parts."""
        request_id, data = self.head("POST", f"/x/{work_ms}/small", length=10)
        self._waiting.append(request_id)
        self.writer.write(data + b"first")
        await asyncio.sleep(gap_s)
        if not self.is_over:
            self.writer.write(b"secnd")
            self.sent.append(request_id)

    async def pipeline(self, *, interval_s, method="GET", **options):
        """Sends a request each interval, whether the ones before are answered or not."""
        while not self.is_over:
            self.send(method, **options)
            await asyncio.sleep(interval_s)
        await self.finish()

    async def repeat(self, *, method="GET", **options):
        """Sends the next request when the one before is answered."""
        while not self.is_over:
            self.send(method, **options)
            while self._waiting and not self.reading.done():
                await asyncio.sleep(0.01)
        await self.finish()

    async def finish(self):
        """Waits for the end of the connection, which the caller closes once it is told to."""
        await asyncio.wait([self.reading], timeout=STOP_S + 2)
        self.writer.close()

    async def _read(self):
        try:
            while not self.is_told_to_close:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
                while length:
                    length -= len(await self.reader.readexactly(min(length, 65_536)))
                    await asyncio.sleep(self.read_pause_s)
                self.statuses[self._waiting.pop(0)] = int(head.split()[1])
                self.is_told_to_close = "connection: close" in head
        except (OSError, asyncio.IncompleteReadError):
            return


def find_lost(vm, callers):
    """Returns the requests that a target has run, or a VM has refused to read, without an answer.

    A request behind a response that closes its connection counts as not read.
    """
    runs = set(vm.target.runs)
    return [
        request_id
        for caller in callers
        for request_id in caller.sent
        if request_id in runs and request_id not in caller.statuses
    ]


def find_replaced(vm, callers):
    """Returns the requests that a target has run and that got another status than the target's."""
    runs = set(vm.target.runs)
    return [
        (request_id, status)
        for caller in callers
        for request_id, status in caller.statuses.items()
        if request_id in runs and status != 200
    ]


async def connect(vm, name, ip=None):
    """Returns a new caller, or None if the VM does not listen any more."""
    caller = Caller(vm=vm, name=name, ip=ip)
    try:
        await caller.open()
    except OSError:
        return None
    return caller


async def reconnect(vm, callers, name, rng):
    """Opens a new connection for each request until the VM does not listen any more."""
    for number in range(200):
        caller = await connect(vm, f"{name}-{number}")
        if caller is None:
            return
        callers.append(caller)
        method = rng.choice(["GET", "POST"])
        caller.send(method, work_ms=rng.choice([20, 100, 400]))
        await asyncio.sleep(rng.uniform(0.02, 0.2))
        if rng.random() < 0.3:
            await caller.send_slowly(gap_s=rng.uniform(0.1, 2.0))


async def traffic(vm, callers, seed):
    """Runs callers of all kinds until their connections end."""
    rng = random.Random(seed)
    tasks = []
    for number in range(rng.choice([4, 12, 60])):
        caller = await connect(vm, f"c{number}")
        if caller is None:
            break
        callers.append(caller)
        work_ms = rng.choice([50, 300, 900, 2000])
        method = rng.choice(["GET", "POST"])
        size = rng.choice(["small", "small", "large"])
        if rng.random() < 0.7:
            interval_s = rng.choice([0.1, 0.25, 0.4])
            sending = caller.pipeline(interval_s=interval_s, work_ms=work_ms, size=size)
        else:
            sending = caller.repeat(method=method, work_ms=work_ms, size=size)
        tasks.append(asyncio.create_task(sending))
    tasks += [asyncio.create_task(reconnect(vm, callers, f"n{n}", rng)) for n in range(3)]
    await asyncio.gather(*tasks)
