"""Bandwidth limits on the links between regions, enforced by the side that sends the requests.

The rate of a link in each direction is divided into two halves, one for each region's requests and
the responses to them. Each half is divided into units, which the entry VMs of that region own. An
entry VM enforces its share with one token bucket per direction. A message is sent while the bucket
holds any tokens, so the last one may overdraw it; no further request is sent until the bucket has
refilled above zero.

Usage::

    >>> bucket = TokenBucket(burst_s=1.0)
    >>> bucket.consume(1500, rate_bytes_per_s=1000.0, now=0.0)
    >>> bucket.has_tokens(rate_bytes_per_s=1000.0, now=0.4)
    False
    >>> bucket.has_tokens(rate_bytes_per_s=1000.0, now=0.6)
    True
"""

from collections.abc import Callable
from enum import StrEnum

from carawaybank.steering.tickets import LinkDocument, State
from carawaybank.steering.units import UnitOwnership

_UNITS_PER_LINK = 64
_BURST_S = 1.0
_BYTES_PER_MBIT = 125_000


class LinkDirection(StrEnum):
    """Direction in which bytes cross a link, as seen from the region that sends the requests."""

    OUT = "out"
    IN = "in"


class TokenBucket:
    """Limits the bytes that cross a link in one direction."""

    def __init__(self, *, burst_s: float) -> None:
        """Starts with a full bucket.

        Args:
            burst_s: Size of the bucket, in seconds at the full rate.
        """
        self._burst_s = burst_s
        self._tokens = 0.0
        self._updated_at: float | None = None

    def has_tokens(self, *, rate_bytes_per_s: float, now: float) -> bool:
        """Returns whether a message may be sent now."""
        self._refill(rate_bytes_per_s, now)
        return self._tokens > 0

    def consume(self, size: int, *, rate_bytes_per_s: float, now: float) -> None:
        """Subtracts the size of a message in bytes."""
        self._refill(rate_bytes_per_s, now)
        self._tokens -= size

    def _refill(self, rate_bytes_per_s: float, now: float) -> None:
        burst = rate_bytes_per_s * self._burst_s
        if self._updated_at is None:
            self._tokens = burst
        else:
            self._tokens = min(burst, self._tokens + rate_bytes_per_s * (now - self._updated_at))
        self._updated_at = now


class LinkAllowances:
    """Enforces this entry VM's share of each link between its region and another."""

    def __init__(self, *, region: str, units: UnitOwnership, state: Callable[[], State]) -> None:
        """Starts without links.

        Args:
            region: Region of this entry VM.
            units: Finds the units that this entry VM owns.
            state: Returns the state in force.
        """
        self._region = region
        self._units = units
        self._state = state
        self._buckets: dict[tuple[str, LinkDirection], TokenBucket] = {}

    def may_send(self, to_region: str, *, now: float) -> bool:
        """Returns whether a request may be sent to a region.

        Both directions must have tokens left, because the response uses the link too. Without a
        configured link, traffic is not limited.
        """
        rate_bytes_per_s = self.rate_bytes_per_s(to_region)
        if rate_bytes_per_s is None:
            return True
        return all(
            self._bucket(to_region, direction).has_tokens(
                rate_bytes_per_s=rate_bytes_per_s, now=now
            )
            for direction in LinkDirection
        )

    def consume(self, to_region: str, direction: LinkDirection, size: int, *, now: float) -> None:
        """Subtracts the size in bytes of a request (out) or a response (in) from the share."""
        rate_bytes_per_s = self.rate_bytes_per_s(to_region)
        if rate_bytes_per_s is not None:
            self._bucket(to_region, direction).consume(
                size, rate_bytes_per_s=rate_bytes_per_s, now=now
            )

    def rate_bytes_per_s(self, to_region: str) -> float | None:
        """Returns this entry VM's bytes per second in each direction, or None without a link."""
        state = self._state()
        ends = {self._region, to_region}
        for name, link in state.links.items():
            if set(link["regions"]) == ends:
                return self._own_rate_bytes_per_s(state, name, link)
        return None

    def _own_rate_bytes_per_s(self, state: State, name: str, link: LinkDocument) -> float:
        owned = len(self._units.owned_units(state, f"link/{name}", count=_UNITS_PER_LINK))
        return link["mbits"] * _BYTES_PER_MBIT / 2 * owned / _UNITS_PER_LINK

    def _bucket(self, to_region: str, direction: LinkDirection) -> TokenBucket:
        key = (to_region, direction)
        if key not in self._buckets:
            self._buckets[key] = TokenBucket(burst_s=_BURST_S)
        return self._buckets[key]
