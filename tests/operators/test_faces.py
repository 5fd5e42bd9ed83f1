"""Bad input to every face: a clear error, the right status, and the daemon goes on."""

import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from carawaybank import headers
from standins.cluster import running_cluster

pytestmark = pytest.mark.processes

GOOD = {
    "number": 1,
    "author": "mori",
    "reason": "first",
    "regions": {"sask": {"utilisation": 1.0}},
    "failure_domains": {"regina": {"region": "sask"}},
    "services": {"dispatch": {}},
}


@pytest.fixture(scope="module")
def cluster():
    with running_cluster() as running:
        running.start_platform()
        address = running.start_target("t1")
        running.wait_healthy("t1")
        running.start_vm("regina-vm1", "sask", "regina")
        control = running.vms["regina-vm1"].control_address
        running.wait_for(
            lambda: running.call("GET", control, "/v1/status")[0] == 200, what="regina-vm1"
        )
        target = {
            "service": "dispatch",
            "failure_domain": "regina",
            "address": address,
            "slots": 4,
        }
        running.submit("regina-vm1", {**GOOD, "targets": {"t1": target}})
        running.wait_ready("regina-vm1")
        running.wait_for(lambda: serves(running), what="regina-vm1")
        yield running


def raw(address: str, data: bytes, *, close_early: bool = False) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(data)
        if close_early:
            return b""
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
            if b"\r\n\r\n" in received:
                return received
        return received


def serves(cluster) -> bool:
    marks = {headers.REPEATABLE: "true"}
    address = cluster.vms["regina-vm1"].callers_address
    return cluster.call("POST", address, "/v1/forward/dispatch/run", b"x", marks)[0] == 200


CALLER_FAULTS = [
    ("GET", "/nowhere", b"", {}, 404, "no /nowhere"),
    ("POST", "/v1/entries", b"", {}, 405, "takes GET"),
    ("GET", "/v1/entries?failure_domain=mars", b"", {}, 404, "no failure domain 'mars'"),
    ("POST", "/v1/forward/mars/run", b"", {headers.REPEATABLE: "true"}, 404, "no service mars"),
    ("POST", "/v1/forward//run", b"", {}, 404, "names no service"),
    ("POST", "/v1/forward/dispatch/run", b"", {}, 400, "needs an id"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.REPEATABLE: "yes"}, 400, "true or false"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.DEADLINE_MS: "soon"}, 400, "milliseconds"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.DEADLINE_MS: "-5"}, 400, "milliseconds"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.REQUEST_ID: "a b"}, 400, "blanks"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.REQUEST_ID: "x" * 999}, 400, "too long"),
    ("POST", "/v1/forward/dispatch/run", b"", {headers.CUSTOMER: "a/b"}, 400, "letters"),
    ("GET", "/v1/requests/nothing", b"", {}, 400, "not bound"),
    ("GET", "/v1/requests/regina-vm1.1.0.x", b"", {}, 421, "ask regina-vm1"),
    (
        "POST",
        "/v1/forward/dispatch/run",
        b"",
        {headers.DEADLINE_MS: "0", headers.REPEATABLE: "true"},
        503,
        "deadline passed",
    ),
]


@pytest.mark.parametrize(("method", "path", "body", "marks", "status", "detail"), CALLER_FAULTS)
def test_a_wrong_request_is_told_what_is_wrong(cluster, method, path, body, marks, status, detail):
    address = cluster.vms["regina-vm1"].callers_address
    got, document, _ = cluster.call(method, address, path, body, marks)
    assert got == status
    assert document["verdict"] == "not-run"
    assert detail in document["detail"]
    assert serves(cluster)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET /v1/entries HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000 + b"\r\n\r\n", b"431"),
        (
            b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 99999999\r\n\r\n",
            b"413",
        ),
        (
            b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
            b"400",
        ),
        (
            b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
            b"400",
        ),
    ],
)
def test_malformed_bytes_are_answered_or_closed(cluster, data, status):
    answer = raw(cluster.vms["regina-vm1"].callers_address, data)
    assert status in answer.split(b"\r\n")[0] or answer == b""
    assert serves(cluster)


def test_half_closed_and_slow_senders_do_not_stop_the_daemon(cluster):
    address = cluster.vms["regina-vm1"].callers_address
    head = b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf"
    host, _, port = address.rpartition(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(8)]
    for connection in slow:
        connection.sendall(head)
    raw(address, head, close_early=True)
    assert serves(cluster)
    for connection in slow:
        connection.close()
    assert serves(cluster)


def test_a_body_cut_short_did_not_run(cluster):
    address = cluster.vms["regina-vm1"].callers_address
    before = cluster.call("GET", cluster.targets["t1"], "/runs")[1]["total"]
    head = b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf"
    raw(address, head, close_early=True)
    assert serves(cluster)
    assert cluster.call("GET", cluster.targets["t1"], "/runs")[1]["total"] == before + 1


TICKET_FAULTS = [
    (b"{", "not JSON"),
    (msgspec.json.encode({**GOOD, "number": 2, "targetz": {}}), "unknown key targetz"),
    (msgspec.json.encode({**GOOD, "number": "2"}), "Expected `int`"),
    (msgspec.json.encode({"number": 2}), "missing required field"),
    (
        msgspec.json.encode({**GOOD, "number": 2, "regions": {"sask": {"utilization": 1}}}),
        "unknown key regions.sask.utilization",
    ),
]


@pytest.mark.parametrize(("body", "detail"), TICKET_FAULTS)
def test_a_malformed_ticket_is_refused_with_its_fault(cluster, body, detail):
    control = cluster.vms["regina-vm1"].control_address
    status, document, _ = cluster.call("POST", control, "/v1/tickets", body)
    assert status == 422
    assert detail in document["detail"]
    assert cluster.call("GET", control, "/v1/status")[1]["ticket"] == 1


def tool(*arguments: str) -> subprocess.CompletedProcess:
    executable = Path(sys.executable).parent / "carawaybank"
    return subprocess.run([executable, *arguments], capture_output=True, text=True, check=False)


def test_the_tool_says_what_happened_by_its_exit_code(cluster, tmp_path):
    via = ("--via", cluster.vms["regina-vm1"].control_address)
    gap = tmp_path / "gap.toml"
    gap.write_text('number = 7\nauthor = "mori"\nreason = "gap"\n')
    typo = tmp_path / "typo.toml"
    typo.write_text('number = 2\nauthor = "mori"\nreason = "x"\nregion = {}\n')
    assert tool("ticket", "submit", str(gap), *via).returncode == 3
    assert "use 2" in tool("ticket", "submit", str(gap), *via).stderr
    wrong = tool("ticket", "submit", str(typo), *via)
    assert (wrong.returncode, "unknown key region" in wrong.stderr) == (2, True)
    assert tool("status", "--via", "127.0.0.1:1").returncode == 1
    assert tool("ticket", "show", "1", *via).returncode == 0
    assert tool("ticket", "show", "99", *via).returncode == 2


def test_the_tool_reads_back_what_is_in_force(cluster):
    via = ("--via", cluster.vms["regina-vm1"].control_address)
    assert "regina: at least 1" in tool("status", *via).stdout
    assert "mori: first" in tool("ticket", "show", *via).stdout
    assert msgspec.json.decode(tool("dump", *via).stdout)["ticket"] == 1
    assert "no request of unknown outcome" in tool("incidents", *via).stdout
    callers = cluster.vms["regina-vm1"].callers_address
    assert "regina-vm1" in tool("entries", "--via", callers).stdout


def test_metrics_are_scraped(cluster):
    control = cluster.vms["regina-vm1"].control_address
    text = cluster.http.request("GET", f"http://{control}/metrics").data.decode()
    assert "carawaybank_requests_total" in text
