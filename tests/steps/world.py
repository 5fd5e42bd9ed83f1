"""The fleet under a scenario, with invariants checked after every step."""

import math
from collections import Counter

import pytest
from pytest_bdd import given, parsers

from standins.places import NISHIKAWA, PRAIRIE, User, make_fleet

USERS = {"Prairie": PRAIRIE, "Nishikawa": NISHIKAWA}
SETTLE_S = 15.0
LONGEST_S = 700.0


class World:
    """A fleet under a scenario, with invariants checked after every step."""

    def __init__(self, *, user: User, cap: int, utilisation: float = 1.0) -> None:
        regions = list(user.domains)
        self.user = user
        self.caps = {
            (service.name, start, end): cap
            for service in user.services
            for start in regions
            for end in regions
            if start != end
        }
        self.utilisation = utilisation
        self.region_peak: Counter[tuple[str, str]] = Counter()
        self.fleet = make_fleet(user, caps=self.caps, utilisation=utilisation)
        self.started = self.fleet.now
        self.orders: dict[str, str] = {}
        self.crashing = "crashing"
        self.served: dict[str, int] = {}
        self.leaving_since: dict[str, float] = {}

    def run(self, seconds: float) -> None:
        """Lets time pass in small steps and checks what must hold after each."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(min(0.05, until - self.fleet.now))
            self.check()

    def check(self) -> None:
        self._check_caps()
        self._check_slots()
        if self.utilisation < 1:
            self._check_regions()
        self._check_tickets()

    def at(self, seconds: float, call) -> None:
        self.fleet.after(seconds, call)

    def answers(self, request_id: str):
        return [e.verdict for e in self.fleet.ended if e.info.request_id == request_id]

    def _check_caps(self) -> None:
        for (start, end), used in self.fleet.shift_use.items():
            if start != end:
                allowed = sum(cap for (_, s, e), cap in self.caps.items() if (s, e) == (start, end))
                assert used <= allowed, f"{used} requests from {start} to {end}, cap {allowed}"

    def _check_slots(self) -> None:
        for target in self.fleet.targets.values():
            assert target.busy <= target.slots

    def _check_regions(self) -> None:
        busy: Counter[tuple[str, str]] = Counter()
        slots: Counter[tuple[str, str]] = Counter()
        for target in self.fleet.targets.values():
            key = (target.place.region, target.name.partition("-")[0])
            busy[key] += target.busy
            slots[key] += target.slots
        for key, used in busy.items():
            limit = math.floor(slots[key] * self.utilisation)
            assert used <= limit, f"{used} requests run in {key}, limit {limit}"
            self.region_peak[key] = max(used, self.region_peak[key])

    def _check_tickets(self) -> None:
        for vm in self.fleet.vms.values():
            if not vm.alive or self.fleet.now < vm.paused_until or not vm.host.is_ready:
                continue
            domain = vm.place.failure_domain
            number = vm.host.state.number
            key = f"{domain}/{vm.name}"
            assert number >= self.served.get(key, 0), f"{vm.name} served an older ticket"
            self.served[key] = number


@pytest.fixture
def world():
    return {}


def of(world) -> World:
    return world["world"]


@given(parsers.re(r"the places of (?P<user>\w+) with shifts of (?P<cap>\d+) out of each region"))
def places(world, user, cap):
    world["world"] = World(user=USERS[user], cap=int(cap))


@given(
    parsers.parse(
        "the places of {user} filled to {percent:d}% with shifts of {cap:d} out of each region"
    )
)
def filled_places(world, user, percent, cap):
    world["world"] = World(user=USERS[user], cap=cap, utilisation=percent / 100)


def settle(world) -> None:
    if not world.get("settled"):
        of(world).run(SETTLE_S + min(of(world).fleet.horizon, LONGEST_S))
        world["settled"] = True
