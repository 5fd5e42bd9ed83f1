"""Entry VMs that removed their registration, some of which still serve callers until they end."""

from typing import Generic, Protocol, TypeVar

#: Maximum number of ended VMs that are remembered, so that an older backup of the store does not
#: add them again.
_MAX_ENDED = 4_096
#: Seconds for which a VM that removed its registration may still pass requests on: the longest stop
#: that settings allow.
_STOP_VALIDITY_S = 600.0


class Registration(Protocol):
    """What is read of the record of a VM."""

    @property
    def vm(self) -> str:
        """Its name."""

    @property
    def incarnation(self) -> int:
        """Number of the start of its process."""


_R = TypeVar("_R", bound=Registration)


class EndedVms(Generic[_R]):
    """The last records of VMs that removed their registration, limited in number."""

    def __init__(self) -> None:
        """Starts empty."""
        self._records: dict[str, tuple[float, _R]] = {}

    def record(self, record: _R, *, now: float) -> None:
        """Records that a VM removed its registration."""
        self._records[record.vm] = (now, record)
        if len(self._records) > _MAX_ENDED:
            del self._records[next(iter(self._records))]

    def has_ended(self, record: _R) -> bool:
        """Returns whether the VM removed its registration in the same incarnation."""
        _, ended = self._records.get(record.vm, (0.0, None))
        return ended is not None and ended.incarnation == record.incarnation

    def find_serving(self, vm: str, *, now: float) -> _R | None:
        """Returns the record of a VM that may still be serving callers, or None."""
        removed_at, record = self._records.get(vm, (0.0, None))
        return record if now - removed_at <= _STOP_VALIDITY_S else None
