"""What an entry VM knows of the targets: what they announced and how they answered."""

import math
from collections import OrderedDict
from typing import NamedTuple

#: Objects that a target is taken to remember; fewer than any site's targets keep.
REMEMBERED_OBJECTS = 24
#: Time in which a report of other callers' requests loses half of its weight, in multiples of the
#: work on a request: by then most of those requests are done (tests/routing/test_replay.py).
REPORT_HALF_LIFE = 2.0
SHORTEST_WORK_S = 0.001
#: Weight of the newest sample in the moving averages of a target.
SAMPLE_WEIGHT = 0.15
#: Weight of the newest report in the average load of a target.
LOAD_SAMPLE_WEIGHT = 0.2
#: Bounds of a target's slowness, so that one sample cannot rule it out for good.
SLOWNESS_RANGE = (0.6, 20.0)
#: First and longest pause in seconds before a failed target is checked again.
CHECK_PAUSES_S = (0.4, 3.0)


class TargetEntry(NamedTuple):
    """What a target announces of itself.

    Attributes:
        target_id: Its id.
        service: Service that it runs.
        address: ``IP:PORT``.
        failure_domain: Where it stands.
        region: Region of the failure domain.
        slots: Requests that it runs at a time.
        draining: Whether it is leaving.
        cold_left_s: Seconds for which it stays cold.
        incarnation: Start of the process; a higher one replaces a lower one.
        sequence: Number of the announcement within the incarnation.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    draining: bool = False
    cold_left_s: float = 0.0
    incarnation: int = 0
    sequence: int = 0


class LoadReport(NamedTuple):
    """What a target said of its load in an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Whether a further request would wait."""
        return self.running >= self.slots

    @property
    def queued_works(self) -> float:
        """Works that a further request would wait for, if it is full."""
        return (self.waiting + 1) / max(1, self.slots)


class Target:
    """A target as this entry VM sees it."""

    def __init__(self, *, entry: TargetEntry, now: float, is_newcomer: bool = False) -> None:
        """Takes the first announcement.

        Args:
            entry: The announcement.
            now: Monotonic seconds.
            is_newcomer: Whether it joined while requests were served.
        """
        self.is_newcomer = is_newcomer
        self.entry = entry
        self.in_flight = 0
        self.slowness = 1.0
        self.failure_share = 0.0
        #: Requests for each slot, averaged over reports of the last seconds.
        self.usual_load = 0.0
        self.cold_until = 0.0
        self._paused_until = 0.0
        self.down_since: float | None = None
        self.next_check = 0.0
        self._check_pause_s = CHECK_PAUSES_S[0]
        self._others = 0.0
        self._others_at = now
        self._is_reported = False
        self._warm: OrderedDict[str, None] = OrderedDict()
        self.update(entry, now=now)

    @property
    def is_down(self) -> bool:
        """Whether it failed and has not passed a health check since."""
        return self.down_since is not None

    def update(self, entry: TargetEntry, *, now: float) -> bool:
        """Takes an announcement; returns whether it was news."""
        known = (self.entry.incarnation, self.entry.sequence)
        if (entry.incarnation, entry.sequence) < known:
            return False
        if entry.incarnation > self.entry.incarnation:
            self._forget(now)
        elif self.entry.draining:
            entry = entry._replace(draining=True)
        self.entry = entry
        if entry.cold_left_s > 0:
            self.set_cold(entry.cold_left_s, now=now)
        return True

    def set_cold(self, left_s: float, *, now: float) -> None:
        """Records that the target is cold, and that it has forgotten all objects."""
        if now >= self.cold_until:
            self._warm.clear()
        self.cold_until = max(self.cold_until, now + left_s)

    def is_cold(self, *, now: float) -> bool:
        """Returns whether the target is cold."""
        return now < self.cold_until

    def pause(self, seconds: float, *, now: float) -> None:
        """Records that it wants nothing from this entry VM for some time."""
        self._paused_until = max(self._paused_until, now + seconds)

    def paused_s(self, *, now: float) -> float:
        """Returns the seconds for which it still wants nothing from this entry VM."""
        return max(0.0, self._paused_until - now)

    def busy(self, *, now: float, work_s: float) -> float:
        """Returns the requests of all callers that it probably has, running or waiting.

        Args:
            now: Monotonic seconds.
            work_s: Seconds that it works on a request.
        """
        age = (now - self._others_at) / max(SHORTEST_WORK_S, work_s)
        return self.in_flight + self._others * math.exp2(-age / REPORT_HALF_LIFE)

    def is_warm(self, object_key: str) -> bool:
        """Returns whether this entry VM sent it a request on the object lately."""
        return object_key in self._warm

    def note_run(self, object_key: str) -> None:
        """Records that it ran a request on an object."""
        self._warm[object_key] = None
        self._warm.move_to_end(object_key)
        if len(self._warm) > REMEMBERED_OBJECTS:
            self._warm.popitem(last=False)

    def note_load(self, report: LoadReport, *, now: float) -> None:
        """Takes a load report that came with an answer.

        The report counts the answered request no longer; neither does ``in_flight``.
        """
        requests = report.running + report.waiting
        sample = requests / max(1, report.slots)
        # The first report counts whole: a VM that just started would take full targets for idle.
        weight = LOAD_SAMPLE_WEIGHT if self._is_reported else 1.0
        self._is_reported = True
        self.usual_load += weight * (sample - self.usual_load)
        self._others = max(0.0, requests - self.in_flight)
        self._others_at = now

    def note_pace(self, ratio: float) -> None:
        """Takes how much longer a request took than expected."""
        low, high = SLOWNESS_RANGE
        sample = min(high, max(low, ratio))
        self.slowness += SAMPLE_WEIGHT * (sample - self.slowness)

    def note_result(self, *, failed: bool) -> None:
        """Takes whether a request failed at the target."""
        self.failure_share += SAMPLE_WEIGHT * (failed - self.failure_share)

    def fail(self, *, now: float) -> None:
        """Takes the target out of use until a health check passes."""
        if self.down_since is None:
            self.down_since = now
            self._check_pause_s = CHECK_PAUSES_S[0]
        self.next_check = now + self._check_pause_s
        self._check_pause_s = min(CHECK_PAUSES_S[1], 1.5 * self._check_pause_s)

    def recover(self) -> None:
        """Returns the target to use."""
        self.down_since = None
        self._check_pause_s = CHECK_PAUSES_S[0]

    def _forget(self, now: float) -> None:
        self._warm.clear()
        self._others, self._others_at = 0.0, now
        self._is_reported = False
        self.slowness, self.failure_share, self.usual_load = 1.0, 0.0, 0.0
        self.cold_until = self._paused_until = 0.0
        self.recover()
