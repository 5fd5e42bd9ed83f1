"""Targets that announced their departure, kept after their removal from the directory.

Load pattern: the targets of a service are replaced under load while the store is slow, unreachable
or lagging. A departure that a target announces in its responses takes precedence over the store: an
older entry of the store, or one that a sibling sends after a restart, must not put the target back
into use. Only an entry with a higher incarnation does.
"""

from collections import OrderedDict
from collections.abc import Mapping

#: Maximum number of departures kept: four replacements of a service of a thousand targets.
MAX_DEPARTURES = 4_096


class Departures:
    """The highest departed incarnation of each target that announced its departure.

    >>> departures = Departures()
    >>> departures.record("t", 7)
    >>> departures.has_left("t", 7), departures.has_left("t", 8)
    (True, False)
    """

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._incarnations: OrderedDict[str, int] = OrderedDict()

    @property
    def by_target_id(self) -> dict[str, int]:
        """The highest departed incarnation by target id."""
        return dict(self._incarnations)

    def record(self, target_id: str, incarnation: int) -> None:
        """Records that an incarnation departed; drops the oldest record beyond the maximum."""
        known = self._incarnations.pop(target_id, incarnation)
        self._incarnations[target_id] = max(known, incarnation)
        if len(self._incarnations) > MAX_DEPARTURES:
            self._incarnations.popitem(last=False)

    def merge(self, departures: Mapping[str, int]) -> None:
        """Adds the departures that a sibling has recorded."""
        for target_id, incarnation in departures.items():
            self.record(target_id, incarnation)

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Returns whether a target departed in this incarnation or a later one."""
        departed = self._incarnations.get(target_id)
        return departed is not None and incarnation <= departed
