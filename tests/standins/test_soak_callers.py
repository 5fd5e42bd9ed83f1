"""What the soak's callers do beyond waiting: leave, press, repeat at once, and move."""

import asyncio
import random
import time

import pytest

from standins.soak.connections import CallerConnection, Departure, Exchange
from standins.soak.demand import burst_factor, find_fault, is_sent, peak_factor
from standins.soak.faults import draw_faults
from standins.soak.history import load_history
from standins.soak.layout import TROUBLES, Layout, load_deployment
from standins.soak.load import Client, LoadContext
from standins.soak.records import Plan
from tests.standins.soak_records import make_dropped_run, make_request, rules_of, stop
from tests.standins.test_soak import run_soak

OK = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
WAIT_S = 5


def make_exchange():
    return Exchange(record={"status": 0, "last_byte_at": None})


def converse(handle, talk):
    """Lets a caller talk with a server that handles its connections."""

    async def run():
        ended = asyncio.Event()

        async def serve(reader, writer):
            try:
                await handle(reader, writer)
                await reader.read(-1)
            except ConnectionError:
                pass
            finally:
                writer.close()
                ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        surplus = []
        connection = CallerConnection(
            address=f"127.0.0.1:{port}", number=1, on_surplus=lambda: surplus.append(1)
        )
        await connection.open()
        await asyncio.wait_for(talk(connection, surplus), WAIT_S)
        connection.close()
        await asyncio.wait_for(ended.wait(), WAIT_S)
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_reset", [True, False])
def test_caller_that_leaves_closes_or_resets_in_the_middle_of_a_body(is_reset):
    """Guards against callers that always wait until their deadline."""
    seen = []

    async def handle(reader, _):
        try:
            seen.append(await reader.read(-1))
        except ConnectionResetError:
            seen.append("reset")

    async def talk(connection, _):
        exchange, waiting = make_exchange(), make_exchange()
        behind = asyncio.create_task(connection.exchange(waiting, b"GET", timeout_s=WAIT_S))
        await connection.exchange(
            exchange,
            b"x" * 20_000,
            timeout_s=WAIT_S,
            head_bytes=100,
            departure=Departure(0.15, is_reset),
        )
        await behind
        assert exchange.record["outcome"] == waiting.record["outcome"] == "left"
        assert exchange.record["last_byte_at"] is None
        while not seen:
            await asyncio.sleep(0.01)
        assert seen == ["reset"] if is_reset else len(seen[0]) < 20_000

    converse(handle, talk)


def test_caller_does_not_leave_once_it_has_its_response():
    """Guards against complete responses that are recorded as left."""

    async def handle(reader, writer):
        await reader.read(10)
        writer.write(OK)

    async def talk(connection, _):
        exchange = make_exchange()
        leaving = Departure(2.0, is_reset=True)
        await connection.exchange(exchange, b"GET", timeout_s=WAIT_S, departure=leaving)
        assert exchange.record["outcome"] == "answered"
        assert connection.is_usable

    converse(handle, talk)


def test_connection_is_not_used_again_behind_a_body_that_was_not_sent_whole():
    """Guards against callers that send the next request where a body is due."""

    async def handle(reader, writer):
        await reader.read(10)
        writer.write(OK)

    async def talk(connection, _):
        exchange = make_exchange()
        await connection.exchange(exchange, b"x" * 20_000, timeout_s=WAIT_S, head_bytes=100)
        assert exchange.record["outcome"] == "answered"
        assert not connection.is_usable

    converse(handle, talk)


def test_bytes_that_no_request_waits_for_are_reported():
    """Guards against a second response that a VM passes on unseen."""

    async def handle(reader, writer):
        await reader.read(10)
        writer.write(OK + OK)

    async def talk(connection, surplus):
        await connection.exchange(make_exchange(), b"GET", timeout_s=WAIT_S)
        while not surplus:
            await asyncio.sleep(0.01)

    converse(handle, talk)


def test_bytes_that_are_no_response_are_garbled():
    """Guards against a record that blames the caller or a close for such bytes."""

    async def handle(reader, writer):
        await reader.read(10)
        writer.write(b"nonsense\r\n\r\n")

    async def talk(connection, _):
        exchange = make_exchange()
        await connection.exchange(exchange, b"GET", timeout_s=WAIT_S)
        assert exchange.record["outcome"] == "garbled"

    converse(handle, talk)


@pytest.mark.parametrize(
    "line",
    [
        *(f"HTTP/1.1 {status} X" for status in ("000", "099", "100", "101", "199", "600", "999")),
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
    ],
)
def test_a_status_line_that_is_none_is_garbled(line):
    """Guards against a soak that holds beside callers who get status 000, or another version."""

    async def handle(reader, writer):
        await reader.read(10)
        writer.write(f"{line}\r\nX-Carawaybank-Server-Seal: s\r\n\r\n".encode())
        writer.close()

    async def talk(connection, _):
        exchange = make_exchange()
        await connection.exchange(exchange, b"GET", timeout_s=WAIT_S)
        assert exchange.record["outcome"] == "garbled"

    converse(handle, talk)


def test_faults_of_callers_begin_and_end():
    """Guards against a burst or another fault of callers that lasts for the whole run."""
    faults = [{"at": 4.0, "kind": "burst", "subject": "", "for_s": 3.0, "x": 1.7}]
    assert [burst_factor(faults, at) for at in (3.9, 4.0, 6.9, 7.0)] == [1.0, 1.7, 1.7, 1.0]
    assert find_fault(faults, "give_up", 5.0) is None


def test_rate_is_higher_in_a_burst_and_unchanged_apart_from_it():
    """Guards against a burst that is drawn and recorded but not sent."""
    faults = [{"at": 4.0, "kind": "burst", "subject": "", "for_s": 3.0, "x": 1.7}]
    rng, place = random.Random(1), {"name": "regina", "region": "sask", "vms": 1, "share": 1.0}
    drawn = [sum(is_sent({}, place, at, rng, faults) for _ in range(3000)) for at in (2.0, 5.0)]
    peak = peak_factor({}, faults)
    assert [count / 3000 * peak for count in drawn] == pytest.approx([1.0, 1.7], abs=0.05)


class FailingClient(Client):
    """A client whose attempts are all refused with a Retry-After of 0.8 s."""

    def __init__(self, *, faults, number=0):
        layout = Layout(load_deployment("small"), "127.210.0")
        now = time.monotonic()
        plan = Plan(layout.deployment, "127.210.0", 1, 40.0, 20.0, 1, 1, faults)
        context = LoadContext(plan, None, random.Random(1), {}, 0, now)
        place = layout.deployment["places"][0]
        super().__init__(context=context, place=place, number=number)
        self.attempts = []

    async def _open_ahead(self, _):
        return None

    async def _attempt(self, *_):
        self.attempts.append(time.monotonic())
        return {"status": 503, "outcome": "answered", "retry_after_s": "0.8"}


@pytest.mark.parametrize(("share", "attempts"), [(1.0, 4), (0.0, 2)])
def test_some_callers_repeat_at_once_and_more_often(share, attempts):
    """Guards against callers that all wait as they are told."""
    fault = {"at": 0.0, "kind": "retry_abuse", "subject": "", "for_s": 9.0, "share": share, "x": 3}
    client = FailingClient(faults=[fault])
    kind = client._context.plan.deployment["classes"][0]
    asyncio.run(client.request(kind))
    assert len(client.attempts) == attempts
    waited = client.attempts[-1] - client.attempts[0]
    assert waited < 0.7 if share else waited > 0.7


def test_a_share_of_the_callers_moves_and_comes_back():
    """Guards against a shift that moves nobody, everybody, or for good."""
    fault = {
        "at": 0.0, "kind": "shift", "subject": "regina", "for_s": 60.0, "share": 0.5,
        "place": "calgary",
    }  # fmt: skip
    places = []
    for number in range(40):
        client = FailingClient(faults=[fault], number=number)
        client._settle()
        places.append(client.place["name"])
    assert 10 <= places.count("calgary") <= 30
    assert set(places) == {"regina", "calgary"}
    fault["for_s"] = 0.0
    client._settle()
    assert client.place["name"] == "regina"


@pytest.mark.parametrize(("share", "leaves"), [(1.0, True), (0.0, False)])
def test_share_of_the_callers_leaves_within_half_of_the_objective(share, leaves):
    """Guards against callers that leave too late, always, or in one way only."""
    fault = {"at": 0.0, "kind": "give_up", "subject": "", "for_s": 9.0, "share": share}
    client = FailingClient(faults=[fault])
    kind = client._context.plan.deployment["classes"][0]
    drawn = [client._draw_departure(kind) for _ in range(100)]
    assert all(bool(each) == leaves for each in drawn)
    if leaves:
        assert max(each.after_s for each in drawn) <= kind["slo_ms"] / 2000
        assert 30 <= sum(each.is_reset for each in drawn) <= 70


@pytest.mark.parametrize("name", ["campoverde", "pmrf"])
def test_deployments_state_the_figures_of_their_faults(name):
    """Guards against a deployment that silently plays the figures of another."""
    deployment = load_deployment(name)
    assert deployment["troubles"].keys() == TROUBLES.keys()
    faults = draw_faults(
        "give_up,shift", layout=Layout(deployment, "127.210.0"), seed=1, seconds=20
    )
    shares = {fault["kind"]: (fault["share"], fault["for_s"]) for fault in faults}
    assert shares == {"give_up": (0.2, 5.5), "shift": (0.5, 6.5)}


def test_request_whose_caller_left_is_not_lost():
    """Guards against losses for which the caller itself is the cause."""
    left = make_request(outcome="left", status=0, complete=False, seal=None)
    assert rules_of(stop(), left, make_dropped_run()) == []


@pytest.mark.processes
def test_faults_of_callers_and_targets_are_injected_and_break_no_promise(tmp_path):
    """Guards against faults that are drawn and not injected, or that a VM does not bear."""
    mixes = "give_up,retry_abuse,burst,shift,garble,crashes,slow_targets,release"
    finished = run_soak(tmp_path, "--seed", "6", "--seconds", "14", "--faults", mixes)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    history = load_history(tmp_path / "run")
    pairs = {
        "give_up": "give_up_end",
        "retry_abuse": "retry_abuse_end",
        "burst": "burst_end",
        "shift": "shift_end",
        "garble": "garble_end",
        "slow": "slow_end",
        "target_kill": "return",
        "replacement": "leave",
    }
    for name, end in pairs.items():
        assert history.find_events(name), name
        assert len(history.find_events(name)) == len(history.find_events(end)), name
    windows = [(each.at, each.at + 5.5) for each in history.find_events("give_up")]
    left = [each for each in history.requests if each.outcome == "left"]
    assert left
    assert all(any(a - 1 <= each.sent_at <= b + 1 for a, b in windows) for each in left)
    assert any(each.last_byte_at is None for each in left)
