"""FAULT, KILL, MEMORY, and readiness after a stop: how processes start, run and end."""

from collections.abc import Iterable

from standins.soak.history import Event, History, Violation

#: Longest time from the start of a process to its readiness, in seconds.
MAX_START_S = 20.0

#: Share of the limit above which the largest memory of a process is a finding. The platform counts
#: bytes that have been received and not read, which the process's own memory does not hold.
MAX_MEMORY_SHARE = 0.8

#: Time after SIGTERM at which stopping VMs may no longer count as ready, in seconds.
MAX_READY_AFTER_STOP_S = 4.0


def find_faults(history: History) -> Iterable[Violation]:
    """FAULT, KILL, MEMORY: finds processes that end, start or stop badly, or use too much."""
    for event in history.find_events("exit"):
        yield from _check_exit(history, event)
    for event in history.find_events("start"):
        yield from _check_start(history, event)
    for event in history.find_events("SIGTERM"):
        yield from _check_stop(history, event)


def find_killed_stops(history: History) -> list[Event]:
    """Returns each SIGTERM after whose grace the VM was killed, beside a disturbance too."""
    killed = []
    for stop in history.find_events("SIGTERM"):
        kill = history.next_event(stop, "SIGKILL", "exit", "start")
        if kill and kill.event == "SIGKILL" and kill.at >= stop.at + history.bounds.graceS:
            killed.append(stop)
    return killed


def find_odd_ends(history: History) -> list[Event]:
    """Returns the ends of processes that were not killed and had another status than 0."""
    odd = []
    for end in history.find_events("exit"):
        signals = history.find_events("start", "SIGKILL", vm=end.vm)
        last = next((event for event in reversed(signals) if event.at <= end.at), None)
        if end.status != 0 and (last is None or last.event != "SIGKILL"):
            odd.append(end)
    return odd


def summarize_memory(history: History) -> str:
    """Returns a line with the largest memory of a VM and the kills above the limit."""
    ends = [end for end in history.find_events("exit") if end.peak_mb is not None]
    largest = max(ends, key=lambda end: end.peak_mb or 0.0, default=None)
    kills = len(history.find_events("memory_kill"))
    peak = f"{largest.peak_mb:.1f} MB at {largest.vm}" if largest else "not known"
    return f"largest memory {peak}, of {history.bounds.memoryMb:g} MB; {kills} killed above it"


def find_late_readiness(history: History) -> Iterable[Violation]:
    """Finds stopping VMs that count as ready too long, if they are over a quarter."""
    ready, late = [], []
    for stop in history.find_events("SIGTERM"):
        at = stop.at + MAX_READY_AFTER_STOP_S
        if history.ended_at < at or not _counts_as_ready(history, stop.vm, stop.at):
            continue
        if history.is_disturbed(stop.vm, stop.at - history.bounds.stable_s, at):
            continue
        ready.append(stop)
        end = history.next_event(stop, "exit", "SIGKILL")
        if (end is None or end.at > at) and _counts_as_ready(history, stop.vm, at):
            late.append(stop)
    if len(late) >= 2 and len(late) > len(ready) / 4:
        for stop in late:
            detail = (
                f"counts as ready {MAX_READY_AFTER_STOP_S:g} s after SIGTERM at {stop.at:.3f},"
                f" as {len(late)} of {len(ready)} stopped VMs; see {stop.vm}.log"
            )
            yield Violation("DRAIN", stop.at + MAX_READY_AFTER_STOP_S, stop.vm, detail)


def _check_exit(history: History, end: Event) -> Iterable[Violation]:
    bounds = history.bounds
    if end in history.own_ends(end.vm):
        yield _fault(end, f"ended by itself with status {end.status}")
    if end.peak_mb is not None and end.peak_mb > bounds.memoryMb:
        yield _fault(end, f"peak memory {end.peak_mb:.1f} MB of {bounds.memoryMb:g} MB")
    elif end.peak_mb is not None and end.peak_mb > MAX_MEMORY_SHARE * bounds.memoryMb:
        what = (
            f"peak memory {end.peak_mb:.1f} MB, over {MAX_MEMORY_SHARE:g} of {bounds.memoryMb:g} MB"
        )
        yield _violation("MEMORY", end, what)
    if end.descriptors is not None and end.descriptors > bounds.maxFds:
        yield _fault(end, f"{end.descriptors} descriptors of {bounds.maxFds}")


def _check_start(history: History, start: Event) -> Iterable[Violation]:
    due_at = start.at + MAX_START_S
    ready_times = [event.at for event in history.find_events("ready", vm=start.vm)]
    ready_times += [poll.at for poll in history.polls if poll.vm == start.vm and poll.status == 200]
    if any(start.at <= at <= due_at for at in ready_times) or history.ended_at < due_at:
        return
    end = history.next_event(start, "SIGTERM", "SIGKILL", "exit")
    if end and end.at <= due_at:
        return
    # A VM that knows no configuration yet answers 503, so that the store has to be there.
    if history.is_disturbed(start.vm, start.at, due_at) or history.is_store_disturbed(
        start.at - history.bounds.stable_s, due_at
    ):
        return
    yield _fault(start, f"not ready {MAX_START_S:g} s after its start")


def _check_stop(history: History, stop: Event) -> Iterable[Violation]:
    grace_ends_at = stop.at + history.bounds.graceS
    end = history.next_event(stop, "exit")
    kill = history.next_event(stop, "SIGKILL")
    if kill and kill.at < grace_ends_at and (end is None or end.at >= kill.at):
        return
    if end and end.at <= grace_ends_at:
        if end.status != 0:
            yield _fault(end, f"exit status {end.status} after SIGTERM at {stop.at:.3f}")
        return
    if history.ended_at <= grace_ends_at or history.is_disturbed(stop.vm, stop.at, grace_ends_at):
        return
    # The rule Fault does not count a stop that the platform ends by a kill; KILL is stricter.
    what = f"still running {history.bounds.graceS:g} s after SIGTERM"
    is_killed = kill is not None and (end is None or kill.at <= end.at)
    yield _violation("KILL", stop, f"killed: {what}" if is_killed else what)


def _counts_as_ready(history: History, vm: str, at: float) -> bool:
    """Returns whether at least one of the last two questions got a 200."""
    statuses = [poll.status for poll in history.polls if poll.vm == vm and poll.at <= at]
    return 200 in statuses[-2:]


def _fault(event: Event, what: str) -> Violation:
    return _violation("FAULT", event, what)


def _violation(rule: str, event: Event, what: str) -> Violation:
    return Violation(rule, event.at, event.vm, f"{what}, at {event.at:.3f}; see {event.vm}.log")
