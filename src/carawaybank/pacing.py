"""Log lines and the metric of targets that get their objects back at a pace."""

import asyncio

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.routing.directory import TargetDirectory


class PaceReports:
    """Logs and counts the targets under pace, and begins it where a limit ended."""

    def __init__(self, *, targets: TargetDirectory, counters: Counters, journal: Journal) -> None:
        """Initializes the reports.

        Args:
            targets: The known targets and their pace.
            counters: Receives the number of targets under pace.
            journal: Logs each begin, step back and end.
        """
        self._targets = targets
        self._counters = counters
        self._journal = journal

    def record_limit_end(self, target_id: str) -> None:
        """Records that a target no longer limits its requests, so that it gets all of them back."""
        target = self._targets.find(target_id)
        if target is not None:
            target.record_return(now=asyncio.get_running_loop().time())

    def publish(self) -> None:
        """Logs the changes since the last call and updates the metric."""
        pace = self._targets.pace
        pace.refresh(self._targets.by_id, now=asyncio.get_running_loop().time())
        self._counters.paced_target_count = pace.active_count
        for event in pace.pop_events():
            self._journal.log(
                "pace",
                event.name,
                target=event.target_id,
                share=event.share,
                reason=event.reason,
                after_s=event.after_s,
            )
