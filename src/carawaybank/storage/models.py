"""Protocols and documents of the platform's services, which HTTP clients and fakes implement."""

from typing import Any, Literal, NamedTuple, Protocol, TypedDict


class Row(TypedDict):
    """A row of the table.

    Attributes:
        key: Key of the row.
        value: Any JSON value.
        version: 1 after the first write, and one higher after each further write.
    """

    key: str
    value: Any
    version: int


class Write(NamedTuple):
    """A conditional write of one row.

    Attributes:
        key: Key of the row.
        value: The new value; None deletes the row.
        if_version: Version that the row must have; 0 if it must not exist, None for no condition.
    """

    key: str
    value: Any
    if_version: int | None = None


class ListedVm(TypedDict):
    """An entry of the VM list.

    Attributes:
        name: Name of the VM.
        state: Whether the VM runs or is about to be removed.
    """

    name: str
    state: Literal["live", "leaving"]


class Table(Protocol):
    """The transactional table service. All methods raise ``PlatformError``."""

    def get(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""

    def scan(self, prefix: str, *, after: str = "", limit: int = 100) -> list[Row]:
        """Returns at most ``limit`` rows with the key prefix that follow ``after``, in order."""

    def commit(self, writes: list[Write]) -> str | None:
        """Applies all writes or none.

        Returns:
            None if they were applied, else the key of a row whose version condition failed.
        """


class ObjectStore(Protocol):
    """The object store. All methods raise ``PlatformError``."""

    def get(self, key: str) -> bytes | None:
        """Returns the bytes of an object, or None if it does not exist."""

    def put(self, key: str, data: bytes) -> None:
        """Stores an object; replaces one with the same key."""

    def list(self, prefix: str) -> list[str]:
        """Returns the keys of the objects with a prefix, in order."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their real state. Raises ``PlatformError``."""

    def read(self) -> list[ListedVm]:
        """Returns the VMs in the list; it may be outdated."""


class Platform(NamedTuple):
    """The services of the platform."""

    table: Table
    objects: ObjectStore
    vm_list: VmList
