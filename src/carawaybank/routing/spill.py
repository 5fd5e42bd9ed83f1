"""How much of a region's demand runs in other regions, and how fast that may change.

Load pattern: demand moves between regions in waves, or a region has fewer targets than its
callers need. Sending each request to the cheapest region at that instant would swing the whole
demand back and forth and overload one region after the other. Shares follow the cheapest choice
at a limited rate, which each entry VM keeps for its own callers; so it holds for their sum.
Objects keep to their region while the shares move, since the draw is made from the object.
"""

from collections.abc import Mapping

from carawaybank.routing.windows import SlidingCount

#: Demand, as a part of all slots, for which the first shares are made.
EXPECTED_USE = 0.5
#: Part of the requests that may leave a full region besides its share.
SPILL_PART = 0.05
#: Window in seconds over which changes of the shares are bounded.
SHIFT_WINDOW_S = 2.0


class RegionShares:
    """Shares of one service's requests by region in which they run.

    >>> shares = RegionShares(home="a", rate=0.05)
    >>> shares.start({"a": 1, "b": 2})
    >>> shares.choose(draw=0.6), shares.choose(draw=0.7)
    ('a', 'b')
    >>> shares.prefer("b", now=0.0); shares.prefer("b", now=1.0)
    >>> round(shares.share("a"), 2)
    0.62
    """

    def __init__(self, *, home: str, rate: float) -> None:
        """Starts with everything at home.

        Args:
            home: Region of this entry VM.
            rate: Largest change of the shares in a second.
        """
        self._home = home
        self._rate = rate
        self._shares: dict[str, float] = {home: 1.0}
        self._updated: float | None = None
        self._started = False
        self._requests = SlidingCount(window_s=SHIFT_WINDOW_S)
        self._spilled = SlidingCount(window_s=SHIFT_WINDOW_S)

    @property
    def started(self) -> bool:
        """Whether first shares were set."""
        return self._started

    def share(self, region: str) -> float:
        """Returns the share of a region, from 0 to 1."""
        return self._shares.get(region, 0.0)

    def start(self, slots: Mapping[str, int]) -> None:
        """Sets the first shares by the regions' slots, as if callers were spread evenly."""
        self._started = True
        total = sum(slots.values())
        if not total:
            return
        own = len(slots) * slots.get(self._home, 0) / total
        at_home = min(1.0, own / EXPECTED_USE)
        abroad = total - slots.get(self._home, 0)
        self._shares = {
            region: (1.0 - at_home) * count / abroad if abroad else 0.0
            for region, count in slots.items()
        }
        self._shares[self._home] = at_home

    def prefer(self, region: str, *, now: float) -> None:
        """Moves the shares towards a region, by the time since the last call."""
        if self._updated is not None:
            self._move(region, self._rate * min(1.0, now - self._updated))
        self._updated = now

    def note_request(self, *, now: float) -> None:
        """Counts a request."""
        self._requests.add(now=now)

    def try_spill(self, *, now: float) -> bool:
        """Takes one request out of its region; returns whether it may leave."""
        if self._spilled.total(now=now) >= SPILL_PART * self._requests.total(now=now):
            return False
        self._spilled.add(now=now)
        return True

    def evict(self, usable: set[str]) -> None:
        """Moves the shares of regions that cannot run anything to the others at once."""
        kept = {region: share for region, share in self._shares.items() if region in usable}
        total = sum(kept.values())
        if len(kept) == len(self._shares) or not usable:
            return
        if total > 0:
            self._shares = {region: share / total for region, share in kept.items()}
        else:
            self._shares = dict.fromkeys(usable, 1.0 / len(usable))

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

    def _move(self, region: str, step: float) -> None:
        room = 1.0 - self.share(region)
        if room <= 0:
            return
        step = min(step, room)
        for other, share in self._shares.items():
            if other != region:
                self._shares[other] = share - step * share / room
        self._shares[region] = self.share(region) + step
