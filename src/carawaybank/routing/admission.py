"""Whether a request is sent, or refused at once with the time to come back.

Load pattern: demand of several times the capacity, from callers that leave or repeat. Work that
ends after its objective helps little and delays all behind it, so a request is refused when its
answer is expected too late. Urgent requests may wait for longer than others, so that a burst of
look-ups does not crowd out bookings. A refused caller is told to come back when the queue ahead of
it will have drained, spread over that time again so that they do not return together.
"""

import random
from typing import NamedTuple

from carawaybank.routing.catalogue import Route
from carawaybank.routing.placement import Choice

#: Expected time in multiples of the objective up to which requests are sent, by urgency.
URGENT_PATIENCE = 1.3
ORDINARY_PATIENCE = 0.85
#: Wait in multiples of the patience that is accepted however long the work itself takes.
LEAST_WAIT = 0.2
#: Part of the time left that the expected answer may take at most.
DEADLINE_PART = 0.9
#: Bounds in seconds of the time after which a refused caller is asked to come back.
RETRY_AFTER_RANGE_S = (0.1, 5.0)


class Refusal(NamedTuple):
    """A request is not sent.

    Attributes:
        retry_after_s: Seconds after which to come back.
    """

    retry_after_s: float


def patience_s(route: Route, *, least_urgent: int) -> float:
    """Returns the longest expected time at which a request of a route is sent.

    Args:
        route: The route.
        least_urgent: Rank of the least urgent route of the same service.
    """
    urgent = route.rank < least_urgent
    return route.objective_s * (URGENT_PATIENCE if urgent else ORDINARY_PATIENCE)


def judge(
    *,
    choice: Choice,
    elapsed_s: float,
    patience_s: float,
    left_s: float,
    rng: random.Random,
) -> Refusal | None:
    """Returns a refusal if the answer is expected too late.

    Args:
        choice: The target with the earliest answer.
        elapsed_s: Seconds since the request arrived.
        patience_s: Longest time from arrival to the expected answer.
        left_s: Seconds until the request's deadline.
        rng: Source of the jitter.
    """
    if choice.expected_s > DEADLINE_PART * left_s:
        return refuse(choice.wait_s, rng=rng)
    work_s = choice.expected_s - choice.wait_s
    allowed_s = max(patience_s - elapsed_s - work_s, LEAST_WAIT * patience_s)
    if choice.wait_s <= allowed_s:
        return None
    return refuse(choice.wait_s - allowed_s, rng=rng)


def refuse(excess_s: float, *, rng: random.Random) -> Refusal:
    """Returns a refusal for a queue that is too long by some seconds."""
    low, high = RETRY_AFTER_RANGE_S
    return Refusal(min(high, (low + excess_s) * rng.uniform(1.0, 2.0)))
