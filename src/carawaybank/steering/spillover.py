"""Spillover: relaying a request to a sibling instead of running it on an owned target."""

import random
from collections.abc import Callable

from carawaybank.steering.links import LinkAllowances, LinkDirection
from carawaybank.steering.membership import Membership
from carawaybank.steering.messages import Relay, RelayEnded
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.pools import Pool
from carawaybank.steering.progress import RequestProgress
from carawaybank.steering.relays import RelaySelector
from carawaybank.steering.shifts import ShiftAllowances
from carawaybank.steering.tickets import State
from carawaybank.steering.units import UnitOwnership
from carawaybank.verdicts import MayHaveRun, Reason

#: Maximum number of siblings that one request is relayed to.
_MAX_RELAYS = 10
_MAX_RELAYS_OVERLOADED = 3
#: Amount by which the utilisation threshold of a service that weighs only headroom is below that of
#: a service that weighs only latency, which is 1.
_SPILLOVER_UTILISATION_SPAN = 0.4
#: Minimum number of free slots that a sibling must have reported to get a request for headroom.
_SPILLOVER_MIN_FREE = 2


class Spillover:
    """Selects the siblings for relays and enforces the limits of the shifts and links they use."""

    def __init__(
        self,
        *,
        membership: Membership,
        ownership: Ownership,
        former_owner_units: Callable[[str], int],
        state: Callable[[], State],
        ramp_s: float,
        rng: random.Random,
    ) -> None:
        """Starts without shifts and links.

        Args:
            membership: The known entry VMs.
            ownership: Owners of the keys of the cell.
            former_owner_units: Returns the units of a key that former owners still use.
            state: Returns the state in force.
            ramp_s: Seconds after which a raised cap applies in full.
            rng: Random generator for sampling and tie breaks.
        """
        own = membership.own
        units = UnitOwnership(region=own.region, cell=own.cell, ownership=ownership)
        self._membership = membership
        self._state = state
        self._ramp_s = ramp_s
        self.shifts = ShiftAllowances(
            region=own.region, units=units, former_owner_units=former_owner_units
        )
        self.links = LinkAllowances(region=own.region, units=units, state=state)
        self.relays = RelaySelector(membership=membership, rng=rng)

    def choose_for_headroom(
        self, progress: RequestProgress, pool: Pool, now: float
    ) -> Relay | None:
        """Returns a relay that preserves headroom in the own pool, or None.

        The utilisation of the pool must have reached the threshold of the service, and the sibling
        must have reported more free slots than the pool has. Requests that were relayed already or
        tried at a target are never relayed in this way.
        """
        service = progress.request.service
        if progress.relayed or progress.relayed_to or progress.tried_targets:
            return None
        if not pool.capacity or pool.in_use < pool.capacity * self._spillover_threshold(service):
            return None
        min_free = max(_SPILLOVER_MIN_FREE, pool.free + 1)
        return self._choose(progress, now, min_free=min_free)

    def choose_relay(
        self, progress: RequestProgress, now: float, *, overloaded: bool
    ) -> Relay | None:
        """Returns a relay to the best sibling that was not tried yet, or None.

        Args:
            progress: Progress of the request.
            now: The time in seconds.
            overloaded: Whether many requests of the customer are refused.
        """
        self.relays.overloaded = overloaded
        limit = _MAX_RELAYS_OVERLOADED if overloaded else _MAX_RELAYS
        if len(progress.relayed_to) >= limit:
            return None
        return self._choose(progress, now, min_free=0)

    def finish_relay(self, progress: RequestProgress, message: RelayEnded, now: float) -> None:
        """Releases the shift unit of a relay that ended, and counts the response on its link.

        If the request may have run, its unit lingers until the deadline of the request.
        """
        if progress.held_shift is not None:
            may_linger = isinstance(message.verdict, MayHaveRun)
            until = progress.request.deadline if may_linger else None
            self.shifts.release(progress.held_shift, linger_until=until)
            progress.held_shift = None
        if progress.remote_region is not None:
            self.links.consume(progress.remote_region, LinkDirection.IN, message.size, now=now)
            progress.remote_region = None

    def _choose(self, progress: RequestProgress, now: float, *, min_free: int) -> Relay | None:
        vm = self.relays.choose_near(
            self._state(),
            progress.request.service,
            tried=progress.relayed_to,
            now=now,
            min_free=min_free,
        )
        if vm is None:
            vm = self._choose_far(progress, now, min_free=min_free)
        member = self._membership.find(vm) if vm else None
        if member is None:
            return None
        progress.relayed_to.add(member.vm)
        return Relay(
            key=progress.key,
            vm=member.vm,
            address=member.control_address,
            deadline=progress.request.deadline,
            tried=progress.tried_targets,
            fresh_connection=not progress.request.repeatable,
        )

    def _choose_far(self, progress: RequestProgress, now: float, *, min_free: int) -> str | None:
        service = progress.request.service
        tried = progress.relayed_to
        for shift, region in self.shifts.destinations(service):
            vm = self.relays.choose_far(
                self._state(), service, region, tried=tried, now=now, min_free=min_free
            )
            if vm is None:
                continue
            link_has_tokens = self.links.may_send(region, now=now)
            if link_has_tokens and self.shifts.try_acquire(shift, ramp_s=self._ramp_s, now=now):
                progress.held_shift = shift
                progress.remote_region = region
                self.links.consume(region, LinkDirection.OUT, progress.request.size, now=now)
                return vm
            progress.refusal_reason = Reason.OVER_CAP
        return None

    def _spillover_threshold(self, service: str) -> float:
        """Returns the utilisation of the own pool, 0 to 1, from which requests are relayed.

        The more a service weighs headroom against latency, the lower it is.
        """
        document = self._state().services[service]
        headroom = document.get("headroom_weight", 1.0)
        total_weight = headroom + document.get("latency_weight", 1.0)
        return 1.0 - _SPILLOVER_UTILISATION_SPAN * headroom / total_weight if total_weight else 1.0
