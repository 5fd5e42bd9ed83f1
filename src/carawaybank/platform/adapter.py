"""The adapter to the users' platform."""

from collections.abc import Mapping, Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from carawaybank.adapters import Place
from carawaybank.callers.requests import CallerRequest
from carawaybank.platform import decoding
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.platform.store import StoreClient
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Configuration, Evacuation
from carawaybank.routing.fleet import TargetEntry
from carawaybank.rows import Row

_JSON = [("content-type", "application/json")]


class PlatformAdapter:
    """Translates between the platform and the project's types."""

    orders_table = "op"
    targets_table = "servers"

    def __init__(self, *, store_address: str, regions: Mapping[str, str]) -> None:
        """Opens no connection yet.

        Args:
            store_address: ``IP:PORT`` of the platform's store.
            regions: Region by failure domain.
        """
        self._regions = regions
        self._store = StoreClient(address=store_address)
        self._dialect = PlatformDialect()

    @property
    def store(self) -> StoreClient:
        """The platform's store."""
        return self._store

    @property
    def dialect(self) -> PlatformDialect:
        """How the platform's callers and targets speak."""
        return self._dialect

    def read_order(self, row: Row) -> Configuration | Evacuation | None:
        """Returns what a row of the operators orders, or None if it orders nothing.

        Raises:
            DocumentError: If it cannot be read.
        """
        return decoding.read_order(row)

    def read_target(self, row: Row) -> TargetEntry:
        """Returns the target that a row announces.

        Raises:
            DocumentError: If it announces no target that can be used.
        """
        return decoding.read_target(row, regions=self._regions)

    def read_lookup(self, request: CallerRequest) -> Place:
        """Returns where the caller of a look-up is."""
        query = parse_qs(urlsplit(request.path).query)
        return Place(query.get("zone", [""])[0], query.get("region", [""])[0])

    def lookup_reply(self, addresses: Sequence[str], *, ttl_s: float) -> HttpReply:
        """Returns the answer to a look-up."""
        if not addresses:
            return HttpReply(503, _JSON, b"{}")
        return HttpReply(200, _JSON, msgspec.json.encode({"addrs": addresses, "ttlS": ttl_s}))
