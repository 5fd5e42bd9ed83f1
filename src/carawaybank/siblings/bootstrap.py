"""Tables that an entry VM fetches from siblings when it starts while the store cannot be read.

A VM that starts during an outage of the store fetches the tables from the seeds of its settings.
These rows may be outdated and are replaced as soon as the store responds. The departures of
targets that siblings know are fetched as well, because the store may lack them.
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
#: Seconds after the start in which only the store is read, before seeds are used.
_SEED_DELAY_S = 0.2
#: Seconds between attempts to fetch the tables from all seeds.
_RETRY_PAUSE_S = 0.25
_TIMEOUT_S = 0.6
#: Bytes of all departures that a sibling keeps, with names of a hundred characters.
_MAX_DEPARTURES_BYTES = 512_000
_OK = 200


class Bootstrap:
    """Fetches the watched tables from siblings at the start, and serves departures to siblings."""

    def __init__(
        self,
        *,
        watches: Sequence[TableWatch],
        departures: Departures,
        seeds: Sequence[str],
        own_address: str,
        journal: Journal,
    ) -> None:
        """Creates the bootstrap; ``run`` fetches the tables.

        Args:
            watches: Receive the rows of their tables.
            departures: The targets that announced that they are leaving.
            seeds: Control addresses of siblings, which may be stale.
            own_address: Control address of this VM, which may be among the seeds.
            journal: Logs failed attempts.
        """
        self._watches = watches
        self._departures = departures
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._journal = journal

    @property
    def is_loaded(self) -> bool:
        """Whether all tables were read, here or by a sibling."""
        return all(watch.is_loaded for watch in self._watches)

    def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the departures as JSON, in response to a sibling."""
        headers = [("content-type", "application/json")]
        return HttpReply(_OK, headers, msgspec.json.encode(self._departures.by_target_id))

    async def run(self) -> None:
        """Fetches from the seeds until all tables have been read, here or by a sibling."""
        await asyncio.sleep(_SEED_DELAY_S)
        while not self.is_loaded:
            await self._fetch_from_seeds()
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _fetch_from_seeds(self) -> None:
        """Fetches from all seeds concurrently until one has served all tables.

        A seed that does not respond therefore does not delay the others.
        """
        fetches = [asyncio.create_task(self._fetch(seed)) for seed in self._seeds]
        try:
            for finished in asyncio.as_completed(fetches):
                await finished
                if self.is_loaded:
                    return
        finally:
            for task in fetches:
                task.cancel()

    async def _fetch(self, seed: str) -> None:
        tables = SiblingTables(address=seed)
        try:
            self._departures.merge(await self._fetch_departures(seed))
            for watch in self._watches:
                # Tables of several seeds that wait for others would use up the memory.
                if not watch.is_loaded:
                    watch.use_initial_rows(await tables.read(watch.table))
        except (ExchangeError, StoreError, msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._journal.log("siblings", "no tables from a seed", seed=seed, reason=str(error))

    async def _fetch_departures(self, seed: str) -> dict[str, int]:
        connection = await ClientConnection.open(seed, timeout_s=_TIMEOUT_S)
        try:
            call = HttpCall("GET", DEPARTURES_PATH, [("Host", seed)])
            reply = await connection.exchange(
                call, timeout_s=_TIMEOUT_S, max_body_bytes=_MAX_DEPARTURES_BYTES
            )
        finally:
            connection.close()
        return msgspec.json.decode(reply.body, type=dict[str, int]) if reply.status == _OK else {}
