"""Read-back: what is in force where, state dumps and the effect of a ticket."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.host import Host
from carawaybank.operators.documents import Dump, FleetStatus, TicketEffect, VmStatus
from carawaybank.siblings.client import SiblingClient
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.tickets import (
    KINDS,
    State,
    TicketDocument,
    apply,
    find_faults,
    region_slots,
)

STATUS_PATH = "/v1/status"
_ASK_TIMEOUT_S = 0.8
_PARALLEL = 16
_MAX_LISTED = 200


class ReadBack:
    """Answers operators' questions from this process and its siblings."""

    def __init__(self, *, host: Host, client: SiblingClient) -> None:
        """Takes what to ask.

        Args:
            host: The decision core.
            client: Talks to siblings.
        """
        self._host = host
        self._client = client

    def own_status(self, platform_age_s: float) -> VmStatus:
        """Returns this entry VM's report of itself."""
        own = self._host.membership.own
        return VmStatus(
            vm=own.vm,
            incarnation=own.incarnation,
            failure_domain=own.failure_domain,
            status=own.status.name.lower(),
            ticket=self._host.state.number,
            reported=True,
            platform_age_s=platform_age_s,
        )

    def fleet_status(self, platform_age_s: float) -> FleetStatus:
        """Returns the reports of all entry VMs, asked now."""
        with self._host.lock:
            others = self._host.membership.others()
        with ThreadPoolExecutor(max_workers=_PARALLEL) as workers:
            reports = list(workers.map(self._ask, others))
        vms = sorted([self.own_status(platform_age_s), *reports], key=lambda vm: vm["vm"])
        lowest: dict[str, int] = {}
        for vm in vms:
            if vm["reported"]:
                domain = vm["failure_domain"]
                lowest[domain] = min(vm["ticket"], lowest.get(domain, vm["ticket"]))
        return FleetStatus(ticket=self._host.state.number, failure_domains=lowest, vms=vms)

    def dump(self) -> Dump:
        """Returns the state of this process, bounded in size."""
        host = self._host
        now = host.now
        with host.lock:
            steering = host.steering
            standings = steering.holdings.standings()
            owned = [
                {
                    **target._asdict(),
                    "in_use": standings[target.name].in_use,
                    "latency_s": round(standings[target.name].latency_s, 6),
                    "ejected": standings[target.name].is_ejected(now),
                    "draining": standings[target.name].draining,
                }
                for target in steering.holdings.owned(now=now)[:_MAX_LISTED]
            ]
            return Dump(
                vm=host.membership.own.vm,
                incarnation=host.membership.own.incarnation,
                ticket=host.state.number,
                held=host.log.held,
                uptime_s=round(host.uptime_s, 3),
                in_flight=steering.in_flight,
                members=[self._describe(m, now) for m in host.membership.all()[:_MAX_LISTED]],
                owned=owned,
                ownership=self._describe_ownership(),
                shifts=steering.spillover.shifts.in_use(),
                remembered_requests=steering.memory.size,
                crashes=list(steering.quarantine.reports()[:_MAX_LISTED]),
                incidents=[incident._asdict() for incident in steering.incidents.recent],
            )

    def effect(self, ticket: TicketDocument) -> TicketEffect:
        """Returns what a ticket would change here if it were accepted."""
        state = self._host.state
        faults = find_faults(state, ticket)
        if ticket["number"] != state.number + 1:
            return TicketEffect(faults=faults, changes=[], slots={})
        after = apply(state, ticket)
        return TicketEffect(
            faults=faults, changes=_changes(state, after), slots=_slots(state, after)
        )

    def _ask(self, member: Member) -> VmStatus:
        answer = self._client.get(member.control_address, STATUS_PATH, timeout_s=_ASK_TIMEOUT_S)
        if answer is not None and answer.status == 200:
            try:
                return documents.decode_json(answer.body, VmStatus, source=member.vm)
            except DocumentError:
                pass
        return VmStatus(
            vm=member.vm,
            incarnation=member.incarnation,
            failure_domain=member.failure_domain,
            status=member.status.name.lower(),
            ticket=0,
            reported=False,
            platform_age_s=-1.0,
        )

    def _describe(self, member: Member, now: float) -> dict[str, Any]:
        peer = self._host.group.peers.get(member.vm)
        described: dict[str, Any] = member._asdict()
        described["status"] = Status(member.status).name.lower()
        described["silent_s"] = round(now - peer.heard_at, 3) if peer else 0.0
        return described

    def _describe_ownership(self) -> dict[str, Any]:
        ownership = self._host.ownership
        return {
            "holders": {vm: holder._asdict() for vm, holder in ownership.holders.items()},
            "ended": {vm: ended._asdict() for vm, ended in list(ownership.ended.items())[:50]},
            "released": self._host.steering.released(),
        }


def _changes(before: State, after: State) -> list[str]:
    changes = []
    for kind in KINDS:
        old, new = getattr(before, kind), getattr(after, kind)
        for name in sorted(old.keys() | new.keys()):
            if name not in old:
                changes.append(f"add {kind}/{name}")
            elif name not in new:
                changes.append(f"remove {kind}/{name}")
            elif old[name] != new[name]:
                changes.append(f"change {kind}/{name}")
    return changes


def _slots(before: State, after: State) -> dict[str, list[int]]:
    regions = sorted(before.regions.keys() | after.regions.keys())
    services = sorted(before.services.keys() | after.services.keys())
    return {
        f"{region}/{service}": [
            region_slots(state, region=region, service=service) for state in (before, after)
        ]
        for region in regions
        for service in services
    }
