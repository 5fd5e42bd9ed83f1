"""Failure and cancellation of background tasks."""

import asyncio

import pytest

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
