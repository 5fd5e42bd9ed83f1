"""Lost paths: what suspects, confirms and ends the loss, and what does not."""

import pytest

from carawaybank.routing.reachability import (
    CHECK_INTERVAL_S,
    LOST_FAILURES,
    MIN_EVIDENCE_S,
    MIN_SILENCE_S,
    Reachability,
)

TARGETS = 9
FAILED_AT = 10.0
LATER = FAILED_AT + 1.0


def make_failing(count=LOST_FAILURES, *, now=FAILED_AT):
    paths = Reachability()
    for number in range(count):
        paths.record_failure("s", f"t{number}", now=now)
    return paths


def confirm(paths, *, age_s=0.1, count=TARGETS, now=LATER):
    return paths.apply_evidence("s", sibling="vm-2", age_s=age_s, target_count=count, now=now)


def test_paths_are_lost_once_a_sibling_reached_a_target_after_several_failed_here():
    paths = make_failing()
    assert confirm(paths)
    assert paths.lost_services == {"s"}
    (change,) = paths.pop_changes()
    assert (change.is_lost, change.sibling, change.evidence_age_s) == (True, "vm-2", 0.1)


def test_targets_that_are_gone_for_all_vms_are_no_lost_path():
    """Guards against a VM that passes requests on although no VM reaches the targets."""
    paths = make_failing()
    ended_together_s = LATER - FAILED_AT - MIN_EVIDENCE_S / 2
    assert not confirm(paths, age_s=ended_together_s)
    assert not paths.is_lost("s")


@pytest.mark.parametrize("count", [0, LOST_FAILURES - 1])
def test_a_few_failed_targets_are_no_lost_path(count):
    assert not confirm(make_failing(count))


def test_a_service_with_fewer_targets_needs_all_of_them_to_fail():
    assert not confirm(make_failing(1), count=2)
    assert confirm(make_failing(2), count=2)


def test_a_recent_response_outweighs_failures():
    paths = make_failing()
    paths.record_reached("s", now=LATER)
    assert not paths.is_suspect("s", target_count=TARGETS, now=LATER + MIN_SILENCE_S)
    assert not confirm(paths, now=LATER + MIN_SILENCE_S)


def test_suspicion_needs_silence_besides_failures():
    paths = Reachability()
    paths.record_reached("s", now=FAILED_AT)
    for target in ("t1", "t2"):
        paths.record_failure("s", target, now=FAILED_AT + 0.1)
    assert not paths.is_suspect("s", target_count=TARGETS, now=FAILED_AT + 0.2)
    assert paths.is_suspect("s", target_count=TARGETS, now=FAILED_AT + MIN_SILENCE_S)


def test_a_lost_path_is_restored_by_checks_of_two_targets_only():
    """Guards against a VM that switches back and forth while a link fails again at once."""
    paths = make_failing()
    confirm(paths)
    paths.record_reached("s", now=LATER + 1)  # A response over a connection that lived on.
    assert paths.is_lost("s")
    assert not paths.record_check("s", "t1", target_count=TARGETS, now=LATER + 2)
    assert not paths.record_check("s", "t1", target_count=TARGETS, now=LATER + 2)
    assert paths.record_check("s", "t2", target_count=TARGETS, now=LATER + 3)
    assert not paths.is_lost("s")
    assert paths.pop_changes()[-1].lost_s == pytest.approx(3.0)


def test_loss_of_one_service_is_not_the_loss_of_another():
    paths = make_failing()
    confirm(paths)
    assert not paths.is_lost("other")


def test_checks_of_a_path_keep_their_interval():
    paths = Reachability()
    assert paths.try_check("s", now=0.0)
    assert not paths.try_check("s", now=CHECK_INTERVAL_S / 2)
    assert paths.try_check("s", now=CHECK_INTERVAL_S)


def test_a_path_without_usable_targets_is_restored_by_the_same_checks():
    """Guards against VMs that are all cut off and return one target at a time."""
    paths = make_failing()
    paths.record_unreachable("s", is_unreachable=True, now=LATER)
    assert not paths.is_lost("s")
    assert not paths.record_check("s", "t1", target_count=TARGETS, now=LATER + 1)
    assert paths.record_check("s", "t2", target_count=TARGETS, now=LATER + 1)
    assert not paths.record_check("s", "t3", target_count=TARGETS, now=LATER + 1)
