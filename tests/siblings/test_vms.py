"""Entry VMs that look-ups list while heartbeats are lost and VMs start and stop."""

from carawaybank.siblings.liveness import HEARTBEAT_TIMEOUT_S, REPORT_VALIDITY_S, DomainReport
from carawaybank.siblings.vms import VmDirectory, VmRecord


def make_record(name, *, domain="a1", region="a", incarnation=1, stopping=False):
    return VmRecord(name, f"{name}:1", f"{name}:2", domain, region, incarnation, stopping)


def make_directory(*others, now=0.0):
    vms = VmDirectory(own=make_record("own"))
    for other in others:
        vms.update(other, now=now)
    return vms


def heartbeat(name, *, incarnation=1, stopping=False, reports=None):
    own = make_record(name, incarnation=incarnation, stopping=stopping)
    return VmDirectory(own=own).make_heartbeat({}, reports)


def listed_names(vms, domain="a1", region="a", *, now):
    return {record.vm for record in vms.select_for_caller(domain, region, now=now)}


def test_nearest_vms_are_listed_and_region_if_too_few():
    """Callers must stay near, but need a second VM if one fails."""
    vms = make_directory(
        make_record("x"), make_record("y", domain="a2"), make_record("z", domain="b1", region="b")
    )
    assert listed_names(vms, now=0.0) == {"own", "x"}
    assert listed_names(vms, "a2", now=0.0) == {"own", "x", "y"}
    assert listed_names(vms, "b1", "b", now=0.0) == {"z"}
    assert listed_names(vms, "c1", "c", now=0.0) == {"own", "x", "y", "z"}


def test_vm_without_heartbeats_is_not_listed_while_others_are_heard_from():
    """Guards against sending callers to a VM that has failed."""
    vms = make_directory(make_record("x"), make_record("y"))
    later = HEARTBEAT_TIMEOUT_S + 0.5
    vms.record_heartbeat(heartbeat("y"), now=later)
    assert listed_names(vms, now=later) == {"own", "y"}


def test_vm_that_hears_from_no_other_lists_all():
    """A VM that is isolated itself must not consider all others failed."""
    vms = make_directory(make_record("x"), make_record("y"))
    assert listed_names(vms, now=100.0) == {"own", "x", "y"}


def test_vms_of_other_failure_domains_are_listed_while_valid_report_has_them():
    """VMs of other failure domains send no heartbeats here; only their readers' reports count.

    A report that is too old must not keep them listed.
    """
    vms = make_directory(
        make_record("x"), *(make_record(name, domain="b1", region="b") for name in "yz")
    )
    later = HEARTBEAT_TIMEOUT_S + 0.5
    vms.record_heartbeat(
        heartbeat("x", reports={"b1": [DomainReport("z", 0.5, ("y",))]}), now=later
    )
    assert listed_names(vms, "b1", "b", now=later) == {"z"}
    vms.record_heartbeat(heartbeat("x", reports={"b1": [DomainReport("w", 0.1, ())]}), now=later)
    assert listed_names(vms, "b1", "b", now=later) == {"y", "z"}
    expired_at = later + REPORT_VALIDITY_S
    vms.record_heartbeat(heartbeat("x"), now=expired_at)
    assert listed_names(vms, "b1", "b", now=expired_at) == {"own", "x"}


def test_vm_is_not_listed_when_absent_from_all_reports():
    """Guards against an earlier report keeping a failed VM listed after its reader's next one."""
    vms = make_directory(make_record("x"), make_record("y"))
    later = HEARTBEAT_TIMEOUT_S + 0.5
    vms.record_heartbeat(heartbeat("x", reports={"a1": [DomainReport("x", 0.0, ())]}), now=later)
    assert listed_names(vms, now=later) == {"own", "x", "y"}
    vms.record_heartbeat(
        heartbeat("x", reports={"a1": [DomainReport("x", 0.0, ("y",))]}), now=later + 0.6
    )
    assert listed_names(vms, now=later + 0.6) == {"own", "x"}


def test_ended_reader_is_not_listed_because_of_its_own_last_report():
    """A reader never lists itself as absent, and its last report is valid for longer than others
    need to notice its end. Without another reader, its report is all that is known of it.
    """
    vms = make_directory(make_record("x"), make_record("y"), make_record("z", domain="b1"))
    last = {"a1": [DomainReport("y", 0.0, ())], "b1": [DomainReport("z", 0.0, ())]}
    vms.record_heartbeat(heartbeat("y", reports=last), now=1.0)
    later = 1.0 + HEARTBEAT_TIMEOUT_S + 0.2
    vms.record_heartbeat(heartbeat("x", reports={"a1": [DomainReport("x", 0.0, ())]}), now=later)
    assert listed_names(vms, now=later) == {"own", "x", "y"}
    absent = {"a1": [DomainReport("x", 0.0, ("y",))]}
    vms.record_heartbeat(heartbeat("x", reports=absent), now=later + 0.1)
    assert listed_names(vms, now=later + 0.1) == {"own", "x"}
    assert "z" in {record.vm for record in vms._candidates(later + 0.1)}


def test_stopping_vm_is_not_listed_until_restart():
    """A late heartbeat of the stopping incarnation must not list it again."""
    vms = make_directory(make_record("x"))
    assert vms.record_heartbeat(heartbeat("x", stopping=True), now=1.0) is not None
    assert listed_names(vms, now=1.0) == {"own"}
    vms.record_heartbeat(heartbeat("x"), now=1.1)
    assert listed_names(vms, now=1.1) == {"own"}
    vms.record_heartbeat(heartbeat("x", incarnation=2), now=2.0)
    assert listed_names(vms, now=2.0) == {"own", "x"}


def test_removed_row_of_vm_that_is_heard_from_changes_nothing():
    """Guards against dropping a live VM because its row is removed, before its heartbeats stop."""
    vms = make_directory(make_record("x"))
    vms.remove("x", now=0.5, has_ended=True)
    assert listed_names(vms, now=0.5) == {"own", "x"}
    vms.remove("x", now=HEARTBEAT_TIMEOUT_S + 1, has_ended=True)
    assert listed_names(vms, now=HEARTBEAT_TIMEOUT_S + 1) == {"own"}


def test_stopping_vm_does_not_list_itself():
    """Guards against sending new callers to this VM while it shuts down."""
    vms = make_directory(make_record("x"))
    vms.stop()
    assert listed_names(vms, now=0.0) == {"x"}


def test_ended_vm_is_listed_with_any_other_incarnation():
    """A step of the clock may give a restarted VM a lower incarnation than the ended one.

    The ended incarnation itself must not be listed again.
    """
    vms = make_directory(make_record("x"))
    vms.remove("x", now=HEARTBEAT_TIMEOUT_S + 1, has_ended=True)
    later = HEARTBEAT_TIMEOUT_S + 2
    vms.update(make_record("x"), now=later)
    assert listed_names(vms, now=later) == {"own"}
    vms.remove("x", now=later, has_ended=True)
    vms.update(make_record("x")._replace(incarnation=make_record("x").incarnation - 1), now=later)
    assert listed_names(vms, now=later) == {"own", "x"}


def test_a_vm_that_stops_is_known_as_serving_after_its_registration_is_gone():
    """Guards against refusing the relays of a VM that serves its callers until its stop ends."""
    vms = make_directory(make_record("x"))
    assert vms.find_serving("x", now=0.5) == vms.find("x")
    vms.record_heartbeat(heartbeat("x", stopping=True), now=1.0)
    vms.remove("x", now=1.0, has_ended=True)
    assert vms.find("x") is None
    assert vms.find_serving("x", now=601.0) == make_record("x", stopping=True)
    assert vms.find_serving("x", now=601.1) is None
    assert vms.find_serving("stranger", now=1.0) is None


def _make_reporting(*names, cut_off=()):
    """Returns directories of VMs of one failure domain that know each other."""
    vms = {}
    for name in names:
        record = VmRecord(name, f"{name}:1", f"{name}:2", "a1", "a", 1)
        vms[name] = VmDirectory(own=record)
    for name, directory in vms.items():
        for other in names:
            directory.update(vms[other].own, now=0.0)
        directory.set_cut_off(name in cut_off)
    return vms


def _pass_report(sender, receiver, *, now, is_reader):
    reports = sender.cut_off_reports(now=now, is_reader=is_reader)
    receiver.record_heartbeat(sender.make_heartbeat({}, reports), now=now)


def test_a_vm_that_reaches_no_targets_is_listed_only_where_no_other_is():
    """Guards against look-ups that list a VM because its process answers."""
    vms = _make_reporting("v1", "v2", "v3", cut_off={"v1"})
    _pass_report(vms["v1"], vms["v2"], now=1.0, is_reader=False)
    _pass_report(vms["v2"], vms["v3"], now=1.1, is_reader=True)
    for name in ("v1", "v2", "v3"):
        if name == "v1":
            _pass_report(vms["v2"], vms["v1"], now=1.1, is_reader=True)
        listed = vms[name].select_for_caller("a1", "a", now=1.2)
        assert {record.vm for record in listed} == {"v2", "v3"}
    for directory in vms.values():
        directory.set_cut_off(True)
    assert len(vms["v1"].select_for_caller("a1", "a", now=1.2)) >= 1


def test_the_end_of_a_cut_reaches_siblings_with_the_next_reports():
    vms = _make_reporting("v1", "v2", "v3", cut_off={"v1"})
    _pass_report(vms["v1"], vms["v2"], now=1.0, is_reader=False)
    _pass_report(vms["v2"], vms["v3"], now=1.1, is_reader=True)
    assert vms["v3"].cut_off_vms(now=1.2) == {"v1"}
    vms["v1"].set_cut_off(False)
    _pass_report(vms["v1"], vms["v2"], now=1.3, is_reader=False)
    _pass_report(vms["v2"], vms["v3"], now=1.4, is_reader=True)
    assert vms["v3"].cut_off_vms(now=1.5) == set()


def test_callers_of_a_route_with_homes_are_not_led_to_other_regions():
    """Guards against bodies that go to VMs outside the regions of their route."""
    vms = _make_reporting("v1", cut_off={"v1"})
    directory = vms["v1"]
    for name, region in (("b", "b"), ("c", "c")):
        directory.update(VmRecord(name, f"{name}:1", f"{name}:2", region, region, 1), now=0.0)
    listed = directory.select_for_caller("a1", "a", now=1.0)
    assert {record.vm for record in listed} == {"b", "c"}
    listed = directory.select_for_caller("a1", "a", now=1.0, allowed_regions={"b"})
    assert {record.vm for record in listed} == {"b"}
    listed = directory.select_for_caller("a1", "a", now=1.0, allowed_regions={"a"})
    assert {record.vm for record in listed} == {"v1"}


def test_a_report_from_the_future_counts_as_one_that_is_made_now():
    """Guards against a report that never expires, and in whose place no later one is used."""
    vms = make_directory(make_record("x"), make_record("y", domain="b1"), now=-100.0)
    for age_s in (-1e18, -5.0):
        reports = {"b1": [DomainReport("z", age_s, ("y",))]}
        vms.record_heartbeat(heartbeat("x", reports=reports), now=0.0)
    assert not vms.is_alive(make_record("y", domain="b1"), now=0.1)
    vms.record_heartbeat(heartbeat("x", reports={"b1": [DomainReport("z", 0.0, ())]}), now=0.5)
    assert vms.is_alive(make_record("y", domain="b1"), now=0.5)
    later = 0.5 + REPORT_VALIDITY_S + 0.1
    assert not vms.has_report(make_record("y", domain="b1"), now=later)


def test_a_reader_that_restarted_does_not_vouch_for_vms_that_it_has_not_heard():
    """Guards against two sides of a cut that each count VMs of the other one as present."""
    lost = make_record("x")
    reader = make_directory(lost)
    other = VmDirectory(own=make_record("other", domain="a2"))
    for record in (reader.own, lost):
        other.update(record, now=0.0)
    now = HEARTBEAT_TIMEOUT_S
    assert reader.own in reader.readers(now=now)
    reports = reader.state_reports(now=now, is_reader=True)
    reports["a1"] = [reader.own_report(now=now)]
    other.record_heartbeat(reader.make_heartbeat({}, reports), now=now)
    assert other.is_alive(lost, now=now)
    assert not other.is_present(lost, now=now)
    reader.record_heartbeat(heartbeat("x"), now=now)
    reports = reader.state_reports(now=now, is_reader=True)
    later = now + 0.6
    reports["a1"] = [reader.own_report(now=later)]
    other.record_heartbeat(reader.make_heartbeat({}, reports), now=later)
    assert other.is_present(lost, now=later)
