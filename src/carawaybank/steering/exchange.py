"""The gossip message that entry VMs send each other, as request and as response.

Optional fields without content are left out, which keeps idle exchanges small.
"""

from typing import NotRequired, TypedDict

from carawaybank.steering.membership import Member
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.tickets import AcceptedTicket


class Exchange(TypedDict):
    """A gossip message from one entry VM to another.

    Attributes:
        vm: The sender.
        incarnation: The sender's process start.
        recognized: Incarnation of the receiver that the sender records as a holder of keys; 0 if
            there is none.
        held: Highest ticket number that the sender holds without a gap.
        digest: Digest of the sender's membership records.
        bucket_digests: Digests by bucket, sent when the overall digests differ.
        members: Membership records that may be new to the receiver.
        released: Units that the sender still uses of keys that it no longer owns, by key.
        doubts: Members whose heartbeats the sender misses; the receiver reports in ``heard`` when
            it last heard from them.
        heard: Seconds since the sender last heard from each member in the receiver's ``doubts``.
        tickets: Tickets that the receiver lacks.
        behind: Whether the receiver lags too far and must fetch a snapshot from the sender.
        crashes: Crash reports.
        free: Free slots by service, sent when they changed.
        leaving: Targets that the VM list reports as leaving.
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
