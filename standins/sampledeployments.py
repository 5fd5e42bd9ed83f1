"""Sample deployments of two users: regions, services, delays, tickets and load."""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from carawaybank.steering.tickets import TargetDocument, TicketDocument
from standins.fleet import Fleet
from standins.fleet_models import Delays

_MEAN_WORK_S = 0.1


class Service(NamedTuple):
    """A service whose targets are spread evenly over the failure domains.

    Attributes:
        name: Name of the service.
        target_count: Number of targets.
        slots: Slots of each target.
        latency_weight: Weight of latency in routing.
        headroom_weight: Weight of headroom in routing.
    """

    name: str
    target_count: int
    slots: int
    latency_weight: float
    headroom_weight: float


class SampleDeployment(NamedTuple):
    """A deployment of a user.

    Attributes:
        domains_by_region: Two failure domains by region.
        services: Services of the deployment.
        delays: One-way network delays.
        vm_count: Number of entry VMs.
    """

    domains_by_region: dict[str, tuple[str, ...]]
    services: tuple[Service, ...]
    delays: Delays
    vm_count: int = 11

    def find_region(self, domain: str) -> str:
        """Returns the region of a failure domain.

        Raises:
            StopIteration: If no region has this failure domain.
        """
        return next(region for region, names in self.domains_by_region.items() if domain in names)

    def domain_names(self) -> list[str]:
        """Returns all failure domains: the first of each region, then the second of each."""
        return [names[i] for i in (0, 1) for names in self.domains_by_region.values()]

    def cell_names(self, domain: str) -> list[str]:
        """Returns the names of a failure domain's cells, sized for 3.5 entry VMs on average."""
        count = sum(vm_domain == domain for vm_domain in self.vm_domains().values())
        return [f"{domain}-{index}" for index in range(max(1, round(count / 3.5)))]

    def vm_domains(self) -> dict[str, str]:
        """Returns the failure domains by name of the entry VMs, which are spread evenly."""
        domains = self.domain_names()
        return {
            f"{domains[i % len(domains)]}-{i // len(domains) + 1}": domains[i % len(domains)]
            for i in range(self.vm_count)
        }


NISHIKAWA = SampleDeployment(
    domains_by_region={
        "chikuzen": ("chikuzen-hakata", "chikuzen-kokura"),
        "higo": ("higo-suizenji", "higo-yatsushiro"),
        "satsuma": ("satsuma-tenmonkan", "satsuma-kanoya"),
    },
    services=(
        Service("panel-ledger", 20, 4, 0.3, 1.0),
        Service("artwork-desk", 12, 4, 0.3, 1.0),
    ),
    delays=Delays(0.0002, 0.004, 0.035, 0.001),
)

PRAIRIE = SampleDeployment(
    domains_by_region={
        "sask": ("regina", "saskatoon"),
        "alberta": ("calgary", "edmonton"),
        "manitoba": ("winnipeg", "brandon"),
    },
    services=(Service("dispatch", 24, 6, 1.0, 0.3), Service("partsdesk", 12, 5, 1.0, 0.3)),
    delays=Delays(0.0002, 0.003, 0.020, 0.003),
)


def make_ticket(
    deployment: SampleDeployment,
    *,
    utilisation: float = 1.0,
    caps: dict[tuple[str, str, str], int] | None = None,
) -> TicketDocument:
    """Returns a deployment's first ticket; the arguments are those of :func:`make_fleet`."""
    targets: dict[str, TargetDocument] = {}
    domains = deployment.domain_names()
    for service in deployment.services:
        for index in range(service.target_count):
            name = f"{service.name}-{index}"
            targets[name] = {
                "service": service.name,
                "failure_domain": domains[index % len(domains)],
                "address": f"10.0.{len(targets) // 250}.{len(targets) % 250 + 1}:80",
                "slots": service.slots,
            }
    return {
        "number": 1,
        "author": "operator",
        "reason": "initial deployment",
        "regions": {
            region: {"utilisation": utilisation} for region in deployment.domains_by_region
        },
        "failure_domains": {
            d: {"region": deployment.find_region(d), "cells": deployment.cell_names(d)}
            for d in domains
        },
        "services": {
            s.name: {"latency_weight": s.latency_weight, "headroom_weight": s.headroom_weight}
            for s in deployment.services
        },
        "targets": targets,
        "shifts": {
            f"{service}-{from_region}-{to_region}": {
                "service": service,
                "from_region": from_region,
                "to_region": to_region,
                "cap": cap,
            }
            for (service, from_region, to_region), cap in (caps or {}).items()
        },
    }


def make_fleet(
    deployment: SampleDeployment,
    *,
    seed: int = 1,
    utilisation: float = 1.0,
    caps: dict[tuple[str, str, str], int] | None = None,
    draw_work_s: Callable[[random.Random], float] | None = None,
) -> Fleet:
    """Returns a deployment's fleet after five simulated seconds, with its first ticket in force.

    Args:
        deployment: Deployment to simulate.
        seed: Seed of all random numbers.
        utilisation: Share of the slots that steering may fill.
        caps: Caps of shifts by (service, from region, to region); no shifts if None.
        draw_work_s: Returns the duration of a request in seconds; exponential with mean 0.1 s
            if None.
    """
    fleet = Fleet(seed=seed, delays=deployment.delays)
    draw_target_work_s = draw_work_s or draw_exponential_work_s
    ticket = make_ticket(deployment, utilisation=utilisation, caps=caps)
    for name, document in ticket["targets"].items():
        domain = document["failure_domain"]
        fleet.add_target(
            name,
            deployment.find_region(domain),
            domain,
            slots=document["slots"],
            draw_work_s=lambda: draw_target_work_s(fleet.rng),
        )
    for index, (name, domain) in enumerate(deployment.vm_domains().items()):
        cells = deployment.cell_names(domain)
        cell = cells[index // len(deployment.domain_names()) % len(cells)]
        fleet.add_vm(name, deployment.find_region(domain), domain, cell=cell)
    fleet.advance(1.0)
    fleet.submit_ticket(ticket)
    fleet.advance(4.0)
    return fleet


def draw_exponential_work_s(rng: random.Random) -> float:
    """Returns an exponentially distributed duration in seconds with mean 0.1 s."""
    return rng.expovariate(1 / _MEAN_WORK_S)


def schedule_poisson_load(
    fleet: Fleet,
    vms: list[str],
    service: str,
    *,
    rate: float,
    seconds: float,
    customers: dict[str, float] | None = None,
    repeatable_share: float = 1.0,
    deadline_s: float = 10.0,
) -> None:
    """Schedules requests with Poisson arrivals, each at a random entry VM.

    Args:
        fleet: Fleet that receives the requests.
        vms: Names of the entry VMs that callers use.
        service: Service that is called.
        rate: Requests per second, of all callers together.
        seconds: Duration of the load in seconds.
        customers: Weight of each customer in the load; a single customer if None.
        repeatable_share: Share of requests that may run more than once.
        deadline_s: Deadline of each request in seconds.
    """
    shares = customers or {"prairie": 1.0}
    arrival_s = fleet.rng.expovariate(rate)
    count = 0
    while arrival_s < seconds:
        count += 1
        vm = fleet.rng.choice(vms)
        customer = fleet.rng.choices(list(shares), list(shares.values()))[0]
        repeatable = fleet.rng.random() < repeatable_share
        suffix = f"{service}-{count}"
        send = _make_sender(fleet, vm, service, customer=customer, repeatable=repeatable)
        fleet.call_later(arrival_s, partial(send, suffix, deadline_s))
        arrival_s += fleet.rng.expovariate(rate)


def _make_sender(
    fleet: Fleet, vm: str, service: str, *, customer: str, repeatable: bool
) -> Callable[[str, float], None]:
    def send(suffix: str, deadline_s: float) -> None:
        request_id = None if repeatable else fleet.make_bound_id(vm, f"{suffix}-{fleet.now:.6f}")
        fleet.send_request(
            vm,
            service,
            customer=customer,
            request_id=request_id,
            repeatable=repeatable,
            deadline_s=deadline_s,
        )

    return send
