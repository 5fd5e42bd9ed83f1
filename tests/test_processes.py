"""What only separate processes can show: kills, pauses, stops and lost answers."""

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

QUICK = "entries_ttl_s = 0.3"
SLOTS = 8


def ticket(number, author="mori", **tables):
    return {"number": number, "author": author, "reason": "test", **tables}


def first_ticket(cluster):
    places = {vm.failure_domain: {"region": vm.region} for vm in cluster.vms.values()}
    return ticket(
        1,
        regions={vm.region: {"utilisation": 1.0} for vm in cluster.vms.values()},
        failure_domains=places,
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
    """Two failure domains with two entry VMs and two targets each, ticket 1 in force."""
    with running_cluster() as running:
        running.start_platform()
        for domain in ("regina", "saskatoon"):
            for index in (1, 2):
                running.start_target(f"{domain}-{index}", slots=SLOTS)
        for domain in ("regina", "saskatoon"):
            for index in (1, 2):
                running.start_vm(f"{domain}-vm{index}", "sask", domain, requests=QUICK)
        for name, vm in running.vms.items():
            running.wait_for(
                lambda a=vm.control_address: running.call("GET", a, "/v1/status")[0] == 200,
                what=name,
            )
        assert running.submit("regina-vm1", first_ticket(running))["verdict"] == "accepted"
        for name in running.vms:
            running.wait_ready(name)
        running.wait_for(lambda: owned(running) == set(running.targets), what="owners")
        yield running


def owned(cluster):
    found = []
    for name, vm in cluster.vms.items():
        if name in cluster.processes:
            dump = cluster.call("GET", vm.control_address, "/v1/dump")[1]
            found += [target["name"] for target in dump.get("owned", [])]
    assert len(found) == len(set(found)), "a target has two owners"
    return set(found)


def runs(cluster, request_id):
    return sum(report["runs"].get(request_id, 0) for report in reports(cluster))


def reports(cluster):
    addresses = [a for name, a in cluster.targets.items() if name in cluster.processes]
    return [cluster.call("GET", address, "/runs")[1] for address in addresses]


def send(cluster, vm, request_id, path="/run", *, first=False, deadline_ms=3000, **marks):
    sent = {
        headers.REQUEST_ID: request_id,
        headers.CUSTOMER: "prairie",
        headers.DEADLINE_MS: str(deadline_ms),
        **({headers.FIRST_SEND: "true"} if first else {}),
        **marks,
    }
    address = cluster.vms[vm].callers_address
    return cluster.call("POST", address, f"/v1/forward/dispatch{path}", b"job", sent)


def prefix_of(cluster, vm):
    answer = cluster.call("GET", cluster.vms[vm].callers_address, "/v1/entries")[1]
    return next(entry["id_prefix"] for entry in answer["entries"] if entry["vm"] == vm)


def test_an_order_runs_once_though_its_entry_vm_is_killed_while_it_runs(cluster):
    request_id = prefix_of(cluster, "regina-vm1") + ".order-1"
    slow = {"X-Work-Ms": "800"}
    sender = threading.Thread(
        target=lambda: send(cluster, "regina-vm1", request_id, first=True, **slow)
    )
    sender.start()
    cluster.wait_for(lambda: runs(cluster, request_id) == 1, what="dispatch")
    cluster.kill("regina-vm1")
    status, document, _ = send(cluster, "saskatoon-vm1", request_id)
    sender.join()
    assert (status, document["verdict"]) == (504, "may-have-run")
    assert request_id in document["advice"]
    incidents = f"http://{cluster.vms['regina-vm2'].control_address}/v1/incidents"
    cluster.wait_for(lambda: request_id in cluster.http.request("GET", incidents).data.decode())
    cluster.start_vm("regina-vm1", "sask", "regina", requests=QUICK)
    cluster.wait_ready("regina-vm1")
    assert send(cluster, "regina-vm1", request_id)[1]["verdict"] == "may-have-run"
    assert runs(cluster, request_id) == 1


def test_an_order_sent_through_every_entry_vm_runs_once(cluster):
    request_id = prefix_of(cluster, "regina-vm1") + ".order-2"
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda vm: send(cluster, vm, request_id), [*cluster.vms] * 3))
    assert any(status == 200 for status, _, _ in answers)
    assert runs(cluster, request_id) == 1
    verdict = cluster.call(
        "GET", cluster.vms["regina-vm1"].callers_address, f"/v1/requests/{request_id}"
    )
    assert verdict[0] == 200


def test_an_order_bound_to_a_paused_entry_vm_never_runs_twice(cluster):
    request_id = prefix_of(cluster, "regina-vm1") + ".order-3"
    cluster.pause("regina-vm1")
    status, document, _ = send(cluster, "saskatoon-vm1", request_id, deadline_ms=700)
    assert (status, document["verdict"]) == (504, "may-have-run")
    status, document, _ = send(cluster, "regina-vm2", request_id, deadline_ms=700)
    assert document["verdict"] == "may-have-run"
    cluster.resume("regina-vm1")
    time.sleep(1.0)
    assert runs(cluster, request_id) <= 1


def test_a_paused_entry_vm_is_not_named_within_two_seconds_and_comes_back(cluster):
    cluster.pause("regina-vm1")
    via = cluster.vms["saskatoon-vm1"].callers_address

    def named():
        entries = cluster.call("GET", via, "/v1/entries?failure_domain=regina")[1]["entries"]
        return "regina-vm1" in {entry["vm"] for entry in entries}

    cluster.wait_for(lambda: not named(), what="suspicion", limit_s=10.0)
    cluster.resume("regina-vm1")
    cluster.wait_for(named, what="return", limit_s=10.0)
    cluster.wait_for(lambda: owned(cluster) == set(cluster.targets), what="owners")


def test_a_silent_entry_vm_that_the_platform_removed_is_replaced_and_stops_when_it_wakes(cluster):
    rest = [name for name in cluster.vms if name != "regina-vm1"]
    cluster.pause("regina-vm1")
    listed = msgspec.json.encode([{"name": name, "state": "live"} for name in rest])
    cluster.call("PUT", cluster.platform_address, "/vms", listed)
    paused = cluster.processes.pop("regina-vm1")
    cluster.wait_for(lambda: owned(cluster) == set(cluster.targets), what="takeover")
    request_id = "regina-vm1.1.0.early"
    paused.send_signal(signal.SIGCONT)
    cluster.processes["regina-vm1"] = paused
    status, _, _ = send(cluster, "regina-vm1", request_id, **{headers.REPEATABLE: "true"})
    assert status in (0, 200, 503)
    assert paused.wait(20.0) == 0
    assert "hold this process for dead" in (cluster.directory / "regina-vm1.log").read_text()


def test_a_request_that_crashes_targets_costs_two_at_most(cluster):
    body = b"poison"
    for _ in range(3):
        for vm in cluster.vms.values():
            marks = {headers.REPEATABLE: "true"}
            cluster.call("POST", vm.callers_address, "/v1/forward/dispatch/crash", body, marks)
    lost = [name for name in cluster.targets if cluster.processes[name].poll() is not None]
    assert 1 <= len(lost) <= 2
    caller = Caller(cluster=cluster, name="others")
    assert all(caller.send(repeatable=True).status == 200 for _ in range(10))


def test_a_leaving_target_gets_no_new_work_after_two_seconds(cluster):
    caller = Caller(cluster=cluster, name="steady")
    stop_at = time.monotonic() + 4.0
    leaving = cluster.targets["regina-1"]
    cluster.call("POST", leaving, "/drain", b"")
    while time.monotonic() < stop_at:
        assert caller.send(repeatable=True).status == 200
    report = cluster.call("GET", leaving, "/runs")[1]
    assert report["last_run_at"] <= report["drained_at"] + 2.0


def test_planned_stops_cut_nothing_off(cluster):
    stops = 20
    failures = []
    done = threading.Event()

    def call(index):
        caller = Caller(cluster=cluster, name=f"caller-{index}")
        while not done.is_set():
            sent = caller.send(repeatable=bool(index % 2), marks={"X-Work-Ms": "20"})
            if sent.status != 200:
                failures.append(sent)

    names = list(cluster.vms)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        callers = [pool.submit(call, index) for index in range(4)]
        try:
            for number in range(stops):
                name = names[number % len(names)]
                vm = cluster.vms[name]
                assert cluster.stop(name) == 0
                cluster.start_vm(name, vm.region, vm.failure_domain, requests=QUICK)
                cluster.wait_ready(name)
        finally:
            done.set()
    for caller in callers:
        caller.result()
    assert failures == []


def test_a_daemon_whose_address_is_taken_ends_with_an_error(cluster):
    taken = cluster.vms["regina-vm1"].callers_address
    before = cluster.vms["regina-vm2"]
    assert cluster.stop("regina-vm2") == 0
    cluster.vms["regina-vm2"] = before._replace(callers_address=taken)
    cluster.start_vm("regina-vm2", "sask", "regina", requests=QUICK)
    assert cluster.processes["regina-vm2"].wait(10.0) == 1
    assert f"cannot listen on {taken}" in cluster.log_tail("regina-vm2")[-1]


def test_callers_find_entry_vms_again_after_all_of_them_were_paused(cluster):
    caller = Caller(cluster=cluster, name="patient")
    for name in cluster.vms:
        cluster.pause(name)
    time.sleep(2.0)
    for name in cluster.vms:
        cluster.resume(name)
    assert [caller.send(repeatable=True).status for _ in range(5)] == [200] * 5


def test_a_race_of_operators_has_one_winner(cluster):
    names = list(cluster.vms)
    for number in range(2, 6):
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(
                pool.map(
                    lambda vm, n=number: cluster.submit(vm, ticket(n, author=f"by-{vm}")), names
                )
            )
        accepted = [r for r in results if r["verdict"] == "accepted"]
        assert len(accepted) == 1, results
        lost = [r for r in results if r["verdict"] == "not-run"]
        assert len(lost) == len(names) - 1
        assert all("by-" in r["detail"] or "meanwhile" in r["detail"] for r in lost)


def test_an_answer_lost_after_the_write_is_found_out(cluster):
    cluster.set_platform("drop")
    assert cluster.submit("regina-vm1", ticket(2))["verdict"] == "accepted"
    cluster.set_platform("none")
    assert cluster.submit("saskatoon-vm1", ticket(2))["detail"].startswith("accepted before")


def test_a_write_that_takes_effect_late_is_unknown_and_repeats_safely(cluster):
    cluster.set_platform("late", delay_s=1.5)
    result = cluster.submit("regina-vm1", ticket(2))
    assert result["verdict"] == "may-have-run"
    time.sleep(1.5)
    cluster.set_platform("none")
    assert cluster.submit("regina-vm1", ticket(2))["verdict"] == "accepted"
    assert cluster.submit("regina-vm1", ticket(2, author="sato"))["reason"] == "ticket-race-lost"


def test_with_the_store_down_serving_goes_on_and_a_replacement_takes_what_is_in_force(cluster):
    assert cluster.submit("regina-vm1", ticket(2))["verdict"] == "accepted"
    everywhere(cluster, 2)
    cluster.set_platform("refuse")
    refused = cluster.submit("regina-vm1", ticket(3))
    assert (refused["verdict"], refused["reason"]) == ("not-run", "platform-unreachable")
    cluster.kill("regina-vm1")
    cluster.start_vm("regina-vm1", "sask", "regina", requests=QUICK)
    cluster.wait_ready("regina-vm1")
    request_id = prefix_of(cluster, "regina-vm1") + ".order-4"
    status, _, got = send(cluster, "regina-vm1", request_id, first=True)
    assert (status, got[headers.TICKET]) == (200, "2")


def test_a_daemon_that_reaches_nobody_says_so_and_when_to_come_back():
    with running_cluster() as alone:
        vm = alone.start_vm("regina-vm1", "sask", "regina", requests=QUICK)
        alone.wait_for(lambda: alone.call("GET", vm.callers_address, "/v1/entries")[0] == 503)
        status, document, got = alone.call("GET", vm.callers_address, "/v1/entries")
        assert (status, document["verdict"]) == (503, "not-run")
        assert int(got["Retry-After"]) >= 1


def everywhere(cluster, number):
    for name, vm in cluster.vms.items():
        cluster.wait_for(
            lambda a=vm.control_address: (
                cluster.call("GET", a, "/v1/status")[1]["ticket"] >= number
            ),
            what=name,
        )


def test_a_ticket_is_in_force_everywhere_within_four_seconds_counted_at_requests(cluster):
    cluster.pause("saskatoon-vm2")
    began = time.monotonic()
    assert cluster.submit("regina-vm1", ticket(2))["verdict"] == "accepted"
    for vm in ("regina-vm1", "regina-vm2", "saskatoon-vm1"):
        cluster.wait_for(
            lambda vm=vm: (
                send(cluster, vm, f"r-{time.monotonic()}", **{headers.REPEATABLE: "true"})[2][
                    headers.TICKET
                ]
                == "2"
            ),
            what=vm,
            limit_s=4.0 - (time.monotonic() - began),
        )


def test_store_reads_do_not_grow_with_every_daemon(cluster):
    cluster.call("POST", cluster.platform_address, "/faults", msgspec.json.encode({"mode": "none"}))
    before = cluster.call("GET", cluster.platform_address, "/counts")[1]["reads"]
    time.sleep(3.0)
    reads = cluster.call("GET", cluster.platform_address, "/counts")[1]["reads"] - before
    readers = 2 * len({vm.failure_domain for vm in cluster.vms.values()})
    assert reads <= readers * 2 * 3.0 / 0.8 + readers


def test_with_all_threads_waiting_the_rest_is_refused_at_once():
    with running_cluster() as small:
        small.start_platform()
        small.start_target("regina-1", slots=64)
        small.start_vm("regina-vm1", "sask", "regina", requests="threads = 8")
        control = small.vms["regina-vm1"].control_address
        small.wait_for(lambda: small.call("GET", control, "/v1/status")[0] == 200)
        document = first_ticket(small)
        document["targets"]["regina-1"]["slots"] = 64
        small.submit("regina-vm1", document)
        small.wait_ready("regina-vm1")
        caller = Caller(cluster=small, name="first")
        small.wait_for(lambda: caller.send(repeatable=True).status == 200)

        def send_slow(_):
            began = time.monotonic()
            marks = {headers.REPEATABLE: "true", "X-Work-Ms": "3000"}
            status, document, _ = send(small, "regina-vm1", "r", deadline_ms=8000, **marks)
            return status, document, time.monotonic() - began

        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            ended = list(pool.map(send_slow, range(20)))
    refused = [end for end in ended if end[0] == 503]
    assert len(refused) == 14
    assert sum(end[0] == 200 for end in ended) == 6
    assert max(took for _, _, took in refused) < 2.0
    assert all(document["retry_after_s"] > 0 for _, document, _ in refused)
