"""Requests from the caller to targets and siblings: what leaves the entry VM."""

import asyncio
import errno
import json

import msgspec
import pytest

from carawaybank.buffers import BufferBudget
from carawaybank.callers.listeners import connection_factory, listen
from carawaybank.callers.requests import CallerRequest
from carawaybank.charging import Charging
from carawaybank.client import HttpCall
from carawaybank.counters import Counters
from carawaybank.dump import make_dump
from carawaybank.handler import RequestHandler
from carawaybank.journal import Journal
from carawaybank.metrics import Metrics, scrape
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Tenant
from carawaybank.routing.helpers import Offer, ServicePaths
from carawaybank.routing.messages import RelayTerms
from carawaybank.routing.tenants import digest_key
from carawaybank.siblings.relays import RelayClient, RelayMessage
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.targets.sender import TargetSender
from tests.routing.builders import (
    HOST,
    make_configuration,
    make_request,
    make_router,
    make_target,
)

KEY = "key-that-must-not-leave"
WRONG_KEY = "key-that-is-unknown"


class Unlimited:
    """Allotments of tenants that have none."""

    def is_limited(self, tenant):
        return False


class Peer:
    """A target or sibling that records what it receives."""

    def __init__(self):
        self.received = []

    async def handle(self, request):
        self.received.append(request)
        return HttpReply(500, [("Relay-Id", request.header("Relay-Id") or "")], b"failed")

    async def start(self):
        server = await listen("127.0.0.1:0", connection_factory(self.handle))
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Vm:
    """The request path of an entry VM with one target and one sibling."""

    async def start(self):
        self.lines, self.counters = [], Counters()
        journal = Journal(vm="vm-1", write=self.lines.append)
        self.target, self.sibling = Peer(), Peer()
        self.sibling_address = await self.sibling.start()
        tenant = Tenant("acme", frozenset({digest_key(KEY)}))
        self.router = make_router(
            make_target(1, address=await self.target.start()),
            configuration=make_configuration()._replace(tenants=(tenant,)),
        )
        dialect = PlatformDialect()
        self.handler = RequestHandler(
            router=self.router,
            sender=TargetSender(dialect=dialect),
            relays=RelayClient(
                vm="vm-1",
                ip="127.0.0.1",
                helpers=self.router.helpers,
                journal=journal,
                budget=BufferBudget(max_bytes=1_000_000),
            ),
            charging=Charging(router=self.router, allotments=Unlimited()),
            dialect=dialect,
            journal=journal,
            counters=self.counters,
        )
        return self

    async def send(self, key, path="/look/1", *, deadline_ms=3000, unread_s=0.0):
        headers = [
            ("host", HOST),
            ("authorization", f"Bearer {key}"),
            ("x-carawaybank-request-id", "r1"),
            ("x-carawaybank-deadline-ms", str(deadline_ms)),
            ("x_carawaybank_tenant", "forged"),
        ]
        request = CallerRequest("GET", path, headers, b"", unread_s=unread_s)
        return await self.handler.handle(request)

    def lose_paths(self, now):
        self.router.targets.find("t1").eject(now=now)
        paths = {"ledger": ServicePaths({"a": 4}, 0.1)}
        self.router.helpers.update(
            Offer("vm-2", self.sibling_address, "a1", "a", 5, paths), now=now
        )

    def state(self):
        """Returns what operators can read: the dump and the metrics."""
        vms = VmDirectory(own=VmRecord("vm-1", "", "", "a1", "a", 1))
        dump = make_dump(router=self.router, vms=vms, watches=[], connections=1, now=1.0)
        metrics = Metrics(vm="vm-1", counters=self.counters)
        text = scrape()
        metrics.close()
        return msgspec.json.encode(dump) + text


def test_no_key_leaves_the_vm():
    """Guards against keys, or their digests, in calls, relays, logs, metrics, dumps and errors."""

    async def scenario():
        vm = await Vm().start()
        replies = [await vm.send(KEY), await vm.send(WRONG_KEY), await vm.send(KEY, "/none/")]
        headers = [("Host", HOST), ("Authorization", f"Bearer {KEY}")]
        call = HttpCall("GET", "/look/2", headers)
        terms = RelayTerms("ledger", (), 1, "acme")
        await vm.handler.handle_relayed(make_request(1), call, terms, vm="vm-3")
        assert [run.header("X-Carawaybank-Tenant") for run in vm.target.received] == ["acme"] * 2
        vm.lose_paths(asyncio.get_running_loop().time())
        while not vm.sibling.received:  # The slots that are not down are counted at times.
            replies.append(await vm.send(KEY))
            await asyncio.sleep(0.01)
        assert [reply.status for reply in replies[:3]] == [500, 401, 404]
        relay = msgspec.msgpack.decode(vm.sibling.received[0].body, type=RelayMessage)
        assert relay.terms.tenant == "acme"
        assert b'reason="unknown-key"' in vm.state()
        everything = [vm.target.received, vm.sibling.received, vm.lines, replies, vm.state()]
        for text in (KEY, WRONG_KEY, digest_key(KEY), digest_key(WRONG_KEY), "forged"):
            assert text not in repr(everything)

    asyncio.run(scenario())


def test_the_response_without_a_valid_key_is_json_and_is_logged():
    async def scenario():
        vm = await Vm().start()
        reply = await vm.send(WRONG_KEY)
        assert reply.header("content-type") == "application/json"
        assert dict(reply.headers)["WWW-Authenticate"] == "Bearer"
        assert json.loads(reply.body) == {"error": "the API key is not known"}
        await vm.send(KEY)
        denied, served = (json.loads(line) for line in vm.lines)
        assert (denied["status"], denied["reason"]) == (401, "unknown-key")
        assert "tenant" not in denied
        assert served["tenant"] == "acme"

    asyncio.run(scenario())


def test_the_time_in_which_a_request_was_not_read_counts():
    """Guards against targets that work for a caller whose time is over."""

    async def scenario():
        vm = await Vm().start()
        assert (await vm.send(KEY, deadline_ms=2400, unread_s=1.0)).status == 500
        (run,) = vm.target.received
        assert 500 < int(run.header("X-Carawaybank-Deadline-Ms")) <= 1000
        assert (await vm.send(KEY, deadline_ms=2400, unread_s=2.5)).status == 503
        assert len(vm.target.received) == 1

    asyncio.run(scenario())


def test_an_unexpected_error_leaves_no_request_in_progress():
    """Guards against a planned stop that waits for it, and a target that seems to be at work."""

    async def scenario():
        vm = await Vm().start()

        async def fail(*_, **__):
            raise KeyError("k")

        vm.handler._sender.send = fail
        with pytest.raises(KeyError):
            await vm.send(KEY)
        call = HttpCall("GET", "/look/2", [("Host", HOST)])
        with pytest.raises(KeyError):
            await vm.handler.handle_relayed(
                make_request(1), call, RelayTerms("ledger", (), 1, "acme"), vm="vm-3"
            )
        assert vm.router.is_idle
        assert vm.router.targets.find("t1").in_flight == 0

    asyncio.run(scenario())


def test_without_descriptors_for_targets_each_request_is_refused(monkeypatch):
    """Guards against callers that get no answer, or one that promises nothing."""

    async def scenario():
        vm = await Vm().start()

        async def fail(*_, **__):
            raise OSError(errno.EMFILE, "too many open files")

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail)
        async with asyncio.timeout(3):
            replies = await asyncio.gather(*(vm.send(KEY) for _ in range(4)))
        assert [reply.status for reply in replies] == [503] * 4
        assert vm.target.received == []
        assert vm.router.is_idle

    asyncio.run(scenario())


def test_without_memory_for_responses_each_request_is_answered(monkeypatch):
    """Guards against callers that get no answer because that of the target cannot be read."""

    async def scenario():
        vm = await Vm().start()

        def fail(*_):
            raise MemoryError

        monkeypatch.setattr("carawaybank.replies.ReplyReader.feed", fail)
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(3):
            replies = await asyncio.gather(*(vm.send(KEY) for _ in range(4)))
        assert [reply.status for reply in replies] == [502] * 4
        assert all(reply.body.startswith(b"connection-lost") for reply in replies)
        assert vm.router.is_idle

    asyncio.run(scenario())


def test_the_time_out_of_a_route_begins_at_the_arrival():
    """Guards against responses that come later than the time-out of their route."""

    async def scenario():
        vm = await Vm().start()
        await vm.send(KEY, deadline_ms=60_000)
        await vm.send(KEY, deadline_ms=60_000, unread_s=1.0)
        at_once, late = (int(run.header("X-Carawaybank-Deadline-Ms")) for run in vm.target.received)
        assert late <= at_once - 900

    asyncio.run(scenario())


class Breaking:
    """A target that breaks a connection some time after it has received a request."""

    def __init__(self, *, after_s):
        self.after_s, self.received = after_s, 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.received += 1
        await asyncio.sleep(self.after_s)
        writer.close()


async def leave(call, *, after_s):
    """Cancels a call after a time, as the connection of a caller that leaves does."""
    task = asyncio.create_task(call)
    await asyncio.sleep(after_s)
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()


@pytest.mark.parametrize("is_relayed", [False, True], ids=["own", "relayed"])
def test_a_booking_that_ends_after_its_caller_left_counts_at_its_target(is_relayed):
    """Guards against a crash, a limit or a load that counts for nobody (BUDGET)."""

    async def scenario():
        vm = await Vm().start()
        target = Breaking(after_s=0.2)
        vm.router.targets.update(make_target(1, address=await target.start(), sequence=2), now=0.0)
        if is_relayed:
            terms, book = RelayTerms("ledger", (), 1, "acme"), make_request(1, path="/book/1")
            sent = HttpCall("POST", "/book/1", [("Host", HOST)])
            call = vm.handler.handle_relayed(book, sent, terms, vm="vm-3")
        else:
            call = vm.send(KEY, path="/book/1")
        await leave(call, after_s=0.1)
        known = vm.router.targets.find("t1")
        assert (target.received, known.in_flight, vm.router.is_idle) == (1, 1, True)
        await asyncio.sleep(0.3)
        assert known.in_flight == 0
        assert [report.target for report in vm.router.suspects.pop_crashes()] == ["t1"]
        assert any(b'"attempt failed"' in line for line in vm.lines)

    asyncio.run(scenario())


def test_the_response_to_a_booking_whose_caller_left_counts_once():
    """Guards against results that are dropped, or recorded by the caller's task as well."""

    async def scenario():
        vm = await Vm().start()
        handle = vm.target.handle

        async def answer_late(request):
            await asyncio.sleep(0.2)
            return await handle(request)

        late = Peer()
        late.handle = answer_late
        known = vm.router.targets.find("t1")
        vm.router.targets.update(make_target(1, address=await late.start(), sequence=2), now=0.0)
        await vm.send(KEY, path="/book/1")
        once = known.failure_share
        await leave(vm.send(KEY, path="/book/1"), after_s=0.1)
        assert known.failure_share == once
        await asyncio.sleep(0.3)
        await vm.send(KEY, path="/book/1")
        assert known.failure_share == pytest.approx(1 - (1 - once) ** 3)
        assert known.in_flight == 0

    asyncio.run(scenario())
