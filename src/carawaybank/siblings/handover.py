"""What one entry VM read from the store, fetched by a sibling that cannot read it.

A VM that starts during an outage of the store asks the seeds of its settings. What it gets may be
old; it is replaced as soon as the store answers.
"""

import asyncio
import base64
from collections.abc import Sequence
from typing import TypedDict

import msgspec

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.rows import Row, Rows
from carawaybank.watch import TableWatch

TABLES_PATH = "/tables"
#: Seconds for which a start waits for the store before it asks siblings.
_STORE_FIRST_S = 0.2
#: Seconds between rounds of asking all seeds.
_PAUSE_S = 0.25
_TIMEOUT_S = 0.6
_OK = 200
_NOT_LOADED = 503


class _Table(TypedDict):
    version: int
    #: Key, value in base64 and version of each row.
    rows: list[tuple[str, str, int]]


class Handover:
    """Serves the watched tables to siblings, and fetches them from siblings at the start."""

    def __init__(
        self,
        *,
        watches: Sequence[TableWatch],
        seeds: Sequence[str],
        own_address: str,
        journal: Journal,
    ) -> None:
        """Takes the parts.

        Args:
            watches: The watched tables.
            seeds: Control addresses of siblings, which may be stale.
            own_address: Control address of this VM, which may be among the seeds.
            journal: Where attempts are noted.
        """
        self._watches = watches
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._journal = journal

    @property
    def is_loaded(self) -> bool:
        """Whether all tables were read, here or by a sibling."""
        return all(watch.is_loaded for watch in self._watches)

    def answer(self, request: CallerRequest) -> HttpReply:
        """Answers a sibling's request."""
        if not self.is_loaded:
            return HttpReply(_NOT_LOADED, [], b"")
        tables = {watch.table: _encode(watch.rows) for watch in self._watches}
        headers = [("content-type", "application/json")]
        return HttpReply(_OK, headers, msgspec.json.encode(tables))

    async def run(self) -> None:
        """Asks the seeds until all tables were read, here or by a sibling."""
        await asyncio.sleep(_STORE_FIRST_S)
        while not self.is_loaded:
            await self._ask_all()
            await asyncio.sleep(_PAUSE_S)

    async def _ask_all(self) -> None:
        """Asks all seeds at once, so that a silent one delays nothing, until one has answered."""
        asked = [asyncio.create_task(self._fetch(seed)) for seed in self._seeds]
        try:
            for answer in asyncio.as_completed(asked):
                await answer
                if self.is_loaded:
                    return
        finally:
            for task in asked:
                task.cancel()

    async def _fetch(self, seed: str) -> None:
        call = HttpCall("GET", TABLES_PATH, [("Host", seed)])
        try:
            connection = await ClientConnection.open(seed, timeout_s=_TIMEOUT_S)
            try:
                reply = await connection.exchange(call, timeout_s=_TIMEOUT_S)
            finally:
                connection.close()
            if reply.status != _OK:
                self._note_failure(seed, f"status {reply.status}: it has not read all tables")
                return
            tables = msgspec.json.decode(reply.body, type=dict[str, _Table])
        except (ExchangeError, msgspec.MsgspecError) as error:
            self._note_failure(seed, str(error))
            return
        for watch in self._watches:
            if watch.table in tables:
                watch.adopt(_decode(tables[watch.table]))

    def _note_failure(self, seed: str, reason: str) -> None:
        self._journal.note("siblings", "no tables from a seed", seed=seed, reason=reason)


def _encode(found: Rows) -> _Table:
    rows = [(row.key, base64.b64encode(row.value).decode(), row.version) for row in found.rows]
    return {"version": found.version, "rows": rows}


def _decode(table: _Table) -> Rows:
    rows = [Row(key, base64.b64decode(value), ver, False) for key, value, ver in table["rows"]]
    return Rows(rows, table["version"])
