"""Rows of the shared store, which entry VMs read, follow and write."""

from typing import NamedTuple, Protocol

from carawaybank.exceptions import CarawaybankError


class StoreError(CarawaybankError):
    """The store did not perform a call, or nobody knows whether it did.

    Attributes:
        status: HTTP status; 0 without an answer.
    """

    def __init__(self, *, message: str, status: int = 0) -> None:
        """Describes the failure."""
        super().__init__(message)
        self.status = status


class HistoryGoneError(StoreError):
    """The store no longer knows the changes since the version asked for."""


class Row(NamedTuple):
    """A row of a table.

    Attributes:
        key: Its key.
        value: Its bytes; empty if it was removed.
        version: Its version.
        removed: Whether it was removed.
    """

    key: str
    value: bytes
    version: int
    removed: bool


class Position(NamedTuple):
    """A moment in the life of the store; a later one compares as greater.

    Attributes:
        era: Number of the store's returns from an older copy; versions start anew with each.
        version: The store's version within the era.

    >>> Position(2, 10) > Position(1, 99)
    True
    """

    era: int
    version: int


#: Position before anything was read.
BEGINNING = Position(0, 0)


class Rows(NamedTuple):
    """Rows of a table as of a version of the store.

    Attributes:
        rows: Rows, or changed rows.
        version: The store's version when they were read.
        after_outage: Whether the store was out of reach just before they were read.
        era: The store's era when they were read.
    """

    rows: list[Row]
    version: int
    after_outage: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """When they were read."""
        return Position(self.era, self.version)


class RowReader(Protocol):
    """Something that tells the rows of tables: the store, or a sibling that reads it."""

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: If the store does not answer.
        """

    async def watch(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Returns the rows that changed after a position, once there are any.

        Raises:
            HistoryGoneError: If the changes since then are not known any more.
            StoreError: If the store does not answer.
        """


class RowStore(RowReader, Protocol):
    """A store of tables whose rows have versions."""

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row.

        Raises:
            StoreError: If the store did not confirm it.
        """

    async def remove(self, table: str, key: str) -> None:
        """Removes a row.

        Raises:
            StoreError: If the store did not confirm it.
        """
