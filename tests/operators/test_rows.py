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


def configuration(version, host="a.example"):
    spec = {
        "host": host,
        "prefix": "/x/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "service": "ledger",
    }
    route = {"resKind": "routes", "metadata": {"name": "r"}, "spec": spec}
    document = {"version": version, "resources": [route]}
    return Row("config", json.dumps(document).encode(), 1, False)


def in_force(router):
    return router.configuration.version, router.configuration.routes[0].host


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


def copy_of(*rows, era=2):
    return Changes(list(rows), whole=True, after_outage=True, is_copy=True, era=era)


def change_of(*rows, era=2):
    return Changes(list(rows), whole=False, after_outage=False, era=era)


def settled(*rows, era=2):
    return Changes(list(rows), whole=True, after_outage=False, era=era)


def lose_a_configuration():
    """Returns a router with version 0xf2 in force, of which the store's copy has 0xf0."""
    router, rows = make_rows()
    for version in ("000000f0", "000000f1", "000000f2"):
        rows.take(change_of(configuration(version), era=1))
    rows.take(copy_of(configuration("000000f0")))
    assert router.configuration.version == 0xF2
    return router, rows


def test_what_is_in_force_stays_when_the_store_returns_from_an_older_copy():
    router, rows = lose_a_configuration()
    for version in ("000000f1", "000000f2"):
        rows.take(change_of(configuration(version)))
        assert router.configuration.version == 0xF2
    rows.take(change_of(configuration("000000f3")))
    assert router.configuration.version == 0xF3
    rows.take(change_of(configuration("000000f2", "b.example")))
    assert router.configuration.version == 0xF3


def test_other_content_under_a_version_that_was_used_before_the_return_is_in_force_at_once():
    router, rows = lose_a_configuration()
    rows.take(change_of(configuration("000000f1", "b.example")))
    assert in_force(router) == (0xF1, "b.example")
    rows.take(change_of(configuration("000000f0")))
    assert in_force(router) == (0xF1, "b.example")


def test_a_lost_configuration_that_nobody_writes_again_ends_when_the_store_has_settled():
    router, rows = lose_a_configuration()
    rows.take(settled(configuration("000000f0")))
    assert router.configuration.version == 0xF0


def test_an_evacuation_that_the_copy_lacks_stays_until_the_store_has_settled():
    router, rows = make_rows()
    take(rows, "a1")
    rows.take(copy_of(Row("evacuate/b1", b"", 1, False)))
    assert router.targets.evacuated == {"a1", "b1"}
    rows.take(change_of(Row("evacuate/b1", b"", 2, True)))
    assert router.targets.evacuated == {"a1"}
    rows.take(settled())
    assert router.targets.evacuated == frozenset()
