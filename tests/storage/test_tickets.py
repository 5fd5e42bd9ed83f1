"""Acceptance of tickets with every call to the platform cut, and damaged snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaybank.steering.tickets import EMPTY
from carawaybank.storage.tickets import Accepted, TicketStore, read_snapshot
from carawaybank.verdicts import MayHaveRun, NotRun, Reason
from standins.platform import Platform
from tests.fakes import FailurePlan, FakeObjects, FakeTable

MOST_CALLS = 7


def ticket(number, author="mori", **tables):
    return {"number": number, "author": author, "reason": "test", **tables}


def store(platform, plan=None):
    table = FakeTable(platform=platform, plan=plan)
    return TicketStore(table=table, objects=FakeObjects(platform=platform))


def accept(platform, *tickets):
    for document in tickets:
        assert isinstance(store(platform).submit(document, accepted_at=0.0), Accepted)


def test_tickets_are_accepted_in_order():
    platform = Platform()
    accept(platform, ticket(1), ticket(2))
    assert store(platform).head() == 2
    assert store(platform).load_state().number == 2


@pytest.mark.parametrize("number", [0, 1, 3, 17])
def test_a_gap_or_duplicate_is_refused_and_changes_nothing(number):
    platform = Platform()
    accept(platform, ticket(1))
    result = store(platform).submit(ticket(number, author="sato"), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert store(platform).head() == 1


def test_the_same_command_repeated_is_recognized():
    platform = Platform()
    accept(platform, ticket(1))
    again = store(platform).submit(ticket(1), accepted_at=9.0)
    assert again == Accepted(1, repeated=True)


def test_the_loser_of_a_race_is_told_who_won():
    platform = Platform()

    class RacingTable(FakeTable):
        def commit(self, writes):
            rival = FakeTable(platform=platform)
            TicketStore(table=rival, objects=FakeObjects(platform=platform)).submit(
                ticket(1, author="sato"), accepted_at=0.0
            )
            return super().commit(writes)

    racing = TicketStore(
        table=RacingTable(platform=platform), objects=FakeObjects(platform=platform)
    )
    result = racing.submit(ticket(1), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.TICKET_RACE_LOST
    assert "sato" in result.detail


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("call", range(MOST_CALLS))
def test_every_cut_is_told_truly_and_repeats_safely(call, when):
    platform = Platform()
    accept(platform, ticket(1))
    plan = FailurePlan(**{when: [call]})
    result = store(platform, plan).submit(ticket(2), accepted_at=0.0)
    written = "tickets/number/000000000002" in platform.rows
    if isinstance(result, Accepted):
        assert written
    if isinstance(result, NotRun):
        assert not written
    assert isinstance(store(platform).submit(ticket(2), accepted_at=0.0), Accepted)
    assert store(platform).head() == 2


@pytest.mark.parametrize("when", ["before", "after"])
def test_an_undecidable_answer_is_unknown_not_refused(when):
    platform = Platform()
    accept(platform, ticket(1))
    counting = FailurePlan()
    same = Platform()
    accept(same, ticket(1))
    store(same, counting).submit(ticket(2), accepted_at=0.0)
    commit = counting.calls - 1
    plan = FailurePlan(before=[commit + 1], **({"after": [commit]} if when == "after" else {}))
    if when == "before":
        plan.before.add(commit)
    result = store(platform, plan).submit(ticket(2), accepted_at=0.0)
    assert isinstance(result, MayHaveRun)
    assert result.reason is Reason.PLATFORM_UNKNOWN


@given(faults=st.sets(st.tuples(st.integers(0, 30), st.booleans()), max_size=8))
def test_submissions_under_any_faults_never_lie(faults):
    platform = Platform()
    plan = FailurePlan(
        before=[call for call, after in faults if not after],
        after=[call for call, after in faults if after],
    )
    number = 1
    for _ in range(5):
        result = store(platform, plan).submit(ticket(number), accepted_at=0.0)
        key = f"tickets/number/{number:012d}"
        if isinstance(result, Accepted):
            assert key in platform.rows
            number += 1
        elif isinstance(result, NotRun):
            assert key not in platform.rows
    head = platform.rows.get("tickets/head", {"value": 0})["value"]
    assert head == sum(key.startswith("tickets/number/") for key in platform.rows)


def test_a_damaged_snapshot_is_noticed_and_the_one_before_used():
    platform = Platform()
    accept(platform, ticket(1, regions={"sask": {"utilisation": 0.9}}))
    tickets = store(platform)
    tickets.write_snapshot(tickets.load_state())
    accept(platform, ticket(2), ticket(3))
    tickets.write_snapshot(tickets.load_state())
    newest = max(platform.objects)
    platform.objects[newest] = platform.objects[newest][:-1]
    state = tickets.load_state()
    assert state.number == 3
    assert "sask" in state.regions


@pytest.mark.parametrize("cut", range(0, 25, 3))
def test_a_partial_snapshot_is_never_taken(cut):
    platform = Platform()
    store(platform).write_snapshot(EMPTY._replace(number=5))
    (key,) = platform.objects
    platform.objects[key] = platform.objects[key][:cut]
    with pytest.raises(Exception, match="damaged"):
        read_snapshot(platform.objects.get, key)


def test_a_cold_start_reads_one_object_and_a_tail():
    platform = Platform()
    for number in range(1, 61):
        accept(platform, ticket(number))
        if number % 20 == 0:
            store(platform).write_snapshot(store(platform).load_state())
    plan = FailurePlan()
    assert store(platform, plan).load_state().number == 60
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
def test_a_wrong_ticket_is_refused_with_its_fault(tables, fault):
    result = store(Platform()).submit(ticket(1, **tables), accepted_at=0.0)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.TICKET_REFUSED
    assert fault in result.detail
