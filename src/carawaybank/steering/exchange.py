"""The one message that entry VMs send each other, as request and as answer.

Fields that have nothing to say are left out, which keeps an idle exchange small.
"""

from typing import NotRequired, TypedDict

from carawaybank.steering.membership import Member
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.tickets import AcceptedTicket


class Exchange(TypedDict):
    """What one entry VM tells another.

    Attributes:
        vm: The sender.
        incarnation: The sender's process start.
        recognized: Incarnation of the receiver that the sender knows as an owner of keys.
        held: Highest ticket number that the sender holds without a gap.
        digest: Digest of the sender's membership records.
        bucket_digests: Digests by bucket, after a differing digest.
        members: Membership records that may be news.
        released: Units that the sender still uses of keys that it no longer owns.
        doubts: Members that the sender did not hear from lately and asks about.
        heard: Seconds since the sender heard from each member that it was asked about.
        tickets: Tickets that the receiver lacks.
        behind: Whether the receiver must fetch a snapshot from the sender.
        crashes: Crash reports.
        free: Free slots by service, where they changed.
        leaving: Targets that the VM list calls leaving.
    """

    vm: str
    incarnation: int
    recognized: int
    held: int
    digest: str
    bucket_digests: NotRequired[list[str]]
    members: NotRequired[list[Member]]
    released: NotRequired[dict[str, int]]
    doubts: NotRequired[list[str]]
    heard: NotRequired[dict[str, float]]
    tickets: NotRequired[list[AcceptedTicket]]
    behind: NotRequired[bool]
    crashes: NotRequired[list[CrashReport]]
    free: NotRequired[dict[str, int]]
    leaving: NotRequired[list[str]]
