"""Records of a soak: requests, runs at targets, events and readiness, with their times."""

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import cached_property
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

#: Outcome of a run whose response has no end; the run ends when that response begins.
ENDLESS = "endless"

#: Outcomes of runs in which the target itself ended the exchange without its whole response.
BROKEN_OFF = frozenset({"cut", "crashed", "killed", "reset", ENDLESS})

#: Outcome of a run that a target gave up because the VM closed the connection.
DROPPED = "dropped"

#: Outcome of an arrival that a target rejected as not run.
REJECTED = "rejected"

#: Shorter pauses stand for a busy processor, which excuses nothing.
MAX_BUSY_PAUSE_S = 0.5

#: Time after a disturbance in which a process that ends by itself does not count as running.
_OWN_END_SLACK_S = 1.0

_LINK_FAULTS = frozenset({"cut", "delay", "reset", "silence"})
_STORE_FAULTS = frozenset(
    {"store_away", "store_restart", "store_slow", "store_lost", "store_endless"}
)


class Request(NamedTuple):
    """One attempt of a caller; times in monotonic seconds."""

    id: str
    vm: str
    route: str
    method: str
    kind: str
    sent_at: float
    ended_at: float
    outcome: str
    address: str = ""
    connection: str | int = ""
    position: int = 0
    last_byte_at: float | None = None
    status: int = 0
    complete: bool = False
    seal: str | None = None
    reply_id: str | None = None
    body_ok: bool = True
    told_to_close: bool = False
    deadline_s: float | None = None
    timeout_s: float | None = None
    body_hash: str | None = None
    path: str = ""

    @property
    def budget_s(self) -> float:
        """Shorter of the deadline and the timeout of the route, in seconds."""
        return min(limit or float("inf") for limit in (self.deadline_s, self.timeout_s))

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind == "idempotent"

    def describe(self) -> str:
        """Returns what leads a reader to the request in the records."""
        last_byte = "none" if self.last_byte_at is None else f"{self.last_byte_at:.3f}"
        return (
            f"{self.method} {self.path or self.route} id={self.id} connection={self.connection}"
            f" sent={self.sent_at:.3f} last_byte={last_byte} ended={self.ended_at:.3f}"
            f" {self.outcome} status={self.status}"
        )


class Run(NamedTuple):
    """One arrival of a request at a target, which may wait for a slot before it runs.

    Times are in monotonic seconds.
    """

    id: str
    target: str
    service: str
    started_at: float
    failure_domain: str = ""
    method: str = ""
    path: str = ""
    body_bytes: int = 0
    body_hash: str | None = None
    arrived_at: float | None = None
    ended_at: float | None = None
    status: int = 0
    outcome: str = ""

    @property
    def reached_at(self) -> float:
        """Time at which the request reached the target."""
        return self.started_at if self.arrived_at is None else self.arrived_at

    @property
    def is_rejected(self) -> bool:
        """Whether the target promised that the request did not run."""
        return self.outcome == REJECTED or self.status == 421

    def describe(self) -> str:
        """Returns what leads a reader to the run in the records."""
        ended = "none" if self.ended_at is None else f"{self.ended_at:.3f}"
        return (
            f"run at {self.target} ({self.service}) id={self.id} started={self.started_at:.3f}"
            f" ended={ended} {self.outcome} status={self.status}"
        )


class Event(NamedTuple):
    """What the runner did or saw at a time in monotonic seconds."""

    at: float
    event: str
    vm: str = ""
    status: int | None = None
    expected: bool = True
    target: str = ""
    failure_domain: str = ""
    version: str | int = ""
    routes: Mapping[str, str | list[str]] = {}
    timeouts: Mapping[str, float] = {}
    sent_at: float | None = None
    until: float | None = None
    peak_mb: float | None = None
    descriptors: int | None = None


class Poll(NamedTuple):
    """Response to a question for readiness."""

    at: float
    vm: str
    status: int


class Bounds(NamedTuple):
    """Limits of a deployment under the names of its page."""

    graceS: float = 6.0  # noqa: N815
    lossSlackMs: float = 200.0  # noqa: N815
    configMs: float = 2500.0  # noqa: N815
    drainMs: float = 2500.0  # noqa: N815
    evacMs: float = 5000.0  # noqa: N815
    stableMs: float = 4000.0  # noqa: N815
    retryRatio: float = 0.2  # noqa: N815
    retrySlack: float = 62.0  # noqa: N815
    retryWindowS: float = 10.0  # noqa: N815
    memoryMb: float = 300.0  # noqa: N815
    maxFds: int = 4100  # noqa: N815

    @property
    def stable_s(self) -> float:
        """Seconds after which a disturbance is over."""
        return self.stableMs / 1000


class Violation(NamedTuple):
    """A broken rule with the VM concerned and the ids and times that show it.

    Attributes:
        rule: The rule.
        at: When it was broken, in monotonic seconds.
        vm: The VM concerned; empty if none is known.
        detail: Ids and times.
        sentence: Which sentence of a rule that has several; empty if it has one.
    """

    rule: str
    at: float
    vm: str
    detail: str
    sentence: str = ""


class Span(NamedTuple):
    """Time from a start to an end, in monotonic seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Returns whether any moment from start to end lies within the span."""
        return self.start <= end and start <= self.end


class History:
    """All records of a soak, by time."""

    def __init__(
        self,
        *,
        requests: Iterable[Request] = (),
        runs: Iterable[Run] = (),
        events: Iterable[Event] = (),
        polls: Iterable[Poll] = (),
        bounds: Bounds | None = None,
        meta: Mapping[str, Any] | None = None,
    ) -> None:
        """Sorts the records.

        Args:
            requests: Attempts of callers.
            runs: Arrivals at targets; the last record of an arrival replaces earlier ones.
            events: Faults, planned work and what processes did.
            polls: Responses to questions for readiness.
            bounds: Limits of the deployment.
            meta: Seed, deployment and commit.
        """
        self.requests = sorted(requests, key=lambda request: request.sent_at)
        latest = {(run.id, run.target, run.started_at): run for run in runs}
        self.arrivals = sorted(latest.values(), key=lambda run: run.started_at)
        self.events = sorted(events, key=lambda event: event.at)
        self.polls = sorted(polls, key=lambda poll: poll.at)
        self.bounds = bounds or Bounds()
        self.meta = dict(meta or {})
        self._spans: dict[str, list[Span]] = {}
        self._planned: dict[str, list[Event]] = {}

    @cached_property
    def ended_at(self) -> float:
        """Time of the last record."""
        times = [request.ended_at for request in self.requests]
        times += [run.ended_at or run.started_at for run in self.arrivals]
        times += [event.at for event in self.events] + [poll.at for poll in self.polls]
        return max(times, default=0.0)

    @cached_property
    def requests_by_id(self) -> dict[str, Request]:
        """Requests under their ids."""
        return {request.id: request for request in self.requests}

    @cached_property
    def arrivals_by_id(self) -> dict[str, list[Run]]:
        """Arrivals at targets, rejected ones too, under the ids of their requests."""
        arrivals: dict[str, list[Run]] = defaultdict(list)
        for run in self.arrivals:
            arrivals[run.id].append(run)
        return dict(arrivals)

    @cached_property
    def configs(self) -> list[Event]:
        """Confirmations of configurations."""
        return self.find_events("config")

    @cached_property
    def _events_by_vm(self) -> dict[str, list[Event]]:
        events: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            events[event.vm].append(event)
        return dict(events)

    @cached_property
    def _store_spans(self) -> list[Span]:
        return [
            Span(event.at, event.until or self._end_of(event, "store_back"))
            for event in self.find_events(*_STORE_FAULTS)
        ]

    def find_events(self, *names: str, vm: str | None = None) -> list[Event]:
        """Returns the events of these names, of all VMs or of one."""
        events = self.events if vm is None else self._events_by_vm.get(vm, [])
        return [event for event in events if event.event in names]

    def runs_of(self, request_id: str) -> list[Run]:
        """Returns the arrivals of a request that were not rejected."""
        return [run for run in self.arrivals_by_id.get(request_id, []) if not run.is_rejected]

    def configs_in_force(self, request: Request) -> list[Event]:
        """Returns the configurations by which a request may be handled, the oldest first."""
        due_at = request.sent_at - self.bounds.configMs / 1000
        older = [config for config in self.configs if config.at <= due_at]
        newer = [config for config in self.configs if due_at < config.at]
        return older[-1:] + [
            config
            for config in newer
            if (config.at if config.sent_at is None else config.sent_at) <= request.ended_at
        ]

    def budget_of(self, request: Request) -> float:
        """Returns the shortest time that a configuration in force allows, in seconds."""
        timeouts = [
            config.timeouts.get(request.route, float("inf"))
            for config in self.configs_in_force(request)
        ]
        return min([request.budget_s, *timeouts])

    def next_event(self, after: Event, *names: str) -> Event | None:
        """Returns the next event of these names at the VM of an event."""
        later = (event for event in self.find_events(*names, vm=after.vm) if event.at > after.at)
        return next(later, None)

    def own_ends(self, vm: str) -> list[Event]:
        """Returns the ends of a VM's processes that no stop or kill caused."""
        own, last = [], "start"
        for event in self.find_events("start", "SIGTERM", "SIGKILL", "exit", vm=vm):
            if event.event != "exit":
                last = event.event
            elif not event.expected and last == "start":
                own.append(event)
        return own

    def is_disturbed(self, vm: str, start: float, end: float) -> bool:
        """Returns whether a VM was killed, frozen or cut off at any moment of a time span."""
        if vm not in self._spans:
            spans = list(self._find_disturbances(vm))
            # An end by itself counts as running all the while, unless a disturbance is near.
            for own in self.own_ends(vm):
                if any(span.overlaps(own.at - _OWN_END_SLACK_S, own.at) for span in spans):
                    spans.append(Span(own.at, self._end_of(own, "start")))
            self._spans[vm] = spans
        return any(span.overlaps(start, end) for span in self._spans[vm])

    def is_store_disturbed(self, start: float, end: float) -> bool:
        """Returns whether the store was away or restarted at any moment of a time span."""
        return any(span.overlaps(start, end) for span in self._store_spans)

    def is_in_touch(self, vm: str, at: float) -> bool:
        """Returns whether VM and store were undisturbed and the VM ran for `stableMs`."""
        start = at - self.bounds.stable_s
        return not (
            self.is_disturbed(vm, start, at)
            or self.is_store_disturbed(start, at)
            or any(start <= event.at <= at for event in self._starts_and_stops(vm))
        )

    def _starts_and_stops(self, vm: str) -> list[Event]:
        """Returns the planned stops and the starts other than those after an end by itself."""
        if vm not in self._planned:
            restarts = [self.next_event(end, "start") for end in self.own_ends(vm)]
            events = self.find_events("start", "SIGTERM", vm=vm)
            self._planned[vm] = [event for event in events if event not in restarts]
        return self._planned[vm]

    def _find_disturbances(self, vm: str) -> Iterable[Span]:
        for event in self._events_by_vm.get(vm, []):
            if event.event == "SIGKILL" and not self._ends_a_stop(event):
                yield Span(event.at, self._end_of(event, "start"))
            elif event.event in {"freeze", "pause"}:
                end = event.until or self._end_of(event, "resume", "exit", "start")
                if event.event == "freeze" or end - event.at > MAX_BUSY_PAUSE_S:
                    yield Span(event.at, end)
        for event in self.find_events(*_LINK_FAULTS):
            if event.vm in {vm, ""} and not event.target:
                yield Span(event.at, event.until or event.at)

    def _ends_a_stop(self, kill: Event) -> bool:
        """Returns whether a kill belongs to a planned stop, after the grace period."""
        stopped_at = float("inf")
        for event in self.find_events("SIGTERM", "start", vm=kill.vm):
            if event.at > kill.at:
                break
            stopped_at = float("inf") if event.event == "start" else min(stopped_at, event.at)
        return kill.at >= stopped_at + self.bounds.graceS

    def _end_of(self, event: Event, *names: str) -> float:
        later = self.next_event(event, *names)
        return later.at if later else float("inf")


_Record = TypeVar("_Record", Request, Run, Event, Poll, Bounds)


def _make(kind: type[_Record], row: Mapping[str, Any]) -> _Record:
    return kind(**{name: row[name] for name in kind._fields if row.get(name) is not None})


def _read_rows(path: Path) -> Iterable[dict[str, Any]]:
    *lines, last = path.read_text().split("\n")
    for number, line in enumerate(lines, 1):
        try:
            yield json.loads(line)
        except ValueError as error:
            raise ValueError(f"{path.name}:{number}: not a record: {line[:80]!r}") from error
    if last.strip():
        # A process that was killed leaves its last line cut.
        try:
            yield json.loads(last)
        except ValueError:
            return


def load_history(folder: Path) -> History:
    """Reads the records of a soak.

    Args:
        folder: Folder with a file of JSON lines for each process.

    Raises:
        ValueError: A line other than a file's last is no record.
    """
    rows: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in sorted(Path(folder).glob("*.jsonl")):
        for row in _read_rows(path):
            rows[row.get("what", "")].append(row)
    meta = rows["meta"][-1] if rows["meta"] else {}
    return History(
        requests=[_make(Request, row) for row in rows["request"]],
        runs=[_make(Run, row) for row in rows["run"]],
        events=[_make(Event, row) for row in rows["event"]],
        polls=[_make(Poll, row) for row in rows["ready"]],
        bounds=_make(Bounds, meta.get("bounds", {})),
        meta={**meta, "folder": str(folder)},
    )
