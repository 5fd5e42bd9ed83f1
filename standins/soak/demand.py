"""What callers ask for and when: objects by popularity, and a rate that swings."""

import math
import random
from collections.abc import Iterable

from standins.soak.layout import Deployment, Place, RequestClass
from standins.soak.records import Fault

_OBJECTS = 200
_PERIOD_S = 36.0


def draw_path(kind: RequestClass, place: Place, rng: random.Random) -> str:
    """Returns the path of an object of a class.

    Classes that state their number of objects have that many for the callers of each failure
    domain; the others share one set.

    Args:
        kind: The class.
        place: Failure domain of the caller.
        rng: Source of the choice.
    """
    if "things" not in kind:
        return f"/{kind['name']}/{rng.randrange(_OBJECTS)}"
    skew = kind.get("skew", 0.0)
    weights = [(rank + 1) ** -skew for rank in range(kind["things"])]
    (number,) = rng.choices(range(kind["things"]), weights)
    return f"/{kind['name']}/{place['name']}-{number}"


def find_fault(faults: Iterable[Fault], kind: str, at_s: float) -> Fault | None:
    """Returns a planned fault of a kind that is in effect; the first of several.

    Args:
        faults: Planned faults.
        kind: Their kind.
        at_s: Seconds since the start of the load.
    """
    return next(
        (
            fault
            for fault in faults
            if fault["kind"] == kind and fault["at"] <= at_s < fault["at"] + fault["for_s"]
        ),
        None,
    )


def burst_factor(faults: Iterable[Fault], at_s: float) -> float:
    """Returns the factor of the rate at a time; above 1 during a burst."""
    burst = find_fault(faults, "burst", at_s)
    return burst["x"] if burst else 1.0


def peak_factor(deployment: Deployment) -> float:
    """Returns the highest rate of a failure domain in multiples of its mean."""
    return 1.0 + deployment.get("swing", 0.0)


def is_sent(deployment: Deployment, place: Place, at_s: float, rng: random.Random) -> bool:
    """Returns whether an arrival drawn at the peak rate belongs to the wave of its failure domain.

    Args:
        deployment: Swing and period of the wave.
        place: Failure domain of the caller, with the phase of its wave in periods.
        at_s: Seconds since the start of the load.
        rng: Source of the choice.
    """
    turns = at_s / deployment.get("period_s", _PERIOD_S) + place.get("phase", 0.0)
    factor = 1.0 + deployment.get("swing", 0.0) * math.sin(math.tau * turns)
    return rng.random() * peak_factor(deployment) < factor
