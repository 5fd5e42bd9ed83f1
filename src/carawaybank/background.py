"""Background tasks of a process.

A long-running task that fails is reported at once, so that the process does not go on without it. A
short one, such as a check of a target, is logged if it fails, and the process goes on.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from carawaybank.exceptions import TaskError
from carawaybank.journal import Journal


class BackgroundTasks:
    """Runs coroutines as asyncio tasks until all are cancelled together."""

    def __init__(self, *, on_failure: Callable[[TaskError], None]) -> None:
        """Creates an empty set of tasks.

        Args:
            on_failure: Called with the error of each task that ends with an exception.
        """
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self._first_failure: TaskError | None = None

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task for the coroutine; must be called on the event loop."""
        task = asyncio.create_task(
            coroutine, name=getattr(coroutine, "__qualname__", repr(coroutine))
        )
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def cancel(self) -> None:
        """Cancels all tasks.

        Raises:
            TaskError: If a task had failed before; the first failure is raised.
        """
        for task in list(self._tasks):
            task.cancel()
        if self._first_failure is not None:
            raise self._first_failure

    def _handle_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        cause = task.exception()
        if cause is not None:
            failure = TaskError(f"{task.get_name()} failed: {cause!r}")
            failure.__cause__ = cause
            self._first_failure = self._first_failure or failure
            self._on_failure(failure)


class ShortTasks:
    """Runs coroutines that end by themselves, and logs those that fail."""

    def __init__(self, *, part: str, journal: Journal) -> None:
        """Creates an empty set of tasks.

        Args:
            part: Component that the log lines name.
            journal: Logs the tasks that fail.
        """
        self._part = part
        self._journal = journal
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Starts a task for the coroutine; must be called on the event loop."""
        task = asyncio.create_task(
            coroutine, name=getattr(coroutine, "__qualname__", repr(coroutine))
        )
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def _handle_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._journal.log(
                self._part, "task failed", task=task.get_name(), reason=repr(task.exception())
            )
