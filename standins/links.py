"""Simulated links between one entry VM and its targets, which can be cut and restored.

A link is a listener that passes bytes on to its target. The process of the entry VM runs as
``python -m standins.rerouted`` and connects to its links in place of the targets.
"""

import asyncio
import contextlib
import socket
from enum import StrEnum

#: Connections that fill the queue of a listener that accepts none.
_FILLERS = 2
_CHUNK_BYTES = 65_536


class Cut(StrEnum):
    """What happens to connections while a link is cut.

    Attributes:
        HANG: Nothing passes, and nothing is reset.
        RESET: Open connections are reset, and new ones are refused.
        REFUSE: Open connections work, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class Link:
    """The path from one entry VM to one target.

    Attributes:
        address: ``IP:PORT`` at which the entry VM reaches the target.
        opened: Number of connections that the target was sent.
    """

    def __init__(self, *, address: str, target_address: str) -> None:
        """Creates a link that is not started.

        Args:
            address: ``IP:PORT`` to listen on. No other process may use it while the link is cut.
            target_address: ``IP:PORT`` of the target.
        """
        self._target_address = target_address
        self._passes = asyncio.Event()
        self._passes.set()
        self._server: asyncio.Server | None = None
        self._blocker: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._transports: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = address
        self.opened = 0

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def cut(self, how: Cut) -> None:
        """Cuts the link until :meth:`restore`."""
        assert self._server is not None
        self._server.close()
        await asyncio.sleep(0)
        if how is Cut.HANG:
            self._passes.clear()
            self._block()
        elif how is Cut.RESET:
            for writer in list(self._transports):
                writer.transport.abort()

    async def restore(self) -> None:
        """Ends the cut; bytes that were held up go on."""
        for sock in [*self._fillers, *filter(None, [self._blocker])]:
            sock.close()
        self._fillers, self._blocker = [], None
        self._passes.set()
        await self.start()

    async def stop(self) -> None:
        """Closes all sockets."""
        for sock in [*self._fillers, *filter(None, [self._blocker])]:
            sock.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _block(self) -> None:
        """Listens with a full queue, so that new connections get no response."""
        host, _, port = self.address.rpartition(":")
        self._blocker = socket.socket()
        self._blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blocker.bind((host, int(port)))
        self._blocker.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self._target_address.rpartition(":")
        self.opened += 1
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self._transports |= {writer, target_writer}
            try:
                pumps = [
                    asyncio.create_task(self._pump(reader, target_writer)),
                    asyncio.create_task(self._pump(target_reader, writer)),
                ]
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                for end in (writer, target_writer):
                    self._transports.discard(end)
                    end.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
