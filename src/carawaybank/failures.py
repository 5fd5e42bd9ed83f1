"""Logs unexpected failures of a process: of its background tasks and of callbacks."""

import asyncio
import traceback
from typing import Any

from carawaybank.exceptions import TaskError
from carawaybank.journal import Journal


class FailureLog:
    """Logs failures with the place at which they arose."""

    def __init__(self, *, journal: Journal) -> None:
        """Creates the log.

        Args:
            journal: Receives the lines.
        """
        self._journal = journal

    def record_restart(self, failure: TaskError) -> None:
        """Logs the failure of a background task that runs again."""
        place = find_place(failure.__cause__)
        self._journal.log("daemon", "task restarted", reason=str(failure), place=place)

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
