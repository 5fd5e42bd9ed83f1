"""Weights of VMs in rows and reports, between builds with and without them."""

import asyncio
import random
from typing import NamedTuple

import msgspec
import pytest

from carawaybank.counters import Counters
from carawaybank.routing.vmweights import CONGESTED_FACTOR, VmCapacity
from carawaybank.rows import Position, Row, TableUpdate
from carawaybank.siblings import registration, weights
from carawaybank.siblings.liveness import DomainReport
from carawaybank.siblings.registration import Registrations
from carawaybank.siblings.vms import Heartbeat, VmDirectory, VmRecord
from carawaybank.siblings.weights import OwnWeight, VmWeights, WeightRows
from tests.store_world import run_scenario, wait_until

TABLE = "shared"
CALLERS = [f"10.0.0.{number}" for number in range(100)]
SIZES = {"l1": 1654.0, "l2": 1654.0, "s1": 232.0, "s2": 232.0, "s3": 232.0}


class OldVmRecord(NamedTuple):
    """The registration as builds before weights decode it."""

    vm: str
    callers_address: str
    sibling_address: str
    failure_domain: str
    region: str
    incarnation: int
    stopping: bool = False
    control_address: str = ""


class OldHeartbeat(NamedTuple):
    """The heartbeat as builds before weights decode it."""

    vm: str
    incarnation: int
    stopping: bool
    positions: dict[str, Position]
    reaches_store: bool = True
    reports: dict[str, list[DomainReport]] | None = None


def make_record(name):
    return VmRecord(name, f"{name}:1", f"{name}:2", "a1", "a", 1)


def make_directories(sizes):
    directories = {}
    for name, size in sizes.items():
        directory = VmDirectory(own=make_record(name), own_size=size)
        for other in random.Random(name).sample(list(sizes), len(sizes)):
            directory.update(make_record(other), now=0.0)
            if sizes[other]:
                directory.weights.update(other, sizes[other])
        directories[name] = directory
    return directories


def listed(directory, caller, *, now=1.0):
    return {r.vm for r in directory.select_for_caller("a1", "a", now=now, caller=caller)}


def pass_report(sender, receiver, *, now, is_reader):
    reports = sender.state_reports(now=now, is_reader=is_reader)
    heartbeat = msgspec.json.encode(sender.make_heartbeat({}, reports))
    assert msgspec.json.decode(heartbeat, type=OldHeartbeat).reports == reports
    receiver.record_heartbeat(msgspec.json.decode(heartbeat, type=Heartbeat), now=now)


def test_all_vms_list_the_same_for_a_caller():
    """Guards against lists that depend on the VM that answers, with dropped connections."""
    directories = make_directories(SIZES)
    for caller in CALLERS:
        answers = [listed(directory, caller) for directory in directories.values()]
        assert all(answer == answers[0] for answer in answers)
        assert {"l1", "l2"} <= answers[0]
    assert {len(listed(directories["l1"], caller)) for caller in CALLERS} > {2, 3}


@pytest.mark.parametrize("sizes", [dict.fromkeys(SIZES, 0.0), dict.fromkeys(SIZES, 232.0)])
def test_with_equal_or_no_weights_the_list_is_the_one_without_weights(sizes):
    """Guards against another content or order of lists in deployments of VMs that are alike."""
    directory = make_directories(sizes)["s1"]
    plain = [directory.own, *directory.others]
    for caller in CALLERS:
        assert directory.select_for_caller("a1", "a", now=1.0, caller=caller) == plain


def test_callers_without_an_address_of_their_own_get_all_vms():
    """Guards against a proxy whose callers all go to the VMs of one short list."""
    assert listed(make_directories(SIZES)["l1"], "") == set(SIZES)


def test_congestion_reaches_siblings_through_a_reader_and_ends():
    """Guards against siblings that list a congested VM as before, or less often for ever."""
    directories = make_directories(SIZES)
    own, reader, other = (directories[name] for name in ("l2", "l1", "s1"))
    own.weights.own_level = 1
    for level, now in ((1, 1.0), (0, 2.0)):
        own.weights.own_level = level
        pass_report(own, reader, now=now, is_reader=False)
        pass_report(reader, other, now=now + 0.1, is_reader=True)
        counts = [
            sum("l2" in listed(directory, caller, now=now + 0.2) for caller in CALLERS)
            for directory in (own, reader, other)
        ]
        assert counts[0] == counts[1] == counts[2]
        assert (counts[0] < 70) == (level == 1)


def test_rows_of_a_vm_are_readable_for_builds_without_weights_and_back():
    """Guards against a field that makes older builds reject the registration: NamedTuples are JSON
    arrays, and arrays that are too long are an error.
    """
    own = make_record("l1")
    row = msgspec.json.encode(own)
    assert msgspec.json.decode(row, type=OldVmRecord) == tuple(own)
    assert msgspec.json.decode(msgspec.json.encode(OldVmRecord(*own)), type=VmRecord) == own
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(row[:-1] + b",1.5]", type=OldVmRecord)
    rows = [Row(weights.KEY_PREFIX + "l1", weights.encode_row(7.0) or b"", 1, False)]
    assert (
        not TableUpdate(rows, is_full=True, after_outage=False)
        .with_prefix(registration.KEY_PREFIX)
        .rows
    )
    old_heartbeat = msgspec.json.encode(OldHeartbeat("l1", 1, False, {}))
    assert msgspec.json.decode(old_heartbeat, type=Heartbeat).reports is None


def test_a_vm_writes_its_weight_and_others_follow_it():
    """Guards against a registration without its weight after a failed write or a restart."""

    async def scenario(world):
        vms = VmDirectory(own=make_record("l1"), own_size=1654.0)
        registrations = Registrations(
            vms=vms,
            router=world.router,
            store=world.client,
            table=TABLE,
            journal=world.journal,
            rng=random.Random(1),
        )
        other = VmWeights(own="s1", own_size=232.0)
        rows = WeightRows(weights=other, journal=world.journal)
        task = asyncio.create_task(
            world.make_watch(TABLE, lambda u: rows.apply(u.with_prefix(weights.KEY_PREFIX))).run()
        )
        world.store.set_error_status(503)
        registering = asyncio.create_task(registrations.register())
        await wait_until(lambda: world.has_logged("registration failed"))
        world.store.set_error_status(0)
        await wait_until(lambda: other.size("l1") == 1654.0)
        await wait_until(lambda: world.store.value(TABLE, "vm/l1") is not None)
        await world.store.put(TABLE, weights.KEY_PREFIX + "s2", {"weight": 5, "more": [1]})
        await wait_until(lambda: other.size("s2") == 5)
        for invalid in ({"weight": -1}, {"weight": 1e300}, {"wait": 2}, [3]):
            await world.store.put(TABLE, weights.KEY_PREFIX + "s2", invalid)
            await wait_until(lambda: other.size("s2") == 0.0)
            await world.store.put(TABLE, weights.KEY_PREFIX + "s2", {"weight": 5})
            await wait_until(lambda: other.size("s2") == 5)
        assert world.has_logged("row passed over")
        vms.stop()
        await registrations.deregister()
        await wait_until(lambda: other.size("l1") == 0.0)
        assert other.size("s1") == 232.0
        registering.cancel()
        task.cancel()

    run_scenario(scenario)


def test_a_delayed_event_loop_lowers_the_own_weight_and_reports_it():
    """Guards against a congested VM that is listed as before and shows nothing of it."""

    async def run():
        reported, counters, lines = [], Counters(), []
        own = VmWeights(own="s1", own_size=232.0)
        task = OwnWeight(
            weights=own,
            capacity=VmCapacity(0.301),
            on_change=lambda: reported.append(own.own_level),
            counters=counters,
            journal=weights.Journal(vm="s1", write=lines.append),
        )
        assert counters.vm_weight == 232.0
        for _ in range(20):
            task.record(0.1)
        assert reported == [1, 2]
        assert counters.vm_weight == 232.0 * CONGESTED_FACTOR**2
        assert counters.vm_weight_changes == 2
        assert [b'"event":"own changed"' in line for line in lines] == [False, True, True]

    asyncio.run(run())
