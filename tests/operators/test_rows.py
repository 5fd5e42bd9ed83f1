"""Orders of operators as they come from the store."""

import json

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.operators.rows import OperatorRows
from carawaybank.platform import decoding
from carawaybank.rows import Row
from carawaybank.watch import Changes
from tests.routing.builders import make_router


def make_rows(lines=None):
    router = make_router()
    journal = Journal(vm="vm-1", write=(lines if lines is not None else []).append)
    rows = OperatorRows(
        router=router, read_row=decoding.read_order, counters=Counters(), journal=journal
    )
    return router, rows


def take(rows, *keys, removed=False, whole=False):
    rows.take(Changes([Row(f"evacuate/{key}", b"", 1, removed) for key in keys], whole, False))


def configuration(version):
    return Row("config", json.dumps({"version": version, "resources": []}).encode(), 1, False)


def test_evacuations_are_added_taken_back_and_replaced_by_a_whole_reading():
    router, rows = make_rows()
    take(rows, "a1", "b1")
    assert router.targets.evacuated == {"a1", "b1"}
    take(rows, "a1", removed=True)
    assert router.targets.evacuated == {"b1"}
    take(rows, whole=True)
    assert router.targets.evacuated == frozenset()


def test_an_older_configuration_never_replaces_a_newer_one():
    router, rows = make_rows()
    for version in ("000000f0", "000000ef", "000000f1"):
        rows.take(Changes([configuration(version)], False, False))
        assert router.configuration.version >= 0xF0
    assert router.configuration.version == 0xF1


def test_a_damaged_configuration_is_passed_over_and_noted():
    lines = []
    router, rows = make_rows(lines)
    before = router.configuration
    rows.take(Changes([Row("config", b"\xff", 1, False)], False, False))
    assert router.configuration is before
    assert b"passed over" in lines[0]
