"""What a platform's adapter provides to an entry VM."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from carawaybank.callers.requests import CallerRequest
from carawaybank.entry import Dialect
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Configuration, Evacuation
from carawaybank.routing.fleet import TargetEntry
from carawaybank.rows import Row, RowStore
from carawaybank.targets.checks import HealthDialect


class Place(NamedTuple):
    """Where a caller is; empty where it did not say."""

    failure_domain: str
    region: str


class FullDialect(Dialect, HealthDialect, Protocol):
    """Speaks to callers and targets, health checks included."""


class Adapter(Protocol):
    """Translates between one platform and the types of this project."""

    @property
    def store(self) -> RowStore:
        """The store that all entry VMs share."""

    @property
    def dialect(self) -> FullDialect:
        """How callers and targets speak."""

    @property
    def orders_table(self) -> str:
        """Table in which operators order configurations and evacuations."""

    @property
    def targets_table(self) -> str:
        """Table in which targets announce themselves."""

    def read_order(self, row: Row) -> Configuration | Evacuation | None:
        """Returns what a row of the operators orders, or None if it orders nothing.

        Raises:
            DocumentError: If it cannot be read.
        """

    def read_target(self, row: Row) -> TargetEntry:
        """Returns the target that a row announces.

        Raises:
            DocumentError: If it announces no target that can be used.
        """

    def read_lookup(self, request: CallerRequest) -> Place:
        """Returns where the caller of a look-up is."""

    def lookup_reply(self, addresses: Sequence[str], *, ttl_s: float) -> HttpReply:
        """Returns the answer to a look-up.

        Args:
            addresses: Where the caller may connect; none if that is not known.
            ttl_s: Seconds for which the caller may keep the answer.
        """
