"""Selection of the sibling that sends a request on behalf of this entry VM.

Load pattern: all VMs of a failure domain lose their targets at once and look for help from the
same few siblings. Each sibling divides what it can take among the VMs that ask. A VM prefers
siblings that reached a target just now, then those of its own region, and among these the one that
is least used in proportion to its room, so that the load spreads. A sibling that stops answering is
not used any more.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

#: Seconds after which a sibling's offer expires. Offers are requested several times in this time.
OFFER_VALIDITY_S = 1.5
#: Seconds since a sibling reached a target for which it is preferred to others: those may have lost
#: their own paths without knowing it yet.
RECENTLY_REACHED_S = 0.7


class ServicePaths(NamedTuple):
    """What a sibling reaches of one service.

    Attributes:
        slots: Slots of the targets that are not down, by region.
        reached_age_s: Seconds since the sibling reached a target; None if it never did.
    """

    slots: dict[str, int]
    reached_age_s: float | None


class Offer(NamedTuple):
    """A sibling's offer to send requests of another VM.

    Attributes:
        vm: Name of the sibling.
        address: ``IP:PORT`` to which requests are passed on.
        failure_domain: Its failure domain.
        region: Its region.
        room: Number of requests that this VM may have in progress there.
        services: What the sibling reaches, by service.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    room: int
    services: Mapping[str, ServicePaths]


class _Helper:
    def __init__(self, *, offer: Offer, now: float) -> None:
        self.offer = offer
        self.offered_at = now
        self.in_progress = 0


class Helpers:
    """The siblings that offer to send requests of this entry VM."""

    def __init__(self, *, failure_domain: str, region: str) -> None:
        """Starts without offers.

        Args:
            failure_domain: Failure domain of this entry VM.
            region: Region of this entry VM.
        """
        self._failure_domain = failure_domain
        self._region = region
        self._helpers: dict[str, _Helper] = {}

    @property
    def has_requests(self) -> bool:
        """Whether any request is in progress at a sibling."""
        return any(helper.in_progress for helper in self._helpers.values())

    def has_offer(self, service: str, *, now: float) -> bool:
        """Returns whether a sibling with a valid offer reaches a service."""
        return any(
            self._is_valid(helper, now) and _reaches(helper.offer, service, ())
            for helper in self._helpers.values()
        )

    def update(self, offer: Offer, *, now: float) -> None:
        """Stores a sibling's offer in place of its previous one."""
        helper = self._helpers.get(offer.vm)
        if helper is None:
            self._helpers[offer.vm] = _Helper(offer=offer, now=now)
        else:
            helper.offer, helper.offered_at = offer, now

    def remove(self, vm: str) -> None:
        """Discards the offer of a sibling that could not be reached, until its next one."""
        helper = self._helpers.get(vm)
        if helper is not None:
            helper.offered_at = float("-inf")

    def pop_expired(self, *, now: float) -> list[str]:
        """Removes siblings without a valid offer; returns those with requests in progress."""
        expired = [vm for vm, helper in self._helpers.items() if not self._is_valid(helper, now)]
        return [vm for vm in expired if self._helpers.pop(vm).in_progress]

    def choose(
        self,
        service: str,
        *,
        allowed_regions: Collection[str],
        excluded: Collection[str],
        now: float,
    ) -> Offer | None:
        """Returns the offer to use for a request, or None if there is none with room.

        Args:
            service: Service of the request.
            allowed_regions: Regions that may receive the request; empty for all.
            excluded: Siblings that the request was passed on to before.
            now: Current time in monotonic seconds.
        """
        usable = [
            helper
            for helper in self._helpers.values()
            if self._is_valid(helper, now)
            and helper.in_progress < helper.offer.room
            and helper.offer.vm not in excluded
            and _reaches(helper.offer, service, allowed_regions)
        ]
        best = min(usable, key=lambda helper: self._preference(helper, service, now), default=None)
        return best.offer if best else None

    def record_start(self, vm: str) -> None:
        """Counts a request that is passed on to a sibling."""
        self._helpers[vm].in_progress += 1

    def record_end(self, vm: str) -> None:
        """Counts the end of a request at a sibling."""
        helper = self._helpers.get(vm)
        if helper is not None:
            helper.in_progress = max(0, helper.in_progress - 1)

    def _is_valid(self, helper: _Helper, now: float) -> bool:
        return now - helper.offered_at <= OFFER_VALIDITY_S

    def _preference(
        self, helper: _Helper, service: str, now: float
    ) -> tuple[bool, bool, float, bool]:
        offer = helper.offer
        age_s = offer.services[service].reached_age_s
        is_recent = age_s is not None and age_s + now - helper.offered_at <= RECENTLY_REACHED_S
        return (
            not is_recent,
            offer.region != self._region,
            helper.in_progress / offer.room,
            offer.failure_domain != self._failure_domain,
        )


def _reaches(offer: Offer, service: str, allowed_regions: Collection[str]) -> bool:
    paths = offer.services.get(service)
    if paths is None:
        return False
    if not allowed_regions:
        return any(paths.slots.values())
    has_targets = any(paths.slots.get(region) for region in allowed_regions)
    return offer.region in allowed_regions and has_targets
