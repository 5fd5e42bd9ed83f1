"""A small deployment on loopback addresses: entry VMs as processes, stand-ins for all else.

The entry VMs run with the command of the deploy file. The store is the project's stand-in of the
row store; targets and callers are small servers and clients of this module.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.rowstore import RowStore  # noqa: E402

HELD = 0
BROKEN = 1
NOT_RUN = 2

HOST = "a.example"
#: Bounds of the first deployment on the users' page, in seconds.
STABLE_S = 4.0
CONFIG_S = 2.5
DRAIN_S = 2.5
BEAT_S = 1.5
ZONES = {"hakata": "chikuzen", "suizenji": "higo", "kanoya": "satsuma"}
START_S = 30.0
#: Time budget of a request in milliseconds.
BUDGET_MS = 2000
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "places", "platform")


class CannotRunError(Exception):
    """The case cannot run on this machine."""


class Record:
    """What was sent, answered and run, in the order of time; written to ``record.txt``."""

    def __init__(self, folder):
        """Starts the time of the record."""
        self._path = Path(folder) / "record.txt"
        self._started_at = time.monotonic()
        self._lines = []

    def add(self, text):
        """Adds a line with the time."""
        self._lines.append(f"{time.monotonic() - self._started_at:9.3f} {text}")

    def write(self):
        """Writes the record."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Answer:
    """A response, or why there is none."""

    def __init__(self, status, headers=(), body=b"", reason=""):
        """Creates an answer; status 0 stands for none."""
        self.status, self.headers, self.body = status, dict(headers), body
        self.reason = reason


async def read_message(reader):
    """Returns the first line, the headers and the body of a message that has a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Target:
    """A server of a service: runs requests, echoes ids, seals answers, announces itself."""

    def __init__(self, name, service, zone, record, *, slots=4, work_s=0.02, born=None):
        """Creates a server that does not listen yet."""
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.slots, self.work_s = slots, work_s
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000) if born is None else born
        self.runs = []
        self.requests = []
        self.address = ""
        self._server = self._beats = None
        self._writers = set()
        self.is_beating = True

    async def start(self, address="127.0.0.1:0"):
        """Listens, at the same address as before if it is given."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self):
        """Returns the status report of this server."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self, store):
        """Sends one status report."""
        self.seq += 1
        await store.put("servers", self.name, self.entry())

    def keep_beating(self, store):
        """Sends status reports until it is stopped."""

        async def run():
            await asyncio.sleep(random.random() * BEAT_S)
            while True:
                if self.is_beating:
                    await self.beat(store)
                await asyncio.sleep(BEAT_S)

        self._beats = asyncio.create_task(run())

    def stop(self):
        """Closes the listener and all connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                first, headers, body = await read_message(reader)
                await self.answer(writer, first, headers, body)
        self._writers.discard(writer)
        writer.close()

    async def answer(self, writer, first, headers, body):
        """Answers one request; overridden by servers in trouble."""
        method, path, _ = first.split(" ", 2)
        request_id = headers.get("x-carawaybank-request-id", "")
        if path == "/healthz":
            await self.send(writer, 200, {"X-Carawaybank-Instance-Id": self.name}, b"")
            return
        echo = {"X-Carawaybank-Request-Id": request_id}
        expected = headers.get("x-carawaybank-expect-instance", self.name)
        if expected != self.name:
            await self.send(writer, 421, {**echo, "X-Carawaybank-Not-Run": "1"}, b"")
            return
        self.requests.append((time.monotonic(), request_id))
        self.record.add(f"run {request_id} {method} {path} at {self.name} of {self.service}")
        self.runs.append((time.monotonic(), request_id))
        await asyncio.sleep(self.work_s)
        answer = {**echo, "X-Carawaybank-Server-Seal": f"{self.name}.{request_id}"}
        await self.send(writer, 200, answer, f"{self.service} {request_id}".encode())

    async def send(self, writer, status, headers, body):
        """Sends a response that has a length."""
        headers = {**headers, "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        await writer.drain()


class Vm:
    """An entry VM as a process."""

    def __init__(self, site, name, zone, ip):
        """Creates a VM that is not started yet."""
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.process = None

    def address(self, port):
        """Returns the address of a port, by its name."""
        return f"{self.ip}:{self.site.ports[port]}"

    def settings(self):
        """Returns the settings as the template of the deploy file renders them."""
        seeds = [vm.address("control") for vm in self.site.vms[:3]]
        contracts = "".join(f"{name} = true\n" for name in sorted(self.site.contracts))
        regions = "".join(f"{zone} = {json.dumps(region)}\n" for zone, region in ZONES.items())
        return (
            f"[vm]\nname = {json.dumps(self.name)}\nip = {json.dumps(self.ip)}\n"
            f"failure_domain = {json.dumps(self.zone)}\n"
            f"region = {json.dumps(ZONES[self.zone])}\n"
            f"callers_address = {json.dumps(self.address('front'))}\n"
            f"ready_address = {json.dumps(self.address('ready'))}\n"
            f"directory_address = {json.dumps(self.address('directory'))}\n"
            f"control_address = {json.dumps(self.address('control'))}\n"
            f"sibling_port = {self.site.ports['siblings']}\n"
            f"metrics_port = {self.site.ports['metrics']}\n"
            "cpu_share = 0.86\ncores = 1\nlink_mbps = 1000.0\n\n"
            f"[siblings]\nseeds = {json.dumps(seeds)}\n\n"
            f"[store]\naddress = {json.dumps(self.site.store_address)}\n\n"
            f"[regions]\n{regions}\n"
            f"[contracts]\n{contracts}\n"
            "[bounds]\nstop_within_s = 6\nretry_share = 0.2\nretry_slack = 62\n"
            "retry_window_s = 10\ncold_factor = 1.5\ncold_slack = 5\nlookup_ttl_s = 5\n"
            "most_shift = 0.15\nmemory_mb = 300\n"
            "allotment_window_s = 5\nallotment_excess = 0.1\nallotment_slack = 20\n"
        )

    async def start(self):
        """Starts the process with the command of the deploy file, and waits until it is ready."""
        path = self.site.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CARAWAYBANK_SETTINGS": str(path),
        }
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-P",
                "target/deps/carawaybank/start.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + START_S
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CannotRunError(f"{self.name} does not become ready: {self.log()[-600:]}")
            await asyncio.sleep(0.05)
        self.site.record.add(f"ready {self.name}")

    async def is_ready(self):
        """Returns whether the readiness check gets status 200."""
        answer = await call(self.address("ready"), "GET", "/readyz", {}, limit_s=1.0)
        return answer.status == 200

    def log(self):
        """Returns what the process wrote."""
        return (self.site.folder / f"{self.name}.log").read_text(errors="replace")

    async def end(self):
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def call(address, method, path, headers, body=b"", *, limit_s=5.0):
    """Sends one request on a new connection; returns its answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, headers, body))
            first, answer_headers, answer_body = await read_message(reader)
            return Answer(int(first.split(" ")[1]), answer_headers, answer_body)
    except TimeoutError:
        return Answer(0, reason="no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, reason=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


def encode_request(method, path, headers, body=b""):
    """Returns the bytes of a request."""
    fields = {"Host": HOST, **headers}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def route(name, prefix, service, *, kind="idempotent", **more):
    """Returns a route of a config."""
    spec = {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "sloMs": 600,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "sticky": False,
        **more,
    }
    return {"resKind": "routes", "metadata": {"name": name}, "spec": spec}


def make_config(version, resources, services):
    """Returns a config."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    entries = [
        {"resKind": "services", "metadata": {"name": name}, "spec": {"healthPath": "/healthz"}}
        for name in services
    ]
    entries.append({"resKind": "limits", "metadata": {"name": "limits"}, "spec": limits})
    return {"version": f"{version:08x}", "resources": [*resources, *entries]}


class Site:
    """The store, the servers and the entry VMs of one case."""

    def __init__(self, folder, *, vms=3, store=None, contracts=()):
        """Creates a site that is not started yet; ``folder`` gets the record."""
        self.contracts = {*CONTRACTS, *contracts}
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="carawaybank-review-"))
        self.store = store if store is not None else RowStore()
        self.store_address = ""
        self.ports, self.vms, self.targets = {}, [], []
        self._ids = itertools.count(1)
        #: When each request was sent by its client, by its id.
        self.sent_at = {}
        self._run = f"{random.getrandbits(32):08x}"
        zones = list(ZONES)
        net = random.randrange(16, 250)
        for number in range(vms):
            zone = zones[number % len(zones)]
            name = f"edge-{zone}-{number // len(zones) + 1}"
            self.vms.append(Vm(self, name, zone, f"127.{net}.{number + 1}.10"))

    async def __aenter__(self):
        """Starts the store."""
        names = ("front", "ready", "directory", "control", "siblings", "metrics")
        first = random.randrange(20, 28) * 1000
        self.ports = {name: first + 7 * number for number, name in enumerate(names)}
        self.store_address = await self.store.start()
        return self

    async def __aexit__(self, *_):
        """Ends all processes and stand-ins, and writes the record."""
        for vm in self.vms:
            await vm.end()
        for target in self.targets:
            target.stop()
        await self.store.stop()
        self.record.write()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_target(self, target):
        """Starts a server and its status reports."""
        await target.start()
        await target.beat(self.store)
        target.keep_beating(self.store)
        self.targets.append(target)

    async def start_vms(self):
        """Starts all VMs."""
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def put_config(self, config):
        """Writes a config; returns the time of the store's confirmation."""
        await self.store.put("op", "config", config)
        self.record.add(f"config {config['version']} confirmed")
        return time.monotonic()

    def next_id(self):
        """Returns a new request id."""
        return f"{self._run}{next(self._ids):08x}"

    async def send(self, vm, method, path, *, body=b"", budget_ms=2000, headers=None):
        """Sends a request of a client to a VM; returns its id and its answer."""
        request_id = self.next_id()
        fields = {
            "X-Carawaybank-Request-Id": request_id,
            "X-Carawaybank-Deadline-Ms": str(budget_ms),
            **(headers or {}),
        }
        self.record.add(f"sent {request_id} {method} {path} to {vm.name}")
        self.sent_at[request_id] = time.monotonic()
        address = vm.address("front")
        answer = await call(address, method, path, fields, body, limit_s=budget_ms / 1000)
        text = answer.body[:60].decode("latin-1")
        self.record.add(f"answered {request_id} {answer.status} {answer.reason} {text!r}")
        return request_id, answer


def is_troubled():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder):
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function that gets the folder and returns ``HELD`` or ``BROKEN``.
        folder: Folder of the case.
    """
    try:
        result = asyncio.run(case(Path(folder)))
    except (CannotRunError, OSError) as error:
        print(f"the case could not run: {error}")
        result = NOT_RUN
    sys.exit(result)
