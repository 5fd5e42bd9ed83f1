"""Quarantine of requests that crash the targets that run them.

Crash reports are merged as sets, so every entry VM arrives at the same count, whatever the order in
which it receives them. A request with as many crashes as the limit is refused until they expire.

A request that many callers send is in progress at most targets, also at those that crash for
another reason. Runs that end well after the reports refute them: a request that crashes the targets
that run it has none.

Usage::

    >>> quarantine = Quarantine(limit=2, expiry_s=600, capacity=1000)
    >>> _ = quarantine.add_report(CrashReport("f1", "target-1", "vm-1"), now=0)
    >>> quarantine.is_quarantined("f1", now=1)
    False
    >>> _ = quarantine.add_report(CrashReport("f1", "target-2", "vm-1"), now=1)
    >>> quarantine.is_quarantined("f1", now=2), quarantine.is_quarantined("f2", now=2)
    (True, False)
    >>> quarantine.record_good_run("f1")
    []
    >>> [report.target for report in quarantine.record_good_run("f1")]
    ['target-1', 'target-2']
    >>> quarantine.is_quarantined("f1", now=3)
    False
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

#: Runs that end well after the last report and refute all reports on a fingerprint.
REFUTING_RUNS = 2
#: Number of fingerprints whose last runs are remembered.
_MAX_GOOD_RUNS = 4_096


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


class _Suspicion:
    """The reports on a fingerprint.

    Attributes:
        reported_at: Time of the latest report.
        limit_reached_at: Time at which the number of crashes reached the limit; None before.
        good_runs: Runs that ended well since the latest report.
        reports: The reports.
    """

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        self.limit_reached_at: float | None = None
        self.good_runs = 0
        self.reports: set[CrashReport] = set()


class Quarantine:
    """Crash reports by request fingerprint, limited in number and age."""

    def __init__(
        self,
        *,
        limit: int,
        expiry_s: float,
        capacity: int,
        probation_s: float = 0.0,
        crash_of: Callable[[CrashReport], Any] = lambda report: report,
    ) -> None:
        """Starts empty.

        Args:
            limit: Number of crashes at which a fingerprint is refused.
            expiry_s: Seconds after its latest report at which a fingerprint is removed.
            capacity: Maximum number of fingerprints; beyond it, the one whose latest report is
                oldest is removed.
            probation_s: Seconds for which a fingerprint whose runs have ended well before is not
                refused yet, so that further runs can refute the reports.
            crash_of: Returns what tells crashes apart. By default each report is of one crash, also
                if several entry VMs report the same target.
        """
        self._crash_of = crash_of
        self._limit = limit
        self._expiry_s = expiry_s
        self._capacity = capacity
        self._probation_s = probation_s
        self._suspicions: OrderedDict[str, _Suspicion] = OrderedDict()
        #: Fingerprints with runs that ended well, those of the latest runs last.
        self._proven: OrderedDict[str, None] = OrderedDict()

    def add_report(self, report: CrashReport, *, now: float) -> bool:
        """Adds a report; returns whether it was new."""
        self._expire(now)
        suspicion = self._suspicions.setdefault(report.fingerprint, _Suspicion())
        if report in suspicion.reports:
            return False
        suspicion.reports.add(report)
        suspicion.reported_at, suspicion.good_runs = now, 0
        if suspicion.limit_reached_at is None and self._count(suspicion) >= self._limit:
            suspicion.limit_reached_at = now
        self._suspicions.move_to_end(report.fingerprint)
        if len(self._suspicions) > self._capacity:
            self._suspicions.popitem(last=False)
        return True

    def record_good_run(self, fingerprint: str) -> list[CrashReport]:
        """Records a run that ended well; returns the reports that it refutes, which are removed."""
        self._proven[fingerprint] = None
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > _MAX_GOOD_RUNS:
            self._proven.popitem(last=False)
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return []
        suspicion.good_runs += 1
        if suspicion.good_runs < REFUTING_RUNS:
            return []
        del self._suspicions[fingerprint]
        return sorted(suspicion.reports)

    def remove_crash(self, fingerprint: str, target: str) -> None:
        """Removes the reports of a crash, which runs at another entry VM have refuted."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return
        suspicion.reports = {each for each in suspicion.reports if each.target != target}
        if self._count(suspicion) < self._limit:
            suspicion.limit_reached_at = None
        if not suspicion.reports:
            del self._suspicions[fingerprint]

    def crash_count(self, fingerprint: str, *, now: float) -> int:
        """Returns the number of unexpired crashes for a fingerprint."""
        self._expire(now)
        suspicion = self._suspicions.get(fingerprint)
        return self._count(suspicion) if suspicion is not None else 0

    def is_quarantined(self, fingerprint: str, *, now: float) -> bool:
        """Returns whether requests with the fingerprint must not run."""
        if not self._suspicions:
            return False
        self._expire(now)
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.limit_reached_at is None:
            return False
        is_on_probation = now < suspicion.limit_reached_at + self._probation_s
        return not (is_on_probation and fingerprint in self._proven)

    def reports(self) -> list[CrashReport]:
        """Returns all reports, those of the least recently reported fingerprint first."""
        return [
            report
            for suspicion in self._suspicions.values()
            for report in sorted(suspicion.reports)
        ]

    def _count(self, suspicion: _Suspicion) -> int:
        return len({self._crash_of(report) for report in suspicion.reports})

    def _expire(self, now: float) -> None:
        while self._suspicions:
            fingerprint, suspicion = next(iter(self._suspicions.items()))
            if now - suspicion.reported_at < self._expiry_s:
                return
            del self._suspicions[fingerprint]
