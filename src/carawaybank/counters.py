"""Counts and latencies of requests, kept in plain dictionaries until metrics are collected.

Recording each request through the metrics library would cost a tenth of a forwarded request, and
loading that library a third of an entry VM's start; see :mod:`carawaybank.metrics`.
"""

import threading
from collections import Counter
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

    def latency_s(self, percentile: float) -> dict[str, float]:
        """Returns a percentile of the latency in seconds, by service."""
        with self._lock:
            return {
                service: histogram.get_value_at_percentile(percentile) / 1e6
                for service, histogram in self._latencies.items()
            }


def verdict_name(verdict: Verdict) -> str:
    """Returns the name of a verdict in headers, metrics and documents.

    >>> verdict_name(Answered(200))
    'answered'
    """
    if isinstance(verdict, Answered):
        return "answered"
    return "may-have-run" if isinstance(verdict, MayHaveRun) else "not-run"
