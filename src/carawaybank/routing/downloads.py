"""Refuses downloads while the responses that wait for slow callers use up their memory.

Load pattern: callers of download routes read more slowly than targets respond, so that responses
gather in the memory of the VM; a process over its memory limit is killed with all its requests.
"""

import random

from carawaybank.routing import admission
from carawaybank.routing.configuration import Route
from carawaybank.verdicts import NotRun, Reason


def check(route: Route, *, has_room: bool, is_relayed: bool, rng: random.Random) -> NotRun | None:
    """Returns a refusal of a request that has not been sent to a target, or None.

    Args:
        route: Route of the request.
        has_room: Whether the memory for waiting responses is not used up.
        is_relayed: Whether another VM passed the request on.
        rng: Random source of the retry delay.
    """
    if has_room or not route.is_download:
        return None
    # A VM of an older build cannot decode a reason that it does not know, and would then assume
    # that the request may have run.
    reason = Reason.NO_CAPACITY if is_relayed else Reason.RESPONSE_MEMORY_FULL
    retry_after_s = admission.refuse(route.objective_s, rng=rng).retry_after_s
    return NotRun(reason, retry_after_s, "slow callers use up the memory for large responses")
