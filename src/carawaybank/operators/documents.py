"""The documents in responses to operators."""

from typing import Any, TypedDict


class VmStatus(TypedDict):
    """The status of one entry VM.

    It is the VM's own report, or the membership record at the entry VM that collects the reports
    if the VM did not respond.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Number of its process start.
        failure_domain: Its failure domain.
        status: Its membership status, in lower case.
        ticket: Number of the ticket in force there; 0 if it did not respond.
        reported: Whether it responded to this request.
        platform_age_s: Seconds since it last reached the platform; -1 if it never did or did not
            respond.
    """

    vm: str
    incarnation: int
    failure_domain: str
    status: str
    ticket: int
    reported: bool
    platform_age_s: float


class FleetStatus(TypedDict):
    """The status of all entry VMs.

    Attributes:
        ticket: Number of the ticket in force at the entry VM that responds.
        failure_domains: Lowest ticket in force among the entry VMs that responded, by
            failure domain.
        vms: All entry VMs, by name.
    """

    ticket: int
    failure_domains: dict[str, int]
    vms: list[VmStatus]


class SubmissionResult(TypedDict):
    """The outcome of submitting a ticket.

    Attributes:
        verdict: ``accepted``, ``not-run`` or ``may-have-run``.
        number: Number of the accepted ticket; 0 otherwise.
        reason: Code of the reason; empty if it was accepted.
        detail: A sentence for people.
        retry_after_s: Seconds after which the same submission may be repeated.
    """

    verdict: str
    number: int
    reason: str
    detail: str
    retry_after_s: float


class TicketEffect(TypedDict):
    """The changes that a ticket would make.

    Attributes:
        faults: Reasons for which it would be refused.
        changes: Entities that it adds, changes or removes.
        slots: Slots before and after, by ``REGION/SERVICE``.
    """

    faults: list[str]
    changes: list[str]
    slots: dict[str, list[int]]


class Dump(TypedDict):
    """The state of one process, bounded in size.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Number of its process start.
        ticket: Number of the ticket in force.
        held: Highest ticket number held without a gap.
        uptime_s: Seconds since the start.
        in_flight: Requests without a verdict.
        members: Records of the entry VMs that it knows.
        owned: Targets that it owns.
        ownership: Other holders of keys, members that ended, and units that are still in use
            of keys that others own now.
        shifts: Units in use, by shift.
        remembered_requests: Requests in the deduplication memory.
        crashes: Crash reports in quarantine.
        incidents: Recent requests of unknown outcome.
    """

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
