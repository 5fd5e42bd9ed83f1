"""Counts and latencies of requests, kept in plain dictionaries until metrics are collected.

The metrics library is not used on the request path: recording through it would take a tenth of the
time of a forwarded request, and loading it a third of an entry VM's start-up time. See
:mod:`carawaybank.metrics`.
"""

import bisect
import itertools
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from carawaybank.verdicts import Answered, MayHaveRun, Verdict

_MAX_LATENCY_US = 600_000_000
_LATENCY_SIGNIFICANT_DIGITS = 2
#: Maximum number of tenants that are counted by name, and the label of the others.
MAX_TENANT_LABELS = 100
OTHER_TENANTS = "other"


class RequestLabels(NamedTuple):
    """Labels of the request counter.

    Attributes:
        service: Name of the service.
        verdict: Name of the verdict, see :func:`verdict_name`.
        reason: Reason of the verdict; empty for an answered request.
    """

    service: str
    verdict: str
    reason: str


class AllotmentLabels(NamedTuple):
    """Labels of the counter of limited tenants' requests.

    Attributes:
        tenant: Name of the tenant, or ``OTHER_TENANTS``.
        event: ``used`` or ``refused``.
    """

    tenant: str
    event: str


class RetryLabels(NamedTuple):
    """Labels of the counter of retries.

    Attributes:
        service: Name of the service.
        event: ``allowed`` or ``refused``.
    """

    service: str
    event: str


class LatencyHistogram(NamedTuple):
    """Latency histogram of one service.

    Attributes:
        counts: Cumulative count of requests up to each bound; the last is the total count.
        sum_s: Sum of all latencies in seconds.
    """

    counts: tuple[int, ...]
    sum_s: float


class Counters:
    """Request counters of one daemon; safe to use from several threads."""

    def __init__(self) -> None:
        """Creates counters that are all zero."""
        self._lock = threading.Lock()
        self._requests: Counter[RequestLabels] = Counter()
        self._attempts: Counter[str] = Counter()
        self._limit_events: Counter[str] = Counter()
        self._relays: Counter[str] = Counter()
        self._rejected_rows: Counter[str] = Counter()
        self._task_failures: Counter[str] = Counter()
        self._retries: Counter[RetryLabels] = Counter()
        self._machine_reports: Counter[str] = Counter()
        self._allotments: Counter[AllotmentLabels] = Counter()
        self._allotment_tenants: set[str] = set()
        self._allotment_wait_count = 0
        self._allotment_wait_s = 0.0
        self._slow_callers: Counter[str] = Counter()
        self._break_offs: Counter[str] = Counter()
        self._absences: Counter[str] = Counter()
        #: Returns the bytes of memory that the messages of peers use, by kind of the peer.
        self.message_memory: Callable[[], dict[str, int]] = dict
        #: Unix time in seconds at which the paths to a service's targets were lost, by service.
        self.paths_lost_at: dict[str, float] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self.lookup_count = 0
        #: Weight of this VM, 0 if its size is not stated, and the number of changes of it.
        self.vm_weight = 0.0
        self.vm_weight_changes = 0
        self.abandoned_count = 0
        #: Requests that were refused because the process could not keep up with them.
        self.shed_count = 0
        self.held_off_count = 0
        #: Targets that do not get all their objects yet.
        self.paced_target_count = 0
        self.control_bytes = 0
        self.configuration_version = 0

    def count_request(self, service: str, verdict: Verdict, latency_s: float) -> None:
        """Counts a finished request and records its latency, which is capped at 600 s."""
        reason = "" if isinstance(verdict, Answered) else str(verdict.reason)
        labels = RequestLabels(service, verdict_name(verdict), reason)
        with self._lock:
            self._requests[labels] += 1
            histogram = self._latencies.get(service)
            if histogram is None:
                histogram = HdrHistogram(1, _MAX_LATENCY_US, _LATENCY_SIGNIFICANT_DIGITS)
                self._latencies[service] = histogram
            histogram.record_value(min(_MAX_LATENCY_US, int(latency_s * 1e6) + 1))

    def count_attempt(self, service: str) -> None:
        """Counts one attempt to send a request to a target."""
        with self._lock:
            self._attempts[service] += 1

    def count_control_bytes(self, count: int) -> None:
        """Adds bytes that were exchanged with siblings."""
        with self._lock:
            self.control_bytes += count

    def count_abandoned_request(self) -> None:
        """Counts a request whose caller disconnected before the response."""
        self.abandoned_count += 1

    def count_shed_request(self) -> None:
        """Counts a request that was refused because the process could not keep up."""
        self.shed_count += 1

    def count_held_off_request(self) -> None:
        """Counts a request that the limit of a target kept from it."""
        self.held_off_count += 1

    def count_lookup(self) -> None:
        """Counts a look-up of entry VMs by a caller."""
        with self._lock:
            self.lookup_count += 1

    def count_limit_event(self, event: str) -> None:
        """Counts a change of a target's limit."""
        with self._lock:
            self._limit_events[event] += 1

    def count_retries(self, service: str, *, allowed: int, refused: int) -> None:
        """Counts retries that the limit of a service allowed and refused."""
        with self._lock:
            self._retries[RetryLabels(service, "allowed")] += allowed
            self._retries[RetryLabels(service, "refused")] += refused

    def retries(self) -> dict[RetryLabels, int]:
        """Returns the number of retries by service and event."""
        with self._lock:
            return dict(self._retries)

    def count_rejected_row(self, table: str) -> None:
        """Counts a row of another program that cannot be used."""
        with self._lock:
            self._rejected_rows[table] += 1

    def rejected_rows(self) -> dict[str, int]:
        """Returns the number of rows that cannot be used, by table."""
        with self._lock:
            return dict(self._rejected_rows)

    def count_task_failure(self, task: str) -> None:
        """Counts a failure of a background task, which runs again."""
        with self._lock:
            self._task_failures[task] += 1

    def task_failures(self) -> dict[str, int]:
        """Returns the number of failures of background tasks, by name of the task."""
        with self._lock:
            return dict(self._task_failures)

    def count_relay(self, event: str) -> None:
        """Counts a request that was passed on, taken in, or refused for want of room."""
        with self._lock:
            self._relays[event] += 1

    def count_machine_report(self, machine_slowness: float) -> None:
        """Counts a load report that states how long work takes on the target's machine."""
        with self._lock:
            self._machine_reports["slow" if machine_slowness > 1.0 else "usual"] += 1

    def machine_reports(self) -> dict[str, int]:
        """Returns the number of reports of a machine as ``slow``, and as ``usual`` or faster."""
        with self._lock:
            return dict(self._machine_reports)

    def count_allotment(self, tenant: str, event: str) -> None:
        """Counts a request of a limited tenant that was ``used`` or ``refused``."""
        with self._lock:
            if tenant not in self._allotment_tenants:
                if len(self._allotment_tenants) >= MAX_TENANT_LABELS:
                    tenant = OTHER_TENANTS
                self._allotment_tenants.add(tenant)
            self._allotments[AllotmentLabels(tenant, event)] += 1

    def allotments(self) -> dict[AllotmentLabels, int]:
        """Returns the number of requests of limited tenants by tenant and event."""
        with self._lock:
            return dict(self._allotments)

    def count_absences(self, event: str, count: int) -> None:
        """Counts notices of absence that this VM wrote, confirmed or denied, by the event."""
        with self._lock:
            self._absences[event] += count

    def absences(self) -> dict[str, int]:
        """Returns the number of notices of absence that this VM changed, by the event."""
        with self._lock:
            return dict(self._absences)

    def count_allotment_wait(self, wait_s: float) -> None:
        """Counts a request that waited for a token of its tenant's allotment."""
        with self._lock:
            self._allotment_wait_count += 1
            self._allotment_wait_s += wait_s

    def allotment_waits(self) -> tuple[int, float]:
        """Returns the number of requests that waited for a token, and the sum of their waits."""
        with self._lock:
            return self._allotment_wait_count, self._allotment_wait_s

    def count_slow_caller(self, event: str) -> None:
        """Counts a connection of a slow caller as ``paused`` or ``aborted``."""
        with self._lock:
            self._slow_callers[event] += 1

    def count_break_off(self, kind: str) -> None:
        """Counts a message of a kind of peer that was broken off for want of memory."""
        with self._lock:
            self._break_offs[kind] += 1

    def break_offs(self) -> dict[str, int]:
        """Returns the messages that were broken off for want of memory, by kind of the peer."""
        with self._lock:
            return dict(self._break_offs)

    def slow_callers(self) -> dict[str, int]:
        """Returns how often connections of slow callers were ``paused`` and ``aborted``."""
        with self._lock:
            return dict(self._slow_callers)

    def relays(self) -> dict[str, int]:
        """Returns the number of requests ``passed on``, ``taken in`` and ``refused``."""
        with self._lock:
            return dict(self._relays)

    def limit_events(self) -> dict[str, int]:
        """Returns the number of ``learned``, ``changed``, ``ended`` and ``ignored`` limits."""
        with self._lock:
            return dict(self._limit_events)

    def requests(self) -> dict[RequestLabels, int]:
        """Returns the number of finished requests by service, verdict and reason."""
        with self._lock:
            return dict(self._requests)

    def attempts(self) -> dict[str, int]:
        """Returns the number of attempts at targets by service."""
        with self._lock:
            return dict(self._attempts)

    def latencies(self, bounds_s: Sequence[float]) -> dict[str, LatencyHistogram]:
        """Returns the latency histogram of each service.

        Args:
            bounds_s: Upper bounds of the buckets in seconds, ascending.
        """
        with self._lock:
            return {
                service: _summarize(histogram, bounds_s)
                for service, histogram in self._latencies.items()
            }


def _summarize(histogram: HdrHistogram, bounds_s: Sequence[float]) -> LatencyHistogram:
    counts = [0] * (len(bounds_s) + 1)
    sum_s = 0.0
    for bucket in histogram.get_recorded_iterator():
        latency_s = bucket.value_iterated_to / 1e6
        counts[bisect.bisect_left(bounds_s, latency_s)] += bucket.count_at_value_iterated_to
        sum_s += latency_s * bucket.count_at_value_iterated_to
    return LatencyHistogram(tuple(itertools.accumulate(counts)), sum_s)


def verdict_name(verdict: Verdict) -> str:
    """Returns the name by which headers, metrics and documents refer to a verdict.

    >>> verdict_name(Answered(200))
    'answered'
    """
    if isinstance(verdict, Answered):
        return "answered"
    return "may-have-run" if isinstance(verdict, MayHaveRun) else "not-run"
