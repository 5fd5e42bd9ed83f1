"""Which requests are refused after targets crashed while they ran them."""

import pytest

from carawaybank.steering.quarantine import REFUTING_RUNS, CrashReport, Quarantine

LIMIT = 3
PROBATION_S = 1.0


def make_quarantine():
    return Quarantine(
        limit=LIMIT,
        expiry_s=600.0,
        capacity=100,
        probation_s=PROBATION_S,
        crash_of=lambda report: report.target,
    )


def crash(quarantine, fingerprint, *targets, now=0.0):
    for target in targets:
        quarantine.add_report(CrashReport(fingerprint, target, "vm-1"), now=now)


def run_well(quarantine, fingerprint, *, count=REFUTING_RUNS):
    return [quarantine.record_good_run(fingerprint) for _ in range(count)][-1]


def test_a_page_that_runs_well_is_served_through_crashes_that_it_did_not_cause():
    """Guards against refusing a page that many read once three of its targets crash (CONFIG)."""
    quarantine = make_quarantine()
    run_well(quarantine, "page")
    crash(quarantine, "page", "t1", "t2", "t3", "t4")
    assert not quarantine.is_quarantined("page", now=0.5)
    assert [report.target for report in run_well(quarantine, "page")] == ["t1", "t2", "t3", "t4"]
    assert not quarantine.is_quarantined("page", now=PROBATION_S + 1.0)


def test_runs_before_the_crashes_refute_nothing():
    """Guards against a request that is sent on because it ran well until it began to crash."""
    quarantine = make_quarantine()
    run_well(quarantine, "bad", count=1_000)
    crash(quarantine, "bad", "t1", "t2", "t3")
    assert quarantine.is_quarantined("bad", now=PROBATION_S)


def test_probation_does_not_begin_again_with_each_crash():
    """Guards against a request that crashes targets for as long as it does so often enough."""
    quarantine = make_quarantine()
    run_well(quarantine, "bad")
    for number in range(10):
        crash(quarantine, "bad", f"t{number}", now=0.1 * number)
    assert quarantine.is_quarantined("bad", now=0.2 + PROBATION_S)


def test_a_request_that_never_ran_well_is_refused_at_once_beside_a_page_that_does():
    """Guards against probation for a request that crashes all targets that run it (BUDGET)."""
    quarantine = make_quarantine()
    run_well(quarantine, "page")
    for number in range(LIMIT):
        crash(quarantine, "bad", f"t{number}")
        crash(quarantine, "page", f"t{number}")
        run_well(quarantine, "page")
    assert quarantine.is_quarantined("bad", now=0.0)
    assert quarantine.crash_count("page", now=0.0) == 0


@pytest.mark.parametrize("removed", [0, 1, 2, 3])
def test_a_crash_that_another_vm_refuted_does_not_count(removed):
    """Guards against counting crashes whose reports were withdrawn from the store."""
    quarantine = make_quarantine()
    crash(quarantine, "page", "t1", "t2", "t3")
    for number in range(removed):
        quarantine.remove_crash("page", f"t{number + 1}")
    assert quarantine.crash_count("page", now=0.0) == LIMIT - removed
    assert quarantine.is_quarantined("page", now=0.0) == (removed == 0)
    assert len(quarantine.reports()) == LIMIT - removed
