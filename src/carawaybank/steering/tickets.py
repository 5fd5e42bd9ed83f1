"""Change tickets: document types, validation, and the state that they produce.

A ticket contains the complete new definition of each entity that it changes: an entry replaces the
entity of the same name, and ``removed`` lists the entities to delete as ``KIND/NAME``. A state is
immutable; :func:`apply_ticket` returns the next one.

Usage::

    >>> ticket: TicketDocument = {
    ...     "number": 1, "author": "mori", "reason": "first region",
    ...     "regions": {"sask": {"utilisation": 0.9}},
    ... }
    >>> apply_ticket(EMPTY_STATE, ticket).number
    1
"""

import ipaddress
import math
from collections.abc import Callable, Mapping
from typing import Literal, NamedTuple, NotRequired, TypedDict, cast

from carawaybank import documents
from carawaybank.steering import hashing

MAX_NAME_LENGTH = 64


class RegionDocument(TypedDict):
    """A region and the fraction of its slots that steering may fill, above 0 and at most 1."""

    utilisation: float


class FailureDomainDocument(TypedDict):
    """A failure domain, its region and the cells into which its entry VMs are grouped."""

    region: str
    cells: NotRequired[list[str]]


class ServiceDocument(TypedDict):
    """A service and its weights of latency and headroom in target selection, from 0 to 1."""

    latency_weight: NotRequired[float]
    headroom_weight: NotRequired[float]


class TargetDocument(TypedDict):
    """A server of a service, its address ``IP:PORT``, and its slots and connections."""

    service: str
    failure_domain: str
    address: str
    slots: int
    connections: NotRequired[int]
    state: NotRequired[Literal["active", "draining"]]


class ShiftDocument(TypedDict):
    """A shift of a service's requests between regions; ``cap`` limits the requests in flight."""

    service: str
    from_region: str
    to_region: str
    cap: int


class LinkDocument(TypedDict):
    """The bandwidth of a link between two regions that steering may use, in Mbit/s each way."""

    regions: list[str]
    mbits: float


class CustomerDocument(TypedDict):
    """A customer and its weight in the division of scarce capacity."""

    weight: float


class BlocksDocument(TypedDict):
    """The map of client blocks: key and digest of the stored object, and its site names."""

    object: str
    digest: str
    sites: list[str]


class TicketDocument(TypedDict):
    """A change ticket as operators submit it."""

    number: int
    author: str
    reason: str
    regions: NotRequired[dict[str, RegionDocument]]
    failure_domains: NotRequired[dict[str, FailureDomainDocument]]
    services: NotRequired[dict[str, ServiceDocument]]
    targets: NotRequired[dict[str, TargetDocument]]
    shifts: NotRequired[dict[str, ShiftDocument]]
    links: NotRequired[dict[str, LinkDocument]]
    customers: NotRequired[dict[str, CustomerDocument]]
    blocks: NotRequired[BlocksDocument]
    removed: NotRequired[list[str]]


class AcceptedTicket(TypedDict):
    """A ticket as stored in the table.

    Attributes:
        ticket: The ticket.
        nonce: Digest of the ticket; distinguishes it from others with the same number.
        accepted_at: Wall-clock time in seconds, for display only.
    """

    ticket: TicketDocument
    nonce: str
    accepted_at: float


class State(NamedTuple):
    """The configuration after a ticket has been applied."""

    number: int
    regions: Mapping[str, RegionDocument]
    failure_domains: Mapping[str, FailureDomainDocument]
    services: Mapping[str, ServiceDocument]
    targets: Mapping[str, TargetDocument]
    shifts: Mapping[str, ShiftDocument]
    links: Mapping[str, LinkDocument]
    customers: Mapping[str, CustomerDocument]
    blocks: BlocksDocument | None

    def region_of(self, failure_domain: str) -> str:
        """Returns the region of a failure domain, or an empty string if it is unknown."""
        domain = self.failure_domains.get(failure_domain)
        return domain["region"] if domain else ""

    def cells_of(self, failure_domain: str) -> list[str]:
        """Returns the cells of a failure domain; only its own name if none are listed."""
        domain = self.failure_domains.get(failure_domain)
        return (domain.get("cells") if domain else None) or [failure_domain]

    def cell_of_target(self, name: str) -> str:
        """Returns the cell whose entry VMs may own the target, chosen by rendezvous hash."""
        cells = self.cells_of(self.targets[name]["failure_domain"])
        return hashing.rank(key=name, members=cells)[0]


ENTITY_KINDS = ("regions", "failure_domains", "services", "targets", "shifts", "links", "customers")
EMPTY_STATE = State(0, {}, {}, {}, {}, {}, {}, {}, None)


def apply_ticket(state: State, ticket: TicketDocument) -> State:
    """Returns the state after the ticket, which must have the next number.

    Raises:
        ValueError: If the ticket's number does not follow the state's.
    """
    if ticket["number"] != state.number + 1:
        raise ValueError(f"ticket {ticket['number']} does not follow {state.number}")
    entities_by_kind: dict[str, dict[str, object]] = {}
    for kind in ENTITY_KINDS:
        entities_by_kind[kind] = {
            **getattr(state, kind),
            **cast(dict[str, object], ticket.get(kind, {})),
        }
    for path in ticket.get("removed", []):
        kind, _, name = path.partition("/")
        entities_by_kind.get(kind, {}).pop(name, None)
    blocks = ticket.get("blocks", state.blocks)
    return State(ticket["number"], **entities_by_kind, blocks=blocks)  # type: ignore[arg-type]


def ticket_digest(ticket: TicketDocument) -> str:
    """Returns a digest of the ticket, by which a repeated submission of it is recognized."""
    return hashing.fingerprint(documents.encode_json(ticket))


def find_faults(state: State, ticket: TicketDocument) -> list[str]:
    """Returns all reasons why the ticket cannot be applied to the state; empty if it can."""
    if ticket["number"] != state.number + 1:
        return [f"number {ticket['number']} does not follow {state.number}; use {state.number + 1}"]
    faults = _removal_faults(state, ticket)
    after = apply_ticket(state, ticket)
    for check in _CHECKS:
        faults.extend(check(after))
    faults.extend(_unserved_service_faults(state, after))
    if not ticket["author"].strip():
        faults.append("author is empty")
    return faults


def region_slots(state: State, *, region: str, service: str) -> int:
    """Returns the total slots of a service's active targets in a region."""
    return sum(
        target["slots"]
        for target in state.targets.values()
        if target["service"] == service
        and target.get("state", "active") == "active"
        and state.region_of(target["failure_domain"]) == region
    )


def _removal_faults(state: State, ticket: TicketDocument) -> list[str]:
    faults = []
    for path in ticket.get("removed", []):
        kind, _, name = path.partition("/")
        if kind not in ENTITY_KINDS:
            faults.append(
                f"removed: {path!r} must be KIND/NAME with KIND one of {', '.join(ENTITY_KINDS)}"
            )
        elif name not in getattr(state, kind):
            faults.append(f"removed: there is no {path}")
        elif name in cast(dict[str, object], ticket.get(kind, {})):
            faults.append(f"removed: {path} is also set by this ticket")
    return faults


def _name_faults(state: State) -> list[str]:
    faults = []
    for kind in ENTITY_KINDS:
        for name in getattr(state, kind):
            alphanumeric = name.replace("-", "").replace("_", "")
            if not alphanumeric.isalnum() or len(name) > MAX_NAME_LENGTH:
                faults.append(f"{kind}.{name}: names are letters, digits, - and _, at most 64")
    return faults


def _locality_and_customer_faults(state: State) -> list[str]:
    faults = []
    for name, region in state.regions.items():
        if not 0 < region["utilisation"] <= 1:
            faults.append(f"regions.{name}.utilisation: {region['utilisation']} is not in (0, 1]")
    for name, domain in state.failure_domains.items():
        if domain["region"] not in state.regions:
            faults.append(f"failure_domains.{name}.region: there is no region {domain['region']}")
    for name, customer in state.customers.items():
        if not (customer["weight"] > 0 and math.isfinite(customer["weight"])):
            faults.append(f"customers.{name}.weight: {customer['weight']} is not above 0")
    return faults


def _link_faults(state: State) -> list[str]:
    faults = []
    for name, link in state.links.items():
        if len(set(link["regions"])) != 2 or not set(link["regions"]) <= state.regions.keys():
            faults.append(f"links.{name}.regions: {link['regions']} are not two known regions")
        if not (link["mbits"] > 0 and math.isfinite(link["mbits"])):
            faults.append(f"links.{name}.mbits: {link['mbits']} is not above 0")
    return faults


def _target_faults(state: State) -> list[str]:
    faults = []
    addresses: dict[str, str] = {}
    for name, target in state.targets.items():
        prefix = f"targets.{name}"
        if target["service"] not in state.services:
            faults.append(f"{prefix}.service: there is no service {target['service']}")
        if target["failure_domain"] not in state.failure_domains:
            faults.append(f"{prefix}.failure_domain: there is no {target['failure_domain']}")
        if not is_ip_port(target["address"]):
            faults.append(f"{prefix}.address: {target['address']!r} is not IP:PORT")
        if target["slots"] < 1:
            faults.append(f"{prefix}.slots: {target['slots']} is not 1 or more")
        other = addresses.setdefault(target["address"], name)
        if other != name:
            faults.append(f"{prefix}.address: {target['address']} is also that of {other}")
    return faults


def _shift_faults(state: State) -> list[str]:
    faults = []
    for name, shift in state.shifts.items():
        prefix = f"shifts.{name}"
        if shift["service"] not in state.services:
            faults.append(f"{prefix}.service: there is no service {shift['service']}")
            continue
        faults.extend(
            f"{prefix}.{end}: there is no region {region}"
            for end, region in (("from", shift["from_region"]), ("to", shift["to_region"]))
            if region not in state.regions
        )
        if shift["from_region"] == shift["to_region"]:
            faults.append(f"{prefix}: from_region and to_region are the same")
        if shift["cap"] < 0:
            faults.append(f"{prefix}.cap: {shift['cap']} is below 0")
    return faults + _shift_load_faults(state)


def _shift_load_faults(state: State) -> list[str]:
    incoming: dict[tuple[str, str], int] = {}
    for shift in state.shifts.values():
        key = (shift["to_region"], shift["service"])
        incoming[key] = incoming.get(key, 0) + shift["cap"]
    faults = []
    for (region, service), cap in incoming.items():
        if region not in state.regions:
            continue
        slots = region_slots(state, region=region, service=service)
        limit = math.floor(slots * state.regions[region]["utilisation"])
        if cap > limit:
            faults.append(
                f"shifts into {region}: caps for {service} add up to {cap}, above its limit {limit}"
            )
    return faults


def _unserved_service_faults(before: State, after: State) -> list[str]:
    faults = []
    for service in after.services:
        had_slots = any(region_slots(before, region=r, service=service) for r in before.regions)
        has_slots = any(region_slots(after, region=r, service=service) for r in after.regions)
        if had_slots and not has_slots:
            faults.append(f"services.{service}: the ticket leaves it without active targets")
    return faults


def is_ip_port(text: str) -> bool:
    """Returns whether the text is an IP address with a port, as ``IP:PORT``.

    >>> is_ip_port("127.0.0.1:80"), is_ip_port("localhost:80")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65_536


_CHECKS: tuple[Callable[[State], list[str]], ...] = (
    _name_faults,
    _locality_and_customer_faults,
    _link_faults,
    _target_faults,
    _shift_faults,
)
