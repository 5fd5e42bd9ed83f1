"""Periodic work on all connections: errors at single ones."""

import asyncio

from carawaybank.callers import sweeps
from carawaybank.routing.stopping import ConnectionState, StopPlan
from carawaybank.shutdown import Listeners, drain

IDLE = ConnectionState(is_answering=False, is_receiving=False)


class Connection:
    """A connection of which nothing is in progress, and which may fail at each call."""

    is_response_outstanding = False
    state = IDLE

    def __init__(self, *, connections, fails=False):
        self.connections, self.fails = connections, fails
        self.checked = 0
        connections.append(self)

    def check_timeouts(self, now):
        self.checked += 1
        self.close()

    def close(self):
        if self.fails:
            raise RuntimeError("broken")
        self.connections.remove(self)


def record_reports():
    reports = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reports.append(str(context["exception"])))
    return reports


def test_an_error_at_one_connection_does_not_keep_others_from_timing_out():
    """Guards against a background task that fails again and again, and so ends the process."""

    async def run():
        reports, connections = record_reports(), []
        for fails in (True, False, False):
            Connection(connections=connections, fails=fails)
        sweeps.check_timeouts(connections, now=0.0)
        assert [connection.fails for connection in connections] == [True]
        assert reports == ["broken"]

    asyncio.run(run())


def test_an_error_at_one_connection_does_not_end_a_stop():
    """Guards against a stop that fails, and cuts all requests, at a single connection."""

    async def run():
        reports, connections = record_reports(), []
        for fails in (True, False, False):
            Connection(connections=connections, fails=fails)
        plan = StopPlan(started_at=asyncio.get_running_loop().time(), stop_within_s=0.5)
        result = await drain(
            plan,
            listeners=Listeners(requests=(), others=()),
            connections=lambda: connections,
            is_idle=lambda: True,
            give_up=lambda *, is_final: 0,
        )
        assert result.closed == 2
        assert set(reports) == {"broken"}

    asyncio.run(run())
