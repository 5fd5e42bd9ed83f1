"""Admission of non-repeatable requests, according to the binding of their ids.

Only the incarnation of an entry VM to which a request id is bound may start the request.
"""

from carawaybank.steering.deduplication import Admission, RequestId, RequestMemory
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.messages import RequestInfo
from carawaybank.verdicts import MayHaveRun, NotRun, Reason, Verdict

_MEMORY_FULL_RETRY_AFTER_S = 0.5


def admit_non_repeatable(
    request: RequestInfo,
    *,
    request_memory: RequestMemory,
    membership: Membership,
    epoch: int,
    forwarded: bool,
) -> Verdict | str | None:
    """Decides whether a non-repeatable request may start here.

    Args:
        request: The request.
        request_memory: Requests that this incarnation started.
        membership: The entry VMs.
        epoch: The current id epoch of this process.
        forwarded: Whether a sibling forwarded it here because of its id.

    Returns:
        None if its start was recorded and it may run here; the name of the entry VM to which it
        must be forwarded; or the verdict with which it ends.
    """
    bound = request.bound_id
    if bound is None:
        detail = "a request that may not be repeated needs an id from a look-up"
        return NotRun(Reason.UNBOUND_REQUEST_ID, 0.0, detail)
    own = membership.own
    if (bound.vm, bound.incarnation) == (own.vm, own.incarnation):
        return _start_request(bound, request_memory=request_memory, epoch=epoch)
    member = membership.find(bound.vm)
    if bound.vm != own.vm and not forwarded and _incarnation_may_run(member, bound):
        return bound.vm
    return _incarnation_gone_verdict(request)


def refusal_verdict(
    request: RequestInfo,
    refusal: NotRun,
    *,
    request_memory: RequestMemory,
    membership: Membership,
    epoch: int,
) -> Verdict:
    """Returns the verdict for a request that is refused before it is admitted.

    An earlier send of the same request may have run. The refusal is therefore returned unchanged
    only if this incarnation would remember the earlier send, or if the caller states that this is
    the first send. A verdict that is remembered for the id takes precedence.
    """
    bound = request.bound_id
    if request.repeatable or bound is None:
        return refusal
    own = membership.own
    is_own = (bound.vm, bound.incarnation) == (own.vm, own.incarnation)
    remembered = request_memory.find(bound) if is_own else None
    if remembered is not None:
        return remembered
    if request.first_send or (is_own and request_memory.is_within_retention(bound, epoch=epoch)):
        return refusal
    detail = f"not run now, but an earlier send may have: {refusal.detail}"
    return MayHaveRun(refusal.reason, refusal.retry_after_s, detail)


def _start_request(
    bound: RequestId, *, request_memory: RequestMemory, epoch: int
) -> Verdict | None:
    match request_memory.start(bound, epoch=epoch):
        case Admission.STARTED:
            return None
        case Admission.KNOWN:
            return request_memory.find(bound)
        case Admission.EXPIRED:
            detail = "the id is older than what is remembered"
            return MayHaveRun(Reason.REQUEST_ID_EXPIRED, 0.0, detail)
        case Admission.FULL:
            return NotRun(
                Reason.MEMORY_FULL, _MEMORY_FULL_RETRY_AFTER_S, "too many requests are remembered"
            )


def _incarnation_may_run(member: Member | None, bound: RequestId) -> bool:
    """Returns whether the incarnation that the id is bound to may still be running."""
    if member is None:
        return False
    return member.incarnation == bound.incarnation and member.status is not Status.DEAD


def _incarnation_gone_verdict(request: RequestInfo) -> Verdict:
    if request.first_send:
        detail = "the entry VM that the id is bound to is gone; look up entry VMs again"
        return NotRun(Reason.INCARNATION_GONE, 0.0, detail)
    detail = "the entry VM that knew its outcome is gone"
    return MayHaveRun(Reason.INCARNATION_GONE, 0.0, detail)
