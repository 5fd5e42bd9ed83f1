"""Which entry VMs look-ups name while heartbeats are lost and VMs come and go."""

from carawaybank.siblings.liveness import REPORT_LIMIT_S, SILENCE_LIMIT_S, DomainReport
from carawaybank.siblings.vms import VmDirectory, VmRecord


def record(name, *, domain="a1", region="a", incarnation=1, stopping=False):
    return VmRecord(name, f"{name}:1", f"{name}:2", domain, region, incarnation, stopping)


def directory(*others, now=0.0):
    found = VmDirectory(own=record("own"))
    for other in others:
        found.update(other, now=now)
    return found


def beat(name, *, incarnation=1, stopping=False, reports=None):
    own = record(name, incarnation=incarnation, stopping=stopping)
    return VmDirectory(own=own).make_heartbeat({}, reports)


def names(found, domain="a1", region="a", *, now):
    return {vm.vm for vm in found.find(domain, region, now=now)}


def test_the_nearest_are_named_and_the_region_when_they_are_few():
    found = directory(record("x"), record("y", domain="a2"), record("z", domain="b1", region="b"))
    assert names(found, now=0.0) == {"own", "x"}
    assert names(found, "a2", now=0.0) == {"own", "x", "y"}
    assert names(found, "b1", "b", now=0.0) == {"z"}
    assert names(found, "c1", "c", now=0.0) == {"own", "x", "y", "z"}


def test_a_silent_vm_is_not_named_while_others_are_heard():
    found = directory(record("x"), record("y"))
    later = SILENCE_LIMIT_S + 0.5
    found.record_heartbeat(beat("y"), now=later)
    assert names(found, now=later) == {"own", "y"}


def test_a_vm_that_hears_nobody_names_all():
    found = directory(record("x"), record("y"))
    assert names(found, now=100.0) == {"own", "x", "y"}


def test_vms_of_other_failure_domains_are_named_while_a_report_has_them():
    found = directory(record("x"), *(record(name, domain="b1", region="b") for name in "yz"))
    later = SILENCE_LIMIT_S + 0.5
    found.record_heartbeat(beat("x", reports={"b1": [DomainReport("z", 0.5, ("y",))]}), now=later)
    assert names(found, "b1", "b", now=later) == {"z"}
    found.record_heartbeat(beat("x", reports={"b1": [DomainReport("w", 0.1, ())]}), now=later)
    assert names(found, "b1", "b", now=later) == {"y", "z"}
    gone = later + REPORT_LIMIT_S
    found.record_heartbeat(beat("x"), now=gone)
    assert names(found, "b1", "b", now=gone) == {"own", "x"}


def test_a_vm_that_a_report_had_is_not_named_once_all_reports_miss_it():
    found = directory(record("x"), record("y"))
    later = SILENCE_LIMIT_S + 0.5
    found.record_heartbeat(beat("x", reports={"a1": [DomainReport("x", 0.0, ())]}), now=later)
    assert names(found, now=later) == {"own", "x", "y"}
    found.record_heartbeat(
        beat("x", reports={"a1": [DomainReport("x", 0.0, ("y",))]}), now=later + 0.6
    )
    assert names(found, now=later + 0.6) == {"own", "x"}


def test_a_stopping_vm_is_not_named_until_it_starts_again():
    found = directory(record("x"))
    assert found.record_heartbeat(beat("x", stopping=True), now=1.0) is not None
    assert names(found, now=1.0) == {"own"}
    found.record_heartbeat(beat("x"), now=1.1)
    assert names(found, now=1.1) == {"own"}
    found.record_heartbeat(beat("x", incarnation=2), now=2.0)
    assert names(found, now=2.0) == {"own", "x"}


def test_a_removed_row_of_a_vm_that_is_heard_changes_nothing():
    found = directory(record("x"))
    found.remove("x", now=0.5, has_ended=True)
    assert names(found, now=0.5) == {"own", "x"}
    found.remove("x", now=SILENCE_LIMIT_S + 1, has_ended=True)
    assert names(found, now=SILENCE_LIMIT_S + 1) == {"own"}


def test_this_vm_does_not_name_itself_while_it_stops():
    found = directory(record("x"))
    found.stop()
    assert names(found, now=0.0) == {"x"}


def test_a_vm_that_ended_comes_back_with_another_start_also_after_a_step_of_its_clock():
    found = directory(record("x"))
    found.remove("x", now=SILENCE_LIMIT_S + 1, has_ended=True)
    later = SILENCE_LIMIT_S + 2
    found.update(record("x"), now=later)
    assert names(found, now=later) == {"own"}
    found.remove("x", now=later, has_ended=True)
    found.update(record("x")._replace(incarnation=record("x").incarnation - 1), now=later)
    assert names(found, now=later) == {"own", "x"}
