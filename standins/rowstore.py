"""A stand-in for the platform's store of rows: reads, changes and watches over HTTP.

It can be down (silent or refusing calls), forget its history, lose answers, drop rows, and return
from an older copy of itself.
"""

import asyncio
import base64
import json
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from carawaybank.callers.front import CallerConnection, Gate
from carawaybank.callers.listeners import listen
from carawaybank.callers.requests import CallerRequest
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Limits

Key = tuple[str, str]


class Copy(NamedTuple):
    """What the store held at a moment."""

    version: int
    rows: dict[Key, tuple[bytes, int]]
    changes: list[tuple[int, Key]]
    oldest: int


class RowStore:
    """Rows by table and key, with the changes since the start or the last compaction."""

    def __init__(self) -> None:
        """Starts empty."""
        self.version = 0
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.changes: list[tuple[int, Key]] = []
        self.oldest = 0
        #: Number of its returns from a copy, plus one; 0 for a store that says nothing of it.
        self.era = 1
        self.is_silent = False
        self.status = 0
        self.loses_answers = False
        #: Paths with queries of the calls so far.
        self.calls: list[str] = []
        self._waiters: set[asyncio.Event] = set()
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def waiting(self) -> int:
        """Watches that wait for news now."""
        return len(self._waiters)

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens; returns the address."""
        gate = Gate(handle=self._answer, limits=Limits, is_closing=lambda: False)
        connections = self._connections
        self._server = await listen(
            address, lambda: CallerConnection(gate=gate, connections=connections)
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
        """Writes a row as the platform does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self._change({(table, key): data})

    async def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._change({(table, key): None})

    def forget_history(self) -> None:
        """Cuts all watches and makes those of older versions fail."""
        self.oldest = self.version
        self.changes.clear()
        self._cut()

    def copy(self) -> Copy:
        """Returns a copy from which it may return."""
        return Copy(self.version, dict(self.rows), list(self.changes), self.oldest)

    def return_from(self, copy: Copy) -> None:
        """Loses what was written since a copy was made; cuts all connections."""
        self.version, self.oldest = copy.version, copy.oldest
        self.rows, self.changes = dict(copy.rows), list(copy.changes)
        self.era += 1
        self._cut()

    def fail(self, status: int) -> None:
        """Cuts all connections and answers each call with a status until it is 0."""
        self.status = status
        if status:
            self._cut()

    def _cut(self) -> None:
        for connection in list(self._connections):
            connection.close()

    def value(self, table: str, key: str) -> bytes | None:
        """Returns the bytes of a row, or None."""
        found = self.rows.get((table, key))
        return found[0] if found else None

    async def _change(self, changed: dict[Key, bytes | None]) -> None:
        self.version += 1
        for key, data in changed.items():
            if data is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (data, self.version)
            self.changes.append((self.version, key))
        for waiter in self._waiters:
            waiter.set()

    async def _answer(self, request: CallerRequest) -> HttpReply:
        reply = await self._find_answer(request)
        if not self.era:
            return reply
        return reply._replace(headers=[*reply.headers, ("Store-Era", str(self.era))])

    async def _find_answer(self, request: CallerRequest) -> HttpReply:
        url = urlsplit(request.path)
        self.calls.append(request.path)
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.status:
            return HttpReply(self.status, [], b"")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        if url.path == "/rows-feed":
            return await self._watch(query)
        return self._read(query)

    async def _transact(self, body: dict[str, list[dict[str, str]]]) -> HttpReply:
        changed: dict[Key, bytes | None] = {}
        for row in body["puts"]:
            changed[(row["table"], row["key"])] = base64.b64decode(row["value"])
        for row in body["remove"]:
            changed[(row["table"], row["key"])] = None
        await self._change(changed)
        if self.loses_answers:
            await asyncio.sleep(3600)
        return _reply({"ver": self.version, "nowMs": 0})

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        after, table = int(query["after"]), query["table"]
        if not self.oldest <= after <= self.version:
            return HttpReply(410, [], b"")
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while not (keys := self._changed_keys(table, after)):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0 or not await self._wait_for_change(left_s):
                break
        rows = [self._encode(key, version) for key, version in keys.items()]
        return _reply({"rows": rows, "ver": self.version, "nowMs": 0})

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

    def _read(self, query: dict[str, str]) -> HttpReply:
        start, limit = query.get("from", ""), int(query.get("limit", "500"))
        keys = sorted(k for k in self.rows if k[0] == query["table"] and k[1] >= start)
        rows = [self._encode(key, self.rows[key][1]) for key in keys[:limit]]
        more = len(keys) > limit
        return _reply({"rows": rows, "hasMore": more, "ver": self.version, "nowMs": 0})

    def _encode(self, key: Key, version: int) -> dict[str, object]:
        found = self.rows.get(key)
        row: dict[str, object] = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if found is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(found[0]).decode()}


def _reply(body: object) -> HttpReply:
    return HttpReply(200, [("content-type", "application/json")], json.dumps(body).encode())
