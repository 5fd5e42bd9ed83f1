"""Look-ups: the list depends on the caller's address, unless many callers share it."""

import asyncio
import json

import pytest

from carawaybank.callers.listeners import AddressWait
from carawaybank.callers.requests import CallerRequest
from carawaybank.client import ClientConnection, HttpCall
from carawaybank.counters import Counters
from carawaybank.deployment import Deployment
from carawaybank.endpoints import Endpoints
from carawaybank.exposition import Exposition
from carawaybank.journal import Journal
from carawaybank.siblings.vms import VmDirectory
from standins.cluster import allocate_port, process_ip
from tests.routing.builders import make_router
from tests.siblings.test_weights import SIZES, make_directories, make_record
from tests.store_world import make_adapter

PATH = "/resolve?name=a.example&zone=a1&region=a"
IP = process_ip()


def make_endpoints(vms, **options):
    counters = Counters()
    return Endpoints(
        adapter=make_adapter("127.0.0.1:1"),
        router=make_router(),
        vms=vms,
        counters=counters,
        metrics=Exposition(vm="l1", counters=counters),
        is_ready=lambda: True,
        **options,
    )


def test_a_caller_gets_its_own_list_and_the_callers_of_a_proxy_get_all_vms():
    """Guards against lists that ignore the address, and against a proxy bound to a few VMs."""

    async def run():
        endpoints = make_endpoints(make_directories(SIZES)["l1"])

        def look_up(peer):
            request = CallerRequest("GET", PATH, [], b"", peer)
            return json.loads(endpoints.handle_lookup(request, max_ttl_s=5.0).body)["addrs"]

        lists = {tuple(look_up(f"10.0.0.{number}")) for number in range(50)}
        assert len(lists) > 4
        assert {len(listed) for listed in lists} > {2, 3}
        for _ in range(50):
            shared = look_up("10.9.9.9")
        assert len(shared) == len(SIZES)

    asyncio.run(run())


@pytest.mark.parametrize(("read_after_s", "listed"), [(0.1, 2), (60.0, 1)])
def test_a_look_up_waits_briefly_until_the_registrations_were_read(read_after_s, listed):
    """Guards against a VM that starts and lists only itself, and against one that never answers."""

    async def run():
        loop = asyncio.get_running_loop()
        read_at = loop.time() + read_after_s
        vms = VmDirectory(own=make_record("l1"))
        endpoints = make_endpoints(vms, has_read_vms=lambda: loop.time() >= read_at)
        loop.call_at(read_at, lambda: vms.update(make_record("l2"), now=loop.time()))
        ready, directory = (f"{IP}:{allocate_port()}" for _ in range(2))
        deployment = Deployment("l1", IP, "a1", "a", "", ready, directory, 1, "", {})
        wait = AddressWait(wait_s=0.0, journal=Journal(vm="l1", write=lambda line: None))
        servers = await endpoints.listen(deployment, ttl_s=lambda: 2.0, wait=wait)
        connection = await ClientConnection.open(directory, timeout_s=1.0)
        reply = await connection.exchange(HttpCall("GET", PATH, [("Host", "x")]), timeout_s=1.0)
        assert len(json.loads(reply.body)["addrs"]) == listed
        connection.close()
        for server in servers:
            server.close()

    asyncio.run(run())
