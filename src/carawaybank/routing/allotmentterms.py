"""What an allotment permits, and how the excess that users tolerate is divided.

Load pattern: tokens that VMs hold, fixed shares and lost messages would together exceed what users
tolerate if each were bounded alone.
"""

from typing import NamedTuple

from carawaybank.routing.allotmentbucket import AllotmentTerms
from carawaybank.routing.allotmentlending import LOAN_VALID_S
from carawaybank.routing.allotmentshares import ASK_INTERVAL_S
from carawaybank.routing.configuration import Tenant

#: Parts of the tolerated excess: for the fixed shares, for a faster refill, which makes up for lost
#: messages and the time without an owner, and for requests that take unequal times to arrive at
#: targets. The rest, less what loans add while they are under way, is for tokens that VMs hold.
FIXED_PART = 0.05
REFILL_PART = 0.4
ARRIVAL_PART = 0.1
#: Maximum part of the rate by which the refill is faster.
MAX_REFILL_PART = 0.04
#: Seconds of the rate; a tenant whose burst is below them is asked for twice as often.
SMALL_BURST_S = 0.3
#: Assumed number of VMs per known one, because others may have joined unnoticed.
UNKNOWN_VM_FACTOR = 1.5


class AllotmentBounds(NamedTuple):
    """What users tolerate beyond the allotments.

    Attributes:
        window_s: Length of the window in seconds.
        excess: Excess as a share of the requests allowed in a window.
        slack: Additional requests in a window.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


def tenant_terms(tenant: Tenant, bounds: AllotmentBounds) -> AllotmentTerms:
    """Returns the allotment of a tenant with the whole excess that users tolerate.

    >>> tenant_terms(Tenant("acme", rate=10.0, burst=30.0), AllotmentBounds())
    AllotmentTerms(rate=10.0, burst=30.0, excess=28.0)
    """
    allowed = tenant.rate * bounds.window_s + tenant.burst
    return AllotmentTerms(tenant.rate, tenant.burst, bounds.excess * allowed + bounds.slack)


def bucket_terms(terms: AllotmentTerms, bounds: AllotmentBounds) -> AllotmentTerms:
    """Returns the terms of the owner's bucket, whose excess is for tokens that VMs hold."""
    faster = min(MAX_REFILL_PART * terms.rate, REFILL_PART * terms.excess / bounds.window_s)
    held = (1.0 - FIXED_PART - ARRIVAL_PART) * terms.excess
    reserve = held - faster * bounds.window_s - LOAN_VALID_S * terms.rate
    return AllotmentTerms(terms.rate + faster, terms.burst, max(0.0, reserve))


def scale(terms: AllotmentTerms, share: float) -> AllotmentTerms:
    """Returns a part of an allotment, which one side of a cut may grant.

    >>> scale(AllotmentTerms(rate=10.0, burst=30.0, excess=28.0), 0.5)
    AllotmentTerms(rate=5.0, burst=15.0, excess=14.0)
    """
    return AllotmentTerms(terms.rate * share, terms.burst * share, terms.excess * share)


def fixed_share(terms: AllotmentTerms, *, vm_count: int) -> float:
    """Returns the requests in a window that each VM may send without a grant."""
    return FIXED_PART * terms.excess / (UNKNOWN_VM_FACTOR * vm_count)


def ask_interval_s(terms: AllotmentTerms) -> float:
    """Returns the seconds between asks; shorter if the bucket holds little beside grants."""
    is_small = terms.burst < SMALL_BURST_S * terms.rate
    return ASK_INTERVAL_S / 2 if is_small else ASK_INTERVAL_S
