"""Peers of the soak that send without end: targets, callers and the store, and their judgement."""

import asyncio
import time

import pytest

from carawaybank.client import ClientConnection, HttpCall
from standins.floods import RESPONSES, FloodServer
from standins.soak.answers import find_answers_without_row
from standins.soak.endless import CALLERS, TARGETS, Flood, is_endless
from standins.soak.faults import draw_faults
from standins.soak.flooder import play_callers, play_store
from standins.soak.history import load_history
from standins.soak.layout import Layout, load_deployment
from standins.soak.records import Plan, Recorder
from tests.standins.soak_records import (
    make_cut,
    make_dropped_run,
    make_event,
    make_history,
    make_request,
    make_run,
    rules_of,
    stop,
)
from tests.standins.soak_vms import rules_in
from tests.standins.test_soak import plant, run_soak
from tests.standins.test_soak_targets import (
    accept_directly,
    accept_over_link,
    find_free_address,
    play,
)

MIXES = "endless", "endless_callers", "endless_store"
INFINITY = float("inf")
SEEDS = range(60)
WAIT_S = 10
#: Keeps twenty times what a VM reads, as objects for small pieces of it cost.
KEEP_ALL = """
import socket
kept, receive = [], socket.socket.recv_into
def recv_into(sock, *arguments):
    size = receive(sock, *arguments)
    kept.append(b"x" * (20 * size))
    return size
socket.socket.recv_into = recv_into
"""


def draw(mix, seed, name="campoverde"):
    layout = Layout(load_deployment(name), "127.210.0")
    return draw_faults(mix, layout=layout, seed=seed, seconds=20.0)


class TestDraws:
    """What a seed draws."""

    @pytest.mark.parametrize("mix", MIXES)
    def test_seeds_draw_each_form_and_slow_and_fast_ones(self, mix):
        """Guards against a mix that never plays the form that uses up the memory of a VM."""
        faults = [fault for seed in SEEDS for fault in draw(mix, seed)]
        assert {fault["kind"] for fault in faults} == {mix}
        assert len({fault["how"] for fault in faults}) >= len(RESPONSES) - 1
        speeds = {fault["x"] for fault in faults}
        assert min(speeds) < 100_000
        assert max(speeds) == INFINITY
        assert all(2.0 <= fault["for_s"] <= 6.0 for fault in faults)

    def test_targets_are_single_ones_and_a_third_of_all(self):
        """Guards against floods that one fault shares with too few targets or with all."""
        layout = Layout(load_deployment("campoverde"), "127.210.0")
        for seed in SEEDS:
            times = {}
            for fault in draw("endless", seed):
                times.setdefault(fault["at"], set()).add(fault["subject"])
            assert sorted(map(len, times.values())) == [1, round(len(layout.targets) / 3)]

    def test_all_has_them(self):
        """Guards against mixes that only those play who know them."""
        assert set(MIXES) <= {fault["kind"] for fault in draw("all", 1)}


@pytest.mark.parametrize("bytes_per_s", [200_000.0, INFINITY])
@pytest.mark.parametrize("accept", [accept_directly, accept_over_link])
def test_target_answers_without_end_until_its_fault_ends(tmp_path, accept, bytes_per_s):
    """Guards against a response that ends by itself, or that goes on after the fault."""

    async def scene(world):
        world.server.flood = Flood(RESPONSES["chunks of 2"], bytes_per_s, 1.0)
        caller = await world.connect()
        caller.send("r1")
        await asyncio.wait_for(caller.reader.readexactly(50_000), WAIT_S)
        (run,) = world.lines("run")
        assert (run["id"], run["outcome"], run["status"]) == ("r1", "endless", 0)
        world.server.end_flood()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(caller.reader.readexactly(50_000_000), WAIT_S)
        again = await world.connect()
        again.send("r2")
        assert "request-id: r2" in await again.read_head()

    play(tmp_path, scene, accept=accept)


def test_target_that_floods_a_reader_that_is_slow_keeps_little_itself(tmp_path):
    """Guards against a host of targets that runs out of memory in place of the VM."""

    async def scene(world):
        world.server.flood = Flood(RESPONSES["length"], INFINITY, 1.0)
        caller = await world.connect()
        caller.send("r1")
        await asyncio.sleep(0.5)
        (connection,) = world.server._connections
        assert connection._transport.get_write_buffer_size() < 1_000_000

    play(tmp_path, scene)


def test_requests_without_end_are_not_recorded_and_others_are(tmp_path):
    """Guards against UNASKED for callers that record nothing, and against runs that are hidden."""

    async def scene(world):
        caller = await world.connect()
        for path, request_id in (("/reads/endless", "r1"), ("/reads/1", "r2")):
            head = f"GET {path} HTTP/1.1\r\nX-Carawaybank-Request-Id: {request_id}\r\n\r\n"
            caller.writer.write(head.encode())
            assert "200" in await caller.read_head()
        assert [run["id"] for run in world.lines("run")] == ["r2"]

    play(tmp_path, scene)
    assert not is_endless("/endless/1")


def test_callers_send_on_all_connections_until_their_fault_ends(tmp_path):
    """Guards against a mix that opens no connections, or that goes on after its end."""
    fault = {**draw("endless_callers", 3)[0], "for_s": 0.6, "how": "headers", "x": INFINITY}
    layout = Layout(load_deployment("campoverde"), f"127.211.{time.time_ns() % 250}")
    vm = next(each for each in layout.vms if each.name == fault["subject"])
    received, is_open = [], set()

    async def serve(reader, writer):
        received.append(0)
        number = len(received) - 1
        is_open.add(number)
        try:
            while data := await reader.read(65_536):
                received[number] += len(data)
        except ConnectionError:
            pass
        finally:
            is_open.discard(number)
            writer.close()

    async def run():
        server = await asyncio.start_server(serve, *vm.callers_address.split(":"))
        recorder = Recorder(path=tmp_path / "flooder.jsonl")
        await play_callers(fault, layout=layout, recorder=recorder)
        await asyncio.sleep(0.3)
        server.close()

    asyncio.run(run())
    assert len(received) == fault["count"]
    assert all(size > 1_000 for size in received)
    assert not is_open
    begun, ended = load_history(tmp_path).events
    assert (begun.event, ended.event) == ("endless_callers", "endless_callers_end")
    assert begun.vm == vm.name


def test_store_answers_without_end_and_then_again_as_before(tmp_path):
    """Guards against a gate that stops reaching the store, and a fault that excuses nothing."""

    async def ask(address):
        connection = await ClientConnection.open(address, timeout_s=WAIT_S)
        try:
            call = HttpCall("GET", "/", [("Host", address)], b"")
            return (await connection.exchange(call, timeout_s=1.0)).status
        finally:
            connection.close()

    async def run():
        store = FloodServer(respond=lambda _: b"HTTP/1.1 204 OK\r\n\r\n")
        gate = FloodServer(upstream=await store.start())
        address = await gate.start(await find_free_address())
        assert await ask(address) == 204
        fault = {**draw("endless_store", 1)[0], "for_s": 0.5, "how": "trailers", "x": INFINITY}
        recorder = Recorder(path=tmp_path / "flooder.jsonl")
        playing = asyncio.create_task(play_store(fault, gate=gate, recorder=recorder))
        await asyncio.sleep(0.1)
        with pytest.raises(Exception, match=r".+"):
            await ask(address)
        await playing
        assert gate.begun == 1
        assert await ask(address) == 204
        gate.close()
        store.close()

    asyncio.run(run())
    history = load_history(tmp_path)
    ((event,),) = (history.find_events("store_endless"),)
    assert history.is_store_disturbed(event.at + 0.4, event.at + 0.4)
    assert not history.is_store_disturbed(event.at + 0.6, event.at + 0.7)


def test_vms_reach_the_store_through_the_gate_only_in_runs_that_need_it():
    """Guards against a gate in runs that are compared with earlier ones, and around targets."""
    deployment = load_deployment("campoverde")
    plan = Plan(deployment, "127.210.0", 1, 1.0, 1.0, 1, 1, [])
    gated = plan._replace(faults=draw("endless_store", 1)).layout
    assert plan.layout.vms_store_address == plan.layout.store_address == gated.store_address
    assert f'address = "{gated.vms_store_address}"' in gated.settings(gated.vms[0])
    assert gated.vms_store_address != gated.store_address


class TestJudgement:
    """What a response without end excuses, and what it does not."""

    @pytest.mark.parametrize(
        ("outcome", "rules"), [("endless", []), ("done", ["LOST"]), ("dropped", ["LOST"])]
    )
    def test_only_requests_that_such_a_target_answered_are_excused(self, outcome, rules):
        """Guards against blaming a VM for its target, or excusing what other targets ran."""
        assert rules_of(stop(), make_cut(), make_run(outcome=outcome, status=0)) == rules

    def test_request_that_ran_elsewhere_afterwards_is_lost(self):
        """Guards against a response without end that excuses the run that followed it."""
        runs = [
            make_run(outcome="endless", status=0, ended_at=100.1, body_hash=None),
            make_dropped_run(target="t2", started_at=100.2, body_hash=None),
        ]
        assert rules_of(stop(), make_cut(kind="idempotent"), *runs) == ["LOST"]

    def test_second_run_after_a_response_without_end_is_found(self):
        """Guards against a request that isn't idempotent and is repeated."""
        runs = [
            make_run(outcome="endless", status=0, ended_at=100.1),
            make_run(target="t2", started_at=100.2),
        ]
        assert rules_of(make_request(), *runs) == ["TWICE"]

    def test_callers_that_send_without_end_excuse_nothing(self):
        """Guards against taking such callers for a disturbance of their VM."""
        events = make_event(98.5, "endless_callers"), make_event(103.0, "endless_callers_end")
        assert rules_of(stop(), make_cut(), make_dropped_run(), *events) == ["LOST"]

    def test_store_that_answers_without_end_disturbs_only_the_store(self):
        """Guards against excusing losses beside a stop, or blaming VMs that are not in touch."""
        event = make_event(99.5, "store_endless", vm="", until=103.0)
        assert rules_of(stop(), make_cut(), make_dropped_run(), event) == ["LOST"]
        records = [event]
        for number in range(4):
            records.append(make_cut(id=f"r{number}", connection=f"c{number}"))
            records.append(make_dropped_run(id=f"r{number}"))
        assert rules_of(*records) == []
        assert "LOST" in rules_of(*(record for record in records if record != event))

    @pytest.mark.parametrize(
        ("status", "ended_at", "has_row"),
        [(502, 100.5, True), (504, 108.1, True), (502, 108.1, True), (504, 103.0, False)],
    )
    def test_own_answers_beside_such_a_run(self, status, ended_at, has_row):
        """Guards against time-outs that no row allows, and 504 before the time is up."""
        request = make_request(status=status, seal=None, ended_at=ended_at)
        run = make_run(outcome="endless", status=0, ended_at=100.1)
        assert bool(find_answers_without_row(make_history(request, run))) != has_row


@pytest.mark.processes
def test_peers_that_send_without_end_break_no_promise(tmp_path):
    """Guards against floods that are drawn and not played, and VMs that do not bear them."""
    options = "--seed", "2", "--seconds", "10", "--faults", ",".join(MIXES)
    finished = run_soak(tmp_path, *options)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    history = load_history(tmp_path / "run")
    for name in (TARGETS, CALLERS, "store_endless"):
        assert history.find_events(name)
    assert any(run.outcome == "endless" for run in history.arrivals)
    assert rules_in(tmp_path / "run") == []


@pytest.mark.processes
@pytest.mark.parametrize(
    ("mix", "seed"),
    [("none", "2"), ("endless", "4"), ("endless_callers", "2"), ("endless_store", "4")],
)
def test_a_vm_that_keeps_all_bytes_is_found(tmp_path, mix, seed):
    """Guards against floods that are too small to use up the memory of such a VM."""
    source = plant(tmp_path, KEEP_ALL)
    options = "--seed", seed, "--seconds", "7", "--faults", mix
    finished = run_soak(tmp_path, *options, source=source)
    kills = load_history(tmp_path / "run").find_events("memory_kill")
    is_found = bool(kills) and "\nFAULT " in finished.stdout
    assert is_found == (mix != "none"), finished.stdout + finished.stderr
