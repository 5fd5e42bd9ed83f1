"""An entry VM as a process, with a simulated store, a simulated target and callers."""

import asyncio
import json
import os
import signal
import sys

import pytest

from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.callers.listeners import listen
from carawaybank.client import ClientConnection, HttpCall
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits
from standins.cluster import process_ip
from standins.rowstore import RowStore
from tests.platform.sites import choose_ports, replace_ports, wait_until_ready
from tests.test_deployment import SETTINGS
from tests.test_odd_rows import ODD_ROWS

pytestmark = pytest.mark.processes

ROUTE = {
    "host": "a.example",
    "prefix": "/x/",
    "kind": "non_idempotent",
    "timeoutMs": 3000,
    "sloMs": 1000,
    "priority": 1,
    "service": "ledger",
    "attempts": 2,
    "sticky": True,
}
CONFIGURATION = {
    "version": "00000002",
    "resources": [
        {"resKind": "routes", "metadata": {"name": "r"}, "spec": ROUTE},
        {"resKind": "services", "metadata": {"name": "ledger"}, "spec": {"healthPath": "/h"}},
    ],
}
CALL_S = 5.0
#: Seconds after a failure of the store within which all bounds must hold again.
STABLE_S = 4.0


class Target:
    """A target that responds while its gate is open, and records the requests that it ran."""

    limits = Limits

    def __init__(self):
        self.runs = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def handle(self, request):
        self.runs.append(request)
        await self.gate.wait()
        headers = [
            ("X-Carawaybank-Request-Id", request.header("X-Carawaybank-Request-Id")),
            ("X-Carawaybank-Server-Seal", "sealed"),
        ]
        return HttpReply(200, headers, b"done " + request.body)

    async def start(self):
        context = ConnectionContext(
            handle=self.handle, limits=self.limits, is_closing=lambda: False
        )
        connections = set()
        self.server = await listen(
            "127.0.0.1:0", lambda: CallerConnection(context=context, connections=connections)
        )
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"


def make_heartbeat(address):
    return {
        "service": "ledger",
        "addr": address,
        "zone": "regina",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }


async def run_process(path, *arguments, **streams):
    command = [sys.executable, "-m", "carawaybank.platform", *arguments]
    environment = {**os.environ, "CARAWAYBANK_SETTINGS": str(path)}
    return await asyncio.create_subprocess_exec(*command, env=environment, **streams)


class Node:
    """The process of an entry VM with its store and target."""

    async def __aenter__(self):
        self.store, self.target = RowStore(), Target()
        store_address = await self.store.start()
        target_address = await self.target.start()
        await self.store.put("op", "config", CONFIGURATION)
        await self.store.put("servers", "t1", make_heartbeat(target_address))
        control = 'directory_address = "127.0.0.1:8102"\ncontrol_address = "127.0.0.1:8105"'
        text = SETTINGS.replace('directory_address = "127.0.0.1:8102"', control)
        text = text.replace("127.0.0.1", process_ip())
        self.ports = choose_ports()
        self.text = replace_ports(text, self.ports).replace(f"{process_ip()}:8104", store_address)
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.communicate()  # Its end is noticed once its output is read.
        await self.store.stop()
        self.target.server.close()

    async def start(self, tmp_path):
        self.path = tmp_path / "node.toml"
        self.path.write_text(self.text)
        pipe, stdout = asyncio.subprocess.PIPE, asyncio.subprocess.STDOUT
        self.process = await run_process(self.path, stdout=pipe, stderr=stdout)
        await wait_until_ready(self.process, self.is_ready, self.output)

    async def is_ready(self):
        return await self.status("8101", "/readyz") == 200

    async def status(self, port, path):
        try:
            return (await self.call(port, path)).status
        except Exception:  # The process does not listen yet or any more.
            return None

    async def call(self, port, path, *, method="GET", body=b"", request_id="r1"):
        address = f"{process_ip()}:{self.ports[port]}"
        headers = [
            ("Host", "a.example"),
            ("X-Carawaybank-Request-Id", request_id),
            ("X-Carawaybank-Deadline-Ms", "3000"),
        ]
        connection = await ClientConnection.open(address, timeout_s=1.0)
        try:
            call = HttpCall(method, path, headers, body)
            return await connection.exchange(call, timeout_s=CALL_S)
        finally:
            connection.close()

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def output(self):
        return (await self.process.stdout.read()).decode()


def run_scenario(tmp_path, scenario, change_settings=lambda text: text):
    async def run():
        async with Node() as node:
            node.text = change_settings(node.text)
            await node.start(tmp_path)
            await scenario(node)

    asyncio.run(run())


def test_a_request_is_served_and_look_ups_return_the_vm(tmp_path):
    async def scenario(node):
        reply = await node.call("8100", "/x/1", method="POST", body=b"order")
        assert (reply.status, reply.body) == (200, b"done order")
        assert reply.header("X-Carawaybank-Server-Seal") == "sealed"
        found = await node.call("8102", "/resolve?name=a.example&region=sask&zone=regina")
        assert json.loads(found.body)["addrs"] == [f"{process_ip()}:{node.ports['8100']}"]
        assert (await node.call("8100", "/none/1")).status == 404

    run_scenario(tmp_path, scenario)


def test_a_vm_with_a_size_states_its_weight_and_removes_it_at_the_end(tmp_path):
    """Guards against a size in the settings that siblings never hear of."""

    async def scenario(node):
        await node.wait_until(lambda: node.store.value("carawaybank", "vm-weight/regina-1"))
        row = json.loads(node.store.value("carawaybank", "vm-weight/regina-1"))
        assert 0 < row["weight"] < 1000
        found = await node.call("8102", "/resolve?name=a.example&region=sask&zone=regina")
        assert json.loads(found.body)["addrs"] == [f"{process_ip()}:{node.ports['8100']}"]
        node.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(node.process.wait(), 10) == 0
        assert node.store.value("carawaybank", "vm-weight/regina-1") is None
        assert '"part":"weights","event":"own"' in await node.output()

    size = "[vm]\ncpu_share = 0.301\ncores = 1\nlink_mbps = 10"
    run_scenario(tmp_path, scenario, lambda text: text.replace("[vm]", size))


def test_the_control_address_serves_the_state(tmp_path):
    async def scenario(node):
        assert (await node.call("8100", "/x/1", method="POST")).status == 200
        reply = await node.call("8105", "/v1/dump")
        dump = json.loads(reply.body)
        assert (dump["vm"], dump["configuration"], dump["requests"]) == ("regina-1", 2, 0)
        assert [target["target_id"] for target in dump["targets"]] == ["t1"]
        assert {table["table"] for table in dump["tables"]} >= {"op", "servers"}
        assert all(table["read_s"] >= 0 for table in dump["tables"])
        assert (await node.call("8105", "/none")).status == 404

    run_scenario(tmp_path, scenario)


def test_an_explanation_is_served_at_the_control_address_only(tmp_path):
    """Guards against a tool that sends the request, or that callers can use."""
    query = json.dumps({"host": "a.example", "path": "/x/1"}).encode()

    async def scenario(node):
        reply = await node.call("8105", "/v1/explain", method="POST", body=query)
        plan = json.loads(reply.body)["services"][0]
        assert (reply.status, plan["decision"][:10]) == (200, "sent to t1")
        assert all(run.path != "/x/1" for run in node.target.runs)
        assert (await node.call("8105", "/v1/explain", method="POST", body=b"{}")).status == 400
        assert (await node.call("8100", "/v1/explain", method="POST", body=query)).status == 404

    run_scenario(tmp_path, scenario)


def test_an_address_in_use_ends_the_process_with_an_error_message(tmp_path):
    async def run():
        async with Node() as node:
            await node.start(tmp_path)
            other = await run_process(node.path, stderr=asyncio.subprocess.PIPE)
            _, errors = await asyncio.wait_for(other.communicate(), 10)
            assert other.returncode == 1
            assert b"cannot listen on" in errors

    asyncio.run(run())


def test_checking_settings_starts_nothing(tmp_path):
    async def run():
        path = tmp_path / "node.toml"
        path.write_text(SETTINGS)
        process = await run_process(path, "--check", stdout=asyncio.subprocess.PIPE)
        output, _ = await asyncio.wait_for(process.communicate(), 10)
        assert process.returncode == 0
        assert output.decode() == f"{path}: right\n"

    asyncio.run(run())


def test_a_stop_finishes_requests_in_flight_and_removes_the_row_of_the_vm(tmp_path):
    """Guards against a planned stop that cuts off a request or stays registered in the store."""

    async def scenario(node):
        node.target.gate.clear()
        call = asyncio.create_task(node.call("8100", "/x/1", method="POST", body=b"order"))
        await node.wait_until(lambda: node.target.runs)
        node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(5):
            while await node.status("8101", "/readyz") == 200:
                await asyncio.sleep(0.02)
        node.target.gate.set()
        reply = await call
        assert reply.status == 200
        assert reply.header("connection") == "close"
        assert await asyncio.wait_for(node.process.wait(), 10) == 0
        assert node.store.value("carawaybank", "vm/regina-1") is None
        output = await node.output()
        assert '"event":"stopping"' in output
        assert '"event":"stopped"' in output

    run_scenario(tmp_path, scenario)


def test_a_killed_vm_serves_again_after_a_restart_with_the_rows_of_the_store(tmp_path):
    """Guards against a VM that needs state of its earlier process to serve."""

    async def scenario(node):
        node.process.kill()
        await node.process.wait()
        assert await node.status("8101", "/readyz") is None
        await node.start(tmp_path)
        assert (await node.call("8100", "/x/1", method="POST")).status == 200
        dump = json.loads((await node.call("8105", "/v1/dump")).body)
        assert (dump["configuration"], len(dump["targets"])) == (2, 1)

    run_scenario(tmp_path, scenario)


def test_a_vm_beside_odd_rows_serves_and_follows_also_after_a_restart(tmp_path):
    """Guards against one row of another program that ends, or stops, all VMs that read it."""

    async def scenario(node):
        async def serve_and_follow(version, prefix):
            for number in range(10):
                assert (await node.call("8100", f"/x/{number}", method="POST")).status == 200
            await node.store.put("op", "config", configuration(version, "/x/", prefix))
            async with asyncio.timeout(CALL_S):
                while (await node.call("8100", f"{prefix}1")).status != 200:
                    await asyncio.sleep(0.05)

        for number, value in enumerate(ODD_ROWS.values()):
            await node.store.put("servers", f"odd-{number}", value)
            await node.store.put("carawaybank", f"vm/odd-{number}", value)
            await node.store.put("carawaybank", f"crash/odd-{number}", value)
        await serve_and_follow(3, "/new/")
        node.process.kill()
        await node.process.wait()
        await node.start(tmp_path)
        await serve_and_follow(4, "/newer/")

    run_scenario(tmp_path, scenario)


def test_a_reload_of_valid_or_invalid_settings_does_not_end_the_process(tmp_path):
    async def scenario(node):
        node.path.write_text(node.text.replace("retry_slack = 62", "retry_slack = 17"))
        node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        node.path.write_text("not settings")
        node.process.send_signal(signal.SIGHUP)
        assert (await node.call("8100", "/x/1", method="POST")).status == 200
        node.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(node.process.wait(), 10) == 0
        output = await node.output()
        assert '"event":"settings changed"' in output
        assert '"event":"settings passed over"' in output

    run_scenario(tmp_path, scenario)


def test_a_request_whose_caller_disconnects_does_not_run_twice(tmp_path):
    """Guards against a second attempt of a non-idempotent request.

    The caller disconnects while the target still runs the first attempt.
    """

    async def scenario(node):
        node.target.gate.clear()
        call = asyncio.create_task(node.call("8100", "/x/1", method="POST", body=b"order"))
        await node.wait_until(lambda: node.target.runs)
        call.cancel()
        await asyncio.sleep(0.2)
        node.target.gate.set()
        assert (await node.call("8100", "/x/2", method="POST", request_id="r2")).status == 200
        assert [run.header("X-Carawaybank-Request-Id") for run in node.target.runs] == ["r1", "r2"]

    run_scenario(tmp_path, scenario)


def test_wrong_settings_end_the_process_with_an_error_message(tmp_path):
    async def run():
        path = tmp_path / "node.toml"
        path.write_text(SETTINGS.replace("retry_slack = 62", "retry_slack = -1"))
        process = await run_process(path, stderr=asyncio.subprocess.PIPE)
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert b"retry_slack" in errors

    asyncio.run(run())


def configuration(version, *prefixes):
    routes = [
        {"resKind": "routes", "metadata": {"name": prefix}, "spec": {**ROUTE, "prefix": prefix}}
        for prefix in prefixes
    ]
    service = CONFIGURATION["resources"][1]
    return {"version": f"{version:08x}", "resources": [*routes, service]}


def test_a_vm_follows_a_store_that_was_restored_from_an_older_backup(tmp_path):
    """Guards against a VM that loses routes, or ignores new rows, after a restore of the store.

    The store is restored from a backup with lower versions than those in force. The VM must keep
    the lost configuration until another one is written, and then follow the new era.
    """

    async def scenario(node):
        async def wait_for_status(path, status, method="GET"):
            async with asyncio.timeout(STABLE_S):
                while (await node.call("8100", path, method=method)).status != status:
                    await asyncio.sleep(0.05)

        backup = node.store.make_backup()
        for version in range(3, 8):
            await node.store.put("op", "config", configuration(version, "/x/", "/lost/"))
        await node.wait_until(lambda: node.store.value("carawaybank", "vm/regina-1"))
        await wait_for_status("/lost/1", 200)
        node.store.set_error_status(503)
        await asyncio.sleep(0.5)
        node.store.restore(backup)
        node.store.set_error_status(0)
        assert (await node.call("8100", "/lost/2")).status == 200
        await node.store.put("op", "config", configuration(3, "/x/", "/new/"))
        await wait_for_status("/new/1", 200)
        assert (await node.call("8100", "/lost/3")).status == 404
        await node.wait_until(lambda: node.store.value("carawaybank", "vm/regina-1"))
        leaving = {**json.loads(node.store.value("servers", "t1")), "state": "draining", "seq": 2}
        await node.store.put("servers", "t1", leaving)
        await wait_for_status("/x/9", 503)
        dump = json.loads((await node.call("8105", "/v1/dump")).body)
        assert {table["era"] for table in dump["tables"]} == {2}

    run_scenario(tmp_path, scenario)
