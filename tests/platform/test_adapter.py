"""The adapter: wire documents and headers as the project's types, and back."""

import json

import pytest

from carawaybank.adapters import Place
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import DocumentError
from carawaybank.platform import decoding
from carawaybank.platform.adapter import PlatformAdapter
from carawaybank.platform.dialect import PlatformDialect, read_load
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Evacuation
from carawaybank.rows import Row
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

REGIONS = {"regina": "sask"}
ROUTE = {
    "host": "a.example",
    "prefix": "/x/",
    "kind": "idempotent",
    "timeoutMs": 800,
    "sloMs": 300,
    "priority": 2,
    "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "attempts": 2,
    "sticky": True,
    "homeRegions": ["sask"],
}
BEAT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "regina",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 1500,
    "seq": 4,
    "born": 17,
}


def row(value, *, key="i-1", removed=False):
    return Row(key, value, 7, removed)


def resource(kind, spec, name="n"):
    return {"resKind": kind, "metadata": {"name": name}, "spec": spec}


def configuration(*resources, version="0000000c"):
    return json.dumps({"version": version, "resources": resources}).encode()


def test_orders_of_the_operators():
    assert decoding.read_order(row(b"", key="evacuate/regina")) == Evacuation("regina")
    assert decoding.read_order(row(b"?", key="something new")) is None
    assert decoding.read_order(row(b"", key="config", removed=True)) is None
    assert decoding.read_order(row(configuration(), key="config")).version == 12
    with pytest.raises(DocumentError):
        decoding.read_order(row(b"?", key="config"))


def test_a_look_up_says_where_the_caller_is():
    adapter = PlatformAdapter(store_address="127.0.0.1:1", regions=REGIONS)
    request = CallerRequest("GET", "/resolve?name=a&zone=regina&region=sask", [], b"")
    assert adapter.read_lookup(request) == Place("regina", "sask")
    assert adapter.read_lookup(request._replace(path="/resolve")) == Place("", "")
    assert adapter.lookup_reply([], ttl_s=2.0).status == 503
    reply = adapter.lookup_reply(["10.0.0.1:80"], ttl_s=2.0)
    assert json.loads(reply.body) == {"addrs": ["10.0.0.1:80"], "ttlS": 2.0}


def test_a_configuration():
    found = decoding.read_configuration(
        configuration(
            resource("routes", ROUTE),
            resource("services", {"healthPath": "/h", "coldPerS": 7.2, "coldS": 3.0}, "s"),
            resource("limits", {"maxHeaderBytes": 99, "idleTimeoutMs": 5000}),
            resource("something new", {}),
        )
    )
    route = found.routes[0]
    assert found.version == 12
    assert (route.timeout_s, route.objective_s, route.idempotent) == (0.8, 0.3, True)
    assert [part.weight for part in route.parts] == [90, 10]
    assert route.home_regions == {"sask"}
    assert found.services["s"].cold_rate == 7.2
    assert (found.limits.header_bytes, found.limits.idle_timeout_s) == (99, 5.0)


def test_any_kind_but_idempotent_runs_once():
    spec = {**ROUTE, "kind": "something new"}
    found = decoding.read_configuration(configuration(resource("routes", spec)))
    assert not found.routes[0].idempotent


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        configuration(version="not hex"),
        configuration(resource("routes", {"host": "a.example"})),
        configuration(resource("routes", {**ROUTE, "timeoutMs": "soon"})),
    ],
)
def test_a_configuration_that_cannot_be_read_is_an_error(value):
    with pytest.raises(DocumentError):
        decoding.read_configuration(value)


def test_an_entry():
    entry = decoding.read_target(row(json.dumps(BEAT).encode()), regions=REGIONS)
    assert entry.region == "sask"
    assert entry.cold_left_s == 1.5
    assert (entry.incarnation, entry.sequence) == (17, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"zone": "nowhere"},
        {"slots": "four"},
        {"slots": 0},
        {"addr": "here"},
        {"addr": None},
        {"service": 5},
    ],
)
def test_an_entry_of_another_writer_names_no_target(changes):
    with pytest.raises(DocumentError):
        decoding.read_target(row(json.dumps({**BEAT, **changes}).encode()), regions=REGIONS)


@pytest.mark.parametrize("value", [b"", b"\x00", b"[]", b'{"service":"s"}'])
def test_bytes_that_cannot_be_read_name_no_target(value):
    with pytest.raises(DocumentError):
        decoding.read_target(row(value), regions=REGIONS)


def request(**headers):
    found = [(name.replace("_", "-").lower(), value) for name, value in headers.items()]
    return CallerRequest("GET", "/x/1?q=2", [("host", "a.example"), *found], b"")


def reply(status=200, **headers):
    found = [(name.replace("_", "-").lower(), value) for name, value in headers.items()]
    return HttpReply(status, found, b"body")


CALL = PlatformDialect().forward(request(X_Carawaybank_Request_Id="r1"))


def test_a_request_is_forwarded_with_what_concerns_the_target_only():
    dialect = PlatformDialect()
    asked = request(
        Connection="keep-alive, X-Hop",
        X_Hop="1",
        X_Kept="2",
        X_Carawaybank_Request_Id="r1",
        X_Carawaybank_Deadline_Ms="900",
        X_Carawaybank_Expect_Instance="forged",
    )
    info = dialect.read_request(asked, key=1)
    call = dialect.encode(dialect.forward(asked), target_id="i-1", left_s=0.25)
    names = {name.lower(): value for name, value in call.headers}
    assert info.budget_s == 0.9
    assert "x-hop" not in names
    assert "connection" not in names
    assert names["x-kept"] == "2"
    assert names["x-carawaybank-deadline-ms"] == "250"
    assert names["x-carawaybank-expect-instance"] == "i-1"
    assert [name.lower() for name, _ in call.headers].count("x-carawaybank-expect-instance") == 1


def test_a_success_needs_the_seal_and_the_own_id():
    dialect = PlatformDialect()
    sealed = reply(X_Carawaybank_Request_Id="r1", X_Carawaybank_Server_Seal="s")
    assert isinstance(dialect.decode(CALL, sealed).verdict, Answered)
    unsealed = reply(X_Carawaybank_Request_Id="r1")
    assert isinstance(dialect.decode(CALL, unsealed).verdict, MayHaveRun)
    crossed = reply(X_Carawaybank_Request_Id="r2", X_Carawaybank_Server_Seal="s")
    assert dialect.decode(CALL, crossed).verdict.reason is Reason.ANSWER_CROSSED
    nameless = reply(X_Carawaybank_Server_Seal="s")
    assert isinstance(dialect.decode(CALL, nameless).verdict, MayHaveRun)
    encoded = reply(
        X_Carawaybank_Request_Id="r1", X_Carawaybank_Server_Seal="s", Content_Encoding="gzip"
    )
    assert isinstance(dialect.decode(CALL, encoded).verdict, MayHaveRun)


def test_only_the_target_can_say_that_it_did_not_run():
    dialect = PlatformDialect()
    assert isinstance(dialect.decode(CALL, reply(503)).verdict, Answered)
    shed = dialect.decode(CALL, reply(503, X_Carawaybank_Not_Run="1"))
    assert shed.verdict.reason is Reason.TARGET_SHED
    other = dialect.decode(CALL, reply(421, X_Carawaybank_Instance_Id="i-2"))
    assert isinstance(other.verdict, NotRun)
    assert other.other_target


def test_a_target_that_leaves_says_so_in_any_answer():
    dialect = PlatformDialect()
    own = {"X_Carawaybank_Request_Id": "r1", "X_Carawaybank_Server_Seal": "s"}
    assert dialect.decode(CALL, reply(Server_Leaving="1", **own)).leaving
    assert dialect.decode(CALL, reply(503, Server_Leaving="1", X_Carawaybank_Not_Run="1")).leaving
    assert not dialect.decode(CALL, reply(**own)).leaving
    other = dialect.decode(CALL, reply(421, Server_Leaving="1", X_Carawaybank_Instance_Id="i-2"))
    assert not other.leaving
    assert dialect.read_health(reply(503, Server_Leaving="1")).is_leaving


@pytest.mark.parametrize(
    ("status", "text", "pause_s"),
    [(503, "1.5", 1.5), (503, "soon", 0), (503, "-2", 0), (503, "nan", 0), (200, "2", 0)],
)
def test_only_a_target_that_turned_a_request_away_asks_for_a_pause(status, text, pause_s):
    shed = reply(status, Retry_After=text, X_Carawaybank_Not_Run="1")
    assert PlatformDialect().decode(CALL, shed).pause_s == pause_s


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "1,2,3,4", "-1,0,4"])
def test_a_load_that_cannot_be_read_is_none(text):
    assert read_load(reply(X_Carawaybank_Server_Load=text)) is None
    assert read_load(reply(X_Carawaybank_Server_Load="3,1,8")).waiting == 1
