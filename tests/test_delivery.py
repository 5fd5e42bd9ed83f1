"""Rows that the callback of a table fails on."""

import json

from carawaybank.counters import Counters
from carawaybank.delivery import Delivery
from carawaybank.journal import Journal
from carawaybank.rows import Row, TableUpdate


class World:
    """A table whose rows with the value ``bad`` make its callback fail."""

    def __init__(self):
        self.lines, self.rows = [], {}
        self.counters = Counters()
        self.delivery = Delivery(
            on_update=self.apply,
            table="servers",
            on_set_aside=self.counters.count_rejected_row,
            journal=Journal(vm="vm-1", write=self.lines.append),
        )

    def apply(self, update):
        if update.is_full:
            self.rows.clear()
        for row in update.rows:
            if row.value.startswith(b"bad"):
                raise KeyError(row.value.decode()[:4])
            self.rows[row.key] = row.value

    def publish(self, is_full=False, **values):
        rows = [Row(key, value.encode(), 1, False) for key, value in values.items()]
        self.delivery.publish(TableUpdate(rows, is_full=is_full, after_outage=False))

    @property
    def events(self):
        return [
            (line["event"], line.get("row"), line["reason"]) for line in map(json.loads, self.lines)
        ]


def test_a_poisoned_row_is_logged_once_counted_and_the_others_are_applied():
    """Guards against a row, written each second, that uses up the rate limit of log lines."""
    world = World()
    for number in range(50):
        world.publish(a=f"a{number}", x="bad", z=f"z{number}")
    assert world.rows == {"a": b"a49", "z": b"z49"}
    assert world.events == [("row not taken", "x", "KeyError('bad')")]
    assert world.counters.rejected_rows() == {"servers": 50}


def test_a_row_that_fails_in_another_way_or_again_is_logged_again():
    world = World()
    for value in ("bad1", "bad1", "bad2", "sound", "bad2"):
        world.publish(x=value)
    assert [reason for _, _, reason in world.events] == [
        "KeyError('bad1')",
        "KeyError('bad2')",
        "KeyError('bad2')",
    ]
    assert world.rows == {"x": b"sound"}


def test_a_full_update_without_a_poisoned_row_removes_what_is_gone():
    world = World()
    world.publish(a="1", b="2", x="bad")
    world.publish(is_full=True, a="3", x="bad")
    assert world.rows == {"a": b"3"}
    assert len(world.events) == 1
    world.publish(is_full=True, a="4")
    world.publish(x="bad")
    assert len(world.events) == 2


def test_an_update_that_fails_as_a_whole_is_logged():
    """Guards against changes that are lost without a trace, as each row alone is sound."""
    world = World()

    def fail(update):
        if len(update.rows) > 1:
            raise ValueError("too many")

    delivery = Delivery(
        on_update=fail, table="servers", journal=Journal(vm="v", write=world.lines.append)
    )
    rows = [Row(key, b"", 1, False) for key in "ab"]
    delivery.publish(TableUpdate(rows, is_full=False, after_outage=False))
    assert world.events == [("changes not taken", None, "ValueError('too many')")]
