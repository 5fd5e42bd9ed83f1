"""Failure and cancellation of background tasks."""

import asyncio

import pytest

from carawaybank import background
from carawaybank.background import BackgroundTasks
from carawaybank.exceptions import TaskError


async def run_forever():
    await asyncio.Event().wait()


async def break_down():
    raise KeyError("no such target")


def test_a_failed_task_is_reported_at_once_and_raised_by_cancel():
    """Guards against a task whose exception is lost, because nothing awaits the task."""

    async def run():
        reported = []
        tasks = BackgroundTasks(on_failure=reported.append)
        tasks.start(run_forever())
        tasks.start(break_down())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [str(failure) for failure in reported] == [
            "break_down failed: KeyError('no such target')"
        ]
        with pytest.raises(TaskError) as raised:
            tasks.cancel()
        assert isinstance(raised.value.__cause__, KeyError)

    asyncio.run(run())


def test_cancel_raises_the_first_of_two_failures():
    async def fail_late():
        await asyncio.sleep(0.01)
        raise ValueError("late")

    async def run():
        reported = []
        tasks = BackgroundTasks(on_failure=reported.append)
        tasks.start(fail_late())
        tasks.start(break_down())
        while len(reported) < 2:
            await asyncio.sleep(0.01)
        with pytest.raises(TaskError, match="break_down"):
            tasks.cancel()

    asyncio.run(run())


def test_cancelled_tasks_are_not_reported_as_failures():
    async def run():
        reported = []
        tasks = BackgroundTasks(on_failure=reported.append)
        tasks.start(run_forever())
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert reported == []

    asyncio.run(run())


class Failing:
    """A task that fails at each run up to a number of them, and then runs until cancelled."""

    def __init__(self, *, failures, pause_s=0.0):
        self.failures, self.pause_s = failures, pause_s
        self.runs = 0

    async def run(self):
        self.runs += 1
        await asyncio.sleep(self.pause_s)
        if self.runs <= self.failures:
            raise KeyError(self.runs)
        await asyncio.Event().wait()


async def start_failing(failing):
    """Returns the tasks, what they reported as restarts and as failures, after all of its runs."""
    restarts, failures = [], []
    tasks = BackgroundTasks(on_failure=failures.append)
    tasks.start_restarting(failing.run, on_restart=restarts.append)
    async with asyncio.timeout(5.0):
        while not failures and failing.runs <= failing.failures:
            await asyncio.sleep(0.001)
    return tasks, [str(restart) for restart in restarts], [str(failure) for failure in failures]


@pytest.fixture
def short_pause(monkeypatch):
    monkeypatch.setattr(background, "_RESTART_PAUSE_S", 0.01)


@pytest.mark.usefixtures("short_pause")
def test_a_task_that_fails_some_times_is_run_again():
    """Guards against a process that ends because a background task met an unexpected error."""

    async def run():
        failing = Failing(failures=5)
        tasks, restarts, failures = await start_failing(failing)
        assert restarts == [f"Failing.run failed: KeyError({n})" for n in range(1, 6)]
        assert (failing.runs, failures) == (6, [])
        tasks.cancel()

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_a_task_that_fails_again_and_again_has_failed():
    """Guards against a process that goes on for good without what a background task does."""

    async def run():
        failing = Failing(failures=6)
        tasks, restarts, failures = await start_failing(failing)
        assert len(restarts) == 5
        assert failures == ["Failing.run failed: KeyError(6)"]
        with pytest.raises(TaskError) as raised:
            tasks.cancel()
        assert isinstance(raised.value.__cause__, KeyError)

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_failures_count_within_a_window(monkeypatch):
    """Guards against a process that ends after some failures in weeks."""
    monkeypatch.setattr(background, "_FAILURE_WINDOW_S", 0.1)

    async def run():
        tasks, restarts, failures = await start_failing(Failing(failures=12, pause_s=0.03))
        assert (len(restarts), failures) == (12, [])
        tasks.cancel()

    asyncio.run(run())


def test_a_task_that_waits_to_be_run_again_can_be_cancelled():
    """Guards against a planned stop that waits for a failed task."""

    async def run():
        failing = Failing(failures=9)
        failures, restarts = [], []
        tasks = BackgroundTasks(on_failure=failures.append)
        tasks.start_restarting(failing.run, on_restart=restarts.append)
        while not restarts:
            await asyncio.sleep(0.001)
        tasks.cancel()
        await asyncio.sleep(0.01)
        assert (failing.runs, failures) == (1, [])

    asyncio.run(run())
