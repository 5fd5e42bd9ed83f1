"""Admission control: sends a request, or refuses it immediately with a retry delay.

Load pattern: demand of several times the capacity, from callers that disconnect or retry. Work that
ends after its objective is of little use and delays all requests queued behind it, so a request is
refused when its response is expected too late. Urgent requests may wait longer than others, so that
a burst of look-ups does not crowd out bookings. The retry delay of a refused caller covers the time
in which the excess queue drains, with a random factor of 1 to 2 so that callers do not all retry at
the same moment.

Under pressure (:mod:`carawaybank.routing.pressure`), the wait that a request may have also depends
on its tenant's share of the service, on the waits that more urgent requests accept, and on whether
its caller returns as told.
"""

import random
from typing import NamedTuple

from carawaybank.routing.estimates import Choice
from carawaybank.routing.pressure import NO_PRESSURE, Weight
from carawaybank.routing.tenants import RequestTerms

#: Longest expected time to the response, in multiples of the route's objective, at which a request
#: is still sent.
URGENT_WAIT_LIMIT_FACTOR = 1.3
ORDINARY_WAIT_LIMIT_FACTOR = 0.85
#: Fraction of the wait limit that a request may spend in a queue however long its work takes.
MIN_WAIT_FRACTION = 0.2
#: Fraction of the time until the deadline within which the response must be expected.
MAX_DEADLINE_FRACTION = 0.9
#: Shortest and longest delay in seconds after which a refused caller is asked to retry.
RETRY_AFTER_RANGE_S = (0.1, 5.0)


class Refusal(NamedTuple):
    """The decision not to send a request.

    Attributes:
        retry_after_s: Seconds after which the caller should retry.
        cause: What the decision followed from, see :class:`Cause`.
    """

    retry_after_s: float
    cause: str = ""


class Cause:
    """Causes of refusals, as logged and counted."""

    DEADLINE = "deadline"
    WAIT = "wait"
    OVER_SHARE = "over share"
    LESS_URGENT = "less urgent"


_PRESSURE_CAUSES = (Cause.OVER_SHARE, Cause.LESS_URGENT)


def wait_limit_s(terms: RequestTerms, *, objective_s: float, least_urgent_rank: int) -> float:
    """Returns the longest expected time to the response at which a request is still sent.

    Args:
        terms: The terms of the request.
        objective_s: Latency objective of its route in seconds.
        least_urgent_rank: Rank of the least urgent requests of the same service.
    """
    urgent = terms.priority_rank < least_urgent_rank
    return objective_s * (URGENT_WAIT_LIMIT_FACTOR if urgent else ORDINARY_WAIT_LIMIT_FACTOR)


def max_queueing_s(choice: Choice, *, elapsed_s: float, wait_limit_s: float) -> float:
    """Returns the longest time in a queue that lets a request meet its wait limit.

    Args:
        choice: The target with the earliest expected response.
        elapsed_s: Seconds since the request arrived.
        wait_limit_s: Longest time in seconds from arrival to the expected response.
    """
    work_s = choice.expected_s - choice.wait_s
    return max(wait_limit_s - elapsed_s - work_s, MIN_WAIT_FRACTION * wait_limit_s)


def check(
    *,
    choice: Choice,
    elapsed_s: float,
    wait_limit_s: float,
    remaining_s: float,
    rng: random.Random,
    weight: Weight = NO_PRESSURE,
) -> Refusal | None:
    """Returns a refusal if the response is expected too late, or None if the request may be sent.

    Args:
        choice: The target with the earliest expected response.
        elapsed_s: Seconds since the request arrived.
        wait_limit_s: Longest time in seconds from arrival to the expected response.
        remaining_s: Seconds until the request's deadline.
        rng: Random source of the retry delay.
        weight: How pressure changes the wait that the request may have.
    """
    wait_s = choice.wait_s + choice.crowded_s
    if choice.expected_s + choice.crowded_s > MAX_DEADLINE_FRACTION * remaining_s:
        return refuse(wait_s, rng=rng, cause=Cause.DEADLINE)
    limit_s = weight.factor * wait_limit_s
    own_s = max_queueing_s(choice, elapsed_s=elapsed_s, wait_limit_s=limit_s)
    allowed_s = min(own_s, weight.max_wait_s)
    if wait_s <= allowed_s:
        return None
    cause = Cause.WAIT
    if wait_s <= own_s:
        cause = Cause.LESS_URGENT
    elif weight.is_over_share:
        cause = Cause.OVER_SHARE
    return refuse(wait_s - allowed_s, rng=rng, cause=cause)


def refuse(excess_s: float, *, rng: random.Random, cause: str = "") -> Refusal:
    """Returns a refusal with a randomized retry delay.

    Args:
        excess_s: Seconds by which the queue is too long.
        rng: Random source of the retry delay.
        cause: What the decision followed from.
    """
    low, high = RETRY_AFTER_RANGE_S
    return Refusal(min(high, (low + excess_s) * rng.uniform(1.0, 2.0)), cause)


def describe(choice: Choice, refusal: Refusal) -> str:
    """Returns a refusal's times and cause for the caller and the log."""
    wait_s = choice.wait_s + choice.crowded_s
    expected_s = choice.expected_s + choice.crowded_s
    times = f"expected after {expected_s:.3f} s, of them {wait_s:.3f} s waiting"
    return f"{times} ({refusal.cause})" if refusal.cause in _PRESSURE_CAUSES else times
