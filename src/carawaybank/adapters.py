"""Interfaces that connect an entry VM to a platform.

An adapter decodes the rows of the platform's store and reads and writes its HTTP headers.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from carawaybank.callers.requests import CallerRequest
from carawaybank.callers.shedding import RefusalDialect
from carawaybank.handler import CallerDialect
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Configuration, Evacuation
from carawaybank.routing.target import TargetEntry
from carawaybank.rows import Row, RowStore
from carawaybank.targets.checks import HealthDialect


class Locality(NamedTuple):
    """Locality of a caller, and the host that it looks up.

    Attributes:
        failure_domain: Failure domain of the caller; empty if unknown.
        region: Region of the caller; empty if unknown.
        host: Host of its requests; empty if unknown.
    """

    failure_domain: str
    region: str
    host: str = ""


class FullDialect(CallerDialect, RefusalDialect, HealthDialect, Protocol):
    """HTTP conventions between an entry VM and its callers and targets, including health checks."""


class Adapter(Protocol):
    """Converts between the data formats of one platform and the types of this package."""

    @property
    def store(self) -> RowStore:
        """Store shared by all entry VMs."""

    @property
    def dialect(self) -> FullDialect:
        """HTTP conventions of the platform's callers and targets."""

    @property
    def operator_table(self) -> str:
        """Name of the table in which operators write configurations and evacuations."""

    @property
    def targets_table(self) -> str:
        """Name of the table in which targets announce themselves."""

    def read_operator_row(self, row: Row) -> Configuration | Evacuation | None:
        """Returns the configuration or evacuation in an operator row, or None if it has neither.

        Raises:
            DocumentError: If the row cannot be decoded.
        """

    def read_target(self, row: Row) -> TargetEntry:
        """Returns the target that a row announces.

        Raises:
            DocumentError: If the row does not announce a usable target.
        """

    def read_lookup(self, request: CallerRequest) -> Locality:
        """Returns the locality of the caller that sent a look-up."""

    def lookup_reply(self, addresses: Sequence[str], *, ttl_s: float) -> HttpReply:
        """Returns the response to a look-up.

        Args:
            addresses: Addresses that the caller may connect to; empty if none is known.
            ttl_s: Seconds for which the caller may cache the response.
        """
