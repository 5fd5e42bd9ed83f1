"""Row and position types of the shared store, and the interfaces to read and write it."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from carawaybank.exceptions import CarawaybankError
from carawaybank.inputs import loop_inputs

#: Rows that a table may have. Deployments have a few thousand.
MAX_TABLE_ROWS = 50_000
#: Bytes of memory that tables use at most, whatever the memory of the process.
_MAX_TABLE_BYTES = 64_000_000
#: Memory of a row beside its value, with what is decoded from it.
_ROW_BYTES = 1_000
#: Fraction of the memory of all messages that all tables may use. A table that is read uses its
#: bytes twice more while it is decoded.
_TABLE_FRACTION = 0.18


class StoreError(CarawaybankError):
    """A call to the store or to a sibling that serves its tables failed, or may have failed.

    Attributes:
        status: HTTP status of the response; 0 if there was none.
    """

    def __init__(self, *, message: str, status: int = 0) -> None:
        """Initializes the error with a message and the HTTP status."""
        super().__init__(message)
        self.status = status


class ConflictError(StoreError):
    """A row has another version than a transaction expects, so nothing was changed."""


class ConnectionBrokenError(StoreError):
    """The connection of a call broke, which does not show whether a new one would work."""


class HistoryGoneError(StoreError):
    """The store or reader no longer has the changes since the requested position."""


class Row(NamedTuple):
    """A row of a table.

    Attributes:
        key: Key of the row within its table.
        value: Content as bytes; empty if the row was removed.
        version: Version of the store at which the row was last changed.
        removed: Whether the change removed the row.
    """

    key: str
    value: bytes
    version: int
    removed: bool

    @property
    def memory_bytes(self) -> int:
        """Bytes of memory that the row uses while it is kept."""
        return _ROW_BYTES + len(self.key) + len(self.value)


def max_table_bytes() -> int:
    """Returns the bytes of memory that tables may use, so that some is left for other peers."""
    return min(_MAX_TABLE_BYTES, int(loop_inputs().memory.max_bytes * _TABLE_FRACTION))


def check_table_size(size: int, *, max_bytes: int) -> None:
    """Checks the size of a table.

    Args:
        size: Bytes of memory of all rows.
        max_bytes: Bytes that they may use.

    Raises:
        StoreError: If they use more.
    """
    if size > max_bytes:
        raise StoreError(message=f"its rows use {size} bytes of memory, more than {max_bytes}")


class Position(NamedTuple):
    """A point in the sequence of the store's changes; later positions compare as greater.

    Attributes:
        era: Number of times that the store was restored from an older backup. Each era has its own
            sequence of versions, so versions may be lower than in the era before.
        version: Version of the store within the era.

    >>> Position(2, 10) > Position(1, 99)
    True
    """

    era: int
    version: int


#: Position of a table that was not read yet.
INITIAL_POSITION = Position(0, 0)


class Rows(NamedTuple):
    """All rows, or the changed rows, of a table at a position of the store.

    Attributes:
        rows: All rows, or the changed rows.
        version: Version of the store at which they were read.
        after_outage: Whether the store was unreachable just before they were read.
        era: Era of the store in which they were read.
    """

    rows: list[Row]
    version: int
    after_outage: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the rows were read."""
        return Position(self.era, self.version)


class RowReader(Protocol):
    """An interface to read tables, from the store or from a sibling that reads the store."""

    async def read(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            StoreError: If the store or the sibling does not respond with usable rows.
        """

    async def poll_changes(self, table: str, *, after: Position, wait_s: float) -> Rows:
        """Waits for changes after a position and returns the changed rows.

        Args:
            table: Name of the table.
            after: Position up to which the caller has read the table.
            wait_s: Maximum time in seconds to wait for a change.

        Raises:
            HistoryGoneError: If the changes since that position are no longer available.
            StoreError: If the store or the sibling does not respond with usable rows.
        """


class RowStore(RowReader, Protocol):
    """An interface to read and write tables with versioned rows."""

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row.

        Raises:
            StoreError: If the store did not confirm the write.
        """

    async def remove(self, table: str, key: str) -> None:
        """Removes a row.

        Raises:
            StoreError: If the store did not confirm the removal.
        """

    async def commit(
        self, table: str, changes: Mapping[str, bytes | None], *, expected: Mapping[str, int]
    ) -> None:
        """Changes rows in one transaction, if others have the versions that are expected.

        Args:
            table: Name of the table.
            changes: New value by key; None removes the row.
            expected: Version that a row must have by key; 0 if it must not exist.

        Raises:
            ConflictError: If a row has another version.
            StoreError: If the store did not confirm the transaction.
        """

    async def read_prefix(self, table: str, prefix: str) -> Rows:
        """Returns all rows of a table whose keys start with a prefix.

        Raises:
            StoreError: If the store does not respond with usable rows.
        """


class TableUpdate(NamedTuple):
    """An update of a table: its changed rows, or all of its rows.

    Attributes:
        is_full: Whether ``rows`` are all rows of the table, so that any other row is gone.
        after_outage: Whether the store was unreachable just before the rows were read.
        is_backup: Whether the store has just been restored from a backup and these are its rows:
            some may be outdated, and missing rows may be written again.
        era: Era of the store in which the rows were read.
        reader: From whom they were read: the name of a sibling, or ``the store``.
    """

    rows: list[Row]
    is_full: bool
    after_outage: bool
    is_backup: bool = False
    era: int = 0
    reader: str = ""

    def with_prefix(self, prefix: str) -> "TableUpdate":
        """Returns the update with only the rows whose keys have a prefix, which is removed."""
        rows = [
            row._replace(key=row.key.removeprefix(prefix))
            for row in self.rows
            if row.key.startswith(prefix)
        ]
        return self._replace(rows=rows)


class ReaderSelector(Protocol):
    """Selects the reader for each call and tracks which readers fail."""

    def is_store(self, reader: RowReader) -> bool:
        """Returns whether a reader is the store itself."""

    def sibling_reader(self, vm: str) -> RowReader | None:
        """Returns the tables of a sibling; None if it is unknown or serves none."""

    def reader_name(self, reader: RowReader) -> str:
        """Returns the name of a sibling, or ``the store``."""

    @property
    def is_after_outage(self) -> bool:
        """Whether the store was recently unreachable, for this VM or for another that it knows."""

    def select_reader(self) -> RowReader:
        """Returns the store or the sibling to which the next call goes."""

    async def wait_for_call_slot(self, reader: RowReader) -> None:
        """Waits until a call may start; a failing store gets one call at a time, after a pause."""

    def record_success(self, reader: RowReader) -> None:
        """Records a successful call to a reader."""

    def record_failure(self, reader: RowReader, error: StoreError) -> None:
        """Records a failed call to a reader."""

    def record_break(self, reader: RowReader) -> None:
        """Records that an open connection to a reader broke."""

    def record_lag(self, reader: RowReader) -> None:
        """Records that a reader lacks a change that another sibling has."""
