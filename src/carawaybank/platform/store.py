"""The client of the platform's store."""

import asyncio
import base64
from typing import TypedDict
from urllib.parse import urlencode

import msgspec

from carawaybank.client import ClientConnection, ClientPool, ExchangeError, HttpCall
from carawaybank.replies import HttpReply
from carawaybank.rows import HistoryGoneError, Position, Row, Rows, StoreError

#: Longest time in seconds for a call that does not wait for news.
_CALL_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.6
_PAGE = 500
#: Header of all answers: a number that rises when the store returns from an older copy.
_ERA_HEADER = "Store-Era"


class _WireRow(TypedDict, total=False):
    key: str
    #: Base64.
    value: str
    ver: int
    deleted: bool


class _WireRows(TypedDict, total=False):
    rows: list[_WireRow]
    hasMore: bool
    #: The newest version of the whole store, not that of a row.
    ver: int


class StoreClient:
    """Reads, watches and writes rows."""

    def __init__(self, *, address: str) -> None:
        """Takes the store's address.

        Args:
            address: ``IP:PORT``.
        """
        self._address = address
        self._pool = ClientPool()
        #: Calls by path, for metrics.
        self.calls: dict[str, int] = {}

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: If the store does not answer.
        """
        rows: list[Row] = []
        query = {"table": table, "part": "", "limit": str(_PAGE)}
        first: Position | None = None
        while True:
            reply = await self._call("GET", f"/rows-get?{urlencode(query)}")
            page = _decode(reply)
            rows.extend(_row(raw) for raw in page.get("rows", []))
            first = first or Position(_era(reply), page.get("ver", 0))
            if _era(reply) != first.era:
                raise StoreError(message="the store returned from a copy between two pages")
            if not page.get("hasMore") or not rows:
                return Rows(rows, first.version, era=first.era)
            query["from"] = rows[-1].key + "\x00"

    async def watch(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Returns the rows that changed after a position, once there are any.

        The answer of a store that has returned from a copy meanwhile bears its new era; its rows
        are then those of the new era after the same version, which are not all that changed.

        Raises:
            HistoryGoneError: If the changes since then are not known any more.
            StoreError: If the store does not answer.
        """
        # The first call on a connection is not held: its answer tells the store's era.
        is_connected = self._pool.has(self._address)
        wait_s = wait_s if is_connected else 0.0
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": str(after.version), "waitMs": str(wait_ms)}
        timeout_s = wait_s + _CALL_TIMEOUT_S
        reply = await self._call("GET", f"/rows-feed?{urlencode(query)}", timeout_s=timeout_s)
        page = _decode(reply)
        rows = [_row(raw) for raw in page.get("rows", [])]
        return Rows(rows, page.get("ver", after.version), era=_era(reply))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row.

        Raises:
            StoreError: If the store did not confirm it.
        """
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
        await self._change(puts=[row], remove=[])

    async def remove(self, table: str, key: str) -> None:
        """Removes a row.

        Raises:
            StoreError: If the store did not confirm it.
        """
        await self._change(puts=[], remove=[{"table": table, "part": "", "key": key}])

    async def _change(self, *, puts: list[dict[str, str]], remove: list[dict[str, str]]) -> None:
        body = msgspec.json.encode({"expect": [], "puts": puts, "remove": remove})
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
            raise StoreError(message=f"{name}: {error}") from None
        if reply.status == 410:
            raise HistoryGoneError(message=f"{name}: history is gone", status=410)
        if reply.status != 200:
            raise StoreError(message=f"{name}: status {reply.status}", status=reply.status)
        return reply

    async def _exchange(self, call: HttpCall, timeout_s: float) -> HttpReply:
        connection = self._pool.take(self._address)
        if connection is None:
            connection = await ClientConnection.open(
                self._address, timeout_s=_CONNECT_TIMEOUT_S, keep_alive=True
            )
        try:
            reply = await connection.exchange(call, timeout_s=timeout_s)
        except asyncio.CancelledError:
            connection.close()
            raise
        self._pool.put(self._address, connection)
        return reply


def _decode(reply: HttpReply) -> _WireRows:
    try:
        return msgspec.json.decode(reply.body, type=_WireRows)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(message=f"an answer cannot be read: {error}") from None


def _era(reply: HttpReply) -> int:
    """Returns the era of an answer; 0 from a store that names none.

    Raises:
        StoreError: If it is no number.
    """
    text = reply.header(_ERA_HEADER) or "0"
    if not (text.isascii() and text.isdigit()):
        raise StoreError(message=f"the store's era cannot be read: {text!r}")
    return int(text)


def _row(raw: _WireRow) -> Row:
    try:
        value = base64.b64decode(raw.get("value", "") or "")
    except ValueError:
        value = b""
    return Row(raw.get("key", ""), value, raw.get("ver", 0), bool(raw.get("deleted")))
