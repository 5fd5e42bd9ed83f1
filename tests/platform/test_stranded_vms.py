"""Entry VMs as processes, some of which lose the paths to all targets."""

import asyncio
import itertools
import json
import os
import signal
import sys
from typing import NamedTuple

import msgspec
import pytest

from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.routing.messages import RelayTerms, Request
from carawaybank.siblings.relays import RELAY_PATH, RelayMessage
from standins.cluster import allocate_address, process_ip
from standins.links import Cut, Link
from standins.rowstore import RowStore
from tests.platform import timing
from tests.platform.sites import choose_ports, make_settings, wait_until_ready
from tests.platform.test_process import CONFIGURATION, ROUTE, Target, make_heartbeat

pytestmark = pytest.mark.processes

#: The users' rule: from this time after a cut began, first tries at the VMs that are cut off are
#: served at least this share as often as those at the others.
STABLE_S = 4.0
MIN_RELATIVE_SERVICE = 2 / 3
VMS = ("regina-1", "regina-2", "regina-3")
TARGETS = 6
#: Requests per second that callers send to each VM.
CALLER_RATE = 15.0
#: Seconds of traffic before a cut, and of the cut.
BEFORE_S = 1.5
CUT_S = 8.0
DEADLINE_S = 3.0
#: Seconds within which a request that no VM can serve is refused.
MAX_REFUSAL_S = 1.0
#: Seconds after the end of a cut within which a VM serves by its own means again.
RESTORED_S = 2.0
#: Responses, and last lines of a log, that a failure shows.
MAX_SHOWN = 20
#: Connections that a VM may open to all targets to find that it reaches them again.
MAX_CHECKS = 2 * TARGETS


class Response(NamedTuple):
    """What a caller got for one request, and the seconds until the test process read it."""

    vm: str
    request_id: str
    sent_at: float
    status: int
    latency_s: float
    caller_delay_s: float
    retry_after: str | None
    text: str


class StrandedSite:
    """A store, targets, and entry VMs that each have own links to them."""

    async def __aenter__(self):
        self.processes, self.links, self.responses, self.traffic = {}, {}, [], []
        self.store, self.targets = RowStore(), [Target() for _ in range(TARGETS)]
        self.store_address = await self.store.start()
        spec = {**ROUTE, "sticky": False, "attempts": 3}
        reading = {**spec, "prefix": "/r/", "kind": "idempotent"}
        resources = [
            {"resKind": "routes", "metadata": {"name": "x"}, "spec": spec},
            {"resKind": "routes", "metadata": {"name": "r"}, "spec": reading},
            CONFIGURATION["resources"][1],
        ]
        await self.store.put("op", "config", {"version": "00000002", "resources": resources})
        self.target_addresses = [await target.start() for target in self.targets]
        for number, address in enumerate(self.target_addresses):
            await self.store.put("servers", f"t{number}", make_heartbeat(address))
        self.ports = choose_ports()
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for link in itertools.chain.from_iterable(self.links.values()):
            await link.stop()
        records = [response._asdict() for response in self.responses]
        (self.folder / "responses.json").write_text(json.dumps(records, indent=1))
        await self.store.stop()
        for target in self.targets:
            target.server.close()

    async def start_vm(self, name, tmp_path):
        self.folder = tmp_path
        if name not in self.links:
            self.links[name] = [
                Link(address=allocate_address(), target_address=address)
                for address in self.target_addresses
            ]
            for link in self.links[name]:
                await link.start()
        text = make_settings(
            name,
            ips={vm: self.ip(vm) for vm in VMS},
            ports=self.ports,
            store_address=self.store_address,
        )
        path = tmp_path / f"{name}.toml"
        path.write_text(text)
        addresses = [link.address for link in self.links[name]]
        environment = {
            **os.environ,
            "CARAWAYBANK_SETTINGS": str(path),
            "CARAWAYBANK_LINKS": json.dumps(
                dict(zip(self.target_addresses, addresses, strict=True))
            ),
        }
        with (tmp_path / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "standins.rerouted",
                env=environment,
                stdout=log,
                stderr=log,
            )
        await wait_until_ready(
            self.processes[name], lambda: self.is_ready(name), lambda: self.read_output(name)
        )

    def ip(self, name):
        return process_ip(VMS.index(name))

    async def is_ready(self, name):
        try:
            return (await self.call(name, "8101", "/readyz", "ready")).status == 200
        except ExchangeError:  # The process does not listen yet.
            return False

    async def call(self, name, port, path, request_id, *, headers=()):
        connection = await ClientConnection.open(
            f"{self.ip(name)}:{self.ports[port]}", timeout_s=1.0
        )
        headers = [*make_headers(request_id), *headers]
        try:
            return await connection.exchange(HttpCall("GET", path, headers), timeout_s=5.0)
        finally:
            connection.close()

    async def cut(self, names, how):
        for link in itertools.chain.from_iterable(self.links[name] for name in names):
            await link.cut(how)

    async def restore(self, names):
        for link in itertools.chain.from_iterable(self.links[name] for name in names):
            await link.restore()

    async def look_up(self, name):
        """Returns the names of the VMs that a look-up at one VM lists."""
        reply = await self.call(name, "8102", "/resolve?zone=regina&region=sask", "look-up")
        names = {f"{self.ip(vm)}:{self.ports['8100']}": vm for vm in VMS}
        return {names[address] for address in json.loads(reply.body)["addrs"]}

    async def wait_for_look_up(self, name, expected):
        while await self.look_up(name) != expected:
            await asyncio.sleep(0.1)

    async def wait_for_log(self, names, text, condition):
        """Waits until a condition holds and the log of one of some VMs contains a text."""
        async with asyncio.timeout(DEADLINE_S):
            while not condition() or not any(text in self.read_log(name) for name in names):
                await asyncio.sleep(0.05)

    async def read_output(self, name):
        return self.read_log(name)

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def runs_of(self, request_id):
        return [
            request
            for target in self.targets
            for request in target.runs
            if request.header("X-Carawaybank-Request-Id") == request_id
        ]

    async def send_requests(self, name, seconds):
        """Sends reading and booking requests in turn to one VM."""
        loop = asyncio.get_running_loop()
        started, calls = loop.time(), set()
        for number in itertools.count():
            at = started + number / CALLER_RATE
            if at > started + seconds:
                break
            await asyncio.sleep(max(0.0, at - loop.time()))
            path = "/r/1" if number % 2 else "/x/1"
            calls.add(asyncio.create_task(self.send_request(name, path, f"{name}/{number}/{at}")))
        await asyncio.gather(*calls)

    async def send_request(self, name, path, request_id, *, headers=()):
        loop = asyncio.get_running_loop()
        started = loop.time()
        address = f"{self.ip(name)}:{self.ports['8100']}"
        try:
            timed = await timing.get(
                address, path, [*make_headers(request_id), *headers], timeout_s=5.0
            )
        except ExchangeError as error:
            response = Response(
                name, request_id, started, 0, loop.time() - started, 0.0, None, str(error)
            )
        else:
            reply = timed.reply
            response = Response(
                name,
                request_id,
                started,
                reply.status,
                timed.latency_s,
                timed.caller_delay_s,
                reply.header("Retry-After"),
                reply.body[:200].decode(),
            )
        self.responses.append(response)

    def describe(self, responses, *names):
        """Returns responses with all log lines on them, and the end of the logs of some VMs."""
        lines = [line for vm in VMS for line in self.read_log(vm).splitlines()]
        shown = []
        for response in responses[:MAX_SHOWN]:
            shown += [str(response), *(line for line in lines if response.request_id in line)]
        for name in names:
            shown += [f"end of the log of {name}:", *self.read_log(name).splitlines()[-MAX_SHOWN:]]
        return "\n".join(shown)

    def served_share(self, names, since, until):
        """Returns the share of requests sent to some VMs in a period that were served."""
        counted = [r for r in self.responses if r.vm in names and since <= r.sent_at < until]
        assert counted
        return sum(response.status == 200 for response in counted) / len(counted)

    def bookings_run_twice(self):
        """Returns the ids of bookings that targets ran more than once."""
        ids = [
            request.header("X-Carawaybank-Request-Id")
            for target in self.targets
            for request in target.runs
            if request.path.startswith("/x/")
        ]
        return {request_id for request_id in ids if ids.count(request_id) > 1}


def make_headers(request_id):
    return [
        ("Host", "a.example"),
        ("X-Carawaybank-Request-Id", request_id),
        ("X-Carawaybank-Deadline-Ms", "3000"),
    ]


def run_site(tmp_path, scenario, site_class=StrandedSite):
    async def run():
        async with site_class() as site:
            await asyncio.gather(*(site.start_vm(name, tmp_path) for name in VMS))
            await scenario(site)

    asyncio.run(run())


async def check_service_during_a_cut(site, cut_off, how):
    """Cuts VMs off amid traffic, and checks that their callers are served as others are."""
    loop = asyncio.get_running_loop()
    traffic = [
        asyncio.create_task(site.send_requests(name, BEFORE_S + CUT_S + 2.0)) for name in VMS
    ]
    await asyncio.sleep(BEFORE_S)
    began = loop.time()
    await site.cut(cut_off, how)
    await asyncio.sleep(CUT_S)
    ended = loop.time()
    await site.restore(cut_off)
    await asyncio.gather(*traffic)
    served = site.served_share(cut_off, began + STABLE_S, ended)
    others = site.served_share(set(VMS) - set(cut_off), began + STABLE_S, ended)
    assert served >= MIN_RELATIVE_SERVICE * others
    assert not site.bookings_run_twice()


@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET])
@pytest.mark.parametrize("count", [1, 2])
def test_callers_of_vms_that_are_cut_off_from_all_targets_are_served(tmp_path, how, count):
    """Guards against VMs that refuse their callers while siblings reach the targets."""
    run_site(tmp_path, lambda site: check_service_during_a_cut(site, VMS[:count], how))


def test_callers_of_a_vm_that_can_open_no_connections_are_served(tmp_path):
    """Guards against a VM that serves only as long as its open connections last."""
    run_site(tmp_path, lambda site: check_service_during_a_cut(site, VMS[:1], Cut.REFUSE))


def test_requests_are_refused_at_once_when_all_vms_are_cut_off(tmp_path):
    """Guards against requests that wait for help that no VM can give, and against circles."""

    async def scenario(site):
        loop = asyncio.get_running_loop()
        await asyncio.gather(*(site.send_requests(name, 1.0) for name in VMS))
        await site.cut(VMS, Cut.HANG)
        await asyncio.gather(*(site.send_requests(name, 4.0) for name in VMS))
        site.responses.clear()
        began = loop.time()
        await asyncio.gather(*(site.send_requests(name, 2.0) for name in VMS))
        assert site.served_share(VMS, began, loop.time()) == 0
        assert {response.status for response in site.responses} == {503}
        slow = [r for r in site.responses if r.latency_s >= MAX_REFUSAL_S]
        assert not slow, site.describe(slow)
        assert all(0 < float(response.retry_after) <= 5 for response in site.responses)
        for name in VMS:
            assert await site.look_up(name) == set(VMS)
        await site.restore(VMS)
        await asyncio.sleep(RESTORED_S)
        site.responses.clear()
        began = loop.time()
        await asyncio.gather(*(site.send_requests(name, 1.0) for name in VMS))
        assert site.served_share(VMS, began, loop.time()) == 1
        assert not site.bookings_run_twice()

    run_site(tmp_path, scenario)


def test_look_ups_list_a_vm_that_is_cut_off_only_until_it_reaches_targets_again(tmp_path):
    """Guards against callers that are led to a VM because its process answers."""

    async def scenario(site):
        await site.send_requests(VMS[0], 1.0)
        await site.cut(VMS[:1], Cut.RESET)
        async with asyncio.timeout(STABLE_S):
            await asyncio.gather(
                *(site.send_requests(name, 2.0) for name in VMS),
                *(site.wait_for_look_up(name, set(VMS[1:])) for name in VMS),
            )
        opened_before = sum(link.opened for link in site.links[VMS[0]])
        await site.restore(VMS[:1])
        async with asyncio.timeout(2 * RESTORED_S):
            await asyncio.gather(*(site.wait_for_look_up(name, set(VMS)) for name in VMS))
        opened = sum(link.opened for link in site.links[VMS[0]]) - opened_before
        assert opened <= MAX_CHECKS

    run_site(tmp_path, scenario)


@pytest.mark.parametrize("sent", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM])
def test_a_sibling_that_helps_and_ends_midway_costs_no_second_run(tmp_path, sent):
    """Guards against bookings that run twice, or callers left waiting, when a helper ends."""

    async def scenario(site):
        loop = asyncio.get_running_loop()
        traffic = asyncio.create_task(site.send_requests(VMS[0], BEFORE_S + CUT_S))
        await asyncio.sleep(BEFORE_S)
        await site.cut(VMS[:1], Cut.HANG)
        await asyncio.sleep(CUT_S / 2)
        site.processes[VMS[1]].send_signal(sent)
        ended = loop.time()
        await traffic
        if sent == signal.SIGSTOP:
            site.processes[VMS[1]].send_signal(signal.SIGCONT)
        assert site.served_share(VMS[:1], ended + 2.0, loop.time()) >= MIN_RELATIVE_SERVICE
        assert site.responses
        slow = [r for r in site.responses if r.latency_s >= DEADLINE_S + 0.5]
        assert not slow, site.describe(slow, VMS[1])
        assert not site.bookings_run_twice()

    run_site(tmp_path, scenario)


def test_relays_of_others_than_registered_vms_are_rejected(tmp_path):
    """Guards against callers that pass themselves off as a sibling."""

    async def scenario(site):
        for vm in (VMS[0], "stranger"):
            request = Request(1, "forged", "a.example", "/x/1", "", "f", 3.0)
            call = HttpCall("GET", "/x/1", [("Host", "a.example")])
            message = RelayMessage(vm, request, call, RelayTerms("ledger", (), 0))
            for path, body, status in (
                (RELAY_PATH, msgspec.msgpack.encode(message), 403),
                (RELAY_PATH, b"malformed", 400),
                ("/x/1", b"", 404),
            ):
                address = f"{site.ip(VMS[1])}:{site.ports['8103']}"
                connection = await ClientConnection.open(address, timeout_s=1.0)
                reply = await connection.exchange(
                    HttpCall("POST", path, [("Host", "a")], body), timeout_s=2.0
                )
                connection.close()
                assert reply.status == status
        reply = await site.call(VMS[1], "8100", RELAY_PATH, "caller")
        assert reply.status == 404
        assert not any(target.runs for target in site.targets)

    run_site(tmp_path, scenario)


def test_a_caller_that_leaves_ends_the_attempt_of_the_sibling(tmp_path):
    """Guards against targets that work for callers who have left, behind a relay."""

    async def scenario(site):
        await site.send_requests(VMS[0], 1.0)
        await site.cut(VMS[:1], Cut.HANG)
        await site.send_requests(VMS[0], 3.0)
        for target in site.targets:
            target.gate.clear()
        call = asyncio.create_task(site.call(VMS[0], "8100", "/r/1", "leaving"))
        await site.wait_for_log(VMS[1:], "", lambda: site.runs_of("leaving"))
        call.cancel()
        await site.wait_for_log(VMS[1:], '"event":"caller left","id":"leaving"', lambda: True)
        for target in site.targets:
            target.gate.set()

    run_site(tmp_path, scenario)
