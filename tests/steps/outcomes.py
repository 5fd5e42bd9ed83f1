"""Steps that check the outcome of a scenario."""

import math

from pytest_bdd import parsers, then

from carawaybank.steering.membership import Status
from carawaybank.verdicts import Answered, MayHaveRun, NotRun
from tests.steps.world import finish_requests, get_world

LINK_BURST_S = 1.0


@then(
    parsers.parse(
        "at least {percent:d}% of the requests of small within its fair share are answered"
    )
)
def fair_share_of_small_answered(context, percent):
    finish_requests(context)
    small = [e for e in get_world(context).fleet.finished_requests if e.info.customer == "small"]
    answered = sum(isinstance(e.verdict, Answered) for e in small)
    assert len(small) / 6.0 < context["fair"], "the demand of small must be below its fair share"
    assert answered >= len(small) * percent / 100


@then(
    parsers.parse("the link of {one} and {other} carried at most {mbits:g} Mbit/s over {secs:g} s")
)
def link_limit_not_exceeded(context, one, other, mbits, secs):
    finish_requests(context)
    carried = get_world(context).fleet.relayed_bytes[(one, other)]
    allowed = mbits * 125_000 / 2 * (secs + LINK_BURST_S)
    in_flight = max(get_world(context).caps.values()) * get_world(context).fleet.response_bytes
    assert 0 < carried <= allowed + in_flight


@then("cold targets started with one slot")
def cold_targets_started_with_one_slot(context):
    fleet = get_world(context).fleet
    get_world(context).advance(1.0)
    cold = [fleet.targets[name] for name in context["cold"]]
    assert sum(sum(t.runs.values()) for t in cold) > 0
    assert all(t.max_busy <= 1 for t in cold)


@then("the limits of regions and shifts were not exceeded")
def limits_not_exceeded(context):
    finish_requests(context)
    assert not get_world(context).fleet.violations


@then(parsers.parse("targets of {region} were filled to their limit"))
def targets_filled_to_limit(context, region):
    slots = sum(
        t.slots
        for t in get_world(context).fleet.targets.values()
        if t.locality.region == region and t.name.startswith("dispatch")
    )
    limit = math.floor(slots * get_world(context).utilisation)
    assert get_world(context).region_peak[(region, "dispatch")] == limit


@then("every request is answered")
def all_answered(context):
    finish_requests(context)
    refused = [
        e for e in get_world(context).fleet.finished_requests if not isinstance(e.verdict, Answered)
    ]
    assert not refused
    assert get_world(context).fleet.finished_requests


@then("every repeatable request is answered")
def repeatable_answered(context):
    repeatable_requests = [
        e for e in get_world(context).fleet.finished_requests if e.info.repeatable
    ]
    assert repeatable_requests
    assert all(isinstance(e.verdict, Answered) for e in repeatable_requests)


@then("requests that crash nothing are answered")
def harmless_answered(context):
    finish_requests(context)
    harmless = [
        e for e in get_world(context).fleet.finished_requests if e.info.fingerprint != "crashing"
    ]
    assert harmless
    assert all(isinstance(e.verdict, Answered) for e in harmless)


@then("no invariant was violated")
def no_invariant_violated(context):
    finish_requests(context)
    fleet = get_world(context).fleet
    assert not fleet.violations
    for request in fleet.finished_requests:
        runs = fleet.total_runs(request.info.request_id)
        if isinstance(request.verdict, NotRun):
            assert runs == 0, f"{request.info.request_id} ended as not run although it ran"
        if isinstance(request.verdict, Answered):
            assert runs >= 1


@then("no request through a live entry VM waited beyond its deadline")
def deadlines_met(context):
    for request in get_world(context).fleet.finished_requests:
        assert request.ended_at <= request.info.deadline + 0.2


@then(parsers.parse("target {target} started no request later than {limit:g} s after that"))
def no_request_after_draining(context, target, limit):
    finish_requests(context)
    draining_target = get_world(context).fleet.targets[target]
    assert draining_target.run_started_at, (
        "the target must have been used before it started draining"
    )
    assert max(draining_target.run_started_at) <= draining_target.draining_since + limit


@then(parsers.parse("at most {count:d} targets crashed"))
def at_most_targets_crashed(context, count):
    assert sum(not target.alive for target in get_world(context).fleet.targets.values()) <= count


@then("refusals carry a jittered Retry-After")
def refusals_carry_retry_after(context):
    refusals = [
        e.verdict
        for e in get_world(context).fleet.finished_requests
        if isinstance(e.verdict, NotRun)
    ]
    assert refusals
    assert all(refusal.retry_after_s > 0 for refusal in refusals)
    assert len({round(refusal.retry_after_s, 6) for refusal in refusals}) > len(refusals) / 2


@then(parsers.parse("refusals are returned within {limit:g} s"))
def refusals_are_returned_within(context, limit):
    refused = [
        e for e in get_world(context).fleet.finished_requests if isinstance(e.verdict, NotRun)
    ]
    assert max(e.latency_s for e in refused) <= limit


@then(parsers.re(r"order (?P<order>\w+) ran (?P<how>once|at most once)"))
def order_ran(context, order, how):
    finish_requests(context)
    runs = get_world(context).fleet.total_runs(get_world(context).order_ids[order])
    assert runs <= 1
    assert how == "at most once" or runs == 1


@then(parsers.parse("order {order} did not run"))
def order_did_not_run(context, order):
    finish_requests(context)
    assert get_world(context).fleet.total_runs(get_world(context).order_ids[order]) == 0


@then(parsers.re(r"the last verdict for order (?P<order>\w+) says that it (?P<what>.+)"))
def last_verdict_is(context, order, what):
    kind = {"may have run": MayHaveRun, "did not run": NotRun}[what]
    assert isinstance(get_world(context).verdicts(get_world(context).order_ids[order])[-1], kind)


@then(parsers.parse("ticket {number:d} is in force on every live entry VM within {limit:g} s"))
def ticket_in_force(context, number, limit):
    fleet = get_world(context).fleet
    accepted_at = context.get("accepted_at", fleet.now)
    get_world(context).advance(max(0.0, accepted_at + limit - fleet.now))
    for vm in fleet.vms.values():
        if vm.alive and fleet.now >= vm.paused_until:
            assert vm.host.state.number >= number, vm.name


@then("no entry VM served a lower ticket after a higher one")
def no_return_to_older_ticket(context):
    get_world(context).check()
    assert not get_world(context).fleet.violations


def find_serving(context, vm):
    """Returns the entry VMs that ``vm`` treats as serving; its look-ups must name no others."""
    host = get_world(context).fleet.vms[vm].host
    domain = get_world(context).fleet.vms[vm].locality.failure_domain
    response = host.entries_view.build(host.state, domain, 0, get_world(context).fleet.now)
    serving = {member.vm for member in host.membership.serving()}
    assert {entry["vm"] for entry in response["entries"]} <= serving
    return serving


def running_vms(context):
    """Returns the names of the entry VMs that are neither killed nor paused."""
    fleet = get_world(context).fleet
    return [name for name, vm in fleet.vms.items() if vm.alive and fleet.now >= vm.paused_until]


@then(parsers.parse("no entry VM treats {vm} as serving"))
def none_treats_as_serving(context, vm):
    assert not [other for other in running_vms(context) if vm in find_serving(context, other)]


@then(parsers.parse("every entry VM treats {vm} as serving"))
def all_treat_as_serving(context, vm):
    assert all(vm in find_serving(context, other) for other in running_vms(context))


@then(parsers.re(r"(?P<vm>\S+) treats (?P<other>\S+) as serving"))
def treats_as_serving(context, vm, other):
    assert other in find_serving(context, vm)


@then(parsers.parse("{vm} is not ready"))
def vm_is_not_ready(context, vm):
    assert not get_world(context).fleet.vms[vm].host.is_ready


@then(parsers.parse("{vm} is ready {seconds:g} s later"))
def vm_becomes_ready(context, vm, seconds):
    get_world(context).advance(seconds)
    assert get_world(context).fleet.vms[vm].host.is_ready


@then("every target has one owner")
def each_target_has_one_owner(context):
    owned = [
        target.name
        for vm in running_vms(context)
        for target in get_world(context).fleet.vms[vm].host.owned_targets()
    ]
    assert sorted(owned) == sorted(get_world(context).fleet.targets)


@then(parsers.parse("every entry VM records {vm} as dead"))
def all_record_dead(context, vm):
    views = [get_world(context).fleet.vms[name].host.membership for name in running_vms(context)]
    assert {view.find(vm).status for view in views} == {Status.DEAD}


@then(parsers.parse("no entry VM has a record of {vm}"))
def none_has_record(context, vm):
    views = [get_world(context).fleet.vms[name].host.membership for name in running_vms(context)]
    assert [view.find(vm) for view in views if view.find(vm)] == []


@then(parsers.parse("no verdict for order {order} says that it did not run"))
def never_reported_not_run(context, order):
    verdicts = get_world(context).verdicts(get_world(context).order_ids[order])
    assert len(verdicts) > 1
    assert not [verdict for verdict in verdicts if isinstance(verdict, NotRun)]
