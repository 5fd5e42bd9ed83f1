"""Messages to the router and the actions that it returns; times are in monotonic seconds."""

from typing import NamedTuple

from carawaybank.routing.helpers import Offer
from carawaybank.routing.returns import Return
from carawaybank.routing.target import LoadReport
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.verdicts import Verdict


class Request(NamedTuple):
    """The properties of a caller's request that routing depends on.

    Attributes:
        key: Number that identifies the request within the entry VM.
        request_id: The caller's id of this attempt.
        host: Host of the request.
        path: Path with query.
        object_key: Object that the request concerns; empty if unknown.
        fingerprint: Digest that stays the same when the caller retries the request.
        budget_s: Seconds that the caller waits; None if the request does not state it.
        credential: Digest of the API key in the request; empty if it has no usable one.
    """

    key: int
    request_id: str
    host: str
    path: str
    object_key: str
    fingerprint: str
    budget_s: float | None
    credential: str = ""


class AttemptResult(NamedTuple):
    """The result of sending a request to a target.

    Attributes:
        verdict: Whether the request ran, and its status or the reason of the failure.
        latency_s: Seconds from sending to the end of the attempt.
        load: Load report of the target, if any.
        is_draining: Whether the target announced its departure.
        pause_s: Seconds for which the target accepts no requests from this entry VM.
        address_reused: Whether the address now belongs to another target.
        may_have_crashed: Whether the connection broke in a way that a crash would explain.
        limit: What the response says of the target's limit; None without a valid response.
    """

    verdict: Verdict
    latency_s: float
    load: LoadReport | None = None
    is_draining: bool = False
    pause_s: float = 0.0
    address_reused: bool = False
    may_have_crashed: bool = False
    limit: LimitStatement | None = None


class Send(NamedTuple):
    """Action: send the request to a target.

    Attributes:
        key: Key of the request.
        target_id: Id of the target.
        address: ``IP:PORT`` of the target.
        failure_domain: Failure domain of the target.
        deadline: Time at which the attempt times out.
        idempotent: Whether the request may run more than once.
        expected_s: Seconds after which the response is expected.
        wait_s: Seconds of ``expected_s`` for which the request is queued at the target.
        warmth: Probability that the request's object is warm at the target.
        tenant: Name of the request's tenant; empty if it has none.
    """

    key: int
    target_id: str
    address: str
    failure_domain: str
    deadline: float
    idempotent: bool
    expected_s: float = 0.0
    wait_s: float = 0.0
    warmth: float = 0.0
    tenant: str = ""


class Relay(NamedTuple):
    """Action: have a sibling send the request, because this VM has lost its paths to targets.

    Attributes:
        key: Key of the request.
        offer: The sibling and the address to which the request is passed on.
        deadline: Time at which the attempt times out.
        idempotent: Whether the request may run more than once.
        terms: What the sibling must observe.
    """

    key: int
    offer: Offer
    deadline: float
    idempotent: bool
    terms: "RelayTerms"


class RelayTerms(NamedTuple):
    """What the sibling that sends a request for another VM must observe.

    Attributes:
        service: Service that the request was assigned to.
        tried_targets: Targets that must not get the request again.
        configuration_version: Version of the configuration by which the request was routed; an
            older one must not be used for it.
        tenant: Name of the tenant whose key the request had; empty if it has no tenant. The
            sibling applies the terms of the tenant and does not get the key.
    """

    service: str
    tried_targets: tuple[str, ...]
    configuration_version: int
    tenant: str = ""


class RelayResult(NamedTuple):
    """The result of an attempt that a sibling made for this VM.

    Attributes:
        verdict: Whether the request ran, and its status or the reason of the failure.
        target_id: Target that the sibling sent the request to; empty if none, or unknown.
    """

    verdict: Verdict
    target_id: str = ""


class Finish(NamedTuple):
    """Action: respond to the caller.

    Attributes:
        key: Key of the request.
        verdict: Outcome of the request.
        status: HTTP status.
        service: Service of the request; empty if it has no route.
        target_id: Last target that the request was sent to; empty if none.
        objective_s: Latency objective of the route in seconds; 0 if the request has no route.
        attempts: Number of targets that the request was sent to.
        limited_by: The first target that did not get the request because of the limit that it
            named, with the limit; empty if there was none.
        relayed_by: Siblings that the request was passed on to, in order.
        tenant: Name of the request's tenant; empty if it has none or it is not known.
        refused_for: Why admission control refused the request; empty if it did not.
        returned: Whether its caller returned after a refusal at this VM.
    """

    key: int
    verdict: Verdict
    status: int
    service: str = ""
    target_id: str = ""
    objective_s: float = 0.0
    attempts: int = 0
    limited_by: str = ""
    relayed_by: tuple[str, ...] = ()
    tenant: str = ""
    refused_for: str = ""
    returned: Return = Return.NEW


Action = Send | Relay | Finish
