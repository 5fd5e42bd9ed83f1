"""What the platform offers, as protocols; adapters speak to a real one or to a fake."""

from typing import Any, Literal, NamedTuple, Protocol, TypedDict


class Row(TypedDict):
    """A row of the table; versions rise by one with each write, from 1."""

    key: str
    value: Any
    version: int


class Write(NamedTuple):
    """A conditional write of one row.

    Attributes:
        key: The row.
        value: Its new value; None deletes it.
        if_version: Version that the row must have; 0 if it must not exist, None for any.
    """

    key: str
    value: Any
    if_version: int | None = None


class ListedVm(TypedDict):
    """An entry of the VM list."""

    name: str
    state: Literal["live", "leaving"]


class Table(Protocol):
    """The transactional table service. All methods raise ``PlatformError``."""

    def get(self, key: str) -> Row | None:
        """Returns a row."""

    def scan(self, prefix: str, *, after: str = "", limit: int = 100) -> list[Row]:
        """Returns rows whose key has the prefix and follows ``after``, in order."""

    def commit(self, writes: list[Write]) -> str | None:
        """Writes all or nothing; returns the key of a row whose condition failed, or None."""


class ObjectStore(Protocol):
    """The object store. All methods raise ``PlatformError``."""

    def get(self, key: str) -> bytes | None:
        """Returns an object."""

    def put(self, key: str, data: bytes) -> None:
        """Stores an object."""

    def list(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix, in order."""


class VmList(Protocol):
    """The lagging list of VMs. Raises ``PlatformError``."""

    def read(self) -> list[ListedVm]:
        """Returns the VMs that the platform knows."""


class Platform(NamedTuple):
    """The platform's services together."""

    table: Table
    objects: ObjectStore
    vm_list: VmList
