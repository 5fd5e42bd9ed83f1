"""A simulated row store of the platform: reads, transactions and watches over HTTP.

It can be down (without responses, or with an error status), discard its history, apply writes
without a response, delete rows, and be restored from an older backup.
"""

import asyncio
import base64
import json
import math
import random
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.callers.listeners import Listener, listen
from carawaybank.callers.requests import CallerRequest
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits

Key = tuple[str, str]


class StoreLimits(NamedTuple):
    """What calls take and how many the store bears.

    Attributes:
        link_s: One-way delay in seconds between the store and its callers.
        answer_s: Time for a call other than a transaction, in seconds.
        transaction_s: Time for a transaction, in seconds.
        writes_per_s: Transactions per second; further ones are rejected.
        reads_per_s: Other calls per second; further ones are rejected.
        history_s: Seconds for which changes can be watched.
    """

    link_s: float = 0.0
    answer_s: float = 0.0
    transaction_s: float = 0.0
    writes_per_s: float = math.inf
    reads_per_s: float = math.inf
    history_s: float = math.inf


class _CallRate:
    """Counts calls against a rate, with a burst of one second."""

    def __init__(self, *, per_s: float) -> None:
        self._per_s = self._available = per_s
        self._counted_at = 0.0

    def admits(self, now: float) -> bool:
        """Returns whether a call is within the rate, and counts it if it is."""
        if self._per_s == math.inf:
            return True
        gained = (now - self._counted_at) * self._per_s
        self._available = min(self._per_s, self._available + gained)
        self._counted_at = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class Backup(NamedTuple):
    """State of the store at one time.

    Attributes:
        version: Version of the store.
        rows: Value and version of each row by table and key.
        changes: Version, table and key of each change since ``oldest_version``.
        oldest_version: Oldest version from which changes can be watched.
    """

    version: int
    rows: dict[Key, tuple[bytes, int]]
    changes: list[tuple[int, Key]]
    oldest_version: int


class RowStore:
    """Rows by table and key, with the changes since the start or the last compaction.

    Attributes:
        version: Version of the store; each transaction increments it.
        rows: Value and version of each row by table and key.
        changes: Version, table and key of each change since ``oldest_version``.
        oldest_version: Oldest version from which changes can be watched.
        era: Number of restores from a backup, plus one; 0 omits the header that reports it.
        is_unresponsive: Whether calls receive no response.
        response_delay_s: Seconds by which responses to new calls are late.
        error_status: Error status of all calls; 0 for normal operation.
        drops_responses: Whether transactions are applied without a response.
        calls: Paths and queries of all calls so far.
        slow_factor: Factor of the time that calls take.
        lost_share: Share of the calls that are performed without a response.
        rejected_calls: Number of calls beyond the rates so far.
    """

    def __init__(
        self,
        *,
        limits: StoreLimits | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty store that does not listen yet.

        Args:
            limits: What calls take and how many it bears; None for no delay and no limit.
            rng: Chooses the calls whose response is lost.
            clock: Returns the seconds by which calls are counted against the rates.
        """
        self._clock = clock
        self.version = 0
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.changes: list[tuple[int, Key]] = []
        self.oldest_version = 0
        self.era = 1
        self.is_unresponsive = False
        self.response_delay_s = 0.0
        self.error_status = 0
        self.drops_responses = False
        self.calls: list[str] = []
        self.slow_factor, self.lost_share = 1.0, 0.0
        self.rejected_calls = 0
        self._limits, self._rng = limits or StoreLimits(), rng or random.Random(0)
        self._writes = _CallRate(per_s=self._limits.writes_per_s)
        self._reads = _CallRate(per_s=self._limits.reads_per_s)
        self._changed_at: deque[tuple[float, int]] = deque()
        self._waiters: set[asyncio.Event] = set()
        self._connections: set[CallerConnection] = set()
        self._server: Listener | None = None

    @property
    def waiting_watches(self) -> int:
        """Number of watches that are waiting for a change."""
        return len(self._waiters)

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens at an address and returns it with the port in use."""
        context = ConnectionContext(handle=self._respond, limits=Limits, is_closing=lambda: False)
        connections = self._connections
        self._server = await listen(
            address, lambda: CallerConnection(context=context, connections=connections)
        )
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def put(self, table: str, key: str, value: object) -> None:
        """Writes a row, in JSON if the value is not bytes, and wakes all watches."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self._apply_changes({(table, key): data})

    async def delete(self, table: str, key: str) -> None:
        """Deletes a row and wakes all watches."""
        await self._apply_changes({(table, key): None})

    def compact(self) -> None:
        """Discards all changes and closes all connections; watches of older versions get 410."""
        self.oldest_version = self.version
        self.changes.clear()
        self.close_connections()

    def make_backup(self) -> Backup:
        """Returns a backup from which the store can be restored."""
        return Backup(self.version, dict(self.rows), list(self.changes), self.oldest_version)

    def restore(self, backup: Backup) -> None:
        """Restores a backup, increments the era and closes all connections."""
        self.version, self.oldest_version = backup.version, backup.oldest_version
        self.rows, self.changes = dict(backup.rows), list(backup.changes)
        self.era += 1
        self.close_connections()

    def set_error_status(self, status: int) -> None:
        """Closes all connections and responds to each call with an error status.

        Args:
            status: HTTP status of the responses; 0 ends the failure.
        """
        self.error_status = status
        if status:
            self.close_connections()

    def close_connections(self) -> None:
        """Closes all connections; new ones are accepted."""
        for connection in list(self._connections):
            connection.close()

    def value(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row; None if it does not exist."""
        row = self.rows.get((table, key))
        return row[0] if row else None

    async def _apply_changes(self, changed: dict[Key, bytes | None]) -> None:
        self.version += 1
        for key, data in changed.items():
            if data is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (data, self.version)
            self.changes.append((self.version, key))
        self._forget_changes()
        for waiter in self._waiters:
            waiter.set()

    def _forget_changes(self) -> None:
        """Discards changes that are older than the history."""
        if self._limits.history_s == math.inf:
            return
        now = asyncio.get_running_loop().time()
        self._changed_at.append((now, self.version))
        while self._changed_at[0][0] < now - self._limits.history_s:
            self.oldest_version = max(self.oldest_version, self._changed_at.popleft()[1])
        self.changes = [each for each in self.changes if each[0] > self.oldest_version]

    async def _respond(self, request: CallerRequest) -> HttpReply:
        reply = await self._respond_in_time(request)
        if not self.era:
            return reply
        return reply._replace(headers=[*reply.headers, ("Store-Era", str(self.era))])

    async def _respond_in_time(self, request: CallerRequest) -> HttpReply:
        """Returns the response to a call after its delay, unless it is rejected or lost."""
        limits = self._limits
        is_write = urlsplit(request.path).path == "/rows-tx"
        await _wait(limits.link_s)
        if not (self._writes if is_write else self._reads).admits(self._clock()):
            self.rejected_calls += 1
            await _wait(limits.link_s)
            return HttpReply(429, [], b"")
        work_s = limits.transaction_s if is_write else limits.answer_s
        await _wait(work_s * self.slow_factor)
        reply = await self._build_response(request)
        if self._rng.random() < self.lost_share:
            await asyncio.sleep(3600)
        await _wait(limits.link_s)
        return reply

    async def _build_response(self, request: CallerRequest) -> HttpReply:
        url = urlsplit(request.path)
        self.calls.append(request.path)
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        if self.response_delay_s:
            await asyncio.sleep(self.response_delay_s)
        if self.error_status:
            return HttpReply(self.error_status, [], b"")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return await self._commit(json.loads(request.body))
        if url.path == "/rows-feed":
            return await self._watch_changes(query)
        return self._read_rows(query)

    async def _commit(self, body: dict[str, list[dict[str, str]]]) -> HttpReply:
        expected = {(row["table"], row["key"]): int(row["ver"]) for row in body.get("expect", ())}
        current = {key: self.rows[key][1] if key in self.rows else 0 for key in expected}
        if current != expected:
            rows = [self._encode(key, version) for key, version in current.items()]
            return _json_reply({"rows": rows}, status=412)
        changed: dict[Key, bytes | None] = {}
        for row in body["puts"]:
            changed[(row["table"], row["key"])] = base64.b64decode(row["value"])
        for row in body["remove"]:
            changed[(row["table"], row["key"])] = None
        await self._apply_changes(changed)
        if self.drops_responses:
            await asyncio.sleep(3600)
        return _json_reply({"ver": self.version, "nowMs": 0})

    async def _watch_changes(self, query: dict[str, str]) -> HttpReply:
        after, table = int(query["after"]), query["table"]
        if not self.oldest_version <= after <= self.version:
            return HttpReply(410, [], b"")
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while not (keys := self._changed_keys(table, after)):
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0 or not await self._wait_for_change(remaining_s):
                break
        rows = [self._encode(key, version) for key, version in keys.items()]
        return _json_reply({"rows": rows, "ver": self.version, "nowMs": 0})

    async def _wait_for_change(self, timeout_s: float) -> bool:
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.wait()
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    def _changed_keys(self, table: str, after: int) -> dict[Key, int]:
        return {key: ver for ver, key in self.changes if ver > after and key[0] == table}

    def _read_rows(self, query: dict[str, str]) -> HttpReply:
        start, limit = query.get("from", ""), int(query.get("limit", "500"))
        end = query.get("to", "")
        keys = sorted(k for k in self.rows if k[0] == query["table"] and k[1] >= start)
        keys = [key for key in keys if not end or key[1] < end]
        rows = [self._encode(key, self.rows[key][1]) for key in keys[:limit]]
        more = len(keys) > limit
        return _json_reply({"rows": rows, "hasMore": more, "ver": self.version, "nowMs": 0})

    def _encode(self, key: Key, version: int) -> dict[str, object]:
        stored = self.rows.get(key)
        row: dict[str, object] = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if stored is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(stored[0]).decode()}


async def _wait(delay_s: float) -> None:
    """Waits without yielding to other tasks if there is no delay."""
    if delay_s > 0.0:
        await asyncio.sleep(delay_s)


def _json_reply(body: object, *, status: int = 200) -> HttpReply:
    content_type = ("content-type", "application/json")
    return HttpReply(status, [content_type], json.dumps(body).encode())
