"""Counts and latencies of requests, kept in plain dictionaries until metrics are collected.

Recording each request through the metrics library would cost a tenth of a forwarded request, and
loading that library a third of an entry VM's start; see :mod:`carawaybank.metrics`.
"""

import bisect
import itertools
import threading
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from carawaybank.verdicts import Answered, MayHaveRun, Verdict

_LONGEST_LATENCY_US = 600_000_000
_LATENCY_DIGITS = 2


class RequestKind(NamedTuple):
    """Attributes that requests are counted by."""

    service: str
    verdict: str
    reason: str


class Latencies(NamedTuple):
    """How long requests took.

    Attributes:
        counts: Requests up to each bound, and all of them last.
        sum_s: Seconds of all of them together.
    """

    counts: tuple[int, ...]
    sum_s: float


class Counters:
    """Counts of one daemon; safe to use from several threads."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._lock = threading.Lock()
        self._requests: Counter[RequestKind] = Counter()
        self._attempts: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self.lookups = 0
        self.abandoned = 0
        self.control_bytes = 0
        self.configuration = 0

    def count_request(self, service: str, verdict: Verdict, latency_s: float) -> None:
        """Counts a request that ended."""
        reason = "" if isinstance(verdict, Answered) else str(verdict.reason)
        kind = RequestKind(service, verdict_name(verdict), reason)
        with self._lock:
            self._requests[kind] += 1
            histogram = self._latencies.get(service)
            if histogram is None:
                histogram = HdrHistogram(1, _LONGEST_LATENCY_US, _LATENCY_DIGITS)
                self._latencies[service] = histogram
            histogram.record_value(min(_LONGEST_LATENCY_US, int(latency_s * 1e6) + 1))

    def count_attempt(self, service: str) -> None:
        """Counts a dispatch to a target."""
        with self._lock:
            self._attempts[service] += 1

    def count_control_bytes(self, count: int) -> None:
        """Counts bytes of exchanges with siblings."""
        with self._lock:
            self.control_bytes += count

    def count_abandoned(self) -> None:
        """Counts a request whose caller left."""
        self.abandoned += 1

    def count_lookup(self) -> None:
        """Counts a look-up of entry VMs."""
        with self._lock:
            self.lookups += 1

    def requests(self) -> dict[RequestKind, int]:
        """Returns the requests that ended, by kind."""
        with self._lock:
            return dict(self._requests)

    def attempts(self) -> dict[str, int]:
        """Returns the dispatches to targets, by service."""
        with self._lock:
            return dict(self._attempts)

    def latencies(self, bounds_s: Sequence[float]) -> dict[str, Latencies]:
        """Returns the latencies by service.

        Args:
            bounds_s: Upper bounds in seconds, ascending.
        """
        with self._lock:
            return {
                service: _summarize(histogram, bounds_s)
                for service, histogram in self._latencies.items()
            }


def _summarize(histogram: HdrHistogram, bounds_s: Sequence[float]) -> Latencies:
    counts = [0] * (len(bounds_s) + 1)
    total = 0.0
    for item in histogram.get_recorded_iterator():
        seconds = item.value_iterated_to / 1e6
        counts[bisect.bisect_left(bounds_s, seconds)] += item.count_at_value_iterated_to
        total += seconds * item.count_at_value_iterated_to
    return Latencies(tuple(itertools.accumulate(counts)), total)


def verdict_name(verdict: Verdict) -> str:
    """Returns the name of a verdict in headers, metrics and documents.

    >>> verdict_name(Answered(200))
    'answered'
    """
    if isinstance(verdict, Answered):
        return "answered"
    return "may-have-run" if isinstance(verdict, MayHaveRun) else "not-run"
