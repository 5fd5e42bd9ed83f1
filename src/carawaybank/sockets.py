"""What the kernel holds for sockets: input that was not read, or bytes not acknowledged, yet."""

import asyncio
import fcntl
import select
import struct
import termios
from typing import Any


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes that were received and not read, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.FIONREAD)


def count_unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes in the send buffer of the kernel, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.TIOCOUTQ)


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Returns whether bytes, the end of the stream or an error wait to be read."""
    sock: Any = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:  # The socket was closed meanwhile.
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _query_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock: Any = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        result = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    except (OSError, ValueError):  # The socket was closed meanwhile.
        return 0
    return int(struct.unpack("i", result)[0])
