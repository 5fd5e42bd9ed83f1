"""Checks of a soak: which of the users' rules its records show broken."""

from collections import Counter
from collections.abc import Iterable

from standins.soak.answers import summarize_own_answers
from standins.soak.history import BROKEN_OFF, History, Violation, load_history
from standins.soak.lifecycles import find_faults, find_late_readiness, summarize_memory
from standins.soak.losses import find_excused_cuts, find_losses
from standins.soak.steering import find_excess_retries, find_late_arrivals, find_stale_configs
from standins.soak.unanswered import summarize_unanswered

__all__ = ["History", "Violation", "find_violations", "group_losses", "load_history", "summarize"]

#: Name of the losses that do not lie within a second of the grace of a stop.
APART = "apart from a stop"

#: Statuses that promise that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def find_violations(history: History) -> list[Violation]:
    """Returns all violations of a soak by time."""
    checks = (
        find_losses,
        find_repeated_runs,
        find_untrue_refusals,
        find_unasked_runs,
        find_mixed_answers,
        find_faults,
        find_late_readiness,
        find_late_arrivals,
        find_stale_configs,
        find_excess_retries,
    )
    violations = [violation for check in checks for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.at)


def find_repeated_runs(history: History) -> Iterable[Violation]:
    """TWICE: finds requests that aren't idempotent and ran more than once."""
    for request in history.requests:
        runs = history.runs_of(request.id)
        if len(runs) > 1 and not request.is_idempotent:
            what = "; ".join(run.describe() for run in runs)
            yield Violation(
                "TWICE", runs[1].started_at, request.vm, f"{request.describe()}: {what}"
            )


def find_untrue_refusals(history: History) -> Iterable[Violation]:
    """REFUSED: finds requests that aren't idempotent, were refused as not run, and ran."""
    for request in history.requests:
        if request.status not in _NOT_RUN_STATUSES or request.is_idempotent:
            continue
        for run in history.runs_of(request.id)[:1]:
            detail = f"{request.describe()}: {run.describe()}"
            yield Violation("REFUSED", run.started_at, request.vm, detail)


def find_unasked_runs(history: History) -> Iterable[Violation]:
    """UNASKED: finds runs that no caller sent, or with method, path or body changed."""
    for run in history.arrivals:
        if run.is_rejected:
            continue
        request = history.requests_by_id.get(run.id)
        if request is None:
            yield Violation("UNASKED", run.started_at, "", f"id never sent: {run.describe()}")
            continue
        path_kept = run.path == request.path if request.path else run.path.startswith(request.route)
        changed = [
            name
            for name, kept in (
                ("method", run.method == request.method),
                ("path", path_kept),
                ("body", _is_body_kept(request.body_hash, run.body_hash)),
            )
            if not kept
        ]
        if changed:
            detail = f"{' and '.join(changed)} changed: {request.describe()}: {run.describe()}"
            yield Violation("UNASKED", run.started_at, request.vm, detail)


def find_mixed_answers(history: History) -> Iterable[Violation]:
    """MIXED: finds answers that are not the target's whole answer to the caller's request."""
    for event in history.find_events("surplus"):
        detail = f"bytes on a connection with no request waiting; see {event.vm}.log"
        yield Violation("MIXED", event.at, event.vm, detail)
    for request in history.requests:
        runs = history.arrivals_by_id.get(request.id, [])
        statuses = {run.status for run in runs}
        all_ended = all(run.ended_at is not None for run in runs)
        faults = []
        if request.outcome == "garbled" and not any(run.outcome in BROKEN_OFF for run in runs):
            faults.append("bytes that are no response")
        if 200 <= request.status < 300 and request.complete and not request.seal:
            faults.append("success without a seal")
        if request.reply_id and request.reply_id != request.id:
            faults.append(f"answer to {request.reply_id}")
        if request.complete and request.seal and not request.body_ok:
            faults.append("body is not the target's")
        if request.seal and runs and all_ended and request.status not in statuses:
            faults.append(f"targets answered {sorted(statuses)}")
        if faults:
            detail = f"{', '.join(faults)}: {request.describe()}; see {request.vm}.log"
            yield Violation("MIXED", request.ended_at, request.vm, detail)


def summarize(history: History) -> str:
    """Returns counts by outcome, losses by time after SIGTERM, and what each violation shows."""
    violations = find_violations(history)
    names = ("deployment", "seed", "commit", "folder")
    lines = [", ".join(f"{name} {history.meta[name]}" for name in names if name in history.meta)]
    outcomes = Counter(
        f"{request.outcome} {request.status or ''}".strip() for request in history.requests
    )
    lines.append(f"requests {len(history.requests)}, arrivals {len(history.arrivals)}")
    lines += [f"  {count:7} {outcome}" for outcome, count in sorted(outcomes.items())]
    lines.append("losses by whole seconds after the VM's SIGTERM")
    losses = group_losses(history, violations)
    lines += [f"  {count:7} {after}" for after, count in sorted(losses.items())]
    lines += summarize_unanswered(history)
    lines += summarize_own_answers(history)
    lines.append(summarize_memory(history))
    excused = find_excused_cuts(history)
    lines.append("requests cut by a VM that are not counted")
    lines += [
        f"  {count:7} {reason}"
        for reason, count in sorted(Counter(cut.reason for cut in excused).items())
    ]
    lines.append("violations by rule")
    rules = Counter(violation.rule for violation in violations)
    lines += [f"  {count:7} {rule}" for rule, count in sorted(rules.items())]
    lines.append("FAULT by reading of a stop that outlasts the grace")
    lines.append(f"  {rules['FAULT']:7} if it is no FAULT")
    lines.append(f"  {rules['FAULT'] + rules['KILL']:7} if it is one")
    lines += [
        f"{violation.rule} {violation.at:.3f} {violation.vm or '-'}: {violation.detail}"
        for violation in violations
    ]
    lines += [f"not counted: {cut.reason}: {cut.detail}" for cut in excused]
    return "\n".join(lines)


def group_losses(history: History, violations: Iterable[Violation]) -> Counter[str]:
    """Returns the number of losses by whole seconds after the VM's SIGTERM."""
    grace_s = history.bounds.graceS
    counts: Counter[str] = Counter()
    for violation in violations:
        if violation.rule == "LOST":
            stops = history.find_events("SIGTERM", vm=violation.vm)
            ages = [violation.at - stop.at for stop in stops if stop.at <= violation.at]
            near = ages and ages[-1] <= grace_s + 1
            counts[f"{int(ages[-1])} s" if near else APART] += 1
    return counts


def _is_body_kept(sent: str | None, received: str | None) -> bool:
    """Returns whether a body arrived as sent; a target that did not read it whole can't tell."""
    return sent is None or received is None or sent == received
