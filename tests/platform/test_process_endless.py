"""A target whose bytes never end, beside other targets and callers of the same entry VM."""

import asyncio
import json

import pytest

from tests.platform.sites import peak_mb
from tests.platform.test_process import Node

pytestmark = pytest.mark.processes

#: Requests that are answered without end at the same time, and seconds for which they are sent.
CONCURRENT = 12
TRAFFIC_S = 4.0
#: Megabytes at which the process would be killed, as in the settings of the test.
MEMORY_MB = 200
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
COMPLETE = STATUS_LINE + b"X-Carawaybank-Server-Seal: sealed\r\nContent-Length: 2\r\n"
#: First bytes of the response, and those that follow without end.
ENDLESS = {
    "garbage": (b"", b"\x00\x01 no response " * 1000),
    "head": (STATUS_LINE, b"X-A: aaaaaaaaaaaa\r\n" * 1000),
    "long-header": (STATUS_LINE + b"X-A: ", b"a" * 16_000),
    "body": (STATUS_LINE + b"\r\n", b"x" * 16_000),
    "chunks": (
        STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
        b"3e80\r\n" + b"x" * 16_000 + b"\r\n",
    ),
    "after-the-answer": (None, b"x" * 16_000),
}


class EndlessTarget:
    """A target that answers paths which name a kind of ``ENDLESS`` without end."""

    def __init__(self):
        self.begun = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
                answer = COMPLETE + f"X-Carawaybank-Request-Id: {request_id}\r\n\r\nok".encode()
                kind = head.split(" ")[1].rpartition("/")[2]
                if kind not in ENDLESS:
                    writer.write(answer)
                    continue
                self.begun += 1
                first, again = ENDLESS[kind]
                writer.write(answer if first is None else first)
                while True:
                    writer.write(again)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_exhaust_neither_the_memory_nor_other_callers(tmp_path, kind):
    """Guards against a process that keeps what a faulty target sends until its memory is used up.

    The requests of other callers would end with it.
    """

    async def run():
        async with Node() as node:
            node.target.server.close()
            target, sound = EndlessTarget(), node.target
            row = json.loads(node.store.value("servers", "t1"))
            address = await target.start()
            await node.store.put("servers", "t1", {**row, "addr": address, "slots": 64, "born": 2})
            await node.store.put(
                "servers", "t2", {**row, "addr": await sound.start(), "slots": 64, "born": 2}
            )
            await node.start(tmp_path)
            loop = asyncio.get_running_loop()
            end = loop.time() + TRAFFIC_S
            served = []

            async def send(name, path):
                number = 0
                while loop.time() < end:
                    number += 1
                    request_id = f"{name}-{number}"
                    try:
                        reply = await node.call("8100", path, method="GET", request_id=request_id)
                    except Exception:  # The process has ended; the assertions below say so.
                        break
                    if path == "/x/sound":
                        served.append(reply.status)

            bad = [send(f"bad{number}", f"/x/{kind}") for number in range(CONCURRENT)]
            await asyncio.gather(*bad, *(send(f"ok{number}", "/x/sound") for number in range(4)))
            assert node.process.returncode is None
            assert target.begun > 0
            assert peak_mb(node.process.pid) < MEMORY_MB
            assert served.count(200) > 0.5 * len(served) > 10

    asyncio.run(run())
