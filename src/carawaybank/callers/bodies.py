"""Memory that the bodies of requests share over all connections of a VM.

Load pattern: many callers upload large bodies at once, each within the limit for one body, while
others send small requests.

A large body reserves its length before it is read on. Bodies that find no memory wait in the order
of their arrival, for a short time. A body that is larger than all of the memory is read alone.
"""

from collections import deque
from collections.abc import Callable

#: Bytes of each body that are not counted; most bodies are smaller.
UNCOUNTED_BYTES = 65_536


class BodyWait:
    """A body that waits for memory.

    Attributes:
        size: Bytes that it needs.
        on_granted: Called when they are reserved.
    """

    def __init__(self, *, size: int, on_granted: Callable[[], None]) -> None:
        """Stores the attributes."""
        self.size = size
        self.on_granted = on_granted


class BodyMemory:
    """Reserves memory for bodies.

    >>> memory = BodyMemory(max_bytes=100)
    >>> memory.try_reserve(60), memory.try_reserve(60)
    (True, False)
    >>> granted = []
    >>> wait = memory.wait(60, on_granted=lambda: granted.append(60))
    >>> memory.release(60)
    >>> granted
    [60]
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Starts with all of the memory free.

        Args:
            max_bytes: Bytes that bodies may use together.
        """
        self._max_bytes = max_bytes
        self._reserved_bytes = 0
        self._waits: deque[BodyWait] = deque()

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are in use."""
        return self._reserved_bytes

    def try_reserve(self, size: int) -> bool:
        """Reserves bytes unless too many are in use or a body waits; returns whether it did."""
        if self._waits or not self._fits(size):
            return False
        self._reserved_bytes += size
        return True

    def reserve(self, size: int) -> None:
        """Reserves bytes that are in memory already."""
        self._reserved_bytes += size

    def wait(self, size: int, *, on_granted: Callable[[], None]) -> BodyWait:
        """Reserves bytes as soon as they are free."""
        wait = BodyWait(size=size, on_granted=on_granted)
        self._waits.append(wait)
        return wait

    def cancel(self, wait: BodyWait) -> None:
        """Ends a wait that was not granted."""
        self._waits.remove(wait)
        self._grant()

    def release(self, size: int) -> None:
        """Returns reserved bytes, and grants the waits for which they suffice."""
        self._reserved_bytes -= size
        self._grant()

    def _fits(self, size: int) -> bool:
        return not self._reserved_bytes or self._reserved_bytes + size <= self._max_bytes

    def _grant(self) -> None:
        while self._waits and self._fits(self._waits[0].size):
            wait = self._waits.popleft()
            self._reserved_bytes += wait.size
            wait.on_granted()


class ConnectionBodies:
    """The memory of the body that one connection receives."""

    def __init__(self, *, memory: BodyMemory) -> None:
        """Starts without a body."""
        self._memory = memory
        self._reserved_bytes = 0
        self._wait: BodyWait | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the body may not be read on yet."""
        return self._wait is not None

    def grow(self, body_bytes: int) -> bool:
        """Reserves memory for a body that is being received, and returns whether there was any.

        Args:
            body_bytes: Bytes that the body has, or will have.
        """
        needed_bytes = body_bytes - UNCOUNTED_BYTES - self._reserved_bytes
        if needed_bytes <= 0 or self._wait is not None:
            return True
        if not self._memory.try_reserve(needed_bytes):
            return False
        self._reserved_bytes += needed_bytes
        return True

    def wait(self, body_bytes: int, *, on_granted: Callable[[], None]) -> None:
        """Waits for the memory of a body of a known length."""
        needed_bytes = body_bytes - UNCOUNTED_BYTES - self._reserved_bytes

        def grant() -> None:
            self._wait = None
            self._reserved_bytes += needed_bytes
            on_granted()

        self._wait = self._memory.wait(needed_bytes, on_granted=grant)

    def take(self, body_bytes: int) -> int:
        """Ends the reception of a body.

        Returns:
            Bytes that the owner of the complete body has to release.
        """
        counted_bytes = max(0, body_bytes - UNCOUNTED_BYTES)
        if counted_bytes > self._reserved_bytes:
            self._memory.reserve(counted_bytes - self._reserved_bytes)
        elif counted_bytes < self._reserved_bytes:
            self._memory.release(self._reserved_bytes - counted_bytes)
        self._reserved_bytes = 0
        return counted_bytes

    def release(self, size: int) -> None:
        """Returns the memory of a complete body."""
        if size:
            self._memory.release(size)

    def drop(self) -> None:
        """Returns the memory of a body that will not be received, and ends its wait."""
        if self._wait is not None:
            wait, self._wait = self._wait, None
            self._memory.cancel(wait)
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        if reserved_bytes:
            self._memory.release(reserved_bytes)
