"""Large uploads, each within the operator's limit, beside other callers of an entry VM."""

import asyncio
import signal
import socket
import time

import pytest

from carawaybank.routing.configuration import Limits
from standins.cluster import process_ip
from tests.platform.sites import peak_mb
from tests.platform.stops import LOOK
from tests.platform.test_process import CONFIGURATION, ROUTE, Node, Target, make_heartbeat

pytestmark = pytest.mark.processes

#: Megabytes at which the process would be killed.
MEMORY_MB = 300
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
READ_S = 4.0


class UploadTarget(Target):
    """A target that takes bodies of any size and has short answers."""

    @staticmethod
    def limits():
        return Limits(body_bytes=100_000_000)

    async def handle(self, request):
        reply = await super().handle(request._replace(body=b""))
        self.runs[-1] = request._replace(body=b"")
        return reply


async def upload(vm, number, size):
    """Returns the status of an upload."""
    reader, writer = await asyncio.open_connection(process_ip(), vm.ports["8100"])
    head = (
        f"POST /x/{number} HTTP/1.1\r\nHost: a.example\r\nX-Carawaybank-Request-Id: up-{number}\r\n"
        f"X-Carawaybank-Deadline-Ms: 3000\r\nContent-Length: {size}\r\n\r\n"
    )
    writer.write(head.encode())

    async def send():
        for start in range(0, size, 65_536):
            writer.write(b"x" * min(65_536, size - start))
            await writer.drain()

    sending = asyncio.create_task(send())
    try:
        answer = await reader.readuntil(b"\r\n\r\n")
        return int(answer.split()[1])
    finally:
        sending.cancel()
        await asyncio.wait([sending])
        writer.transport.abort()


@pytest.mark.parametrize(("count", "size"), [(60, 8_000_000), (4, 60_000_000)])
def test_uploads_within_the_limit_do_not_exhaust_the_memory(tmp_path, count, size):
    """Guards against a process that ends with the requests of all its callers."""

    async def run():
        async with Node() as vm:
            vm.text = vm.text.replace("[bounds]", f"[bounds]\nmemory_mb = {MEMORY_MB}")
            resources = [
                {"resKind": "routes", "metadata": {"name": "r"}, "spec": ROUTE},
                {"resKind": "routes", "metadata": {"name": "look"}, "spec": LOOK},
                {"resKind": "limits", "metadata": {}, "spec": LIMITS},
                *CONFIGURATION["resources"][1:],
            ]
            await vm.store.put("op", "config", {"version": "00000003", "resources": resources})
            vm.target.server.close()
            vm.target = UploadTarget()
            row = {**make_heartbeat(await vm.target.start()), "slots": 100, "born": 2}
            await vm.store.put("servers", "t1", row)
            await vm.start(tmp_path)
            end = time.monotonic() + READ_S
            read = []

            async def read_on(name):
                number = 0
                while time.monotonic() < end:
                    number += 1
                    reply = await vm.call("8100", "/look/1", request_id=f"{name}-{number}")
                    read.append(reply.status)

            readers = [asyncio.create_task(read_on(f"r{number}")) for number in range(4)]
            statuses = await asyncio.gather(*(upload(vm, n, size) for n in range(count)))
            await asyncio.gather(*readers)
            assert vm.process.returncode is None
            assert peak_mb(vm.process.pid) < MEMORY_MB
            assert set(statuses) <= {200, 413, 503}
            assert read.count(200) > 0.9 * len(read) > 10
            ran = {run.header("X-Carawaybank-Request-Id") for run in vm.target.runs}
            refused = {f"up-{n}" for n, status in enumerate(statuses) if status != 200}
            assert not ran & refused
            print(f"peak {peak_mb(vm.process.pid):.0f} MB, statuses {sorted(statuses)}")

    asyncio.run(run())


def test_callers_that_leave_in_the_middle_of_bodies_do_not_end_a_stop(tmp_path):
    """Guards against a stop that fails, and cuts all requests, at a caller that leaves."""

    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Carawaybank-Request-Id: {}\r\n"
            callers = []
            for number in range(400):
                caller = socket.create_connection((process_ip(), node.ports["8100"]))
                caller.sendall((head + "Content-Length: 60000\r\n\r\n").format(number).encode())
                caller.sendall(bytes(1000))
                callers.append(caller)
            reading = asyncio.create_task(node.output())
            node.process.send_signal(signal.SIGTERM)
            # Unfinished requests are refused at one of the decisions in this time.
            started_at = time.monotonic()
            for number, caller in enumerate(callers):
                due = started_at + 3.55 + 0.25 * number / len(callers)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                caller.close()
            await reading
            assert await node.process.wait() == 0

    asyncio.run(run())


def test_callers_that_send_on_for_all_of_a_stop_get_the_refusals_of_their_uploads(tmp_path):
    """Guards against a reset in place of the response to an upload over a slow link."""

    async def send_on(node, number):
        reader, writer = await asyncio.open_connection(process_ip(), node.ports["8100"])
        head = f"POST /x/{number} HTTP/1.1\r\nHost: a.example\r\nX-Carawaybank-Request-Id: {number}"
        writer.write(f"{head}\r\nContent-Length: 360000\r\n\r\n".encode())
        # Unfinished requests are refused 3.6 s after SIGTERM, and the process ends after 5.58 s.
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            writer.write(bytes(6000))
            await writer.drain()
            await asyncio.sleep(0.1)
        answer = await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
        return answer

    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            reading = asyncio.create_task(node.output())
            sending = [asyncio.create_task(send_on(node, number)) for number in range(4)]
            node.process.send_signal(signal.SIGTERM)
            answers = await asyncio.gather(*sending)
            assert [answer[:12] for answer in answers] == [b"HTTP/1.1 503"] * 4
            await reading
            assert await node.process.wait() == 0

    asyncio.run(run())
