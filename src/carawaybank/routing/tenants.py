"""Tenants: who may send requests, and on which terms.

Load pattern: hundreds of tenants with thousands of API keys, and a key in each request. A key is
found by one look-up of its digest. The terms of route and tenant are joined once when a request
arrives, so that all later decisions read them from one place.
"""

import hashlib
from collections.abc import Collection, Sequence
from typing import NamedTuple

from carawaybank.routing.configuration import Configuration, Route, Tenant

_DIGEST_BYTES = 16


class RequestTerms(NamedTuple):
    """The terms on which one request is served: those of its route joined with its tenant's.

    Attributes:
        tenant: Name of the tenant; empty if the request has none.
        priority_rank: Urgency; 0 is the most urgent.
        allowed_regions: Regions that may run the request and receive its body; None for all. It is
            empty if the route and the tenant have no region in common.
    """

    tenant: str
    priority_rank: int
    allowed_regions: frozenset[str] | None

    def allows(self, region: str) -> bool:
        """Returns whether a region may run the request and receive its body."""
        return self.allowed_regions is None or region in self.allowed_regions


class TenantTable:
    """Finds the tenant that holds an API key, or a tenant by its name.

    >>> table = TenantTable(tenants=(Tenant("acme", frozenset({digest_key("k1")})),))
    >>> table.find(digest_key("k1")).name, table.find(digest_key("k2"))
    ('acme', None)
    """

    def __init__(self, *, tenants: Sequence[Tenant]) -> None:
        """Indexes the tenants; a key of several tenants belongs to the first of them by name."""
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._by_digest: dict[str, Tenant] = {}
        for name in sorted(self._by_name, reverse=True):
            tenant = self._by_name[name]
            self._by_digest.update(dict.fromkeys(tenant.key_digests, tenant))

    @property
    def is_empty(self) -> bool:
        """Whether there are no tenants, so that requests need no key."""
        return not self._by_name

    def find(self, key_digest: str) -> Tenant | None:
        """Returns the tenant that holds the key with this digest, or None."""
        return self._by_digest.get(key_digest)

    def find_by_name(self, name: str) -> Tenant | None:
        """Returns a tenant by its name, or None."""
        return self._by_name.get(name)


def digest_key(key: str) -> str:
    """Returns the digest by which an API key is stored and looked up.

    Only digests are kept, so that no log, dump or error can contain a key. An attacker cannot
    choose the first characters of a digest, and so learns nothing from the time of a look-up.
    """
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def join_terms(route: Route, tenant: Tenant | None) -> RequestTerms:
    """Returns the terms of a request.

    The tenant's priority goes before the route's. Both lists of regions bind.

    Args:
        route: Route of the request.
        tenant: Tenant of the request; None if the route is public or no tenants are configured.
    """
    allowed_regions = route.allowed_regions or None
    if tenant is None:
        return RequestTerms("", route.priority_rank, allowed_regions)
    if tenant.allowed_regions:
        allowed_regions = (
            tenant.allowed_regions
            if allowed_regions is None
            else allowed_regions & tenant.allowed_regions
        )
    rank = route.priority_rank if tenant.priority_rank is None else tenant.priority_rank
    return RequestTerms(tenant.name, rank, allowed_regions)


def least_urgent_ranks(configuration: Configuration) -> dict[str, int]:
    """Returns the rank of the least urgent requests of each service that a route names.

    A route's requests have the ranks of the tenants, and its own rank for tenants without one, for
    public routes and if there are no tenants.
    """
    tenant_ranks = {tenant.priority_rank for tenant in configuration.tenants}
    ranks: dict[str, int] = {}
    for route in configuration.routes:
        own_ranks = tenant_ranks if tenant_ranks and not route.is_public else {None}
        rank = max(route.priority_rank if own is None else own for own in own_ranks)
        for weighted in route.services:
            ranks[weighted.service] = max(ranks.get(weighted.service, rank), rank)
    return ranks


def find_faults(configuration: Configuration, regions: Collection[str] = ()) -> tuple[str, ...]:
    """Returns the faults of a configuration that can be in force nevertheless.

    They are tenants that share a key or a name, allotments below one request per second, and home
    regions that do not exist.

    Args:
        configuration: The configuration.
        regions: Regions of the deployment; if there are none, home regions are not checked.

    >>> shared = frozenset({digest_key("k")})
    >>> tenants = (Tenant("b", shared, rate=0.5), Tenant("a", shared))
    >>> find_faults(Configuration(1, (), {}, tenants=tenants))
    ('tenants a and b share an API key; a holds it', 'tenant b: the allotment of 0.5 is below 1')
    """
    faults = _find_conflicts(configuration.tenants)
    faults += [
        f"tenant {tenant.name}: the allotment of {tenant.rate:g} is below 1"
        for tenant in configuration.tenants
        if 0 < tenant.rate < 1
    ]
    homes = [
        *((f"tenant {tenant.name}", tenant.allowed_regions) for tenant in configuration.tenants),
        *((f"route {route.name}", route.allowed_regions) for route in configuration.routes),
    ]
    faults += [
        f"{owner}: no service is in home region {region!r}"
        for owner, allowed_regions in homes
        for region in sorted(allowed_regions)
        if regions and region not in regions
    ]
    return tuple(faults)


def _find_conflicts(tenants: Sequence[Tenant]) -> list[str]:
    """Returns the faults of tenants that have a name or an API key in common."""
    faults: list[str] = []
    names: set[str] = set()
    holders: dict[str, str] = {}
    conflicts: set[tuple[str, str]] = set()
    for tenant in sorted(tenants, key=lambda tenant: tenant.name):
        if tenant.name in names:
            faults.append(f"tenant {tenant.name} is defined twice; the last definition is used")
        names.add(tenant.name)
        for digest in tenant.key_digests:
            holder = holders.setdefault(digest, tenant.name)
            if holder != tenant.name:
                conflicts.add((holder, tenant.name))
    faults += [
        f"tenants {holder} and {name} share an API key; {holder} holds it"
        for holder, name in sorted(conflicts)
    ]
    return faults
