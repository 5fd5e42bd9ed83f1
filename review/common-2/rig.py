"""Stand-ins of the platform's store, servers and clients, and entry VMs as separate processes.

The store and the servers listen in the process of the script, on loopback addresses. Entry VMs are
started with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
REQUEST_ID = "x-carawaybank-request-id"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_START_S = 30.0

Headers = list[tuple[str, str]]
Work = Callable[["Server", str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]]


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Starts an empty file.

        Args:
            path: The file.
        """
        self._file = path.open("w")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, *words: object) -> None:
        """Adds a line."""
        print(f"{self.now:8.3f}", *words, file=self._file, flush=True)

    def say(self, *words: object) -> None:
        """Adds a line and prints it."""
        self.add(*words)
        print(*words, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers of a message; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_end: bool = False
) -> bytes:
    """Returns the body of a message.

    Args:
        reader: The stream.
        headers: Headers of the message.
        until_end: Whether a body without a length lasts until the end of the stream.

    Raises:
        asyncio.IncompleteReadError: If the stream ends within the body.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Listening:
    """A listener that can end like a killed process: with all of its connections reset."""

    def __init__(self) -> None:
        """Starts without a socket."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self, address: str) -> None:
        """Listens at an address; port 0 stands for a free one."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), limit=2**26)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            # The stream protocol reports a cancelled task as an error.
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                await self.serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until its end."""
        raise NotImplementedError

    def end(self) -> None:
        """Closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()
        self._writers.clear()


class Store(Listening):
    """The platform's store: rows by table and key, with the changes since the start."""

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self._version = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._log: list[tuple[int, tuple[str, str]]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as JSON."""
        self._apply({(table, key): json.dumps(value).encode()})

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply({(table, key): None})

    def _apply(self, changes: dict[tuple[str, str], bytes | None]) -> None:
        self._version += 1
        for key, value in changes.items():
            self.rows.pop(key, None)
            if value is not None:
                self.rows[key] = (value, self._version)
            self._log.append((self._version, key))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        while (head := await read_head(reader)) is not None:
            line, headers = head
            body = await read_body(reader, headers)
            status, answer = await self._answer(line.split(" ")[1], body)
            content = json.dumps(answer).encode()
            writer.write(encode_response(status, [("Content-Type", "application/json")], content))
            await writer.drain()

    async def _answer(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self._commit(json.loads(body))
        if url.path == "/rows-get":
            return 200, self._read(query)
        return 200, await self._watch(query)

    def _commit(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        changes: dict[tuple[str, str], bytes | None] = {
            (row["table"], row["key"]): base64.b64decode(row["value"]) for row in call["puts"]
        }
        changes |= {(row["table"], row["key"]): None for row in call["remove"]}
        if any(table in {"op", "servers"} for table, _ in changes):
            return 403, {}
        self._apply(changes)
        return 200, {"ver": self._version, "nowMs": 1}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, start = query["table"], query.get("from", "")
        keys = sorted(key for key in self.rows if key[0] == table and key[1] >= start)
        limit = min(500, int(query.get("limit", "500")))
        rows = [self._encode(key, self.rows[key][1]) for key in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit, "ver": self._version, "nowMs": 1}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = {key: ver for ver, key in self._log if ver > after and key[0] == table}
            left_s = end - time.monotonic()
            if changed or left_s <= 0:
                rows = [self._encode(key, version) for key, version in changed.items()]
                return {"rows": rows, "ver": self._version, "nowMs": 1}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _encode(self, key: tuple[str, str], version: int) -> dict[str, Any]:
        row: dict[str, Any] = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if key not in self.rows:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(self.rows[key][0]).decode()}


class Server(Listening):
    """A server of a service, which runs one request at a time on each connection.

    Attributes:
        runs: Time, id, path and client's address header of each request that it began to run.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        work: Work,
        slots: int = 6,
        cold_s: float = 0.0,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            name: Its id.
            service: Name of the service.
            zone: Its zone.
            store: The store in which it registers itself.
            record: Takes a line for each run.
            work: Returns the status and the body of the response to a request.
            slots: Requests that it processes concurrently.
            cold_s: Seconds for which it is cold after a start during traffic.
        """
        super().__init__()
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.running = 0
        self.is_up = False
        self.runs: list[tuple[float, str, str]] = []
        self._store, self._record, self._work, self._cold_s = store, record, work, cold_s
        self._born, self._seq, self._cold_until = 0, 0, 0.0
        self._free = asyncio.Semaphore(slots)

    async def start(self, *, is_cold: bool = False) -> None:
        """Listens, and registers in the store; a later start uses the same id and address."""
        await self.listen(self.address or "127.0.0.1:0")
        self.is_up, self._seq, self._free = True, 0, asyncio.Semaphore(self.slots)
        self._born = max(self._born + 1, int(time.time() * 1000))
        self._cold_until = time.monotonic() + (self._cold_s if is_cold else 0.0)
        self.report()

    def report(self) -> None:
        """Writes the entry of the server."""
        self._seq += 1
        row = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1"}
        row |= {"slots": self.slots, "state": "ready", "coldLeftMs": self._cold_left_ms}
        self._store.put("servers", self.name, {**row, "seq": self._seq, "born": self._born})

    @property
    def _cold_left_ms(self) -> int:
        return int(max(0.0, self._cold_until - time.monotonic()) * 1000)

    def crash(self) -> None:
        """Ends without a word, with what it is running."""
        if self.is_up:
            self.is_up = False
            self._record.add("server", self.name, "crashes; it runs", self.running)
            self.end()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection."""
        while (head := await read_head(reader)) is not None:
            line, headers = head
            body = await read_body(reader, headers)
            method, path, _ = line.split(" ")
            answer = await self._answer(method, path, headers, body)
            writer.write(answer)
            await writer.drain()

    async def _answer(self, method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
        own = [
            ("X-Carawaybank-Instance-Id", self.name),
            ("X-Carawaybank-Server-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=10"),
        ]
        if REQUEST_ID in headers:
            own.append(("X-Carawaybank-Request-Id", headers[REQUEST_ID]))
        if path == "/healthz":
            return encode_response(200, [*own, ("X-Carawaybank-Cold-Ms", str(self._cold_left_ms))])
        if headers.get("x-carawaybank-expect-instance", self.name) != self.name:
            return encode_response(421, [*own, ("X-Carawaybank-Not-Run", "1")])
        if self.running >= 4 * self.slots:
            return encode_response(503, [*own, ("X-Carawaybank-Not-Run", "1")])
        self.running += 1
        try:
            async with self._free:
                self.runs.append((self._record.now, headers.get(REQUEST_ID, ""), path))
                self._record.add("run", self.name, headers.get(REQUEST_ID, "-"), method, path)
                status, content = await self._work(self, method, path, headers, body)
        finally:
            self.running -= 1
        seal = f"{self.name}.{status}.{len(content)}"
        return encode_response(status, [*own, ("X-Carawaybank-Server-Seal", seal)], content)


class Vm:
    """The process of an entry VM."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        regions: dict[str, str],
        seeds: Iterable[str],
        store: str,
        directory: Path,
        memory_mb: int = 300,
        bounds: str = "",
        contracts: Iterable[str] = (),
    ) -> None:
        """Writes the settings, as the template of the deploy file has them.

        Args:
            name: Its name.
            ip: Its address.
            zone: Its zone.
            regions: Region by zone.
            seeds: Control addresses of other VMs.
            store: Address of the store.
            directory: Directory of the settings and the log.
            memory_mb: Megabytes above which the platform kills the process.
            bounds: Further lines of the section ``bounds``.
            contracts: Contracts in force.
        """
        self.name, self.ip, self.zone = name, ip, zone
        self.process: asyncio.subprocess.Process | None = None
        self.front, self.directory = f"{ip}:8100", f"{ip}:8102"
        self._settings, self._log = directory / f"{name}.toml", directory / f"{name}.log"
        lines = ["[vm]", f'name = "{name}"', f'ip = "{ip}"', f'failure_domain = "{zone}"']
        lines += [f'region = "{regions[zone]}"', f'callers_address = "{self.front}"']
        lines += [f'ready_address = "{ip}:8101"', f'directory_address = "{self.directory}"']
        lines += [f'control_address = "{ip}:8105"', "sibling_port = 8103", "metrics_port = 8106"]
        lines += ["cpu_share = 0.86", "cores = 1", "[siblings]", f"seeds = {json.dumps([*seeds])}"]
        lines += ["[store]", f'address = "{store}"', "[regions]"]
        lines += [f'{each} = "{region}"' for each, region in regions.items()]
        lines += ["[contracts]", *(f"{contract} = true" for contract in contracts)]
        lines += ["[bounds]", "stop_within_s = 6", f"memory_mb = {memory_mb}", bounds, ""]
        self._settings.write_text("\n".join(lines))

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def log(self) -> str:
        """What the process has written."""
        return self._log.read_text()

    async def start(self) -> None:
        """Starts the process, and waits until it says that it is ready.

        Raises:
            NotRunError: If it does not in time.
        """
        found = re.search(r'^run = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.M)
        if found is None or not (ROOT / "target/deps").is_dir():
            raise NotRunError("the system is not built")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CARAWAYBANK_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *found[1].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        end = time.monotonic() + _START_S
        while await self._readiness() != 200:
            if time.monotonic() > end or not self.is_running:
                raise NotRunError(f"{self.name} is not ready: {self.log[-1500:]}")
            await asyncio.sleep(0.05)

    async def _readiness(self) -> int:
        try:
            async with asyncio.timeout(1.0):
                return (await call(f"{self.ip}:8101", "/readyz", [])).status
        except (OSError, TimeoutError):
            return 0

    async def kill(self) -> None:
        """Kills the process, and waits for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer(NamedTuple):
    """What a client got.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer, -1 if none came in time.
        headers: Headers with names in lower case.
        body: The body.
    """

    status: int
    headers: Mapping[str, str] = MappingProxyType({})
    body: bytes = b""


async def call(
    address: str,
    path: str,
    headers: Headers,
    *,
    method: str = "GET",
    body: bytes = b"",
    local_ip: str = "",
) -> Answer:
    """Sends a request on a new connection and returns the answer.

    Args:
        address: ``IP:PORT``.
        path: Path and query.
        headers: Headers.
        method: HTTP method.
        body: The body.
        local_ip: Address of the client; empty for any.
    """
    host, _, port = address.rpartition(":")
    local = (local_ip, 0) if local_ip else None
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=local, limit=2**26)
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
        if not headers:
            lines.append(f"Host: {address}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await read_head(reader)
        if head is None:
            return Answer(0)
        line, answered = head
        content = await read_body(reader, answered, until_end=True)
        return Answer(int(line.split(" ")[1]), answered, content)
    finally:
        writer.transport.abort()


async def ask(
    address: str,
    path: str,
    request_id: str,
    *,
    key: str,
    deadline_ms: int,
    method: str = "GET",
    body: bytes = b"",
    local_ip: str = "",
    api_key: str = "",
) -> Answer:
    """Sends one attempt of a client, and returns its answer.

    Args:
        address: Address of the entry VM.
        path: Path of the request.
        request_id: Id of the attempt.
        key: Object that it concerns.
        deadline_ms: Milliseconds that the client waits.
        method: HTTP method.
        body: The body.
        local_ip: Address of the client; empty for any.
        api_key: Key of the tenant; empty for none.
    """
    headers = [("Host", HOST), ("X-Carawaybank-Request-Id", request_id)]
    headers += [("X-Carawaybank-Affinity-Key", key)]
    headers += [("X-Carawaybank-Deadline-Ms", str(deadline_ms))]
    headers += [("Authorization", f"Bearer {api_key}")] if api_key else []
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            return await call(address, path, headers, method=method, body=body, local_ip=local_ip)
    except TimeoutError:
        return Answer(-1)
    except (OSError, asyncio.IncompleteReadError):
        return Answer(0)


def route(name: str, prefix: str, service: str, **more: object) -> dict[str, Any]:
    """Returns a route of a configuration."""
    spec: dict[str, object] = {"host": HOST, "prefix": prefix, "kind": "idempotent"}
    spec |= {"timeoutMs": 2500, "sloMs": 800, "priority": 1, "service": service, "attempts": 2}
    return {"resKind": "routes", "metadata": {"name": name}, "spec": spec | {"sticky": True} | more}


def configuration(version: int, *resources: dict[str, Any], services: Iterable[str]) -> object:
    """Returns a configuration with the usual limits."""
    spec = {"healthPath": "/healthz", "maxConns": 390, "coldS": 3.0, "coldPerS": 14.0}
    found = [{"resKind": "services", "metadata": {"name": name}, "spec": spec} for name in services]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000}
    limits |= {"idleTimeoutMs": 15000}
    found.append({"resKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": [*resources, *found]}


def choose_network() -> str:
    """Returns the first three numbers of loopback addresses that no other run uses."""
    pid = os.getpid()
    return f"127.{100 + pid % 100}.{pid // 100 % 250 + 1}"


class World:
    """What a script starts: the store, servers and entry VMs, in a temporary folder.

    Attributes:
        trouble: Value of the variable ``TROUBLE``; ``0`` plays without the disruption.
        record: What was sent, answered and run.
        network: First three numbers of the loopback addresses.
    """

    def __init__(self, *, folder: Path, directory: Path) -> None:
        """Starts without processes.

        Args:
            folder: Folder of the case, in which the record is written.
            directory: Temporary folder of settings and logs.
        """
        self.trouble = os.environ.get("TROUBLE", "1")
        self.record = Record(folder / "record.txt")
        self.network = choose_network()
        self.store = Store()
        self.servers: list[Server] = []
        self.vms: list[Vm] = []
        self._directory = directory

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.listen(f"{self.network}.1:8104")

    async def add_server(self, **details: Any) -> Server:
        """Starts a server and returns it; see :class:`Server`."""
        server = Server(store=self.store, record=self.record, **details)
        await server.start()
        self.servers.append(server)
        return server

    def add_vms(
        self,
        places: Iterable[str],
        *,
        regions: dict[str, str],
        store_address: str = "",
        seeds: Iterable[str] = (),
        **details: Any,
    ) -> None:
        """Adds an entry VM for each zone that is named, without starting it.

        Args:
            places: Zones of the VMs.
            regions: Region by zone.
            store_address: Address at which they reach the store, if not its own.
            seeds: Control addresses of other VMs; those of the first three by default.
            details: Further arguments of :class:`Vm`.
        """
        usual_seeds = [f"{self.network}.{10 + each}:8105" for each in range(3)]
        for number, zone in enumerate([*places], start=10 + len(self.vms)):
            self.vms.append(
                Vm(
                    name=f"edge-{zone}-{number}",
                    ip=f"{self.network}.{number}",
                    zone=zone,
                    regions=regions,
                    seeds=[*seeds] or usual_seeds,
                    store=store_address or self.store.address,
                    directory=self._directory,
                    **details,
                )
            )

    async def start_vms(self, vms: Iterable[Vm]) -> None:
        """Starts VMs together."""
        started = [*vms]
        await asyncio.gather(*(vm.start() for vm in started))
        self.record.add("ready:", *(vm.name for vm in started))

    async def kill_vms(self, vms: Iterable[Vm]) -> None:
        """Kills VMs together."""
        killed = [vm for vm in vms if vm.is_running]
        self.record.add("killed:", *(vm.name for vm in killed))
        await asyncio.gather(*(vm.kill() for vm in killed))

    async def end(self) -> None:
        """Ends all that was started."""
        await asyncio.gather(*(vm.kill() for vm in self.vms))
        for listening in (self.store, *self.servers):
            listening.end()


def play(script: Callable[[World], Awaitable[bool]], *, folder: Path) -> None:
    """Runs a script and exits with 1 if it returns that the rule was broken, else 0.

    The exit code is 2 if the case could not run.

    Args:
        script: Returns whether the rule was broken.
        folder: Folder of the case.
    """

    async def run() -> int:
        with tempfile.TemporaryDirectory() as directory:
            world = World(folder=folder, directory=Path(directory))
            try:
                return BROKEN if await script(world) else HELD
            except NotRunError as error:
                world.record.say("not run:", error)
                return NOT_RUN
            finally:
                await world.end()

    try:
        status = asyncio.run(run())
    except Exception as error:
        print(f"not run: {error!r}", flush=True)
        status = NOT_RUN
    sys.exit(status)
