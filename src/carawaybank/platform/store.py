"""The HTTP client of the platform's store."""

import asyncio
import base64
from collections.abc import Mapping
from typing import Annotated, Any, TypedDict
from urllib.parse import urlencode

import msgspec

from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.documents import MAX_NUMBER
from carawaybank.pool import ClientPool
from carawaybank.replies import HttpReply
from carawaybank.rows import (
    MAX_TABLE_ROWS,
    ConflictError,
    ConnectionBrokenError,
    HistoryGoneError,
    Position,
    Row,
    Rows,
    StoreError,
    max_table_bytes,
)
from carawaybank.verdicts import Reason

#: Timeout of a call, in addition to the time for which the store may hold it.
_CALL_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.6
_PAGE_ROWS = 500
#: Set on all responses: a number that rises when the store is restored from an older backup.
_ERA_HEADER = "Store-Era"
_MAX_ERA_DIGITS = 18
#: Siblings take no larger ones.
_Version = Annotated[int, msgspec.Meta(le=MAX_NUMBER)]


class _WireRow(TypedDict, total=False):
    key: str
    #: Base64.
    value: str
    ver: _Version
    deleted: bool


class _WireRows(TypedDict, total=False):
    rows: list[_WireRow]
    hasMore: bool
    #: Newest version of the whole store, not that of a row.
    ver: _Version


class StoreClient:
    """Reads, watches and writes rows over pooled connections.

    Attributes:
        calls: Number of calls by path, for metrics.
    """

    def __init__(self, *, address: str) -> None:
        """Starts without connections; the first call connects.

        Args:
            address: ``IP:PORT`` of the store.
        """
        self._address = address
        self._pool = ClientPool()
        self._opened_connections = 0
        #: Number of opened connections at the last response to a poll, by table.
        self._polled_at: dict[str, int] = {}
        self.calls: dict[str, int] = {}

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table, read page by page.

        Raises:
            StoreError: If a call fails, the store is restored from a backup between two pages, or
                its pages do not end within the memory of tables.
        """
        return await self._read_pages({"table": table, "part": ""})

    async def read_prefix(self, table: str, prefix: str) -> Rows:
        """Returns all rows of a table whose keys start with a prefix.

        Raises:
            StoreError: As for :meth:`read`.
        """
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        rows = await self._read_pages({"table": table, "part": "", "from": prefix, "to": end})
        return rows._replace(rows=[row for row in rows.rows if row.key.startswith(prefix)])

    async def _read_pages(self, query: dict[str, str]) -> Rows:
        rows: list[Row] = []
        size = 0
        query = {**query, "limit": str(_PAGE_ROWS)}
        first_position: Position | None = None
        while True:
            reply = await self._call("GET", f"/rows-get?{urlencode(query)}")
            page = _decode_rows(reply)
            last_key = rows[-1].key if rows else None
            page_rows = [_decode_row(wire_row) for wire_row in page.get("rows", [])]
            rows += page_rows
            size += sum(row.memory_bytes for row in page_rows)
            first_position = first_position or Position(_read_era(reply), page.get("ver", 0))
            if _read_era(reply) != first_position.era:
                raise StoreError(
                    message="the store was restored from an older backup between two pages"
                )
            if not page.get("hasMore") or not rows:
                return Rows(rows, first_position.version, era=first_position.era)
            if rows[-1].key == last_key or size > max_table_bytes():
                raise StoreError(message=f"its pages do not end, after {len(rows)} rows")
            query["from"] = rows[-1].key + "\x00"

    async def poll_changes(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Returns the rows that changed after a position, once there are any.

        If the store was restored from an older backup meanwhile, the result has the new era. Its
        rows are then the changes of the new era after the same version, so some may be missing.

        Args:
            table: Name of the table.
            after: Position after which changes are returned.
            wait_s: Seconds for which the store may hold the call while nothing changes.

        Raises:
            HistoryGoneError: If the store no longer has the changes since then.
            StoreError: If the call fails.
        """
        # The first poll of each table after a connection was opened is not held, because its
        # response shows the store's era. Connections are lost when the store is restored, and the
        # call of another table may have opened the one that this poll uses.
        is_confirmed = self._polled_at.get(table) == self._opened_connections
        wait_s = wait_s if is_confirmed and self._pool.has_usable(self._address) else 0.0
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": str(after.version), "waitMs": str(wait_ms)}
        timeout_s = wait_s + _CALL_TIMEOUT_S
        reply = await self._call("GET", f"/rows-feed?{urlencode(query)}", timeout_s=timeout_s)
        self._polled_at[table] = self._opened_connections
        page = _decode_rows(reply)
        rows = [_decode_row(wire_row) for wire_row in page.get("rows", [])]
        return Rows(rows, page.get("ver", after.version), era=_read_era(reply))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row.

        Raises:
            StoreError: If the store did not confirm the write; it may still have been applied.
        """
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
        await self._commit(puts=[row])

    async def remove(self, table: str, key: str) -> None:
        """Removes a row.

        Raises:
            StoreError: If the store did not confirm the removal; it may still have been applied.
        """
        await self._commit(remove=[{"table": table, "part": "", "key": key}])

    async def commit(
        self, table: str, changes: Mapping[str, bytes | None], *, expected: Mapping[str, int]
    ) -> None:
        """Changes rows in one transaction, if others have the versions that are expected.

        Args:
            table: Name of the table.
            changes: New value by key; None removes the row.
            expected: Version that a row must have by key; 0 if it must not exist.

        Raises:
            ConflictError: If a row has another version.
            StoreError: If the store did not confirm the transaction; it may still be applied later
                if the versions are still those expected.
        """
        rows = {key: {"table": table, "part": "", "key": key} for key in {*changes, *expected}}
        await self._commit(
            expect=[{**rows[key], "ver": version} for key, version in expected.items()],
            puts=[
                {**rows[key], "value": base64.b64encode(value).decode()}
                for key, value in changes.items()
                if value is not None
            ],
            remove=[rows[key] for key, value in changes.items() if value is None],
        )

    async def _commit(self, **entries: list[Any]) -> None:
        body = msgspec.json.encode({"expect": [], "puts": [], "remove": [], **entries})
        await self._call("POST", "/rows-tx", body=body)

    async def _call(
        self, method: str, path: str, *, body: bytes = b"", timeout_s: float = _CALL_TIMEOUT_S
    ) -> HttpReply:
        name = path.partition("?")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        headers = [("Host", self._address)]
        if body:
            headers.append(("Content-Type", "application/json"))
        call = HttpCall(method, path, headers, body)
        try:
            reply = await self._exchange(call, timeout_s)
        except ExchangeError as error:
            is_broken = error.reason is Reason.CONNECTION_LOST
            error_type = ConnectionBrokenError if is_broken else StoreError
            raise error_type(message=f"{name}: {error}") from None
        if reply.status == 410:
            raise HistoryGoneError(message=f"{name}: history is gone", status=410)
        if reply.status == 412:
            raise ConflictError(message=f"{name}: a row has another version", status=412)
        if reply.status != 200:
            raise StoreError(message=f"{name}: status {reply.status}", status=reply.status)
        return reply

    async def _exchange(self, call: HttpCall, timeout_s: float) -> HttpReply:
        connection = self._pool.acquire(self._address)
        if connection is None:
            connection = await ClientConnection.open(
                self._address, timeout_s=_CONNECT_TIMEOUT_S, keep_alive=True
            )
            self._opened_connections += 1
        try:
            reply = await connection.exchange(call, timeout_s=timeout_s)
        except asyncio.CancelledError:
            connection.close()
            raise
        self._pool.release(self._address, connection)
        return reply


def _decode_rows(reply: HttpReply) -> _WireRows:
    # Decoded rows use many times the memory of their shortest form, two braces.
    if reply.body.count(b"{") > MAX_TABLE_ROWS:
        raise StoreError(message=f"a response has more than {MAX_TABLE_ROWS} rows")
    try:
        return msgspec.json.decode(reply.body, type=_WireRows)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise StoreError(message=f"a response cannot be decoded: {error}") from None


def _read_era(reply: HttpReply) -> int:
    """Returns the era in a response; 0 if the store does not send one.

    Raises:
        StoreError: If the era is not a number.
    """
    text = reply.header(_ERA_HEADER) or "0"
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS):
        raise StoreError(message=f"the store sent an invalid era: {text[:40]!r}")
    return int(text)


def _decode_row(wire_row: _WireRow) -> Row:
    try:
        value = base64.b64decode(wire_row.get("value", "") or "")
    except ValueError:
        value = b""
    return Row(
        wire_row.get("key", ""), value, wire_row.get("ver", 0), bool(wire_row.get("deleted"))
    )
