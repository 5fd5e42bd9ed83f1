"""Global traffic steering between callers and targets.

The parts that others embed are importable from here, without the daemon: verdicts, leases,
allowances, ownership, membership, dissemination, at-most-once memory, retry budgets and the
decision core itself.

Usage::

    >>> import carawaybank
    >>> allowance = carawaybank.Allowance()
    >>> allowance.take(limit=1)
    True
"""

from carawaybank.exceptions import (
    CarawaybankError,
    DocumentError,
    PlatformError,
    SnapshotError,
)
from carawaybank.steering.allowances import Allowance, split
from carawaybank.steering.blocks import BlockMap
from carawaybank.steering.core import Steering
from carawaybank.steering.deduplication import Admission, RequestId, RequestMemory
from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.group import Group
from carawaybank.steering.leases import Lease, LeaseObserver
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.options import Options
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.steering.retries import RetryBudget
from carawaybank.steering.watching import GroupOptions
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

__version__ = "0.1.0"

__all__ = [
    "Admission",
    "Allowance",
    "Answered",
    "BlockMap",
    "CarawaybankError",
    "CrashReport",
    "DeathProof",
    "DocumentError",
    "Group",
    "GroupOptions",
    "Lease",
    "LeaseObserver",
    "MayHaveRun",
    "Member",
    "Membership",
    "NotRun",
    "Options",
    "Ownership",
    "PlatformError",
    "Quarantine",
    "Reason",
    "RequestId",
    "RequestMemory",
    "RetryBudget",
    "SnapshotError",
    "Status",
    "Steering",
    "TicketLog",
    "Verdict",
    "split",
]
