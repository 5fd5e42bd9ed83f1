"""Charges requests to the allotments of their tenants before they are routed."""

import asyncio
from typing import Protocol

from carawaybank.routing.configuration import Tenant
from carawaybank.routing.identification import Denial
from carawaybank.routing.messages import Finish, Request
from carawaybank.routing.router import Router
from carawaybank.verdicts import NotRun, Reason


class RequestCharge(Protocol):
    """What a request takes of its tenant's allotment."""

    def record_attempt(self, *, may_have_run: bool) -> None:
        """Records the result of an attempt."""

    def settle(self) -> None:
        """Returns what the request took if no attempt can have run."""


class AllotmentGate(Protocol):
    """Charges requests to the allotments of their tenants."""

    def is_limited(self, tenant: str) -> bool:
        """Returns whether a tenant has an allotment."""

    async def admit(self, tenant: str, *, objective_s: float) -> RequestCharge | float | None:
        """Returns the charge, or the seconds after which a refused request may be retried."""


class Charging:
    """Finds the tenants of requests, and charges those that have an allotment."""

    def __init__(self, *, router: Router, allotments: AllotmentGate) -> None:
        """Initializes the charging.

        Args:
            router: Knows the routes, the tenants and the requests that would be denied.
            allotments: The allotments of tenants.
        """
        self._router = router
        self._allotments = allotments

    async def charge(self, request: Request) -> RequestCharge | Finish | None:
        """Returns the charge to the tenant's allotment, a refusal, or None without an allotment.

        The key may have moved to another tenant during the wait for a grant.
        """
        while True:
            tenant = self._find_tenant(request)
            if tenant is None or not self._allotments.is_limited(tenant.name):
                return None
            route = self._router.routes.find(request.host, request.path)
            objective_s = route.objective_s if route else 0.0
            charge = await self._allotments.admit(tenant.name, objective_s=objective_s)
            if charge is None:
                return None
            if isinstance(charge, float):
                return _refuse(request, tenant, retry_after_s=charge, objective_s=objective_s)
            holder = self._find_tenant(request)
            if holder is not None and holder.name == tenant.name:
                return charge
            charge.settle()

    def _find_tenant(self, request: Request) -> Tenant | None:
        """Returns the tenant of a request; None if it has none, or would be denied at arrival."""
        now = asyncio.get_running_loop().time()
        router = self._router
        route = router.routes.find(request.host, request.path)
        if route is None or router.quarantine.is_quarantined(request.fingerprint, now=now):
            return None
        joined = router.identification.identify(route, request, None, now)
        return None if isinstance(joined, Denial) else router.identification.tenant_of(joined)


def _refuse(
    request: Request, tenant: Tenant, *, retry_after_s: float, objective_s: float
) -> Finish:
    detail = f"no room in the allotment of tenant {tenant.name}: {tenant.rate:g} per s"
    verdict = NotRun(Reason.OVER_ALLOTMENT, retry_after_s, detail)
    return Finish(request.key, verdict, 429, objective_s=objective_s, tenant=tenant.name)
