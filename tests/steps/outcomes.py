"""Steps that say what must have come of it."""

import math

from pytest_bdd import parsers, then

from carawaybank.steering.membership import Status
from carawaybank.verdicts import Answered, MayHaveRun, NotRun
from tests.steps.world import of, settle

LINK_BURST_S = 1.0


@then(
    parsers.parse(
        "at least {percent:d}% of the requests of small within its fair share are answered"
    )
)
def fair(world, percent):
    settle(world)
    small = [e for e in of(world).fleet.ended if e.info.customer == "small"]
    answered = sum(isinstance(e.verdict, Answered) for e in small)
    assert len(small) / 6.0 < world["fair"], "small asks for less than its fair share"
    assert answered >= len(small) * percent / 100


@then(
    parsers.parse("the link of {one} and {other} carried at most {mbits:g} Mbit/s over {secs:g} s")
)
def link_held(world, one, other, mbits, secs):
    settle(world)
    carried = of(world).fleet.link_bytes[(one, other)]
    allowed = mbits * 125_000 / 2 * (secs + LINK_BURST_S)
    in_flight = max(of(world).caps.values()) * of(world).fleet.answer_bytes
    assert 0 < carried <= allowed + in_flight


@then("cold targets began with one slot")
def began_cold(world):
    fleet = of(world).fleet
    of(world).run(1.0)
    cold = [fleet.targets[name] for name in world["cold"]]
    assert sum(sum(t.runs.values()) for t in cold) > 0
    assert all(t.peak <= 1 for t in cold)


@then("the limits of regions and shifts held")
def limits_held(world):
    settle(world)
    assert not of(world).fleet.faults


@then(parsers.parse("targets of {region} were filled to their limit"))
def filled(world, region):
    slots = sum(
        t.slots
        for t in of(world).fleet.targets.values()
        if t.place.region == region and t.name.startswith("dispatch")
    )
    limit = math.floor(slots * of(world).utilisation)
    assert of(world).region_peak[(region, "dispatch")] == limit


@then("every request is answered")
def all_answered(world):
    settle(world)
    refused = [e for e in of(world).fleet.ended if not isinstance(e.verdict, Answered)]
    assert not refused
    assert of(world).fleet.ended


@then("every repeatable request is answered")
def repeatable_answered(world):
    ended = [e for e in of(world).fleet.ended if e.info.repeatable]
    assert ended
    assert all(isinstance(e.verdict, Answered) for e in ended)


@then("requests that crash nothing are answered")
def harmless_answered(world):
    settle(world)
    harmless = [e for e in of(world).fleet.ended if e.info.fingerprint != "crashing"]
    assert harmless
    assert all(isinstance(e.verdict, Answered) for e in harmless)


@then("nothing that must hold was broken")
def invariants(world):
    settle(world)
    fleet = of(world).fleet
    assert not fleet.faults
    for ended in fleet.ended:
        runs = fleet.total_runs(ended.info.request_id)
        if isinstance(ended.verdict, NotRun):
            assert runs == 0, f"{ended.info.request_id} was refused as not run but ran"
        if isinstance(ended.verdict, Answered):
            assert runs >= 1


@then("no request through a live entry VM waited beyond its deadline")
def deadlines(world):
    for ended in of(world).fleet.ended:
        assert ended.at <= ended.info.deadline + 0.2


@then(parsers.parse("target {target} began no work from {limit:g} s after that"))
def no_new_work(world, target, limit):
    settle(world)
    leaving = of(world).fleet.targets[target]
    assert leaving.begun_at, "the target was used before"
    assert max(leaving.begun_at) <= leaving.draining_since + limit


@then(parsers.parse("at most {count:d} targets were lost"))
def lost(world, count):
    assert sum(not target.alive for target in of(world).fleet.targets.values()) <= count


@then("refusals say when to come back")
def retry_after(world):
    refusals = [e.verdict for e in of(world).fleet.ended if isinstance(e.verdict, NotRun)]
    assert refusals
    assert all(refusal.retry_after_s > 0 for refusal in refusals)
    assert len({round(refusal.retry_after_s, 6) for refusal in refusals}) > len(refusals) / 2


@then(parsers.parse("refusals are given within {limit:g} s"))
def refusal_latency(world, limit):
    refused = [e for e in of(world).fleet.ended if isinstance(e.verdict, NotRun)]
    assert max(e.latency_s for e in refused) <= limit


@then(parsers.re(r"order (?P<order>\w+) ran (?P<how>once|at most once)"))
def ran(world, order, how):
    settle(world)
    runs = of(world).fleet.total_runs(of(world).orders[order])
    assert runs <= 1
    assert how == "at most once" or runs == 1


@then(parsers.parse("order {order} did not run"))
def not_run(world, order):
    settle(world)
    assert of(world).fleet.total_runs(of(world).orders[order]) == 0


@then(parsers.re(r"the last answer for order (?P<order>\w+) says that it (?P<what>.+)"))
def last_answer(world, order, what):
    kind = {"may have run": MayHaveRun, "did not run": NotRun}[what]
    assert isinstance(of(world).answers(of(world).orders[order])[-1], kind)


@then(parsers.parse("ticket {number:d} is in force on every live entry VM within {limit:g} s"))
def in_force(world, number, limit):
    fleet = of(world).fleet
    accepted_at = world.get("accepted_at", fleet.now)
    of(world).run(max(0.0, accepted_at + limit - fleet.now))
    for vm in fleet.vms.values():
        if vm.alive and fleet.now >= vm.paused_until:
            assert vm.host.state.number >= number, vm.name


@then("no failure domain served a lower ticket after a higher one")
def no_reversion(world):
    of(world).check()
    assert not of(world).fleet.faults


def named_by(world, vm):
    host = of(world).fleet.vms[vm].host
    domain = of(world).fleet.vms[vm].place.failure_domain
    built = host.entries_view.build(host.state, domain, 0, of(world).fleet.now)
    serving = {member.vm for member in host.membership.serving()}
    assert {entry["vm"] for entry in built["entries"]} <= serving
    return serving


def awake(world):
    fleet = of(world).fleet
    return [n for n, vm in fleet.vms.items() if vm.alive and fleet.now >= vm.paused_until]


@then(parsers.parse("no entry VM names {vm}"))
def nobody_names(world, vm):
    assert not [other for other in awake(world) if vm in named_by(world, other)]


@then(parsers.parse("every entry VM names {vm}"))
def all_name(world, vm):
    assert all(vm in named_by(world, other) for other in awake(world))


@then(parsers.re(r"(?P<vm>\S+) names (?P<other>\S+)"))
def names(world, vm, other):
    assert other in named_by(world, vm)


@then(parsers.parse("{vm} is not ready"))
def not_ready(world, vm):
    assert not of(world).fleet.vms[vm].host.is_ready


@then(parsers.parse("{vm} is ready {seconds:g} s later"))
def ready(world, vm, seconds):
    of(world).run(seconds)
    assert of(world).fleet.vms[vm].host.is_ready


@then("every target has one owner")
def one_owner_each(world):
    owned = [
        target.name
        for vm in awake(world)
        for target in of(world).fleet.vms[vm].host.owned_targets()
    ]
    assert sorted(owned) == sorted(of(world).fleet.targets)


@then(parsers.parse("every entry VM knows that {vm} ended"))
def all_know_ended(world, vm):
    views = [of(world).fleet.vms[name].host.membership for name in awake(world)]
    assert {view.find(vm).status for view in views} == {Status.DEAD}


@then(parsers.parse("no entry VM knows of {vm}"))
def nobody_knows(world, vm):
    views = [of(world).fleet.vms[name].host.membership for name in awake(world)]
    assert [view.find(vm) for view in views if view.find(vm)] == []


@then(parsers.parse("no answer for order {order} says that it did not run"))
def never_refused(world, order):
    answers = of(world).answers(of(world).orders[order])
    assert len(answers) > 1
    assert not [answer for answer in answers if isinstance(answer, NotRun)]
