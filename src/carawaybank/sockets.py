"""What the kernel knows of sockets: input that was not read, its age, bytes not acknowledged."""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from typing import Any

#: Offsets in bytes of fields of 32 bits in ``struct tcp_info`` (tcp(7), linux/tcp.h):
#: ``tcpi_unacked``, for a listening socket the connections that wait to be accepted, and
#: ``tcpi_last_data_recv``, the milliseconds since the last segment with data.
_UNACKED_OFFSET, _LAST_DATA_OFFSET = 24, 52
_FIELD = struct.Struct("=I")
#: Larger values are not the age of input that a caller still waits for.
_MAX_INPUT_AGE_S = 60.0


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes that were received and not read, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.FIONREAD)


def count_unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes in the send buffer of the kernel, or 0 if the kernel does not say."""
    return _query_bytes(transport, termios.TIOCOUTQ)


def input_age_s(sock: Any) -> float:
    """Returns the seconds since the kernel received the last input, or 0 if it does not say.

    Called when input is read, it is the time for which the end of that input waited.

    Args:
        sock: The socket of a connection; None if it is not known.
    """
    age_s = _read_tcp_info(sock, _LAST_DATA_OFFSET) / 1000
    return age_s if age_s <= _MAX_INPUT_AGE_S else 0.0


def count_waiting_connections(sock: socket.socket) -> int:
    """Returns the connections that a listening socket holds, or 0 if the kernel does not say."""
    return _read_tcp_info(sock, _UNACKED_OFFSET)


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Returns whether bytes, the end of the stream or an error wait to be read."""
    sock: Any = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:  # The socket was closed meanwhile.
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_peer_ended(sock: Any) -> bool:
    """Returns whether the peer has closed or reset its side, also if input waits before that.

    Args:
        sock: The socket of a connection; None if it is not known.
    """
    if sock is None or sock.fileno() < 0:  # The socket was closed meanwhile.
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _read_tcp_info(sock: Any, offset: int) -> int:
    """Returns a field of ``struct tcp_info``, or 0 if the kernel does not say."""
    if sock is None:
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + _FIELD.size)
        return int(_FIELD.unpack_from(info, offset)[0])
    # The socket was closed meanwhile, or is none of TCP.
    except (OSError, ValueError, struct.error):
        return 0


def _query_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock: Any = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        result = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    except (OSError, ValueError):  # The socket was closed meanwhile.
        return 0
    return int(struct.unpack("i", result)[0])
