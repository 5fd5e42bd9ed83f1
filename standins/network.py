"""Simulated network of entry VMs in memory: clock, delays, partitions, pauses and exchanges."""

import heapq
import itertools
from collections.abc import Callable

from carawaybank.steering.exchange import Exchange
from carawaybank.steering.ownership import DeathProof
from standins.fleet_models import Delays, FleetVm, Locality


class Network:
    """Entry VMs and the links between them, with an event queue on a simulated clock.

    Attributes:
        now: Simulated time in seconds.
        delays: Delays by distance.
        vms: Entry VMs by name, including killed ones.
        cut_links: Pairs of failure domains, or of entry VMs, whose link is cut.
        exchange_count: Number of exchanges sent so far.
    """

    def __init__(self, *, delays: Delays) -> None:
        """Creates a network at time 0 with neither entry VMs nor cut links.

        Args:
            delays: One-way delays by distance.
        """
        self.now = 0.0
        self.delays = delays
        self.vms: dict[str, FleetVm] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.exchange_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    @property
    def remaining_s(self) -> float:
        """Seconds until the last scheduled event; 0 without events."""
        return max((at for at, _, _ in self._events), default=self.now) - self.now

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedules a call; calls that are due at the same time run in the order of scheduling."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence_numbers), call))

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs all events that become due."""
        end_at = self.now + seconds
        while self._events and self._events[0][0] <= end_at:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end_at

    def kill(self, vm: str) -> None:
        """Ends an entry VM at once; it neither sends nor receives from then on."""
        self.vms[vm].alive = False

    def pause(self, vm: str, seconds: float) -> None:
        """Suspends an entry VM; what reaches it during the pause is processed at the end."""
        self.vms[vm].paused_until = self.now + seconds

    def cut_link(self, one: str, other: str) -> None:
        """Cuts the link between two failure domains or two entry VMs, in both directions."""
        self.cut_links.add(frozenset((one, other)))

    def restore_links(self) -> None:
        """Restores all links."""
        self.cut_links.clear()

    def _domains_connected(self, one: Locality, other: Locality) -> bool:
        return frozenset((one.failure_domain, other.failure_domain)) not in self.cut_links

    def _vms_connected(self, one: FleetVm, other: FleetVm) -> bool:
        is_cut = frozenset((one.name, other.name)) in self.cut_links
        return not is_cut and self._domains_connected(one.locality, other.locality)

    def _delay(self, one: Locality, other: Locality) -> float:
        if one.region != other.region:
            return self.delays.between_regions_s
        if one.failure_domain != other.failure_domain:
            return self.delays.between_domains_s
        return self.delays.within_domain_s

    def _call_when_running(self, vm: FleetVm, call: Callable[[], None]) -> None:
        """Calls now, or after the end of a pause; never if the VM has been killed by then."""
        if self.now < vm.paused_until:
            self.call_later(vm.paused_until - self.now, lambda: self._call_when_running(vm, call))
        elif vm.alive:
            call()

    def _exchange(self, vm: FleetVm, other: FleetVm, *, first: bool = False) -> None:
        """Sends an exchange; ``first`` is one to a VM of which only the address is known."""
        message = vm.host.make_exchange(None if first else other.name)
        incarnation = other.host.membership.own.incarnation
        self.exchange_count += 1
        sent_at = self.now
        delay_s = self._delay(vm.locality, other.locality)

        def deliver() -> None:
            if not self._vms_connected(vm, other):
                return
            if not other.alive:
                self.call_later(delay_s, lambda: self._report_refusal(vm, other.name, incarnation))
                return
            self._call_when_running(other, respond)

        def respond() -> None:
            reply = other.host.handle_exchange(message)
            if self._vms_connected(vm, other):
                self.call_later(
                    delay_s, lambda: self._call_when_running(vm, lambda: receive(reply))
                )

        def receive(reply: Exchange) -> None:
            vm.host.handle_response(reply, sent_at=sent_at)

        self.call_later(delay_s, deliver)

    def _report_refusal(self, vm: FleetVm, other: str, incarnation: int) -> None:
        proof = DeathProof.CONNECTION_REFUSED
        self._call_when_running(
            vm, lambda: _discard(vm.host.record_death(other, incarnation, proof))
        )


def _discard(_: object) -> None:
    """Discards a result where the callback type expects None."""
