"""Runs a whole system on this machine, from the first ticket to a graceful stop.

Usage: python -m standins.demo
"""

import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec

from carawaybank import headers
from carawaybank.steering.tickets import TicketDocument
from standins.cluster import Cluster, running_cluster

_REGIONS_BY_DOMAIN = {"regina": "sask", "saskatoon": "sask", "calgary": "alberta"}
_DOMAINS_BY_VM = {
    "regina-1": "regina",
    "regina-2": "regina",
    "saskatoon-1": "saskatoon",
    "calgary-1": "calgary",
}
_SLOTS = 4


def main() -> None:
    """Runs the demo; exits with 1, the reason and the ends of all logs if a step fails."""
    with running_cluster() as cluster:
        try:
            _run(cluster)
        except (AssertionError, TimeoutError, subprocess.CalledProcessError) as error:
            sys.stderr.write(f"demo failed: {error}\n")
            for log in sorted(cluster.directory.glob("*.log")):
                sys.stderr.write(f"--- {log.name}\n{log.read_text()[-800:]}\n")
            sys.exit(1)
    print("demo: done")


def _run(cluster: Cluster) -> None:
    _print_step("starting the simulated platform, six targets and four entry VMs")
    cluster.start_platform()
    for domain in _REGIONS_BY_DOMAIN:
        for index in (1, 2):
            cluster.start_target(f"dispatch-{domain}-{index}", slots=_SLOTS)
    for name, domain in _DOMAINS_BY_VM.items():
        cluster.start_vm(name, _REGIONS_BY_DOMAIN[domain], domain, requests="entries_ttl_s = 1.0")
    _submit_tickets(cluster)
    _send_requests(cluster, "steady")
    _print_step("killing entry VM regina-1 and target dispatch-regina-1")
    cluster.kill("regina-1")
    cluster.kill("dispatch-regina-1")
    time.sleep(2.0)
    _send_requests(cluster, "after the kills")
    _print_step("stopping the other entry VMs gracefully")
    for name in ("regina-2", "saskatoon-1", "calgary-1"):
        exit_code = cluster.stop(name)
        _check(exit_code == 0, f"{name} exited with {exit_code}")
    log_text = (cluster.directory / "calgary-1.log").read_text()
    _check("Stopped. 0 requests cut off" in log_text, "calgary-1 cut off a request")


def _submit_tickets(cluster: Cluster) -> None:
    via = cluster.vms["regina-1"].control_address
    cluster.wait_for(lambda: cluster.call("GET", via, "/v1/status")[0] == 200, name="regina-1")
    for ticket in (_first_ticket(cluster), _second_ticket()):
        path = cluster.directory / f"ticket-{ticket['number']}.toml"
        path.write_text(_to_toml(ticket))
        _print_step(f"submitting ticket {ticket['number']}: {ticket['reason']}")
        _run_command(["ticket", "submit", str(path), "--via", via, "--wait"])
    for vm in cluster.vms.values():
        cluster.wait_ready(vm.name)
        dump = cluster.call("GET", vm.control_address, "/v1/dump")[1]
        _check(dump["ticket"] == 2, f"{vm.name} has ticket {dump['ticket']} instead of 2")
        _print_step(
            f"{vm.name} has ticket 2 in force and owns {[t['name'] for t in dump['owned']]}"
        )
    _run_command(["status", "--via", via])


def _send_requests(cluster: Cluster, phase: str) -> None:
    live = [vm for vm in cluster.vms.values() if vm.name in cluster.processes]
    look_up = cluster.call("GET", live[0].callers_address, "/v1/entries?failure_domain=regina")[1]
    served: Counter[str] = Counter()
    for request_number in range(20):
        entry = look_up["entries"][request_number % len(look_up["entries"])]
        request_headers = {headers.CUSTOMER: "prairie", headers.FIRST_SEND: "true"}
        if request_number % 2:
            request_headers[headers.REPEATABLE] = "true"
        else:
            request_headers[headers.REQUEST_ID] = (
                f"{entry['id_prefix']}.{phase.replace(' ', '-')}-{request_number}"
            )
        path = "/v1/forward/dispatch/run"
        status, document, response_headers = cluster.call(
            "POST", entry["address"], path, b"job", request_headers
        )
        _check(status == 200, f"request {request_number} ended with {status}: {document}")
        served[response_headers[headers.TARGET]] += 1
    _print_step(f"{phase}: 20 requests served by {dict(served)}")


def _first_ticket(cluster: Cluster) -> TicketDocument:
    return {
        "number": 1,
        "author": "demo",
        "reason": "regions, failure domains, service and targets",
        "regions": {"sask": {"utilisation": 1.0}, "alberta": {"utilisation": 1.0}},
        "failure_domains": {
            domain: {"region": region} for domain, region in _REGIONS_BY_DOMAIN.items()
        },
        "services": {"dispatch": {"latency_weight": 1.0}},
        "targets": {
            name: {
                "service": "dispatch",
                "failure_domain": name.split("-")[1],
                "address": address,
                "slots": _SLOTS,
            }
            for name, address in cluster.targets.items()
        },
    }


def _second_ticket() -> TicketDocument:
    return {
        "number": 2,
        "author": "demo",
        "reason": "allow spillover from sask to alberta",
        "shifts": {
            "spill": {
                "service": "dispatch",
                "from_region": "sask",
                "to_region": "alberta",
                "cap": 4,
            }
        },
    }


def _to_toml(ticket: TicketDocument) -> str:
    return msgspec.toml.encode(ticket).decode()


def _run_command(arguments: list[str]) -> None:
    executable = str(Path(sys.executable).parent / "carawaybank")
    print(f"$ carawaybank {' '.join(arguments)}", flush=True)
    subprocess.run([executable, *arguments], check=True)


def _check(condition: bool, text: str) -> None:
    if not condition:
        raise AssertionError(text)


def _print_step(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    main()
