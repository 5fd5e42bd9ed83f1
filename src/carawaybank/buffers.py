"""Bounds on the bytes that a process keeps of peers that may never stop sending."""

#: Bytes of framing for each byte of a body: chunks of one byte take five.
_FRAMING_PART = 8
#: Bytes that a message may have besides its body, whatever the body's size.
MOST_FRAMING_BYTES = 131_072


class FramingLimit:
    """Bounds the bytes of messages that are neither a body nor counted elsewhere.

    Load pattern: a peer sends heads, chunk sizes, extensions or trailers without end.

    >>> limit = FramingLimit(most_bytes=10)
    >>> limit.note(read=100, body=90)
    >>> limit.is_exceeded
    False
    >>> limit.note(read=1_000, body=0)
    >>> limit.is_exceeded
    True
    """

    def __init__(self, *, most_bytes: int = MOST_FRAMING_BYTES) -> None:
        """Starts without bytes.

        Args:
            most_bytes: Bytes allowed besides the share for a body.
        """
        self._most_bytes = most_bytes
        self._framing = 0
        self._body = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether there were more bytes than any proper message needs."""
        return self._framing > self._most_bytes + _FRAMING_PART * self._body

    def note(self, *, read: int, body: int) -> None:
        """Counts bytes that were read, and how many of them were of a body."""
        self._framing += read - body
        self._body += body

    def reset(self) -> None:
        """Starts anew, for the next message of a connection."""
        self._framing = self._body = 0


class BufferBudget:
    """Bytes of unfinished answers that all connections of a process may keep together.

    Load pattern: targets answer without end, many at a time, while small answers must get through.

    >>> budget = BufferBudget(most_bytes=100)
    >>> budget.try_take(60), budget.try_take(60)
    (True, False)
    >>> budget.give_back(60)
    >>> budget.try_take(60)
    True
    """

    def __init__(self, *, most_bytes: int) -> None:
        """Starts with nothing taken.

        Args:
            most_bytes: Bytes in all.
        """
        self._most_bytes = most_bytes
        self._taken = 0

    @property
    def most_bytes(self) -> int:
        """Bytes in all."""
        return self._most_bytes

    def try_take(self, size: int) -> bool:
        """Takes bytes; returns whether there were as many left."""
        if self._taken + size > self._most_bytes:
            return False
        self._taken += size
        return True

    def give_back(self, size: int) -> None:
        """Gives bytes back."""
        self._taken -= size
