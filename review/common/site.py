"""A small deployment on loopback addresses: the store's stand-in, entry VMs, target stand-ins."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from standins.rowstore import RowStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ID = "X-Carawaybank-Request-Id"
SEAL = "X-Carawaybank-Server-Seal"
START_S = 30.0


def free_port(ip):
    """Returns a TCP port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(name, prefix, kind, service, **changes):
    """Returns a route resource as the operator writes it."""
    spec = {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "sloMs": 600,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "sticky": False,
        "homeRegions": [],
        **changes,
    }
    return {"resKind": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, **changes):
    """Returns a service resource as the operator writes it."""
    spec = {"healthPath": "/healthz", "maxConns": 390, "coldS": 3.0, "coldPerS": 7.2, **changes}
    return {"resKind": "services", "metadata": {"name": name}, "spec": spec}


def limits():
    """Returns the limits that `fleetbench wire` shows."""
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"resKind": "limits", "metadata": {}, "spec": spec}


class Record:
    """Lines with the time since the start, written to record.txt at the end."""

    def __init__(self, folder):
        """Starts empty."""
        self._path = Path(folder) / "record.txt"
        self._lines = []
        self._started = time.monotonic()

    def add(self, text):
        """Adds a line."""
        self._lines.append(f"{time.monotonic() - self._started:9.3f} {text}")

    def write(self):
        """Writes all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Server:
    """A sound server of one service, unless `answer` is replaced."""

    def __init__(self, name, service_name, record, *, ip="127.0.0.1", slots=8, work_s=0.2):
        """Stores the settings; `start` listens."""
        self.name, self.service_name, self.record = name, service_name, record
        self.ip, self.slots, self.work_s = ip, slots, work_s
        self.zone = "regina"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = self.waiting = 0
        #: Times at which requests began, by request id.
        self.runs = {}
        self._slots = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0, limit=2**20)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        """Stops to listen and ends all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Returns the server's row in the store."""
        self.seq += 1
        return {
            "service": self.service_name,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, path, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/healthz":
            writer.write(encode(200, {"X-Carawaybank-Instance-Id": self.name}, b""))
            return True
        expected = headers.get("x-carawaybank-expect-instance", self.name)
        if expected != self.name:
            writer.write(encode(421, {"X-Carawaybank-Instance-Id": self.name}, b""))
            return True
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            request_id = headers.get(ID.lower(), "")
            self.runs.setdefault(request_id, []).append(time.monotonic())
            self.record.add(f"{self.name} begins {method} {path} id={request_id}")
            self.begin(writer)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        reply = self.answer(method, path, headers, body)
        if reply is not None:
            writer.write(reply)
            await writer.drain()
            self.end(writer)
        return reply is not None

    def begin(self, writer):
        """Is called when a request begins to run; a sound server does nothing."""

    def end(self, writer):
        """Is called when a response was written; a sound server does nothing."""

    def answer(self, method, path, headers, body):
        """Returns the bytes of the response to a request that has run."""
        return encode(200, self.headers(headers), b"done " + path.encode())

    def headers(self, headers):
        """Returns the headers of each response to a request."""
        request_id = headers.get(ID.lower(), "")
        load = f"{self.running},{self.waiting},{self.slots}"
        return {ID: request_id, SEAL: f"{self.name}.1", "X-Carawaybank-Server-Load": load}


def encode(status, headers, body):
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_reply(reader):
    """Returns first line, headers and body of a response; None if it is not complete."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError:
        return None
    return first, headers, body


class Vm:
    """One entry VM, run with the command of the deploy file."""

    def __init__(self, name, *, ip, zone, region, folder, site):
        """Chooses free ports; `start` runs the process."""
        self.name, self.ip, self.zone, self.region = name, ip, zone, region
        self.folder, self.site = folder, site
        self.ports = {key: free_port(ip) for key in ("front", "ready", "directory", "control")}
        self.process = None

    def settings(self):
        """Returns the settings as the template of the deploy file renders them."""
        ports, site = self.ports, self.site
        zones = "\n".join(f"{zone} = {json.dumps(name)}" for zone, name in site.zones.items())
        seeds = json.dumps([f"{vm.ip}:{vm.ports['control']}" for vm in site.vms[:3]])
        contracts = ("base", "drain", "config", "cost", "retry", "recover", "places", "platform")
        return f"""
[vm]
name = "{self.name}"
ip = "{self.ip}"
failure_domain = "{self.zone}"
region = "{self.region}"
callers_address = "{self.ip}:{ports["front"]}"
ready_address = "{self.ip}:{ports["ready"]}"
directory_address = "{self.ip}:{ports["directory"]}"
control_address = "{self.ip}:{ports["control"]}"
sibling_port = {site.sibling_port}
metrics_port = {site.metrics_port}
cpu_share = 0.86
cores = 1
link_mbps = 1000.0

[siblings]
seeds = {seeds}

[store]
address = "{site.store_address}"

[regions]
{zones}

[contracts]
{chr(10).join(f"{name} = true" for name in contracts)}

[bounds]
stop_within_s = 6
retry_share = 0.2
retry_slack = 62
retry_window_s = 10
cold_factor = 1.5
cold_slack = 5
lookup_ttl_s = 5
most_shift = 0.15
memory_mb = 300
"""

    async def start(self):
        """Starts the process and waits until it is ready."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["CARAWAYBANK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "carawaybank.platform",
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready")

    async def is_ready(self):
        """Returns whether the readiness check succeeds."""
        try:
            reply = await call(self.ip, self.ports["ready"], "GET", "/readyz")
        except OSError:
            return False
        return reply is not None and " 200 " in reply[0]

    async def resolve(self, region, zone):
        """Returns the decoded response to a look-up."""
        path = f"/resolve?name={HOST}&region={region}&zone={zone}"
        reply = await call(self.ip, self.ports["directory"], "GET", path)
        return json.loads(reply[2])

    @property
    def front(self):
        """``IP:PORT`` for clients."""
        return f"{self.ip}:{self.ports['front']}"

    def signal(self, number):
        """Sends a signal to the process."""
        self.site.record.add(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        """Kills the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class CannotRunError(Exception):
    """The case could not run."""


class Site:
    """The store's stand-in, servers and entry VMs of a case."""

    def __init__(self, record):
        """Creates an empty deployment."""
        self.record = record
        self.zones = {"regina": "sask", "saskatoon": "sask", "calgary": "alberta"}
        self.sibling_port, self.metrics_port = free_port("127.0.0.1"), free_port("127.0.0.1")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.servers, self.vms = RowStore(), [], []
        self._beats = None

    async def __aenter__(self):
        """Starts the store."""
        self.store_address = await self.store.start()
        return self

    async def __aexit__(self, *_):
        """Ends all processes that the case started, and removes its files."""
        if self._beats is not None:
            self._beats.cancel()
        for vm in self.vms:
            await vm.end()
        for server in self.servers:
            server.close()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder)

    def add_vm(self, name, *, ip, zone="regina", region="sask"):
        """Adds an entry VM that is not started."""
        vm = Vm(name, ip=ip, zone=zone, region=region, folder=self.folder, site=self)
        self.vms.append(vm)
        return vm

    async def add_server(self, server):
        """Starts a server and registers it in the store."""
        self.servers.append(server)
        await server.start()
        await self.store.put("servers", server.name, server.entry())

    async def configure(self, version, *resources):
        """Writes a configuration to the store."""
        document = {"version": f"{version:08x}", "resources": list(resources)}
        self.record.add(f"operator writes the config {version:08x}")
        await self.store.put("op", "config", document)

    async def start_vms(self):
        """Starts all entry VMs together."""
        await asyncio.gather(*(vm.start() for vm in self.vms))


async def call(ip, port, method, path, *, headers=(), body=b"", timeout_s=10.0):
    """Returns the response to one request on a connection of its own; None if there is none."""
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(request_bytes(method, path, headers=headers, body=body))
        async with asyncio.timeout(timeout_s):
            return await read_reply(reader)
    except TimeoutError:
        return None
    finally:
        writer.transport.abort()


def request_bytes(method, path, *, headers=(), body=b""):
    """Returns a request as a client sends it."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def run(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add(f"result: {broken or 'the rule held'}")
    record.write()
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
