"""What operators configured: routes, services and limits of callers' connections."""

from typing import NamedTuple


class RoutePart(NamedTuple):
    """A service's share of a route.

    Attributes:
        service: Name of the service.
        weight: Relative share of the route's requests.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Requests with one host and path prefix.

    Attributes:
        name: The operators' name of the route.
        host: Host that callers ask for.
        prefix: Beginning of the path, from slash to slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time in seconds that a caller is kept waiting.
        objective_s: Time in seconds within which an answer is of full use.
        rank: Urgency; 0 is the most urgent.
        parts: Services that run the requests.
        attempts: Most targets that one request may be sent to.
        sticky: Whether targets work faster on objects that they handled recently.
        home_regions: Regions that may run the requests; empty for all.
        is_bulky: Whether the requests have large bodies, which are dear to move.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    parts: tuple[RoutePart, ...]
    attempts: int = 1
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()
    is_bulky: bool = False


class Service(NamedTuple):
    """A service that targets offer.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        cold_rate: Requests a second that a cold target tolerates from all callers; 0 for no limit.
    """

    name: str
    health_path: str = "/"
    cold_rate: float = 0.0


class Limits(NamedTuple):
    """What callers may send, and how long their connections may be idle.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_s: Longest time in seconds to send a request head.
        idle_timeout_s: Longest time in seconds between requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Evacuation(NamedTuple):
    """A failure domain whose targets must not get requests."""

    failure_domain: str


class Configuration(NamedTuple):
    """A whole configuration; a higher version replaces a lower one.

    Attributes:
        version: Number of the configuration.
        routes: All routes.
        services: Services by name.
        limits: Limits of callers' connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()


class RouteTable:
    """Finds the route of a request.

    >>> route = Route("r", "a.example", "/x/", True, 1.0, 0.5, 0, (RoutePart("s", 1),))
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
        """Returns the route with the longest prefix that begins the path."""
        name = host.lower().partition(":")[0]
        plain = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None


def choose_part(route: Route, *, draw: float) -> str:
    """Returns the service that runs a request of a route.

    Args:
        route: The route.
        draw: A number from 0 up to 1, evenly distributed over requests.

    >>> split = Route("r", "h", "/", True, 1, 1, 0, (RoutePart("a", 9), RoutePart("b", 1)))
    >>> choose_part(split, draw=0.89), choose_part(split, draw=0.91)
    ('a', 'b')
    """
    mark = draw * sum(part.weight for part in route.parts)
    for part in route.parts:
        mark -= part.weight
        if mark < 0:
            return part.service
    return route.parts[-1].service
