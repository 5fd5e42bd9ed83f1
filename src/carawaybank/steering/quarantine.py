"""Quarantine of requests that crash the targets that run them.

Crash reports are merged as sets, so every entry VM arrives at the same count, whatever the order in
which it receives them. A request with as many crashes as the limit is refused until they expire.

Usage::

    >>> quarantine = Quarantine(limit=2, expiry_s=600, capacity=1000)
    >>> _ = quarantine.add_report(CrashReport("f1", "target-1", "vm-1"), now=0)
    >>> quarantine.is_quarantined("f1", now=1)
    False
    >>> _ = quarantine.add_report(CrashReport("f1", "target-2", "vm-1"), now=1)
    >>> quarantine.is_quarantined("f1", now=2), quarantine.is_quarantined("f2", now=2)
    (True, False)
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple


class CrashReport(NamedTuple):
    """Report that a target was lost while it ran a request.

    Attributes:
        fingerprint: Digest of the request's method, service, path and body.
        target: The target that was lost; on the users' platform its id and start, as a target may
            start again under its id.
        vm: The entry VM that observed it.
    """

    fingerprint: str
    target: str
    vm: str


class Quarantine:
    """Crash reports by request fingerprint, limited in number and age."""

    def __init__(
        self,
        *,
        limit: int,
        expiry_s: float,
        capacity: int,
        crash_of: Callable[[CrashReport], Any] = lambda report: report,
    ) -> None:
        """Starts empty.

        Args:
            limit: Number of crashes at which a fingerprint is refused.
            expiry_s: Seconds after its latest report at which a fingerprint is removed.
            capacity: Maximum number of fingerprints; beyond it, the one whose latest report is
                oldest is removed.
            crash_of: Returns what tells crashes apart. By default each report is of one crash, also
                if several entry VMs report the same target.
        """
        self._crash_of = crash_of
        self._limit = limit
        self._expiry_s = expiry_s
        self._capacity = capacity
        self._reports: OrderedDict[str, tuple[float, set[CrashReport]]] = OrderedDict()

    def add_report(self, report: CrashReport, *, now: float) -> bool:
        """Adds a report; returns whether it was new."""
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

    def crash_count(self, fingerprint: str, *, now: float) -> int:
        """Returns the number of unexpired crashes for a fingerprint."""
        self._expire(now)
        _, reports = self._reports.get(fingerprint, (now, set()))
        return len({self._crash_of(report) for report in reports})

    def is_quarantined(self, fingerprint: str, *, now: float) -> bool:
        """Returns whether requests with the fingerprint must not run."""
        return bool(self._reports) and self.crash_count(fingerprint, now=now) >= self._limit

    def reports(self) -> list[CrashReport]:
        """Returns all reports, those of the least recently reported fingerprint first."""
        return [
            report for _, same_request in self._reports.values() for report in sorted(same_request)
        ]

    def _expire(self, now: float) -> None:
        while self._reports:
            fingerprint, (reported_at, _) = next(iter(self._reports.items()))
            if now - reported_at < self._expiry_s:
                return
            del self._reports[fingerprint]
