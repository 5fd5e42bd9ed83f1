"""Whether a non-repeatable request may start here, by the binding of its id."""

from carawaybank.steering.deduplication import Admission, RequestId, RequestMemory
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.messages import RequestInfo
from carawaybank.verdicts import MayHaveRun, NotRun, Reason, Verdict

_RETRY_SOON_S = 0.5


def admit(
    request: RequestInfo,
    *,
    memory: RequestMemory,
    membership: Membership,
    epoch: int,
    passed_on: bool,
) -> Verdict | str | None:
    """Decides what becomes of a non-repeatable request.

    Args:
        request: The request.
        memory: Requests that this incarnation started.
        membership: The entry VMs.
        epoch: The present id epoch of this process.
        passed_on: Whether a sibling sent it here because of its id.

    Returns:
        None when it was recorded and may start here; the name of the entry VM that it must be
        passed on to; or the verdict with which it ends.
    """
    bound = request.bound_id
    if bound is None:
        detail = "a request that may not be repeated needs an id from a look-up"
        return NotRun(Reason.UNBOUND_REQUEST_ID, 0.0, detail)
    own = membership.own
    if (bound.vm, bound.incarnation) == (own.vm, own.incarnation):
        return _start(bound, memory=memory, epoch=epoch)
    holder = membership.find(bound.vm)
    if bound.vm != own.vm and not passed_on and _may_know(holder, bound):
        return bound.vm
    return _gone(request)


def refuse(
    request: RequestInfo,
    refusal: NotRun,
    *,
    memory: RequestMemory,
    membership: Membership,
    epoch: int,
) -> Verdict:
    """Returns the verdict for a request that is refused before it is admitted.

    A request that was sent before may have run then, so it is refused as not run only by the one
    that would remember it, or where the caller states that this is the first send.
    """
    bound = request.bound_id
    if request.repeatable or bound is None:
        return refusal
    own = membership.own
    is_own = (bound.vm, bound.incarnation) == (own.vm, own.incarnation)
    found = memory.find(bound) if is_own else None
    if found is not None:
        return found
    if request.first_send or (is_own and memory.covers(bound, epoch=epoch)):
        return refusal
    detail = f"not run now, but an earlier send may have: {refusal.detail}"
    return MayHaveRun(refusal.reason, refusal.retry_after_s, detail)


def _start(bound: RequestId, *, memory: RequestMemory, epoch: int) -> Verdict | None:
    match memory.start(bound, epoch=epoch):
        case Admission.STARTED:
            return None
        case Admission.KNOWN:
            return memory.find(bound)
        case Admission.EXPIRED:
            detail = "the id is older than what is remembered"
            return MayHaveRun(Reason.REQUEST_ID_EXPIRED, 0.0, detail)
        case Admission.FULL:
            return NotRun(Reason.MEMORY_FULL, _RETRY_SOON_S, "too many requests are remembered")


def _may_know(holder: Member | None, bound: RequestId) -> bool:
    if holder is None:
        return False
    return holder.incarnation == bound.incarnation and holder.status is not Status.DEAD


def _gone(request: RequestInfo) -> Verdict:
    if request.first_send:
        detail = "the entry VM that the id is bound to is gone; look up entry VMs again"
        return NotRun(Reason.INCARNATION_GONE, 0.0, detail)
    detail = "the entry VM that knew its outcome is gone"
    return MayHaveRun(Reason.INCARNATION_GONE, 0.0, detail)
