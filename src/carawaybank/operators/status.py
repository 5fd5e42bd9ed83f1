"""Collects the status of entry VMs, state dumps and the effects of tickets."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.host import Host
from carawaybank.operators.documents import Dump, FleetStatus, TicketEffect, VmStatus
from carawaybank.siblings.client import SiblingClient
from carawaybank.steering.membership import Member, Status
from carawaybank.steering.tickets import (
    ENTITY_KINDS,
    State,
    TicketDocument,
    apply_ticket,
    find_faults,
    region_slots,
)

STATUS_PATH = "/v1/status"
_STATUS_TIMEOUT_S = 0.8
_MAX_PARALLEL_CALLS = 16
_MAX_DUMP_ENTRIES = 200


class StatusReports:
    """Collects the documents that operators read, from this process and its siblings."""

    def __init__(self, *, host: Host, client: SiblingClient) -> None:
        """Keeps the sources of the documents.

        Args:
            host: The decision core.
            client: Requests the status of siblings.
        """
        self._host = host
        self._client = client

    def own_status(self, platform_age_s: float) -> VmStatus:
        """Returns the status of this entry VM.

        Args:
            platform_age_s: Seconds since it last reached the platform; -1 if never.
        """
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
        """Requests the status of all entry VMs and returns it; blocks until all calls have ended.

        Args:
            platform_age_s: Seconds since this entry VM last reached the platform; -1 if never.
        """
        with self._host.lock:
            others = self._host.membership.other_members()
        with ThreadPoolExecutor(max_workers=_MAX_PARALLEL_CALLS) as workers:
            reports = list(workers.map(self._fetch_status, others))
        vms = sorted([self.own_status(platform_age_s), *reports], key=lambda vm: vm["vm"])
        lowest_tickets: dict[str, int] = {}
        for vm in vms:
            if vm["reported"]:
                domain = vm["failure_domain"]
                lowest_tickets[domain] = min(vm["ticket"], lowest_tickets.get(domain, vm["ticket"]))
        return FleetStatus(ticket=self._host.state.number, failure_domains=lowest_tickets, vms=vms)

    def dump(self) -> Dump:
        """Returns the state of this process; long lists are truncated."""
        host = self._host
        now = host.now
        with host.lock:
            steering = host.steering
            target_states = steering.cell_targets.target_states()
            owned = [
                {
                    **target._asdict(),
                    "in_use": target_states[target.name].in_use,
                    "latency_s": round(target_states[target.name].latency_s, 6),
                    "ejected": target_states[target.name].is_ejected(now),
                    "draining": target_states[target.name].draining,
                }
                for target in steering.cell_targets.owned(now=now)[:_MAX_DUMP_ENTRIES]
            ]
            return Dump(
                vm=host.membership.own.vm,
                incarnation=host.membership.own.incarnation,
                ticket=host.state.number,
                held=host.ticket_log.highest_held,
                uptime_s=round(host.uptime_s, 3),
                in_flight=steering.in_flight,
                members=[
                    self._describe_member(member, now)
                    for member in host.membership.all()[:_MAX_DUMP_ENTRIES]
                ],
                owned=owned,
                ownership=self._describe_ownership(),
                shifts=steering.spillover.shifts.in_use(),
                remembered_requests=steering.request_memory.size,
                crashes=list(steering.quarantine.reports()[:_MAX_DUMP_ENTRIES]),
                incidents=[incident._asdict() for incident in steering.incidents.recent],
            )

    def effect(self, ticket: TicketDocument) -> TicketEffect:
        """Returns the changes that a ticket would make to the state in force here.

        If the ticket is not the next one, the result has faults but neither changes nor slots.
        """
        state = self._host.state
        faults = find_faults(state, ticket)
        if ticket["number"] != state.number + 1:
            return TicketEffect(faults=faults, changes=[], slots={})
        new_state = apply_ticket(state, ticket)
        return TicketEffect(
            faults=faults,
            changes=_list_changes(state, new_state),
            slots=_count_slots(state, new_state),
        )

    def _fetch_status(self, member: Member) -> VmStatus:
        response = self._client.get(
            member.control_address, STATUS_PATH, timeout_s=_STATUS_TIMEOUT_S
        )
        if response is not None and response.status == 200:
            try:
                return documents.decode_json(response.body, VmStatus, source=member.vm)
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

    def _describe_member(self, member: Member, now: float) -> dict[str, Any]:
        peer = self._host.group.peers.get(member.vm)
        description: dict[str, Any] = member._asdict()
        description["status"] = Status(member.status).name.lower()
        description["silent_s"] = round(now - peer.last_seen_at, 3) if peer else 0.0
        return description

    def _describe_ownership(self) -> dict[str, Any]:
        ownership = self._host.ownership
        return {
            "holders": {vm: holder._asdict() for vm, holder in ownership.holders.items()},
            "ended": {vm: ended._asdict() for vm, ended in list(ownership.ended.items())[:50]},
            "released": self._host.steering.released_units(),
        }


def _list_changes(old_state: State, new_state: State) -> list[str]:
    changes = []
    for kind in ENTITY_KINDS:
        old, new = getattr(old_state, kind), getattr(new_state, kind)
        for name in sorted(old.keys() | new.keys()):
            if name not in old:
                changes.append(f"add {kind}/{name}")
            elif name not in new:
                changes.append(f"remove {kind}/{name}")
            elif old[name] != new[name]:
                changes.append(f"change {kind}/{name}")
    return changes


def _count_slots(old_state: State, new_state: State) -> dict[str, list[int]]:
    regions = sorted(old_state.regions.keys() | new_state.regions.keys())
    services = sorted(old_state.services.keys() | new_state.services.keys())
    return {
        f"{region}/{service}": [
            region_slots(state, region=region, service=service) for state in (old_state, new_state)
        ]
        for region in regions
        for service in services
    }
