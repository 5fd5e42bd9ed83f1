"""Log lines and the metric of retries, from which the sum over all VMs in a window can be made."""

import asyncio

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.retrylimit import RetryCounts, RetryLimits


class RetryReports:
    """Logs and counts the retries that the limit of each service allowed and refused."""

    def __init__(self, *, limits: RetryLimits, counters: Counters, journal: Journal) -> None:
        """Initializes the reports.

        Args:
            limits: The retry limits by service.
            counters: Receives the retries that were allowed and refused.
            journal: Gets a line when a service had retries since the last one.
        """
        self._limits = limits
        self._counters = counters
        self._journal = journal
        self._reported: dict[str, RetryCounts] = {}

    def publish(self) -> None:
        """Logs the counts since the last line of each service and updates the metric."""
        now = asyncio.get_running_loop().time()
        for service, limit in self._limits.by_service.items():
            counts = limit.counts
            earlier = self._reported.get(service, RetryCounts())
            if (counts.allowed, counts.refused) == (earlier.allowed, earlier.refused):
                continue
            # A limit whose terms changed has counted anew.
            if counts.requests < earlier.requests:
                earlier = RetryCounts()
            self._reported[service] = counts
            allowed, refused = counts.allowed - earlier.allowed, counts.refused - earlier.refused
            self._counters.count_retries(service, allowed=allowed, refused=refused)
            self._journal.log(
                "retries",
                "counted",
                service=service,
                requests=counts.requests - earlier.requests,
                allowed=allowed,
                refused=refused,
                credit=round(limit.credit(now=now), 1),
            )
