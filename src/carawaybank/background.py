"""Background tasks of a process.

A long-running task that fails is run again after a pause, or reported at once, so that the process
does not go on without it. A short one, such as a check of a target, is logged if it fails, and the
process goes on.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine
from typing import Any

from carawaybank.exceptions import TaskError
from carawaybank.journal import Journal

#: Seconds before a failed task is run again. Siblings miss at most one heartbeat in it.
_RESTART_PAUSE_S = 0.5
#: Failures of a task within this many seconds that are survived; with one more, the process ends,
#: so that what supervises it sees that it does not recover.
_FAILURE_WINDOW_S = 60.0
_MAX_FAILURES = 5


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

    def start(self, coroutine: Coroutine[Any, Any, None], *, name: str = "") -> None:
        """Starts a task for the coroutine; must be called on the event loop.

        Args:
            coroutine: What the task runs.
            name: Name of the task in errors; by default that of the coroutine.
        """
        task = asyncio.create_task(
            coroutine, name=name or getattr(coroutine, "__qualname__", repr(coroutine))
        )
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def start_restarting(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        *,
        on_restart: Callable[[TaskError], None],
    ) -> None:
        """Starts a task that is run again if it fails; must be called on the event loop.

        It has failed once it did so more than ``_MAX_FAILURES`` times within
        ``_FAILURE_WINDOW_S``.

        Args:
            run: Coroutine function; must be fit to run again after a failure at any point.
            on_restart: Called with each error after which the task is run again.
        """
        self.start(_run_again(run, on_restart), name=run.__qualname__)

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
            failure = _make_failure(task.get_name(), cause)
            self._first_failure = self._first_failure or failure
            self._on_failure(failure)


async def _run_again(
    run: Callable[[], Coroutine[Any, Any, None]], on_restart: Callable[[TaskError], None]
) -> None:
    loop = asyncio.get_running_loop()
    failed_at: collections.deque[float] = collections.deque(maxlen=_MAX_FAILURES)
    while True:
        try:
            await run()
        except Exception as error:
            now = loop.time()
            if len(failed_at) == _MAX_FAILURES and now - failed_at[0] < _FAILURE_WINDOW_S:
                raise
            failed_at.append(now)
            on_restart(_make_failure(run.__qualname__, error))
        else:
            return
        await asyncio.sleep(_RESTART_PAUSE_S)


def _make_failure(name: str, cause: BaseException) -> TaskError:
    failure = TaskError(f"{name} failed: {cause!r}")
    failure.__cause__ = cause
    return failure


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
