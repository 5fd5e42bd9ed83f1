"""A rate limit for cold targets that holds over all entry VMs without any message.

Load pattern: a failure domain returns from an outage with all its targets cold while callers wait
for it. A cold target crashes when the sum over all entry VMs exceeds its rate, so each VM spaces
its requests to one such target by the number of VMs that may send to it.
"""

#: Requests that may arrive closer together than they were sent; covers the jitter of links.
JITTER_ALLOWANCE = 1.15


class ColdStartLimit:
    """Spaces requests to cold targets.

    >>> limit = ColdStartLimit()
    >>> limit.try_send("t", senders=11, rate=11.0, now=0.0)
    True
    >>> limit.try_send("t", senders=11, rate=11.0, now=1.0)
    False
    >>> limit.try_send("t", senders=11, rate=11.0, now=1.2)
    True
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._last_sent: dict[str, float] = {}

    def may_send(self, target: str, *, senders: int, rate: float, now: float) -> bool:
        """Returns whether a cold target may get a request now.

        Args:
            target: The target.
            senders: Entry VMs that may send to it, this one included.
            rate: Requests a second that it tolerates from all of them.
            now: Monotonic seconds.
        """
        interval_s = JITTER_ALLOWANCE * max(1.0, senders / rate)
        return now - self._last_sent.get(target, float("-inf")) >= interval_s

    def try_send(self, target: str, *, senders: int, rate: float, now: float) -> bool:
        """Takes a turn at a cold target; returns whether there was one."""
        if not self.may_send(target, senders=senders, rate=rate, now=now):
            return False
        self._last_sent[target] = now
        return True
