"""Identification of requests: whose they are, and on which terms they are served.

Load pattern: callers whose keys are withdrawn or wrong repeat their requests at full rate, among
requests of hundreds of tenants. A request without a usable key is denied before any target is
considered, at the cost of one look-up.
"""

from typing import NamedTuple

from carawaybank.routing.configuration import Configuration, Route, Tenant
from carawaybank.routing.messages import RelayTerms, Request
from carawaybank.routing.revocation import RevocationLimit
from carawaybank.routing.tenants import RequestTerms, TenantTable, join_terms, least_urgent_ranks
from carawaybank.verdicts import NotRun, Reason

UNAUTHORIZED = 401
_UNAVAILABLE = 503
#: Seconds after which a caller may retry a request that no region may run. Only another
#: configuration can change that.
_NO_REGION_RETRY_S = 5.0
#: The same for a sibling that does not have the tenant of a relayed request: it differs from the
#: other VM by one configuration at most, which is in force within seconds.
_UNKNOWN_TENANT_RETRY_S = 0.5
#: The same for a VM without a proof that its configuration is current. It asks for one each second.
_UNPROVEN_RETRY_S = 1.0


class Denial(NamedTuple):
    """The decision not to serve a request because of its tenant or key.

    Attributes:
        verdict: The reason.
        status: HTTP status of the response.
        tenant: Name of the tenant; empty if it is not known.
    """

    verdict: NotRun
    status: int
    tenant: str = ""


class Identification:
    """Finds the tenant and the terms of each request in the configuration in force."""

    def __init__(self, *, is_strict: bool = False, revoke_within_s: float = 5.0) -> None:
        """Starts without tenants, so that no request needs a key.

        Args:
            is_strict: Whether keys are used only if the configuration is proven to be current.
            revoke_within_s: Seconds for which a proof is valid.
        """
        self.revocation = RevocationLimit(is_strict=is_strict, within_s=revoke_within_s)
        self._tenants = TenantTable(tenants=())
        self._least_urgent_ranks: dict[str, int] = {}

    @property
    def tenants(self) -> TenantTable:
        """The tenants of the configuration in force."""
        return self._tenants

    def apply(self, configuration: Configuration) -> None:
        """Replaces the tenants and ranks by those of a configuration."""
        self._tenants = TenantTable(tenants=configuration.tenants)
        self._least_urgent_ranks = least_urgent_ranks(configuration)

    def least_urgent_rank(self, service: str, *, default: int) -> int:
        """Returns the rank of the least urgent requests of a service."""
        return self._least_urgent_ranks.get(service, default)

    def tenant_of(self, terms: RequestTerms) -> Tenant | None:
        """Returns the tenant with the name in the terms of a request; None if there is none."""
        return self._tenants.find_by_name(terms.tenant)

    def identify(
        self, route: Route, request: Request, relay_terms: RelayTerms | None, now: float
    ) -> RequestTerms | Denial:
        """Returns the terms of a request, or why it is denied.

        Args:
            route: Route of the request.
            request: The request.
            relay_terms: What to observe if another VM passed the request on; None otherwise. That
                VM has judged the key.
            now: Current time in monotonic seconds.
        """
        if relay_terms is not None:
            return self._identify_relayed(route, relay_terms.tenant)
        if self._tenants.is_empty or route.is_public:
            return join_terms(route, None)
        if not request.credential:
            return Denial(NotRun(Reason.UNKNOWN_KEY, 0.0, "no usable API key"), UNAUTHORIZED)
        if self.revocation.is_exceeded(now=now):
            detail = "this VM has no proof that its configuration is current"
            verdict = NotRun(Reason.CONFIGURATION_UNPROVEN, _UNPROVEN_RETRY_S, detail)
            return Denial(verdict, _UNAVAILABLE)
        tenant = self._tenants.find(request.credential)
        if tenant is None:
            verdict = NotRun(Reason.UNKNOWN_KEY, 0.0, "the API key is not known")
            return Denial(verdict, UNAUTHORIZED)
        return _check_regions(join_terms(route, tenant))

    def _identify_relayed(self, route: Route, tenant_name: str) -> RequestTerms | Denial:
        """Returns the terms of a request whose tenant another VM has found.

        That VM names no tenant for requests that need none, or if its build is one without tenants,
        which has judged no key.
        """
        if not tenant_name and (self._tenants.is_empty or route.is_public):
            return join_terms(route, None)
        tenant = self._tenants.find_by_name(tenant_name)
        if tenant is None:
            # Builds without tenants read only the reasons that they know.
            detail = f"this VM does not have the tenant {tenant_name!r} of the request"
            verdict = NotRun(Reason.NO_TICKET, _UNKNOWN_TENANT_RETRY_S, detail)
            return Denial(verdict, _UNAVAILABLE, tenant_name)
        return _check_regions(join_terms(route, tenant))


def _check_regions(terms: RequestTerms) -> RequestTerms | Denial:
    if terms.allowed_regions is None or terms.allowed_regions:
        return terms
    detail = f"the home regions of the route and of tenant {terms.tenant} have none in common"
    verdict = NotRun(Reason.NO_REGION, _NO_REGION_RETRY_S, detail)
    return Denial(verdict, _UNAVAILABLE, terms.tenant)
