"""Serves the tables that an entry VM has read to its siblings, and reads them from siblings."""

import math
import zlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.pool import ClientPool
from carawaybank.replies import HttpReply
from carawaybank.rows import (
    MAX_TABLE_ROWS,
    ConnectionBrokenError,
    HistoryGoneError,
    Position,
    Rows,
    StoreError,
    max_table_bytes,
)
from carawaybank.verdicts import Reason
from carawaybank.watch import TableWatch

TABLE_PATH = "/table"
CHANGES_PATH = "/changes"
#: Longest time in seconds for which a sibling holds a call open without changes. It limits the time
#: until it is detected that a reader lost power, if missing heartbeats and TCP keep-alive probes do
#: not show that earlier.
_MAX_HOLD_S = 10.0
#: Time limit in seconds for a response, in addition to the time for which the call is held.
_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.6
_OK = 200
_NOT_LOADED = 503
_FOLLOWS_SIBLING = 409
_GONE = 410
_HEADERS = [("content-type", "application/octet-stream")]
#: Header with the seconds since the store had nothing newer than the sender, in decimal notation;
#: ``inf`` if that is not known. Builds without strict revocation neither send nor read it.
_PROOF_AGE_HEADER = "Proof-Age"
#: Largest decompressed table in bytes that is decoded.
_MAX_BYTES = 64_000_000
#: First bytes of MessagePack for an array of up to 15 elements, and of arrays whose length follows
#: in two and in four bytes.
_SHORT_ARRAYS = range(0x90, 0xA0)
_LENGTH_BYTES = {0xDC: 2, 0xDD: 4}
#: Number of encoded responses that are cached, because many followers wait for the same change.
_MAX_CACHED_RESPONSES = 8


class TableServer:
    """Serves the tables that this VM watches to siblings that follow them."""

    def __init__(
        self,
        *,
        watches: Sequence[TableWatch],
        proof_age_s: Callable[[str], float | None] = lambda table: None,
    ) -> None:
        """Serves tables.

        Args:
            watches: Watches of the tables.
            proof_age_s: Returns the age of the proof that a table is current; None if siblings are
                not told.
        """
        self._proof_age_s = proof_age_s
        self._watches = {watch.table: watch for watch in watches}
        self._cached_responses: OrderedDict[tuple[str, Position, int], bytes] = OrderedDict()

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the response to a sibling's request for a table or its changes.

        The status is 400 for an invalid query, 404 for an unknown table, 410 if the changes since
        the position are not kept any more, 503 if the table has not been read yet, and 409 if the
        call would wait although this VM follows a sibling itself. VMs that follow each other in a
        circle would wait for each other.
        """
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
            if wait_ms and watch.is_read_from_sibling:
                return HttpReply(_FOLLOWS_SIBLING, [], b"")
            table_rows = await watch.changes_since(after, wait_s=min(_MAX_HOLD_S, wait_ms / 1000))
        except (KeyError, ValueError):
            return HttpReply(400, [], b"")
        except HistoryGoneError:
            return HttpReply(_GONE, [], b"")
        headers = list(_HEADERS)
        age_s = self._proof_age_s(watch.table)
        if age_s is not None:
            headers.append((_PROOF_AGE_HEADER, f"{age_s:.3f}"))
        return HttpReply(_OK, headers, self._encode(watch.table, after, table_rows))

    def _encode(self, table: str, after: Position, table_rows: Rows) -> bytes:
        key = (table, after, table_rows.version)
        if not table_rows.rows or table_rows.after_outage:
            return encode(table_rows)
        if key not in self._cached_responses:
            self._cached_responses[key] = encode(table_rows)
            if len(self._cached_responses) > _MAX_CACHED_RESPONSES:
                self._cached_responses.popitem(last=False)
        return self._cached_responses[key]


class SiblingTables:
    """Reads tables from a sibling over pooled connections."""

    def __init__(self, *, address: str) -> None:
        """Starts without connections.

        Args:
            address: Control address of the sibling, as ``IP:PORT``.
        """
        self._address = address
        self._pool = ClientPool()

    @property
    def address(self) -> str:
        """Control address of the sibling."""
        return self._address

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: If the sibling does not respond, has not read the table, or sends rows that
                cannot be decoded.
        """
        return await self._call(f"{TABLE_PATH}?{urlencode({'name': table})}", _TIMEOUT_S)

    async def poll_changes(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Returns the rows that changed after a position, once there are any.

        Raises:
            HistoryGoneError: If the sibling does not keep the changes since that position.
            StoreError: If the sibling does not respond, has not read the table, or sends rows that
                cannot be decoded.
        """
        held_s = min(_MAX_HOLD_S, wait_s)
        path = _changes_path(table, after, wait_ms=int(held_s * 1000))
        return await self._call(path, held_s + _TIMEOUT_S)

    async def read_proof_age_s(self, table: str, *, after: Position) -> float | None:
        """Returns the seconds since it was proven that nothing newer than a position existed.

        The result is infinity if the sibling has something newer or no proof, and None if its build
        or settings have no proofs.

        Raises:
            StoreError: If the sibling does not respond, has not read the table, or sends rows that
                cannot be decoded.
        """
        reply = await self._exchange(_changes_path(table, after, wait_ms=0), _TIMEOUT_S)
        text = reply.header(_PROOF_AGE_HEADER)
        if text is None:
            return None
        try:
            age_s = float(text)
        except ValueError:
            return None
        has_rows = bool(decode(reply.body, max_bytes=max_table_bytes()).rows)
        return age_s if age_s >= 0 and not has_rows else math.inf

    async def _call(self, path: str, timeout_s: float) -> Rows:
        reply = await self._exchange(path, timeout_s)
        return decode(reply.body, max_bytes=max_table_bytes())

    async def _exchange(self, path: str, timeout_s: float) -> HttpReply:
        call = HttpCall("GET", path, [("Host", self._address)])
        try:
            connection = self._pool.acquire(self._address)
            if connection is None:
                connection = await ClientConnection.open(
                    self._address, timeout_s=_CONNECT_TIMEOUT_S, keep_alive=True
                )
            reply = await connection.exchange(call, timeout_s=timeout_s)
        except ExchangeError as error:
            is_broken = error.reason is Reason.CONNECTION_LOST
            error_type = ConnectionBrokenError if is_broken else StoreError
            raise error_type(message=f"{self._address}: {error}") from None
        self._pool.release(self._address, connection)
        if reply.status == _GONE:
            raise HistoryGoneError(message=f"{self._address} lacks these changes", status=_GONE)
        if reply.status == _FOLLOWS_SIBLING:
            message = f"{self._address} follows a sibling itself"
            raise StoreError(message=message, status=reply.status)
        if reply.status != _OK:
            message = f"{self._address}: status {reply.status}: it has not read the table"
            raise StoreError(message=message, status=reply.status)
        return reply


def _changes_path(table: str, after: Position, *, wait_ms: int) -> str:
    query = {"name": table, "era": after.era, "after": after.version, "wait_ms": wait_ms}
    return f"{CHANGES_PATH}?{urlencode(query)}"


def encode(table_rows: Rows) -> bytes:
    """Encodes rows for a sibling as MessagePack, compressed with zlib.

    They are compressed because a reader sends a configuration of a thousand routes to all VMs of
    its failure domain over its own link.
    """
    return zlib.compress(msgspec.msgpack.encode(table_rows))


def decode(data: bytes, *, max_bytes: int = _MAX_BYTES) -> Rows:
    """Decodes the rows that a sibling sent.

    Args:
        data: The encoded rows.
        max_bytes: Bytes that they may have when they are decompressed.

    Raises:
        StoreError: If they are truncated, invalid or too large.
    """
    try:
        plain = zlib.decompressobj().decompress(data, max_bytes)
        if _count_rows(plain) > MAX_TABLE_ROWS:
            raise StoreError(message=f"a sibling sent more than {MAX_TABLE_ROWS} rows")
        return msgspec.msgpack.decode(plain, type=Rows)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(message=f"the rows of a sibling cannot be decoded: {error}") from None


def _count_rows(plain: bytes) -> int:
    """Returns the number of rows that encoded rows begin with.

    Raises:
        StoreError: If they do not begin as siblings encode them.
    """
    kind = plain[1] if len(plain) > 1 else 0
    if (
        not plain
        or plain[0] not in _SHORT_ARRAYS
        or (kind not in _SHORT_ARRAYS and kind not in _LENGTH_BYTES)
    ):
        raise StoreError(message="the rows of a sibling have another form")
    if kind in _SHORT_ARRAYS:
        return kind - _SHORT_ARRAYS.start
    return int.from_bytes(plain[2 : 2 + _LENGTH_BYTES[kind]], "big")
