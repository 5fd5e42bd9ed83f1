"""The memory of everything that peers have sent and that is still held.

Load pattern: a peer, or many of them, sends without end, in whatever form costs the most memory for
its bytes, while others send and receive small messages.

Each connection states what its unfinished and queued messages cost. Beyond the budget, the largest
unfinished message is broken off, whoever sent it; a small one only if its own growth leads there.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

#: Memory of a message up to which it is not broken off for others.
SMALL_BYTES = 65_536
#: Memory of a header beside its characters: a tuple, two strings and a place in a list.
HEADER_BYTES = 200
#: Change of a holder's memory from which it is counted.
_STEP_BYTES = 8_192
#: Fraction of the memory beyond that of a process without peers. What is left is for the copies of
#: a message while it is encoded, and for the memory that the allocator does not reuse.
_BUDGET_FRACTION = 0.6
#: Fraction of the budget in use from which downloads are refused before they are sent to a target.
_ROOM_FRACTION = 0.8
#: Bytes of a process that has read its tables and has no peers.
_BASE_BYTES = 40_000_000


def budget_bytes(memory_mb: float) -> int:
    """Returns the budget of a process.

    Args:
        memory_mb: Megabytes above which the process is killed.
    """
    return int(_BUDGET_FRACTION * max(0.0, memory_mb * 1e6 - _BASE_BYTES))


def body_memory(size: int) -> int:
    """Returns the memory of the pieces of a body of a size."""
    return size + size // 16


class BreakOff(NamedTuple):
    """A message that was broken off for want of memory.

    Attributes:
        kind: Kind of the peer.
        peer: The peer.
        size: Bytes of memory that the message used.
    """

    kind: str
    peer: str
    size: int


class MemoryHolder:
    """The memory of one connection's messages.

    Attributes:
        kind: Kind of the peer, such as ``callers``.
        peer: The peer, for log lines.
        size: Bytes in use.
        unfinished_size: Bytes of these that a break-off returns.
    """

    __slots__ = ("_break_off", "_budget", "kind", "peer", "size", "unfinished_size")

    def __init__(
        self,
        *,
        budget: "MemoryBudget",
        kind: str,
        peer: str,
        break_off: Callable[[], None],
    ) -> None:
        """Starts with no memory in use.

        Args:
            budget: The budget of the process.
            kind: Kind of the peer.
            peer: The peer.
            break_off: Ends the unfinished message and resizes the holder.
        """
        self._budget = budget
        self._break_off = break_off
        self.kind, self.peer = kind, peer
        self.size = self.unfinished_size = 0

    def resize(self, size: int, *, unfinished_size: int = 0) -> None:
        """States the memory in use; may break off this message or others.

        Args:
            size: Bytes in use.
            unfinished_size: Bytes of these that a break-off returns.
        """
        grown_by = size - self.size
        self.unfinished_size = unfinished_size
        if self.size and size and -_STEP_BYTES < grown_by < _STEP_BYTES:
            return
        self.size = size
        if grown_by:
            self._budget.change(self, grown_by)

    def break_off(self) -> None:
        """Ends the unfinished message."""
        self._break_off()


class MemoryBudget:
    """Bounds the memory that all holders use together.

    >>> budget = MemoryBudget(max_bytes=300_000)
    >>> ended = []
    >>> def open(name):
    ...     holder = MemoryHolder(
    ...         budget=budget, kind="callers", peer=name, break_off=lambda: end(holder)
    ...     )
    ...     return holder
    >>> def end(holder):
    ...     ended.append(holder.peer)
    ...     holder.resize(0)
    >>> large, small = open("large"), open("small")
    >>> large.resize(280_000, unfinished_size=280_000)
    >>> small.resize(50_000, unfinished_size=50_000)
    >>> ended, budget.used_bytes
    (['large'], 50000)
    """

    def __init__(
        self, *, max_bytes: int, on_break_off: Callable[[BreakOff], None] = lambda _: None
    ) -> None:
        """Starts with no memory in use.

        Args:
            max_bytes: Bytes that all holders may use.
            on_break_off: Called before a message is broken off.
        """
        self._max_bytes = max_bytes
        self._on_break_off = on_break_off
        #: Called before a message is broken off; updates holders that may have shrunk.
        self.refresh: Callable[[], None] = lambda: None
        self._holders: set[MemoryHolder] = set()
        self._used_by_kind: Counter[str] = Counter()
        self._used_bytes = 0
        self._is_relieving = False

    @property
    def max_bytes(self) -> int:
        """Bytes that all holders may use."""
        return self._max_bytes

    @property
    def used_bytes(self) -> int:
        """Bytes that all holders use."""
        return self._used_bytes

    @property
    def has_room(self) -> bool:
        """Whether there is room for large new messages."""
        return self._used_bytes < self._max_bytes * _ROOM_FRACTION

    @property
    def used_by_kind(self) -> dict[str, int]:
        """Bytes in use by kind of the peer."""
        return dict(self._used_by_kind)

    def change(self, holder: MemoryHolder, grown_by: int) -> None:
        """Records that a holder has grown or shrunk, and relieves the memory if too much is used.

        Args:
            holder: The holder, with its new size.
            grown_by: Bytes; negative if it has shrunk.
        """
        self._used_bytes += grown_by
        self._used_by_kind[holder.kind] += grown_by
        if holder.size:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        if grown_by > 0 and self._used_bytes > self._max_bytes and not self._is_relieving:
            self._is_relieving = True
            try:
                self._relieve(holder)
            finally:
                self._is_relieving = False

    def _relieve(self, grown: MemoryHolder) -> None:
        self.refresh()
        passed_over: set[MemoryHolder] = set()
        while self._used_bytes > self._max_bytes:
            largest = max(
                self._holders - passed_over,
                key=lambda holder: holder.unfinished_size,
                default=grown,
            )
            if largest.unfinished_size <= SMALL_BYTES:
                largest = grown
            if not largest.unfinished_size or largest in passed_over:
                return
            before = self._used_bytes
            self._on_break_off(BreakOff(largest.kind, largest.peer, largest.size))
            largest.break_off()
            if self._used_bytes >= before:
                passed_over.add(largest)
