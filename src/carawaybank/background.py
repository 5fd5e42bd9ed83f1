"""Background tasks of a process.

A task that fails is reported at once, so that the process does not go on without it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from carawaybank.exceptions import TaskError


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
