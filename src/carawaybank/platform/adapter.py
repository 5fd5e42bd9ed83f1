"""The entry point to the users' platform: its store, rows, look-ups, callers and targets."""

from collections.abc import Mapping, Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from carawaybank.adapters import Locality
from carawaybank.callers.requests import CallerRequest
from carawaybank.platform import decoding
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.platform.store import StoreClient
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Configuration, Evacuation
from carawaybank.routing.target import TargetEntry
from carawaybank.rows import Row

_JSON_HEADERS = [("content-type", "application/json")]


class PlatformAdapter:
    """Translates between the platform's wire formats and the project's types.

    It implements :class:`carawaybank.adapters.Adapter`.
    """

    operator_table = "op"
    targets_table = "servers"

    def __init__(self, *, store_address: str, regions: Mapping[str, str]) -> None:
        """Creates the adapter; the store's client connects with its first call.

        Args:
            store_address: ``IP:PORT`` of the platform's store.
            regions: Names of regions by failure domain.
        """
        self._regions = regions
        self._store = StoreClient(address=store_address)
        self._dialect = PlatformDialect()

    @property
    def store(self) -> StoreClient:
        """The client of the platform's store."""
        return self._store

    @property
    def dialect(self) -> PlatformDialect:
        """The HTTP conventions of the platform's callers and targets."""
        return self._dialect

    def read_operator_row(self, row: Row) -> Configuration | Evacuation | None:
        """Returns the configuration or evacuation in an operator row, or None for other rows.

        Raises:
            DocumentError: If the row cannot be decoded.
        """
        return decoding.read_operator_row(row)

    def read_target(self, row: Row) -> TargetEntry:
        """Returns the target that a row of the targets' table describes.

        Raises:
            DocumentError: If the row cannot be decoded or describes no usable target.
        """
        return decoding.read_target(row, regions=self._regions)

    def read_lookup(self, request: CallerRequest) -> Locality:
        """Returns the locality in a look-up's query; a part that is not stated is empty."""
        query = parse_qs(urlsplit(request.path).query)
        zone, region, name = (query.get(key, [""])[0] for key in ("zone", "region", "name"))
        return Locality(zone, region, name)

    def lookup_reply(self, addresses: Sequence[str], *, ttl_s: float) -> HttpReply:
        """Returns the response to a look-up: 503 if there is no address.

        Args:
            addresses: ``IP:PORT`` of the entry VMs to use.
            ttl_s: Seconds for which the caller may cache the response.
        """
        if not addresses:
            return HttpReply(503, _JSON_HEADERS, b"{}")
        return HttpReply(
            200, _JSON_HEADERS, msgspec.json.encode({"addrs": addresses, "ttlS": ttl_s})
        )
