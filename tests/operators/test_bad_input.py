"""Bad input at all addresses of a daemon: a clear error, the right status, and it keeps serving."""

import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from carawaybank import headers
from standins.cluster import running_cluster

pytestmark = pytest.mark.processes

VALID_TICKET = {
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
            lambda: running.call("GET", control, "/v1/status")[0] == 200, name="regina-vm1"
        )
        target = {
            "service": "dispatch",
            "failure_domain": "regina",
            "address": address,
            "slots": 4,
        }
        running.submit_ticket("regina-vm1", {**VALID_TICKET, "targets": {"t1": target}})
        running.wait_ready("regina-vm1")
        running.wait_for(lambda: is_serving(running), name="regina-vm1")
        yield running


def send_raw(address: str, data: bytes, *, close_early: bool = False) -> bytes:
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


def is_serving(cluster) -> bool:
    repeatable = {headers.REPEATABLE: "true"}
    address = cluster.vms["regina-vm1"].callers_address
    return cluster.call("POST", address, "/v1/forward/dispatch/run", b"x", repeatable)[0] == 200


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
def test_a_wrong_request_is_rejected_with_its_fault(
    cluster, method, path, body, marks, status, detail
):
    address = cluster.vms["regina-vm1"].callers_address
    response_status, document, _ = cluster.call(method, address, path, body, marks)
    assert response_status == status
    assert document["verdict"] == "not-run"
    assert detail in document["detail"]
    assert is_serving(cluster)


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
def test_malformed_bytes_get_an_error_or_a_closed_connection(cluster, data, status):
    response = send_raw(cluster.vms["regina-vm1"].callers_address, data)
    assert status in response.split(b"\r\n")[0] or response == b""
    assert is_serving(cluster)


def test_half_closed_and_slow_senders_do_not_stop_the_daemon(cluster):
    """Guards against incomplete requests that keep other callers from being served."""
    address = cluster.vms["regina-vm1"].callers_address
    head = b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf"
    host, _, port = address.rpartition(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(8)]
    for connection in slow:
        connection.sendall(head)
    send_raw(address, head, close_early=True)
    assert is_serving(cluster)
    for connection in slow:
        connection.close()
    assert is_serving(cluster)


def test_a_request_with_an_incomplete_body_does_not_run(cluster):
    """Guards against forwarding a request whose caller disconnected before the body was complete.

    The one run that is counted is that of the check that the daemon still serves.
    """
    address = cluster.vms["regina-vm1"].callers_address
    before = cluster.call("GET", cluster.targets["t1"], "/runs")[1]["total"]
    head = b"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf"
    send_raw(address, head, close_early=True)
    assert is_serving(cluster)
    assert cluster.call("GET", cluster.targets["t1"], "/runs")[1]["total"] == before + 1


TICKET_FAULTS = [
    (b"{", "not JSON"),
    (msgspec.json.encode({**VALID_TICKET, "number": 2, "targetz": {}}), "unknown key targetz"),
    (msgspec.json.encode({**VALID_TICKET, "number": "2"}), "Expected `int`"),
    (msgspec.json.encode({"number": 2}), "missing required field"),
    (
        msgspec.json.encode({**VALID_TICKET, "number": 2, "regions": {"sask": {"utilization": 1}}}),
        "unknown key regions.sask.utilization",
    ),
]


@pytest.mark.parametrize(("body", "detail"), TICKET_FAULTS)
def test_a_malformed_ticket_is_rejected_with_its_fault(cluster, body, detail):
    control = cluster.vms["regina-vm1"].control_address
    status, document, _ = cluster.call("POST", control, "/v1/tickets", body)
    assert status == 422
    assert detail in document["detail"]
    assert cluster.call("GET", control, "/v1/status")[1]["ticket"] == 1


def run_tool(*arguments: str) -> subprocess.CompletedProcess:
    executable = Path(sys.executable).parent / "carawaybank"
    return subprocess.run([executable, *arguments], capture_output=True, text=True, check=False)


def test_the_exit_code_of_the_tool_shows_the_outcome(cluster, tmp_path):
    via = ("--via", cluster.vms["regina-vm1"].control_address)
    gap_file = tmp_path / "gap.toml"
    gap_file.write_text('number = 7\nauthor = "mori"\nreason = "gap"\n')
    typo_file = tmp_path / "typo.toml"
    typo_file.write_text('number = 2\nauthor = "mori"\nreason = "x"\nregion = {}\n')
    assert run_tool("ticket", "submit", str(gap_file), *via).returncode == 3
    assert "use 2" in run_tool("ticket", "submit", str(gap_file), *via).stderr
    typo_result = run_tool("ticket", "submit", str(typo_file), *via)
    assert (typo_result.returncode, "unknown key region" in typo_result.stderr) == (2, True)
    assert run_tool("status", "--via", "127.0.0.1:1").returncode == 1
    assert run_tool("ticket", "show", "1", *via).returncode == 0
    assert run_tool("ticket", "show", "99", *via).returncode == 2


def test_the_tool_shows_the_state_in_force(cluster):
    via = ("--via", cluster.vms["regina-vm1"].control_address)
    assert "regina: at least 1" in run_tool("status", *via).stdout
    assert "mori: first" in run_tool("ticket", "show", *via).stdout
    assert msgspec.json.decode(run_tool("dump", *via).stdout)["ticket"] == 1
    assert "no request of unknown outcome" in run_tool("incidents", *via).stdout
    callers = cluster.vms["regina-vm1"].callers_address
    assert "regina-vm1" in run_tool("entries", "--via", callers).stdout


def test_metrics_are_served(cluster):
    control = cluster.vms["regina-vm1"].control_address
    text = cluster.http.request("GET", f"http://{control}/metrics").data.decode()
    assert "carawaybank_requests_total" in text
