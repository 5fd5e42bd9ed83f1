"""Acceptance of tickets while any call to the platform fails, and damaged snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank.steering.tickets import EMPTY_STATE
from carawaybank.storage.tickets import Accepted, TicketStore, read_snapshot
from carawaybank.verdicts import MayHaveRun, NotRun, Reason
from standins.platform import SimulatedPlatform
from tests.fakes import FailurePlan, FakeObjects, FakeTable

MAX_CALLS = 7


def make_ticket(number, author="mori", **tables):
    return {"number": number, "author": author, "reason": "test", **tables}


def make_store(platform, plan=None):
    table = FakeTable(platform=platform, plan=plan)
    return TicketStore(table=table, objects=FakeObjects(platform=platform))


def accept_tickets(platform, *tickets):
    for document in tickets:
        assert isinstance(make_store(platform).submit(document, accepted_at=0.0), Accepted)


def test_tickets_are_accepted_in_order():
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1), make_ticket(2))
    assert make_store(platform).last_number() == 2
    assert make_store(platform).load_state().number == 2


@pytest.mark.parametrize("number", [0, 1, 3, 17])
def test_a_gap_or_duplicate_is_rejected_and_changes_nothing(number):
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1))
    result = make_store(platform).submit(make_ticket(number, author="sato"), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert make_store(platform).last_number() == 1


def test_a_repeated_submission_is_recognized():
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1))
    again = make_store(platform).submit(make_ticket(1), accepted_at=9.0)
    assert again == Accepted(1, is_repeated=True)


def test_a_submission_that_loses_a_race_names_the_author_of_the_accepted_ticket():
    """Guards against two accepted tickets with one number.

    Another submission is accepted between the read and the commit of this one.
    """
    platform = SimulatedPlatform()

    class RacingTable(FakeTable):
        def commit(self, writes):
            rival = FakeTable(platform=platform)
            TicketStore(table=rival, objects=FakeObjects(platform=platform)).submit(
                make_ticket(1, author="sato"), accepted_at=0.0
            )
            return super().commit(writes)

    racing = TicketStore(
        table=RacingTable(platform=platform), objects=FakeObjects(platform=platform)
    )
    result = racing.submit(make_ticket(1), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.TICKET_RACE_LOST
    assert "sato" in result.detail


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("call", range(MAX_CALLS))
def test_a_failed_call_gives_a_true_verdict_and_a_safe_repeat(call, when):
    """Guards against a verdict that contradicts the table, and a repeat that is accepted twice.

    Each call to the platform fails once, before or after its effect.
    """
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1))
    plan = FailurePlan(**{when: [call]})
    result = make_store(platform, plan).submit(make_ticket(2), accepted_at=0.0)
    written = "tickets/number/000000000002" in platform.rows
    if isinstance(result, Accepted):
        assert written
    if isinstance(result, NotRun):
        assert not written
    assert isinstance(make_store(platform).submit(make_ticket(2), accepted_at=0.0), Accepted)
    assert make_store(platform).last_number() == 2


@pytest.mark.parametrize("when", ["before", "after"])
def test_an_unresolvable_commit_may_have_run(when):
    """Guards against a rejection of a ticket that the table may have accepted.

    The commit and the read that would resolve its outcome both fail.
    """
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1))
    counting_plan = FailurePlan()
    counted_platform = SimulatedPlatform()
    accept_tickets(counted_platform, make_ticket(1))
    make_store(counted_platform, counting_plan).submit(make_ticket(2), accepted_at=0.0)
    commit = counting_plan.calls - 1
    plan = FailurePlan(before=[commit + 1], **({"after": [commit]} if when == "after" else {}))
    if when == "before":
        plan.before.add(commit)
    result = make_store(platform, plan).submit(make_ticket(2), accepted_at=0.0)
    assert isinstance(result, MayHaveRun)
    assert result.reason is Reason.PLATFORM_UNKNOWN


@given(faults=st.sets(st.tuples(st.integers(0, 30), st.booleans()), max_size=8))
def test_verdicts_match_the_table_under_any_faults(faults):
    platform = SimulatedPlatform()
    plan = FailurePlan(
        before=[call for call, after in faults if not after],
        after=[call for call, after in faults if after],
    )
    number = 1
    for _ in range(5):
        result = make_store(platform, plan).submit(make_ticket(number), accepted_at=0.0)
        key = f"tickets/number/{number:012d}"
        if isinstance(result, Accepted):
            assert key in platform.rows
            number += 1
        elif isinstance(result, NotRun):
            assert key not in platform.rows
    last_number = platform.rows.get("tickets/head", {"value": 0})["value"]
    assert last_number == sum(key.startswith("tickets/number/") for key in platform.rows)


def test_a_damaged_snapshot_is_detected_and_an_earlier_one_is_used():
    platform = SimulatedPlatform()
    accept_tickets(platform, make_ticket(1, regions={"sask": {"utilisation": 0.9}}))
    tickets = make_store(platform)
    tickets.write_snapshot(tickets.load_state())
    accept_tickets(platform, make_ticket(2), make_ticket(3))
    tickets.write_snapshot(tickets.load_state())
    newest = max(platform.objects)
    platform.objects[newest] = platform.objects[newest][:-1]
    state = tickets.load_state()
    assert state.number == 3
    assert "sask" in state.regions


@pytest.mark.parametrize("cut", range(0, 25, 3))
def test_a_truncated_snapshot_is_never_used(cut):
    platform = SimulatedPlatform()
    make_store(platform).write_snapshot(EMPTY_STATE._replace(number=5))
    (key,) = platform.objects
    platform.objects[key] = platform.objects[key][:cut]
    with pytest.raises(Exception, match="damaged"):
        read_snapshot(platform.objects.get, key)


def test_a_cold_start_reads_one_snapshot_and_the_tickets_since():
    """Guards against a start that replays all tickets from the table."""
    platform = SimulatedPlatform()
    for number in range(1, 61):
        accept_tickets(platform, make_ticket(number))
        if number % 20 == 0:
            make_store(platform).write_snapshot(make_store(platform).load_state())
    plan = FailurePlan()
    assert make_store(platform, plan).load_state().number == 60
    assert plan.calls == 1


@pytest.mark.parametrize(
    ("tables", "fault"),
    [
        ({"failure_domains": {"regina": {"region": "nowhere"}}}, "no region nowhere"),
        ({"regions": {"sask": {"utilisation": 1.5}}}, "not in (0, 1]"),
        ({"removed": ["targets/none"]}, "there is no targets/none"),
        ({"removed": ["nothing/none"]}, "KIND/NAME"),
        (
            {
                "targets": {
                    "t": {"service": "s", "failure_domain": "f", "address": "x:1", "slots": 0}
                }
            },
            "not IP:PORT",
        ),
        (
            {
                "services": {"s": {}},
                "regions": {"a": {"utilisation": 1.0}, "b": {"utilisation": 1.0}},
                "shifts": {"x": {"service": "s", "from_region": "a", "to_region": "b", "cap": 1}},
            },
            "above its limit 0",
        ),
    ],
)
def test_an_invalid_ticket_is_rejected_with_its_fault(tables, fault):
    result = make_store(SimulatedPlatform()).submit(make_ticket(1, **tables), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.TICKET_REFUSED
    assert fault in result.detail
