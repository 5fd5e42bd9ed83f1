"""Answers that VMs gave by themselves: what the targets did meanwhile, and which row allows it."""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from standins.soak.history import DROPPED, Event, History, Request
from standins.soak.losses import find_exception, find_planned_work


class RunState(Enum):
    """What the targets did with a request when its VM answered by itself."""

    NOT_BEGUN = "not begun"
    IN_PROGRESS = "in progress"
    ENDED = "ended"


class AnswerRow(NamedTuple):
    """An own answer beside a run that is allowed.

    Attributes:
        statuses: Statuses that it may have.
        states: States of the run.
        exception: Beginning of the sentence of the rules that excuses it.
        is_idempotent_only: Whether the request must be one that may run more than once.
    """

    statuses: frozenset[int]
    states: frozenset[RunState]
    exception: str
    is_idempotent_only: bool = False

    def covers(self, answer: "OwnAnswer", exception: str) -> bool:
        """Returns whether an own answer that a sentence excuses is allowed."""
        return (
            answer.request.status in self.statuses
            and answer.state in self.states
            and exception.startswith(self.exception)
            and (answer.request.is_idempotent or not self.is_idempotent_only)
        )


class OwnAnswer(NamedTuple):
    """A failure 5xx that a VM answered by itself.

    Attributes:
        request: The request.
        state: What the targets did with it.
        stop: SIGTERM of the VM around which it was answered, if any.
    """

    request: Request
    state: RunState
    stop: Event | None

    def describe_time(self) -> str:
        """Returns the whole seconds after SIGTERM."""
        if self.stop is None:
            return "apart from a stop"
        return f"{int(self.request.ended_at - self.stop.at)} s"


_AT_WORK = frozenset({RunState.IN_PROGRESS})
_ENDED = frozenset({RunState.ENDED})
_BESIDE_A_RUN = _AT_WORK | _ENDED

#: Own answers beside a run that are allowed; docs/SOAK.md describes each.
ROWS = (
    AnswerRow(frozenset({502}), _ENDED, "the server broke off"),
    AnswerRow(frozenset({503}), _ENDED, "the server broke off", is_idempotent_only=True),
    AnswerRow(frozenset({504}), _BESIDE_A_RUN, "the time budget or the route's timeout"),
    AnswerRow(frozenset({502}), _BESIDE_A_RUN, "the server was still at work in the last sixth"),
    AnswerRow(frozenset({502, 504}), _BESIDE_A_RUN, "unplanned disturbance"),
)


def find_own_answers(history: History) -> list[OwnAnswer]:
    """Returns all failures 5xx without a seal, by the time of the request."""
    return [
        OwnAnswer(request, _find_state(history, request), _find_stop(history, request))
        for request in history.requests
        if request.outcome == "answered" and not request.seal and 500 <= request.status < 600
    ]


def find_answers_without_row(history: History) -> list[OwnAnswer]:
    """Returns the own answers beside a run that no row allows."""
    found = []
    for answer in find_own_answers(history):
        if answer.state == RunState.NOT_BEGUN:
            continue
        work = answer.stop or find_planned_work(history, answer.request)
        exception = find_exception(history, answer.request, work)
        if not any(row.covers(answer, exception) for row in ROWS):
            found.append(answer)
    return found


def summarize_own_answers(history: History) -> list[str]:
    """Returns lines with counts of own answers, and each one beside a run without a row."""
    counts = Counter(
        f"{answer.request.status}, {answer.describe_time()}, {answer.state.value}"
        for answer in find_own_answers(history)
    )
    lines = ["own answers by status, whole seconds after the VM's SIGTERM, and run"]
    lines += [f"  {count:7} {what}" for what, count in sorted(counts.items())]
    for answer in find_answers_without_row(history):
        runs = "; ".join(run.describe() for run in history.runs_of(answer.request.id))
        lines.append(
            f"own answer without a row: {answer.request.vm}: {answer.request.describe()},"
            f" {answer.describe_time()}, run {answer.state.value}: {runs}"
        )
    return lines


def _find_state(history: History, request: Request) -> RunState:
    """Returns the state of the runs at an answer; a run that the VM broke off was in progress."""
    state = RunState.NOT_BEGUN
    for run in history.runs_of(request.id):
        if run.started_at > request.ended_at:
            continue
        if run.ended_at is None or run.ended_at > request.ended_at or run.outcome == DROPPED:
            return RunState.IN_PROGRESS
        state = RunState.ENDED
    return state


def _find_stop(history: History, request: Request) -> Event | None:
    """Returns the last SIGTERM of the VM within 1 s after whose grace it answered."""
    last_s = history.bounds.graceS + 1
    stops = [
        event
        for event in history.find_events("SIGTERM", vm=request.vm)
        if event.at <= request.ended_at <= event.at + last_s
    ]
    return stops[-1] if stops else None
