"""What the soak's callers ask for: objects, a wave of the rate, and bodies in chunks."""

import json
import random

import httptools
import pytest

from standins.soak.chunks import encode_chunks
from standins.soak.demand import draw_path, is_sent
from standins.soak.layout import Layout, load_deployment
from tests.standins.test_soak import run_soak

PLACE = {"name": "regina", "region": "sask", "vms": 1, "share": 1.0, "phase": 0.0}


class Body:
    """Collects the body of a parsed request."""

    def __init__(self):
        self.body, self.chunks, self.is_complete = b"", 0, False

    def on_body(self, data):
        self.body += data

    def on_chunk_header(self):
        self.chunks += 1

    def on_message_complete(self):
        self.is_complete = True


def test_callers_of_a_failure_domain_share_objects_of_their_own():
    """Guards against objects so many that no target is warm, or the same ones everywhere."""
    rng = random.Random(1)
    kind = {"name": "reads", "things": 5, "skew": 0.2}
    paths = [draw_path(kind, PLACE, rng) for _ in range(5000)]
    assert set(paths) == {f"/reads/regina-{number}" for number in range(5)}
    assert paths.count("/reads/regina-0") > 1.2 * paths.count("/reads/regina-4")
    assert draw_path(kind, {**PLACE, "name": "calgary"}, rng).startswith("/reads/calgary-")


def test_the_rate_of_a_failure_domain_follows_its_wave():
    """Guards against a steady load, beside which no VM is at its peak when it stops."""
    rng, wave = random.Random(1), {"swing": 0.5, "period_s": 40.0}
    sent = [sum(is_sent(wave, PLACE, at, rng) for _ in range(3000)) for at in (0.0, 10.0, 30.0)]
    assert [count / 3000 for count in sent] == pytest.approx([1 / 1.5, 1.0, 0.5 / 1.5], abs=0.04)
    assert all(is_sent({}, PLACE, at, rng) for at in range(40))


@pytest.mark.parametrize("size", [1, 2, 400, 60_000])
def test_bodies_in_chunks_arrive_unchanged(size):
    """Guards against findings that the soak's own framing causes."""
    body, found = random.Random(1).randbytes(size), Body()
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    httptools.HttpRequestParser(found).feed_data(head + encode_chunks(body, random.Random(1)))
    assert (found.body, found.is_complete) == (body, True)
    assert size == 1 or found.chunks > 2


@pytest.mark.parametrize("name", ["campoverde", "nishikawa", "pmrf"])
def test_targets_keep_about_twice_the_objects_of_their_service(name):
    """Guards against a deployment whose targets cannot be warm, or are warm wherever work goes."""
    deployment = load_deployment(name)
    places = len(deployment["places"])
    for service in deployment["services"]:
        kinds = [each for each in deployment["classes"] if each["service"] == service["name"]]
        objects = places * sum(kind["things"] for kind in kinds)
        kept = service["warm_keeps"] * sum(service["targets"].values())
        assert 1.8 <= kept / objects <= 2.3
    resources = Layout(deployment, "127.210.0").configuration(1)["resources"]
    routes = [each["spec"] for each in resources if each["resKind"] == "routes"]
    assert all(route["sticky"] for route in routes)


@pytest.mark.processes
def test_most_work_of_a_calm_run_is_warm_and_few_requests_are_refused(tmp_path):
    """Guards against a soak whose targets are overloaded because their work is cold."""
    finished = run_soak(tmp_path, "--seed", "2", "--seconds", "12", "--faults", "none")
    assert finished.returncode == 0, finished.stdout + finished.stderr
    lines = [
        json.loads(line)
        for path in (tmp_path / "run").glob("*.jsonl")
        for line in path.read_text().splitlines()
    ]
    warm = [line["is_warm"] for line in lines if "is_warm" in line]
    requests = [line for line in lines if line["what"] == "request"]
    refused = [line for line in requests if line["status"] == 503]
    assert 0.6 <= sum(warm) / len(warm) <= 0.98
    assert len(refused) < len(requests) / 20
