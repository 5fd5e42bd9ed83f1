"""Caps of shifts between regions, kept by the sending side.

A cap of ``n`` requests in flight is cut into ``n`` units. Each unit belongs to one cell of the
region that sends, and in the cell to one entry VM, so the sum of what all send never exceeds the
cap. A raised cap is reached over the ramp time.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.steering.allowances import Allowance
from carawaybank.steering.tickets import State
from carawaybank.steering.units import UnitOwnership


class _Ramp(NamedTuple):
    start: int
    cap: int
    since: float

    def cap_at(self, now: float, ramp_s: float) -> int:
        share = min(1.0, max(0.0, (now - self.since) / ramp_s))
        return min(self.cap, max(1, math.floor(self.start + (self.cap - self.start) * share)))


class ShiftAllowances:
    """This entry VM's units of each shift out of its region."""

    def __init__(
        self, *, region: str, units: UnitOwnership, released: Callable[[str], int]
    ) -> None:
        """Starts without shifts.

        Args:
            region: Region of this entry VM.
            units: Units that this entry VM owns.
            released: Units of a shift that former owners still use.
        """
        self._region = region
        self._owned = units
        self._released = released
        self._state: State | None = None
        self._ramps: dict[str, _Ramp] = {}
        self._uses: dict[str, Allowance] = {}

    def update(self, state: State, *, now: float) -> None:
        """Takes the shifts of a new state."""
        first = self._state is None
        for name, shift in state.shifts.items():
            held = self._ramps.get(name)
            cap = shift["cap"]
            if held is None or cap > held.cap:
                start = cap if first else (held.cap if held else 0)
                self._ramps[name] = _Ramp(start, cap, now)
            else:
                self._ramps[name] = held._replace(cap=cap)
        self._ramps = {name: ramp for name, ramp in self._ramps.items() if name in state.shifts}
        self._state = state

    def destinations(self, service: str) -> list[tuple[str, str]]:
        """Returns (shift, region) pairs to which the service may be sent."""
        if self._state is None:
            return []
        return [
            (name, shift["to_region"])
            for name, shift in self._state.shifts.items()
            if shift["service"] == service and shift["from_region"] == self._region
        ]

    def take(self, name: str, *, ramp_s: float, now: float) -> bool:
        """Takes a unit of the shift; returns whether one was free."""
        use = self._uses.setdefault(name, Allowance())
        use.expire(now)
        return use.take(limit=self.limit(name, ramp_s=ramp_s, now=now))

    def limit(self, name: str, *, ramp_s: float, now: float) -> int:
        """Returns how many units of the shift this entry VM may use now."""
        ramp = self._ramps.get(name)
        if ramp is None:
            return 0
        cap = ramp.cap_at(now, ramp_s)
        units = sum(unit < cap for unit in self._owned_units(name))
        return max(0, units - self._released(_key(name)))

    def give_back(self, name: str, *, linger_until: float | None) -> None:
        """Returns a unit, at once or when the remote work must have ended."""
        use = self._uses[name]
        if linger_until is None:
            use.give_back()
        else:
            use.linger(until=linger_until)

    def expire(self, now: float) -> None:
        """Returns lingering units whose time has passed."""
        for use in self._uses.values():
            use.expire(now)

    def in_use(self) -> dict[str, int]:
        """Returns the units in use by shift."""
        return {name: use.in_use for name, use in self._uses.items()}

    def released(self) -> dict[str, int]:
        """Returns units in use beyond those owned, by key, for the new owners."""
        excess = {
            _key(name): use.in_use - len(self._owned_units(name))
            for name, use in self._uses.items()
        }
        return {key: count for key, count in excess.items() if count > 0}

    def _owned_units(self, name: str) -> list[int]:
        state = self._state
        if state is None or name not in state.shifts:
            return []
        return self._owned.find(state, _key(name), count=state.shifts[name]["cap"])


def _key(name: str) -> str:
    return f"shift/{name}"
