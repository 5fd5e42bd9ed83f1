"""How much of a region's demand runs in other regions.

Load pattern: a region has fewer slots than its callers need, or demand moves between regions in
waves. Following the cheapest region of each instant would swing the demand back and forth, and
objects would be cold wherever they arrive. Shares are worked out from the regions' slots alone, so
that all entry VMs of a region place an object in the same region without any message; they change
only when slots come or go. Beyond its share, a full region may let a small part of the requests
leave, which bounds how fast demand shifts.
"""

from collections.abc import Mapping

from carawaybank.routing.windows import SlidingCount

#: Demand of a region that its own slots are given, in multiples of an even spread over all slots.
LOCALITY = 1.1
#: Part of the largest permitted shift that requests leaving a full region may make up; the rest is
#: left for changes of the shares and for chance.
SPILL_PART_OF_SHIFT = 2 / 3
#: Window in seconds over which changes of the regions' shares are bounded.
SHIFT_WINDOW_S = 2.0


class DomainShares:
    """Shares of the requests that run in one region by failure domain.

    Load pattern: large bodies fill the links between failure domains, while the targets of the
    caller's own have room. The entry VMs of a failure domain place an object there as long as its
    share of the region's slots allows, without any message.

    >>> shares = DomainShares(home="a1")
    >>> shares.update({"a1": 4, "a2": 4})
    >>> shares.choose(draw=0.99)
    'a1'
    """

    def __init__(self, *, home: str) -> None:
        """Starts with everything at home.

        Args:
            home: Failure domain of this entry VM.
        """
        self._home = home
        self._slots: dict[str, int] = {}
        self._shares: list[tuple[str, float]] = [(home, 1.0)]

    def update(self, slots: Mapping[str, int]) -> None:
        """Takes the usable slots of the region by failure domain."""
        if slots == self._slots:
            return
        self._slots = dict(slots)
        slots = {name: count for name, count in slots.items() if count}
        total = sum(slots.values())
        even = total / max(1, len(slots))
        at_home = min(1.0, LOCALITY * slots.get(self._home, 0) / even) if total else 0.0
        spare = {name: max(0.0, LOCALITY * count / even - 1) for name, count in slots.items()}
        if self._home not in slots or not sum(spare.values()):
            spare = {name: float(count) for name, count in slots.items()}
        spare.pop(self._home, None)
        away = sum(spare.values())
        shares = [(name, (1 - at_home) * part / away) for name, part in spare.items() if away]
        self._shares = [(self._home, at_home), *sorted(shares)]

    def choose(self, *, draw: float) -> str:
        """Returns the failure domain of a request.

        Args:
            draw: A number from 0 up to 1, the same for requests on one object.
        """
        mark = draw
        for name, share in self._shares:
            mark -= share
            if mark < 0:
                return name
        return max(self._shares, key=lambda part: part[1])[0]


class RegionShares:
    """Shares of one service's requests by region in which they run.

    >>> shares = RegionShares(home="a")
    >>> shares.update({"a": 1, "b": 5})
    >>> shares.choose(draw=0.36), shares.choose(draw=0.37)
    ('a', 'b')
    """

    def __init__(self, *, home: str, most_shift: float = 0.15) -> None:
        """Starts with everything at home.

        Args:
            home: Region of this entry VM.
            most_shift: Largest part of the requests that may change their region between two
                windows.
        """
        self._spill_part = SPILL_PART_OF_SHIFT * most_shift
        self._home = home
        self._slots: dict[str, int] = {}
        self._shares: dict[str, float] = {home: 1.0}
        self._requests = SlidingCount(window_s=SHIFT_WINDOW_S)
        self._spilled = SlidingCount(window_s=SHIFT_WINDOW_S)

    def share(self, region: str) -> float:
        """Returns the share of a region, from 0 to 1."""
        return self._shares.get(region, 0.0)

    def update(self, slots: Mapping[str, int]) -> None:
        """Takes the usable slots by region."""
        if slots == self._slots:
            return
        self._slots = dict(slots)
        even = sum(slots.values()) / max(1, len(slots))
        room = {region: LOCALITY * count / even if even else 0.0 for region, count in slots.items()}
        at_home = min(1.0, room.get(self._home, 0.0))
        spare = {region: max(0.0, part - 1.0) for region, part in room.items()}
        spare.pop(self._home, None)
        total = sum(spare.values())
        if not total:
            at_home = 1.0 if at_home else 0.0
            spare = {region: part for region, part in room.items() if region != self._home}
            total = sum(spare.values())
        self._shares = {
            region: (1.0 - at_home) * part / total for region, part in spare.items() if total
        }
        self._shares[self._home] = at_home

    def note_request(self, *, now: float) -> None:
        """Counts a request."""
        self._requests.add(now=now)

    def try_spill(self, *, now: float) -> bool:
        """Takes one request out of its region; returns whether it may leave."""
        if self._spilled.total(now=now) >= self._spill_part * self._requests.total(now=now):
            return False
        self._spilled.add(now=now)
        return True

    def choose(self, *, draw: float) -> str:
        """Returns the region of a request.

        Args:
            draw: A number from 0 up to 1, the same for requests on one object.
        """
        mark = draw
        for region in sorted(self._shares, key=lambda name: (name != self._home, name)):
            mark -= self._shares[region]
            if mark < 0:
                return region
        return self._home


class PlaceShares:
    """The shares of all services by region, and within a region by failure domain."""

    def __init__(self, *, failure_domain: str, region: str, most_shift: float) -> None:
        """Starts without services.

        Args:
            failure_domain: Failure domain of this entry VM.
            region: Region of this entry VM.
            most_shift: Largest part of the requests that may change their region between two
                windows.
        """
        self._failure_domain = failure_domain
        self._region = region
        self._most_shift = most_shift
        self._by_service: dict[str, RegionShares] = {}
        self._by_region: dict[tuple[str, str], DomainShares] = {}

    def regions(self, service: str) -> RegionShares:
        """Returns the shares of a service's requests by region."""
        if service not in self._by_service:
            self._by_service[service] = RegionShares(home=self._region, most_shift=self._most_shift)
        return self._by_service[service]

    def domains(self, service: str, region: str) -> DomainShares:
        """Returns the shares of a service's requests in a region by failure domain."""
        key = (service, region)
        if key not in self._by_region:
            self._by_region[key] = DomainShares(home=self._failure_domain)
        return self._by_region[key]
