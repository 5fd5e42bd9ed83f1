"""Targets that said that they leave, remembered for longer than they are known.

Load pattern: the targets of a service are replaced under load while the store is slow, dark or
behind. What a target says in its answers comes first; an older entry of the store, or one that a
sibling hands over after a restart, must not bring it back. Only a later start of the target does.
"""

from collections import OrderedDict
from collections.abc import Mapping

#: Departures that are remembered; a service of a thousand targets is replaced four times in these.
MOST_DEPARTURES = 4_096


class Departures:
    """The newest incarnation of each target that said that it leaves.

    >>> departures = Departures()
    >>> departures.note("t", 7)
    >>> departures.has_left("t", 7), departures.has_left("t", 8)
    (True, False)
    """

    def __init__(self) -> None:
        """Starts without departures."""
        self._incarnations: OrderedDict[str, int] = OrderedDict()

    @property
    def all(self) -> dict[str, int]:
        """The incarnations that left, by target id."""
        return dict(self._incarnations)

    def note(self, target_id: str, incarnation: int) -> None:
        """Records that an incarnation of a target leaves."""
        known = self._incarnations.pop(target_id, incarnation)
        self._incarnations[target_id] = max(known, incarnation)
        if len(self._incarnations) > MOST_DEPARTURES:
            self._incarnations.popitem(last=False)

    def merge(self, departures: Mapping[str, int]) -> None:
        """Takes the departures that a sibling remembers."""
        for target_id, incarnation in departures.items():
            self.note(target_id, incarnation)

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Returns whether a target said in this incarnation, or a later one, that it leaves."""
        left = self._incarnations.get(target_id)
        return left is not None and incarnation <= left
