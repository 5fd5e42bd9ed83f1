"""The messages in which requests are passed on to siblings."""

import asyncio

import msgspec
import pytest

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import HttpCall
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.messages import RelayResult, RelayTerms
from carawaybank.siblings.relays import (
    MAX_RELAYED_CONGESTED,
    RELAY_PATH,
    RelayMessage,
    RelayReply,
    RelayServer,
    encode_message,
)
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.verdicts import Answered
from tests.routing.builders import make_request

#: The message in builds before tenants; msgspec decodes named tuples and these alike.
OLDER_REQUEST = tuple[int, str, str, str, str, str, float | None]
OLDER_TERMS = tuple[str, tuple[str, ...], int]
OLDER_MESSAGE = tuple[str, OLDER_REQUEST, HttpCall, OLDER_TERMS]


def make_message(tenant=""):
    call = HttpCall("GET", "/look/1", [("Host", "a.example")])
    return RelayMessage("vm-1", make_request(1), call, RelayTerms("ledger", ("t1",), 7, tenant))


@pytest.mark.parametrize("tenant", ["", "acme"])
def test_a_relay_is_decoded_as_it_was(tenant):
    message = make_message(tenant)
    assert msgspec.msgpack.decode(encode_message(message), type=RelayMessage) == message


def test_an_older_build_serves_requests_without_a_tenant_and_rejects_those_with_one():
    """Guards against siblings that send a request without its tenant's header and regions."""
    older = msgspec.msgpack.decode(encode_message(make_message()), type=OLDER_MESSAGE)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(encode_message(make_message("acme")), type=OLDER_MESSAGE)
    data = msgspec.msgpack.encode(older)
    assert msgspec.msgpack.decode(data, type=RelayMessage) == make_message()


class Requests:
    """Answers relays once the gate is open, or raises an error."""

    def __init__(self, error=None):
        self.gate = asyncio.Event()
        self.error = error

    async def handle_relayed(self, request, call, terms, *, vm):
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        return RelayResult(Answered(200), "t1")


def make_record(name):
    return VmRecord(name, "10.0.0.1:1", "10.0.0.1:2", "a1", "a", 1)


def make_server(requests, *, is_accepting=True, is_congested=True):
    vms = VmDirectory(own=make_record("vm-2"))
    vms.update(make_record("vm-1"), now=0.0)
    return RelayServer(
        requests=requests,
        vms=vms,
        is_accepting=lambda: is_accepting,
        is_congested=lambda: is_congested,
        counters=Counters(),
        journal=Journal(vm="vm-2", write=lambda line: None),
    )


def test_a_congested_vm_takes_in_a_few_requests_at_a_time():
    """Guards against callers of a cut-off VM that nobody serves because its siblings are busy.

    Processes that wait for a core because of other load on the machine refused every relay.
    """

    async def scenario():
        requests = Requests()
        server = make_server(requests)
        body = encode_message(make_message())
        request = CallerRequest("POST", RELAY_PATH, [("relay-id", "1")], body, peer="10.0.0.1")
        calls = [
            asyncio.create_task(server.handle(request)) for _ in range(MAX_RELAYED_CONGESTED + 2)
        ]
        await asyncio.sleep(0)
        assert (server.in_progress, server.room) == (MAX_RELAYED_CONGESTED, 0)
        requests.gate.set()
        replies = [msgspec.msgpack.decode((await c).body, type=RelayReply) for c in calls]
        assert [reply.status for reply in replies] == [200] * MAX_RELAYED_CONGESTED + [0, 0]
        assert [reply.reason for reply in replies[-2:]] == ["no-capacity"] * 2
        assert server.room == MAX_RELAYED_CONGESTED

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "message",
    [
        make_message()._replace(call=HttpCall("GET", "/look/1", 20_001 * [("", "")])),
        make_message()._replace(terms=RelayTerms("ledger", 20_001 * ("",), 7)),
    ],
    ids=["headers", "targets"],
)
def test_a_relay_of_very_many_elements_is_rejected(message):
    """Guards against a relay that uses 20 times its bytes of memory when it is decoded."""

    async def scenario():
        requests = Requests()
        requests.gate.set()
        headers, body = [("relay-id", "1")], encode_message(message)
        request = CallerRequest("POST", RELAY_PATH, headers, body, peer="10.0.0.1")
        assert (await make_server(requests).handle(request)).status == 400

    asyncio.run(scenario())


def test_a_result_of_very_many_headers_is_rejected():
    """Guards against a sibling's result that uses 20 times its bytes of memory."""
    reply = RelayReply(200, 20_001 * [("", "")], b"", True, "", 0.0, "", "t1")
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=RelayReply)


def test_a_stopping_vm_takes_in_no_requests():
    """Guards against requests that end with the VM that took them in."""
    assert make_server(Requests(), is_accepting=False).room == 0
    assert make_server(Requests(), is_accepting=False, is_congested=False).room == 0


def test_an_unexpected_error_in_a_relay_promises_nothing():
    """Guards against a sibling that takes it for a refusal, and sends a request that has run."""

    async def scenario():
        reported = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, report: reported.append(report["exception"]))
        requests = Requests(KeyError("k"))
        requests.gate.set()
        server = make_server(requests)
        body = encode_message(make_message())
        headers = [("relay-id", "1")]
        reply = await server.handle(
            CallerRequest("POST", RELAY_PATH, headers, body, peer="10.0.0.1")
        )
        result = msgspec.msgpack.decode(reply.body, type=RelayReply)
        assert (reply.status, dict(reply.headers)["Relay-Id"]) == (200, "1")
        assert (result.status, result.may_have_run) == (0, True)
        assert result.reason == "connection-lost"
        assert server.in_progress == 0
        assert reported == [requests.error]

    asyncio.run(scenario())
