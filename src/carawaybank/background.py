"""Background tasks of a process.

A long-running task that fails is run again after a pause, for as long as the process runs. The same
failure may occur in all VMs at once, for instance because of a row that all of them read: a process
that ended would lose what is in progress, and fail again after its restart. It serves with what it
knows instead, and what fails is logged, counted and shown to operators.

A short task, such as a check of a target, is logged if it fails, and the process goes on.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from carawaybank.journal import Journal

#: Seconds before a task is run again after its first failure; twice as long after each further one,
#: up to the maximum, which is below the time-out of heartbeats (2.4 s): a VM whose round of
#: heartbeats fails after they were sent stays in use.
_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0
#: Smallest part of a pause that is taken, at random, so that VMs with the same failure spread out.
_MIN_PAUSE_SHARE = 0.75
#: A task that has run for so many seconds is sound again: its next failure counts as the first.
_SOUND_RUN_S = 60.0

TaskFunction = Callable[[], Coroutine[Any, Any, None]]


class TaskFailure(NamedTuple):
    """A failure of a background task.

    Attributes:
        task: Name of the task.
        error: The exception that ended it.
        failure_count: Number of failures since the task was last sound.
        pause_s: Seconds after which it is run again.
        at: Time of the failure on the clock of the event loop.
    """

    task: str
    error: BaseException
    failure_count: int
    pause_s: float
    at: float

    @property
    def reason(self) -> str:
        """What failed, and why."""
        return f"{self.task} failed: {self.error!r}"


class BackgroundTasks:
    """Runs coroutine functions as asyncio tasks, again after failures, until all are cancelled."""

    def __init__(
        self, *, on_failure: Callable[[TaskFailure], None], rng: random.Random | None = None
    ) -> None:
        """Creates an empty set of tasks.

        Args:
            on_failure: Called with each failure, before the pause.
            rng: Source of random pauses.
        """
        self._on_failure = on_failure
        self._rng = rng or random.Random()
        self._tasks: set[asyncio.Task[None]] = set()
        #: The last failure of each task, by its number.
        self._failures: dict[int, TaskFailure] = {}
        self._started_count = 0

    def start(self, run: TaskFunction) -> None:
        """Starts a task that is run again whenever it fails; must be called on the event loop.

        Args:
            run: Coroutine function; must be fit to run again after a failure at any point.
        """
        self._started_count += 1
        task = asyncio.create_task(
            self._run_again(run, number=self._started_count), name=run.__qualname__
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def failing(self) -> list[TaskFailure]:
        """Returns the last failure of each task that has not been sound since."""
        now = asyncio.get_running_loop().time()
        return [
            failure
            for failure in self._failures.values()
            if now - failure.at - failure.pause_s < _SOUND_RUN_S
        ]

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def _run_again(self, run: TaskFunction, *, number: int) -> None:
        count = 0
        while True:
            started_at = asyncio.get_running_loop().time()
            error = await _run_once(run)
            if error is None:
                return
            now = asyncio.get_running_loop().time()
            count = 1 if now - started_at >= _SOUND_RUN_S else count + 1
            failure = TaskFailure(run.__qualname__, error, count, self._pause_s(count), now)
            self._failures[number] = failure
            self._on_failure(failure)
            await asyncio.sleep(failure.pause_s)

    def _pause_s(self, count: int) -> float:
        longest_s = _MAX_PAUSE_S
        if count < 16:  # A power of a large count exceeds the range of floats.
            longest_s = min(_MAX_PAUSE_S, _MIN_PAUSE_S * 2.0 ** (count - 1))
        return longest_s * self._rng.uniform(_MIN_PAUSE_SHARE, 1.0)


async def _run_once(run: TaskFunction) -> BaseException | None:
    """Runs a coroutine function; returns the error that ended it, or None if it returned.

    Raises:
        asyncio.CancelledError: If the task itself was cancelled. A cancelled call that the function
            awaits raises the same, which would otherwise end the task without a trace.
    """
    try:
        await run()
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        return error
    except Exception as error:
        return error
    return None


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
