"""Datagrams of siblings at a VM whose event loop is slow."""

import asyncio
import socket
import time

from carawaybank.siblings.heartbeat import HeartbeatTask
from carawaybank.siblings.vms import VmDirectory, VmRecord

ROUND_S = 0.05
DATAGRAMS = 60
#: Seconds of processor time for 200 large datagrams at once; to decode all takes 2 s.
WORK_S = 0.3


def test_datagrams_that_wait_are_read_in_one_round():
    """Guards against heartbeats that are as old as the queue of datagrams before them."""

    async def run():
        received = []
        task = HeartbeatTask(
            vms=None,
            positions=dict,
            on_change=lambda _: None,
            on_positions=lambda *_: None,
            on_report=received.append,
        )
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        transport, _ = await loop.create_datagram_endpoint(lambda: task, sock=sock)
        task.read_from(sock)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(DATAGRAMS):
                sender.sendto(b"{}", sock.getsockname())
        for _ in range(3):
            time.sleep(ROUND_S)  # Other work of this round.
            await asyncio.sleep(0)
        transport.close()
        assert len(received) == DATAGRAMS

    asyncio.run(run())


def test_large_datagrams_use_a_part_of_the_time_and_small_ones_are_handled():
    """Guards against datagrams of 64 KB that hold up the event loop for seconds."""

    async def run():
        received = []
        task = HeartbeatTask(
            vms=VmDirectory(own=VmRecord("vm-1", "10.0.0.1:1", "10.0.0.1:2", "a1", "a", 1)),
            positions=dict,
            on_change=lambda _: None,
            on_positions=lambda *_: None,
            on_report=received.append,
        )
        positions = b",".join(b'"%d":[1,1]' % number for number in range(4_000))
        large = b'["vm-9",1,false,{' + positions + b"}]"
        started = time.thread_time()
        for _ in range(200):
            task.datagram_received(large, None)
        work_s = time.thread_time() - started
        task.datagram_received(b"{}", None)
        assert received == [b"{}"]
        return work_s

    assert asyncio.run(run()) < WORK_S
