"""A pool of client connections that are kept open between exchanges."""

import asyncio

from carawaybank.client import ClientConnection


class ClientPool:
    """A pool of idle connections, grouped by peer."""

    #: Fraction of the peer's idle limit after which a connection is no longer used.
    IDLE_LIMIT_FRACTION = 0.7
    #: Maximum idle time in seconds, below the idle limit of any known target.
    MAX_IDLE_S = 7.0
    #: Maximum number of idle connections per peer.
    MAX_IDLE = 16

    def __init__(self) -> None:
        """Initializes an empty pool."""
        self._idle: dict[str, list[ClientConnection]] = {}

    def acquire(self, peer: str, *, max_idle_s: float = MAX_IDLE_S) -> ClientConnection | None:
        """Removes and returns the most recently used connection to a peer.

        The result is None if no connection is open and was used within ``max_idle_s`` seconds.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(peer, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, now):
                if now - connection.idle_since <= max_idle_s:
                    return connection
                idle.append(connection)
                return None
            connection.close()
        return None

    def has_usable(self, peer: str) -> bool:
        """Returns whether the pool has a usable connection to a peer."""
        now = asyncio.get_running_loop().time()
        return any(self._is_fresh(connection, now) for connection in self._idle.get(peer, ()))

    def release(self, peer: str, connection: ClientConnection) -> None:
        """Stores a connection after an exchange; closes it if unusable or the pool is full."""
        idle = self._idle.setdefault(peer, [])
        if connection.is_open and len(idle) < self.MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def close_peer(self, peer: str) -> None:
        """Closes and removes all idle connections to a peer."""
        for connection in self._idle.pop(peer, []):
            connection.close()

    def close_all(self) -> None:
        """Closes and removes the idle connections to all peers."""
        for peer in list(self._idle):
            self.close_peer(peer)

    def close_idle(self) -> None:
        """Closes and removes connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for peer, idle in list(self._idle.items()):
            fresh: list[ClientConnection] = []
            for connection in idle:
                if self._is_fresh(connection, now):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle[peer] = fresh
            else:
                del self._idle[peer]

    def _is_fresh(self, connection: ClientConnection, now: float) -> bool:
        limit_s = min(self.MAX_IDLE_S, self.IDLE_LIMIT_FRACTION * connection.idle_limit_s)
        return now - connection.idle_since <= limit_s and connection.is_usable
