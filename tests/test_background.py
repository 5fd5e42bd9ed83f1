"""Failure and cancellation of background tasks."""

import asyncio
import random

import pytest

from carawaybank import background
from carawaybank.background import BackgroundTasks
from carawaybank.siblings.liveness import HEARTBEAT_TIMEOUT_S


async def run_forever():
    await asyncio.Event().wait()


def test_cancelled_tasks_are_not_reported_as_failures():
    async def run():
        reported = []
        tasks = BackgroundTasks(on_failure=reported.append)
        tasks.start(run_forever)
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0.01)
        assert (reported, tasks.failing()) == ([], [])
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(run())


class Failing:
    """A task that fails at each run up to a number of them, and then runs until cancelled."""

    def __init__(self, *, failures, run_s=0.0, error=KeyError):
        self.failures, self.run_s, self.error = failures, run_s, error
        self.runs = 0

    async def run(self):
        self.runs += 1
        await asyncio.sleep(self.run_s)
        if self.runs <= self.failures:
            raise self.error(self.runs)
        await asyncio.Event().wait()


async def start_failing(*tasks_to_fail):
    """Returns the tasks and their failures, after all runs that fail."""
    failures = []
    tasks = BackgroundTasks(on_failure=failures.append, rng=random.Random(1))
    for failing in tasks_to_fail:
        tasks.start(failing.run)
    async with asyncio.timeout(10.0):
        while any(failing.runs <= failing.failures for failing in tasks_to_fail):
            await asyncio.sleep(0.001)
    return tasks, failures


@pytest.fixture
def short_pause(monkeypatch):
    monkeypatch.setattr(background, "_MIN_PAUSE_S", 0.002)
    monkeypatch.setattr(background, "_MAX_PAUSE_S", 0.008)


@pytest.mark.usefixtures("short_pause")
def test_a_task_that_fails_again_and_again_is_run_again_and_reported_each_time():
    """Guards against a process that ends, or goes on without a task, because the task fails.

    The same failure may occur in all VMs at once, which must not end all of them.
    """

    async def run():
        failing = Failing(failures=100)
        tasks, failures = await start_failing(failing)
        assert [failure.reason for failure in failures] == [
            f"Failing.run failed: KeyError({n})" for n in range(1, 101)
        ]
        assert [failure.failure_count for failure in failures] == list(range(1, 101))
        assert failing.runs == 101
        tasks.cancel()

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_a_call_that_was_cancelled_does_not_end_the_task_that_awaits_it():
    """Guards against a process that goes on without a task, and neither logs nor shows it."""

    async def run():
        failing = Failing(failures=3, error=asyncio.CancelledError)
        tasks, failures = await start_failing(failing)
        assert [failure.failure_count for failure in failures] == [1, 2, 3]
        tasks.cancel()
        await asyncio.sleep(0.01)
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_a_task_that_fails_does_not_delay_the_others():
    async def run():
        others = [Failing(failures=3) for _ in range(5)]
        tasks, failures = await start_failing(Failing(failures=40), *others)
        assert len(failures) == 55
        tasks.cancel()

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_pauses_grow_up_to_a_bound_and_differ_between_vms():
    """Guards against a failure that uses up the processor, and VMs that all retry at once."""

    async def run():
        tasks, failures = await start_failing(Failing(failures=30))
        pauses = [failure.pause_s for failure in failures]
        for pause_s, longest_s in zip(pauses, [0.002, 0.004, *[0.008] * 28], strict=True):
            assert 0.75 * longest_s <= pause_s <= longest_s
        assert len(set(pauses[2:])) == 28
        tasks.cancel()

    asyncio.run(run())


def test_the_longest_pause_is_below_the_timeout_of_heartbeats():
    """Guards against a VM that others leave out although its heartbeats were sent each time."""
    assert background._MAX_PAUSE_S < HEARTBEAT_TIMEOUT_S


@pytest.mark.usefixtures("short_pause")
def test_a_task_is_shown_as_failing_until_it_was_sound_for_a_while(monkeypatch):
    """Guards against a task that fails all the time and that operators do not see."""
    monkeypatch.setattr(background, "_SOUND_RUN_S", 0.2)

    async def run():
        tasks, _ = await start_failing(Failing(failures=12), Failing(failures=0))
        (failure,) = tasks.failing()
        assert (failure.task, failure.failure_count) == ("Failing.run", 12)
        await asyncio.sleep(0.3)
        assert tasks.failing() == []
        tasks.cancel()

    asyncio.run(run())


@pytest.mark.usefixtures("short_pause")
def test_failures_after_sound_runs_count_as_the_first(monkeypatch):
    """Guards against long pauses after some failures in weeks."""
    monkeypatch.setattr(background, "_SOUND_RUN_S", 0.02)

    async def run():
        tasks, failures = await start_failing(Failing(failures=6, run_s=0.03))
        assert [failure.failure_count for failure in failures] == [1] * 6
        tasks.cancel()

    asyncio.run(run())


def test_a_task_that_waits_to_be_run_again_can_be_cancelled():
    """Guards against a planned stop that waits for a failed task."""

    async def run():
        failing = Failing(failures=9)
        failures = []
        tasks = BackgroundTasks(on_failure=failures.append)
        tasks.start(failing.run)
        while not failures:
            await asyncio.sleep(0.001)
        tasks.cancel()
        await asyncio.sleep(0.01)
        assert (failing.runs, len(failures)) == (1, 1)
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(run())
