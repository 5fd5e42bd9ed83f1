"""Peers whose messages cost an entry VM much memory in forms that need not be endless."""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import signal
import sys
import time

import msgspec
import pytest

from carawaybank.rows import Row, Rows
from carawaybank.siblings.tables import encode
from standins.cluster import process_ip
from standins.floods import RESPONSES, FloodServer, requests, send_without_end
from tests.platform.sites import peak_mb
from tests.platform.test_process import CONFIGURATION, ROUTE, make_heartbeat, run_process
from tests.platform.test_process_floods import DEADLINE_S, FLOOD_S, MAX_PEAK_MB, OTHERS, FloodedVm

pytestmark = pytest.mark.processes

LARGE_BYTES = 15_900_000
_PIECE_BYTES = 65_536
#: Seconds after which the first of several pipelined requests is answered.
SLOW_S = 2.0
#: Seconds within which a VM that is stopped must have ended.
STOP_S = 6.0


def forms(known, *played):
    """Returns the forms that CI plays, or all known ones if ``FLOODS`` is ``all``."""
    return list(known) if os.environ.get("FLOODS") == "all" else list(played)


class PeersVm(FloodedVm):
    """An entry VM whose target also serves large and slow responses."""

    async def __aenter__(self):
        await super().__aenter__()
        self.large_target = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.large_target.sockets[0].getsockname()[:2]
        heartbeat = make_heartbeat(f"{host}:{port}")
        await self.store.put(
            "servers", "t2", {**heartbeat, "service": "archive", "slots": 1000, "born": 2}
        )
        archive = {**ROUTE, "prefix": "/y/", "service": "archive"}
        service = {"healthPath": "/h"}
        self.configuration = {
            "version": "00000003",
            "resources": [
                *CONFIGURATION["resources"],
                {"resKind": "routes", "metadata": {"name": "y"}, "spec": archive},
                {"resKind": "services", "metadata": {"name": "archive"}, "spec": service},
            ],
        }
        await self.store.put("op", "config", self.configuration)
        return self

    async def __aexit__(self, *details):
        self.large_target.close()
        await super().__aexit__(*details)

    async def serve(self, reader, writer):
        """Responds with a large body, or late with a small one."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_id = head.lower().partition("request-id: ")[2].partition("\r\n")[0]
                is_slow = "/slow" in head
                if is_slow:
                    await asyncio.sleep(SLOW_S)
                size = LARGE_BYTES if "/large" in head else 2
                writer.write(
                    "HTTP/1.1 200 OK\r\nX-Carawaybank-Server-Seal: sealed\r\n"
                    f"X-Carawaybank-Request-Id: {request_id}\r\n"
                    f"Content-Length: {size}\r\n\r\n".encode()
                )
                for start in range(0, size, _PIECE_BYTES):
                    writer.write(b"x" * min(size - start, _PIECE_BYTES))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def watch(self, disturb, *, seconds=FLOOD_S):
        """Lets a coroutine disturb the VM beside other callers.

        Returns:
            Peak memory in MB, the longest wait of another caller, and the outcomes of all.
        """
        until = time.monotonic() + seconds
        others = []
        asking = [self.ask(f"other{n}", "/x/sound", others, until=until) for n in range(OTHERS)]
        disturbing = asyncio.create_task(disturb(self))
        await asyncio.gather(*asking)
        if disturbing.done():
            disturbing.result()
        disturbing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disturbing
        outcomes = collections.Counter(outcome for _, outcome in others)
        peak = peak_mb(self.process.pid) if self.process.returncode is None else float("inf")
        return peak, max(elapsed_s for elapsed_s, _ in others), outcomes


def play(tmp_path, disturb, *, prepare=None, seconds=FLOOD_S, change_settings=lambda text: text):
    """Plays a disturbance and checks that other callers and the VM hold."""

    async def run():
        async with PeersVm() as vm:
            vm.text = change_settings(vm.text)
            if prepare is not None:
                await prepare(vm)
            await vm.start(tmp_path)
            # A full pipe would stop the VM.
            output = asyncio.create_task(vm.output())
            seen = await vm.watch(disturb, seconds=seconds)
            if vm.process.returncode is None:
                vm.process.terminate()
                await asyncio.wait_for(vm.process.wait(), 10)
            return (*seen, await output)

    peak, slowest_s, outcomes, output = asyncio.run(run())
    print(f"\npeak {peak:.0f} MB, slowest {slowest_s:.2f} s, {dict(outcomes)}")
    print(output[-6_000:])
    assert peak < MAX_PEAK_MB
    assert slowest_s < DEADLINE_S
    assert set(outcomes) == {200}


def get(path, name):
    return (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Carawaybank-Request-Id: {name}\r\n"
        "X-Carawaybank-Deadline-Ms: 3000\r\n\r\n"
    ).encode()


async def hold(vm, paths, *, count):
    """Sends requests on a number of connections, and reads nothing."""

    async def hold_one(number):
        reader, writer = await asyncio.open_connection(*vm.address.split(":"), limit=1024)
        writer.transport.pause_reading()
        writer.write(b"".join(get(path, f"hold{number}-{n}") for n, path in enumerate(paths)))
        try:
            await asyncio.sleep(60)
        finally:
            writer.transport.abort()
            del reader

    await asyncio.gather(*(hold_one(number) for number in range(count)))


@pytest.mark.parametrize(
    ("paths", "count"),
    [(["/y/large"], 150), (["/y/slow"] + 31 * ["/y/large"], 10)],
    ids=["one", "behind a slow response"],
)
def test_large_responses_that_callers_do_not_read(tmp_path, paths, count):
    """Guards against responses that wait for their callers and use up the memory."""
    play(tmp_path, lambda vm: hold(vm, paths, count=count))


async def put_all(vm, rows, *, batch=200, pause_s=0.01):
    """Writes rows in transactions of some rows each."""
    rows = iter(rows)
    while changed := dict(itertools.islice(rows, batch)):
        await vm.store._apply_changes(changed)
        await asyncio.sleep(pause_s)


def registration(number, **changes):
    record = ["vm", "10.9.0.1:80", "10.9.0.1:90", "regina", "sask", 1, False, ""]
    record[0] = f"vm-{number}"
    return json.dumps(record).encode()


def configuration_of(vm, **resource):
    """Returns a later configuration with another resource in it."""
    resources = [*vm.configuration["resources"], resource]
    resources[0] = {**resources[0], "spec": {**ROUTE, "public": True}}
    return json.dumps({"version": "00000009", "resources": resources}, separators=(",", ":"))


def operators_lists(vm):
    value = configuration_of(vm, resKind="other", metadata={"name": "o"}, spec={"a": "LISTS"})
    lists = "[" + "[]," * 3_500_000 + "[]]"
    return [(("op", "config"), value.replace('"LISTS"', lists).encode())]


def operators_lists_of_a_row(vm):
    value = configuration_of(vm, resKind="other", metadata={"name": "o"}, spec={"a": "LISTS"})
    lists = "[" + "{}," * 330_000 + "{}]"
    return [(("op", "config"), value.replace('"LISTS"', lists).encode())]


def operators_keys(vm):
    keys = [f"{number:05x}" for number in range(120_000)]
    spec = {"apiKeys": keys}
    value = configuration_of(vm, resKind="tenants", metadata={"name": "o"}, spec=spec)
    return [(("op", "config"), value.encode())]


def evacuations(vm):
    return ((("op", f"evacuate/{'d' * 60}{number}"), b"{}") for number in range(30_000))


def targets_wide(vm):
    heartbeat = json.dumps({**make_heartbeat("10.9.0.1:80"), "service": "other", "a": "LISTS"})
    value = heartbeat.replace('"LISTS"', "[" + "[]," * 330_000 + "[]]").encode()
    return ((("servers", f"w{number}"), value) for number in range(60))


def targets_many(vm):
    value = json.dumps({**make_heartbeat("127.0.0.1:9"), "service": "other"}).encode()
    return ((("servers", f"w{number}"), value) for number in range(30_000))


def targets_malformed(vm):
    return ((("servers", f"{'k' * 300}{number}"), b"[1,") for number in itertools.count())


def vms_many(vm):
    return ((("carawaybank", f"vm/vm-{n}"), registration(n)) for n in range(20_000))


def vms_wide(vm):
    value = b"[" + b"[]," * 330_000 + b"[]]"
    return ((("carawaybank", f"vm/vm-{number}"), value) for number in range(60))


def weights_many(vm):
    return ((("carawaybank", f"vm-weight/{'w' * 60}{n}"), b'{"weight":5}') for n in range(20_000))


def crashes_many(vm):
    value = json.dumps({"fingerprint": "f", "target": "t", "service": "ledger"}).encode()
    return ((("carawaybank", f"crash/{'f' * 60}{n}.t{n}"), value) for n in range(20_000))


ROWS = {
    each.__name__: each
    for each in (
        operators_lists,
        operators_lists_of_a_row,
        operators_keys,
        evacuations,
        targets_wide,
        targets_many,
        targets_malformed,
        vms_many,
        vms_wide,
        weights_many,
        crashes_many,
    )
}


@pytest.mark.parametrize("rows", forms(ROWS, "operators_lists", "vms_many"))
def test_rows_whose_decoded_form_is_large(tmp_path, rows):
    """Guards against rows of the store that cost many times their bytes."""
    batch = 4 if "wide" in rows else 200
    play(tmp_path, lambda vm: put_all(vm, ROWS[rows](vm), batch=batch))


def relay_of_headers(vm):
    """Returns a relay whose headers are empty, three bytes each."""
    size = 900_000
    request = [1, "r", "a.example", "/x/1", "", "", 3.0]
    start = msgspec.msgpack.encode(["GET", "/x/1"])[1:]
    headers = b"\xdd" + size.to_bytes(4, "big") + b"\x92\xa0\xa0" * size
    call = b"\x93" + start + headers
    body = b"\x94" + msgspec.msgpack.encode("regina-2") + msgspec.msgpack.encode(request) + call
    return "8103", "/v1/relay", body + b"\x90"


def explanation(vm):
    body = b"[" + b"[]," * 500_000 + b"[]]"
    return "8105", "/v1/explain", body


def look_up(vm):
    return "8102", "/resolve", b"x" * 2_000_000


def metrics(vm):
    return "8106", "/metrics", b"x" * 2_000_000


UPLOADS = {each.__name__: each for each in (relay_of_headers, explanation, look_up, metrics)}


async def upload(vm, port, path, body, *, count):
    """Sends requests again and again on some connections at once."""

    async def upload_one(number):
        while True:
            with contextlib.suppress(Exception):
                seen[(await vm.call(port, path, method="POST", body=body)).status] += 1
            await asyncio.sleep(0.01)

    seen = collections.Counter()
    try:
        await asyncio.gather(*(upload_one(number) for number in range(count)))
    finally:
        print("\nCounter", seen)


@pytest.mark.parametrize("form", forms(UPLOADS, "relay_of_headers", "explanation"))
def test_uploads_to_the_addresses_of_other_peers(tmp_path, form):
    """Guards against requests of siblings and operators that cost many times their bytes."""
    play(tmp_path, lambda vm: upload(vm, *UPLOADS[form](vm), count=10))


_SEND_DATAGRAMS = """
import socket, sys
with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
    data = open(sys.argv[3], "rb").read()
    while True:
        sock.sendto(data, (sys.argv[1], int(sys.argv[2])))
"""
_POSITIONS = b"{" + b",".join(b'"%d":[1,1]' % n for n in range(4_000)) + b"}"
DATAGRAMS = {
    "lists": b"[" + b"[]," * 20_000 + b"[]]",
    "positions of an unknown VM": b'["vm-9",1,false,' + _POSITIONS + b"]",
    "positions of a VM": b'["vm-2",1,false,' + _POSITIONS + b"]",
    "report": b'{"kind":"limits","a":[' + b"[]," * 20_000 + b"[]]}",
}


async def send_datagrams(vm, data, tmp_path):
    path = tmp_path / "datagram"
    path.write_bytes(data)
    await put_all(vm, [(("carawaybank", "vm/vm-2"), registration(2))])
    arguments = [process_ip(), str(vm.ports["8103"]), str(path)]
    senders = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", _SEND_DATAGRAMS, *arguments)
        for _ in range(2)
    ]
    try:
        await asyncio.sleep(60)
    finally:
        for sender in senders:
            sender.kill()
            await sender.wait()


@pytest.mark.parametrize("form", forms(DATAGRAMS, "positions of a VM"))
def test_datagrams_as_fast_as_possible(tmp_path, form):
    """Guards against datagrams that hold up the event loop or use up the memory."""
    play(tmp_path, lambda vm: send_datagrams(vm, DATAGRAMS[form], tmp_path))


def table_of_rows(size):
    """Returns rows in the form in which siblings send them, of a number of bytes each."""
    rows = [Row(f"k{n}", b"\0" * size, 1, removed=False) for n in range(25_000_000 // (size + 40))]
    return encode(Rows(rows, 1, era=1))


async def play_seed(vm, tmp_path, response):
    """Starts a VM without a store, whose seeds respond without end or with large tables."""
    vm.store.set_error_status(503)
    seeds = []
    for _ in range(4):
        seeds.append(FloodServer(respond=response))
    addresses = ", ".join([f'"{await seed.start()}"' for seed in seeds])
    vm.text = vm.text.replace(f'"{process_ip()}:9"', addresses)
    vm.path = tmp_path / "node.toml"
    vm.path.write_text(vm.text)
    vm.process = await run_process(
        vm.path, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    output = asyncio.create_task(vm.output())
    await asyncio.sleep(5.0)
    assert vm.process.returncode is None
    vm.store.set_error_status(0)
    started = time.monotonic()
    for seed in seeds:
        seed.close()
    async with asyncio.timeout(10):
        while not await vm.is_ready():
            await asyncio.sleep(0.05)
    ready_s = time.monotonic() - started
    peak = peak_mb(vm.process.pid)
    vm.process.terminate()
    assert await asyncio.wait_for(vm.process.wait(), 10) == 0
    print(await output)
    return peak, ready_s, sum(seed.begun for seed in seeds)


SEEDS = ("chunks of 2", "headers", "no length", "rows 1", "rows 1000000")


def octets(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.mark.parametrize("form", forms(SEEDS, "rows 1000000"))
def test_seeds_that_respond_without_end(tmp_path, form):
    """Guards against siblings whose tables use up the memory of a VM that starts."""

    def respond(head):
        if form in RESPONSES:
            return RESPONSES[form]
        return octets(b"{}") if "/departures" in head else octets(tables)

    tables = b"" if form in RESPONSES else table_of_rows(int(form.split()[1]))

    async def run():
        async with PeersVm() as vm:
            return await play_seed(vm, tmp_path, respond)

    peak, ready_s, begun = asyncio.run(run())
    print(f"\npeak {peak:.0f} MB, ready after {ready_s:.2f} s, {begun} responses without end")
    assert peak < MAX_PEAK_MB


@pytest.mark.parametrize("form", forms(["chunks of 2", "no length", "length"], "no length"))
def test_responses_without_end_that_meet_a_stop(tmp_path, form):
    """Guards against a stop that lasts as long as a response, or ends the requests of others."""

    async def run():
        async with PeersVm() as vm:
            await vm.start(tmp_path)
            output = asyncio.create_task(vm.output())
            path = f"/x/{form.replace(' ', '-')}"
            flooding = [asyncio.create_task(vm.call("8100", path)) for _ in range(20)]
            await asyncio.sleep(0.5)
            await vm.store.put("op", "config", {**vm.configuration, "version": "00000004"})
            vm.process.send_signal(signal.SIGHUP)
            slow = [vm.call("8100", f"/y/slow{n}", request_id=f"slow{n}") for n in range(5)]
            answering = [asyncio.create_task(each) for each in slow]
            await asyncio.sleep(0.5)
            started = time.monotonic()
            vm.process.send_signal(signal.SIGTERM)
            replies = await asyncio.gather(*answering, return_exceptions=True)
            status = await asyncio.wait_for(vm.process.wait(), 10)
            stop_s = time.monotonic() - started
            await asyncio.gather(*flooding, return_exceptions=True)
            print(f"\npeak stop: {status} after {stop_s:.2f} s,", replies, (await output)[-500:])
            assert status == 0
            assert stop_s < STOP_S
            assert [reply.status for reply in replies] == [200] * 5

    asyncio.run(run())


async def send_requests_without_end(vm, port, form, *, count, bytes_per_s=float("inf")):
    """Sends requests without end to an address of the VM, again after each close."""
    message = requests("/x/sound")[form]

    async def send_one():
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(process_ip(), vm.ports[port])
                await send_without_end(writer, message, bytes_per_s=bytes_per_s)
            await asyncio.sleep(0.01)

    await asyncio.gather(*(send_one() for _ in range(count)))


@pytest.mark.parametrize("form", forms(["chunks of 2", "headers", "pipelined"], "headers"))
@pytest.mark.parametrize("port", forms(["8101", "8102", "8105", "8106"], "8105"))
def test_requests_without_end_to_other_addresses(tmp_path, port, form):
    """Guards against look-ups, checks and scrapes that use up the memory."""
    play(tmp_path, lambda vm: send_requests_without_end(vm, port, form, count=100))
