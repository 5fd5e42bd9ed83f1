"""The weights of entry VMs: how they are stated, passed on and reduced by congestion.

A VM states its size in a row of its own next to its registration, because VMs of an older build
reject a registration or heartbeat with a further field. Congestion is reported with heartbeats
under a topic of its own, which VMs of an older build pass on without using it.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, TypedDict

import msgspec

from carawaybank.congestion import CongestionWatch
from carawaybank.counters import Counters
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.vmweights import (
    CONGESTED_FACTOR,
    LEVEL_DELAYS_S,
    CongestionLevels,
    VmCapacity,
)
from carawaybank.rows import TableUpdate

#: Prefix of the keys of weights in the shared table.
KEY_PREFIX = "vm-weight/"
#: Prefixes of the failure domain under which reports list VMs that have reached each level.
CONGESTED_PREFIXES = tuple(f"congested-{level}/" for level in range(1, len(LEVEL_DELAYS_S) + 1))
#: Weights above this are rejected; the largest machines carry a few thousand requests per second.
_MAX_WEIGHT = 1e9


class WeightRow(TypedDict):
    """The value of a row.

    Attributes:
        weight: Weight of the VM without congestion.
    """

    weight: float


def encode_row(size: float) -> bytes | None:
    """Returns the row that states a VM's size, or None if it states none.

    >>> encode_row(231.0)
    b'{"weight":231.0}'
    """
    return msgspec.json.encode(WeightRow(weight=size)) if size else None


class VmWeights:
    """The sizes that VMs state, and the congestion of this VM.

    Attributes:
        own_level: Level of congestion of this VM; 0 for none.
    """

    def __init__(self, *, own: str, own_size: float) -> None:
        """Starts with only this VM.

        Args:
            own: Name of this VM.
            own_size: Its weight without congestion; 0 if its size is not stated.
        """
        self._own = own
        self._sizes = {own: own_size} if own_size else {}
        self.own_size = own_size
        self.own_level = 0

    @property
    def any_stated(self) -> bool:
        """Whether any VM states its size."""
        return bool(self._sizes)

    @property
    def own_weight(self) -> float:
        """The weight of this VM; 0 if its size is not stated."""
        return self.reduce(self.own_size, self.own_level)

    def size(self, vm: str) -> float:
        """Returns the weight of a VM without congestion, or 0 if it states none."""
        return self._sizes.get(vm, 0.0)

    @staticmethod
    def reduce(size: float, level: int) -> float:
        """Returns the weight of a VM of a size at a level of congestion."""
        return size * CONGESTED_FACTOR**level

    def update(self, vm: str, size: float) -> None:
        """Applies what a VM states; this VM knows its own size."""
        if vm != self._own or not self.own_size:
            self._sizes[vm] = size

    def remove(self, vm: str) -> None:
        """Removes the size of a VM that no longer states one."""
        if vm != self._own or not self.own_size:
            self._sizes.pop(vm, None)

    def keep_only(self, vms: set[str]) -> None:
        """Removes the sizes of all VMs but the given ones."""
        for vm in self._sizes.keys() - vms:
            self.remove(vm)


class WeightRows:
    """Applies the rows in which VMs state their sizes."""

    def __init__(self, *, weights: VmWeights, journal: Journal) -> None:
        """Starts without rows.

        Args:
            weights: Receives the sizes.
            journal: Logs changes and invalid rows.
        """
        self._weights = weights
        self._journal = journal

    def apply(self, update: TableUpdate) -> None:
        """Applies changed rows, whose keys are the names of VMs; an invalid one counts as none."""
        present = set()
        for row in update.rows:
            size = None if row.removed else self._read(row.key, row.value)
            if size is None:
                self._weights.remove(row.key)
                continue
            present.add(row.key)
            if size != self._weights.size(row.key):
                self._journal.log("weights", "stated", sibling=row.key, weight=size)
                self._weights.update(row.key, size)
        if update.is_full and not update.is_backup:
            self._weights.keep_only(present)

    def _read(self, vm: str, value: bytes) -> float | None:
        try:
            size = decode_message(value, WeightRow, source="weight")["weight"]
        except DocumentError as error:
            self._journal.log("weights", "row passed over", sibling=vm, reason=str(error))
            return None
        if not (math.isfinite(size) and 0.0 < size <= _MAX_WEIGHT):
            reason = f"the weight {size} is not between 0 and {_MAX_WEIGHT:.0f}"
            self._journal.log("weights", "row passed over", sibling=vm, reason=reason)
            return None
        return size


class OwnWeight:
    """Reduces the weight of this VM while its event loop is delayed."""

    def __init__(
        self,
        *,
        weights: VmWeights,
        capacity: VmCapacity,
        on_change: Callable[[], None],
        counters: Counters,
        journal: Journal,
    ) -> None:
        """Starts without congestion.

        Args:
            weights: Holds the size and receives the congestion of this VM.
            capacity: What this VM has; logged.
            on_change: Called after each change, to report it to siblings.
            counters: Receives the weight and counts its changes.
            journal: Logs the weight and its changes.
        """
        self._weights = weights
        self._on_change = on_change
        self._counters = counters
        self._journal = journal
        self._levels = CongestionLevels()
        if weights.own_size:
            counters.vm_weight = weights.own_weight
            journal.log("weights", "own", weight=weights.own_weight, **capacity._asdict())

    def background_functions(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what runs in the background: nothing if the size of this VM is not stated."""
        return [CongestionWatch(on_sample=self.record).run] if self._weights.own_size else []

    def record(self, delay_s: float) -> None:
        """Adds a sample of the delay of the event loop and applies a changed level."""
        level = self._levels.record(delay_s, now=asyncio.get_running_loop().time())
        if level == self._weights.own_level:
            return
        previous, self._weights.own_level = self._weights.own_level, level
        self._counters.vm_weight = self._weights.own_weight
        self._counters.vm_weight_changes += 1
        self._journal.log(
            "weights",
            "own changed",
            weight=self._weights.own_weight,
            level=level,
            previous_level=previous,
            delay_s=round(self._levels.delay_s, 4),
        )
        self._on_change()
