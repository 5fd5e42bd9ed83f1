"""The network of a fleet in memory: time, delays, cuts, pauses and exchanges."""

import heapq
import itertools
from collections.abc import Callable

from carawaybank.steering.exchange import Exchange
from carawaybank.steering.ownership import DeathProof
from standins.fleet_models import Delays, FleetVm, Place


class Network:
    """Entry VMs and the links between them, on a manual clock."""

    def __init__(self, *, delays: Delays) -> None:
        """Starts at time 0 with all links whole.

        Args:
            delays: Delays between places.
        """
        self.now = 0.0
        self.delays = delays
        self.vms: dict[str, FleetVm] = {}
        self.cuts: set[frozenset[str]] = set()
        self.messages = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def horizon(self) -> float:
        """Seconds until the last event that is scheduled."""
        return max((at for at, _, _ in self._events), default=self.now) - self.now

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls back after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def kill(self, vm: str) -> None:
        """Ends an entry VM at once."""
        self.vms[vm].alive = False

    def pause(self, vm: str, seconds: float) -> None:
        """Freezes an entry VM."""
        self.vms[vm].paused_until = self.now + seconds

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two failure domains, or entry VMs of one."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mends all links."""
        self.cuts.clear()

    def _reaches(self, one: Place, other: Place) -> bool:
        return frozenset((one.failure_domain, other.failure_domain)) not in self.cuts

    def _vm_reaches(self, one: FleetVm, other: FleetVm) -> bool:
        cut = frozenset((one.name, other.name)) in self.cuts
        return not cut and self._reaches(one.place, other.place)

    def _delay(self, one: Place, other: Place) -> float:
        if one.region != other.region:
            return self.delays.between_regions
        if one.failure_domain != other.failure_domain:
            return self.delays.between_domains
        return self.delays.within_domain

    def _when_awake(self, vm: FleetVm, call: Callable[[], None]) -> None:
        if self.now < vm.paused_until:
            self.after(vm.paused_until - self.now, lambda: self._when_awake(vm, call))
        elif vm.alive:
            call()

    def _exchange(self, vm: FleetVm, other: FleetVm, *, first: bool = False) -> None:
        message = vm.host.compose(None if first else other.name)
        incarnation = other.host.membership.own.incarnation
        self.messages += 1
        sent_at = self.now
        delay = self._delay(vm.place, other.place)

        def arrive() -> None:
            if not self._vm_reaches(vm, other):
                return
            if not other.alive:
                self.after(delay, lambda: self._refused(vm, other.name, incarnation))
                return
            self._when_awake(other, answer)

        def answer() -> None:
            reply = other.host.answer(message)
            if self._vm_reaches(vm, other):
                self.after(delay, lambda: self._when_awake(vm, lambda: take(reply)))

        def take(reply: Exchange) -> None:
            vm.host.receive(reply, sent_at=sent_at)

        self.after(delay, arrive)

    def _refused(self, vm: FleetVm, other: str, incarnation: int) -> None:
        proof = DeathProof.CONNECTION_REFUSED
        self._when_awake(vm, lambda: _ignore(vm.host.prove_dead(other, incarnation, proof)))


def _ignore(_: object) -> None:
    """Drops a result."""
