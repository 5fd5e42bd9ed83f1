"""State of a target as seen by one entry VM, from announcements and from its responses."""

import math
from collections import OrderedDict
from typing import NamedTuple

from carawaybank.routing.machines import MachineReports

#: Number of recently handled objects that a target is assumed to keep warm; fewer than the targets
#: of any deployment keep.
MAX_WARM_OBJECTS = 24
#: Half-life of a load report, in multiples of the work on a request: by then most of the reported
#: requests have finished (tests/routing/test_simulation.py).
REPORT_HALF_LIFE_FACTOR = 2.0
MIN_WORK_S = 0.001
#: Weight of the newest sample in the moving averages of a target.
SAMPLE_WEIGHT = 0.15
#: Weight of the newest report in the average load of a target.
LOAD_SAMPLE_WEIGHT = 0.2
#: Bounds of a slowness sample, so that a single one cannot exclude a target permanently.
SLOWNESS_RANGE = (0.6, 20.0)
#: First and longest interval in seconds between health checks of a failed target.
CHECK_INTERVAL_RANGE_S = (0.4, 3.0)


class TargetEntry(NamedTuple):
    """The announcement of a target.

    Attributes:
        target_id: Id of the target.
        service: Service that the target runs.
        address: ``IP:PORT``.
        failure_domain: Failure domain of the target.
        region: Region of the failure domain.
        slots: Number of requests that the target runs concurrently.
        draining: Whether the target announced its departure.
        cold_left_s: Seconds for which the target remains cold.
        incarnation: Identifies one start of the process; a higher one replaces a lower one.
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
    """The load that a target reported in a response.

    Attributes:
        running: Requests that the target is running.
        waiting: Requests that are queued at the target.
        slots: Number of requests that the target runs concurrently.
        machine_slowness: How long work took on the target's machine when the report was sent, in
            multiples of the usual; None if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    machine_slowness: float | None = None

    @property
    def is_full(self) -> bool:
        """Whether all slots are taken, so that another request would be queued."""
        return self.running >= self.slots

    @property
    def wait_factor(self) -> float:
        """Expected wait of another request at a full target, in multiples of the work on one."""
        return (self.waiting + 1) / max(1, self.slots)


class Target:
    """The state of one target as known to this entry VM."""

    def __init__(self, *, entry: TargetEntry, now: float, is_new: bool = False) -> None:
        """Creates a target from its first announcement.

        Args:
            entry: The announcement.
            now: Current time in monotonic seconds.
            is_new: Whether it joined after this entry VM began to route requests.
        """
        self.is_new = is_new
        self.entry = entry
        self.in_flight = 0
        self.slowness = 1.0
        self.failure_share = 0.0
        #: Moving average of the reported requests per slot.
        self.average_load = 0.0
        #: What the load reports say about the machine; without reports if they lack the field.
        self.machine = MachineReports()
        self.cold_until = 0.0
        self._paused_until = 0.0
        self.down_since: float | None = None
        self.next_check_at = 0.0
        self._check_interval_s = CHECK_INTERVAL_RANGE_S[0]
        self._other_requests = 0.0
        self._other_requests_at = now
        self._has_load_report = False
        self._warm_objects: OrderedDict[str, None] = OrderedDict()
        self.update(entry, now=now)

    @property
    def is_down(self) -> bool:
        """Whether the target failed and has not recovered since."""
        return self.down_since is not None

    def update(self, entry: TargetEntry, *, now: float) -> bool:
        """Applies an announcement; returns False if it is older than the current one.

        A higher incarnation resets the state of the target. Within an incarnation, draining is
        never undone.
        """
        known = (self.entry.incarnation, self.entry.sequence)
        if (entry.incarnation, entry.sequence) < known:
            return False
        if entry.incarnation > self.entry.incarnation:
            self._reset(now)
        elif self.entry.draining:
            entry = entry._replace(draining=True)
        self.entry = entry
        if entry.cold_left_s > 0:
            self.mark_cold(entry.cold_left_s, now=now)
        return True

    def mark_cold(self, remaining_s: float, *, now: float) -> None:
        """Marks the target as cold for some seconds, and discards the record of its warm objects.

        The record is kept if the target was already cold.
        """
        if now >= self.cold_until:
            self._warm_objects.clear()
        self.cold_until = max(self.cold_until, now + remaining_s)

    def is_cold(self, *, now: float) -> bool:
        """Returns whether the target is cold."""
        return now < self.cold_until

    def pause(self, seconds: float, *, now: float) -> None:
        """Stops requests from this entry VM to the target for some seconds (``Retry-After``)."""
        self._paused_until = max(self._paused_until, now + seconds)

    def remaining_pause_s(self, *, now: float) -> float:
        """Returns the seconds until the target accepts requests from this entry VM again."""
        return max(0.0, self._paused_until - now)

    def expected_requests(self, *, now: float, work_s: float, usual: float = 0.0) -> float:
        """Returns the estimated number of requests, running or queued, from all entry VMs.

        Args:
            now: Current time in monotonic seconds.
            work_s: Seconds of work on one request.
            usual: Number that is assumed as the newest report becomes out of date.
        """
        age = (now - self._other_requests_at) / max(MIN_WORK_S, work_s)
        share = math.exp2(-age / REPORT_HALF_LIFE_FACTOR)
        expected = self.in_flight + self._other_requests * share
        if usual > self.in_flight:
            expected += (usual - self.in_flight) * (1 - share)
        return expected

    def is_warm(self, object_key: str) -> bool:
        """Returns whether the target recently ran a request of this entry VM on the object."""
        return object_key in self._warm_objects

    def record_run(self, object_key: str) -> None:
        """Records that the target ran a request on an object, which is then warm there."""
        self._warm_objects[object_key] = None
        self._warm_objects.move_to_end(object_key)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)

    def record_load(self, report: LoadReport, *, now: float) -> None:
        """Updates the load from a report that came with a response.

        The answered request is counted neither in the report nor in ``in_flight``.
        """
        requests = report.running + report.waiting
        sample = requests / max(1, report.slots)
        # The first report replaces the average; otherwise a VM that has just started would consider
        # full targets idle.
        weight = LOAD_SAMPLE_WEIGHT if self._has_load_report else 1.0
        self._has_load_report = True
        self.average_load += weight * (sample - self.average_load)
        self._other_requests = max(0.0, requests - self.in_flight)
        self._other_requests_at = now
        if report.machine_slowness is not None:
            self.machine.record(report.machine_slowness, now=now)

    def record_slowness(self, ratio: float) -> None:
        """Updates the slowness with the ratio of the actual to the expected time of a request."""
        low, high = SLOWNESS_RANGE
        sample = min(high, max(low, ratio))
        self.slowness += SAMPLE_WEIGHT * (sample - self.slowness)

    def record_result(self, *, failed: bool) -> None:
        """Updates the moving average of failed requests."""
        self.failure_share += SAMPLE_WEIGHT * (failed - self.failure_share)

    def eject(self, *, now: float) -> None:
        """Ejects the target until it recovers, and schedules its next health check."""
        if self.down_since is None:
            self.down_since = now
            self._check_interval_s = CHECK_INTERVAL_RANGE_S[0]
        self.next_check_at = now + self._check_interval_s
        self._check_interval_s = min(CHECK_INTERVAL_RANGE_S[1], 1.5 * self._check_interval_s)

    def recover(self) -> None:
        """Ends the ejection of the target."""
        self.down_since = None
        self._check_interval_s = CHECK_INTERVAL_RANGE_S[0]

    def reset_estimates(self, *, now: float) -> None:
        """Forgets load, slowness and failures, and ends the ejection.

        What attempts showed before the target became unreachable is out of date. If it said that
        the target is slow, no request would be sent there that could correct it.
        """
        self._other_requests, self._other_requests_at = 0.0, now
        self.machine = MachineReports()
        self._has_load_report = False
        self.slowness, self.failure_share, self.average_load = 1.0, 0.0, 0.0
        self.recover()

    def _reset(self, now: float) -> None:
        self._warm_objects.clear()
        self.cold_until = self._paused_until = 0.0
        self.reset_estimates(now=now)
