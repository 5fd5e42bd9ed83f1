"""The state of one request between its arrival and its answer."""

from carawaybank.routing.catalogue import Route
from carawaybank.routing.messages import Request
from carawaybank.routing.placement import Choice
from carawaybank.verdicts import Answered, MayHaveRun


class Progress:
    """A request under way."""

    def __init__(
        self, *, request: Request, route: Route, service: str, now: float, rank_below: int
    ) -> None:
        """Starts before the first attempt.

        Args:
            request: The request.
            route: Its route.
            service: The service that runs it.
            now: Time of its arrival.
            rank_below: Rank of the least urgent route of the service.
        """
        self.request = request
        self.route = route
        self.service = service
        self.arrived = now
        self.rank_below = rank_below
        budget_s = route.timeout_s if request.budget_s is None else request.budget_s
        self.deadline = now + min(budget_s, route.timeout_s)
        self.tried: set[str] = set()
        self.choice: Choice | None = None
        self.last_target_id = ""
        #: An answer that a target gave, kept while the request is tried elsewhere.
        self.fallback: Answered | None = None
        #: An attempt of which nobody knows whether it ran.
        self.ambiguous: MayHaveRun | None = None

    @property
    def object_key(self) -> str:
        """The object by which targets are chosen."""
        if self.route.sticky and self.request.object_key:
            return f"{self.route.name}/{self.request.object_key}"
        return ""

    @property
    def has_run(self) -> bool:
        """Whether a target may have run it."""
        return self.fallback is not None or self.ambiguous is not None
