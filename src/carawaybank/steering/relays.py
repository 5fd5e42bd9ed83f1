"""Which sibling a request goes to when no owned target has room.

Siblings of the own failure domain come first, then the region's, then those of other regions that
a shift permits. Within a place, siblings that lately reported more free slots come first, and one
that was full a moment ago is left out. The moment is longer under overload, where asking on costs
more than it finds.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

from carawaybank.steering.membership import Member, Membership
from carawaybank.steering.tickets import State

_HINT_LIFETIME_S = 2.0
_MAX_HINTS = 4096
_FULL_LIFETIME_S = 0.01
_FULL_LIFETIME_OVERLOADED_S = 0.1
_SAMPLE = 8
_UNKNOWN_FREE = 1.0


class _Hint(NamedTuple):
    free: int
    at: float


class RelayChooser:
    """Ranks siblings for a service by distance and reported room."""

    def __init__(self, *, membership: Membership, rng: random.Random) -> None:
        """Starts without hints.

        Args:
            membership: The entry VMs.
            rng: Source of tie breaks.
        """
        #: Whether many requests are refused; set by the user of this class.
        self.overloaded = False
        self._membership = membership
        self._rng = rng
        self._hints: dict[tuple[str, str], _Hint] = {}
        self._cells: dict[str, set[str]] = {}
        self._cells_number = -1
        self._groups: dict[tuple[str, str], list[Member]] = {}
        self._groups_version = (-1, -1)

    def note_free(self, vm: str, service: str, free: int, *, now: float) -> None:
        """Records how many slots a sibling reported free."""
        if len(self._hints) >= _MAX_HINTS:
            self._hints = {
                key: hint for key, hint in self._hints.items() if now - hint.at < _HINT_LIFETIME_S
            }
        self._hints[(vm, service)] = _Hint(free, now)

    def near(
        self,
        state: State,
        service: str,
        *,
        tried: Collection[str],
        now: float,
        least_free: int = 0,
    ) -> str | None:
        """Returns a sibling of the own failure domain or region, or None.

        Args:
            state: The state in force.
            service: What is asked for.
            tried: Siblings that are out of the question.
            now: The time.
            least_free: Slots that the sibling must lately have reported free; 0 for any.
        """
        own = self._membership.own
        for place in (own.failure_domain, own.region):
            found = self._best(state, service, place, tried=tried, now=now, least_free=least_free)
            if found is not None:
                return found
        return None

    def far(
        self,
        state: State,
        service: str,
        region: str,
        *,
        tried: Collection[str],
        now: float,
        least_free: int = 0,
    ) -> str | None:
        """Returns a sibling of another region, or None; arguments as for :meth:`near`."""
        return self._best(state, service, region, tried=tried, now=now, least_free=least_free)

    def _best(
        self,
        state: State,
        service: str,
        place: str,
        *,
        tried: Collection[str],
        now: float,
        least_free: int,
    ) -> str | None:
        group = self._group(state, service, place)
        open_members = [
            member.vm
            for member in group
            if member.vm not in tried
            and not self._is_full(member.vm, service, now)
            and (not least_free or self._reported(member.vm, service, now) >= least_free)
        ]
        if len(open_members) > _SAMPLE:
            open_members = self._rng.sample(open_members, _SAMPLE)
        if not open_members:
            return None
        return max(open_members, key=lambda vm: self._free(vm, service, now))

    def _is_full(self, vm: str, service: str, now: float) -> bool:
        hint = self._hints.get((vm, service))
        lifetime_s = _FULL_LIFETIME_OVERLOADED_S if self.overloaded else _FULL_LIFETIME_S
        return hint is not None and hint.free <= 0 and now - hint.at < lifetime_s

    def _reported(self, vm: str, service: str, now: float) -> int:
        hint = self._hints.get((vm, service))
        return hint.free if hint and now - hint.at <= _HINT_LIFETIME_S else 0

    def _free(self, vm: str, service: str, now: float) -> float:
        hint = self._hints.get((vm, service))
        jitter = self._rng.random()
        if hint is None or now - hint.at > _HINT_LIFETIME_S:
            return _UNKNOWN_FREE + jitter
        return hint.free + jitter

    def _group(self, state: State, service: str, place: str) -> list[Member]:
        version = (state.number, self._membership.version)
        if version != self._groups_version:
            self._groups.clear()
            self._groups_version = version
        key = (service, place)
        if key not in self._groups:
            cells = self._cells_with(state, service)
            own_vm = self._membership.own.vm
            self._groups[key] = [
                member
                for member in self._membership.serving()
                if place in (member.failure_domain, member.region)
                and member.cell in cells
                and member.vm != own_vm
            ]
        return self._groups[key]

    def _cells_with(self, state: State, service: str) -> set[str]:
        if state.number != self._cells_number:
            self._cells.clear()
            self._cells_number = state.number
        if service not in self._cells:
            self._cells[service] = {
                state.cell_of_target(name)
                for name, target in state.targets.items()
                if target["service"] == service
            }
        return self._cells[service]
