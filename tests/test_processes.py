"""Tests that need separate processes: kills, pauses, stops and lost responses."""

import concurrent.futures
import signal
import threading
import time

import msgspec
import pytest

from carawaybank import headers
from standins.caller import Caller
from standins.cluster import running_cluster

pytestmark = pytest.mark.processes

SHORT_LOOK_UP_TTL = "entries_ttl_s = 0.3"
SLOTS = 8


def make_ticket(number, author="mori", **tables):
    return {"number": number, "author": author, "reason": "test", **tables}


def make_first_ticket(cluster):
    failure_domains = {vm.failure_domain: {"region": vm.region} for vm in cluster.vms.values()}
    return make_ticket(
        1,
        regions={vm.region: {"utilisation": 1.0} for vm in cluster.vms.values()},
        failure_domains=failure_domains,
        services={"dispatch": {}},
        targets={
            name: {
                "service": "dispatch",
                "failure_domain": name.rpartition("-")[0],
                "address": address,
                "slots": SLOTS,
            }
            for name, address in cluster.targets.items()
        },
    )


@pytest.fixture
def cluster():
    """Yields two failure domains of two entry VMs and two targets each, with ticket 1 in force."""
    with running_cluster() as running:
        running.start_platform()
        for domain in ("regina", "saskatoon"):
            for index in (1, 2):
                running.start_target(f"{domain}-{index}", slots=SLOTS)
        for domain in ("regina", "saskatoon"):
            for index in (1, 2):
                running.start_vm(f"{domain}-vm{index}", "sask", domain, requests=SHORT_LOOK_UP_TTL)
        for name, vm in running.vms.items():
            running.wait_for(
                lambda a=vm.control_address: running.call("GET", a, "/v1/status")[0] == 200,
                name=name,
            )
        assert (
            running.submit_ticket("regina-vm1", make_first_ticket(running))["verdict"] == "accepted"
        )
        for name in running.vms:
            running.wait_ready(name)
        running.wait_for(lambda: owned_targets(running) == set(running.targets), name="owners")
        yield running


def owned_targets(cluster):
    names = []
    for name, vm in cluster.vms.items():
        if name in cluster.processes:
            dump = cluster.call("GET", vm.control_address, "/v1/dump")[1]
            names += [target["name"] for target in dump.get("owned", [])]
    assert len(names) == len(set(names)), "a target has two owners"
    return set(names)


def count_runs(cluster, request_id):
    return sum(report["runs"].get(request_id, 0) for report in fetch_target_reports(cluster))


def fetch_target_reports(cluster):
    addresses = [a for name, a in cluster.targets.items() if name in cluster.processes]
    return [cluster.call("GET", address, "/runs")[1] for address in addresses]


def send(cluster, vm, request_id, path="/run", *, first_send=False, deadline_ms=3000, **extra):
    request_headers = {
        headers.REQUEST_ID: request_id,
        headers.CUSTOMER: "prairie",
        headers.DEADLINE_MS: str(deadline_ms),
        **({headers.FIRST_SEND: "true"} if first_send else {}),
        **extra,
    }
    address = cluster.vms[vm].callers_address
    return cluster.call("POST", address, f"/v1/forward/dispatch{path}", b"job", request_headers)


def fetch_id_prefix(cluster, vm):
    look_up = cluster.call("GET", cluster.vms[vm].callers_address, "/v1/entries")[1]
    return next(entry["id_prefix"] for entry in look_up["entries"] if entry["vm"] == vm)


def test_request_runs_once_when_its_entry_vm_is_killed_during_the_run(cluster):
    """Guards against a second run of a request after its entry VM was killed during the first.

    Other entry VMs must report may-have-run and an incident; the replacement must not run it again.
    """
    request_id = fetch_id_prefix(cluster, "regina-vm1") + ".order-1"
    work_headers = {"X-Work-Ms": "800"}
    sender = threading.Thread(
        target=lambda: send(cluster, "regina-vm1", request_id, first_send=True, **work_headers)
    )
    sender.start()
    cluster.wait_for(lambda: count_runs(cluster, request_id) == 1, name="dispatch")
    cluster.kill("regina-vm1")
    status, document, _ = send(cluster, "saskatoon-vm1", request_id)
    sender.join()
    assert (status, document["verdict"]) == (504, "may-have-run")
    assert request_id in document["advice"]
    incidents = f"http://{cluster.vms['regina-vm2'].control_address}/v1/incidents"
    cluster.wait_for(lambda: request_id in cluster.http.request("GET", incidents).data.decode())
    cluster.start_vm("regina-vm1", "sask", "regina", requests=SHORT_LOOK_UP_TTL)
    cluster.wait_ready("regina-vm1")
    assert send(cluster, "regina-vm1", request_id)[1]["verdict"] == "may-have-run"
    assert count_runs(cluster, request_id) == 1


def test_request_sent_through_all_entry_vms_runs_once(cluster):
    """Guards against several runs of a request that is sent to all entry VMs at the same time."""
    request_id = fetch_id_prefix(cluster, "regina-vm1") + ".order-2"
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        responses = list(pool.map(lambda vm: send(cluster, vm, request_id), [*cluster.vms] * 3))
    assert any(status == 200 for status, _, _ in responses)
    assert count_runs(cluster, request_id) == 1
    verdict = cluster.call(
        "GET", cluster.vms["regina-vm1"].callers_address, f"/v1/requests/{request_id}"
    )
    assert verdict[0] == 200


def test_request_bound_to_a_paused_entry_vm_runs_at_most_once(cluster):
    """Guards against a second run when the entry VM that an id is bound to is paused.

    Sends through other entry VMs time out, and the paused one may process them after it resumes.
    """
    request_id = fetch_id_prefix(cluster, "regina-vm1") + ".order-3"
    cluster.pause("regina-vm1")
    status, document, _ = send(cluster, "saskatoon-vm1", request_id, deadline_ms=700)
    assert (status, document["verdict"]) == (504, "may-have-run")
    status, document, _ = send(cluster, "regina-vm2", request_id, deadline_ms=700)
    assert document["verdict"] == "may-have-run"
    cluster.resume("regina-vm1")
    time.sleep(1.0)
    assert count_runs(cluster, request_id) <= 1


def test_look_ups_omit_a_paused_entry_vm_until_it_resumes(cluster):
    """Guards against look-ups that return a paused entry VM, or omit it after it has resumed.

    Its targets must have owners again after the resume.
    """
    cluster.pause("regina-vm1")
    vm_address = cluster.vms["saskatoon-vm1"].callers_address

    def is_listed():
        entries = cluster.call("GET", vm_address, "/v1/entries?failure_domain=regina")[1]["entries"]
        return "regina-vm1" in {entry["vm"] for entry in entries}

    cluster.wait_for(lambda: not is_listed(), name="suspicion", timeout_s=10.0)
    cluster.resume("regina-vm1")
    cluster.wait_for(is_listed, name="return", timeout_s=10.0)
    cluster.wait_for(lambda: owned_targets(cluster) == set(cluster.targets), name="owners")


def test_paused_entry_vm_that_the_platform_removed_stops_after_it_resumes(cluster):
    """Guards against an entry VM that keeps running after the platform removed it during a pause.

    Siblings take over its targets; once resumed, it must log that they consider it dead, and exit.
    """
    remaining = [name for name in cluster.vms if name != "regina-vm1"]
    cluster.pause("regina-vm1")
    vm_list = msgspec.json.encode([{"name": name, "state": "live"} for name in remaining])
    cluster.call("PUT", cluster.platform_address, "/vms", vm_list)
    paused_process = cluster.processes.pop("regina-vm1")
    cluster.wait_for(lambda: owned_targets(cluster) == set(cluster.targets), name="takeover")
    request_id = "regina-vm1.1.0.early"
    paused_process.send_signal(signal.SIGCONT)
    cluster.processes["regina-vm1"] = paused_process
    status, _, _ = send(cluster, "regina-vm1", request_id, **{headers.REPEATABLE: "true"})
    assert status in (0, 200, 503)
    assert paused_process.wait(20.0) == 0
    assert "hold this process for dead" in (cluster.directory / "regina-vm1.log").read_text()


def test_request_that_crashes_targets_crashes_two_at_most(cluster):
    """Guards against retries that spread a request which crashes its target to all targets."""
    body = b"poison"
    for _ in range(3):
        for vm in cluster.vms.values():
            fields = {headers.REPEATABLE: "true"}
            cluster.call("POST", vm.callers_address, "/v1/forward/dispatch/crash", body, fields)
    crashed = [name for name in cluster.targets if cluster.processes[name].poll() is not None]
    assert 1 <= len(crashed) <= 2
    caller = Caller(cluster=cluster, name="others")
    assert all(caller.send(repeatable=True).status == 200 for _ in range(10))


def test_draining_target_receives_no_requests_after_two_seconds(cluster):
    """Guards against requests to a target more than 2 s after it has begun to drain."""
    caller = Caller(cluster=cluster, name="steady")
    end_at = time.monotonic() + 4.0
    draining_address = cluster.targets["regina-1"]
    cluster.call("POST", draining_address, "/drain", b"")
    while time.monotonic() < end_at:
        assert caller.send(repeatable=True).status == 200
    report = cluster.call("GET", draining_address, "/runs")[1]
    assert report["last_run_at"] <= report["drained_at"] + 2.0


def test_graceful_stops_fail_no_requests(cluster):
    """Guards against requests that fail because their entry VM is stopped and restarted."""
    stop_count = 20
    failures = []
    finished = threading.Event()

    def send_until_finished(index):
        caller = Caller(cluster=cluster, name=f"caller-{index}")
        while not finished.is_set():
            result = caller.send(repeatable=bool(index % 2), extra_headers={"X-Work-Ms": "20"})
            if result.status != 200:
                failures.append(result)

    names = list(cluster.vms)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        futures = [pool.submit(send_until_finished, index) for index in range(4)]
        try:
            for number in range(stop_count):
                name = names[number % len(names)]
                vm = cluster.vms[name]
                assert cluster.stop(name) == 0
                cluster.start_vm(name, vm.region, vm.failure_domain, requests=SHORT_LOOK_UP_TTL)
                cluster.wait_ready(name)
        finally:
            finished.set()
    for future in futures:
        future.result()
    assert failures == []


def test_a_hangup_does_not_end_a_daemon(cluster):
    """Guards against SIGHUP ending a daemon that reads its settings at the start only."""
    process = cluster.processes["regina-vm1"]
    process.send_signal(signal.SIGHUP)
    request_id = fetch_id_prefix(cluster, "regina-vm1") + ".after-hangup"
    assert send(cluster, "regina-vm1", request_id, first_send=True)[0] == 200
    assert process.poll() is None


def test_daemon_exits_with_an_error_if_its_address_is_in_use(cluster):
    """Guards against a daemon that keeps running although it cannot listen for callers."""
    used_address = cluster.vms["regina-vm1"].callers_address
    stopped_vm = cluster.vms["regina-vm2"]
    assert cluster.stop("regina-vm2") == 0
    cluster.vms["regina-vm2"] = stopped_vm._replace(callers_address=used_address)
    cluster.start_vm("regina-vm2", "sask", "regina", requests=SHORT_LOOK_UP_TTL)
    assert cluster.processes["regina-vm2"].wait(10.0) == 1
    assert f"cannot listen on {used_address}" in cluster.log_tail("regina-vm2")[-1]


def test_callers_succeed_after_all_entry_vms_were_paused(cluster):
    """Guards against entry VMs that refuse look-ups forever after all were paused together.

    Each one waits for a response of a sibling before it serves look-ups again.
    """
    caller = Caller(cluster=cluster, name="patient")
    for name in cluster.vms:
        cluster.pause(name)
    time.sleep(2.0)
    for name in cluster.vms:
        cluster.resume(name)
    assert [caller.send(repeatable=True).status for _ in range(5)] == [200] * 5


def test_concurrent_tickets_of_one_number_accept_exactly_one(cluster):
    """Guards against two accepted tickets of one number when operators submit concurrently."""
    names = list(cluster.vms)
    for number in range(2, 6):
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(
                pool.map(
                    lambda vm, n=number: cluster.submit_ticket(
                        vm, make_ticket(n, author=f"by-{vm}")
                    ),
                    names,
                )
            )
        accepted = [r for r in results if r["verdict"] == "accepted"]
        assert len(accepted) == 1, results
        lost = [r for r in results if r["verdict"] == "not-run"]
        assert len(lost) == len(names) - 1
        assert all("by-" in r["detail"] or "meanwhile" in r["detail"] for r in lost)


def test_ticket_is_accepted_when_the_response_to_its_write_is_lost(cluster):
    """Guards against a wrong verdict when the store writes a ticket but its response is lost.

    The daemon must read the row for the outcome and report a repeated ticket as accepted before.
    """
    cluster.set_platform_fault("drop")
    assert cluster.submit_ticket("regina-vm1", make_ticket(2))["verdict"] == "accepted"
    cluster.set_platform_fault("none")
    assert cluster.submit_ticket("saskatoon-vm1", make_ticket(2))["detail"].startswith(
        "accepted before"
    )


def test_late_write_is_reported_as_unknown_and_can_be_repeated(cluster):
    """Guards against a definite verdict while a write can still take effect after its timeout.

    The same submission can be repeated safely; another ticket of the number must be refused.
    """
    cluster.set_platform_fault("late", delay_s=1.5)
    result = cluster.submit_ticket("regina-vm1", make_ticket(2))
    assert result["verdict"] == "may-have-run"
    time.sleep(1.5)
    cluster.set_platform_fault("none")
    assert cluster.submit_ticket("regina-vm1", make_ticket(2))["verdict"] == "accepted"
    assert (
        cluster.submit_ticket("regina-vm1", make_ticket(2, author="sato"))["reason"]
        == "ticket-race-lost"
    )


def test_replacement_serves_with_the_current_ticket_while_the_store_is_down(cluster):
    """Guards against a dependency on the store for serving requests or replacing an entry VM.

    The replacement must receive the ticket in force from its siblings.
    """
    assert cluster.submit_ticket("regina-vm1", make_ticket(2))["verdict"] == "accepted"
    wait_for_ticket_everywhere(cluster, 2)
    cluster.set_platform_fault("refuse")
    refused = cluster.submit_ticket("regina-vm1", make_ticket(3))
    assert (refused["verdict"], refused["reason"]) == ("not-run", "platform-unreachable")
    cluster.kill("regina-vm1")
    cluster.start_vm("regina-vm1", "sask", "regina", requests=SHORT_LOOK_UP_TTL)
    cluster.wait_ready("regina-vm1")
    request_id = fetch_id_prefix(cluster, "regina-vm1") + ".order-4"
    status, _, response_headers = send(cluster, "regina-vm1", request_id, first_send=True)
    assert (status, response_headers[headers.TICKET]) == (200, "2")


def test_isolated_daemon_refuses_look_ups_with_a_retry_delay():
    """Guards against look-ups served with no platform or sibling, or refused with no retry time."""
    with running_cluster() as isolated:
        vm = isolated.start_vm("regina-vm1", "sask", "regina", requests=SHORT_LOOK_UP_TTL)
        isolated.wait_for(lambda: isolated.call("GET", vm.callers_address, "/v1/entries")[0] == 503)
        status, document, response_headers = isolated.call("GET", vm.callers_address, "/v1/entries")
        assert (status, document["verdict"]) == (503, "not-run")
        assert int(response_headers["Retry-After"]) >= 1


def wait_for_ticket_everywhere(cluster, number):
    for name, vm in cluster.vms.items():
        cluster.wait_for(
            lambda a=vm.control_address: (
                cluster.call("GET", a, "/v1/status")[1]["ticket"] >= number
            ),
            name=name,
        )


def test_ticket_applies_to_requests_at_all_running_vms_within_four_seconds(cluster):
    """Guards against responses under the old ticket 4 s after a new one while one VM is paused."""
    cluster.pause("saskatoon-vm2")
    submitted_at = time.monotonic()
    assert cluster.submit_ticket("regina-vm1", make_ticket(2))["verdict"] == "accepted"
    for vm in ("regina-vm1", "regina-vm2", "saskatoon-vm1"):
        cluster.wait_for(
            lambda vm=vm: (
                send(cluster, vm, f"r-{time.monotonic()}", **{headers.REPEATABLE: "true"})[2][
                    headers.TICKET
                ]
                == "2"
            ),
            name=vm,
            timeout_s=4.0 - (time.monotonic() - submitted_at),
        )


def test_only_readers_of_each_failure_domain_read_the_store(cluster):
    """Guards against store reads by every daemon instead of two readers per failure domain."""
    cluster.call("POST", cluster.platform_address, "/faults", msgspec.json.encode({"mode": "none"}))
    reads_before = cluster.call("GET", cluster.platform_address, "/counts")[1]["reads"]
    time.sleep(3.0)
    reads = cluster.call("GET", cluster.platform_address, "/counts")[1]["reads"] - reads_before
    readers = 2 * len({vm.failure_domain for vm in cluster.vms.values()})
    assert reads <= readers * 2 * 3.0 / 0.8 + readers


def test_requests_are_refused_at_once_when_all_threads_are_busy():
    """Guards against requests that queue behind slow ones until their deadline.

    With 8 threads, 6 of 20 slow requests run, and the other 14 must be refused with a retry delay.
    """
    with running_cluster() as running:
        running.start_platform()
        running.start_target("regina-1", slots=64)
        running.start_vm("regina-vm1", "sask", "regina", requests="threads = 8")
        control = running.vms["regina-vm1"].control_address
        running.wait_for(lambda: running.call("GET", control, "/v1/status")[0] == 200)
        ticket = make_first_ticket(running)
        ticket["targets"]["regina-1"]["slots"] = 64
        running.submit_ticket("regina-vm1", ticket)
        running.wait_ready("regina-vm1")
        caller = Caller(cluster=running, name="first")
        running.wait_for(lambda: caller.send(repeatable=True).status == 200)

        def send_slow(_):
            sent_at = time.monotonic()
            fields = {headers.REPEATABLE: "true", "X-Work-Ms": "3000"}
            status, response, _ = send(running, "regina-vm1", "r", deadline_ms=8000, **fields)
            return status, response, time.monotonic() - sent_at

        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            results = list(pool.map(send_slow, range(20)))
    refused = [result for result in results if result[0] == 503]
    assert len(refused) == 14
    assert sum(result[0] == 200 for result in results) == 6
    assert max(latency_s for _, _, latency_s in refused) < 2.0
    assert all(response["retry_after_s"] > 0 for _, response, _ in refused)
