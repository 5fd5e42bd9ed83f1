"""The state of one request between its arrival and the response to the caller."""

from carawaybank.routing.configuration import Route
from carawaybank.routing.estimates import Choice
from carawaybank.routing.messages import Finish, Request
from carawaybank.routing.tenants import RequestTerms
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

#: Statuses that callers take for the promise that a request has not run and never will.
_PROMISING_STATUSES = frozenset({408, 421, 429, 503})


class Progress:
    """A request that has arrived and is not finished."""

    def __init__(
        self,
        *,
        request: Request,
        route: Route,
        terms: RequestTerms,
        service: str,
        now: float,
        least_urgent_rank: int,
        is_relayed: bool = False,
        waited_s: float = 0.0,
    ) -> None:
        """Creates the state of a request before its first attempt.

        Args:
            request: The request.
            route: Route of the request.
            terms: Terms of the route joined with those of the request's tenant.
            service: Service that runs the request.
            now: Time of arrival in monotonic seconds.
            least_urgent_rank: Rank of the least urgent requests of the service.
            is_relayed: Whether another VM passed the request on. It then gets a single attempt,
                and the other VM decides on further ones.
            waited_s: Seconds for which it waited until it was read; part of the route's time-out.
        """
        self.request = request
        self.route = route
        self.terms = terms
        self.service = service
        self.arrived_at = now
        self.least_urgent_rank = least_urgent_rank
        timeout_s = route.timeout_s - waited_s
        budget_s = timeout_s if request.budget_s is None else request.budget_s
        self.deadline = now + min(budget_s, timeout_s)
        self.is_relayed = is_relayed
        self._init_attempts(now)

    def _init_attempts(self, now: float) -> None:
        self.tried_targets: set[str] = set()
        self.choice: Choice | None = None
        self.last_target_id = ""
        #: Time at which the attempt in progress was sent.
        self.sent_at = now
        #: Address and start of the target that it was sent to.
        self.sent_address = ""
        self.sent_incarnation = 0
        #: Targets of ``tried_targets`` to which no connection could be opened.
        self.unreached_count = 0
        #: Relays of which no result came back, so that their target is unknown.
        self.lost_relay_count = 0
        #: Siblings that the request was passed on to, in order.
        self.relayed_by: list[str] = []
        #: Whether the last of these has not responded yet.
        self.is_at_sibling = False
        #: Why the last sibling did not send the request; None if it did.
        self.sibling_refusal: NotRun | None = None
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
    def attempt_count(self) -> int:
        """Number of targets that may have received the request."""
        return len(self.tried_targets) - self.unreached_count + self.lost_relay_count

    @property
    def may_have_run(self) -> bool:
        """Whether a target has run the request or may have run it."""
        return self.fallback is not None or self.uncertain is not None

    def judge(self, verdict: Verdict) -> Verdict:
        """Returns what the verdict of an attempt says of a request that must not run twice.

        A target that refuses a request says so, which makes it ``NotRun``. Another response with
        such a status is no such promise, and must not become ours.
        """
        if (
            isinstance(verdict, Answered)
            and verdict.status in _PROMISING_STATUSES
            and not self.route.idempotent
        ):
            detail = f"the target answered {verdict.status}, which does not say that it did not run"
            return MayHaveRun(Reason.UNPROVEN_REFUSAL, 1.0, detail)
        return verdict

    def finish(self, verdict: Verdict) -> Finish:
        """Returns the action that responds to the caller."""
        if isinstance(verdict, NotRun):
            status = 503
        elif isinstance(verdict, MayHaveRun):
            status = 504 if verdict.reason is Reason.TIMEOUT else 502
        else:
            status = verdict.status
        return Finish(
            self.request.key,
            verdict,
            status,
            self.service,
            self.last_target_id,
            self.route.objective_s,
            len(self.tried_targets),
            self.limited_by,
            tuple(self.relayed_by),
            self.terms.tenant,
        )
