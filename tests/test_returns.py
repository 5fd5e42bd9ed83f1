"""A store that returns from a copy of some seconds ago, in a new era."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaybank.callers.requests import CallerRequest
from carawaybank.history import History
from carawaybank.rows import HistoryGoneError, Position, Row, Rows, StoreError
from carawaybank.siblings import tables
from carawaybank.siblings.tables import TABLE_PATH, TableServer
from tests.siblings.test_sources import Fleet
from tests.store_world import RECOVERY_S, beat, play, until


def test_what_is_written_after_a_return_is_read_although_its_version_is_lower():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        copy = world.store.copy()
        for number in range(2, 6):
            await world.store.put("servers", f"t{number}", beat(number))
        await until(lambda: len(world.targets) == 5)
        world.store.return_from(copy)
        await world.store.put("servers", "t9", beat(9))
        await until(lambda: "t9" in world.targets)
        assert world.watch.changed_at == Position(2, copy.version + 1)
        assert world.saw("returned from a copy")

    play(scenario)


def test_a_target_that_the_copy_lacks_stays_if_it_announces_itself_again():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        copy = world.store.copy()
        await world.store.put("servers", "t2", beat(2))
        await world.store.put("servers", "t3", beat(3))
        await until(lambda: len(world.targets) == 3)
        world.store.return_from(copy)
        await until(lambda: world.saw("returned from a copy"))
        assert world.targets == {"t1", "t2", "t3"}
        await world.store.put("servers", "t2", beat(2, seq=2))
        await until(lambda: world.targets == {"t1", "t2"})
        await asyncio.sleep(2 * RECOVERY_S)
        assert world.targets == {"t1", "t2"}

    play(scenario)


def test_a_target_that_left_is_not_used_again_because_the_copy_holds_it():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await world.store.put("servers", "t2", beat(2, seq=7))
        await until(lambda: world.targets == {"t1", "t2"})
        copy = world.store.copy()
        await world.store.put("servers", "t1", beat(1, state="draining", seq=2))
        await world.store.drop("servers", "t2")
        await until(lambda: world.targets == {"t1"})
        world.store.return_from(copy)
        await until(lambda: world.saw("outdated entry passed over"))
        assert world.usable() == set()
        await world.store.put("servers", "t2", beat(2, seq=8))
        await until(lambda: world.usable() == {"t2"})

    play(scenario)


def test_a_target_that_is_still_announced_when_the_store_has_settled_is_used():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        copy = world.store.copy()
        await world.store.drop("servers", "t1")
        await until(lambda: not world.targets)
        world.store.return_from(copy)
        await until(lambda: world.saw("outdated entry passed over"))
        assert not world.targets
        await until(lambda: world.targets == {"t1"})
        assert world.saw('"settled"')

    play(scenario)


def test_a_return_while_the_store_is_dark_and_two_in_a_row():
    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        copy = world.store.copy()
        await world.store.put("servers", "t2", beat(2))
        await until(lambda: len(world.targets) == 2)
        world.store.fail(503)
        await until(lambda: world.saw('"lost"'))
        world.store.return_from(copy)
        await asyncio.sleep(0.1)
        world.store.return_from(copy)
        world.store.fail(0)
        await world.store.put("servers", "t3", beat(3))
        await until(lambda: {"t1", "t3"} <= world.targets)
        assert world.watch.changed_at.era == 3

    play(scenario)


def test_a_version_that_the_copy_does_not_have_leads_to_a_whole_reading():
    async def scenario(world):
        copy = world.store.copy()
        for number in range(1, 4):
            await world.store.put("servers", f"t{number}", beat(number))
        await until(lambda: len(world.targets) == 3)
        world.store.era = 0  # a store that does not say that it returned
        world.store.return_from(copy)
        world.store.era = 2
        await until(lambda: world.saw("history gone"))
        await until(lambda: world.saw("returned from a copy"))

    play(scenario)


class Reader:
    """Answers with scripted rows."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def read(self, table):
        return self._next()

    async def watch(self, table, *, after, wait_s):
        return self._next()

    def _next(self):
        if not self.answers:
            raise StoreError(message="no more answers")
        return self.answers.pop(0)


def rows(version, era, *keys):
    return Rows([Row(key, b"{}", version, False) for key in keys], version, era=era)


def test_a_delayed_answer_of_an_older_era_is_not_believed():
    async def scenario(world):
        updates = []
        watch = world.make_watch("odd", updates.append)
        reader = Reader(rows(5, 2, "a"), rows(9, 1, "old"), rows(6, 2, "b"))
        await watch._poll_once(reader)
        with pytest.raises(StoreError, match="older era"):
            await watch._poll_once(reader)
        await watch._poll_once(reader)
        assert set(watch._rows) == {"a", "b"}
        assert watch.changed_at == Position(2, 6)

    play(scenario)


def test_a_sibling_of_an_older_era_is_not_believed():
    async def scenario(world):
        watch = world.make_watch("odd", lambda changes: None)
        watch.compare(Position(3, 1))
        await watch._poll_once(Reader(rows(5, 2, "a")))
        assert watch.is_lagging
        await watch._poll_once(Reader(rows(1, 3, "b")))
        await watch._poll_once(Reader(rows(1, 3, "b")))
        assert set(watch._rows) == {"b"}
        watch._needs_whole = True
        with pytest.raises(StoreError, match="less than is known"):
            await watch._poll_once(Reader(rows(99, 2, "a")))

    play(scenario)


def test_followers_of_a_history_are_sent_to_a_whole_reading_by_a_new_era():
    async def run():
        history = History()
        history.add(rows(5, 1, "a"))
        waiting = asyncio.create_task(history.changes_since(Position(1, 5), wait_s=5.0))
        await asyncio.sleep(0)
        history.add(rows(3, 2, "b"))
        with pytest.raises(HistoryGoneError):
            await waiting
        history.add(rows(4, 2, "c"))
        found = await history.changes_since(Position(2, 3), wait_s=0.0)
        assert [row.key for row in found.rows] == ["c"]

    asyncio.run(run())


STEPS = st.lists(
    st.sampled_from(["write", "remove", "copy", "return", "dark", "light", "pause"]),
    min_size=4,
    max_size=14,
)


@settings(max_examples=12, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_all_vms_follow_the_newest_era_and_none_goes_back(steps):
    async def scenario(world):
        async with Fleet(world=world) as fleet:
            store, copy = world.store, world.store.copy()
            reached = {vm.record.vm: vm.watch.changed_at for vm in fleet.vms}
            for number, step in enumerate([*steps, "light"]):
                if step == "write":
                    await store.put("servers", f"t{number % 5}", beat(number, seq=number))
                elif step == "remove":
                    await store.drop("servers", f"t{number % 5}")
                elif step == "copy":
                    copy = store.copy()
                elif step == "return":
                    store.return_from(copy)
                elif step in {"dark", "light"}:
                    store.fail(503 if step == "dark" else 0)
                await asyncio.sleep(0.1 if step == "pause" else 0.02)
                for vm in fleet.vms:
                    assert vm.watch.changed_at >= reached[vm.record.vm]
                    reached[vm.record.vm] = vm.watch.changed_at
            await store.put("servers", "last", beat(99))
            held = {key for table, key in store.rows if table == "servers"}
            await fleet.until_all_have(held, timeout_s=5.0)
            assert {vm.watch.changed_at.era for vm in fleet.vms} == {store.era}

    play(scenario)


def test_siblings_are_served_while_the_table_is_read_anew():
    """Readers that turned their followers away would send all of them to the store at once."""

    async def scenario(world):
        await world.store.put("servers", "t1", beat(1))
        await until(lambda: world.targets == {"t1"})
        server = TableServer(watches=[world.watch])
        world.store.fail(503)
        world.store.forget_history()
        world.store.era += 1
        world.watch._needs_whole = True
        await until(lambda: world.saw('"lost"'))
        request = CallerRequest("GET", f"{TABLE_PATH}?name=servers", [], b"")
        reply = await server.answer(request)
        assert reply.status == 200
        assert [row.key for row in tables.decode(reply.body).rows] == ["t1"]

    play(scenario)
