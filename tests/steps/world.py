"""State of a scenario: a fleet in memory, with invariants checked after every time step."""

import math
from collections import Counter

import pytest
from pytest_bdd import given, parsers

from standins.sampledeployments import NISHIKAWA, PRAIRIE, SampleDeployment, make_fleet

DEPLOYMENTS = {"Prairie": PRAIRIE, "Nishikawa": NISHIKAWA}
COMPLETION_MARGIN_S = 15.0
MAX_REMAINING_S = 700.0


class World:
    """A fleet in memory whose invariants are checked after every time step.

    Checked are the caps of shifts between regions, the slots of each target, the utilisation of
    each region and that no entry VM returns to an older ticket.
    """

    def __init__(self, *, deployment: SampleDeployment, cap: int, utilisation: float = 1.0) -> None:
        regions = list(deployment.domains_by_region)
        self.deployment = deployment
        self.caps = {
            (service.name, source, destination): cap
            for service in deployment.services
            for source in regions
            for destination in regions
            if source != destination
        }
        self.utilisation = utilisation
        self.region_peak: Counter[tuple[str, str]] = Counter()
        self.fleet = make_fleet(deployment, caps=self.caps, utilisation=utilisation)
        self.started = self.fleet.now
        self.order_ids: dict[str, str] = {}
        self.crashing = "crashing"
        self.served_tickets: dict[str, int] = {}
        self.leaving_since: dict[str, float] = {}

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps of at most 50 ms and checks the invariants after each."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.advance(min(0.05, until - self.fleet.now))
            self.check()

    def check(self) -> None:
        """Asserts all invariants."""
        self._check_caps()
        self._check_slots()
        if self.utilisation < 1:
            self._check_regions()
        self._check_tickets()

    def schedule(self, seconds: float, action) -> None:
        """Calls ``action`` after a number of seconds on the fleet's clock."""
        self.fleet.call_later(seconds, action)

    def verdicts(self, request_id: str):
        """Returns the verdicts that ended the sends of a request, oldest first."""
        return [e.verdict for e in self.fleet.finished_requests if e.info.request_id == request_id]

    def _check_caps(self) -> None:
        for (source, destination), used in self.fleet.relays_in_progress.items():
            if source != destination:
                allowed = sum(
                    cap for (_, s, d), cap in self.caps.items() if (s, d) == (source, destination)
                )
                assert used <= allowed, (
                    f"{used} requests from {source} to {destination}, cap {allowed}"
                )

    def _check_slots(self) -> None:
        for target in self.fleet.targets.values():
            assert target.busy <= target.slots

    def _check_regions(self) -> None:
        busy: Counter[tuple[str, str]] = Counter()
        slots: Counter[tuple[str, str]] = Counter()
        for target in self.fleet.targets.values():
            key = (target.locality.region, target.name.partition("-")[0])
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
            domain = vm.locality.failure_domain
            number = vm.host.state.number
            key = f"{domain}/{vm.name}"
            assert number >= self.served_tickets.get(key, 0), f"{vm.name} served an older ticket"
            self.served_tickets[key] = number


@pytest.fixture
def context():
    """Values that the steps of one scenario share."""
    return {}


def get_world(context) -> World:
    """Returns the world of the running scenario."""
    return context["world"]


@given(parsers.re(r"the fleet of (?P<user>\w+) with shifts of (?P<cap>\d+) out of each region"))
def create_world(context, user, cap):
    context["world"] = World(deployment=DEPLOYMENTS[user], cap=int(cap))


@given(
    parsers.parse(
        "the fleet of {user} filled to {percent:d}% with shifts of {cap:d} out of each region"
    )
)
def create_filled_world(context, user, percent, cap):
    context["world"] = World(deployment=DEPLOYMENTS[user], cap=cap, utilisation=percent / 100)


def finish_requests(context) -> None:
    """Advances the clock until all requests have ended, once per scenario."""
    if not context.get("settled"):
        get_world(context).advance(
            COMPLETION_MARGIN_S + min(get_world(context).fleet.remaining_s, MAX_REMAINING_S)
        )
        context["settled"] = True
