"""Planned stops of a daemon whose callers send when it is about to close their connections."""

import select
import socket
import time
from itertools import count

import pytest

from carawaybank import headers
from standins.cluster import running_cluster
from tests.test_processes import SHORT_LOOK_UP_TTL, fetch_id_prefix, make_first_ticket, send

pytestmark = pytest.mark.processes

#: Seconds after SIGTERM between which the daemon gets no processor; its listeners are due to close
#: after 1.3 s.
PAUSE = (1.0, 1.8)
CONNECTIONS = 12
WORK_MS = 1000
RESPONSE_S = 10.0
#: Seconds after SIGTERM at which the daemon removes its row from the table, which takes twice the
#: delay of the platform.
DEREGISTRATION_S = 1.5
PLATFORM_DELAY_S = 0.4


@pytest.fixture
def cluster():
    """Yields two entry VMs and one target, after a request was served."""
    with running_cluster() as running:
        running.start_platform()
        running.start_target("regina-1", slots=2 * CONNECTIONS)
        running.wait_healthy("regina-1")
        for name in ("regina-vm1", "regina-vm2"):
            vm = running.start_vm(name, "sask", "regina", requests=SHORT_LOOK_UP_TTL)
            address = vm.control_address
            running.wait_for(lambda a=address: running.call("GET", a, "/v1/status")[0] == 200)
        result = running.submit_ticket("regina-vm1", make_first_ticket(running))
        assert result["verdict"] == "accepted"
        for name in running.vms:
            running.wait_ready(name)
        warm_ups = (f"{fetch_id_prefix(running, 'regina-vm1')}.early-{n}" for n in count())
        running.wait_for(lambda: send(running, "regina-vm1", next(warm_ups))[0] == 200)
        yield running


def open_connections(cluster):
    host, _, port = cluster.vms["regina-vm1"].callers_address.rpartition(":")
    return [
        socket.create_connection((host, int(port)), timeout=RESPONSE_S) for _ in range(CONNECTIONS)
    ]


def send_requests(connections, id_prefix):
    for number, connection in enumerate(connections):
        connection.sendall(
            (
                f"POST /v1/forward/dispatch/run HTTP/1.1\r\nHost: dispatch\r\n"
                f"{headers.REQUEST_ID}: {id_prefix}.late-{number}\r\n"
                f"{headers.CUSTOMER}: prairie\r\n{headers.DEADLINE_MS}: 3000\r\n"
                f"{headers.FIRST_SEND}: true\r\nX-Work-Ms: {WORK_MS}\r\n"
                "Content-Length: 3\r\n\r\njob"
            ).encode()
        )


def read_status(connection):
    """Returns the status of the response on a connection, or None without a response."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            received = connection.recv(65_536)
            if not received:
                return None
            data += received
    except OSError:
        return None
    return int(data.split()[1])


def is_closed(connection):
    """Returns whether the daemon has closed a connection on which nothing was sent."""
    readable, _, _ = select.select([connection], [], [], 0)
    return bool(readable)


def run_late_stop(cluster, id_prefix, connections=None):
    """Stops the daemon, which is paused meanwhile, and returns the statuses of the requests.

    Args:
        cluster: The cluster.
        id_prefix: Prefix of the request ids.
        connections: Connections to send on, opened during the pause by default.
    """
    process = cluster.processes["regina-vm1"]
    process.terminate()
    time.sleep(PAUSE[0])
    cluster.pause("regina-vm1")
    connections = connections or open_connections(cluster)
    send_requests(connections, id_prefix)
    time.sleep(PAUSE[1] - PAUSE[0])
    cluster.resume("regina-vm1")
    statuses = [read_status(connection) for connection in connections]
    for connection in connections:
        connection.close()
    assert process.wait(RESPONSE_S) == 0
    return statuses


def test_connections_that_the_kernel_accepted_are_answered(cluster):
    """Guards against a reset of connections that wait to be accepted when the listener closes."""
    id_prefix = fetch_id_prefix(cluster, "regina-vm1")
    assert None not in run_late_stop(cluster, id_prefix)


def test_requests_on_idle_connections_that_were_not_read_yet_are_answered(cluster):
    """Guards against a reset of idle connections whose next request was not read yet."""
    id_prefix = fetch_id_prefix(cluster, "regina-vm1")
    assert None not in run_late_stop(cluster, id_prefix, open_connections(cluster))


def test_requests_that_are_read_during_the_deregistration_are_answered(cluster):
    """Guards against requests that are run and cut after the last look at those in progress."""
    id_prefix = fetch_id_prefix(cluster, "regina-vm1")
    connections = open_connections(cluster)
    cluster.set_platform_fault("delay", PLATFORM_DELAY_S)
    process = cluster.processes["regina-vm1"]
    process.terminate()
    time.sleep(DEREGISTRATION_S)
    connections = [connection for connection in connections if not is_closed(connection)]
    send_requests(connections, id_prefix)
    statuses = [read_status(connection) for connection in connections]
    assert None not in statuses
    assert process.wait(RESPONSE_S) == 0
