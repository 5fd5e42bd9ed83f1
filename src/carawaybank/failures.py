"""Logs unexpected failures of a process: of its background tasks and of callbacks."""

import asyncio
import functools
import traceback
from collections.abc import Callable
from typing import Any

from carawaybank.background import TaskFailure
from carawaybank.counters import Counters
from carawaybank.journal import Journal


class FailureLog:
    """Logs and counts failures, with the place at which they arose."""

    def __init__(self, *, counters: Counters, journal: Journal) -> None:
        """Creates the log.

        Args:
            counters: Counts the failures of background tasks.
            journal: Receives the lines.
        """
        self._counters = counters
        self._journal = journal

    def record_task(self, failure: TaskFailure) -> None:
        """Logs and counts the failure of a background task, which runs again after a pause."""
        self._counters.count_task_failure(failure.task)
        self._journal.log(
            "daemon",
            "task restarted",
            reason=failure.reason,
            place=find_place(failure.error),
            failures=failure.failure_count,
            pause_s=round(failure.pause_s, 2),
        )

    def run_steps(self, *steps: Callable[[], object]) -> None:
        """Runs steps in order; one that fails is logged and counted, and the next one runs."""
        for step in steps:
            try:
                step()
            except Exception as error:
                function = step.func if isinstance(step, functools.partial) else step
                name = getattr(function, "__qualname__", repr(function))
                self._counters.count_task_failure(name)
                self._journal.log(
                    "daemon",
                    "step failed",
                    reason=f"{name} failed: {error!r}",
                    place=find_place(error),
                )

    def record_callback(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an error on the event loop; for ``set_exception_handler`` of the loop."""
        cause = context.get("exception")
        self._journal.log(
            "daemon",
            "callback failed",
            reason=f"{context['message']}: {cause!r}",
            place=find_place(cause),
        )

    def record_missing_metrics(self, error: Exception) -> None:
        """Logs that the library for metrics could not be loaded."""
        self._journal.log("daemon", "metrics not loaded", reason=repr(error))


def find_place(error: BaseException | None) -> str:
    """Returns the file and line at which an error was raised; empty if it is not known."""
    frames = traceback.extract_tb(error.__traceback__) if error else []
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
