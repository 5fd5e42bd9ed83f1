"""A rate limit for cold targets that all entry VMs keep together without exchanging messages.

Load pattern: a failure domain returns from an outage with all its targets cold while callers wait
for it. A cold target crashes when the requests of all entry VMs together exceed its rate. Each VM
sends it at most one request per second. If more VMs are known than the rate allows, only the first
ones by rendezvous hash of the target send to it. A VM that has not yet learned that the target is
cold is not bound by the limit.
"""

from collections.abc import Sequence

from carawaybank.steering import hashing

#: Factor on the interval between requests: jitter of the links can bring requests closer together.
JITTER_FACTOR = 1.15
#: Number of targets with a recorded send time above which those older than the retention are
#: dropped. The retention is longer than any interval between requests.
MAX_TRACKED_TARGETS = 4_096
SEND_RETENTION_S = 60.0


class ColdStartLimit:
    """Limits the rate of requests from one entry VM to cold targets.

    >>> limit = ColdStartLimit(vm="a", started_at=-9.0)
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=0.0)
    True
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=1.0)
    False
    >>> limit.try_send("t", vms=("a", "b"), rate=11.0, now=1.2)
    True
    """

    def __init__(self, *, vm: str, started_at: float) -> None:
        """Creates a limit without recorded requests.

        Args:
            vm: Name of this entry VM.
            started_at: Time in monotonic seconds at which the process started. The one before may
                have sent a request to any target just then.
        """
        self._vm = vm
        self._started_at = started_at
        self._last_sent_at: dict[str, float] = {}

    def may_send(self, target: str, *, vms: Sequence[str], rate: float, now: float) -> bool:
        """Returns whether a cold target may get a request now.

        Args:
            target: Id of the target.
            vms: Entry VMs that may send to the target, including this one; empty if not known yet.
            rate: Requests per second that the target tolerates from all entry VMs together.
            now: Current time in monotonic seconds.
        """
        if not vms:
            return False
        interval_s = JITTER_FACTOR * max(1.0, 1.0 / rate)
        if now - self._last_sent_at.get(target, self._started_at) < interval_s:
            return False
        max_senders = max(1, int(rate))
        return (
            len(vms) <= max_senders
            or self._vm in hashing.rank(key=target, members=vms)[:max_senders]
        )

    def try_send(self, target: str, *, vms: Sequence[str], rate: float, now: float) -> bool:
        """Records a request to a cold target if it may be sent now; returns whether it may."""
        if not self.may_send(target, vms=vms, rate=rate, now=now):
            return False
        if len(self._last_sent_at) >= MAX_TRACKED_TARGETS:
            self._last_sent_at = {
                name: sent_at
                for name, sent_at in self._last_sent_at.items()
                if now - sent_at < SEND_RETENTION_S
            }
        self._last_sent_at[target] = now
        return True
