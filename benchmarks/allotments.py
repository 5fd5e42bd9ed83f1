"""Cost of allotments for each VM: ``python -m benchmarks.allotments [VMS] [TENANTS]``.

One owner and one asking VM are measured on one core; the figures for all VMs are calculated from
these and from the intervals in the sources. Nothing is sent over a network.
"""

import sys
import time

from carawaybank.routing.allotmentbucket import Ask, Grant
from carawaybank.routing.allotmentmessages import MAX_ASKS, AskBatch, Borrow, GrantBatch, Loan
from carawaybank.routing.allotmentowners import SLOT_COUNT, rank_vms
from carawaybank.routing.allotments import Allotments
from carawaybank.routing.allotmentshares import ASK_INTERVAL_S
from carawaybank.routing.allotmentterms import AllotmentBounds
from carawaybank.routing.configuration import Tenant
from carawaybank.routing.limitshares import VmLocality
from carawaybank.siblings.allotments import encode

NUMBER = time.time_ns() // 1_000_000


def seconds_of(action, *, count):
    started = time.perf_counter()
    for step in range(count):
        action(step)
    return (time.perf_counter() - started) / count


def make_owner(tenant_count):
    """Returns a VM alone, which owns all slots, at time 10."""
    vm = Allotments(vm="vm-1", locality=VmLocality("a1", "a"), bounds=AllotmentBounds())
    tenants = [Tenant(f"tenant-{n}", rate=1e6, burst=1e6) for n in range(tenant_count)]
    vm.update_tenants(tenants, now=0.0)
    vm.start(now=0.0)
    for step in range(30):
        vm.tick(now=step / 10)
    vm.tick(now=3.0)
    return vm


def print_messages(vm_count):
    name = "failure-domain-1-node-17"
    asks = [Ask("tenant-name", 3, 2, 1, 0)] * MAX_ASKS
    grants = [Grant("tenant-name", 3, 0.25)] * MAX_ASKS
    sizes = [
        (count, len(encode(name, AskBatch(NUMBER, NUMBER, asks[:count]))))
        for count in (1, MAX_ASKS)
    ]
    replies = [len(encode(name, GrantBatch(NUMBER, grants[:c], {}))) for c in (1, MAX_ASKS)]
    for (count, ask), grant in zip(sizes, replies, strict=True):
        print(f"{count} asks {ask} bytes, {count} grants {grant} bytes")
    loans = [len(encode(name, m(NUMBER, "tenant-name", 1))) for m in (Borrow, Loan)]
    print(f"1 request for a loan {loans[0]} bytes, its answer {loans[1]} bytes")
    print(f"asks of a VM with demand: {1 / ASK_INTERVAL_S:.0f} a second to each owner at most")


def print_times(vm_count, tenant_count):
    owner = make_owner(tenant_count)
    asks = [Ask(f"tenant-{n}", 1, 0, 0, 0) for n in range(MAX_ASKS)]
    request_s = seconds_of(lambda n: owner.try_acquire("tenant-1", now=3.0 + n / 1e6), count=50_000)
    for size in (1, MAX_ASKS):
        ask_s = seconds_of(
            lambda n, size=size: owner.receive(
                f"vm-{n % vm_count}", AskBatch(size * NUMBER + n, 0, asks[:size]), now=3.2
            ),
            count=4_000,
        )
        print(f"owner: batch of {size} asks from {vm_count} VMs {ask_s * 1e6:.1f} us")
    lend_s = seconds_of(
        lambda n: owner.receive(f"vm-{n % vm_count}", Borrow(n, "tenant-1", 1), now=3.3 + n / 1e5),
        count=4_000,
    )
    print(f"owner: loan to one of {vm_count} VMs {lend_s * 1e6:.1f} us")
    print(f"request of a limited tenant {request_s * 1e6:.2f} us")
    names = [f"vm-{n}" for n in range(vm_count)]
    rank_s = seconds_of(lambda n: rank_vms(n, names), count=8)
    print(f"ranking after a change of the VMs: {rank_s * SLOT_COUNT:.2f} s for {SLOT_COUNT} slots")


if __name__ == "__main__":
    vms_, tenants_ = [*map(int, sys.argv[1:]), *(3_700, 1_000)[len(sys.argv) - 1 :]]
    print_messages(vms_)
    print_times(vms_, tenants_)
