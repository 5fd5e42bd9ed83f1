"""The router: decides whether each request is sent, and to which target.

Usage: pass a new request to :meth:`Router.arrive` and perform the action that it returns. Pass the
result of each attempt to :meth:`Router.end_attempt` and perform the next action, until it is
:class:`~carawaybank.routing.messages.Finish`.
"""

import random

from carawaybank.routing import admission, feedback, selection
from carawaybank.routing.coldstart import ColdStartLimit
from carawaybank.routing.configuration import Configuration, RouteTable, choose_service
from carawaybank.routing.directory import TargetDirectory
from carawaybank.routing.estimates import Choice, RoundTripTimes, WorkEstimate
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.messages import Action, AttemptResult, Finish, Request, Send
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.progress import Progress
from carawaybank.routing.retrylimit import RetryLimit
from carawaybank.routing.spillover import LocalityShares
from carawaybank.routing.targetlimits import TargetLimits
from carawaybank.steering import hashing
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_RETRYABLE_REASONS = frozenset(
    {Reason.TARGET_SHED, Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED, Reason.NOT_OWNER}
)
#: Assumed number of entry VMs per known one, because others may have joined unnoticed.
_UNKNOWN_VM_FACTOR = 1.5
_CRASH_RETENTION_S = 600.0
_CRASH_CAPACITY = 2_000
#: Crashes after which a request is not sent again. An unrelated request can be in progress at one
#: or two targets that crash, but hardly at three.
_CRASH_LIMIT = 3


class Router:
    """Routes the requests of one entry VM."""

    def __init__(self, *, options: RouterOptions, rng: random.Random) -> None:
        """Creates a router without configuration and targets.

        Args:
            options: Limits, and the locality of this entry VM.
            rng: Source of all random numbers.
        """
        self._options = options
        self._rng = rng
        self._configuration: Configuration | None = None
        self._routes = RouteTable(routes=())
        self._work_estimates: dict[str, WorkEstimate] = {}
        self._least_urgent_ranks: dict[str, int] = {}
        self._requests: dict[int, Progress] = {}
        self._retry_limits: dict[str, RetryLimit] = {}
        self.cold_starts = ColdStartLimit(vm=options.vm)
        self.limits = TargetLimits(
            vm=options.vm, locality=VmLocality(options.failure_domain, options.region)
        )
        self.targets = TargetDirectory()
        self.shares = LocalityShares(
            failure_domain=options.failure_domain,
            region=options.region,
            max_shift=options.max_shift,
        )
        self.round_trip_times = RoundTripTimes(
            failure_domain=options.failure_domain, region=options.region
        )
        self.quarantine = Quarantine(
            limit=_CRASH_LIMIT, expiry_s=_CRASH_RETENTION_S, capacity=_CRASH_CAPACITY
        )
        self._suspected_crashes: list[CrashReport] = []
        self._timed_out_targets: set[str] = set()
        #: Entry VMs that may currently send to targets, including this one.
        self.vms: tuple[str, ...] = (options.vm,)
        #: Number of entry VMs in the failure domain of this one, including it.
        self.failure_domain_vm_count = 1

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration; None before the first one."""
        return self._configuration

    @property
    def options(self) -> RouterOptions:
        """The limits, and the locality of this entry VM."""
        return self._options

    @property
    def request_count(self) -> int:
        """The number of requests that have arrived and are not finished."""
        return len(self._requests)

    @property
    def is_idle(self) -> bool:
        """Whether all requests are finished."""
        return not self._requests

    def update_options(self, options: RouterOptions) -> None:
        """Replaces the limits and resets the retry counts; the locality must stay the same."""
        self._options = options
        self._retry_limits.clear()

    def apply_configuration(
        self, configuration: Configuration, *, supersedes: bool = False
    ) -> bool:
        """Applies a configuration that is newer than the current one.

        Args:
            configuration: The configuration.
            supersedes: Whether it replaces the current one even if its version is not higher.

        Returns:
            Whether the configuration was applied.
        """
        if self._configuration == configuration:
            return False
        is_newer = not self._configuration or configuration.version > self._configuration.version
        if not (is_newer or supersedes):
            return False
        self._configuration = configuration
        self._routes = RouteTable(routes=configuration.routes)
        self._least_urgent_ranks = {}
        route_names = {route.name for route in configuration.routes}
        self._work_estimates = {
            name: work for name, work in self._work_estimates.items() if name in route_names
        }
        for route in configuration.routes:
            for weighted in route.services:
                known_rank = self._least_urgent_ranks.get(weighted.service, route.priority_rank)
                self._least_urgent_ranks[weighted.service] = max(known_rank, route.priority_rank)
        return True

    def arrive(self, request: Request, now: float) -> Action:
        """Starts the routing of a new request and returns the first action."""
        if self._configuration is None:
            return self._finish_unrouted(
                request, NotRun(Reason.NO_TICKET, 0.5, "no configuration yet")
            )
        route = self._routes.find(request.host, request.path)
        if route is None:
            return Finish(request.key, NotRun(Reason.UNKNOWN_SERVICE, 0.0, "no such route"), 404)
        if self.quarantine.is_quarantined(request.fingerprint, now=now):
            detail = "this request crashed the targets that ran it"
            return self._finish_unrouted(request, NotRun(Reason.QUARANTINED, 5.0, detail))
        self.targets.has_routed_requests = True
        service = choose_service(route, point=self._rng.random())
        progress = Progress(
            request=request,
            route=route,
            service=service,
            now=now,
            least_urgent_rank=self._least_urgent_ranks.get(service, route.priority_rank),
        )
        self._requests[request.key] = progress
        self.retry_limit(service).record_request(now=now)
        return self._dispatch(progress, now)

    def end_attempt(self, key: int, result: AttemptResult, now: float) -> Action:
        """Records the result of an attempt and returns the next action for the request.

        Args:
            key: Key of a request that has an attempt in progress.
            result: Result of the attempt.
            now: Current time in monotonic seconds.

        Raises:
            KeyError: If the request is not known.
        """
        progress = self._requests[key]
        choice = self._release_target(progress)
        if choice is not None:
            feedback.record_attempt(self, progress, choice, result, now)
        verdict = result.verdict
        if isinstance(verdict, Answered):
            return self._handle_response(progress, verdict, now)
        if isinstance(verdict, NotRun):
            if verdict.reason in _RETRYABLE_REASONS and self._try_acquire_retry(progress, now):
                return self._dispatch(progress, now)
            return self._finish(progress, self._final_verdict(progress, verdict))
        progress.uncertain = verdict
        if progress.route.idempotent and self._try_acquire_retry(progress, now):
            return self._dispatch(progress, now)
        return self._finish(progress, verdict)

    def abandon(self, key: int, now: float) -> None:
        """Drops a request whose caller disconnected, and releases its slot at the target."""
        progress = self._requests.pop(key, None)
        if progress is not None:
            self._release_target(progress)

    def retry_limit(self, service: str) -> RetryLimit:
        """Returns the retry limit of a service, updated for the current number of entry VMs."""
        vms = max(self._options.min_vms, _UNKNOWN_VM_FACTOR * len(self.vms))
        slack = int(self._options.retry_slack / vms)
        if service not in self._retry_limits:
            self._retry_limits[service] = RetryLimit(
                share=self._options.retry_share,
                slack=slack,
                window_s=self._options.retry_window_s,
            )
        self._retry_limits[service].set_slack(slack)
        return self._retry_limits[service]

    def record_suspect(self, report: CrashReport) -> None:
        """Records a request whose connection broke and that may have crashed its target."""
        self._suspected_crashes.append(report)

    def record_timeout(self, target_id: str) -> None:
        """Records a target at which a request timed out."""
        self._timed_out_targets.add(target_id)

    def pop_suspected_crashes(self) -> list[CrashReport]:
        """Returns and clears the requests whose connection broke.

        Whether the target crashed is not known yet: a check that it still accepts connections
        distinguishes a crash from a lost response.
        """
        popped, self._suspected_crashes = self._suspected_crashes, []
        return popped

    def pop_timed_out_targets(self) -> set[str]:
        """Returns and clears the ids of the targets at which a request timed out.

        A target that lost power does not respond; a check that it still accepts connections
        distinguishes it from a slow one.
        """
        popped, self._timed_out_targets = self._timed_out_targets, set()
        return popped

    def record_crash(self, report: CrashReport, now: float) -> bool:
        """Records a report of a request that crashed a target; returns whether it is new."""
        return self.quarantine.add_report(report, now=now)

    def cold_rate(self, service: str) -> float:
        """Returns the requests per second that all entry VMs together may send to a cold target.

        The result is 0 if the service has no such limit.
        """
        found = self._configuration.services.get(service) if self._configuration else None
        if found is None or found.cold_rate <= 0:
            return 0.0
        return found.cold_rate * self._options.cold_factor + self._options.cold_slack

    def accepts(self, progress: Progress, choice: Choice, now: float) -> bool:
        """Returns whether admission control would send the request to this target."""
        return self._check_admission(progress, choice, now) is None

    def _check_admission(
        self, progress: Progress, choice: Choice, now: float
    ) -> admission.Refusal | None:
        limit_s = admission.wait_limit_s(
            progress.route, least_urgent_rank=progress.least_urgent_rank
        )
        return admission.check(
            choice=choice,
            elapsed_s=now - progress.arrived_at,
            wait_limit_s=limit_s,
            remaining_s=progress.deadline - now,
            rng=self._rng,
        )

    def _dispatch(self, progress: Progress, now: float) -> Action:
        choice = selection.choose(self, progress, now)
        if choice is None:
            wait_s = selection.min_wait_s(self, progress, now) or progress.route.objective_s
            refusal = admission.refuse(wait_s, rng=self._rng)
            detail = ": ".join(filter(None, ("no target can take it", progress.limited_by)))
            return self._refuse(progress, refusal, detail)
        admission_refusal = self._check_admission(progress, choice, now)
        if admission_refusal is not None:
            detail = (
                f"expected after {choice.expected_s:.3f} s, of them {choice.wait_s:.3f} s waiting"
            )
            return self._refuse(progress, admission_refusal, detail)
        return self._send(progress, choice, now)

    def _send(self, progress: Progress, choice: Choice, now: float) -> Action:
        target = choice.target
        if target.is_cold(now=now):
            rate = self.cold_rate(progress.service)
            if rate and not self.cold_starts.try_send(
                target.entry.target_id, vms=self.vms, rate=rate, now=now
            ):
                refusal = admission.refuse(progress.route.objective_s, rng=self._rng)
                return self._refuse(progress, refusal, "only cold targets are left")
        self.limits.record_send(target.entry, now=now)
        progress.choice = choice
        progress.tried_targets.add(target.entry.target_id)
        progress.last_target_id = target.entry.target_id
        target.in_flight += 1
        target.is_new = False
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

    def _try_acquire_retry(self, progress: Progress, now: float) -> bool:
        if len(progress.tried_targets) >= progress.route.max_attempts or now >= progress.deadline:
            return False
        return self.retry_limit(progress.service).try_acquire(now=now)

    def _handle_response(self, progress: Progress, answer: Answered, now: float) -> Action:
        failed = answer.status >= 500
        if failed and progress.route.idempotent and self._try_acquire_retry(progress, now):
            progress.fallback = answer
            return self._dispatch(progress, now)
        return self._finish(progress, answer)

    def _release_target(self, progress: Progress) -> Choice | None:
        choice, progress.choice = progress.choice, None
        if choice is not None:
            choice.target.in_flight -= 1
        return choice

    def _refuse(self, progress: Progress, refusal: admission.Refusal, detail: str) -> Action:
        verdict = NotRun(Reason.NO_CAPACITY, refusal.retry_after_s, detail)
        return self._finish(progress, self._final_verdict(progress, verdict))

    def _final_verdict(self, progress: Progress, verdict: NotRun) -> Verdict:
        if progress.fallback is not None:
            return progress.fallback
        return progress.uncertain if progress.uncertain is not None else verdict

    def _finish_unrouted(self, request: Request, verdict: NotRun) -> Finish:
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
            len(progress.tried_targets),
            progress.limited_by,
        )

    def selection_point(self, object_key: str, purpose: str) -> float:
        """Returns a number in [0, 1) for a weighted selection.

        The number is a hash of the object and the purpose, or random if there is no object.
        """
        if not object_key:
            return self._rng.random()
        return hashing.score(key=object_key, member=purpose) / 2**64

    def work_estimate(self, progress: Progress) -> WorkEstimate:
        """Returns the work estimate of the request's route, and creates it at the first use."""
        route = progress.route
        if route.name not in self._work_estimates:
            self._work_estimates[route.name] = WorkEstimate(
                objective_s=route.objective_s, timeout_s=route.timeout_s, sticky=route.sticky
            )
        return self._work_estimates[route.name]
