"""A process that hosts a part of a deployment's targets and records what they run.

Usage: python -m standins.soak.targets DIRECTORY NUMBER

Reads the plan in DIRECTORY, hosts each target whose index leaves the remainder NUMBER, and runs
until its standard input is closed. It injects the faults of its targets by itself.
"""

import asyncio
import functools
import random
import sys
import time
import zlib
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import httptools

from standins.soak.chunks import encode_chunks
from standins.soak.endless import Flood, is_endless, make_flood, send_response
from standins.soak.history import ENDLESS
from standins.soak.layout import RequestClass, Service, Target
from standins.soak.records import Fault, Plan, Recorder
from standins.soak.rows import write_rows
from standins.soak.warmth import Warmth

_BEAT_S = 1.5
_IDLE_S = 10
_ID = "x-carawaybank-request-id"
_NOT_RUN = {"X-Carawaybank-Not-Run": "1"}
_CHUNKED_SHARE = 0.3
#: Bodies from this size on may be answered before they are read.
_LONG_BODY_BYTES = 10_000
_READ_ON_S = 0.1
_RETRY_S = 0.5
#: Longest time from a response to the extra one that repeats it.
_EXTRA_LATE_S = 0.3
#: Replacements of a release listen at ports of their own.
_REPLACEMENT_PORTS = 1000
_FAULTS = frozenset({"leave", "replace", "garble", "srv_slow", "srv_crash", "endless"})


class Response(NamedTuple):
    """What a target sends for a request.

    Attributes:
        data: Bytes of the response.
        is_last: Whether the target ends the connection behind it.
        extra: Bytes of a second response, which the target sends late; empty for none.
        flood: What the target sends without end in place of a response, if anything.
    """

    data: bytes
    is_last: bool = False
    extra: bytes = b""
    flood: Flood | None = None


def accept_directly(protocol: asyncio.Protocol) -> asyncio.Protocol:
    """Returns the protocol of a new connection, without a simulated link."""
    return protocol


class TargetServer:
    """A target: runs requests in its slots, queues a few and rejects the rest.

    Attributes:
        target: Name, service and sizes.
        state: State that its row reports; empty once the row is to be removed.
        seq: Number of reports so far.
        born: Unix time of its start in milliseconds.
        running: Number of running requests.
        waiting: Number of queued requests.
        warmth: Objects on which it works faster, and its cold time.
        garbles: Share of responses by the way in which they go wrong.
        slow_factor: Factor of the work.
        flood: How it answers without end, if it does.
        is_crashed: Whether the process has crashed and not come back.
    """

    def __init__(
        self,
        *,
        target: Target,
        service: Service,
        classes: Mapping[str, RequestClass],
        recorder: Recorder,
        seed: int,
        accept: Callable[[asyncio.Protocol], asyncio.Protocol] = accept_directly,
    ) -> None:
        """Creates a target that does not listen yet.

        Args:
            target: Name, service and sizes.
            service: The service, with the warm objects and the cold time of its targets.
            classes: Classes of requests by name.
            recorder: Takes a line for each run.
            seed: Seed of the durations.
            accept: Returns the protocol of a new connection, which may simulate a link.
        """
        self.target, self.classes, self.recorder = target, classes, recorder
        self.rng = random.Random(f"{seed}-{target.name}")
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.warmth = Warmth(service=service, started_at=time.monotonic())
        self.garbles: dict[str, float] = {}
        self.slow_factor = 1.0
        self.flood: Flood | None = None
        self.is_crashed = False
        self._crashed_at = 0.0
        self._service, self._seed = service, seed
        self._connections: set[_Connection] = set()
        self._slots = asyncio.Semaphore(target.slots)
        self._server: asyncio.Server | None = None
        self._accept = accept

    async def start(self) -> None:
        """Listens at the target's address."""
        host, _, port = self.target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._accept(_Connection(self)), host, int(port)
        )

    def stop(self) -> None:
        """Closes the listener; open connections end after their running request."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Ends the listener and all connections at once, in the middle of runs."""
        self.is_crashed = True
        self._crashed_at = time.monotonic()
        self.stop()
        for connection in list(self._connections):
            connection.reset()

    def end_flood(self) -> None:
        """Answers as before, and resets the connections with a response without end."""
        self.flood = None
        for connection in list(self._connections):
            if connection.is_flooding:
                connection.reset()

    async def restart(self) -> None:
        """Starts again under the same name, cold and without knowledge of before."""
        self.is_crashed = False
        self.seq, self.born = 0, int(time.time() * 1000)
        self.warmth = Warmth(service=self._service, started_at=time.monotonic())
        await self.start()

    def make_replacement(self, address: str) -> "TargetServer":
        """Returns a new target of the same service, which does not listen yet."""
        return TargetServer(
            target=self.target._replace(name=f"{self.target.name}-new", address=address),
            service=self._service,
            classes=self.classes,
            recorder=self.recorder,
            seed=self._seed,
            accept=self._accept,
        )

    def add_connection(self, connection: "_Connection") -> None:
        """Notes an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_Connection") -> None:
        """Notes the end of a connection."""
        self._connections.discard(connection)

    def draw_garble(self, how: str) -> bool:
        """Returns whether a response goes wrong in some way."""
        share = self.garbles.get(how, 0.0)
        return share > 0.0 and self.rng.random() < share

    def draw_flood(self) -> Flood | None:
        """Returns how the target answers without end, if it does."""
        is_drawn = self.flood is not None and self.rng.random() < self.flood.share
        return self.flood if is_drawn else None

    def row(self) -> dict[str, object]:
        """Returns the next content of the target's row."""
        self.seq += 1
        return {
            "service": self.target.service,
            "addr": self.target.address,
            "zone": self.target.failure_domain,
            "version": "v1",
            "slots": self.target.slots,
            "state": self.state,
            "coldLeftMs": self._cold_left_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    def _cold_left_ms(self) -> int:
        return int(self.warmth.cold_left_s(time.monotonic()) * 1000)

    async def respond(self, request: "_Request") -> Response:
        """Returns the response to a request."""
        expected = request.headers.get("x-carawaybank-expect-instance", self.target.name)
        if expected != self.target.name:
            return self._reject(request, 421)
        if self.running >= self.target.slots and self.waiting >= self.target.queue:
            return self._reject(request, 503)
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._run(request)
        finally:
            self.running -= 1
            self._slots.release()

    def _reject(self, request: "_Request", status: int) -> Response:
        self._record(request, time.monotonic(), status, "rejected")
        return self._encode(request, status, _NOT_RUN)

    async def _run(self, request: "_Request") -> Response:
        if (flood := self.draw_flood()) is not None:
            self._record(request, time.monotonic(), 0, ENDLESS)
            return Response(b"", flood=flood)
        if request.path == "/healthz":
            await asyncio.sleep(0.006)
            headers = {"X-Carawaybank-Cold-Ms": str(self._cold_left_ms())}
            return self._encode(request, 200 if self.state == "ready" else 503, headers)
        left_s = request.deadline_s - (time.monotonic() - request.arrived_at)
        if left_s <= 0:
            return self._reject(request, 503)
        kind = self.classes[request.path.split("/")[1]]
        started_at = time.monotonic()
        is_warm = self.warmth.is_warm(request.path)
        work_s = self.warmth.draw_work_s(kind, request.path, rng=self.rng, now=started_at)
        work_s *= self.slow_factor
        status, outcome = (200, "done") if work_s <= left_s else (504, "late")
        if status == 200 and (error_share := kind.get("error_share", 0.0)):
            status = 500 if self.rng.random() < error_share else 200
        is_truncated = self.draw_garble("truncated")
        outcome = "cut" if is_truncated else outcome
        try:
            await asyncio.sleep(min(work_s, left_s))
            self.warmth.add(request.path)
        except asyncio.CancelledError:
            status, outcome = 0, "crashed" if self.is_crashed else "dropped"
            raise
        finally:
            self._record(request, started_at, status, outcome, is_warm=is_warm)
        size = int(kind["response_bytes"] * self.rng.uniform(0.5, 1.5)) if status == 200 else 0
        body = make_body(request.headers.get(_ID, ""), size)
        response = self._encode(request, status, {}, body)
        if is_truncated:
            part = response.data[: self.rng.randrange(1, len(response.data))]
            return Response(part, is_last=True)
        return response._replace(extra=response.data if self.draw_garble("extra") else b"")

    def _record(
        self, request: "_Request", started_at: float, status: int, outcome: str, **more: bool
    ) -> None:
        """Records an arrival, unless no caller records the request."""
        if request.path == "/healthz" or is_endless(request.path):
            return
        self.recorder.add(
            "run",
            id=request.headers.get(_ID, ""),
            target=self.target.name,
            service=self.target.service,
            failure_domain=self.target.failure_domain,
            method=request.method,
            path=request.path,
            body_bytes=request.body_bytes,
            body_hash=None if request.is_early else f"{request.body_hash:08x}",
            started_at=started_at,
            # A VM may see the end of the connection before the run itself is cancelled.
            ended_at=self._crashed_at if outcome == "crashed" else time.monotonic(),
            status=status,
            outcome=outcome,
            **more,
        )

    def _encode(
        self, request: "_Request", status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> Response:
        content = body
        lines = [f"HTTP/1.1 {status} X"]
        close_share = self._service.get("close_share", 0.0)
        # A close with unread bytes would reset the connection.
        is_last = not request.is_early and close_share > 0.0 and self.rng.random() < close_share
        if is_last:
            lines.append("Connection: close")
        if body and self.rng.random() < _CHUNKED_SHARE:
            lines.append("Transfer-Encoding: chunked")
            content = encode_chunks(body, self.rng)
        else:
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"X-Carawaybank-Instance-Id: {self.target.name}")
        lines.append(
            f"X-Carawaybank-Server-Load: {self.running},{self.waiting},{self.target.slots}"
        )
        lines.append(f"Keep-Alive: timeout={_IDLE_S}")
        if _ID in request.headers:
            lines.append(f"X-Carawaybank-Request-Id: {request.headers[_ID]}")
        if "X-Carawaybank-Not-Run" not in headers and request.path != "/healthz":
            seal = f"{self.target.name}.{status}.{len(body)}.{zlib.crc32(body):08x}"
            lines.append(f"X-Carawaybank-Server-Seal: {seal}")
        return Response("\r\n".join([*lines, "", ""]).encode() + content, is_last)


class _Request:
    """A request that is being received or run."""

    def __init__(self) -> None:
        self.method = self.path = ""
        self.headers: dict[str, str] = {}
        self.body_bytes = self.body_hash = 0
        self.arrived_at = 0.0
        self.is_early = False

    @property
    def deadline_s(self) -> float:
        return float(self.headers.get("x-carawaybank-deadline-ms", "60000")) / 1000


class _Connection(asyncio.Protocol):
    """A connection from a VM; requests are run one at a time."""

    def __init__(self, server: TargetServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request = _Request()
        self._received: deque[_Request] = deque()
        self._running: asyncio.Task[None] | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._extra = b""
        self.is_flooding = False

    def reset(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add_connection(self)
        self._set_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove_connection(self)
        if self._idle is not None:
            self._idle.cancel()
        if self._running is not None:
            self._running.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        self._request = _Request()

    def on_url(self, url: bytes) -> None:
        self._request.path += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        size = int(self._request.headers.get("content-length", "0"))
        if size >= _LONG_BODY_BYTES and self._server.draw_garble("early"):
            self._request.is_early = True
            self._receive()

    def on_body(self, data: bytes) -> None:
        self._request.body_bytes += len(data)
        self._request.body_hash = zlib.crc32(data, self._request.body_hash)

    def on_message_complete(self) -> None:
        if not self._request.is_early:
            self._receive()

    def _receive(self) -> None:
        self._request.method = self._parser.get_method().decode()
        self._request.arrived_at = time.monotonic()
        self._received.append(self._request)
        self._send_extra()
        if self._running is None:
            self._running = asyncio.create_task(self._respond())

    async def _respond(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        while self._received and self._transport is not None:
            await self._respond_to(self._received.popleft(), self._transport)
        self._running = None
        self._set_idle()

    async def _respond_to(self, request: _Request, transport: asyncio.Transport) -> None:
        if request.is_early:
            transport.pause_reading()
        response = await self._server.respond(request)
        if response.flood is not None:
            self.is_flooding = True
            await send_response(transport, response.flood)
            self._received.clear()
            return
        transport.write(response.data)
        if response.is_last:
            transport.close()
            self._received.clear()
            return
        if response.extra:
            self._extra = response.extra
            late_s = self._server.rng.uniform(0.0, _EXTRA_LATE_S)
            asyncio.get_running_loop().call_later(late_s, self._send_extra)
        if request.is_early:
            # The rest of the body is read later.
            await asyncio.sleep(_READ_ON_S)
            transport.resume_reading()

    def _send_extra(self) -> None:
        """Sends the extra response, late or where the next response is expected."""
        if self._extra and self._transport is not None and not self._transport.is_closing():
            self._transport.write(self._extra)
            self._server.recorder.event("extra", target=self._server.target.name)
        self._extra = b""

    def _set_idle(self) -> None:
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            self._idle = loop.call_later(_IDLE_S, self._transport.close)


def make_body(request_id: str, size: int) -> bytes:
    """Returns a response body that differs for each request."""
    pattern = f"{request_id};".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


async def _report(servers: list[TargetServer], group: int, store: str) -> None:
    """Writes the rows of a group of targets until cancelled; crashed ones report nothing."""
    while True:
        reporting = [each for each in servers[group::3] if each.state and not each.is_crashed]
        rows = {each.target.name: each.row() for each in reporting}
        try:
            await write_rows(store, rows)
        except Exception as error:  # The store is away; the next report follows.
            print(f"rows not written: {error!r}", file=sys.stderr)
        await asyncio.sleep(_BEAT_S)


async def _leave(server: TargetServer, fault: Fault, plan: Plan) -> None:
    """Lets a target report that it is draining, serve on and end, unless it has crashed."""
    if server.state != "ready" or server.is_crashed:
        return
    server.state = "draining"
    store = plan.layout.store_address
    while True:
        try:
            await write_rows(store, {server.target.name: server.row()})
            break
        except Exception:  # The store is away; the report counts once it is acknowledged.
            await asyncio.sleep(_RETRY_S)
    server.recorder.event("leave", target=server.target.name)
    await asyncio.sleep(plan.deployment["bounds"]["drainMs"] / 1000 + fault["for_s"])
    server.state = ""
    server.stop()
    await write_rows(store, {}, (server.target.name,))


async def _garble(server: TargetServer, fault: Fault) -> None:
    """Lets a share of a target's responses go wrong for some time."""
    server.garbles[fault["how"]] = fault["x"]
    server.recorder.event("garble", target=server.target.name, how=fault["how"], x=fault["x"])
    await asyncio.sleep(fault["for_s"])
    del server.garbles[fault["how"]]
    server.recorder.event("garble_end", target=server.target.name, how=fault["how"])


async def _flood(server: TargetServer, fault: Fault) -> None:
    """Lets a target answer without end for some time."""
    server.flood = make_flood(fault)
    values = {name: fault[name] for name in ("how", "x", "share")}
    server.recorder.event("endless", target=server.target.name, **values)
    await asyncio.sleep(fault["for_s"])
    server.end_flood()
    server.recorder.event("endless_end", target=server.target.name)


async def _slow_down(server: TargetServer, fault: Fault) -> None:
    """Lets a target work slowly for some time."""
    server.slow_factor = fault["x"]
    server.recorder.event("slow", target=server.target.name, x=fault["x"])
    await asyncio.sleep(fault["for_s"])
    server.slow_factor = 1.0
    server.recorder.event("slow_end", target=server.target.name)


async def _crash(server: TargetServer, fault: Fault) -> None:
    """Lets a target crash and come back, unless it is leaving."""
    if server.state != "ready" or server.is_crashed:
        return
    server.recorder.event("target_kill", target=server.target.name)
    server.crash()
    await asyncio.sleep(fault["for_s"])
    await server.restart()
    server.recorder.event("return", target=server.target.name)


async def _replace(
    server: TargetServer, fault: Fault, plan: Plan, servers: list[TargetServer]
) -> None:
    """Lets a new target take the place of one that leaves, once that one is not crashed."""
    while server.is_crashed:
        await asyncio.sleep(_RETRY_S)
    if server.state != "ready":
        return
    host, _, port = server.target.address.rpartition(":")
    new = server.make_replacement(f"{host}:{int(port) + _REPLACEMENT_PORTS}")
    await new.start()
    servers.append(new)
    server.recorder.event("replacement", target=new.target.name)
    await _leave(server, fault, plan)


async def _inject(fault: Fault, servers: list[TargetServer], plan: Plan, started_at: float) -> None:
    """Injects a fault of one of the targets at its time."""
    server = next(each for each in servers if each.target.name == fault["subject"])
    await asyncio.sleep(max(0.0, started_at + fault["at"] - time.monotonic()))
    if fault["kind"] == "leave":
        await _leave(server, fault, plan)
    elif fault["kind"] == "replace":
        await _replace(server, fault, plan, servers)
    else:
        inject = {
            "garble": _garble, "srv_slow": _slow_down, "srv_crash": _crash, "endless": _flood,
        }  # fmt: skip
        await inject[fault["kind"]](server, fault)


async def _host(directory: Path, number: int) -> None:
    plan = Plan.read(directory)
    layout = plan.layout
    recorder = Recorder(path=directory / f"targets-{number}.jsonl")
    classes = {each["name"]: each for each in plan.deployment["classes"]}
    services = {each["name"]: each for each in plan.deployment["services"]}
    links = plan.make_links(random.Random(f"{plan.seed}-target-links-{number}"))
    sites = layout.sites
    servers = [
        TargetServer(
            target=target,
            service=services[target.service],
            classes=classes,
            recorder=recorder,
            seed=plan.seed,
            accept=functools.partial(links.accept, target=sites[target.failure_domain])
            if links is not None
            else accept_directly,
        )
        for target in layout.targets[number :: plan.hosts]
    ]
    for server in servers:
        await server.start()
    tasks: list[asyncio.Task[Any]] = [
        asyncio.create_task(_report(servers, group, layout.store_address)) for group in range(3)
    ]
    loop = asyncio.get_running_loop()
    print("ready", flush=True)
    started_at = float(await loop.run_in_executor(None, sys.stdin.readline))
    names = {server.target.name for server in servers}
    tasks += [
        asyncio.create_task(_inject(fault, servers, plan, started_at))
        for fault in plan.faults
        if fault["kind"] in _FAULTS and fault["subject"] in names
    ]
    await loop.run_in_executor(None, sys.stdin.readline)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(_host(Path(sys.argv[1]), int(sys.argv[2])))
