"""Quarantine of requests that crash the targets that run them.

Crash reports are sets that merge by union, so every entry VM counts the same whatever the order
in which it hears of them. A request with two reports is refused until the reports expire.

Usage::

    >>> quarantine = Quarantine(limit=2, expiry_s=600, capacity=1000)
    >>> _ = quarantine.report(CrashReport("f1", "target-1", "vm-1"), now=0)
    >>> quarantine.is_refused("f1", now=1)
    False
    >>> _ = quarantine.report(CrashReport("f1", "target-2", "vm-1"), now=1)
    >>> quarantine.is_refused("f1", now=2), quarantine.is_refused("f2", now=2)
    (True, False)
"""

from collections import OrderedDict
from typing import NamedTuple


class CrashReport(NamedTuple):
    """A target was lost while it ran a request.

    Attributes:
        fingerprint: Digest of the request's method, service, path and body.
        target: The target that was lost.
        vm: The entry VM that saw it.
    """

    fingerprint: str
    target: str
    vm: str


class Quarantine:
    """Crash reports by fingerprint, bounded in number and age."""

    def __init__(self, *, limit: int, expiry_s: float, capacity: int) -> None:
        """Starts empty.

        Args:
            limit: Reports after which a fingerprint is refused.
            expiry_s: Age in seconds at which a fingerprint is forgotten.
            capacity: Most fingerprints kept; the oldest goes first.
        """
        self._limit = limit
        self._expiry_s = expiry_s
        self._capacity = capacity
        self._reports: OrderedDict[str, tuple[float, set[CrashReport]]] = OrderedDict()

    def report(self, report: CrashReport, *, now: float) -> bool:
        """Adds a report; returns whether it is news."""
        self._expire(now)
        _, reports = self._reports.setdefault(report.fingerprint, (now, set()))
        if report in reports:
            return False
        reports.add(report)
        self._reports[report.fingerprint] = (now, reports)
        self._reports.move_to_end(report.fingerprint)
        if len(self._reports) > self._capacity:
            self._reports.popitem(last=False)
        return True

    def count(self, fingerprint: str, *, now: float) -> int:
        """Returns how many targets the request cost so far."""
        self._expire(now)
        _, reports = self._reports.get(fingerprint, (now, set()))
        return len(reports)

    def is_refused(self, fingerprint: str, *, now: float) -> bool:
        """Returns whether the request must not run again."""
        return bool(self._reports) and self.count(fingerprint, now=now) >= self._limit

    def reports(self) -> list[CrashReport]:
        """Returns all reports kept, the oldest fingerprint first."""
        return [report for _, found in self._reports.values() for report in sorted(found)]

    def _expire(self, now: float) -> None:
        while self._reports:
            fingerprint, (since, _) = next(iter(self._reports.items()))
            if now - since < self._expiry_s:
                return
            del self._reports[fingerprint]
