"""Selection of a sibling to relay a request to when no owned target has a free slot.

Siblings in the local failure domain are preferred, then siblings in the local region, then siblings
in other regions that a shift permits. Among the siblings of one locality, the one that recently
reported the most free slots is used. A sibling that reported no free slot is skipped for a short
time; under overload this time is longer, because further relays then rarely find a free slot and
cost more than they gain.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

from carawaybank.steering.membership import Member, Membership
from carawaybank.steering.tickets import State

#: Seconds for which a report of free slots is used.
_HINT_LIFETIME_S = 2.0
_MAX_HINTS = 4096
#: Seconds for which a sibling that reported no free slot is skipped, without and with overload.
_FULL_HINT_LIFETIME_S = 0.01
_FULL_HINT_LIFETIME_OVERLOADED_S = 0.1
_MAX_CANDIDATES = 8
#: Free slots assumed of a sibling without a recent report.
_DEFAULT_FREE_SLOTS = 1.0


class _Hint(NamedTuple):
    free: int
    reported_at: float


class RelaySelector:
    """Selects siblings for a service by locality and reported free slots."""

    def __init__(self, *, membership: Membership, rng: random.Random) -> None:
        """Starts without reports from siblings.

        Args:
            membership: The known entry VMs.
            rng: Random generator for sampling and tie breaks.
        """
        #: Whether many requests are refused; set by :class:`~.spillover.Spillover`.
        self.overloaded = False
        self._membership = membership
        self._rng = rng
        self._hints: dict[tuple[str, str], _Hint] = {}
        self._cells: dict[str, set[str]] = {}
        self._cells_ticket = -1
        self._groups: dict[tuple[str, str], list[Member]] = {}
        self._groups_version = (-1, -1)

    def record_free_slots(self, vm: str, service: str, free: int, *, now: float) -> None:
        """Records how many free slots a sibling reported for a service."""
        if len(self._hints) >= _MAX_HINTS:
            self._hints = {
                key: hint
                for key, hint in self._hints.items()
                if now - hint.reported_at < _HINT_LIFETIME_S
            }
        self._hints[(vm, service)] = _Hint(free, now)

    def choose_near(
        self,
        state: State,
        service: str,
        *,
        tried: Collection[str],
        now: float,
        min_free: int = 0,
    ) -> str | None:
        """Returns a sibling in the local failure domain, else in the local region, or None.

        Args:
            state: The state in force.
            service: Service of the request.
            tried: Siblings that the request was already sent to.
            now: The time in seconds.
            min_free: Free slots that the sibling must have reported recently; with 0, siblings
                without a recent report are used too.
        """
        own = self._membership.own
        for locality in (own.failure_domain, own.region):
            vm = self._best(state, service, locality, tried=tried, now=now, min_free=min_free)
            if vm is not None:
                return vm
        return None

    def choose_far(
        self,
        state: State,
        service: str,
        region: str,
        *,
        tried: Collection[str],
        now: float,
        min_free: int = 0,
    ) -> str | None:
        """Returns a sibling in another region, or None; arguments as for :meth:`choose_near`."""
        return self._best(state, service, region, tried=tried, now=now, min_free=min_free)

    def _best(
        self,
        state: State,
        service: str,
        locality: str,
        *,
        tried: Collection[str],
        now: float,
        min_free: int,
    ) -> str | None:
        group = self._group(state, service, locality)
        candidates = [
            member.vm
            for member in group
            if member.vm not in tried
            and not self._is_full(member.vm, service, now)
            and (not min_free or self._reported_free(member.vm, service, now) >= min_free)
        ]
        if len(candidates) > _MAX_CANDIDATES:
            candidates = self._rng.sample(candidates, _MAX_CANDIDATES)
        if not candidates:
            return None
        return max(candidates, key=lambda vm: self._estimated_free(vm, service, now))

    def _is_full(self, vm: str, service: str, now: float) -> bool:
        hint = self._hints.get((vm, service))
        lifetime_s = _FULL_HINT_LIFETIME_OVERLOADED_S if self.overloaded else _FULL_HINT_LIFETIME_S
        return hint is not None and hint.free <= 0 and now - hint.reported_at < lifetime_s

    def _reported_free(self, vm: str, service: str, now: float) -> int:
        hint = self._hints.get((vm, service))
        return hint.free if hint and now - hint.reported_at <= _HINT_LIFETIME_S else 0

    def _estimated_free(self, vm: str, service: str, now: float) -> float:
        hint = self._hints.get((vm, service))
        jitter = self._rng.random()
        if hint is None or now - hint.reported_at > _HINT_LIFETIME_S:
            return _DEFAULT_FREE_SLOTS + jitter
        return hint.free + jitter

    def _group(self, state: State, service: str, locality: str) -> list[Member]:
        version = (state.number, self._membership.version)
        if version != self._groups_version:
            self._groups.clear()
            self._groups_version = version
        key = (service, locality)
        if key not in self._groups:
            cells = self._cells_serving(state, service)
            own_vm = self._membership.own.vm
            self._groups[key] = [
                member
                for member in self._membership.serving()
                if locality in (member.failure_domain, member.region)
                and member.cell in cells
                and member.vm != own_vm
            ]
        return self._groups[key]

    def _cells_serving(self, state: State, service: str) -> set[str]:
        if state.number != self._cells_ticket:
            self._cells.clear()
            self._cells_ticket = state.number
        if service not in self._cells:
            self._cells[service] = {
                state.cell_of_target(name)
                for name, target in state.targets.items()
                if target["service"] == service
            }
        return self._cells[service]
