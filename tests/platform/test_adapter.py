"""The platform adapter: decoding and encoding of rows, look-ups and headers."""

import json

import pytest

from carawaybank.adapters import Locality
from carawaybank.callers.requests import CallerRequest
from carawaybank.exceptions import DocumentError
from carawaybank.platform import decoding
from carawaybank.platform.adapter import PlatformAdapter
from carawaybank.platform.dialect import PlatformDialect, read_load
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Evacuation, Tenant
from carawaybank.routing.target import LoadReport
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.routing.tenants import digest_key
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
HEARTBEAT = {
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


def make_row(value, *, key="i-1", removed=False):
    return Row(key, value, 7, removed)


def make_resource(kind, spec, name="n"):
    return {"resKind": kind, "metadata": {"name": name}, "spec": spec}


def encode_configuration(*resources, version="0000000c"):
    return json.dumps({"version": version, "resources": resources}).encode()


def test_operator_rows_are_decoded():
    """Guards against unknown rows that raise an error, and damaged configurations that do not."""
    assert decoding.read_operator_row(make_row(b"", key="evacuate/regina")) == Evacuation("regina")
    assert decoding.read_operator_row(make_row(b"?", key="something new")) is None
    assert decoding.read_operator_row(make_row(b"", key="config", removed=True)) is None
    assert decoding.read_operator_row(make_row(encode_configuration(), key="config")).version == 12
    with pytest.raises(DocumentError):
        decoding.read_operator_row(make_row(b"?", key="config"))


def test_a_look_up_states_the_locality_of_the_caller():
    adapter = PlatformAdapter(store_address="127.0.0.1:1", regions=REGIONS)
    request = CallerRequest("GET", "/resolve?name=a&zone=regina&region=sask", [], b"")
    assert adapter.read_lookup(request) == Locality("regina", "sask", "a")
    assert adapter.read_lookup(request._replace(path="/resolve")) == Locality("", "")
    assert adapter.lookup_reply([], ttl_s=2.0).status == 503
    reply = adapter.lookup_reply(["10.0.0.1:80"], ttl_s=2.0)
    assert json.loads(reply.body) == {"addrs": ["10.0.0.1:80"], "ttlS": 2.0}


def test_a_configuration_is_decoded():
    """Guards against unknown resource kinds or fields that make a configuration unreadable."""
    decoded = decoding.read_configuration(
        encode_configuration(
            make_resource("routes", ROUTE),
            make_resource("services", {"healthPath": "/h", "coldPerS": 7.2, "coldS": 3.0}, "s"),
            make_resource("limits", {"maxHeaderBytes": 99, "idleTimeoutMs": 5000}),
            make_resource("something new", {}),
        )
    )
    route = decoded.routes[0]
    assert decoded.version == 12
    assert (route.timeout_s, route.objective_s, route.idempotent) == (0.8, 0.3, True)
    assert [weighted.weight for weighted in route.services] == [90, 10]
    assert route.allowed_regions == {"sask"}
    assert decoded.services["s"].cold_rate == 7.2
    assert (decoded.limits.header_bytes, decoded.limits.idle_timeout_s) == (99, 5.0)


def test_tenants_are_decoded_with_the_digests_of_their_keys():
    """Guards against optional fields that make a configuration unreadable, and keys in memory."""
    spec = {"apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 5, "burst": 2.5}
    value = encode_configuration(
        make_resource("routes", {**ROUTE, "public": True}),
        make_resource("tenants", {**spec, "homeRegions": ["sask"]}, "acme"),
        make_resource("tenants", {}, "nord"),
    )
    decoded = decoding.read_configuration(value)
    digests = frozenset({digest_key("k1"), digest_key("k2")})
    assert decoded.tenants == (
        Tenant("acme", digests, 0, 5.0, 2.5, frozenset({"sask"})),
        Tenant("nord"),
    )
    assert decoded.routes[0].is_public


@pytest.mark.parametrize(
    ("name", "spec"),
    [
        ("", {}),
        ("a\r\nX-Forged: 1", {}),
        ("acme", {"apiKeys": ["secret-key"], "ratePerS": -1}),
        ("acme", {"apiKeys": "secret-key"}),
        ("acme", {"apiKeys": [["secret-key"]]}),
        ("acme", {"apiKeys": ["secret-key"], "priority": "secret-key"}),
    ],
)
def test_a_configuration_with_an_unusable_tenant_is_rejected_without_its_keys(name, spec):
    """Guards against tenant names that break a head, and keys in the log of a rejected row."""
    with pytest.raises(DocumentError) as caught:
        decoding.read_configuration(encode_configuration(make_resource("tenants", spec, name)))
    assert "secret-key" not in str(caught.value)


def test_routes_of_an_unknown_kind_are_not_idempotent():
    """Guards against requests that run twice because a route has a kind that is not known here."""
    spec = {**ROUTE, "kind": "something new"}
    decoded = decoding.read_configuration(encode_configuration(make_resource("routes", spec)))
    assert not decoded.routes[0].idempotent


def test_a_download_is_idempotent():
    """Guards against downloads that fail with the first target instead of being retried."""
    spec = {**ROUTE, "kind": "download"}
    route = decoding.read_configuration(encode_configuration(make_resource("routes", spec)))
    assert (route.routes[0].idempotent, route.routes[0].is_download) == (True, True)
    assert not route.routes[0].is_bulky


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        encode_configuration(version="not hex"),
        encode_configuration(version="f" * 5000),
        encode_configuration(version="-0000001"),
        encode_configuration(version="0x0000ff"),
        encode_configuration(version="1_000"),
        encode_configuration(version=""),
        encode_configuration(make_resource("routes", {"host": "a.example"})),
        encode_configuration(make_resource("routes", {**ROUTE, "timeoutMs": "soon"})),
    ],
)
def test_an_unreadable_configuration_raises_a_document_error(value):
    with pytest.raises(DocumentError):
        decoding.read_configuration(value)


def test_a_target_row_is_decoded():
    entry = decoding.read_target(make_row(json.dumps(HEARTBEAT).encode()), regions=REGIONS)
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
def test_a_target_row_with_invalid_fields_raises_a_document_error(changes):
    """Guards against targets from rows that another program wrote in another format."""
    with pytest.raises(DocumentError):
        decoding.read_target(
            make_row(json.dumps({**HEARTBEAT, **changes}).encode()), regions=REGIONS
        )


@pytest.mark.parametrize("value", [b"", b"\x00", b"[]", b'{"service":"s"}'])
def test_an_unreadable_target_row_raises_a_document_error(value):
    with pytest.raises(DocumentError):
        decoding.read_target(make_row(value), regions=REGIONS)


def make_request(**headers):
    fields = [(name.replace("_", "-").lower(), value) for name, value in headers.items()]
    return CallerRequest("GET", "/x/1?q=2", [("host", "a.example"), *fields], b"")


def make_reply(status=200, **headers):
    fields = [(name.replace("_", "-").lower(), value) for name, value in headers.items()]
    return HttpReply(status, fields, b"body")


CALL = PlatformDialect().make_forwarded_call(make_request(X_Carawaybank_Request_Id="r1"))


def test_a_request_is_forwarded_without_hop_by_hop_and_replaced_headers():
    """Guards against a caller that forges the expected target or leaks hop-by-hop headers."""
    dialect = PlatformDialect()
    caller_request = make_request(
        Connection="keep-alive, X-Hop",
        X_Hop="1",
        X_Kept="2",
        X_Carawaybank_Request_Id="r1",
        X_Carawaybank_Deadline_Ms="900",
        X_Carawaybank_Expect_Instance="forged",
    )
    info = dialect.decode_request(caller_request, key=1)
    call = dialect.encode(
        dialect.make_forwarded_call(caller_request), target_id="i-1", remaining_s=0.25
    )
    names = {name.lower(): value for name, value in call.headers}
    assert info.budget_s == 0.9
    assert "x-hop" not in names
    assert "connection" not in names
    assert names["x-kept"] == "2"
    assert names["x-carawaybank-deadline-ms"] == "250"
    assert names["x-carawaybank-expect-instance"] == "i-1"
    assert [name.lower() for name, _ in call.headers].count("x-carawaybank-expect-instance") == 1


@pytest.mark.parametrize(
    ("values", "key"),
    [
        (["Bearer k1"], "k1"),
        (["bEARER   k1 "], "k1"),
        ([], None),
        (["Bearer k1", "Bearer k1"], None),
        (["Basic k1"], None),
        (["Bearer"], None),
        (["Bearer  "], None),
        (["k1"], None),
        (["Bearer k\xe9"], None),
        (["Bearer k1\xa0"], None),
        (["Bearer " + "k" * 10_000], None),
    ],
)
def test_the_credential_of_a_request_is_the_digest_of_its_key(values, key):
    """Guards against crashes and guesses on odd values of the header."""
    request = make_request()
    request.headers.extend(("authorization", value) for value in values)
    credential = PlatformDialect().decode_request(request, key=1).credential
    assert credential == ("" if key is None else digest_key(key))


@pytest.mark.parametrize("has_tenants", [True, False])
def test_targets_get_the_name_of_the_tenant_and_neither_a_key_nor_a_forged_name(has_tenants):
    """Guards against callers that name another tenant in a spelling that servers take as equal."""
    dialect = PlatformDialect()
    request = make_request(Authorization="Bearer k1", X_Carawaybank_Tenant="forged", X_Kept="1")
    request.headers.extend([("x_carawaybank_tenant", "f"), ("X-Carawaybank_TENANT", "f")])
    call = dialect.remove_identity(dialect.make_forwarded_call(request), has_tenants=has_tenants)
    encoded = dialect.encode(call, target_id="i-1", remaining_s=1.0, tenant="Bäcker")
    names = [name.lower().replace("_", "-") for name, _ in encoded.headers]
    assert names.count("authorization") == (0 if has_tenants else 1)
    assert names.count("x-carawaybank-tenant") == 1
    assert dict(encoded.headers)["X-Carawaybank-Tenant"].encode("latin-1").decode() == "Bäcker"
    assert "x-kept" in names
    unnamed = dialect.encode(call, target_id="i-1", remaining_s=1.0)
    assert "X-Carawaybank-Tenant" not in dict(unnamed.headers)


def test_a_success_needs_the_seal_and_the_id_of_the_request():
    """Guards against truncated responses and those of other requests that count as answered."""
    dialect = PlatformDialect()
    sealed = make_reply(X_Carawaybank_Request_Id="r1", X_Carawaybank_Server_Seal="s")
    assert isinstance(dialect.decode(CALL, sealed).verdict, Answered)
    unsealed = make_reply(X_Carawaybank_Request_Id="r1")
    assert isinstance(dialect.decode(CALL, unsealed).verdict, MayHaveRun)
    other_reply = make_reply(X_Carawaybank_Request_Id="r2", X_Carawaybank_Server_Seal="s")
    assert dialect.decode(CALL, other_reply).verdict.reason is Reason.ANSWER_OF_ANOTHER_REQUEST
    nameless = make_reply(X_Carawaybank_Server_Seal="s")
    assert isinstance(dialect.decode(CALL, nameless).verdict, MayHaveRun)
    encoded = make_reply(
        X_Carawaybank_Request_Id="r1", X_Carawaybank_Server_Seal="s", Content_Encoding="gzip"
    )
    assert isinstance(dialect.decode(CALL, encoded).verdict, MayHaveRun)


def test_only_the_target_can_report_that_a_request_did_not_run():
    """Guards against a plain status 503 that counts as not run: the request may have run."""
    dialect = PlatformDialect()
    assert isinstance(dialect.decode(CALL, make_reply(503)).verdict, Answered)
    shed = dialect.decode(CALL, make_reply(503, X_Carawaybank_Not_Run="1"))
    assert shed.verdict.reason is Reason.TARGET_SHED
    other = dialect.decode(CALL, make_reply(421, X_Carawaybank_Instance_Id="i-2"))
    assert isinstance(other.verdict, NotRun)
    assert other.address_reused


def test_the_leaving_header_is_read_from_any_response_of_the_target():
    """Guards against a drain that is missed in a refusal or a failed health check.

    A target that took over the address of another one must not mark that one as draining.
    """
    dialect = PlatformDialect()
    valid_headers = {"X_Carawaybank_Request_Id": "r1", "X_Carawaybank_Server_Seal": "s"}
    assert dialect.decode(CALL, make_reply(Server_Leaving="1", **valid_headers)).is_draining
    assert dialect.decode(
        CALL, make_reply(503, Server_Leaving="1", X_Carawaybank_Not_Run="1")
    ).is_draining
    assert not dialect.decode(CALL, make_reply(**valid_headers)).is_draining
    other = dialect.decode(
        CALL, make_reply(421, Server_Leaving="1", X_Carawaybank_Instance_Id="i-2")
    )
    assert not other.is_draining
    assert dialect.decode_health(make_reply(503, Server_Leaving="1")).is_draining


@pytest.mark.parametrize(
    ("status", "text", "pause_s"),
    [(503, "1.5", 1.5), (503, "soon", 0), (503, "-2", 0), (503, "nan", 0), (200, "2", 0)],
)
def test_only_a_503_with_a_valid_retry_after_requests_a_pause(status, text, pause_s):
    shed = make_reply(status, Retry_After=text, X_Carawaybank_Not_Run="1")
    assert PlatformDialect().decode(CALL, shed).pause_s == pause_s


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "1,2,3,4,5", "-1,0,4", "1,\u00b2,3", ",,,"])
def test_a_malformed_load_report_is_none(text):
    assert read_load(make_reply(X_Carawaybank_Server_Load=text)) is None
    assert read_load(make_reply(X_Carawaybank_Server_Load="3,1,8")) == LoadReport(3, 1, 8)


@pytest.mark.parametrize(
    ("field", "machine_slowness"),
    [("100", 1.0), (" 240 ", 2.4), ("87.5", 0.875), ("0", None), ("", None), ("-5", None)],
)
def test_the_fourth_field_of_a_load_report_is_optional(field, machine_slowness):
    """Guards against reports of four fields that are dropped, so that targets seem idle."""
    reply = make_reply(X_Carawaybank_Server_Load=f"3,1,8,{field}")
    assert read_load(reply) == LoadReport(3, 1, 8, machine_slowness)


VALID_HEADERS = {"X_Carawaybank_Request_Id": "r1", "X_Carawaybank_Server_Seal": "s"}


@pytest.mark.parametrize(
    ("text", "rate"), [("1.6", 1.6), ("20", 20.0), (" 3.5 ", 3.5), (".5", 0.5), ("0", 0.0)]
)
def test_the_limit_of_a_target_is_read_from_its_responses(text, rate):
    dialect = PlatformDialect()
    answered = dialect.decode(CALL, make_reply(Server_Limit=text, **VALID_HEADERS))
    assert isinstance(answered.verdict, Answered)
    assert answered.limit == LimitStatement(rate)
    shed = make_reply(503, Server_Limit=text, X_Carawaybank_Not_Run="1")
    assert dialect.decode(CALL, shed).limit == LimitStatement(rate)
    assert dialect.decode_health(make_reply(Server_Limit=text)).limit == LimitStatement(rate)


@pytest.mark.parametrize(
    "text", ["", "soon", "-1", "nan", "inf", "1e3", "1_0", "1,6", "+1", "9" * 400, "٣", "0x10"]
)
def test_a_value_that_is_no_limit_is_a_fault_and_the_request_is_answered(text):
    """Guards against a malformed limit that fails the request, or ends the limit in force."""
    decoded = PlatformDialect().decode(CALL, make_reply(Server_Limit=text, **VALID_HEADERS))
    assert isinstance(decoded.verdict, Answered)
    assert decoded.limit.rate is None
    assert decoded.limit.fault


def test_two_limits_in_one_response_are_a_fault():
    reply = make_reply(Server_Limit="1.6", **VALID_HEADERS)
    reply.headers.append(("server-limit", "2.0"))
    assert PlatformDialect().decode(CALL, reply).limit.fault


def test_only_an_answer_of_the_target_ends_a_limit():
    """A refusal, a health check or another target's response does not show a recovery."""
    dialect = PlatformDialect()
    assert dialect.decode(CALL, make_reply(**VALID_HEADERS)).limit == LimitStatement()
    assert dialect.decode(CALL, make_reply(500, **VALID_HEADERS)).limit == LimitStatement()
    assert dialect.decode(CALL, make_reply(503, X_Carawaybank_Not_Run="1")).limit is None
    assert dialect.decode(CALL, make_reply(421, Server_Limit="1.6")).limit is None
    assert dialect.decode(CALL, make_reply(500, X_Carawaybank_Request_Id="r1")).limit is None
    late = make_reply(X_Carawaybank_Request_Id="r0", X_Carawaybank_Server_Seal="s")
    assert dialect.decode(CALL, late).limit is None
    assert dialect.decode_health(make_reply(200)).limit is None
