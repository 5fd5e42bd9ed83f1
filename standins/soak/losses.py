"""LOST: requests whose connection ended without a complete response, and its exceptions."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from standins.soak.history import (
    BROKEN_OFF,
    DROPPED,
    ENDLESS,
    Event,
    History,
    Request,
    Run,
    Violation,
)

#: Losses of a kept connection apart from planned work that the rule tolerates in a run.
MAX_LOSSES_ANYTIME = 3

#: Sentences of the rule beside those of a SIGTERM, SIGHUP or configuration.
OWN_ANSWER, ANYTIME = "own answer", "at any time"

#: All sentences of the rule.
SENTENCES = ("SIGTERM", "SIGHUP", "config", OWN_ANSWER, ANYTIME)

_BUDGET_SHARE_BESIDE_CONFIG = 0.7
_MAX_SENT_AFTER_STOP_S = 3.0


class ExcusedCut(NamedTuple):
    """A request without a complete response that is not counted, and why."""

    reason: str
    detail: str


def was_cut(history: History, request: Request) -> bool:
    """Returns whether a whole request got no complete response and was passed on or held."""
    if request.last_byte_at is None:
        return False
    if not _is_incomplete(request):
        return False
    slack_s = history.bounds.lossSlackMs / 1000
    return _was_passed_on(history, request) or request.ended_at > request.last_byte_at + slack_s


def find_planned_work(history: History, request: Request) -> Event | None:
    """Returns the stop, SIGHUP or configuration around which a request ended, if any."""
    bounds = history.bounds
    for event in history.find_events("SIGTERM", vm=request.vm):
        if event.at <= request.ended_at <= event.at + bounds.graceS + 1:
            return event
    for event in history.find_events("SIGHUP", vm=request.vm):
        if request.sent_at <= event.at + bounds.configMs / 1000 and request.ended_at >= event.at:
            return event
    for event in history.configs:
        if _is_beside(history, event, request):
            return event
    return None


def find_exception(history: History, request: Request, work: Event | None) -> str:
    """Returns the sentence of the rules that allows a loss; empty if none does."""
    runs = history.runs_of(request.id)
    age_s = request.ended_at - request.sent_at
    if history.is_disturbed(
        request.vm, request.sent_at - history.bounds.stable_s, request.ended_at
    ):
        return "unplanned disturbance from stableMs before the request to its end"
    budget_s = history.budget_of(request)
    # A response without end is broken off when it begins; a VM may read it until its time is up.
    is_timeout = request.status == 504 and age_s >= budget_s
    is_read_on = is_timeout and bool(runs) and runs[-1].outcome == ENDLESS
    if runs and not is_read_on and _broke_off(history, request):
        return "the server broke off"
    if age_s >= budget_s:
        return "the time budget or the route's timeout was reached"
    if not _was_passed_on(history, request) and _waits_behind_another(history, request):
        return "a request that was sent behind another on its connection and wasn't passed on"
    if work and work.event == "SIGTERM" and request.sent_at <= work.at + _MAX_SENT_AFTER_STOP_S:
        last_sixth_at = work.at + history.bounds.graceS * 5 / 6
        for run in runs:
            end = request.ended_at if run.ended_at is None else run.ended_at
            if run.started_at <= request.ended_at and end >= last_sixth_at:
                return "the server was still at work in the last sixth of graceS"
    if work and work.event == "config" and age_s >= _BUDGET_SHARE_BESIDE_CONFIG * budget_s:
        return "a request that has used seven tenths of its time"
    return ""


def is_own_answer(request: Request) -> bool:
    """Returns whether a VM answered with a failure that no target made."""
    return request.outcome == "answered" and not request.seal and request.status >= 400


def replaces_a_run(history: History, request: Request) -> bool:
    """Returns whether a VM answered by itself in place of what a target ran.

    The target was at work, or had ended its work with a success that the VM did not pass back.
    """
    return is_own_answer(request) and any(
        _is_in_place_of(history, run, request.ended_at) for run in history.runs_of(request.id)
    )


def find_losses(history: History) -> list[Violation]:
    """Finds requests that planned work, or a VM in touch, left without a whole response."""
    violations = []
    beside_config: dict[str, list[Violation]] = defaultdict(list)
    anytime = []
    for request in history.requests:
        own_answer = replaces_a_run(history, request)
        if not own_answer and not was_cut(history, request):
            continue
        work = find_planned_work(history, request)
        if find_exception(history, request, work):
            continue
        violation = _describe(history, request, work)
        if work and work.event == "config":
            if not own_answer:
                beside_config[request.vm].append(violation)
        elif work and (work.event == "SIGTERM" or not own_answer):
            violations.append(violation)
        elif _is_lost_anytime(history, request):
            anytime.append(violation)
    for vm, losses in beside_config.items():
        if _cuts_more_beside_configs(history, vm):
            violations += losses
    if len(anytime) > MAX_LOSSES_ANYTIME:
        violations += anytime
    return violations


def find_excused_cuts(history: History) -> list[ExcusedCut]:
    """Returns requests that a VM left without a whole response and that are not counted."""
    lost = {violation.detail for violation in find_losses(history)}
    excused = []
    for request in history.requests:
        own_answer = replaces_a_run(history, request)
        if not (own_answer or _is_incomplete(request)):
            continue
        work = find_planned_work(history, request)
        if own_answer and (work is None or work.event != "SIGTERM"):
            continue
        detail = _describe(history, request, work).detail
        if detail in lost:
            continue
        reason = find_exception(history, request, work)
        if request.last_byte_at is None:
            reason = "not sent whole"
        elif _is_incomplete(request) and not was_cut(history, request):
            reason = "not passed on, and ended within lossSlackMs of its last byte"
        elif not reason:
            reason = "apart from planned work" if work is None else f"{work.event}: not counted"
        excused.append(ExcusedCut(reason, detail))
    return excused


def _is_incomplete(request: Request) -> bool:
    """Returns whether the connection ended without a complete response."""
    return request.outcome in {"reset", "closed"} or (
        request.outcome == "answered" and not request.complete
    )


def _was_passed_on(history: History, request: Request) -> bool:
    # What a VM has sent may still be on its way to the target when the caller's connection ends.
    until = request.ended_at + history.meta.get("pass_on_s", 0.0)
    arrivals = history.arrivals_by_id.get(request.id, [])
    return any(run.reached_at <= until for run in arrivals)


def _broke_off(history: History, request: Request) -> bool:
    """Returns whether the last target that ran a request ended the exchange itself."""
    run = history.runs_of(request.id)[-1]
    return run.outcome in BROKEN_OFF or any(
        event.target == run.target and run.started_at <= event.at <= request.ended_at
        for event in history.find_events("SIGKILL", "target_kill")
    )


def _waits_behind_another(history: History, request: Request) -> bool:
    return any(
        other.connection == request.connection
        and (other.sent_at, other.position) < (request.sent_at, request.position)
        and other.ended_at > request.sent_at
        for other in history.requests
    )


def _is_beside(history: History, config: Event, request: Request) -> bool:
    start = config.at if config.sent_at is None else config.sent_at
    return start <= request.ended_at <= config.at + history.bounds.configMs / 1000 + 1


def _is_in_place_of(history: History, run: Run, answered_at: float) -> bool:
    """Returns whether a run was in progress, or had ended with a success, at an own answer."""
    if run.started_at > answered_at:
        return False
    if run.ended_at is None or run.ended_at > answered_at:
        return True
    if run.outcome == DROPPED:
        return run.ended_at > answered_at - history.bounds.lossSlackMs / 1000
    return 200 <= run.status < 300 and run.outcome not in BROKEN_OFF


def _is_lost_anytime(history: History, request: Request) -> bool:
    return (
        request.status == 0
        and bool(history.runs_of(request.id))
        and history.is_in_touch(request.vm, request.ended_at)
    )


def _cuts_more_beside_configs(history: History, vm: str) -> bool:
    """Returns whether a VM cuts requests over three times as often beside configurations."""
    cut: dict[bool, list[bool]] = {True: [], False: []}
    for request in history.requests:
        if request.vm == vm:
            beside = any(_is_beside(history, config, request) for config in history.configs)
            counts = was_cut(history, request) and not find_exception(history, request, None)
            cut[beside].append(counts)
    return _share(cut[True]) > 3 * _share(cut[False])


def _share(flags: Iterable[bool]) -> float:
    counted = list(flags)
    return sum(counted) / len(counted) if counted else 0.0


def _describe(history: History, request: Request, work: Event | None) -> Violation:
    cause = "no planned work"
    if work:
        cause = f"{request.ended_at - work.at:.3f} s after {work.event} at {work.at:.3f}"
    runs = "; ".join(run.describe() for run in history.arrivals_by_id.get(request.id, []))
    detail = f"{request.describe()}, {cause}; {runs or 'no run'}; see {request.vm}.log"
    sentence = work.event if work else ANYTIME
    if is_own_answer(request):
        sentence = OWN_ANSWER
    return Violation("LOST", request.ended_at, request.vm, detail, sentence)
