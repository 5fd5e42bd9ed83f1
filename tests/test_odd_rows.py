"""Rows that another program wrote between those of the targets."""

import asyncio
import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaybank.client import ClientConnection, ExchangeError
from carawaybank.rows import Row, TableUpdate
from carawaybank.siblings.registration import Registrations
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.targets.crashes import CrashReports
from tests.routing.builders import make_router
from tests.store_world import run_scenario, target_row, wait_until

NESTED = b"[" * 5_000 + b"]" * 5_000


def encode(**changes):
    return json.dumps(target_row(9, **changes)).encode()


#: Rows of targets that name no target to use.
ODD_ROWS = {
    "no JSON": b"\xff\x00",
    "empty": b"",
    "a list": b"[]",
    "nested deeply": NESTED,
    "an unused field nested deeply": encode()[:-1] + b',"more":' + NESTED + b"}",
    "many slots": encode(slots=2**64),
    "slots of 400 digits": encode(slots=10**400),
    "more slots than connections": encode(slots=70_000),
    "negative slots": encode(slots=-1),
    "port out of range": encode(addr="10.0.0.9:99999"),
    "port of 31 digits": encode(addr=f"10.0.0.9:{10**30}"),
    "port 0": encode(addr="10.0.0.9:0"),
    "port in other digits": encode(addr="10.0.0.9:\u0668\u0660"),
    "host name": encode(addr="ledger.example:80"),
    "address with a line break": encode(addr="10.0.0.9\r\nX: y:80"),
    "sequence of 400 digits": encode(seq=10**400),
    "start of 400 digits": encode(born=10**400),
    "cold for ever": encode(coldLeftMs=1e308),
    "cold beyond all floats": encode().replace(b'"coldLeftMs": 0', b'"coldLeftMs": 1e400'),
}
KEYS = ("t1", "t2", "t3")
ODD_KEYS = ("t4\r\nX-Injected: 1", "t5\u2014", " t6")


@pytest.mark.parametrize("value", ODD_ROWS.values(), ids=ODD_ROWS.keys())
def test_an_odd_row_is_counted_and_names_no_target(value):
    """Guards against a row that ends the processes that read it, or stops them from following."""

    async def scenario(world):
        await world.store.put("servers", "odd", value)
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})
        assert world.counters.rejected_rows() == {"targets": 1}
        assert max(len(line) for line in world.lines) < 2_000
        assert not world.has_logged("changes not taken")

    run_scenario(scenario)


@pytest.mark.parametrize("key", ODD_KEYS)
def test_a_key_that_cannot_be_sent_in_a_header_names_no_target(key):
    """The key is sent to the target in a header."""

    async def scenario(world):
        await world.store.put("servers", key, target_row(9))
        await world.store.put("servers", "t1", target_row(1))
        await wait_until(lambda: world.targets == {"t1"})

    run_scenario(scenario)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("sound"), st.sampled_from(KEYS)),
        st.tuples(st.just("odd"), st.sampled_from(KEYS), st.sampled_from(sorted(ODD_ROWS))),
        st.tuples(st.just("odd"), st.just("other"), st.sampled_from(sorted(ODD_ROWS))),
        st.tuples(st.just("gone"), st.sampled_from(KEYS)),
        st.tuples(st.just("store"), st.sampled_from(["down", "up", "compacted"])),
        st.tuples(st.just("wait")),
    ),
    min_size=1,
    max_size=14,
)


@settings(max_examples=30)
@given(steps=STEPS)
def test_the_sound_rows_are_all_that_is_in_use(steps):
    """Odd rows between sound ones, with the store coming and going, change nothing else."""

    async def scenario(world):
        sound = set()
        for number, (kind, *rest) in enumerate(steps, start=1):
            if kind == "sound":
                await world.store.put("servers", rest[0], target_row(number, seq=number))
                sound.add(rest[0])
            elif kind == "odd":
                await world.store.put("servers", rest[0], ODD_ROWS[rest[1]])
                sound.discard(rest[0])
            elif kind == "gone":
                await world.store.delete("servers", rest[0])
                sound.discard(rest[0])
            elif kind == "wait":
                await asyncio.sleep(0.02)
            elif rest[0] == "compacted":
                world.store.compact()
            else:
                world.store.set_error_status(503 if rest[0] == "down" else 0)
        world.store.set_error_status(0)
        await wait_until(lambda: world.watch.rows.version == world.store.version)
        await wait_until(lambda: world.targets == sound)
        assert not world.task.done()

    run_scenario(scenario)


def test_a_row_that_raises_does_not_hide_a_removed_one():
    """Guards against a removed target that stays in use because of another row."""

    async def scenario(world):
        applied = set()

        def apply(update):
            if any(row.key == "bad" for row in update.rows):
                raise RuntimeError("unexpected row content")
            if update.is_full:
                applied.clear()
            applied.update(row.key for row in update.rows if not row.removed)

        watch = world.make_watch("odd", apply)
        task = asyncio.create_task(watch.run())
        await wait_until(lambda: watch.is_loaded)
        for key in ("a", "bad", "z"):
            await world.store.put("odd", key, b"{}")
        await wait_until(lambda: applied == {"a", "z"})
        world.store.rows.pop(("odd", "z"))
        world.store.set_error_status(503)
        await world.store.put("odd", "b", b"{}")
        world.store.compact()
        world.store.set_error_status(0)
        await wait_until(lambda: applied == {"a", "b"})
        task.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", f"127.0.0.1:{10**30}", "127.0.0.1:-1"])
def test_a_port_out_of_range_is_a_failure_to_connect(address):
    """Guards against an exception that ends the check of a target, or a request, silently."""
    with pytest.raises(ExchangeError):
        asyncio.run(ClientConnection.open(address, timeout_s=1.0))


RECORD = ["vm-2", "10.0.0.2:1", "10.0.0.2:2", "a1", "a", 1, False, "10.0.0.2:3"]


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        json.dumps([*RECORD[:5], 10**400]).encode(),
        json.dumps(["vm-2", "10.0.0.2:99999", *RECORD[2:]]).encode(),
        json.dumps(["vm-2", "name.example:80", *RECORD[2:]]).encode(),
    ],
)
def test_an_odd_registration_names_no_vm(value):
    """Look-ups would list its address, and heartbeats would be sent to it."""

    async def scenario(world):
        vms = VmDirectory(own=VmRecord("vm-1", "", "", "a1", "a", 1))
        registrations = Registrations(
            vms=vms,
            router=make_router(),
            store=world.client,
            table="x",
            journal=world.journal,
            rng=random.Random(1),
        )
        sound = ["vm-3", *RECORD[1:]]
        rows = [Row("vm-2", value, 1, False), Row("vm-3", json.dumps(sound).encode(), 2, False)]
        registrations.apply(TableUpdate(rows, is_full=True, after_outage=False))
        assert vms.names == ("vm-1", "vm-3")

    run_scenario(scenario)


@pytest.mark.parametrize("value", [NESTED, b'[1e400,["f","t1","vm-2"]]', b"[" + b"9" * 400 + b"]"])
def test_an_odd_crash_report_is_passed_over(value):
    async def scenario(world):
        crashes = CrashReports(
            router=make_router(), store=world.client, table="x", journal=world.journal
        )
        crashes.apply(TableUpdate([Row("k", value, 1, False)], is_full=True, after_outage=False))
        assert world.has_logged("row passed over")

    run_scenario(scenario)
