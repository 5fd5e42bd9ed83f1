"""Builders of configurations, targets, routers and requests for tests."""

import random

from carawaybank.routing.configuration import Configuration, Route, Service, WeightedService
from carawaybank.routing.messages import Request
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.router import Router
from carawaybank.routing.target import TargetEntry

HOST = "parts.example"
#: Seconds for which the process of a router has run, so that it has all its credit for retries.
UPTIME_S = 100.0


def make_route(
    name="look", *, prefix="/look/", idempotent=True, priority_rank=2, services=None, **changes
):
    route = Route(
        name=name,
        host=HOST,
        prefix=prefix,
        idempotent=idempotent,
        timeout_s=2.0,
        objective_s=0.5,
        priority_rank=priority_rank,
        services=services or (WeightedService("ledger", 1.0),),
        max_attempts=2,
        sticky=True,
    )
    return route._replace(**changes)


BOOK = make_route("book", prefix="/book/", idempotent=False, priority_rank=1)


def make_configuration(*routes, version=1, cold_rate=0.0):
    services = {"ledger": Service("ledger", "/healthz", cold_rate)}
    return Configuration(version, routes or (make_route(), BOOK), services)


def make_target(number, *, domain="a1", region="a", **changes):
    entry = TargetEntry(f"t{number}", "ledger", f"10.0.0.{number}:80", domain, region, 4)
    return entry._replace(**changes)


def make_router(*targets, configuration=None, now=0.0, **options):
    router = Router(
        options=RouterOptions(**{"failure_domain": "a1", "region": "a", "vm": "vm-1", **options}),
        rng=random.Random(7),
        started_at=now - UPTIME_S,
    )
    router.vms = (router.options.vm,)
    router.apply_configuration(configuration or make_configuration())
    for entry in targets:
        router.targets.update(entry, now=now)
    return router


def make_request(key, *, path="/look/1", object_key="o1", budget_s=2.0, fingerprint=None):
    return Request(key, f"id-{key}", HOST, path, object_key, fingerprint or f"f{key}", budget_s)
