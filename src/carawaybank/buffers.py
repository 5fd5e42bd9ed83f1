"""Buffers for messages of peers, and limits on the bytes of peers that may send without end."""

import io

#: Bytes of a piece that is kept as it is, and of small pieces that are joined.
_LARGE_PIECE_BYTES = 4_096
_JOINED_BYTES = 65_536
#: Framing bytes allowed per body byte. A chunk of one byte needs five bytes of framing.
_FRAMING_BYTES_PER_BODY_BYTE = 8
#: Framing bytes allowed in a message regardless of the size of its body.
MAX_FRAMING_BYTES = 131_072


class FramingLimit:
    """Limits the bytes of a message that are not part of its body.

    Load pattern: a peer sends headers, chunk sizes, chunk extensions or trailers without end.

    >>> limit = FramingLimit(max_bytes=10)
    >>> limit.record(read_bytes=100, body_bytes=90)
    >>> limit.is_exceeded
    False
    >>> limit.record(read_bytes=1_000, body_bytes=0)
    >>> limit.is_exceeded
    True
    """

    def __init__(self, *, max_bytes: int = MAX_FRAMING_BYTES) -> None:
        """Initializes the limit with nothing counted.

        Args:
            max_bytes: Framing bytes allowed in addition to those allowed per body byte.
        """
        self._max_bytes = max_bytes
        self._framing_bytes = 0
        self._body_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the message has more framing bytes than any valid message needs."""
        return (
            self._framing_bytes > self._max_bytes + _FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        )

    def record(self, *, read_bytes: int, body_bytes: int) -> None:
        """Counts bytes of a message.

        Args:
            read_bytes: Number of bytes read.
            body_bytes: Number of bytes that belong to the body.
        """
        self._framing_bytes += read_bytes - body_bytes
        self._body_bytes += body_bytes

    def reset(self) -> None:
        """Resets the counts for the next message of the connection."""
        self._framing_bytes = self._body_bytes = 0


class BodyBuffer:
    """The bytes of a body in few objects, whatever the pieces in which they arrive.

    Large pieces are kept as they are, and small ones are joined to large ones as they arrive. A
    body that arrives in one piece is not copied.

    >>> buffer = BodyBuffer()
    >>> for piece in (b"a", b"b", b"cd"):
    ...     buffer.append(piece)
    >>> buffer.size, buffer.take(), buffer.size
    (4, b'abcd', 0)
    """

    __slots__ = ("_large", "_small", "size")

    def __init__(self) -> None:
        """Starts empty."""
        self._large: list[bytes] = []
        self._small: io.BytesIO | None = None
        #: Bytes of the body.
        self.size = 0

    def append(self, piece: bytes) -> None:
        """Adds bytes."""
        is_first = not self.size
        self.size += len(piece)
        if is_first or len(piece) >= _LARGE_PIECE_BYTES:
            self._join_small()
            self._large.append(piece)
            return
        if self._small is None:
            self._small = io.BytesIO()
        self._small.write(piece)
        if self._small.tell() >= _JOINED_BYTES:
            self._join_small()

    def take(self) -> bytes:
        """Returns the body and empties the buffer."""
        self._join_small()
        body = self._large[0] if len(self._large) == 1 else b"".join(self._large)
        self.clear()
        return body

    def clear(self) -> None:
        """Empties the buffer."""
        if self.size:
            self._large, self._small, self.size = [], None, 0

    def _join_small(self) -> None:
        if self._small is not None:
            self._large.append(self._small.getvalue())
            self._small = None


class BufferBudget:
    """Limits the bytes of responses that all connections buffer together.

    Load pattern: many targets at once send responses without end, while small responses must still
    be received.

    >>> budget = BufferBudget(max_bytes=100)
    >>> budget.try_acquire(60), budget.try_acquire(60)
    (True, False)
    >>> budget.release(60)
    >>> budget.try_acquire(60)
    True
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Initializes the budget with nothing reserved.

        Args:
            max_bytes: Size of the budget in bytes.
        """
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def max_bytes(self) -> int:
        """Size of the budget in bytes."""
        return self._max_bytes

    @property
    def is_used_up(self) -> bool:
        """Whether no byte is left."""
        return self._reserved_bytes >= self._max_bytes

    def try_acquire(self, size: int) -> bool:
        """Reserves bytes if the budget has that many left, and returns whether it had."""
        if self._reserved_bytes + size > self._max_bytes:
            return False
        self._reserved_bytes += size
        return True

    def reserve(self, size: int) -> None:
        """Reserves bytes that are in memory already, also beyond the size of the budget."""
        self._reserved_bytes += size

    def release(self, size: int) -> None:
        """Returns reserved bytes to the budget."""
        self._reserved_bytes -= size
