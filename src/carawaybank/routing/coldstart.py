"""A rate limit for cold targets that holds over all entry VMs without any message.

Load pattern: a failure domain returns from an outage with all its targets cold while callers wait
for it. A cold target crashes when the sum over all entry VMs exceeds its rate. No VM sends it more
than one request a second; where more VMs are known than the rate allows, those that come first by
a hash of the target send, and the others do not.
"""

from collections.abc import Sequence

from carawaybank.steering import hashing

#: Requests may arrive closer together than they were sent, by the jitter of links.
JITTER_ALLOWANCE = 1.15
#: Targets for which the last request is kept before old ones are dropped, and the age in seconds
#: beyond which they are; longer than any spacing of requests.
MOST_TARGETS = 4_096
FORGET_AFTER_S = 60.0


class ColdStartLimit:
    """Spaces requests of one entry VM to cold targets.

    >>> limit = ColdStartLimit(vm="a")
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=0.0)
    True
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=1.0)
    False
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=1.2)
    True
    """

    def __init__(self, *, vm: str) -> None:
        """Starts without requests.

        Args:
            vm: Name of this entry VM.
        """
        self._vm = vm
        self._last_sent: dict[str, float] = {}

    def may_send(self, target: str, *, vms: Sequence[str], rate: float, now: float) -> bool:
        """Returns whether a cold target may get a request now.

        Args:
            target: The target.
            vms: Entry VMs that may send to it, this one included.
            rate: Requests a second that it tolerates from all of them.
            now: Monotonic seconds.
        """
        interval_s = JITTER_ALLOWANCE * max(1.0, 1.0 / rate)
        if now - self._last_sent.get(target, float("-inf")) < interval_s:
            return False
        senders = max(1, int(rate))
        return len(vms) <= senders or self._vm in hashing.rank(key=target, members=vms)[:senders]

    def try_send(self, target: str, *, vms: Sequence[str], rate: float, now: float) -> bool:
        """Takes a turn at a cold target; returns whether there was one."""
        if not self.may_send(target, vms=vms, rate=rate, now=now):
            return False
        if len(self._last_sent) >= MOST_TARGETS:
            self._last_sent = {
                name: sent for name, sent in self._last_sent.items() if now - sent < FORGET_AFTER_S
            }
        self._last_sent[target] = now
        return True
