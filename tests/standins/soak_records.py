"""Builders of small soak histories: one VM, one target, times in seconds."""

from standins.soak.checks import find_violations
from standins.soak.history import DROPPED, Event, History, Poll, Request, Run

CONFIG = Event(at=0.0, event="config", version="1", routes={"/a/": "ledger", "/b/": "archive"})


def make_request(**changes):
    """Returns a request that is answered with the target's whole response."""
    row = {
        "id": "r1",
        "vm": "vm1",
        "route": "/a/",
        "method": "POST",
        "kind": "non_idempotent",
        "connection": "c1",
        "sent_at": 100.0,
        "ended_at": 100.5,
        "outcome": "answered",
        "status": 200,
        "complete": True,
        "seal": "s",
        "deadline_s": 10.0,
        "timeout_s": 8.0,
        "body_hash": "h",
        **changes,
    }
    row.setdefault("last_byte_at", row["sent_at"] + 0.01)
    row.setdefault("reply_id", row["id"] if row["status"] else None)
    return Request(**row)


def make_cut(**changes):
    """Returns a request whose connection was reset without an answer."""
    cut = {"outcome": "reset", "status": 0, "complete": False, "seal": None}
    return make_request(**{**cut, **changes})


def make_run(**changes):
    """Returns the run of the request at its target."""
    row = {
        "id": "r1",
        "target": "t1",
        "service": "ledger",
        "failure_domain": "d1",
        "method": "POST",
        "path": "/a/x",
        "body_hash": "h",
        "started_at": 100.1,
        "ended_at": 100.4,
        "status": 200,
        "outcome": "answered",
        **changes,
    }
    return Run(**row)


def make_event(at, event, **fields):
    """Returns an event of the VM, or of what the fields name."""
    return Event(at=at, event=event, **{"vm": "vm1", **fields})


def make_polls(vm, statuses):
    """Returns polls for readiness from times and statuses."""
    return [Poll(at=at, vm=vm, status=status) for at, status in statuses.items()]


def make_history(*records, bounds=None):
    """Sorts records into a history, with a configuration long before them."""
    kinds = {Request: [], Run: [], Event: [CONFIG], Poll: []}
    for record in records:
        kinds[type(record)].append(record)
    requests, runs, events, polls = kinds.values()
    return History(requests=requests, runs=runs, events=events, polls=polls, bounds=bounds)


def make_dropped_run(**changes):
    """Returns a run whose VM closed the connection."""
    return make_run(**{"outcome": DROPPED, "status": 0, "ended_at": 100.5, **changes})


def stop(at=99.0, **fields):
    """Returns the SIGTERM of the VM."""
    return make_event(at, "SIGTERM", **fields)


def ended_stop(at):
    """Returns a SIGTERM of the VM and its end."""
    return [stop(at), make_event(at + 5, "exit", status=0)]


def rules_of(*records, bounds=None):
    """Returns the rules that the records show broken."""
    return [violation.rule for violation in find_violations(make_history(*records, bounds=bounds))]
