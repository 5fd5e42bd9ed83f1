"""The duration of work at the soak's targets: warm objects, spread, and the time after a start."""

import random

import pytest

from standins.soak.warmth import Warmth

KIND = {"name": "reads", "work_ms": 100.0, "warm_gain": 0.7, "work_spread": 0.0}


def make_warmth(keeps=2):
    service = {"warm_keeps": keeps, "cold_s": 3.0, "cold_x": 2.0}
    return Warmth(service=service, started_at=10.0)


def draw(warmth, key, now=20.0, kind=KIND, seed=1):
    return warmth.draw_work_s(kind, key, rng=random.Random(seed), now=now)


def test_work_on_an_object_is_shorter_until_others_replace_it():
    """Guards against targets on which the choice of a home makes no difference."""
    warmth = make_warmth(keeps=2)
    assert draw(warmth, "a") == pytest.approx(0.1)
    for key in ("a", "b", "a", "c"):
        warmth.add(key)
    assert draw(warmth, "a") == pytest.approx(0.03)
    assert draw(warmth, "c") == pytest.approx(0.03)
    assert draw(warmth, "b") == pytest.approx(0.1)


def test_a_target_that_keeps_no_objects_is_never_warm():
    """Guards against warm work in deployments whose routes are not sticky."""
    warmth = make_warmth(keeps=0)
    warmth.add("a")
    assert not warmth.is_warm("a")


def test_work_is_longer_for_some_time_after_a_start():
    """Guards against targets that take their full load at once after a start."""
    warmth = make_warmth()
    assert warmth.cold_left_s(12.0) == pytest.approx(1.0)
    assert draw(warmth, "a", now=12.0) == pytest.approx(0.2)
    assert warmth.cold_left_s(13.0) == 0.0
    assert draw(warmth, "a", now=13.0) == pytest.approx(0.1)


def test_work_spreads_around_its_mean_up_to_its_maximum():
    """Guards against work without the slow cases that bounds on its duration are about."""
    warmth, rng = make_warmth(), random.Random(1)
    wide = {**KIND, "work_spread": 1.0, "work_max_ms": 250.0}
    narrow = {**KIND, "work_spread": 0.15}
    longest = max(warmth.draw_work_s(wide, "a", rng=rng, now=20.0) for _ in range(1000))
    mean = sum(warmth.draw_work_s(narrow, "a", rng=rng, now=20.0) for _ in range(5000)) / 5000
    assert longest == pytest.approx(0.25)
    assert mean == pytest.approx(0.1, rel=0.02)
