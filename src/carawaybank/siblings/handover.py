"""What an entry VM fetches from siblings when it starts while the store cannot be read.

A VM that starts during an outage of the store asks the seeds of its settings. What it gets may be
old; it is replaced as soon as the store answers. What siblings heard from targets that leave comes
with it, because the store may not have it.
"""

import asyncio
from collections.abc import Sequence

import msgspec

from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, ExchangeError, HttpCall
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.departures import Departures
from carawaybank.rows import StoreError
from carawaybank.siblings.tables import SiblingTables
from carawaybank.watch import TableWatch

DEPARTURES_PATH = "/departures"
#: Seconds for which a start waits for the store before it asks siblings.
_STORE_FIRST_S = 0.2
#: Seconds between rounds of asking all seeds.
_PAUSE_S = 0.25
_TIMEOUT_S = 0.6
_OK = 200


class Handover:
    """Fetches the watched tables from siblings at the start, and serves departures to them."""

    def __init__(
        self,
        *,
        watches: Sequence[TableWatch],
        departures: Departures,
        seeds: Sequence[str],
        own_address: str,
        journal: Journal,
    ) -> None:
        """Takes the parts.

        Args:
            watches: The watched tables.
            departures: The targets that said that they leave.
            seeds: Control addresses of siblings, which may be stale.
            own_address: Control address of this VM, which may be among the seeds.
            journal: Where attempts are noted.
        """
        self._watches = watches
        self._departures = departures
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._journal = journal

    @property
    def is_loaded(self) -> bool:
        """Whether all tables were read, here or by a sibling."""
        return all(watch.is_loaded for watch in self._watches)

    def answer(self, request: CallerRequest) -> HttpReply:
        """Answers a sibling that asks for the departures."""
        headers = [("content-type", "application/json")]
        return HttpReply(_OK, headers, msgspec.json.encode(self._departures.all))

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
        tables = SiblingTables(address=seed)
        try:
            left = await self._fetch_departures(seed)
            found = [await tables.read(watch.table) for watch in self._watches]
        except (ExchangeError, StoreError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._journal.note("siblings", "no tables from a seed", seed=seed, reason=str(error))
            return
        self._departures.merge(left)
        for watch, rows in zip(self._watches, found, strict=True):
            watch.adopt(rows)

    async def _fetch_departures(self, seed: str) -> dict[str, int]:
        connection = await ClientConnection.open(seed, timeout_s=_TIMEOUT_S)
        try:
            call = HttpCall("GET", DEPARTURES_PATH, [("Host", seed)])
            reply = await connection.exchange(call, timeout_s=_TIMEOUT_S)
        finally:
            connection.close()
        return msgspec.json.decode(reply.body, type=dict[str, int]) if reply.status == _OK else {}
