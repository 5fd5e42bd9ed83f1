"""Responses that wait in memory because callers read them slowly.

Load pattern: callers request large responses and read them slowly, or not at all, while other
callers of the same VM read normally.
"""

import asyncio
from collections.abc import Callable

from carawaybank.buffers import BufferBudget
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.sockets import count_unacknowledged_bytes

#: Seconds after which a connection is aborted if its caller reads none of the bytes that wait. The
#: longest budget of a known route is 6.9 s, after which the caller does not use the response, and
#: five consecutive losses of a segment delay TCP by 6.2 s.
MAX_UNREAD_S = 8.0
#: Maximum seconds that one check adds to the time without reading. Checks take place every 0.5 s;
#: a longer interval means that this process was suspended, not that the caller did not read.
_MAX_CHECK_INTERVAL_S = 1.0


class ResponseBacklog:
    """Counts the bytes of all connections of a VM that wait for slow callers."""

    def __init__(self, *, max_bytes: int, journal: Journal, counters: Counters) -> None:
        """Starts with no bytes.

        Args:
            max_bytes: Number of waiting bytes from which there is no room for downloads.
            journal: Receives a log event for each aborted connection and each change of the room.
            counters: Counts connections that were paused and aborted.
        """
        self._budget = BufferBudget(max_bytes=max_bytes)
        self._journal = journal
        self._counters = counters
        self._paused: set[ConnectionBacklog] = set()
        self._is_reported_full = False

    @property
    def has_room(self) -> bool:
        """Whether fewer bytes wait than the budget allows."""
        if self._budget.is_used_up:
            self.refresh()
        return not self._budget.is_used_up

    def refresh(self) -> None:
        """Counts again what waits, since callers may have read a part."""
        for connection in tuple(self._paused):
            connection.update()

    def record_paused(self, connection: "ConnectionBacklog") -> None:
        """Records that the responses of a connection begin to wait."""
        self._paused.add(connection)
        self._counters.count_slow_caller("paused")

    def record_resumed(self, connection: "ConnectionBacklog") -> None:
        """Records that no response of a connection waits any more."""
        self._paused.discard(connection)

    def record_aborted(self, peer: str, *, unread_bytes: int) -> None:
        """Records that a connection is aborted because its caller does not read."""
        self._counters.count_slow_caller("aborted")
        self._journal.log(
            "callers", "slow caller aborted", peer=peer, bytes=unread_bytes, after_s=MAX_UNREAD_S
        )

    def change(self, size: int) -> None:
        """Adds bytes that wait, or removes them if the size is negative."""
        if size > 0:
            self._budget.reserve(size)
        else:
            self._budget.release(-size)
        if self._budget.is_used_up != self._is_reported_full:
            self._is_reported_full = self._budget.is_used_up
            event = "response memory used up" if self._is_reported_full else "room for responses"
            self._journal.log(
                "callers", event, connections=len(self._paused), max_bytes=self._budget.max_bytes
            )


class ConnectionBacklog:
    """The bytes of one connection that wait for its caller."""

    def __init__(
        self,
        *,
        transport: asyncio.WriteTransport,
        ready_bytes: Callable[[], int],
        shared: ResponseBacklog | None,
        peer: str,
        on_update: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts with no bytes.

        Args:
            transport: Transport of the connection.
            ready_bytes: Returns the bytes of the ready responses that are not written yet.
            shared: Counts the waiting bytes of all connections; None to count none.
            peer: Address of the caller, for log events.
            on_update: Called when the number of waiting bytes may have changed.
        """
        self._on_update = on_update
        self._transport = transport
        self._ready_bytes = ready_bytes
        self._shared = shared
        self._peer = peer
        self._counted_bytes = 0
        self._written_bytes = 0
        self._read_bytes = 0
        self._unread_s = 0.0
        self._checked_at: float | None = None
        self.is_paused = False

    @property
    def unreceived_bytes(self) -> int:
        """Bytes that were written and that the caller has not acknowledged.

        The kernel accepts further bytes only once a third of its buffer is free, which may take
        longer than ``MAX_UNREAD_S`` although the caller reads.
        """
        return self._transport.get_write_buffer_size() + count_unacknowledged_bytes(self._transport)

    def write(self, data: bytes | memoryview) -> None:
        """Writes data to the transport."""
        self._written_bytes += len(data)
        self._transport.write(data)

    def pause(self) -> None:
        """Starts to count the waiting bytes; the transport's buffer is above its limit."""
        self.is_paused = True
        if self._shared is not None:
            self._shared.record_paused(self)
        self.update()

    def resume(self) -> None:
        """Stops counting the waiting bytes."""
        was_paused, self.is_paused = self.is_paused, False
        self.update()
        if was_paused and self._shared is not None:
            self._shared.record_resumed(self)

    def update(self) -> None:
        """Updates the number of waiting bytes in the budget of the VM."""
        self._on_update()
        if self._shared is None:
            return
        waiting_bytes = 0
        if self.is_paused:
            waiting_bytes = self._transport.get_write_buffer_size() + self._ready_bytes()
        change, self._counted_bytes = waiting_bytes - self._counted_bytes, waiting_bytes
        if change:
            self._shared.change(change)

    def abort_if_unread(self, now: float) -> bool:
        """Aborts the connection if its caller has read nothing for too long while bytes wait.

        Args:
            now: Time in seconds on the event loop's clock.

        Returns:
            Whether the connection was aborted.
        """
        self.update()
        elapsed_s = 0.0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        unsent_bytes = self._transport.get_write_buffer_size()
        read_bytes = (
            self._written_bytes - unsent_bytes - count_unacknowledged_bytes(self._transport)
        )
        if not unsent_bytes or read_bytes > self._read_bytes:
            self._read_bytes, self._unread_s = read_bytes, 0.0
            return False
        self._unread_s += min(elapsed_s, _MAX_CHECK_INTERVAL_S)
        if self._unread_s <= MAX_UNREAD_S:
            return False
        if self._shared is not None:
            self._shared.record_aborted(self._peer, unread_bytes=unsent_bytes)
        self._transport.abort()
        return True
