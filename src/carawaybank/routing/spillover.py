"""Spillover: the shares of a region's requests that run in other regions.

Load pattern: a region has fewer slots than its callers need, or demand moves between regions in
waves. Sending requests to the region that is fastest at each moment would make demand oscillate,
and objects would be cold wherever they arrive. The shares are therefore computed from the regions'
slots alone, so that all entry VMs of a region assign an object to the same region without
exchanging messages; they change only when slots are added or removed. Beyond these shares, a full
region may send a small fraction of its requests elsewhere, which bounds how fast demand shifts.
"""

from collections.abc import Mapping

from carawaybank.routing.windows import SlidingCount

#: Fraction of its own demand that a region or failure domain with the mean number of slots may run
#: locally; above 1, small differences in slots cause no spillover.
LOCAL_DEMAND_FACTOR = 1.1
#: Fraction of the maximum shift that requests leaving a full region may use; the rest is left for
#: changes of the shares and for random variation.
SPILLOVER_SHIFT_FRACTION = 2 / 3
#: Window in seconds over which the shift of requests between regions is bounded.
SHIFT_WINDOW_S = 2.0


class DomainShares:
    """Shares of the requests in one region by failure domain.

    Load pattern: large bodies saturate the links between failure domains although the targets in
    the caller's own have free slots. The entry VMs of a failure domain assign an object to it as
    long as its share of the region's slots allows, without exchanging messages.

    >>> shares = DomainShares(local="a1")
    >>> shares.update({"a1": 4, "a2": 4})
    >>> shares.choose(point=0.99)
    'a1'
    """

    def __init__(self, *, local: str) -> None:
        """Assigns all requests to the local failure domain.

        Args:
            local: Failure domain of this entry VM.
        """
        self._local = local
        self._slots: dict[str, int] = {}
        self._shares: list[tuple[str, float]] = [(local, 1.0)]

    def update(self, slots: Mapping[str, int]) -> None:
        """Recomputes the shares from the usable slots of the region by failure domain."""
        if slots == self._slots:
            return
        self._slots = dict(slots)
        slots = {name: count for name, count in slots.items() if count}
        total = sum(slots.values())
        mean_slots = total / max(1, len(slots))
        local_share = (
            min(1.0, LOCAL_DEMAND_FACTOR * slots.get(self._local, 0) / mean_slots) if total else 0.0
        )
        spare = {
            name: max(0.0, LOCAL_DEMAND_FACTOR * count / mean_slots - 1)
            for name, count in slots.items()
        }
        if self._local not in slots or not sum(spare.values()):
            spare = {name: float(count) for name, count in slots.items()}
        spare.pop(self._local, None)
        total_spare = sum(spare.values())
        shares = [
            (name, (1 - local_share) * excess / total_spare)
            for name, excess in spare.items()
            if total_spare
        ]
        self._shares = [(self._local, local_share), *sorted(shares)]

    def choose(self, *, point: float) -> str:
        """Returns the failure domain that a request is assigned to.

        Args:
            point: A number in [0, 1), the same for all requests on one object.
        """
        remaining = point
        for name, share in self._shares:
            remaining -= share
            if remaining < 0:
                return name
        return max(self._shares, key=lambda entry: entry[1])[0]


class RegionShares:
    """Shares of one service's requests by the region in which they run.

    >>> shares = RegionShares(local="a")
    >>> shares.update({"a": 1, "b": 5})
    >>> shares.choose(point=0.36), shares.choose(point=0.37)
    ('a', 'b')
    """

    def __init__(self, *, local: str, max_shift: float = 0.15) -> None:
        """Assigns all requests to the local region.

        Args:
            local: Region of this entry VM.
            max_shift: Maximum share of the requests that may change their region between two
                windows.
        """
        self._spillover_fraction = SPILLOVER_SHIFT_FRACTION * max_shift
        self._local = local
        self._slots: dict[str, int] = {}
        self._shares: dict[str, float] = {local: 1.0}
        self._requests = SlidingCount(window_s=SHIFT_WINDOW_S)
        self._spillovers = SlidingCount(window_s=SHIFT_WINDOW_S)

    def share(self, region: str) -> float:
        """Returns the share of the requests that run in a region, from 0 to 1."""
        return self._shares.get(region, 0.0)

    def update(self, slots: Mapping[str, int]) -> None:
        """Recomputes the shares from the usable slots by region."""
        if slots == self._slots:
            return
        self._slots = dict(slots)
        mean_slots = sum(slots.values()) / max(1, len(slots))
        capacity = {
            region: LOCAL_DEMAND_FACTOR * count / mean_slots if mean_slots else 0.0
            for region, count in slots.items()
        }
        local_share = min(1.0, capacity.get(self._local, 0.0))
        spare = {region: max(0.0, factor - 1.0) for region, factor in capacity.items()}
        spare.pop(self._local, None)
        total = sum(spare.values())
        if not total:
            local_share = 1.0 if local_share else 0.0
            spare = {region: factor for region, factor in capacity.items() if region != self._local}
            total = sum(spare.values())
        self._shares = {
            region: (1.0 - local_share) * excess / total
            for region, excess in spare.items()
            if total
        }
        self._shares[self._local] = local_share

    def record_request(self, *, now: float) -> None:
        """Counts a request, which raises the number of requests that may leave a full region."""
        self._requests.add(now=now)

    def try_spillover(self, *, now: float) -> bool:
        """Counts a request that may leave a full region; returns False if the limit is reached."""
        if self._spillovers.total(now=now) >= self._spillover_fraction * self._requests.total(
            now=now
        ):
            return False
        self._spillovers.add(now=now)
        return True

    def choose(self, *, point: float) -> str:
        """Returns the region that a request is assigned to.

        Args:
            point: A number in [0, 1), the same for all requests on one object.
        """
        remaining = point
        for region in sorted(self._shares, key=lambda name: (name != self._local, name)):
            remaining -= self._shares[region]
            if remaining < 0:
                return region
        return self._local


class LocalityShares:
    """Shares of the requests of all services by region, and within a region by failure domain."""

    def __init__(self, *, failure_domain: str, region: str, max_shift: float) -> None:
        """Creates the shares without services.

        Args:
            failure_domain: Failure domain of this entry VM.
            region: Region of this entry VM.
            max_shift: Maximum share of the requests that may change their region between two
                windows.
        """
        self._failure_domain = failure_domain
        self._region = region
        self._max_shift = max_shift
        self._by_service: dict[str, RegionShares] = {}
        self._by_region: dict[tuple[str, str], DomainShares] = {}

    def regions(self, service: str) -> RegionShares:
        """Returns the shares of a service's requests by region."""
        if service not in self._by_service:
            self._by_service[service] = RegionShares(local=self._region, max_shift=self._max_shift)
        return self._by_service[service]

    def domains(self, service: str, region: str) -> DomainShares:
        """Returns the shares of a service's requests in a region by failure domain."""
        key = (service, region)
        if key not in self._by_region:
            self._by_region[key] = DomainShares(local=self._failure_domain)
        return self._by_region[key]
