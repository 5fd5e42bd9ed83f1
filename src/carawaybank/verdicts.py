"""Verdicts: what is known about whether a request ran.

Every request ends in exactly one verdict. The three types are the only outcomes that are passed
between modules and processes:

* :class:`NotRun`: no target executed any part of the request. Retrying it is safe.
* :class:`Answered`: the complete response to this request.
* :class:`MayHaveRun`: any other outcome. Only idempotent requests may be retried safely.

Usage::

    >>> verdict = NotRun(Reason.NO_CAPACITY, retry_after_s=0.5)
    >>> may_have_run(verdict)
    False
    >>> may_have_run(MayHaveRun(Reason.CONNECTION_LOST))
    True
"""

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Why a request did not run, or why its outcome is unknown."""

    NO_CAPACITY = "no-capacity"
    OVER_FAIR_SHARE = "over-fair-share"
    OVER_CAP = "over-cap"
    OVER_ALLOTMENT = "over-allotment"
    TARGET_SHED = "target-shed"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_REFUSED = "connection-refused"
    DEADLINE_PASSED = "deadline-passed"
    NOT_OWNER = "not-owner"
    UNKNOWN_SERVICE = "unknown-service"
    UNBOUND_REQUEST_ID = "unbound-request-id"
    MEMORY_FULL = "deduplication-memory-full"
    NO_TICKET = "no-ticket-in-force"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    BAD_REQUEST = "bad-request"
    TICKET_REFUSED = "ticket-refused"
    TICKET_RACE_LOST = "ticket-race-lost"
    PLATFORM_UNREACHABLE = "platform-unreachable"
    PLATFORM_UNKNOWN = "platform-outcome-unknown"
    CONNECTION_LOST = "connection-lost"
    PATH_LOST = "path-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_TOO_LARGE = "answer-too-large"
    UNPROVEN_REFUSAL = "unproven-refusal"
    ANSWER_OF_ANOTHER_REQUEST = "answer-of-another-request"
    TIMEOUT = "timeout"
    INCARNATION_GONE = "entry-vm-incarnation-gone"
    REQUEST_ID_EXPIRED = "request-id-expired"
    STILL_RUNNING = "still-running"
    TARGET_CRASHED = "target-crashed"
    UNKNOWN_KEY = "unknown-key"
    RESPONSE_MEMORY_FULL = "response-memory-full"
    NO_REGION = "no-region-in-common"
    CONFIGURATION_UNPROVEN = "configuration-unproven"


#: Reasons for which no connection to the peer was established.
UNREACHED_REASONS = frozenset({Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED})


class NotRun(NamedTuple):
    """No target executed any part of the request.

    Attributes:
        reason: Why it did not run.
        retry_after_s: Seconds to wait before the request is sent again.
        detail: A sentence for people.
    """

    reason: Reason
    retry_after_s: float = 1.0
    detail: str = ""


class MayHaveRun(NamedTuple):
    """The request may have run, wholly, partly or not at all.

    Attributes:
        reason: Why the outcome is unknown.
        retry_after_s: Seconds to wait before the outcome is looked up again.
        detail: A sentence for people.
    """

    reason: Reason
    retry_after_s: float = 1.0
    detail: str = ""


class Answered(NamedTuple):
    """The complete response to this request.

    Attributes:
        status: HTTP status of the response.
        headers: End-to-end headers of the response.
        body: Complete body.
        target: Name of the target that answered.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    target: str = ""


Verdict = NotRun | Answered | MayHaveRun


def may_have_run(verdict: Verdict) -> bool:
    """Returns whether a target may have executed the request.

    >>> may_have_run(Answered(200))
    True
    """
    return not isinstance(verdict, NotRun)
