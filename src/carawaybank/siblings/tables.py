"""The tables that an entry VM has read, served to siblings and read from them."""

import zlib
from collections import OrderedDict
from collections.abc import Sequence
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, ClientPool, ExchangeError, HttpCall
from carawaybank.replies import HttpReply
from carawaybank.rows import HistoryGoneError, Position, Rows, StoreError
from carawaybank.watch import TableWatch

TABLE_PATH = "/table"
CHANGES_PATH = "/changes"
#: Longest time in seconds that a sibling holds a call without news. A reader that lost its power
#: is noticed at the latest then, if its heartbeats and the kernel's probes show nothing.
_LONGEST_HOLD_S = 10.0
#: Longest time in seconds for an answer once it is no longer held.
_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.6
_OK = 200
_NOT_LOADED = 503
_GONE = 410
_HEADERS = [("content-type", "application/octet-stream")]
#: Largest table in bytes that is taken from a sibling; the store's largest answer is 1 MB a page.
_MOST_BYTES = 64_000_000
#: Encoded answers that are kept, so that followers who wait for the same change share one.
_KEPT_ANSWERS = 8


class TableServer:
    """Answers siblings that follow tables here."""

    def __init__(self, *, watches: Sequence[TableWatch]) -> None:
        """Takes the watched tables."""
        self._watches = {watch.table: watch for watch in watches}
        self._answers: OrderedDict[tuple[str, Position, int], bytes] = OrderedDict()

    async def answer(self, request: CallerRequest) -> HttpReply:
        """Answers a sibling's request for a table or its changes."""
        parts = urlsplit(request.path)
        query = parse_qs(parts.query)
        watch = self._watches.get(query.get("name", [""])[0])
        if watch is None:
            return HttpReply(404, [], b"")
        if not watch.is_loaded:
            return HttpReply(_NOT_LOADED, [], b"")
        if parts.path == TABLE_PATH:
            return HttpReply(_OK, _HEADERS, encode(watch.rows))
        try:
            after = Position(int(query["era"][0]), int(query["after"][0]))
            wait_ms = int(query["wait_ms"][0])
            found = await watch.changes_since(after, wait_s=min(_LONGEST_HOLD_S, wait_ms / 1000))
        except (KeyError, ValueError):
            return HttpReply(400, [], b"")
        except HistoryGoneError:
            return HttpReply(_GONE, [], b"")
        return HttpReply(_OK, _HEADERS, self._encode(watch.table, after, found))

    def _encode(self, table: str, after: Position, found: Rows) -> bytes:
        key = (table, after, found.version)
        if not found.rows or found.after_outage:
            return encode(found)
        if key not in self._answers:
            self._answers[key] = encode(found)
            if len(self._answers) > _KEPT_ANSWERS:
                self._answers.popitem(last=False)
        return self._answers[key]


class SiblingTables:
    """Reads tables from a sibling that has read them."""

    def __init__(self, *, address: str) -> None:
        """Takes the sibling's control address.

        Args:
            address: ``IP:PORT``.
        """
        self._address = address
        self._pool = ClientPool()

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: If the sibling does not answer.
        """
        return await self._call(f"{TABLE_PATH}?{urlencode({'name': table})}", _TIMEOUT_S)

    async def watch(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Returns the rows that changed after a position, once there are any.

        Raises:
            HistoryGoneError: If the sibling does not know the changes since then.
            StoreError: If the sibling does not answer.
        """
        held_s = min(_LONGEST_HOLD_S, wait_s)
        query = {
            "name": table,
            "era": after.era,
            "after": after.version,
            "wait_ms": int(held_s * 1000),
        }
        return await self._call(f"{CHANGES_PATH}?{urlencode(query)}", held_s + _TIMEOUT_S)

    async def _call(self, path: str, timeout_s: float) -> Rows:
        call = HttpCall("GET", path, [("Host", self._address)])
        try:
            connection = self._pool.take(self._address)
            if connection is None:
                connection = await ClientConnection.open(
                    self._address, timeout_s=_CONNECT_TIMEOUT_S, keep_alive=True
                )
            reply = await connection.exchange(call, timeout_s=timeout_s)
        except ExchangeError as error:
            raise StoreError(message=f"{self._address}: {error}") from None
        self._pool.put(self._address, connection)
        if reply.status == _GONE:
            raise HistoryGoneError(message=f"{self._address} kept no such history", status=_GONE)
        if reply.status != _OK:
            message = f"{self._address}: status {reply.status}: it has not read the table"
            raise StoreError(message=message, status=reply.status)
        return decode(reply.body)


def encode(found: Rows) -> bytes:
    """Returns rows as they are sent to a sibling: MessagePack, compressed.

    A configuration of a thousand routes goes to all VMs of a failure domain over the link of one.
    """
    return zlib.compress(msgspec.msgpack.encode(found))


def decode(data: bytes) -> Rows:
    """Returns the rows that a sibling sent.

    Raises:
        StoreError: If they cannot be read.
    """
    try:
        plain = zlib.decompressobj().decompress(data, _MOST_BYTES)
        return msgspec.msgpack.decode(plain, type=Rows)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(message=f"a sibling's rows cannot be read: {error}") from None
