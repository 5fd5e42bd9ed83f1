"""Properties of the building blocks of the decision core."""

import random
from ipaddress import IPv4Address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank.exceptions import SnapshotError
from carawaybank.steering.allowances import Allowance, split
from carawaybank.steering.blocks import BlockMap
from carawaybank.steering.deduplication import Admission, RequestId, RequestMemory
from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.hashing import fingerprint
from carawaybank.steering.leases import Lease, LeaseObserver
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.overload import DemandPressure
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.steering.retries import RetryBudget
from carawaybank.steering.targetstate import TargetState
from carawaybank.steering.tickets import EMPTY_STATE
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

sizes = st.dictionaries(st.text(min_size=1, max_size=3), st.integers(1, 40), max_size=30)


@given(sizes=sizes, share=st.floats(0, 1))
def test_split_never_exceeds_the_share(sizes, share):
    """Rounding must not make the sum exceed the share, nor fall short of it by a whole unit."""
    parts = split(sizes=sizes, share=share)
    assert sum(parts.values()) <= sum(sizes.values()) * share + 1e-6
    assert all(0 <= parts[name] <= size for name, size in sizes.items())
    assert sum(parts.values()) > sum(sizes.values()) * share - 1 - len(sizes) * 1e-6


@given(st.lists(st.sampled_from(["take", "back", "linger", "expire"]), max_size=60))
def test_allowance_never_exceeds_its_limit(steps):
    """Lingering units count as in use until they expire."""
    allowance, acquired, now = Allowance(), 0, 0.0
    for step in steps:
        now += 1
        if step == "take":
            acquired += allowance.try_acquire(limit=3)
        elif step == "back" and acquired:
            allowance.release()
            acquired -= 1
        elif step == "linger" and acquired:
            allowance.release_at(time=now + 2)
            acquired -= 1
        elif step == "expire":
            allowance.release_expired(now)
        assert acquired <= allowance.in_use <= 3


@given(firsts=st.integers(0, 500), burst=st.integers(0, 10))
def test_retry_budget_never_exceeds_the_share(firsts, burst):
    """The budget permits at most the share of the first attempts, plus the burst."""
    budget = RetryBudget(share=0.1, burst=burst)
    extra = 0
    for _ in range(firsts):
        budget.record_first_attempt()
        extra += budget.try_acquire()
    assert extra <= firsts * 0.1 + burst + 1e-6


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5), st.booleans()), max_size=80))
def test_id_starts_at_most_once_however_late_it_is_sent_again(sends):
    """An id that was forgotten too early would let the same request run twice."""
    memory = RequestMemory(retention_epochs=3, capacity=20)
    started = set()
    for epoch, (epoch_of_id, unique, unrun) in enumerate(sends):
        request_id = RequestId("vm", 1, epoch_of_id, str(unique))
        if memory.start(request_id, epoch=epoch) is Admission.STARTED:
            assert request_id not in started
            if unrun:
                memory.finish(request_id, NotRun(Reason.NO_CAPACITY))
            else:
                started.add(request_id)
                memory.finish(request_id, Answered(200))
        assert memory.size <= 20


def test_full_memory_refuses_new_ids_instead_of_forgetting():
    """Evicting a remembered id would let the same request run twice."""
    memory = RequestMemory(retention_epochs=3, capacity=1)
    assert memory.start(RequestId("vm", 1, 0, "a"), epoch=0) is Admission.STARTED
    assert memory.start(RequestId("vm", 1, 0, "b"), epoch=0) is Admission.FULL
    assert memory.start(RequestId("vm", 1, 0, "a"), epoch=0) is Admission.KNOWN


def test_request_whose_response_is_too_large_to_keep_is_known_to_have_run():
    """The request must not run again only because its response was not kept."""
    memory = RequestMemory(retention_epochs=3, capacity=9, max_body_bytes=4)
    request_id = RequestId("vm", 1, 0, "a")
    memory.start(request_id, epoch=0)
    memory.finish(request_id, Answered(200, body=b"large"))
    assert isinstance(memory.find(request_id), MayHaveRun)


def test_kept_responses_stay_within_the_budget_and_release_it():
    """Expired responses must release their bytes, otherwise no later response could be kept."""
    memory = RequestMemory(
        retention_epochs=1, capacity=99, max_body_bytes=10, max_total_body_bytes=25
    )
    for epoch in (0, 9):
        kept = 0
        for number in range(5):
            request_id = RequestId("vm", 1, epoch, str(number))
            memory.start(request_id, epoch=epoch)
            memory.finish(request_id, Answered(200, body=bytes(10)))
            kept += isinstance(memory.find(request_id), Answered)
        assert kept == 2


@given(delay=st.floats(0, 5), drift=st.floats(0.97, 1.03), pause=st.floats(0, 60))
def test_lease_is_taken_over_only_after_a_paused_holder_lost_it(delay, drift, pause):
    """A holder that was paused, with a clock that drifts, must not act beside its successor."""
    lease, observer = Lease(duration_s=10), LeaseObserver(duration_s=10, guard_s=1)
    sent_at = 100.0
    written_at = sent_at + delay
    lease.record_renewal(sent_at=sent_at)
    observer.observe(version=1, now=written_at * drift)
    at = written_at + pause
    if observer.has_expired(at * drift):
        assert not lease.is_valid(at)


def test_crash_reports_are_bounded_and_expire():
    """Many different crashing requests must not exhaust memory, and a quarantine must end."""
    quarantine = Quarantine(limit=2, expiry_s=10, capacity=3)
    for number in range(10):
        quarantine.add_report(CrashReport(f"f{number}", "t", "vm"), now=0)
    assert len(quarantine.reports()) == 3
    quarantine.add_report(CrashReport("f9", "t2", "vm"), now=1)
    assert quarantine.is_quarantined("f9", now=5)
    assert not quarantine.is_quarantined("f9", now=12)
    assert quarantine.reports() == []


def test_retry_after_grows_with_the_excess_and_is_jittered():
    """Equal Retry-After values would make all refused callers return at the same time."""
    pressure = DemandPressure(
        rng=random.Random(1), base_retry_after_s=0.5, max_retry_after_s=30.0, decay_s=1.0
    )
    for _ in range(10):
        pressure.record_admitted(now=0.0)
    light = [pressure.record_refused(now=0.0) for _ in range(5)]
    heavy = [pressure.record_refused(now=0.0) for _ in range(200)][-5:]
    assert max(light) < min(heavy)
    assert len(set(light)) == 5
    assert pressure.record_refused(now=60.0) < 1.6


def accepted(number):
    return {
        "ticket": {"number": number, "author": "o", "reason": "r"},
        "nonce": str(number),
        "accepted_at": 0.0,
    }


@given(
    steps=st.lists(
        st.tuples(st.sampled_from(["offer", "install", "advance"]), st.integers(1, 12)),
        max_size=40,
    )
)
def test_ticket_log_never_reverts_and_never_skips(steps):
    """Added tickets, snapshots and applied tickets in any order must keep the log contiguous."""
    log, seen = TicketLog(hold_limit_s=1.0), 0
    for now, (step, number) in enumerate(steps):
        if step == "offer":
            log.add([accepted(number)], now=now)
        elif step == "install":
            log.install_snapshot(EMPTY_STATE._replace(number=number))
        else:
            log.apply_held(held_by_cell=[number], now=now)
        assert seen <= log.state.number <= log.highest_held
        seen = log.state.number
        assert [t["ticket"]["number"] for t in log.after(seen, limit=50)] == list(
            range(seen + 1, log.highest_held + 1)
        )


def member(vm, incarnation=1, version=0, status=Status.ALIVE):
    return Member(vm, incarnation, version, status, "fd", "r", "fd", "a", "b")


records = st.builds(
    member,
    st.sampled_from("abc"),
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from(Status),
)


@given(seen=st.lists(records, max_size=12), seed=st.integers(0, 100))
def test_membership_records_merge_alike_in_any_order(seen, seed):
    """Gossip delivers records in different orders; the views must converge nevertheless."""
    shuffled = list(seen)
    random.Random(seed).shuffle(shuffled)
    views = []
    for order in (seen, shuffled):
        view = Membership(own=member("own"))
        for record in order:
            view.merge(record)
        views.append(view)
    assert views[0].all() == views[1].all()
    assert views[0].digest() == views[1].digest()
    assert views[0].records_differing_from(views[1].bucket_digests()) == []


def test_forgotten_dead_member_does_not_change_the_digest():
    """Views would exchange records endlessly if one forgot a dead member earlier than another."""
    views = [Membership(own=member("own")) for _ in range(2)]
    for view in views:
        view.merge(member("a"))
        view.merge(member("b"))
        view.merge(member("b", status=Status.DEAD))
    views[0].forget("b")
    assert views[0].digest() == views[1].digest()


def test_death_of_an_incarnation_is_final():
    """A late record with a higher version must not revive a dead incarnation; a restart may."""
    view = Membership(own=member("own"))
    view.merge(member("a"))
    view.merge(member("a", status=Status.DEAD))
    assert not view.merge(member("a", version=3))
    assert view.merge(member("a", incarnation=2))


def test_member_that_refuted_a_suspicion_still_accepts_its_death():
    """A member with a raised version must still notice that the others declared it dead."""
    view = Membership(own=member("own"))
    view.merge(member("own", status=Status.SUSPECT))
    view.merge(member("own", status=Status.DEAD))
    assert view.is_declared_dead


def test_suspected_member_refutes_the_suspicion():
    """A live member raises its version, so that its record overrides the suspicion."""
    view = Membership(own=member("own"))
    assert view.merge(member("own", status=Status.SUSPECT))
    assert view.own.status is Status.ALIVE
    assert view.own.version == 1


@given(
    blocks=st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 3), min_size=1, max_size=40),
    address=st.integers(0, 2**32 - 1),
)
def test_block_map_look_up_agrees_with_a_linear_scan(blocks, address):
    """The bisection must find the right block at all boundaries, also after packing."""
    sites = ["a", "b", "c", "d"]
    built = BlockMap.build(((str(IPv4Address(s)), i) for s, i in blocks.items()), sites=sites)
    data = built.to_bytes()
    loaded = BlockMap.from_bytes(data, digest=fingerprint(data), sites=sites)
    before = [start for start in blocks if start <= address]
    expected = sites[blocks[max(before)]] if before else None
    assert loaded.find(str(IPv4Address(address))) == expected


def test_damaged_block_map_is_rejected():
    """Truncated data and references to unknown sites raise an error instead of a wrong site."""
    data = BlockMap.build([("10.0.0.0", 0)], sites=["a"]).to_bytes()
    with pytest.raises(SnapshotError):
        BlockMap.from_bytes(data[:-1], digest=fingerprint(data), sites=["a"])
    with pytest.raises(SnapshotError):
        BlockMap.from_bytes(data, digest=fingerprint(data), sites=[])


def test_ejection_time_stays_bounded_for_a_target_that_fails_for_days():
    """Doubling the ejection time without limit overflows after about a thousand ejections."""
    target_state = TargetState(load=None, cold_since=None)
    now = 0.0
    for _ in range(2_000):
        target_state.eject(now)
        assert target_state.is_ejected(now)
        now += 30.0
        assert not target_state.is_ejected(now)
