"""Log lines and metric of retries."""

import asyncio

from carawaybank.counters import Counters, RetryLabels
from carawaybank.journal import Journal
from carawaybank.retryreports import RetryReports
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.retrylimit import RetryLimits

OPTIONS = RouterOptions("a1", "a", "vm-1")


def test_each_retry_and_each_refusal_is_in_one_line():
    """The sum over all VMs of a window is made from these lines, so none may be counted twice."""

    async def run():
        lines, counters = [], Counters()
        limits = RetryLimits(started_at=0.0)
        reports = RetryReports(
            limits=limits, counters=counters, journal=Journal(vm="vm-1", write=lines.append)
        )
        limit = limits.of("ledger", options=OPTIONS, vm_count=1, now=0.0)
        for _ in range(20):
            limit.record_request(now=0.0)
        reports.publish()
        assert not lines
        assert [limit.try_acquire(now=0.0) for _ in range(3)] == [True, True, False]
        reports.publish()
        reports.publish()
        changed = OPTIONS._replace(retry_share=0.5)
        limits.of("ledger", options=changed, vm_count=1, now=0.0).try_acquire(now=0.0)
        reports.publish()
        assert len(lines) == 2
        assert b'"requests":20,"allowed":2,"refused":1' in lines[0]
        assert b'"requests":0,"allowed":0,"refused":1' in lines[1]
        assert counters.retries() == {
            RetryLabels("ledger", "allowed"): 2,
            RetryLabels("ledger", "refused"): 2,
        }

    asyncio.run(run())
