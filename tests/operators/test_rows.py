"""Operator rows from the store: configurations and evacuations."""

import json

from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.operators.rows import OperatorRows
from carawaybank.platform import decoding
from carawaybank.routing.tenants import digest_key
from carawaybank.rows import Row, TableUpdate
from tests.routing.builders import make_router


def make_operator_rows(log_lines=None):
    router = make_router()
    journal = Journal(vm="vm-1", write=(log_lines if log_lines is not None else []).append)
    rows = OperatorRows(
        router=router, read_row=decoding.read_operator_row, counters=Counters(), journal=journal
    )
    return router, rows


def apply_evacuations(rows, *keys, removed=False, is_full=False):
    rows.apply(
        TableUpdate([Row(f"evacuate/{key}", b"", 1, removed) for key in keys], is_full, False)
    )


def configuration_row(version, host="a.example", keys=None):
    spec = {
        "host": host,
        "prefix": "/x/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "service": "ledger",
    }
    route = {"resKind": "routes", "metadata": {"name": "r"}, "spec": spec}
    resources = [route]
    for name, tenant_keys in (keys or {}).items():
        tenant = {"apiKeys": tenant_keys, "ratePerS": 0.5}
        resources.append({"resKind": "tenants", "metadata": {"name": name}, "spec": tenant})
    document = {"version": version, "resources": resources}
    return Row("config", json.dumps(document).encode(), 1, False)


def configuration_in_force(router):
    return router.configuration.version, router.configuration.routes[0].host


def holder_of(router, key):
    tenant = router.identification.tenants.find(digest_key(key))
    return tenant and tenant.name


def test_a_key_that_was_withdrawn_before_a_restore_stays_withdrawn():
    """Guards against a backup that brings back a key while operators repeat its withdrawal."""
    router, rows = make_operator_rows()
    old = configuration_row("000000f1", keys={"acme": ["k1"]})
    withdrawn = configuration_row("000000f2", keys={"acme": ["k2"]})
    for row in (old, withdrawn):
        rows.apply(TableUpdate([row], False, False))
    assert (holder_of(router, "k1"), holder_of(router, "k2")) == (None, "acme")
    rows.apply(TableUpdate([old], True, False, is_backup=True, era=1))
    assert holder_of(router, "k1") is None
    repeated = configuration_row("000000f2", keys={"acme": ["k3"]})
    rows.apply(TableUpdate([repeated], False, False, era=1))
    assert [holder_of(router, key) for key in ("k1", "k2", "k3")] == [None, None, "acme"]
    rows.apply(TableUpdate([Row("config", b"{", 1, False)], False, False, era=1))
    assert holder_of(router, "k3") == "acme"


def test_the_faults_of_tenants_are_logged_and_the_configuration_is_in_force():
    lines = []
    router, rows = make_operator_rows(lines)
    row = configuration_row("000000f1", keys={"acme": ["secret"], "nord": ["secret"]})
    rows.apply(TableUpdate([row], False, False))
    faults = [json.loads(line) for line in lines if b'"fault"' in line]
    assert [fault["version"] for fault in faults] == [0xF1] * 3
    assert "acme holds it" in faults[0]["reason"]
    assert holder_of(router, "secret") == "acme"
    assert b"secret" not in b"".join(lines)


def test_evacuations_are_added_removed_and_replaced_by_a_full_read():
    router, rows = make_operator_rows()
    apply_evacuations(rows, "a1", "b1")
    assert router.targets.evacuated == {"a1", "b1"}
    apply_evacuations(rows, "a1", removed=True)
    assert router.targets.evacuated == {"b1"}
    apply_evacuations(rows, is_full=True)
    assert router.targets.evacuated == frozenset()


def test_an_older_configuration_never_replaces_a_newer_one():
    """Guards against rows that arrive out of order and put an older version in force."""
    router, rows = make_operator_rows()
    for version in ("000000f0", "000000ef", "000000f1"):
        rows.apply(TableUpdate([configuration_row(version)], False, False))
        assert router.configuration.version >= 0xF0
    assert router.configuration.version == 0xF1


def test_a_damaged_configuration_is_skipped_and_logged():
    """Guards against a row that cannot be decoded and removes the configuration in force."""
    log_lines = []
    router, rows = make_operator_rows(log_lines)
    before = router.configuration
    rows.apply(TableUpdate([Row("config", b"\xff", 1, False)], False, False))
    assert router.configuration is before
    assert b"passed over" in log_lines[0]


def restored_rows(*rows, era=2):
    return TableUpdate(list(rows), is_full=True, after_outage=True, is_backup=True, era=era)


def changed_rows(*rows, era=2):
    return TableUpdate(list(rows), is_full=False, after_outage=False, era=era)


def recovered_rows(*rows, era=2):
    return TableUpdate(list(rows), is_full=True, after_outage=False, era=era)


def restore_without_newest():
    """Returns a router with version 0xf2 in force, and rows restored from a backup with 0xf0."""
    router, rows = make_operator_rows()
    for version in ("000000f0", "000000f1", "000000f2"):
        rows.apply(changed_rows(configuration_row(version), era=1))
    rows.apply(restored_rows(configuration_row("000000f0")))
    assert router.configuration.version == 0xF2
    return router, rows


def test_the_configuration_in_force_stays_when_the_store_is_restored_from_an_older_backup():
    """Guards against routes that disappear for a moment.

    The operators write the lost versions 0xf1 and 0xf2 again; neither may replace 0xf2 meanwhile.
    """
    router, rows = restore_without_newest()
    for version in ("000000f1", "000000f2"):
        rows.apply(changed_rows(configuration_row(version)))
        assert router.configuration.version == 0xF2
    rows.apply(changed_rows(configuration_row("000000f3")))
    assert router.configuration.version == 0xF3
    rows.apply(changed_rows(configuration_row("000000f2", "b.example")))
    assert router.configuration.version == 0xF3


def test_new_content_under_a_version_used_before_the_restore_is_in_force_at_once():
    """Guards against a new configuration that is ignored because of its lower version."""
    router, rows = restore_without_newest()
    rows.apply(changed_rows(configuration_row("000000f1", "b.example")))
    assert configuration_in_force(router) == (0xF1, "b.example")
    rows.apply(changed_rows(configuration_row("000000f0")))
    assert configuration_in_force(router) == (0xF1, "b.example")


def test_a_lost_configuration_that_is_not_written_again_ends_when_the_store_has_recovered():
    """Guards against a configuration that stays in force although the store no longer has it."""
    router, rows = restore_without_newest()
    rows.apply(recovered_rows(configuration_row("000000f0")))
    assert router.configuration.version == 0xF0


def test_an_evacuation_missing_from_the_backup_stays_until_the_store_has_recovered():
    """Guards against requests to an evacuated failure domain while operators rewrite lost rows."""
    router, rows = make_operator_rows()
    apply_evacuations(rows, "a1")
    rows.apply(restored_rows(Row("evacuate/b1", b"", 1, False)))
    assert router.targets.evacuated == {"a1", "b1"}
    rows.apply(changed_rows(Row("evacuate/b1", b"", 2, True)))
    assert router.targets.evacuated == {"a1"}
    rows.apply(recovered_rows())
    assert router.targets.evacuated == frozenset()
