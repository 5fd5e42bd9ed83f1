"""What operators are shown, as documents."""

from typing import Any, TypedDict


class VmStatus(TypedDict):
    """One entry VM as it reports itself.

    Attributes:
        vm: Its name.
        incarnation: Its process start.
        failure_domain: Where it stands.
        status: What is believed of it.
        ticket: Number in force there; 0 when it did not report.
        reported: Whether it answered now.
        platform_age_s: Seconds since it last reached the platform; -1 if never.
    """

    vm: str
    incarnation: int
    failure_domain: str
    status: str
    ticket: int
    reported: bool
    platform_age_s: float


class FleetStatus(TypedDict):
    """All entry VMs, and the lowest number in force in each failure domain."""

    ticket: int
    failure_domains: dict[str, int]
    vms: list[VmStatus]


class SubmissionResult(TypedDict):
    """How a submission ended."""

    verdict: str
    number: int
    reason: str
    detail: str
    retry_after_s: float


class TicketEffect(TypedDict):
    """What a ticket would change.

    Attributes:
        faults: Why it would be refused.
        changes: Entities that it adds, changes or removes.
        slots: Slots of each region and service before and after.
    """

    faults: list[str]
    changes: list[str]
    slots: dict[str, list[int]]


class Dump(TypedDict):
    """The state of one process."""

    vm: str
    incarnation: int
    ticket: int
    held: int
    uptime_s: float
    in_flight: int
    members: list[dict[str, Any]]
    owned: list[dict[str, Any]]
    ownership: dict[str, Any]
    shifts: dict[str, int]
    remembered_requests: int
    crashes: list[Any]
    incidents: list[dict[str, Any]]
