"""Ownership of the units of a region-wide limit.

Each unit belongs to one cell of the region and is owned by one entry VM of that cell.
"""

from carawaybank.steering import hashing
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.tickets import State


class UnitOwnership:
    """Finds the units that this entry VM owns, and caches them until tickets or owners change."""

    def __init__(self, *, region: str, cell: str, ownership: Ownership) -> None:
        """Starts without units.

        Args:
            region: Region whose cells share the limits.
            cell: Cell of this entry VM.
            ownership: Owners of the keys of the cell.
        """
        self._region = region
        self._cell = cell
        self._ownership = ownership
        self._version = (-1, -1)
        self._units: dict[tuple[str, int], list[int]] = {}

    def owned_units(self, state: State, key: str, *, count: int) -> list[int]:
        """Returns the numbers of the units of a key that this entry VM owns.

        Args:
            state: The state in force.
            key: Key of the limit.
            count: Number of units that the limit is divided into.
        """
        version = (state.number, self._ownership.version)
        if version != self._version:
            self._units.clear()
            self._version = version
        if (key, count) not in self._units:
            self._units[(key, count)] = self._find_owned_units(state, key, count)
        return self._units[(key, count)]

    def _find_owned_units(self, state: State, key: str, count: int) -> list[int]:
        cells = [
            cell
            for domain, document in state.failure_domains.items()
            if document["region"] == self._region
            for cell in state.cells_of(domain)
        ]
        found = []
        for unit in range(count):
            unit_key = f"{key}/{unit}"
            in_cell = hashing.rank(key=unit_key, members=cells)[:1] == [self._cell]
            if in_cell and self._ownership.owns(unit_key):
                found.append(unit)
        return found
