"""The state of one request between its arrival and the response to the caller."""

from carawaybank.routing.configuration import Route
from carawaybank.routing.estimates import Choice
from carawaybank.routing.messages import Request
from carawaybank.verdicts import Answered, MayHaveRun


class Progress:
    """A request that has arrived and is not finished."""

    def __init__(
        self, *, request: Request, route: Route, service: str, now: float, least_urgent_rank: int
    ) -> None:
        """Creates the state of a request before its first attempt.

        Args:
            request: The request.
            route: Route of the request.
            service: Service that runs the request.
            now: Time of arrival in monotonic seconds.
            least_urgent_rank: Rank of the least urgent route of the service.
        """
        self.request = request
        self.route = route
        self.service = service
        self.arrived_at = now
        self.least_urgent_rank = least_urgent_rank
        budget_s = route.timeout_s if request.budget_s is None else request.budget_s
        self.deadline = now + min(budget_s, route.timeout_s)
        self.tried_targets: set[str] = set()
        self.choice: Choice | None = None
        self.last_target_id = ""
        #: The first target that was passed over because of its limit, with the limit.
        self.limited_by = ""
        #: A target's error response, returned if the retries at other targets do not succeed.
        self.fallback: Answered | None = None
        #: The verdict of an attempt of which it is unknown whether it ran.
        self.uncertain: MayHaveRun | None = None

    @property
    def object_key(self) -> str:
        """The object by which targets are selected; empty if the route is not sticky."""
        if self.route.sticky and self.request.object_key:
            return f"{self.route.name}/{self.request.object_key}"
        return ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target has run the request or may have run it."""
        return self.fallback is not None or self.uncertain is not None
