"""The router: decides where each request goes, and whether it goes anywhere.

Usage: pass an arrived request to :meth:`Router.arrive`, perform the action, report how it ended to
:meth:`Router.end_attempt`, until the action is :class:`~carawaybank.routing.messages.Finish`.
"""

import random
from typing import NamedTuple

from carawaybank.routing import admission, learning, selection
from carawaybank.routing.catalogue import Configuration, RouteTable, choose_part
from carawaybank.routing.coldstart import ColdStartLimit
from carawaybank.routing.directory import TargetDirectory
from carawaybank.routing.messages import Action, AttemptResult, Finish, Request, Send
from carawaybank.routing.placement import Choice, Distances, WorkEstimate
from carawaybank.routing.progress import Progress
from carawaybank.routing.retrylimit import RetryLimit
from carawaybank.routing.spill import PlaceShares
from carawaybank.steering import hashing
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_NEXT_TARGET_REASONS = frozenset(
    {Reason.TARGET_SHED, Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED, Reason.NOT_OWNER}
)
#: Entry VMs for each one that is known; the rest may have joined unseen.
_UNSEEN_VMS = 1.5
_CRASH_MEMORY_S = 600.0
_CRASH_CAPACITY = 2_000
#: Crashes after which a request is not sent again. An unrelated request can be under way at one
#: or two targets that crash, hardly at three.
_CRASH_LIMIT = 3


class RouterOptions(NamedTuple):
    """Bounds that hold over all entry VMs.

    Attributes:
        failure_domain: Failure domain of this entry VM.
        region: Region of this entry VM.
        vm: Name of this entry VM.
        retry_share: Repeats allowed for each request of a service.
        retry_slack: Repeats allowed besides, by all entry VMs in a window.
        retry_window_s: Length of the window in seconds.
        fewest_vms: Fewest entry VMs among which sums are divided, however few are known.
        cold_factor: Factor on a cold target's rate.
        cold_slack: Requests a second besides.
        most_shift: Largest part of the requests that may change their region between two windows.
    """

    failure_domain: str
    region: str
    vm: str = ""
    retry_share: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    fewest_vms: int = 17
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    most_shift: float = 0.15


class Router:
    """Decides on the requests of one entry VM."""

    def __init__(self, *, options: RouterOptions, rng: random.Random) -> None:
        """Starts without configuration and targets.

        Args:
            options: Bounds and place.
            rng: Source of all draws.
        """
        self._options = options
        self._rng = rng
        self._configuration: Configuration | None = None
        self._routes = RouteTable(routes=())
        self._work: dict[str, WorkEstimate] = {}
        self._ranks: dict[str, int] = {}
        self._requests: dict[int, Progress] = {}
        self._retries: dict[str, RetryLimit] = {}
        self.cold_starts = ColdStartLimit(vm=options.vm)
        self.targets = TargetDirectory()
        self.shares = PlaceShares(
            failure_domain=options.failure_domain,
            region=options.region,
            most_shift=options.most_shift,
        )
        self.distances = Distances(failure_domain=options.failure_domain, region=options.region)
        self.quarantine = Quarantine(
            limit=_CRASH_LIMIT, expiry_s=_CRASH_MEMORY_S, capacity=_CRASH_CAPACITY
        )
        self._suspected: list[CrashReport] = []
        self._silent: set[str] = set()
        #: Entry VMs that may send to targets now, this one included.
        self.vms: tuple[str, ...] = (options.vm,)
        #: Entry VMs of the own failure domain, this one included.
        self.domain_size = 1

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return self._configuration

    @property
    def options(self) -> RouterOptions:
        """Bounds and place."""
        return self._options

    @property
    def requests_under_way(self) -> int:
        """Requests that arrived and are not finished."""
        return len(self._requests)

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self._requests

    def update_options(self, options: RouterOptions) -> None:
        """Takes other bounds; the place of the entry VM stays."""
        self._options = options
        self._retries.clear()

    def configure(self, configuration: Configuration, *, supersedes: bool = False) -> bool:
        """Takes a configuration; returns whether it replaces the one in force.

        Args:
            configuration: The configuration.
            supersedes: Whether it replaces another one whatever their versions are.
        """
        if self._configuration == configuration:
            return False
        is_newer = not self._configuration or configuration.version > self._configuration.version
        if not (is_newer or supersedes):
            return False
        self._configuration = configuration
        self._routes = RouteTable(routes=configuration.routes)
        self._ranks = {}
        names = {route.name for route in configuration.routes}
        self._work = {name: work for name, work in self._work.items() if name in names}
        for route in configuration.routes:
            for part in route.parts:
                known = self._ranks.get(part.service, route.rank)
                self._ranks[part.service] = max(known, route.rank)
        return True

    def arrive(self, request: Request, now: float) -> Action:
        """Decides on a request that arrived."""
        if self._configuration is None:
            return self._reject(request, NotRun(Reason.NO_TICKET, 0.5, "no configuration yet"))
        route = self._routes.find(request.host, request.path)
        if route is None:
            return Finish(request.key, NotRun(Reason.UNKNOWN_SERVICE, 0.0, "no such route"), 404)
        if self.quarantine.is_refused(request.fingerprint, now=now):
            detail = "this request crashed the targets that ran it"
            return self._reject(request, NotRun(Reason.QUARANTINED, 5.0, detail))
        self.targets.is_serving = True
        service = choose_part(route, draw=self._rng.random())
        progress = Progress(
            request=request,
            route=route,
            service=service,
            now=now,
            rank_below=self._ranks.get(service, route.rank),
        )
        self._requests[request.key] = progress
        self.retry_limit(service).note_request(now=now)
        return self._place(progress, now)

    def end_attempt(self, key: int, result: AttemptResult, now: float) -> Action:
        """Decides what follows an attempt."""
        progress = self._requests[key]
        choice = self._release(progress)
        if choice is not None:
            learning.learn(self, progress, choice, result, now)
        verdict = result.verdict
        if isinstance(verdict, Answered):
            return self._judge_answer(progress, verdict, now)
        if isinstance(verdict, NotRun):
            if verdict.reason in _NEXT_TARGET_REASONS and self._may_repeat(progress, now):
                return self._place(progress, now)
            return self._finish(progress, self._not_run(progress, verdict))
        progress.ambiguous = verdict
        if progress.route.idempotent and self._may_repeat(progress, now):
            return self._place(progress, now)
        return self._finish(progress, verdict)

    def abandon(self, key: int, now: float) -> None:
        """Forgets a request whose caller left."""
        progress = self._requests.pop(key, None)
        if progress is not None:
            self._release(progress)

    def retry_limit(self, service: str) -> RetryLimit:
        """Returns the limit of repeated sends to a service."""
        vms = max(self._options.fewest_vms, _UNSEEN_VMS * len(self.vms))
        slack = int(self._options.retry_slack / vms)
        if service not in self._retries:
            self._retries[service] = RetryLimit(
                share=self._options.retry_share,
                slack=slack,
                window_s=self._options.retry_window_s,
            )
        self._retries[service].set_slack(slack)
        return self._retries[service]

    def suspect(self, report: CrashReport) -> None:
        """Records a request whose connection broke."""
        self._suspected.append(report)

    def note_silent(self, target_id: str) -> None:
        """Records a target that let a request time out."""
        self._silent.add(target_id)

    def take_suspected(self) -> list[CrashReport]:
        """Returns requests whose connection broke, which are then no longer kept.

        Whether the target crashed is not known yet: a check that it still accepts connections
        tells a crash from a lost answer.
        """
        taken, self._suspected = self._suspected, []
        return taken

    def take_silent(self) -> set[str]:
        """Returns targets that let a request time out, which are then no longer kept.

        A target that lost its power says nothing; whether it still accepts connections tells that
        from a slow one.
        """
        taken, self._silent = self._silent, set()
        return taken

    def note_crash(self, report: CrashReport, now: float) -> bool:
        """Takes a report of a request that cost a target; returns whether it is news."""
        return self.quarantine.report(report, now=now)

    def cold_rate(self, service: str) -> float:
        """Returns the requests a second that cold targets may get from all entry VMs; 0 if any."""
        found = self._configuration.services.get(service) if self._configuration else None
        if found is None or found.cold_rate <= 0:
            return 0.0
        return found.cold_rate * self._options.cold_factor + self._options.cold_slack

    def accepts(self, progress: Progress, choice: Choice, now: float) -> bool:
        """Returns whether a request would be sent to a choice."""
        return self._judge(progress, choice, now) is None

    def _judge(self, progress: Progress, choice: Choice, now: float) -> admission.Refusal | None:
        limit_s = admission.patience_s(progress.route, least_urgent=progress.rank_below)
        return admission.judge(
            choice=choice,
            elapsed_s=now - progress.arrived,
            patience_s=limit_s,
            left_s=progress.deadline - now,
            rng=self._rng,
        )

    def _place(self, progress: Progress, now: float) -> Action:
        choice = selection.choose(self, progress, now)
        if choice is None:
            wait_s = selection.paused_s(self, progress, now) or progress.route.objective_s
            refusal = admission.refuse(wait_s, rng=self._rng)
            return self._give_up(progress, refusal, "no target can take it")
        judged = self._judge(progress, choice, now)
        if judged is not None:
            detail = (
                f"expected after {choice.expected_s:.3f} s, of them {choice.wait_s:.3f} s waiting"
            )
            return self._give_up(progress, judged, detail)
        return self._send(progress, choice, now)

    def _send(self, progress: Progress, choice: Choice, now: float) -> Action:
        target = choice.target
        if target.is_cold(now=now):
            rate = self.cold_rate(progress.service)
            if rate and not self.cold_starts.try_send(
                target.entry.target_id, vms=self.vms, rate=rate, now=now
            ):
                refusal = admission.refuse(progress.route.objective_s, rng=self._rng)
                return self._give_up(progress, refusal, "only cold targets are left")
        progress.choice = choice
        progress.tried.add(target.entry.target_id)
        progress.last_target_id = target.entry.target_id
        target.in_flight += 1
        target.is_newcomer = False
        return Send(
            progress.request.key,
            target.entry.target_id,
            target.entry.address,
            target.entry.failure_domain,
            progress.deadline,
            progress.route.idempotent,
            choice.expected_s,
            choice.wait_s,
            choice.warmth,
        )

    def _may_repeat(self, progress: Progress, now: float) -> bool:
        if len(progress.tried) >= progress.route.attempts or now >= progress.deadline:
            return False
        return self.retry_limit(progress.service).try_repeat(now=now)

    def _judge_answer(self, progress: Progress, answer: Answered, now: float) -> Action:
        failed = answer.status >= 500
        if failed and progress.route.idempotent and self._may_repeat(progress, now):
            progress.fallback = answer
            return self._place(progress, now)
        return self._finish(progress, answer)

    def _release(self, progress: Progress) -> Choice | None:
        choice, progress.choice = progress.choice, None
        if choice is not None:
            choice.target.in_flight -= 1
        return choice

    def _give_up(self, progress: Progress, refusal: admission.Refusal, detail: str) -> Action:
        verdict = NotRun(Reason.NO_CAPACITY, refusal.retry_after_s, detail)
        return self._finish(progress, self._not_run(progress, verdict))

    def _not_run(self, progress: Progress, verdict: NotRun) -> Verdict:
        if progress.fallback is not None:
            return progress.fallback
        return progress.ambiguous if progress.ambiguous is not None else verdict

    def _reject(self, request: Request, verdict: NotRun) -> Finish:
        return Finish(request.key, verdict, 503)

    def _finish(self, progress: Progress, verdict: Verdict) -> Finish:
        self._requests.pop(progress.request.key, None)
        if isinstance(verdict, NotRun):
            status = 503
        elif isinstance(verdict, MayHaveRun):
            status = 504 if verdict.reason is Reason.TIMEOUT else 502
        else:
            status = verdict.status
        return Finish(
            progress.request.key,
            verdict,
            status,
            progress.service,
            progress.last_target_id,
            progress.route.objective_s,
            len(progress.tried),
        )

    def draw(self, object_key: str, purpose: str) -> float:
        """Returns a number from 0 up to 1: the same for an object, else a random one."""
        if not object_key:
            return self._rng.random()
        return hashing.score(key=object_key, member=purpose) / 2**64

    def estimate(self, progress: Progress) -> WorkEstimate:
        """Returns the estimate of the work on a request."""
        route = progress.route
        if route.name not in self._work:
            self._work[route.name] = WorkEstimate(
                objective_s=route.objective_s, timeout_s=route.timeout_s, sticky=route.sticky
            )
        return self._work[route.name]
