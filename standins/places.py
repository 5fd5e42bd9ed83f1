"""The two users' places, services and delays, as fleets in memory."""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from carawaybank.steering.tickets import TargetDocument, TicketDocument
from standins.fleet import Fleet
from standins.fleet_models import Delays

_WORK_MEDIAN_S = 0.1


class Service(NamedTuple):
    """A service with its targets spread evenly over the failure domains."""

    name: str
    targets: int
    slots: int
    latency_weight: float
    headroom_weight: float


class User(NamedTuple):
    """One user's provider.

    Attributes:
        domains: Failure domains by region.
        services: What runs there.
        delays: One-way delays.
        vms: Number of entry VMs.
    """

    domains: dict[str, tuple[str, ...]]
    services: tuple[Service, ...]
    delays: Delays
    vms: int = 11

    def region_of(self, domain: str) -> str:
        """Returns the region of a failure domain."""
        return next(region for region, names in self.domains.items() if domain in names)

    def all_domains(self) -> list[str]:
        """Returns all failure domains, one of each region in turn."""
        return [names[i] for i in (0, 1) for names in self.domains.values()]

    def cells_of(self, domain: str) -> list[str]:
        """Returns the cells of a failure domain, of three or four entry VMs each."""
        count = sum(place == domain for place in self.vm_domains().values())
        return [f"{domain}-{index}" for index in range(max(1, round(count / 3.5)))]

    def vm_domains(self) -> dict[str, str]:
        """Returns the failure domain of each entry VM."""
        domains = self.all_domains()
        return {
            f"{domains[i % len(domains)]}-{i // len(domains) + 1}": domains[i % len(domains)]
            for i in range(self.vms)
        }


NISHIKAWA = User(
    domains={
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

PRAIRIE = User(
    domains={
        "sask": ("regina", "saskatoon"),
        "alberta": ("calgary", "edmonton"),
        "manitoba": ("winnipeg", "brandon"),
    },
    services=(Service("dispatch", 24, 6, 1.0, 0.3), Service("partsdesk", 12, 5, 1.0, 0.3)),
    delays=Delays(0.0002, 0.003, 0.020, 0.003),
)


def make_ticket(
    user: User, *, utilisation: float = 1.0, caps: dict[tuple[str, str, str], int] | None = None
) -> TicketDocument:
    """Returns the first ticket of a user.

    Args:
        user: The user.
        utilisation: Share of the slots that steering may fill.
        caps: Cap of the shift of a (service, from region, to region).
    """
    targets: dict[str, TargetDocument] = {}
    domains = user.all_domains()
    for service in user.services:
        for index in range(service.targets):
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
        "reason": "first places",
        "regions": {region: {"utilisation": utilisation} for region in user.domains},
        "failure_domains": {
            d: {"region": user.region_of(d), "cells": user.cells_of(d)} for d in domains
        },
        "services": {
            s.name: {"latency_weight": s.latency_weight, "headroom_weight": s.headroom_weight}
            for s in user.services
        },
        "targets": targets,
        "shifts": {
            f"{service}-{start}-{end}": {
                "service": service,
                "from_region": start,
                "to_region": end,
                "cap": cap,
            }
            for (service, start, end), cap in (caps or {}).items()
        },
    }


def make_fleet(
    user: User,
    *,
    seed: int = 1,
    utilisation: float = 1.0,
    caps: dict[tuple[str, str, str], int] | None = None,
    work: Callable[[random.Random], float] | None = None,
) -> Fleet:
    """Returns a user's fleet with its first ticket in force, five seconds after its start."""
    fleet = Fleet(seed=seed, delays=user.delays)
    draw = work or exponential_work
    ticket = make_ticket(user, utilisation=utilisation, caps=caps)
    for name, document in ticket["targets"].items():
        domain = document["failure_domain"]
        fleet.add_target(
            name,
            user.region_of(domain),
            domain,
            slots=document["slots"],
            work=lambda: draw(fleet.rng),
        )
    for index, (name, domain) in enumerate(user.vm_domains().items()):
        cells = user.cells_of(domain)
        cell = cells[index // len(user.all_domains()) % len(cells)]
        fleet.add_vm(name, user.region_of(domain), domain, cell=cell)
    fleet.run(1.0)
    fleet.submit(ticket)
    fleet.run(4.0)
    return fleet


def exponential_work(rng: random.Random) -> float:
    """Returns an exponentially distributed work time in seconds."""
    return rng.expovariate(1 / _WORK_MEDIAN_S)


def send_poisson(
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
    """Schedules Poisson arrivals, spread evenly over entry VMs.

    Args:
        fleet: The fleet.
        vms: Entry VMs that callers use.
        service: What they ask for.
        rate: Requests a second, of all callers together.
        seconds: For how long.
        customers: Share of each customer.
        repeatable_share: Share of requests that may be repeated.
        deadline_s: Deadline of each request in seconds.
    """
    shares = customers or {"prairie": 1.0}
    at = fleet.rng.expovariate(rate)
    count = 0
    while at < seconds:
        count += 1
        vm = fleet.rng.choice(vms)
        customer = fleet.rng.choices(list(shares), list(shares.values()))[0]
        repeatable = fleet.rng.random() < repeatable_share
        unique = f"{service}-{count}"
        send = _sender(fleet, vm, service, customer=customer, repeatable=repeatable)
        fleet.after(at, partial(send, unique, deadline_s))
        at += fleet.rng.expovariate(rate)


def _sender(
    fleet: Fleet, vm: str, service: str, *, customer: str, repeatable: bool
) -> Callable[[str, float], None]:
    def send(unique: str, deadline_s: float) -> None:
        request_id = None if repeatable else fleet.bound_id(vm, f"{unique}-{fleet.now:.6f}")
        fleet.request(
            vm,
            service,
            customer=customer,
            request_id=request_id,
            repeatable=repeatable,
            deadline_s=deadline_s,
        )

    return send
