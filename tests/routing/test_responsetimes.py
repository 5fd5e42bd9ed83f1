"""Bounds on the time of responses."""

import random

import pytest

from carawaybank.routing.responsetimes import MIN_RESPONSES, WINDOW_S, ResponseTimes


def make_times(durations, *, now=0.0):
    times = ResponseTimes(now=now)
    for seconds in durations:
        times.record(seconds, now=now)
    return times


@pytest.mark.parametrize("cold_share", [0.02, 0.05, 0.3])
def test_the_bound_covers_cold_work_that_the_mean_does_not(cold_share):
    """Guards against a bound that follows the many warm objects."""
    rng = random.Random(3)
    work = [
        rng.gauss(2.2, 0.33) if rng.random() < cold_share else rng.gauss(0.66, 0.1)
        for _ in range(4000)
    ]
    bound_s = make_times(work[:2000]).bound_s(now=1.0)
    assert sum(work) / len(work) < 0.75 * bound_s
    assert sum(seconds > bound_s for seconds in work[2000:]) <= 0.02 * 2000


def test_there_is_no_bound_from_few_responses():
    """Guards against a bound of a VM that has just started."""
    assert make_times([0.1] * (MIN_RESPONSES - 1)).bound_s(now=1.0) is None
    assert make_times([0.1] * MIN_RESPONSES).bound_s(now=1.0) == pytest.approx(0.1, rel=0.05)


@pytest.mark.parametrize(
    ("age_s", "is_known"), [(0.5 * WINDOW_S, True), (1.5 * WINDOW_S, True), (2.5 * WINDOW_S, False)]
)
def test_the_bound_lasts_for_the_current_and_the_last_window(age_s, is_known):
    """Guards against a bound that a slow target leaves for good, or that a rotation drops."""
    times = make_times([4.0] * MIN_RESPONSES)
    assert (times.bound_s(now=age_s) is not None) is is_known
