"""The operators' configuration: routes, services, tenants and limits of connections."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service's share of a route.

    Attributes:
        service: Name of the service.
        weight: Relative share of the route's requests.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """The rules for requests that share a host and a path prefix.

    Attributes:
        name: Name that the operators gave the route.
        host: Host of the requests.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Seconds after which the caller gets a response at the latest.
        objective_s: Latency objective in seconds; later responses are of little use.
        priority_rank: Urgency; 0 is the most urgent.
        services: Services that run the requests, with their weights.
        max_attempts: Maximum number of targets that one request may be sent to.
        sticky: Whether targets work faster on objects that they handled recently.
        allowed_regions: Regions that may run the requests; empty for all.
        is_bulky: Whether the requests have large bodies, which load the links between failure
            domains.
        is_public: Whether the requests need no API key.
        is_download: Whether the responses are large.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority_rank: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    sticky: bool = False
    allowed_regions: frozenset[str] = frozenset()
    is_bulky: bool = False
    is_public: bool = False
    is_download: bool = False


class Service(NamedTuple):
    """A service that targets offer.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        cold_rate: Requests per second that a cold target tolerates in total; 0 for no limit.
    """

    name: str
    health_path: str = "/"
    cold_rate: float = 0.0


class Tenant(NamedTuple):
    """A customer whose callers identify themselves by API keys.

    Attributes:
        name: Name that the operators gave the tenant.
        key_digests: Digests of its API keys.
        priority_rank: Urgency of its requests; None for that of their routes.
        rate: Requests per second that it may send to all entry VMs together; 0 for no limit.
        burst: Requests that it may send beyond the rate at once.
        allowed_regions: Regions that may run its requests; empty for all.
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    priority_rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


class Limits(NamedTuple):
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Seconds within which a request head must arrive.
        idle_timeout_s: Seconds after which a connection without requests is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Evacuation(NamedTuple):
    """An operator row that stops requests to the targets of a failure domain."""

    failure_domain: str


class Configuration(NamedTuple):
    """A complete configuration; a higher version replaces a lower one.

    Attributes:
        version: Version number.
        routes: All routes.
        services: Services by name.
        limits: Limits of callers' connections.
        tenants: All tenants; if there are none, requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


class RouteTable:
    """Finds the route of a request by its host and path.

    >>> route = Route("r", "a.example", "/x/", True, 1.0, 0.5, 0, (WeightedService("s", 1),))
    >>> table = RouteTable(routes=(route,))
    >>> table.find("a.example", "/x/1") is route, table.find("a.example", "/y/")
    (True, None)
    """

    def __init__(self, *, routes: tuple[Route, ...]) -> None:
        """Indexes the routes by host, the longest prefix first."""
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None if no route matches.

        The port of the host and the query of the path are ignored.
        """
        name = host.lower().partition(":")[0]
        plain = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None

    def allowed_regions(self, host: str) -> frozenset[str] | None:
        """Returns the regions that may run all requests of a host; None if they are not limited."""
        name = host.lower().partition(":")[0]
        limited = [r.allowed_regions for r in self._by_host.get(name, ()) if r.allowed_regions]
        return frozenset.intersection(*limited) if limited else None


def choose_service(route: Route, *, point: float) -> str:
    """Returns a service of a route, chosen by weight.

    Args:
        route: The route of the request.
        point: A number in [0, 1), uniformly distributed over requests.

    >>> split = Route(
    ...     "r", "h", "/", True, 1, 1, 0, (WeightedService("a", 9), WeightedService("b", 1))
    ... )
    >>> choose_service(split, point=0.89), choose_service(split, point=0.91)
    ('a', 'b')
    """
    remaining = point * sum(weighted.weight for weighted in route.services)
    for weighted in route.services:
        remaining -= weighted.weight
        if remaining < 0:
            return weighted.service
    return route.services[-1].service
