"""Checks of targets that failed, fell silent or lost a connection."""

import asyncio

from carawaybank.callers.listeners import listen, serve_text
from carawaybank.journal import Journal
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.replies import HttpReply
from carawaybank.routing.messages import AttemptResult, Send
from carawaybank.targets.checks import HealthChecks
from carawaybank.verdicts import MayHaveRun, Reason
from tests.routing.builders import make_request, make_router, make_target


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def healthy(target_id):
    return serve_text(lambda _: HttpReply(200, [("X-Carawaybank-Instance-Id", target_id)], b""))


async def start(address, *, target_id="t1"):
    server = await listen(address, healthy(target_id))
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def play(scenario):
    async def run():
        server, address = await start("127.0.0.1:0")
        router = make_router(make_target(1, address=address))
        reports = []
        journal = Journal(vm="vm-1", write=lambda _: None)
        checks = HealthChecks(
            router=router, dialect=PlatformDialect(), journal=journal, on_crash=reports.append
        )
        task = asyncio.create_task(checks.run())
        await scenario(router, server, address, reports)
        task.cancel()
        server.close()

    asyncio.run(run())


def lose(router, reason, *, lost_target):
    now = asyncio.get_running_loop().time()
    sent = router.arrive(make_request(1, path="/book/1"), now)
    assert isinstance(sent, Send)
    result = AttemptResult(MayHaveRun(reason), 0.1, lost_target=lost_target)
    router.end_attempt(1, result, now + 0.1)


def test_a_lost_connection_to_a_target_that_is_gone_is_a_crash():
    async def scenario(router, server, address, reports):
        server.close()
        await server.wait_closed()
        lose(router, Reason.CONNECTION_LOST, lost_target=True)
        await until(lambda: reports)
        assert router.targets.find("t1").is_down

    play(scenario)


def test_a_lost_connection_to_a_target_that_lives_is_none():
    async def scenario(router, server, address, reports):
        lose(router, Reason.CONNECTION_LOST, lost_target=True)
        await asyncio.sleep(0.6)
        assert not reports
        assert not router.targets.find("t1").is_down

    play(scenario)


def test_a_silent_target_goes_out_of_use_and_returns_when_healthy():
    async def scenario(router, server, address, reports):
        server.close()
        await server.wait_closed()
        lose(router, Reason.TIMEOUT, lost_target=False)
        await until(lambda: router.targets.find("t1").is_down)
        assert not reports
        again, _ = await start(address)
        await until(lambda: not router.targets.find("t1").is_down)
        again.close()

    play(scenario)


def test_another_target_at_the_address_ends_the_one_that_was_there():
    async def scenario(router, server, address, reports):
        server.close()
        await server.wait_closed()
        lose(router, Reason.TIMEOUT, lost_target=False)
        await until(lambda: router.targets.find("t1").is_down)
        again, _ = await start(address, target_id="t2")
        await until(lambda: router.targets.find("t1") is None)
        again.close()

    play(scenario)
