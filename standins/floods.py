"""Peers of an entry VM whose bytes never end: targets, the store, siblings and callers."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

_WRITE_BYTES = 65_536
#: Bytes of a chunk's body, from the smallest to one that fills a read.
CHUNK_BYTES = (1, 2, 3, 4, 8, 16, 64, 1_024, 65_536)


class Form(NamedTuple):
    """A message without end.

    Attributes:
        first: Bytes that are sent once.
        again: Bytes that follow without end.
    """

    first: bytes
    again: bytes

    @property
    def piece(self) -> bytes:
        """As many repetitions as one write should have."""
        return self.again * max(1, _WRITE_BYTES // len(self.again))


def _chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: 1000000000\r\n\r\n"
_FRAMING = {
    "chunk size": Form(_CHUNKED, b"0"),
    "chunk extension": Form(_CHUNKED + b"5;a=", b"a"),
    "trailers": Form(_CHUNKED + b"0\r\n", b"X-A: a\r\n"),
    "one header": Form(b"X-A: ", b"a"),
    "headers": Form(b"", b"a:b\r\n"),
    "length": Form(_LENGTH, b"x" * 16_384),
    **{f"chunks of {size}": Form(_CHUNKED, _chunk(size)) for size in CHUNK_BYTES},
}
#: Responses without end, by name.
RESPONSES = {
    "garbage": Form(b"", b"\x00garbage"),
    "status line": Form(b"HTTP/1.1 200 O", b"K"),
    "informational": Form(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no length": Form(_STATUS_LINE + b"\r\n", b"x" * 16_384),
    **{name: Form(_STATUS_LINE + form.first, form.again) for name, form in _FRAMING.items()},
}


def requests(path: str) -> dict[str, Form]:
    """Returns requests without end, by name.

    Args:
        path: Path of the requests.
    """
    head = f"POST {path} HTTP/1.1\r\nHost: a.example\r\n".encode()
    get = f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()
    return {
        "pipelined": Form(b"", get),
        "empty lines": Form(b"", b"\r\n"),
        "path": Form(b"GET /", b"a"),
        **{name: Form(head + form.first, form.again) for name, form in _FRAMING.items()},
    }


async def send_without_end(
    writer: asyncio.StreamWriter, form: Form, *, bytes_per_s: float = float("inf")
) -> None:
    """Sends a message until the peer closes the connection.

    Args:
        writer: The connection.
        form: The message.
        bytes_per_s: Speed; infinity sends as fast as the peer reads.
    """
    writer.write(form.first)
    piece = form.piece
    if bytes_per_s < float("inf"):
        piece = piece[: max(1, int(bytes_per_s / 20))]
    while not writer.is_closing():
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(len(piece) / bytes_per_s)


class FloodServer:
    """Responds without end to each request while ``form`` is set, and otherwise as a sound peer.

    Attributes:
        form: The response to each request; None for a sound peer.
        bytes_per_s: Speed of the responses without end.
        begun: Number of responses without end.
    """

    def __init__(
        self, *, upstream: str = "", respond: Callable[[str], bytes | Form] | None = None
    ) -> None:
        """Starts without connections.

        Args:
            upstream: ``IP:PORT`` to which connections of a sound peer are passed on.
            respond: Returns the response to a request with this head; None to pass it on.
        """
        self.form: Form | None = None
        self._upstream, self._respond = upstream, respond
        self.bytes_per_s = float("inf")
        self.begun = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens at an address and returns it with the port in use."""
        host, _, number = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(number))
        name, port = self._server.sockets[0].getsockname()[:2]
        return f"{name}:{port}"

    def flood(self, form: Form) -> None:
        """Responds without end from now on; open connections are closed."""
        self.form = form
        for writer in self._writers:
            writer.transport.abort()

    def recover(self) -> None:
        """Responds as a sound peer from now on; open connections are closed."""
        self.form = None
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with self._registered(writer):
            if self.form is None and self._respond is None:
                await self._pass_on(reader, writer)
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                response = self.form or (self._respond(head) if self._respond else b"")
                if isinstance(response, Form):
                    self.begun += 1
                    await send_without_end(writer, response, bytes_per_s=self.bytes_per_s)
                else:
                    writer.write(response)

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._upstream.rpartition(":")
        upstream, downstream = await asyncio.open_connection(host, int(port))
        with self._registered(downstream):
            done = await asyncio.wait(
                [
                    asyncio.create_task(_copy(reader, downstream)),
                    asyncio.create_task(_copy(upstream, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done[1]:
                task.cancel()

    @contextlib.contextmanager
    def _registered(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                yield
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(_WRITE_BYTES):
            writer.write(data)
            await writer.drain()
