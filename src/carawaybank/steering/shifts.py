"""Caps on the requests that a shift sends to another region, enforced by the sending side.

A cap of ``n`` requests in flight is divided into ``n`` units. Each unit belongs to one cell of the
sending region and is owned by one entry VM of that cell, so the entry VMs together never exceed
the cap. A raised cap takes effect gradually over the ramp time.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.steering.allowances import Allowance
from carawaybank.steering.tickets import State
from carawaybank.steering.units import UnitOwnership


class _Ramp(NamedTuple):
    initial_cap: int
    cap: int
    started_at: float

    def cap_at(self, now: float, ramp_s: float) -> int:
        progress = min(1.0, max(0.0, (now - self.started_at) / ramp_s))
        return min(
            self.cap,
            max(1, math.floor(self.initial_cap + (self.cap - self.initial_cap) * progress)),
        )


class ShiftAllowances:
    """Counts the use of this entry VM's units of the shifts out of its region."""

    def __init__(
        self, *, region: str, units: UnitOwnership, former_owner_units: Callable[[str], int]
    ) -> None:
        """Starts without shifts.

        Args:
            region: Region of this entry VM.
            units: Finds the units that this entry VM owns.
            former_owner_units: Returns the units of a key that former owners still use.
        """
        self._region = region
        self._units = units
        self._former_owner_units = former_owner_units
        self._state: State | None = None
        self._ramps: dict[str, _Ramp] = {}
        self._allowances: dict[str, Allowance] = {}

    def update(self, state: State, *, now: float) -> None:
        """Applies the shifts of a new state.

        Caps of the first state apply in full at once. Later, a raised cap ramps up and a lowered
        one applies at once.
        """
        is_first = self._state is None
        for name, shift in state.shifts.items():
            ramp = self._ramps.get(name)
            cap = shift["cap"]
            if ramp is None or cap > ramp.cap:
                initial_cap = cap if is_first else (ramp.cap if ramp else 0)
                self._ramps[name] = _Ramp(initial_cap, cap, now)
            else:
                self._ramps[name] = ramp._replace(cap=cap)
        self._ramps = {name: ramp for name, ramp in self._ramps.items() if name in state.shifts}
        self._state = state

    def destinations(self, service: str) -> list[tuple[str, str]]:
        """Returns (shift, destination region) pairs for requests of a service from this region."""
        if self._state is None:
            return []
        return [
            (name, shift["to_region"])
            for name, shift in self._state.shifts.items()
            if shift["service"] == service and shift["from_region"] == self._region
        ]

    def try_acquire(self, name: str, *, ramp_s: float, now: float) -> bool:
        """Acquires a unit of the shift; returns whether one was free."""
        allowance = self._allowances.setdefault(name, Allowance())
        allowance.release_expired(now)
        return allowance.try_acquire(limit=self.limit(name, ramp_s=ramp_s, now=now))

    def limit(self, name: str, *, ramp_s: float, now: float) -> int:
        """Returns how many units of the shift this entry VM may use now."""
        ramp = self._ramps.get(name)
        if ramp is None:
            return 0
        cap = ramp.cap_at(now, ramp_s)
        units = sum(unit < cap for unit in self._owned_units(name))
        return max(0, units - self._former_owner_units(_shift_key(name)))

    def release(self, name: str, *, linger_until: float | None) -> None:
        """Releases a unit, at once or when ``linger_until`` has passed.

        Args:
            name: Name of the shift.
            linger_until: Time in seconds until which the request may still be running in the
                other region; None if it is certainly not.
        """
        allowance = self._allowances[name]
        if linger_until is None:
            allowance.release()
        else:
            allowance.release_at(time=linger_until)

    def release_expired(self, now: float) -> None:
        """Releases the lingering units whose time has passed."""
        for allowance in self._allowances.values():
            allowance.release_expired(now)

    def in_use(self) -> dict[str, int]:
        """Returns the units in use by shift."""
        return {name: allowance.in_use for name, allowance in self._allowances.items()}

    def released_units(self) -> dict[str, int]:
        """Returns the units in use beyond those owned, by key; new owners subtract them."""
        excess = {
            _shift_key(name): allowance.in_use - len(self._owned_units(name))
            for name, allowance in self._allowances.items()
        }
        return {key: count for key, count in excess.items() if count > 0}

    def _owned_units(self, name: str) -> list[int]:
        state = self._state
        if state is None or name not in state.shifts:
            return []
        return self._units.owned_units(state, _shift_key(name), count=state.shifts[name]["cap"])


def _shift_key(name: str) -> str:
    return f"shift/{name}"
