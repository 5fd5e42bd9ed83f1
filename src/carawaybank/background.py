"""The background tasks of a process, none of which may fail unnoticed."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from carawaybank.exceptions import TaskError


class BackgroundTasks:
    """Runs coroutines until they are cancelled together."""

    def __init__(self, *, on_failure: Callable[[TaskError], None]) -> None:
        """Starts nothing.

        Args:
            on_failure: Called when a task ended with an exception.
        """
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self._failure: TaskError | None = None

    def start(self, job: Coroutine[Any, Any, None]) -> None:
        """Starts a task; must be called on the loop."""
        task = asyncio.create_task(job, name=getattr(job, "__qualname__", repr(job)))
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def cancel(self) -> None:
        """Cancels all tasks.

        Raises:
            TaskError: If one of them had failed before.
        """
        for task in list(self._tasks):
            task.cancel()
        if self._failure is not None:
            raise self._failure

    def _note_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        cause = task.exception()
        if cause is not None:
            failure = TaskError(f"{task.get_name()} failed: {cause!r}")
            failure.__cause__ = cause
            self._failure = self._failure or failure
            self._on_failure(failure)
