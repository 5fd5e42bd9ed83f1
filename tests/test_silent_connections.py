"""Open connections that go silent for good, while new ones work."""

import asyncio
import socket
import time

import msgspec
import pytest

from carawaybank.client import ClientConnection
from carawaybank.platform.store import StoreClient
from carawaybank.rows import INITIAL_POSITION, Rows, StoreError
from carawaybank.siblings import tables
from carawaybank.siblings.tables import SiblingTables

#: Seconds within which a change must be in force on the strictest deployment.
BOUND_S = 2.5
#: Seconds after the silence began at which a call on the connection may fail at the latest.
DETECTION_S = 2.5


class SilentPeer:
    """A peer that answers the first request of each connection, and nothing on it afterwards."""

    def __init__(self, answer):
        self.answer, self.connections = answer, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        length = len(self.answer)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode() + self.answer)
        await reader.read()
        writer.close()


CLIENTS = {
    "store": (msgspec.json.encode({"rows": [], "ver": 7}), lambda a: StoreClient(address=a)),
    "sibling": (tables.encode(Rows([], 7)), lambda a: SiblingTables(address=a)),
}


@pytest.mark.parametrize("name", CLIENTS)
def test_a_call_on_a_silent_connection_fails_soon_and_the_next_one_opens_another(name):
    """Guards against changes that are learned late because a connection is waited for.

    On one machine the kernel answers keep-alive probes, so that only the time-out of the call ends
    it; the next test shows that probes are sent.
    """
    answer, make_client = CLIENTS[name]

    async def run():
        peer = SilentPeer(answer)
        client = make_client(await peer.start())
        assert (await client.read("op")).version == 7
        started = time.monotonic()
        with pytest.raises(StoreError):
            await client.poll_changes("op", after=INITIAL_POSITION, wait_s=0.0)
        assert time.monotonic() - started < DETECTION_S
        assert (await client.read("op")).version == 7
        assert peer.connections == 2
        peer.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("name", CLIENTS)
def test_idle_connections_are_probed_and_end_within_the_bound(name, monkeypatch):
    """Guards against a held call on a silent connection that nothing ends."""
    answer, make_client = CLIENTS[name]
    opened = []
    original = ClientConnection.connection_made

    def record(connection, transport):
        original(connection, transport)
        opened.append(transport.get_extra_info("socket"))

    monkeypatch.setattr(ClientConnection, "connection_made", record)

    async def run():
        peer = SilentPeer(answer)
        client = make_client(await peer.start())
        await client.read("op")
        (sock,) = opened
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        timeout_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / 1000
        interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        assert idle_s + max(interval_s, timeout_s) <= BOUND_S
        peer.server.close()

    asyncio.run(run())
