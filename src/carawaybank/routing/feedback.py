"""Updates the state of targets and the work estimates from the results of attempts.

Load pattern: targets become slow, fail some of their requests or stop responding while their health
checks pass, so only their responses to requests are a reliable signal.
"""

from typing import TYPE_CHECKING

from carawaybank.routing.estimates import Choice
from carawaybank.routing.messages import AttemptResult
from carawaybank.routing.pace import PacedAnswer
from carawaybank.routing.progress import Progress
from carawaybank.routing.suspects import UnfinishedRun
from carawaybank.routing.target import LoadReport, Target
from carawaybank.steering.quarantine import CrashReport
from carawaybank.verdicts import Answered, NotRun, Reason

if TYPE_CHECKING:
    from carawaybank.routing.router import Router

#: Seconds after the deadline of a request in which a crash of its target is attributed to it.
_UNFINISHED_S = 2.0
#: Reasons for which an attempt was ended at this side, while its target may go on.
_GIVEN_UP = frozenset({Reason.TIMEOUT, Reason.PATH_LOST})
_UNREACHABLE = frozenset({Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED})
#: Lowest status that does not show that a target has run a request to its end.
_MIN_ERROR_STATUS = 400
#: Failures that a lost path would explain: nothing of a response was received.
_NO_RESPONSE = _UNREACHABLE | {Reason.TIMEOUT, Reason.CONNECTION_LOST}


def record_attempt(
    router: "Router", progress: Progress, choice: Choice, result: AttemptResult, now: float
) -> None:
    """Updates targets, estimates and suspected crashes from the result of an attempt.

    Args:
        router: The router whose targets and estimates are updated.
        progress: State of the request.
        choice: The target of the attempt, with the expected times.
        result: Result of the attempt.
        now: Current time in monotonic seconds.
    """
    target = choice.target
    if result.load is not None:
        _record_load(router, progress, target, result.load, now)
    if result.limit is not None:
        router.limits.record_statement(
            target.entry, result.limit, sent_at=now - result.latency_s, now=now
        )
    if result.pause_s:
        paused = router.targets.find_again(target) or target
        paused.pause(result.pause_s, now=now)
    if result.is_draining:
        router.targets.record_departure(target)
    current = router.targets.find(target.entry.target_id)
    if result.address_reused and current and current.entry.address == progress.sent_address:
        router.targets.remove(target.entry.target_id)
    verdict = result.verdict
    reason = None if isinstance(verdict, Answered) else verdict.reason
    if isinstance(verdict, Answered) and verdict.status < _MIN_ERROR_STATUS:
        refuted = router.quarantine.record_good_run(progress.request.fingerprint)
        if refuted:
            router.on_refuted(refuted)
    _record_time(router, progress, result, reason, now)
    _record_path(router, progress, target, reason, now)
    is_path_lost = router.reachability.is_lost(progress.service) and reason is not None
    if reason in _GIVEN_UP or (is_path_lost and result.may_have_crashed):
        record_unfinished(router, progress, target)
    if is_path_lost:
        return  # The failure is one of the path and says nothing about the target.
    _record_pace(router, progress, target, result, now)
    if isinstance(verdict, Answered) and verdict.status < 500:
        _record_work(router, progress, choice, result)
        target.record_result(failed=False)
        if not router.reachability.is_lost(progress.service):
            target.recover()
        return
    if isinstance(verdict, NotRun) and verdict.reason is Reason.TARGET_SHED:
        return
    target.record_result(failed=True)
    _record_failure(router, progress, choice, result, now)


def record_unfinished(router: "Router", progress: Progress, target: Target) -> None:
    """Records a run whose end this VM does not see, because a crash may still follow from it."""
    run = UnfinishedRun(
        progress.request.fingerprint,
        target,
        progress.sent_incarnation,
        progress.deadline + _UNFINISHED_S,
    )
    router.suspects.record_unfinished(run)


def _record_time(
    router: "Router",
    progress: Progress,
    result: AttemptResult,
    reason: Reason | None,
    now: float,
) -> None:
    """Records how long an attempt took that a target answered or did not answer in time."""
    if reason in (None, Reason.TIMEOUT):
        times = router.response_times.of(progress.route, now=now)
        times.record(result.latency_s, now=now)


def _record_path(
    router: "Router", progress: Progress, target: Target, reason: Reason | None, now: float
) -> None:
    """Records whether an attempt shows that the path to the targets holds."""
    if reason in _NO_RESPONSE:
        router.reachability.record_failure(progress.service, target.entry.target_id, now=now)
    elif reason is not Reason.PATH_LOST:
        router.reachability.record_reached(progress.service, now=now)


def _record_load(
    router: "Router", progress: Progress, target: Target, load: LoadReport, now: float
) -> None:
    earlier = target.machine.forecast(now=now)
    if earlier is not None and load.machine_slowness is not None:
        persistence = router.work_estimate(progress).report_persistence
        persistence.record(earlier, load.machine_slowness)
    target.record_load(load, now=now)


def _record_pace(
    router: "Router", progress: Progress, target: Target, result: AttemptResult, now: float
) -> None:
    """Records what an answer shows of a target that has returned, unless another one sent it."""
    pace = router.targets.pace
    entry = target.entry
    if not pace.is_enabled or router.targets.find(entry.target_id) is not target:
        return
    verdict = result.verdict
    is_failure = not isinstance(verdict, Answered) or verdict.status >= 500
    failure = str(getattr(verdict, "reason", "error response")) if is_failure else ""
    machine = (result.load and result.load.machine_slowness) or 1.0
    work_s = router.work_estimate(progress).expected_s(0.0) * target.slowness * max(1.0, machine)
    cold_s = work_s + router.round_trip_times.estimate_s(entry.failure_domain, entry.region)
    sent_at = now - result.latency_s
    answer = PacedAnswer(sent_at, result.load, result.latency_s / max(0.001, cold_s), failure)
    pace.record_answer(target, answer, now=now)


def _record_failure(
    router: "Router", progress: Progress, choice: Choice, result: AttemptResult, now: float
) -> None:
    reason = getattr(result.verdict, "reason", None)
    target_id = choice.target.entry.target_id
    if reason in _UNREACHABLE:
        choice.target.eject(now=now)
    elif reason is Reason.TIMEOUT:
        router.suspects.record_timeout(target_id)
        # If no target responded during the attempt, the path may have failed instead of the target.
        age_s = router.reachability.reached_age_s(progress.service, now=now)
        if progress.object_key and age_s is not None and age_s < result.latency_s:
            choice.target.record_slowness(result.latency_s / max(choice.expected_s, 0.001))
    if result.may_have_crashed:
        router.suspects.record_crash(
            CrashReport(progress.request.fingerprint, target_id, router.options.vm)
        )


def _record_work(
    router: "Router", progress: Progress, choice: Choice, result: AttemptResult
) -> None:
    """Records the request's object as warm, and updates the work estimate and the slowness.

    A request without an object shows nothing on a sticky route, where it may have been warm or not.
    Elsewhere it updates the estimate but no slowness: small differences between targets would
    direct all such requests to one of them.

    Only a run that was not expected to wait updates them. If its target is full, it waited for
    about as many requests as are queued there now; its duration therefore updates the slowness of
    the target but not the estimate of the work.

    What the machine of the target added according to the load report of the response is no slowness
    of the target and no work of the route.
    """
    if progress.route.sticky and not progress.object_key:
        return
    entry = choice.target.entry
    round_trip_s = router.round_trip_times.estimate_s(entry.failure_domain, entry.region)
    work_s = max(0.001, result.latency_s - round_trip_s)
    if choice.wait_s == 0:
        slowness, estimate, load = (
            choice.target.slowness,
            router.work_estimate(progress),
            result.load,
        )
        if load is not None and load.machine_slowness is not None:
            machine = choice.target.machine.newest
            work_s /= estimate.report_persistence.factor(machine, work_s=work_s)
        if load is not None and load.is_full:
            ratio = estimate.relative_time(work_s / slowness / (1 + load.wait_factor))
        else:
            ratio = estimate.record(work_s / slowness)
        if progress.object_key:
            choice.target.record_slowness(ratio * slowness)
    if progress.object_key:
        choice.target.record_run(progress.object_key)
