"""Messages into the router and actions out of it; times are monotonic seconds."""

from typing import NamedTuple

from carawaybank.routing.fleet import LoadReport
from carawaybank.verdicts import Verdict


class Request(NamedTuple):
    """What routing needs to know of a caller's request.

    Attributes:
        key: Number by which the entry VM knows the request.
        request_id: The caller's id of this attempt.
        host: Host that it asks for.
        path: Path with query.
        object_key: Object that it concerns; empty if unknown.
        fingerprint: Digest that is the same when the caller sends the request again.
        budget_s: Seconds that the caller waits; None if it did not say.
    """

    key: int
    request_id: str
    host: str
    path: str
    object_key: str
    fingerprint: str
    budget_s: float | None


class AttemptResult(NamedTuple):
    """How sending a request to a target ended.

    Attributes:
        verdict: What is known of it.
        latency_s: Seconds from sending to the end.
        load: The target's report of its load, if any.
        leaving: Whether the target said that it is leaving.
        pause_s: Seconds for which the target wants nothing from this entry VM.
        other_target: Whether the address belongs to another target now.
        lost_target: Whether the connection broke in a way that a crash would explain.
    """

    verdict: Verdict
    latency_s: float
    load: LoadReport | None = None
    leaving: bool = False
    pause_s: float = 0.0
    other_target: bool = False
    lost_target: bool = False


class Send(NamedTuple):
    """Send the request to a target.

    Attributes:
        key: The request.
        target_id: The target.
        address: Its ``IP:PORT``.
        failure_domain: Where it stands.
        deadline: Time at which the attempt ends.
        repeatable: Whether the request may run again.
        expected_s: Seconds after which the answer is expected.
        wait_s: Seconds of them that the request waits at the target.
        warmth: Probability that the target knows the request's object.
    """

    key: int
    target_id: str
    address: str
    failure_domain: str
    deadline: float
    repeatable: bool
    expected_s: float = 0.0
    wait_s: float = 0.0
    warmth: float = 0.0


class Finish(NamedTuple):
    """Answer the caller.

    Attributes:
        key: The request.
        verdict: The outcome.
        status: HTTP status.
        service: Service that it asked for; empty if it has no route.
        target_id: Target whose answer it is.
        objective_s: Seconds within which an answer is of full use; 0 if it has no route.
        attempts: Targets to which it was sent.
    """

    key: int
    verdict: Verdict
    status: int
    service: str = ""
    target_id: str = ""
    objective_s: float = 0.0
    attempts: int = 0


Action = Send | Finish
