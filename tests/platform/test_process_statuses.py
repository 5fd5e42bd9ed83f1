"""Targets whose status lines are none, behind an entry VM as a process."""

import asyncio
import json
import re

import pytest

from standins.cluster import process_ip
from tests.platform.test_process import Node
from tests.test_statuses import ENDS, METHODS, STATUS_LINES

pytestmark = pytest.mark.processes

OWN_FAILURE = "HTTP/1.1 502 "
SOUND = "HTTP/1.1 200 OK"
ANSWER_S = 5.0
TARGETS = 3 * len(METHODS) * len(STATUS_LINES)


class OddTarget:
    """A target that answers with the status line and the end that a path names by numbers."""

    def __init__(self):
        self.arrived = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, path, _ = head.split(" ", 2)
            request_id = re.search(r"(?i)\r\nx-carawaybank-request-id: (\S+)", head)[1]
            self.arrived.add(request_id)
            line, end = SOUND, "length"
            if match := re.fullmatch(r"/x/(\d+)/(\w+)", path):
                line, end = STATUS_LINES[int(match[1])], match[2]
            identity = f"X-Carawaybank-Request-Id: {request_id}\r\nX-Carawaybank-Server-Seal: s"
            head, separator, body = f"{line}\r\n{identity}\r\n{ENDS[end]}".partition("\r\n\r\n")
            writer.write((head + separator + ("" if method == "HEAD" else body)).encode())
            await writer.drain()
        finally:
            writer.close()


async def ask(address, method, path, request_id):
    """Returns all bytes that a caller gets for a request."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
        f"X-Carawaybank-Request-Id: {request_id}\r\nX-Carawaybank-Deadline-Ms: 3000\r\n"
        f"Content-Length: 0\r\n\r\n".encode()
    )
    try:
        return (await asyncio.wait_for(reader.read(), ANSWER_S)).decode()
    finally:
        writer.close()


def test_a_caller_gets_no_status_that_is_none(tmp_path):
    """Guards against a garbled status that reaches a caller, or one of another version of HTTP."""

    async def run():
        async with Node() as node:
            node.target.server.close()
            target = OddTarget()
            row = json.loads(node.store.value("servers", "t1"))
            address = await target.start()
            # A target that failed is avoided for a while, so each request finds others.
            for number in range(TARGETS):
                entry = {**row, "addr": address, "slots": 8, "born": 2}
                await node.store.put("servers", f"t{number}", entry)
            await node.start(tmp_path)
            own_address = f"{process_ip()}:{node.ports['8100']}"
            requests = [
                (method, number) for method in METHODS for number in range(len(STATUS_LINES))
            ]
            faults, served = [], 0
            for method, number in requests:
                end = list(ENDS)[number % len(ENDS)]
                request_id = f"{method}-{number}"
                answer = await ask(own_address, method, f"/x/{number}/{end}", request_id)
                if not answer.startswith(OWN_FAILURE) or "server-seal" in answer.lower():
                    faults.append((method, STATUS_LINES[number], end, answer[:60]))
                answer = await ask(own_address, method, "/x/sound", f"{request_id}-sound")
                served += answer.startswith(f"{SOUND}\r\n") and "-seal: s" in answer.lower()
            target.server.close()
            assert node.process.returncode is None
            assert not faults
            assert {f"{method}-{number}" for method, number in requests} <= target.arrived
            assert served == len(requests)

    asyncio.run(run())
