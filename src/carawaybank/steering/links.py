"""Shares of the links between regions, kept by the side that sends requests.

A link's rate each way is cut in two halves, one for the requests of either region and the answers
to them, and each half into units that entry VMs of the region own. A share is a token bucket that
may fall below zero by the last message; nothing more is sent until it is paid back.

Usage::

    >>> bucket = TokenBucket(burst_s=1.0)
    >>> bucket.spend(1500, rate=1000.0, now=0.0)
    >>> bucket.is_open(rate=1000.0, now=0.4), bucket.is_open(rate=1000.0, now=0.6)
    (False, True)
"""

from collections.abc import Callable
from enum import StrEnum

from carawaybank.steering.tickets import LinkDocument, State
from carawaybank.steering.units import UnitOwnership

_UNITS = 64
_BURST_S = 1.0
_BYTES_PER_MBIT = 125_000


class Direction(StrEnum):
    """Which way bytes cross a link, seen from the sending region."""

    OUT = "out"
    IN = "in"


class TokenBucket:
    """Bytes that may cross a link in one direction."""

    def __init__(self, *, burst_s: float) -> None:
        """Starts full.

        Args:
            burst_s: Seconds of the rate that may be saved up.
        """
        self._burst_s = burst_s
        self._tokens = 0.0
        self._updated: float | None = None

    def is_open(self, *, rate: float, now: float) -> bool:
        """Returns whether a message may be sent at a rate in bytes a second."""
        self._refill(rate, now)
        return self._tokens > 0

    def spend(self, size: int, *, rate: float, now: float) -> None:
        """Takes the bytes of a message."""
        self._refill(rate, now)
        self._tokens -= size

    def _refill(self, rate: float, now: float) -> None:
        burst = rate * self._burst_s
        if self._updated is None:
            self._tokens = burst
        else:
            self._tokens = min(burst, self._tokens + rate * (now - self._updated))
        self._updated = now


class LinkAllowances:
    """This entry VM's share of each link out of its region."""

    def __init__(self, *, region: str, units: UnitOwnership, state: Callable[[], State]) -> None:
        """Starts without links.

        Args:
            region: Region of this entry VM.
            units: Units that this entry VM owns.
            state: Returns the state in force.
        """
        self._region = region
        self._units = units
        self._state = state
        self._buckets: dict[tuple[str, Direction], TokenBucket] = {}

    def may_send(self, to_region: str, *, now: float) -> bool:
        """Returns whether a request may cross to a region; always where no link is set."""
        rate = self.rate(to_region)
        if rate is None:
            return True
        return all(
            self._bucket(to_region, direction).is_open(rate=rate, now=now)
            for direction in Direction
        )

    def spend(self, to_region: str, direction: Direction, size: int, *, now: float) -> None:
        """Counts the bytes of a request or an answer."""
        rate = self.rate(to_region)
        if rate is not None:
            self._bucket(to_region, direction).spend(size, rate=rate, now=now)

    def rate(self, to_region: str) -> float | None:
        """Returns this entry VM's bytes a second each way; None where no link is set."""
        state = self._state()
        ends = {self._region, to_region}
        for name, link in state.links.items():
            if set(link["regions"]) == ends:
                return self._share(state, name, link)
        return None

    def _share(self, state: State, name: str, link: LinkDocument) -> float:
        owned = len(self._units.find(state, f"link/{name}", count=_UNITS))
        return link["mbits"] * _BYTES_PER_MBIT / 2 * owned / _UNITS

    def _bucket(self, to_region: str, direction: Direction) -> TokenBucket:
        key = (to_region, direction)
        if key not in self._buckets:
            self._buckets[key] = TokenBucket(burst_s=_BURST_S)
        return self._buckets[key]
