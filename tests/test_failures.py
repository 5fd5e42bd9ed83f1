"""What is logged and counted of failures, and which steps run after one."""

import asyncio
import json

import pytest

from carawaybank.counters import Counters
from carawaybank.failures import FailureLog
from carawaybank.journal import Journal
from carawaybank.maintenance import Maintenance


def fail():
    raise KeyError("odd")


@pytest.fixture
def lines():
    return []


@pytest.fixture
def counters():
    return Counters()


@pytest.fixture
def failures(lines, counters):
    return FailureLog(counters=counters, journal=Journal(vm="vm-1", write=lines.append))


def test_a_step_that_fails_is_logged_and_the_next_one_runs(failures, lines, counters):
    """Guards against a stop that ends at once because it cannot be announced to siblings."""
    done = []
    failures.run_steps(fail, lambda: done.append(1), fail, lambda: done.append(2))
    assert done == [1, 2]
    assert counters.task_failures() == {"fail": 2}
    for line in map(json.loads, lines):
        assert (line["part"], line["event"]) == ("daemon", "step failed")
        assert line["reason"] == "fail failed: KeyError('odd')"
        assert "test_failures.py:" in line["place"]


class Part:
    """Stands for each part that maintenance checks; counts the calls."""

    def __init__(self, *, fails=False):
        self.calls, self.fails = 0, fails
        self.pool = self

    def publish(self):
        self.calls += 1
        if self.fails:
            fail()

    def close_idle(self):
        self.publish()

    def check_timeouts(self, now):
        self.publish()


def test_a_check_that_fails_does_not_keep_the_others_from_running(failures, counters, monkeypatch):
    """Guards against connections without time-outs because settings cannot be applied."""
    monkeypatch.setattr("carawaybank.maintenance._INTERVAL_S", 0.001)
    parts = [Part(fails=True), Part(fails=True), Part(), Part()]
    pacing, retries, sender, relays = parts

    async def run():
        maintenance = Maintenance(
            connections=(),
            sender=sender,
            relays=relays,
            allotments=None,
            pacing=pacing,
            retries=retries,
            watches=(),
            reload=fail,
            failures=failures,
            journal=Journal(vm="vm-1", write=lambda _: None),
        )
        task = asyncio.create_task(maintenance.run())
        async with asyncio.timeout(5.0):
            while any(part.calls < 3 for part in parts):
                await asyncio.sleep(0.001)
        assert not task.done()
        task.cancel()

    asyncio.run(run())
    assert counters.task_failures().keys() == {"fail", "Part.publish"}
