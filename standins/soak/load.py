"""A process that sends a part of a deployment's load and records each request.

Usage: python -m standins.soak.load DIRECTORY NUMBER

Reads the plan in DIRECTORY; a line with the monotonic time of the start on standard input begins
the load. Arrivals are an open loop: they do not wait for responses.
"""

import asyncio
import json
import random
import sys
import time
import zlib
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlencode

from carawaybank.client import ClientConnection, HttpCall
from standins.soak.chunks import encode_chunks
from standins.soak.configurations import smallest_idle_ms
from standins.soak.connections import CallerConnection, Departure, Exchange
from standins.soak.demand import burst_factor, draw_path, find_fault, is_sent, peak_factor
from standins.soak.layout import HOST, Place, RequestClass
from standins.soak.records import Fault, Plan, Recorder

_PIPELINE_DEPTH = 3
#: Clients reuse connections that were idle for at most this share of the limit.
_REUSE_SHARE = 0.8
_LOOKUP_S = 1.0
_PROMISES = (408, 421, 429, 503)
#: Statuses after which no request is sent again.
_FINAL = (400, 401, 404, 413, 431)
_TAIL_S = 10.0
#: Longest time from the opening of a connection ahead of demand to its first request.
_AHEAD_S = 1.5
_AHEAD_SHARES = {"pool": 0.5}
_CHUNKED_SHARE = 0.5


class LoadContext(NamedTuple):
    """What the clients of a process share."""

    plan: Plan
    recorder: Recorder
    rng: random.Random
    vms: dict[str, str]
    number: int
    started_at: float

    def find_fault(self, kind: str) -> Fault | None:
        """Returns the planned fault of a kind that is in effect now, if any."""
        return find_fault(self.plan.faults, kind, time.monotonic() - self.started_at)


class Client:
    """A client in a failure domain: its look-up, its connections and its requests.

    Attributes:
        sent: Number of requests of all clients of the process so far.
        opened: Number of connections of all clients of the process so far.
        home: Failure domain of the client.
        place: Failure domain in which it is; another one while it is shifted.
    """

    sent = 0
    opened = 0

    def __init__(self, *, context: LoadContext, place: Place, number: int = 0) -> None:
        """Creates a client without connections.

        Args:
            context: What the clients of the process share.
            place: Failure domain of the client.
            number: Number of the client in its process.
        """
        self._context, self.home, self.place = context, place, place
        self._shift_rank = random.Random(f"{context.number}-{number}").random()
        self._addresses: list[str] = []
        self._kept_until = 0.0
        self._failed: set[str] = set()
        self._idle: dict[str, list[CallerConnection]] = defaultdict(list)
        self._looking = asyncio.Lock()
        self._reuse_s = _REUSE_SHARE * smallest_idle_ms(context.plan.faults) / 1000

    async def request(self, kind: RequestClass) -> None:
        """Sends a request, and once more, or at once and more often, where that is allowed."""
        self._settle()
        ahead = await self._open_ahead(kind)
        deadline = time.monotonic() + kind["deadline_s"]
        abuse = self._context.find_fault("retry_abuse")
        is_abusive = abuse is not None and self._context.rng.random() < abuse["share"]
        repeats = int(abuse["x"]) if abuse and is_abusive else 1
        for _ in range(1 + repeats):
            left_s = deadline - time.monotonic()
            if left_s < 0.1:
                return
            record = await self._attempt(kind, left_s, ahead)
            ahead = None
            if not self._may_repeat(kind, record):
                return
            retry_after_s = 0.0 if is_abusive else float(str(record["retry_after_s"]))
            await asyncio.sleep(min(retry_after_s, (deadline - time.monotonic()) / 3))

    @staticmethod
    def _may_repeat(kind: RequestClass, record: dict[str, object]) -> bool:
        status = record["status"]
        if record["outcome"] == "left":
            return False
        if status in _PROMISES or record["outcome"] == "refused":
            return True
        if kind["kind"] != "idempotent" or status in _FINAL:
            return False
        return status == 0 or (isinstance(status, int) and status >= 500)

    async def _attempt(
        self, kind: RequestClass, left_s: float, ahead: CallerConnection | None
    ) -> dict[str, object]:
        context, rng = self._context, self._context.rng
        Client.sent += 1
        body = rng.randbytes(int(kind["request_bytes"] * rng.uniform(0.5, 1.5)))
        request_id = f"{context.plan.seed}-{context.number}-{Client.sent}"
        path = draw_path(kind, self.place, rng)
        exchange = Exchange(record=_make_record(request_id, path, kind, body, left_s))
        if ahead is not None and ahead.is_usable:
            connection: CallerConnection | None = ahead
            self._note(exchange, ahead)
        else:
            connection = await self._connect(kind, exchange)
        if connection is not None:
            is_chunked = body and rng.random() < kind.get("chunked_share", _CHUNKED_SHARE)
            size = None if is_chunked else len(body)
            lines = _format_head(kind["method"], path, request_id, left_s, size)
            is_slow = body and rng.random() < kind.get("slow_share", 0.0)
            content = encode_chunks(body, rng) if is_chunked else body
            if kind["habit"] == "pipeline":
                self._idle[kind["name"]].append(connection)
            await connection.exchange(
                exchange,
                lines + content,
                timeout_s=left_s,
                head_bytes=len(lines) if is_slow else 0,
                departure=self._draw_departure(kind),
            )
            self._release(kind, connection)
        retry_after = exchange.headers.get("retry-after", "0")
        context.recorder.add("request", **exchange.record)
        return {**exchange.record, "retry_after_s": retry_after}

    def _settle(self) -> None:
        """Moves to the failure domain in which the client is now."""
        shift = self._context.find_fault("shift")
        place = self.home
        if shift and shift["subject"] == place["name"] and self._shift_rank < shift["share"]:
            places = self._context.plan.deployment["places"]
            place = next(each for each in places if each["name"] == shift["place"])
        if place != self.place:
            self.place, self._kept_until = place, 0.0

    def _draw_departure(self, kind: RequestClass) -> Departure | None:
        """Returns how the caller leaves within half of the objective, for a share of requests."""
        fault, rng = self._context.find_fault("give_up"), self._context.rng
        if fault is None or rng.random() >= fault["share"]:
            return None
        return Departure(rng.uniform(0.0, kind["slo_ms"] / 2000), rng.random() < 0.5)

    def _release(self, kind: RequestClass, connection: CallerConnection) -> None:
        if not connection.is_usable or kind["habit"] == "fresh":
            if not connection.waiting:
                connection.close()
        elif connection not in self._idle[kind["name"]]:
            self._idle[kind["name"]].append(connection)

    async def _open_ahead(self, kind: RequestClass) -> CallerConnection | None:
        """Opens a connection some time before its first request, for a share of new connections.

        Returns:
            The connection, or nothing if the request is to take a kept or a new one.
        """
        rng = self._context.rng
        if rng.random() >= kind.get("ahead_share", _AHEAD_SHARES.get(kind["habit"], 0.0)):
            return None
        await self._look_up()
        if (kept := self._take_idle(kind["name"])) is not None:
            self._idle[kind["name"]].append(kept)
            return None
        if (address := self._choose_address()) is None:
            return None
        connection = await self._open(address)
        if connection is not None:
            await asyncio.sleep(rng.uniform(0.0, _AHEAD_S))
        return connection

    async def _connect(self, kind: RequestClass, exchange: Exchange) -> CallerConnection | None:
        await self._look_up()
        if kind["habit"] != "fresh" and (kept := self._take_idle(kind["name"])) is not None:
            self._note(exchange, kept)
            return kept
        exchange.record["sent_at"] = time.monotonic()
        address = self._choose_address()
        connection = None
        if address is not None:
            connection = await self._open(address, exchange)
        if connection is None:
            exchange.end("refused")
        return connection

    def _choose_address(self) -> str | None:
        choices = [each for each in self._addresses if each not in self._failed]
        if not choices:
            self._failed.clear()
            choices = self._addresses
        return self._context.rng.choice(choices) if choices else None

    async def _open(
        self, address: str, exchange: Exchange | None = None
    ) -> CallerConnection | None:
        """Opens a connection, and notes it in the record of the request that waits for it."""
        Client.opened += 1
        vm, number = self._context.vms[address], f"{self._context.number}-{Client.opened}"
        connection = CallerConnection(
            address=address,
            number=Client.opened,
            on_surplus=lambda: self._context.recorder.event("surplus", vm=vm, connection=number),
        )
        if exchange is not None:
            self._note(exchange, connection)
        try:
            await connection.open()
        except (OSError, TimeoutError):
            self._failed.add(address)
            return None
        return connection

    def _note(self, exchange: Exchange, connection: CallerConnection) -> None:
        number = f"{self._context.number}-{connection.number}"
        vm = self._context.vms[connection.address]
        exchange.record |= {"vm": vm, "address": connection.address, "connection": number}

    def _take_idle(self, name: str) -> CallerConnection | None:
        """Returns a kept connection with room for a request, which is no longer kept."""
        kept = self._idle[name]
        for connection in list(kept):
            is_old = time.monotonic() - connection.idle_since > self._reuse_s
            is_free = len(connection.waiting) < _PIPELINE_DEPTH
            if connection.address not in self._addresses or is_old or not connection.is_usable:
                kept.remove(connection)
                if not connection.waiting:
                    connection.close()
            elif is_free:
                kept.remove(connection)
                return connection
        return None

    async def _look_up(self) -> None:
        async with self._looking:
            if time.monotonic() < self._kept_until:
                return
            query = {"name": HOST, "region": self.place["region"], "zone": self.place["name"]}
            for address in self._nearest():
                try:
                    found = await fetch(address, f"/resolve?{urlencode(query)}")
                    addresses = json.loads(found)["addrs"]
                except Exception:  # The next VM is asked, as clients do.
                    continue
                if addresses:
                    self._addresses = addresses
                    self._failed.clear()
                    self._kept_until = time.monotonic() + self._context.rng.uniform(5.0, 15.0)
                    return
            self._kept_until = time.monotonic() + 1.0

    def _nearest(self) -> list[str]:
        rng = self._context.rng
        vms = self._context.plan.layout.vms
        rng.shuffle(vms)
        here = self.place
        vms.sort(key=lambda vm: (vm.region != here["region"], vm.failure_domain != here["name"]))
        return [vm.directory_address for vm in vms[:3]]


async def fetch(address: str, path: str) -> bytes:
    """Returns the body of a response with status 200.

    Raises:
        OSError: If there is no such response within a second.
    """
    async with asyncio.timeout(_LOOKUP_S):
        connection = await ClientConnection.open(address, timeout_s=_LOOKUP_S)
        try:
            call = HttpCall("GET", path, [("Host", HOST)], b"")
            reply = await connection.exchange(call, timeout_s=_LOOKUP_S)
        finally:
            connection.close()
    if reply.status != 200:
        raise OSError(f"{address} responded with {reply.status}")
    return bytes(reply.body)


def _make_record(
    request_id: str, path: str, kind: RequestClass, body: bytes, left_s: float
) -> dict[str, object]:
    return {
        "id": request_id,
        "vm": "",
        "address": "",
        "route": f"/{kind['name']}/",
        "path": path,
        "method": kind["method"],
        "kind": kind["kind"],
        "connection": "",
        "position": 0,
        "sent_at": 0.0,
        "last_byte_at": None,
        "status": 0,
        "told_to_close": False,
        "deadline_s": left_s,
        "timeout_s": kind["timeout_ms"] / 1000,
        "body_hash": f"{zlib.crc32(body):08x}",
    }


def _format_head(method: str, path: str, request_id: str, left_s: float, size: int | None) -> bytes:
    """Returns the head of a request; without a size its body is in chunks."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Carawaybank-Request-Id: {request_id}",
        f"X-Carawaybank-Affinity-Key: {path.strip('/').replace('/', '-')}",
        f"X-Carawaybank-Deadline-Ms: {int(left_s * 1000)}",
    ]
    if size is None:
        lines.append("Transfer-Encoding: chunked")
    elif method == "POST":
        lines.append(f"Content-Length: {size}")
    return "\r\n".join([*lines, "", ""]).encode()


async def _run(directory: Path, number: int) -> None:
    plan = Plan.read(directory)
    rng = random.Random(f"{plan.seed}-load-{number}")
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    at = started_at = float(await loop.run_in_executor(None, sys.stdin.readline))
    context = LoadContext(
        plan=plan,
        recorder=Recorder(path=directory / f"load-{number}.jsonl"),
        rng=rng,
        vms={vm.callers_address: vm.name for vm in plan.layout.vms},
        number=number,
        started_at=started_at,
    )
    places, classes = plan.deployment["places"], plan.deployment["classes"]
    chosen = rng.choices(
        places,
        [place["share"] for place in places],
        k=max(1, plan.deployment["clients"] // plan.loaders),
    )
    clients = [
        Client(context=context, place=place, number=index) for index, place in enumerate(chosen)
    ]
    shares = [each["share"] for each in classes]
    tasks: set[asyncio.Task[None]] = set()
    burst = max([1.0, *(fault["x"] for fault in plan.faults if fault["kind"] == "burst")])
    peak_rate = plan.rate / plan.loaders * peak_factor(plan.deployment) * burst
    while (at := at + rng.expovariate(peak_rate)) < started_at + plan.seconds:
        client = rng.choice(clients)
        at_s = at - started_at
        if burst > 1.0 and rng.random() * burst >= burst_factor(plan.faults, at_s):
            continue
        if not is_sent(plan.deployment, client.home, at_s, rng):
            continue
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        task = asyncio.create_task(client.request(rng.choices(classes, shares)[0]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        _, late = await asyncio.wait(tasks, timeout=_TAIL_S)
        print(f"{len(late)} requests did not end", file=sys.stderr)


if __name__ == "__main__":
    asyncio.run(_run(Path(sys.argv[1]), int(sys.argv[2])))
