"""What the kernel holds for sockets: bytes and connections that the process has not read yet."""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

#: Offset in bytes of ``tcpi_unacked`` in the kernel's ``tcp_info``, and the size to read. For a
#: listener it is the number of connections that wait to be accepted.
_WAITING_OFFSET = 24
_TCP_INFO_BYTES = 104


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes that were received and not read, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.FIONREAD)


def count_unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes in the send buffer of the kernel, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.TIOCOUTQ)


def count_waiting_connections(server: asyncio.Server) -> int:
    """Returns the connections that wait to be accepted, or 0 if the kernel does not say."""
    return sum(_count_waiting(sock) for sock in server.sockets)


def _query_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock: Any = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        result = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    except (OSError, ValueError):  # The socket was closed meanwhile.
        return 0
    return int(struct.unpack("i", result)[0])


def _count_waiting(sock: Any) -> int:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < _WAITING_OFFSET + 4:
        return 0
    return int(struct.unpack_from("I", info, _WAITING_OFFSET)[0])
