"""Health checks of targets that are down, and connection checks of suspected targets."""

import asyncio
import random

import pytest

from carawaybank.callers.listeners import listen, sync_connection_factory
from carawaybank.journal import Journal
from carawaybank.platform.dialect import PlatformDialect
from carawaybank.replies import HttpReply
from carawaybank.routing.messages import AttemptResult, Send
from carawaybank.routing.stopping import StopPlan
from carawaybank.routing.targetlimits import LimitStatement
from carawaybank.targets.checks import HealthChecks
from carawaybank.targets.paths import PathChecks
from carawaybank.verdicts import MayHaveRun, Reason
from tests.routing.builders import make_request, make_router, make_target


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def healthy_responses(target_id):
    return sync_connection_factory(
        lambda _: HttpReply(200, [("X-Carawaybank-Instance-Id", target_id)], b"")
    )


async def start_target(address, *, target_id="t1"):
    server = await listen(address, healthy_responses(target_id))
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def run_scenario(scenario):
    async def run():
        server, address = await start_target("127.0.0.1:0")
        router = make_router(make_target(1, address=address))
        reports = []
        journal = Journal(vm="vm-1", write=lambda _: None)
        paths = PathChecks(
            router=router,
            journal=journal,
            rng=random.Random(1),
            on_change=lambda: None,
            abort_attempts=lambda _: 0,
        )
        checks = HealthChecks(
            router=router,
            dialect=PlatformDialect(),
            paths=paths,
            journal=journal,
            on_crash=reports.append,
        )
        task = asyncio.create_task(checks.run())
        await scenario(router, server, address, reports)
        task.cancel()
        server.close()

    asyncio.run(run())


def fail_request(router, reason, *, may_have_crashed):
    now = asyncio.get_running_loop().time()
    action = router.arrive(make_request(1, path="/book/1"), now)
    assert isinstance(action, Send)
    result = AttemptResult(MayHaveRun(reason), 0.1, may_have_crashed=may_have_crashed)
    router.end_attempt(1, result, now + 0.1)


def test_lost_connection_to_target_that_refuses_connections_is_crash():
    """Guards against missing a crash, which shows only as a connection lost without a response."""

    async def scenario(router, server, address, reports):
        server.close()
        fail_request(router, Reason.CONNECTION_LOST, may_have_crashed=True)
        await wait_until(lambda: reports)
        assert router.targets.find("t1").is_down

    run_scenario(scenario)


def test_a_crash_is_reported_by_the_start_of_the_target_that_it_ended():
    """Guards against counting the crashes of a target that starts again under its id as one."""

    async def scenario(router, server, address, reports):
        server.close()
        fail_request(router, Reason.CONNECTION_LOST, may_have_crashed=True)
        await wait_until(lambda: reports)
        entry = router.targets.find("t1").entry
        assert reports[0].target == f"t1.{entry.incarnation}"

    run_scenario(scenario)


def test_lost_connection_to_target_that_accepts_connections_is_no_crash():
    """Guards against taking a running target out of use because one of its connections broke."""

    async def scenario(router, server, address, reports):
        fail_request(router, Reason.CONNECTION_LOST, may_have_crashed=True)
        await asyncio.sleep(0.6)
        assert not reports
        assert not router.targets.find("t1").is_down

    run_scenario(scenario)


def test_target_that_timed_out_and_refuses_connections_is_down_until_healthy():
    """A timeout is no crash, but must take an unreachable target out of use until it recovers."""

    async def scenario(router, server, address, reports):
        server.close()
        fail_request(router, Reason.TIMEOUT, may_have_crashed=False)
        await wait_until(lambda: router.targets.find("t1").is_down)
        assert not reports
        restarted, _ = await start_target(address)
        await wait_until(lambda: not router.targets.find("t1").is_down)
        restarted.close()

    run_scenario(scenario)


def test_target_is_removed_if_another_one_has_its_address():
    """Guards against sending requests for a target to another one that reuses its address."""

    async def scenario(router, server, address, reports):
        server.close()
        fail_request(router, Reason.TIMEOUT, may_have_crashed=False)
        await wait_until(lambda: router.targets.find("t1").is_down)
        replacement, _ = await start_target(address, target_id="t2")
        await wait_until(lambda: router.targets.find("t1") is None)
        replacement.close()

    run_scenario(scenario)


def test_health_checks_count_against_the_limit_of_a_target():
    """Guards against a limited target that gets health checks of all VMs beyond its limit."""

    async def scenario(router, server, address, reports):
        target = router.targets.find("t1")
        now = asyncio.get_running_loop().time()
        statement = LimitStatement(0.0)
        router.limits.record_statement(target.entry, statement, sent_at=now, now=now)
        while router.limits.try_send(target.entry, now=now):
            pass
        target.eject(now=now - 10.0)
        await asyncio.sleep(0.6)
        assert target.is_down
        router.limits.record_statement(
            target.entry, LimitStatement(), sent_at=now + 0.1, now=now + 0.2
        )
        await wait_until(lambda: not target.is_down)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("stopping_for_s", "is_aborted"), [(None, True), (1.0, True), (3.0, False)]
)
def test_a_lost_path_ends_attempts_only_while_others_may_follow(stopping_for_s, is_aborted):
    """Guards against an own 502 in place of a run, for which a VM that stops starts no other."""

    async def run():
        now = asyncio.get_running_loop().time()
        router = make_router(make_target(1), now=now - 10.0)
        if stopping_for_s is not None:
            router.stop_plan = StopPlan(started_at=now - stopping_for_s, stop_within_s=6.0)
        aborted = []
        paths = PathChecks(
            router=router,
            journal=Journal(vm="vm-1", write=lambda _: None),
            rng=random.Random(1),
            on_change=lambda: None,
            abort_attempts=lambda targets: aborted.append(targets) or 1,
        )
        router.reachability.record_failure("ledger", "t1", now=now - 5.0)
        paths.apply_evidence("ledger", "vm-2", 0.0)
        assert router.reachability.is_lost("ledger")
        assert bool(aborted) is is_aborted

    asyncio.run(run())


def give_up(router, *, path="/look/1", after_s=0.1):
    """Sends a request whose caller leaves, or whose time is over, while the target runs it."""
    now = asyncio.get_running_loop().time()
    assert isinstance(router.arrive(make_request(1, path=path, fingerprint="bad"), now), Send)
    router.abandon(1, now + after_s)


def start_again(router, address, **changes):
    entry = make_target(1, address=address, incarnation=7, **changes)
    router.targets.update(entry, now=asyncio.get_running_loop().time())


def test_a_target_that_starts_again_crashed_on_what_was_given_up_there():
    """Guards against a crash that counts for nobody because the caller had left (BUDGET)."""

    async def scenario(router, server, address, reports):
        give_up(router)
        await asyncio.sleep(0.4)
        assert not reports
        start_again(router, address)
        await wait_until(lambda: reports)
        assert [(report.fingerprint, report.target) for report in reports] == [("bad", "t1.0")]

    run_scenario(scenario)


def test_a_target_that_is_down_crashed_on_what_was_given_up_there():
    """Guards against a crash that counts for nobody because other requests noticed it."""

    async def scenario(router, server, address, reports):
        give_up(router)
        server.close()
        fail_request(router, Reason.TIMEOUT, may_have_crashed=False)
        await wait_until(lambda: len(reports) == 2)
        assert {(each.fingerprint, each.target) for each in reports} == {
            ("bad", "t1.0"),
            ("f1", "t1.0"),  # It timed out, and may have been the cause as well.
        }

    run_scenario(scenario)


def test_a_target_that_is_gone_crashed_on_what_was_given_up_there():
    """Guards against a crash that counts for nobody because the target returns by another name."""

    async def scenario(router, server, address, reports):
        give_up(router)
        server.close()
        router.targets.remove("t1")
        await wait_until(lambda: reports)
        assert reports[0].target == "t1.0"

    run_scenario(scenario)


def test_a_target_that_departed_did_not_crash():
    """Guards against refusing requests because targets are replaced as planned."""

    async def scenario(router, server, address, reports):
        give_up(router)
        router.targets.update(make_target(1, address=address, sequence=1, draining=True), now=0.0)
        server.close()
        start_again(router, address)
        await asyncio.sleep(0.5)
        assert not reports

    run_scenario(scenario)


@pytest.mark.parametrize("is_known", [True, False], ids=["down", "gone"])
def test_a_target_that_accepts_connections_did_not_crash(is_known):
    """Guards against refusing requests because a target is slow or its entry was lost."""

    async def scenario(router, server, address, reports):
        give_up(router)
        if is_known:
            router.targets.find("t1").eject(now=asyncio.get_running_loop().time() + 10.0)
        else:
            router.targets.remove("t1")
        await asyncio.sleep(0.5)
        assert not reports

    run_scenario(scenario)


def test_a_crash_of_the_only_target_that_is_reached_is_reported_when_it_starts_again():
    """Guards against a request that crashes a whole small service and is never refused."""

    async def scenario(router, server, address, reports):
        other, other_address = await start_target("127.0.0.1:0", target_id="t2")
        router.targets.update(make_target(2, address=other_address), now=0.0)
        other.close()
        router.targets.find("t2").eject(now=asyncio.get_running_loop().time() + 10.0)
        server.close()
        fail_request(router, Reason.CONNECTION_LOST, may_have_crashed=True)
        await asyncio.sleep(0.6)
        assert not reports
        start_again(router, address)
        await wait_until(lambda: reports)
        assert reports[0].target == "t1.0"

    run_scenario(scenario)
