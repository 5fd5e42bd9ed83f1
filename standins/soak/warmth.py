"""How long work takes at a target: shorter on recently handled objects, longer after a start."""

import math
import random
from collections import OrderedDict

from standins.soak.layout import RequestClass, Service

_COLD_S = 3.0
_COLD_FACTOR = 2.0
_SPREAD = 0.15
_MAX_FACTOR = 3.0


class Warmth:
    """The objects that a target handled last, and how long it remains slow after its start."""

    def __init__(self, *, service: Service, started_at: float) -> None:
        """Creates the state of a target that has handled no object.

        Args:
            service: Number of objects kept, duration and factor of the cold time.
            started_at: Monotonic time of the target's start.
        """
        self._keeps = service.get("warm_keeps", 0)
        self._cold_until = started_at + service.get("cold_s", _COLD_S)
        self._cold_factor = service.get("cold_x", _COLD_FACTOR)
        self._objects: OrderedDict[str, None] = OrderedDict()

    def cold_left_s(self, now: float) -> float:
        """Returns the seconds for which the target remains slow after its start."""
        return max(0.0, self._cold_until - now)

    def is_warm(self, object_key: str) -> bool:
        """Returns whether an object is among those handled last."""
        return object_key in self._objects

    def add(self, object_key: str) -> None:
        """Notes that an object has been handled; the least recent one beyond the limit leaves."""
        self._objects[object_key] = None
        self._objects.move_to_end(object_key)
        if len(self._objects) > self._keeps:
            self._objects.popitem(last=False)

    def draw_work_s(
        self, kind: RequestClass, object_key: str, *, rng: random.Random, now: float
    ) -> float:
        """Returns the duration of the work on an object, in seconds.

        Args:
            kind: Class with the mean duration, its spread, its maximum and the gain of warm work.
            object_key: The object.
            rng: Source of the spread.
            now: Monotonic time at which the work begins.
        """
        spread = kind.get("work_spread", _SPREAD)
        # The mean of this log-normal factor is 1.
        drawn_ms = kind["work_ms"] * math.exp(rng.gauss(-spread * spread / 2, spread))
        work_ms = min(drawn_ms, kind.get("work_max_ms", kind["work_ms"] * _MAX_FACTOR))
        if self.is_warm(object_key):
            work_ms *= 1.0 - kind.get("warm_gain", 0.0)
        if self.cold_left_s(now) > 0.0:
            work_ms *= self._cold_factor
        return work_ms / 1000
