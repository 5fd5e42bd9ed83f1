"""The router: decides whether each request is sent, and to which target.

Usage: pass a new request to :meth:`Router.arrive` and perform the action that it returns. Pass the
result of each attempt to :meth:`Router.end_attempt` and perform the next action, until it is
:class:`~carawaybank.routing.messages.Finish`.
"""

import random
from collections.abc import Callable

from carawaybank.routing import admission, downloads, feedback, relaying, selection
from carawaybank.routing.coldstart import ColdStartLimit
from carawaybank.routing.configuration import Configuration, Route, RouteTable, choose_service
from carawaybank.routing.directory import TargetDirectory
from carawaybank.routing.estimates import Choice, RoundTripTimes, WorkEstimate, WorkEstimates
from carawaybank.routing.helpers import Helpers
from carawaybank.routing.identification import Denial, Identification
from carawaybank.routing.limitshares import VmLocality
from carawaybank.routing.messages import (
    Action,
    AttemptResult,
    Finish,
    RelayResult,
    RelayTerms,
    Request,
    Send,
)
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.progress import Progress
from carawaybank.routing.reachability import Reachability
from carawaybank.routing.responsetimes import RouteResponseTimes
from carawaybank.routing.retrylimit import RetryLimit, RetryLimits
from carawaybank.routing.spillover import LocalityShares
from carawaybank.routing.stopping import ResponseBounds, StopPlan
from carawaybank.routing.suspects import SuspectedTargets
from carawaybank.routing.targetlimits import TargetLimits
from carawaybank.routing.tenants import RequestTerms
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.verdicts import UNREACHED_REASONS, Answered, NotRun, Reason, Verdict

_RETRYABLE_REASONS = frozenset(
    {Reason.TARGET_SHED, Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED, Reason.NOT_OWNER}
)
#: Factor by which a response may take longer than expected.
_TOLERANCE_FACTOR = 1.5
_CRASH_RETENTION_S = 600.0
_CRASH_CAPACITY = 2_000
#: Crashes after which a request is not sent again.
_CRASH_LIMIT = 3
#: Seconds in which runs that end well may still show that a request did not cause them.
_CRASH_PROBATION_S = 1.0


class Router:
    """Routes the requests of one entry VM.

    Attributes:
        stop_plan: Steps of the planned stop; None while this VM is not stopping.
    """

    stop_plan: StopPlan | None = None

    def __init__(self, *, options: RouterOptions, rng: random.Random, started_at: float) -> None:
        """Creates a router without configuration and targets.

        Args:
            options: Limits, and the locality of this entry VM.
            rng: Source of all random numbers.
            started_at: Time in monotonic seconds at which the process started.
        """
        self._options = options
        self._rng = rng
        self._configuration: Configuration | None = None
        #: The routes of the current configuration.
        self.routes = RouteTable(routes=())
        self._work_estimates = WorkEstimates()
        self.response_times = RouteResponseTimes()
        self._requests: dict[int, Progress] = {}
        #: Requests whose caller left while an attempt goes on, whose result nobody waits for.
        self._detached: dict[int, Progress] = {}
        self._retry_limits = RetryLimits(started_at=started_at)
        self.identification = Identification(
            is_strict=options.revoke_strict, revoke_within_s=options.revoke_within_s
        )
        self.cold_starts = ColdStartLimit(vm=options.vm, started_at=started_at)
        self.limits = TargetLimits(
            vm=options.vm, locality=VmLocality(options.failure_domain, options.region)
        )
        self.targets = TargetDirectory(paces_returns=options.paces_returns)
        self.shares = LocalityShares(
            failure_domain=options.failure_domain,
            region=options.region,
            max_shift=options.max_shift,
        )
        self.reachability = Reachability()
        self.helpers = Helpers(failure_domain=options.failure_domain, region=options.region)
        self.round_trip_times = RoundTripTimes(
            failure_domain=options.failure_domain, region=options.region
        )
        self.quarantine = Quarantine(
            limit=_CRASH_LIMIT,
            expiry_s=_CRASH_RETENTION_S,
            capacity=_CRASH_CAPACITY,
            probation_s=_CRASH_PROBATION_S,
            # All entry VMs that have the same request in progress at a target report its crash.
            crash_of=lambda report: report.target,
        )
        #: Called with crash reports that runs of the request have refuted.
        self.on_refuted: Callable[[list[CrashReport]], None] = lambda _: None
        self.suspects = SuspectedTargets()
        #: Returns whether the memory for responses that wait for slow callers is not used up.
        self.has_response_room: Callable[[], bool] = lambda: True
        #: Entry VMs that may currently send to targets, including this one; empty until they are
        #: known.
        self.vms: tuple[str, ...] = ()
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
    def rng(self) -> random.Random:
        """Source of all random numbers."""
        return self._rng

    @property
    def requests(self) -> list[Progress]:
        """The requests that have arrived and are not finished."""
        return list(self._requests.values())

    @property
    def is_idle(self) -> bool:
        """Whether all requests are finished."""
        return not self._requests

    def starts_retries(self, now: float) -> bool:
        """Returns whether another attempt can follow one that is ended early.

        A VM that stops starts few attempts once it does not listen any more. What is in progress is
        then left to its deadline, because its response may still come.

        Args:
            now: Current time in monotonic seconds.
        """
        return self.stop_plan is None or self.stop_plan.is_listening(now)

    def update_options(self, options: RouterOptions) -> None:
        """Replaces the limits; the locality must stay the same."""
        self._options = options
        self.targets.pace.is_enabled = options.paces_returns
        self.identification.revocation.update(
            is_strict=options.revoke_strict, within_s=options.revoke_within_s
        )

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
        self.routes = RouteTable(routes=configuration.routes)
        self.identification.apply(configuration)
        self._work_estimates.keep(configuration.routes)
        self.response_times.keep(configuration.routes)
        return True

    def arrive(
        self,
        request: Request,
        now: float,
        terms: RelayTerms | None = None,
        *,
        waited_s: float = 0.0,
    ) -> Action:
        """Starts the routing of a new request and returns the first action.

        Args:
            request: The request.
            now: Current time in monotonic seconds.
            terms: What to observe if another VM passed the request on; None otherwise.
            waited_s: Seconds for which the request waited until it was read.
        """
        version = self._configuration.version if self._configuration else None
        if version is None or (terms is not None and version < terms.configuration_version):
            detail = "no configuration yet" if version is None else "the configuration is older"
            return Finish(request.key, NotRun(Reason.NO_TICKET, 0.5, detail), 503)
        route = self.routes.find(request.host, request.path)
        if route is None:
            return Finish(request.key, NotRun(Reason.UNKNOWN_SERVICE, 0.0, "no such route"), 404)
        joined = self.identification.identify(route, request, terms, now)
        if isinstance(joined, Denial):
            return Finish(request.key, joined.verdict, joined.status, tenant=joined.tenant)
        if self.quarantine.is_quarantined(request.fingerprint, now=now):
            detail = "this request crashed the targets that ran it"
            verdict = NotRun(Reason.QUARANTINED, 5.0, detail)
            return Finish(request.key, verdict, 503, tenant=joined.tenant)
        has_room, is_relayed = self.has_response_room(), terms is not None
        refusal = downloads.check(route, has_room=has_room, is_relayed=is_relayed, rng=self._rng)
        if refusal is not None:
            return Finish(request.key, refusal, 503, tenant=joined.tenant)
        return self._start(request, route, joined, now, relay_terms=terms, waited_s=waited_s)

    def _start(
        self,
        request: Request,
        route: Route,
        joined: RequestTerms,
        now: float,
        *,
        relay_terms: RelayTerms | None,
        waited_s: float,
    ) -> Action:
        self.targets.has_routed_requests = True
        point = self._rng.random()
        if relay_terms is None:
            service = choose_service(route, point=point)
            self.retry_limit(service, now=now).record_request(now=now)
        else:
            service = relaying.choose_relayed_service(route, relay_terms, point=point)
        progress = Progress(
            request=request,
            route=route,
            terms=joined,
            service=service,
            now=now,
            least_urgent_rank=self.identification.least_urgent_rank(
                service, default=joined.priority_rank
            ),
            is_relayed=relay_terms is not None,
            waited_s=waited_s,
        )
        if relay_terms is not None:
            progress.tried_targets.update(relay_terms.tried_targets)
        self._requests[request.key] = progress
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
        verdict = progress.judge(result.verdict)
        if progress.is_relayed:
            return self._finish(progress, verdict)
        if isinstance(verdict, Answered):
            return self._handle_response(progress, verdict, now)
        if isinstance(verdict, NotRun):
            progress.unreached_count += verdict.reason in UNREACHED_REASONS
            if verdict.reason in _RETRYABLE_REASONS and (
                relaying.is_retry_free(self, progress, verdict, now)
                or self.try_acquire_retry(progress, now)
            ):
                return self._dispatch(progress, now)
            return self.finish(progress, verdict)
        progress.uncertain = verdict
        if progress.route.idempotent and self.try_acquire_retry(progress, now):
            return self._dispatch(progress, now)
        return self.finish(progress, verdict)

    def end_relay(self, key: int, result: RelayResult, now: float) -> Action:
        """Records the result of a relay and returns the next action for the request.

        Args:
            key: Key of a request that a sibling has attempted.
            result: Result of the attempt.
            now: Current time in monotonic seconds.

        Raises:
            KeyError: If the request is not known.
        """
        progress = self._requests[key]
        verdict = relaying.end_relay(self, progress, result, now)
        if verdict is None:
            return self._dispatch(progress, now)
        return self.finish(progress, verdict)

    def abandon(self, key: int, now: float) -> None:
        """Drops a request whose caller disconnected, and releases its slot at the target."""
        progress = self._requests.pop(key, None)
        if progress is not None:
            choice = self._release_target(progress)
            if choice is not None:
                feedback.record_unfinished(self, progress, choice.target)
            relaying.release(self, progress)

    def detach(self, key: int) -> None:
        """Drops a request whose caller disconnected, while its attempt goes on.

        Its slot at the target is released by :meth:`end_detached`.
        """
        progress = self._requests.pop(key, None)
        if progress is not None:
            self._detached[key] = progress

    def end_detached(self, key: int, result: AttemptResult | None, now: float) -> None:
        """Records what the attempt of a detached request shows of its target.

        Args:
            key: Key of a request; unknown ones are ignored.
            result: Result of the attempt; None if it ended without one.
            now: Current time in monotonic seconds.
        """
        progress = self._detached.pop(key, None)
        choice = self._release_target(progress) if progress is not None else None
        if progress is not None and choice is not None and result is not None:
            feedback.record_attempt(self, progress, choice, result, now)

    @property
    def retry_limits(self) -> RetryLimits:
        """The retry limits by service."""
        return self._retry_limits

    def retry_limit(self, service: str, *, now: float) -> RetryLimit:
        """Returns the retry limit of a service, updated for the current number of entry VMs."""
        return self._retry_limits.of(
            service, options=self._options, vm_count=len(self.vms), now=now
        )

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
            progress.terms,
            objective_s=progress.route.objective_s,
            least_urgent_rank=progress.least_urgent_rank,
        )
        return admission.check(
            choice=choice,
            elapsed_s=now - progress.arrived_at,
            wait_limit_s=limit_s,
            remaining_s=progress.deadline - now,
            rng=self._rng,
        )

    def _dispatch(self, progress: Progress, now: float) -> Action:
        refusal_by_stop = self._refuse_by_stop(progress, self.work_estimate(progress).warm_s, now)
        if refusal_by_stop is not None:
            return refusal_by_stop
        if self.reachability.is_lost(progress.service) and not progress.is_relayed:
            return relaying.relay_or_refuse(self, progress, now)
        choice = selection.choose(self, progress, now)
        if choice is None:
            wait_s = selection.min_wait_s(self, progress, now) or progress.route.objective_s
            refusal = admission.refuse(wait_s, rng=self._rng)
            detail = ": ".join(filter(None, ("no target can take it", progress.limited_by)))
            return self._refuse(progress, refusal, detail, now)
        admission_refusal = self._check_admission(progress, choice, now)
        if admission_refusal is not None:
            detail = (
                f"expected after {choice.expected_s:.3f} s, of them {choice.wait_s:.3f} s waiting"
            )
            return self._refuse(progress, admission_refusal, detail, now)
        return self._refuse_by_stop(progress, choice.expected_s, now) or self._send(
            progress, choice, now
        )

    def _refuse_by_stop(self, progress: Progress, expected_s: float, now: float) -> Finish | None:
        """Refuses a request that this VM may not finish before it stops; other VMs serve it."""
        if self.stop_plan is None:
            return None
        longest_s = progress.deadline - now
        percentile_s = self.response_times.of(progress.route, now=now).bound_s(now=now)
        if percentile_s is None:
            percentile_s = _TOLERANCE_FACTOR * self.work_estimate(progress).cold_s
        usual_s = max(percentile_s, _TOLERANCE_FACTOR * expected_s)
        if self.stop_plan.can_finish(
            ResponseBounds(usual_s, longest_s),
            is_idempotent=progress.route.idempotent,
            now=now,
        ):
            return None
        self.stop_plan.refused_count += not progress.may_have_run
        return self.finish(progress, NotRun(Reason.STOPPING, 0.0, "the entry VM stops"))

    def _send(self, progress: Progress, choice: Choice, now: float) -> Action:
        target = choice.target
        if target.is_cold(now=now):
            rate = self.cold_rate(progress.service)
            if rate and not self.cold_starts.try_send(
                target.entry.target_id, vms=self.vms, rate=rate, now=now
            ):
                refusal = admission.refuse(progress.route.objective_s, rng=self._rng)
                return self._refuse(progress, refusal, "only cold targets are left", now)
        self.limits.record_send(target.entry, now=now)
        progress.choice = choice
        progress.sent_at = now
        progress.sent_address = target.entry.address
        progress.sent_incarnation = target.entry.incarnation
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
            progress.terms.tenant,
        )

    def try_acquire_retry(self, progress: Progress, now: float) -> bool:
        """Counts a retry of a request if its route, deadline and the retry limit allow it."""
        is_impaired = relaying.is_impaired(self, progress.service, now)
        attempts = progress.attempt_count if is_impaired else len(progress.tried_targets)
        if attempts >= progress.route.max_attempts or now >= progress.deadline:
            return False
        return self.retry_limit(progress.service, now=now).try_acquire(now=now)

    def _handle_response(self, progress: Progress, answer: Answered, now: float) -> Action:
        failed = answer.status >= 500
        if failed and progress.route.idempotent and self.try_acquire_retry(progress, now):
            progress.fallback = answer
            return self._dispatch(progress, now)
        return self._finish(progress, answer)

    def _release_target(self, progress: Progress) -> Choice | None:
        choice, progress.choice = progress.choice, None
        if choice is not None:
            choice.target.in_flight -= 1
        return choice

    def _refuse(
        self, progress: Progress, refusal: admission.Refusal, detail: str, now: float
    ) -> Action:
        relay = relaying.choose_relay(self, progress, now)
        if relay is not None:
            return relay
        return self.finish(progress, NotRun(Reason.NO_CAPACITY, refusal.retry_after_s, detail))

    def finish(self, progress: Progress, verdict: Verdict) -> Finish:
        """Finishes a request; a failure gives way to the result of an earlier attempt."""
        is_answered = isinstance(verdict, Answered)
        earlier = None if is_answered else progress.fallback or progress.uncertain
        return self._finish(progress, earlier or verdict)

    def _finish(self, progress: Progress, verdict: Verdict) -> Finish:
        self._requests.pop(progress.request.key, None)
        return progress.finish(verdict)

    def work_estimate(self, progress: Progress) -> WorkEstimate:
        """Returns the work estimate of the request's route."""
        return self._work_estimates.of(progress.route)

    def known_work_estimate(self, route: Route) -> WorkEstimate:
        """Returns the work estimate of a route without keeping a new one."""
        return self._work_estimates.find(route)
