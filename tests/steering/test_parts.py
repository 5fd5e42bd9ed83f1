"""Properties of the small parts."""

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
from carawaybank.steering.overload import Pressure
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.steering.retries import RetryBudget
from carawaybank.steering.standing import TargetStanding
from carawaybank.steering.tickets import EMPTY
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason

sizes = st.dictionaries(st.text(min_size=1, max_size=3), st.integers(1, 40), max_size=30)


@given(sizes=sizes, share=st.floats(0, 1))
def test_parts_of_a_share_never_exceed_it(sizes, share):
    parts = split(sizes=sizes, share=share)
    assert sum(parts.values()) <= sum(sizes.values()) * share + 1e-6
    assert all(0 <= parts[name] <= size for name, size in sizes.items())
    assert sum(parts.values()) > sum(sizes.values()) * share - 1 - len(sizes) * 1e-6


@given(st.lists(st.sampled_from(["take", "back", "linger", "expire"]), max_size=60))
def test_an_allowance_never_exceeds_its_limit(steps):
    allowance, held, now = Allowance(), 0, 0.0
    for step in steps:
        now += 1
        if step == "take":
            held += allowance.take(limit=3)
        elif step == "back" and held:
            allowance.give_back()
            held -= 1
        elif step == "linger" and held:
            allowance.linger(until=now + 2)
            held -= 1
        elif step == "expire":
            allowance.expire(now)
        assert held <= allowance.in_use <= 3


@given(firsts=st.integers(0, 500), burst=st.integers(0, 10))
def test_extra_attempts_stay_within_the_share(firsts, burst):
    budget = RetryBudget(share=0.1, burst=burst)
    extra = 0
    for _ in range(firsts):
        budget.earn()
        extra += budget.try_spend()
    assert extra <= firsts * 0.1 + burst + 1e-6


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5), st.booleans()), max_size=80))
def test_an_id_starts_once_however_late_it_comes_again(sends):
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


def test_a_full_memory_refuses_instead_of_forgetting():
    memory = RequestMemory(retention_epochs=3, capacity=1)
    assert memory.start(RequestId("vm", 1, 0, "a"), epoch=0) is Admission.STARTED
    assert memory.start(RequestId("vm", 1, 0, "b"), epoch=0) is Admission.FULL
    assert memory.start(RequestId("vm", 1, 0, "a"), epoch=0) is Admission.KNOWN


def test_an_answer_too_large_to_keep_is_still_known_to_have_run():
    memory = RequestMemory(retention_epochs=3, capacity=9, body_limit=4)
    request_id = RequestId("vm", 1, 0, "a")
    memory.start(request_id, epoch=0)
    memory.finish(request_id, Answered(200, body=b"large"))
    assert isinstance(memory.find(request_id), MayHaveRun)


def test_kept_answers_stay_within_their_budget_and_return_it():
    memory = RequestMemory(retention_epochs=1, capacity=99, body_limit=10, body_budget=25)
    for epoch in (0, 9):
        kept = 0
        for number in range(5):
            request_id = RequestId("vm", 1, epoch, str(number))
            memory.start(request_id, epoch=epoch)
            memory.finish(request_id, Answered(200, body=bytes(10)))
            kept += isinstance(memory.find(request_id), Answered)
        assert kept == 2


@given(delay=st.floats(0, 5), drift=st.floats(0.97, 1.03), pause=st.floats(0, 60))
def test_a_taker_never_begins_before_a_paused_holder_has_ended(delay, drift, pause):
    lease, observer = Lease(duration_s=10), LeaseObserver(duration_s=10, guard_s=1)
    asked_at = 100.0
    written_at = asked_at + delay
    lease.renewed(asked_at=asked_at)
    observer.observe(version=1, now=written_at * drift)
    at = written_at + pause
    if observer.has_expired(at * drift):
        assert not lease.is_valid(at)


def test_crash_reports_are_bounded_and_expire():
    quarantine = Quarantine(limit=2, expiry_s=10, capacity=3)
    for number in range(10):
        quarantine.report(CrashReport(f"f{number}", "t", "vm"), now=0)
    assert len(quarantine.reports()) == 3
    quarantine.report(CrashReport("f9", "t2", "vm"), now=1)
    assert quarantine.is_refused("f9", now=5)
    assert not quarantine.is_refused("f9", now=12)
    assert quarantine.reports() == []


def test_retry_after_grows_with_the_excess_and_is_jittered():
    pressure = Pressure(rng=random.Random(1), base_s=0.5, limit_s=30.0, window_s=1.0)
    for _ in range(10):
        pressure.admit(now=0.0)
    light = [pressure.refuse(now=0.0) for _ in range(5)]
    heavy = [pressure.refuse(now=0.0) for _ in range(200)][-5:]
    assert max(light) < min(heavy)
    assert len(set(light)) == 5
    assert pressure.refuse(now=60.0) < 1.6


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
def test_a_log_never_reverts_and_never_skips(steps):
    log, seen = TicketLog(hold_limit_s=1.0), 0
    for now, (step, number) in enumerate(steps):
        if step == "offer":
            log.offer([accepted(number)], now=now)
        elif step == "install":
            log.install(EMPTY._replace(number=number))
        else:
            log.advance(held_by_cell=[number], now=now)
        assert seen <= log.state.number <= log.held
        seen = log.state.number
        assert [t["ticket"]["number"] for t in log.after(seen, limit=50)] == list(
            range(seen + 1, log.held + 1)
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
def test_records_merge_alike_in_any_order(seen, seed):
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
    assert views[0].differing(views[1].bucket_digests()) == []


def test_an_ended_member_that_one_view_forgot_makes_no_difference():
    views = [Membership(own=member("own")) for _ in range(2)]
    for view in views:
        view.merge(member("a"))
        view.merge(member("b"))
        view.merge(member("b", status=Status.DEAD))
    views[0].forget("b")
    assert views[0].digest() == views[1].digest()


def test_an_end_is_final_whatever_version_it_was_seen_at():
    view = Membership(own=member("own"))
    view.merge(member("a"))
    view.merge(member("a", status=Status.DEAD))
    assert not view.merge(member("a", version=3))
    assert view.merge(member("a", incarnation=2))


def test_a_member_that_cleared_itself_still_hears_of_its_end():
    view = Membership(own=member("own"))
    view.merge(member("own", status=Status.SUSPECT))
    view.merge(member("own", status=Status.DEAD))
    assert view.declared_dead


def test_a_suspected_member_clears_itself():
    view = Membership(own=member("own"))
    assert view.merge(member("own", status=Status.SUSPECT))
    assert view.own.status is Status.ALIVE
    assert view.own.version == 1


@given(
    blocks=st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 3), min_size=1, max_size=40),
    address=st.integers(0, 2**32 - 1),
)
def test_a_block_map_finds_what_a_scan_finds(blocks, address):
    sites = ["a", "b", "c", "d"]
    built = BlockMap.build(((str(IPv4Address(s)), i) for s, i in blocks.items()), sites=sites)
    data = built.to_bytes()
    loaded = BlockMap.from_bytes(data, digest=fingerprint(data), sites=sites)
    before = [start for start in blocks if start <= address]
    expected = sites[blocks[max(before)]] if before else None
    assert loaded.find(str(IPv4Address(address))) == expected


def test_a_damaged_block_map_is_noticed():
    data = BlockMap.build([("10.0.0.0", 0)], sites=["a"]).to_bytes()
    with pytest.raises(SnapshotError):
        BlockMap.from_bytes(data[:-1], digest=fingerprint(data), sites=["a"])
    with pytest.raises(SnapshotError):
        BlockMap.from_bytes(data, digest=fingerprint(data), sites=[])


def test_a_target_that_is_ejected_for_days_rests_no_longer_and_ends_nothing():
    standing = TargetStanding(load=None, cold_since=None)
    now = 0.0
    for _ in range(2_000):
        standing.eject(now)
        assert standing.is_ejected(now)
        now += 30.0
        assert not standing.is_ejected(now)
