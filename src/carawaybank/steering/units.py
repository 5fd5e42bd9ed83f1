"""Units of a region-wide limit: each belongs to one cell, and in the cell to one entry VM."""

from carawaybank.steering import hashing
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.tickets import State


class UnitOwnership:
    """Finds the units that this entry VM owns, again when tickets or owners change."""

    def __init__(self, *, region: str, cell: str, ownership: Ownership) -> None:
        """Starts without units.

        Args:
            region: Region that the limits belong to.
            cell: Cell of this entry VM.
            ownership: Who owns which key in the cell.
        """
        self._region = region
        self._cell = cell
        self._ownership = ownership
        self._version = (-1, -1)
        self._units: dict[tuple[str, int], list[int]] = {}

    def find(self, state: State, key: str, *, count: int) -> list[int]:
        """Returns the numbers of the units of a key that this entry VM owns.

        Args:
            state: The state in force.
            key: The limit.
            count: Units that it is cut into.
        """
        version = (state.number, self._ownership.version)
        if version != self._version:
            self._units.clear()
            self._version = version
        if (key, count) not in self._units:
            self._units[(key, count)] = self._find(state, key, count)
        return self._units[(key, count)]

    def _find(self, state: State, key: str, count: int) -> list[int]:
        cells = [
            cell
            for domain, place in state.failure_domains.items()
            if place["region"] == self._region
            for cell in state.cells_of(domain)
        ]
        found = []
        for unit in range(count):
            unit_key = f"{key}/{unit}"
            in_cell = hashing.rank(key=unit_key, members=cells)[:1] == [self._cell]
            if in_cell and self._ownership.owns(unit_key):
                found.append(unit)
        return found
