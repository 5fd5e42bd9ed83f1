"""Measures memory and CPU time per member, target, request and daemon for docs/CAPACITY.md.

Memory comes from tracemalloc or /proc, CPU time from the clock or /proc.

Usage: python -m benchmarks.capacity [memory|control|idle|limits|relays]...
"""

import os
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from carawaybank import documents
from carawaybank.client import HttpCall
from carawaybank.host import Host
from carawaybank.routing.helpers import ServicePaths
from carawaybank.routing.limitshares import VmLocality, rank_of
from carawaybank.routing.messages import RelayTerms, Request
from carawaybank.routing.target import TargetEntry
from carawaybank.routing.targetlimits import LimitStatement, TargetLimits
from carawaybank.siblings.limits import MAX_REPORTS, LimitMessage
from carawaybank.siblings.liveness import DomainReport
from carawaybank.siblings.offers import HelpMessage, OfferFields
from carawaybank.siblings.relays import RelayMessage, encode_message
from carawaybank.steering.deduplication import RequestId, RequestMemory
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.steering.tickets import AcceptedTicket, TicketDocument
from carawaybank.verdicts import Answered
from standins.cluster import running_cluster
from standins.fleet_models import make_settings

MEMBERS = 3_700
TARGETS = 1_100
CELLS = 24
IDLE_S = 20.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def make_host() -> Host:
    """Returns a host that has joined a group without other members."""
    settings = make_settings("vm-0", "r0", "d0")._replace(cell="d0-0")
    host = Host(settings=settings, incarnation=1, seed=1)
    host.join()
    return host


def add_members(host: Host, count: int) -> None:
    """Adds members spread over the failure domains and cells that are expected in two years."""
    for number in range(1, count):
        domain_number = number % 45
        member = Member(
            f"vm-{number}",
            1_796_344_583_478 + number,
            0,
            Status.ALIVE,
            f"d{domain_number}",
            f"r{domain_number % 19}",
            f"d{domain_number}-{number // 45 % CELLS}",
            f"10.0.{number // 250}.{number % 250}:8100",
            f"10.0.{number // 250}.{number % 250}:8200",
        )
        host.membership.merge(member)


def make_ticket(targets: int) -> TicketDocument:
    """Returns a ticket with a number of targets in the failure domains expected in two years."""
    return {
        "number": 1,
        "author": "operator",
        "reason": "size",
        "regions": {f"r{n}": {"utilisation": 0.9} for n in range(19)},
        "failure_domains": {
            f"d{n}": {"region": f"r{n % 19}", "cells": [f"d{n}-{c}" for c in range(CELLS)]}
            for n in range(45)
        },
        "services": {"s": {}},
        "targets": {
            f"t{n}": {
                "service": "s",
                "failure_domain": f"d{n % 45}",
                "address": f"10.9.{n // 250}.{n % 250}:80",
                "slots": 6,
            }
            for n in range(targets)
        },
    }


def measure_memory() -> None:
    """Prints the bytes for each member, target, remembered request and crash report."""
    host = make_host()
    print(
        f"member: {_allocated_bytes(lambda: add_members(host, MEMBERS)) / MEMBERS:.0f} bytes each"
    )
    accepted = AcceptedTicket(ticket=make_ticket(TARGETS), nonce="n", accepted_at=0.0)
    target_state_bytes = _allocated_bytes(lambda: host.add_tickets([accepted]))
    print(f"target: {target_state_bytes / TARGETS:.0f} bytes each, in addition to its ticket")
    memory = RequestMemory(retention_epochs=10, capacity=100_000)

    def remember() -> None:
        for number in range(10_000):
            request_id = RequestId("vm-0", 1, 0, f"order-{number}")
            memory.start(request_id, epoch=0)
            memory.finish(request_id, Answered(200, body=bytes(500)))

    print(f"remembered request, 500-byte response: {_allocated_bytes(remember) / 10_000:.0f} bytes")
    quarantine = Quarantine(limit=2, expiry_s=600, capacity=20_000)

    def crash() -> None:
        for number in range(10_000):
            quarantine.add_report(CrashReport(f"{number:032x}", "t1", "vm-1"), now=0.0)

    print(f"crash report: {_allocated_bytes(crash) / 10_000:.0f} bytes")


def measure_control() -> None:
    """Prints the CPU time of exchanges, ticks, look-ups and tickets by the number of members."""
    for count in (11, 370, MEMBERS):
        host, other = make_host(), make_host()
        for node in (host, other):
            add_members(node, count)
        ticket = AcceptedTicket(ticket=make_ticket(TARGETS), nonce="n", accepted_at=0.0)
        apply_s = _seconds_per_call(lambda host=host, ticket=ticket: host.add_tickets([ticket]), 1)
        other.add_tickets([ticket])
        other.handle_response(host.make_exchange("vm-1"), sent_at=other.now)
        message = other.make_exchange("vm-0")
        exchange_s = _seconds_per_call(
            lambda host=host, message=message: _process_exchange(host, message), 500
        )
        tick_s = _seconds_per_call(host.tick, 200)
        look_up_s = _seconds_per_call(
            lambda host=host: host.entries_view.build(host.state, "d1", 0, time.time()), 20
        )
        print(
            f"{count:5} members: exchange {exchange_s * 1e6:6.0f} us, tick {tick_s * 1e6:6.0f} us, "
            f"look-up variant {look_up_s * 1e3:6.2f} ms, ticket of {TARGETS} targets "
            f"{apply_s * 1e3:6.1f} ms"
        )


def measure_idle() -> None:
    """Prints the CPU share and memory of idle daemons that run as separate processes."""
    for count in (4, 8):
        with running_cluster() as cluster:
            cluster.start_platform()
            for number in range(count):
                cluster.start_vm(f"vm-{number}", "r", f"d{number % 2}")
            vm = cluster.vms["vm-0"]
            cluster.wait_for(
                lambda a=vm.control_address: cluster.call("GET", a, "/v1/status")[0] == 200
            )
            cluster.submit_ticket("vm-0", {**make_ticket(0), "number": 1})
            time.sleep(3.0)
            pids = [cluster.processes[name].pid for name in cluster.vms]
            cpu_before_s = [_cpu_seconds(pid) for pid in pids]
            time.sleep(IDLE_S)
            shares = [
                (_cpu_seconds(pid) - before_s) / IDLE_S
                for pid, before_s in zip(pids, cpu_before_s, strict=True)
            ]
            resident_mb = max(_resident_mb(pid) for pid in pids)
            reads = cluster.call("GET", cluster.platform_address, "/counts")[1]["reads"]
            print(
                f"{count} idle daemons: {100 * sum(shares) / count:.2f}% of a core each, "
                f"{resident_mb:.0f} MB at most, {reads} store reads since the start"
            )


def measure_limits() -> None:
    """Prints the bytes and the CPU time that the limits of targets take among all entry VMs."""
    localities = {f"vm-{n}": VmLocality(f"d{n % 45}", f"r{n % 19}") for n in range(MEMBERS)}
    entry = TargetEntry("i-1c3d52662a", "ledger", "10.0.0.1:80", "d1", "r1", 4, incarnation=1 << 40)
    for size in (11, 370, MEMBERS):
        vms = dict(list(localities.items())[:size])
        for name, place in (("vm-1", "failure domain"), ("vm-0", "another region")):
            rank_s = _seconds_per_call(
                lambda name=name, vms=vms: rank_of(name, entry, vms=vms), 100
            )
            print(f"rank among {size} VMs, {place} of the target: {rank_s * 1e6:.0f} us")
    limits = TargetLimits(vm="vm-0", locality=localities["vm-0"])
    limits.update_vms(localities)
    limits.record_statement(entry, LimitStatement(1.6), sent_at=0.0, now=0.0)
    wait_s = _seconds_per_call(lambda: limits.wait_s(entry, now=1.0), 10_000)
    print(f"look-up of a limit for a candidate: {wait_s * 1e6:.2f} us")
    for count in (1, MAX_REPORTS):
        message = LimitMessage(vm="vm-1000", limits=[limits.reports(now=1.234)[0]] * count)
        data = msgspec.json.encode(message)
        decode_s = _seconds_per_call(lambda data=data: _apply_reports(limits, data), 10_000)
        print(f"report of {count} limits: {len(data)} bytes, received in {decode_s * 1e6:.1f} us")


def _apply_reports(limits: TargetLimits, data: bytes) -> None:
    message = msgspec.json.decode(data, type=LimitMessage)
    for report in message["limits"]:
        limits.apply_report(report, source=message["vm"], now=1.0)


def measure_relays() -> None:
    """Prints the bytes of requests for help, offers, reports and relays between entry VMs."""
    vm, services = "edge-chikuzen-hakata-1000", [f"service-{number}" for number in range(4)]
    regions = {f"region-{number}": 1_000 for number in range(19)}
    ask = HelpMessage(vm=vm, limits=[], ask=services)
    paths = {service: ServicePaths(regions, 0.123) for service in services}
    offer = HelpMessage(vm=vm, limits=[], offer=OfferFields(room=25, services=paths))
    print(f"request for help: {len(msgspec.json.encode(ask))} bytes for {len(services)} services")
    print(f"offer: {len(msgspec.json.encode(offer))} bytes for 4 services in 19 regions")
    report = DomainReport(vm, 0.0, tuple(f"{vm[:-4]}{number}" for number in range(1_000, 1_082)))
    print(f"report on 82 VMs without targets: {len(msgspec.json.encode(report))} bytes")
    headers = [("host", "parts.example"), ("x-carawaybank-request-id", "9c41d07be2a35f68")]
    call = HttpCall("GET", "/lohu930/2f", headers, b"", ("X-Carawaybank-Request-Id", "9c41"))
    request = Request(1, "9c41d07be2a35f68", "parts.example", "/lohu930/2f", "17", "f" * 32, 3.0)
    message = RelayMessage(vm, request, call, RelayTerms("service-0", (), 12))
    data = encode_message(message)
    decode_s = _seconds_per_call(lambda: msgspec.msgpack.decode(data, type=RelayMessage), 10_000)
    print(
        f"relay: {len(data)} bytes besides body and HTTP head, decoded in {decode_s * 1e6:.1f} us"
    )


def _process_exchange(host: Host, message: Exchange) -> None:
    sent = documents.encode_json(message)
    received = documents.decode_json(sent, Exchange, source="vm")
    documents.encode_json(host.handle_exchange(received))


def _allocated_bytes(work: Callable[[], object]) -> int:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    work()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return allocated


def _seconds_per_call(work: Callable[[], object], count: int) -> float:
    started_at = time.perf_counter()
    for _ in range(count):
        work()
    return (time.perf_counter() - started_at) / count


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024


MEASUREMENTS = {
    "memory": measure_memory,
    "control": measure_control,
    "idle": measure_idle,
    "limits": measure_limits,
    "relays": measure_relays,
}

if __name__ == "__main__":
    for name in sys.argv[1:] or list(MEASUREMENTS):
        MEASUREMENTS[name]()
