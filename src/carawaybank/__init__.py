"""Global traffic steering between callers and targets.

Applications that embed the steering logic without running the daemon import it from here: verdicts,
leases, allowances, ownership, membership, ticket dissemination, request deduplication, retry
budgets and the decision core.

Usage::

    >>> import carawaybank
    >>> allowance = carawaybank.Allowance()
    >>> allowance.try_acquire(limit=1)
    True
"""

from importlib import import_module

#: Read by type checkers as that of ``typing``, whose import would delay the start of the daemon.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from typing import Any

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
    from carawaybank.steering.monitor import GroupOptions
    from carawaybank.steering.options import Options
    from carawaybank.steering.ownership import DeathProof, Ownership
    from carawaybank.steering.quarantine import CrashReport, Quarantine
    from carawaybank.steering.retries import RetryBudget
    from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

__version__ = "0.1.0"

#: Module that defines each public name. Modules are imported on first use, because an entry VM may
#: start under high load and must not spend time on loading modules that it does not need.
_MODULES = {
    "Admission": "carawaybank.steering.deduplication",
    "Allowance": "carawaybank.steering.allowances",
    "Answered": "carawaybank.verdicts",
    "BlockMap": "carawaybank.steering.blocks",
    "CarawaybankError": "carawaybank.exceptions",
    "CrashReport": "carawaybank.steering.quarantine",
    "DeathProof": "carawaybank.steering.ownership",
    "DocumentError": "carawaybank.exceptions",
    "Group": "carawaybank.steering.group",
    "GroupOptions": "carawaybank.steering.monitor",
    "Lease": "carawaybank.steering.leases",
    "LeaseObserver": "carawaybank.steering.leases",
    "MayHaveRun": "carawaybank.verdicts",
    "Member": "carawaybank.steering.membership",
    "Membership": "carawaybank.steering.membership",
    "NotRun": "carawaybank.verdicts",
    "Options": "carawaybank.steering.options",
    "Ownership": "carawaybank.steering.ownership",
    "PlatformError": "carawaybank.exceptions",
    "Quarantine": "carawaybank.steering.quarantine",
    "Reason": "carawaybank.verdicts",
    "RequestId": "carawaybank.steering.deduplication",
    "RequestMemory": "carawaybank.steering.deduplication",
    "RetryBudget": "carawaybank.steering.retries",
    "SnapshotError": "carawaybank.exceptions",
    "Status": "carawaybank.steering.membership",
    "Steering": "carawaybank.steering.core",
    "TicketLog": "carawaybank.steering.dissemination",
    "Verdict": "carawaybank.verdicts",
    "split": "carawaybank.steering.allowances",
}


def __getattr__(name: str) -> "Any":
    """Imports the module of a public name when the name is first used (PEP 562)."""
    if name not in _MODULES:
        raise AttributeError(f"module 'carawaybank' has no attribute {name!r}")
    value = getattr(import_module(_MODULES[name]), name)
    globals()[name] = value
    return value


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
