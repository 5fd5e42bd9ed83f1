"""Decides which requests an overloaded entry VM refuses without judging them.

Load pattern: a VM gets more requests than its processor can handle, for seconds, on new connections
and from callers that leave when they wait too long. Read in the order of arrival, each request then
waits until its caller has left, and all processor time goes into requests that nobody waits for.

The signal is the time for which a request waited in the kernel until it was read. A queue that
drains now and then is a burst or a pause of the process; requests are served then, however long
they waited. A queue that stands, so that even the newest request waits, says that the VM gets too
many. Those that waited longest are refused, which costs a fraction of serving them, and the time
that is left goes to the newest, as in CoDel (RFC 8289).
"""

import random
from collections import deque

#: Wait in seconds up to which a request counts as read at once: a quota of processor time may pause
#: the process for that long in each period.
SHORT_WAIT_S = 0.1
#: Seconds in which no request was read at once until the queue counts as standing.
STANDING_S = 0.5
#: The same soon after a queue stood: one that was just drained grows again while the load lasts.
STANDING_AGAIN_S = 0.1
#: Seconds that count as soon.
RELAPSE_S = 2.0
#: Number of entries of a standing queue, and seconds within which they were read. Fewer, or slower
#: ones, met pauses of a process that has little to do.
MIN_STANDING_COUNT = 20
MAX_READING_S = 1.0
#: Wait in seconds from which requests are refused while the queue stands. Callers of the shortest
#: known deadline leave after 0.7 s if their request is not read.
MAX_STANDING_WAIT_S = 0.25
#: Shortest and longest delay in seconds after which a refused caller is asked to retry.
RETRY_AFTER_RANGE_S = (0.1, 2.0)


class ArrivalQueue:
    """A queue of what the kernel has received and the process has not read.

    New connections and open ones are queues of their own: the one may stand while the other is read
    at once.

    >>> queue = ArrivalQueue()
    >>> refused = [queue.must_refuse(0.3, now=at / 100) for at in range(60)]
    >>> refused.index(True), queue.is_standing(0.6)
    (50, True)
    >>> queue.must_refuse(0.01, now=0.6), queue.must_refuse(0.3, now=0.7)
    (False, False)
    """

    def __init__(self) -> None:
        """Starts without a queue."""
        self._waiting_since: float | None = None
        self._reads: deque[float] = deque(maxlen=MIN_STANDING_COUNT)
        self._stood_at = float("-inf")

    def is_standing(self, now: float) -> bool:
        """Returns whether all of several entries had to wait in the last while.

        Args:
            now: Current time in monotonic seconds.
        """
        if self._waiting_since is None or len(self._reads) < MIN_STANDING_COUNT:
            return False
        if now - self._reads[0] > MAX_READING_S or now - self._reads[-1] > STANDING_S:
            return False
        is_relapse = now - self._stood_at < RELAPSE_S
        needed_s = STANDING_AGAIN_S if is_relapse else STANDING_S
        return self._reads[-1] - self._waiting_since >= needed_s

    def must_refuse(self, wait_s: float, *, now: float) -> bool:
        """Records that an entry was read, and returns whether it is refused without judging it.

        Args:
            wait_s: Seconds for which it waited.
            now: Current time in monotonic seconds.
        """
        if wait_s <= SHORT_WAIT_S:
            self._waiting_since = None
            self._reads.clear()
            return False
        if self._waiting_since is None:
            self._waiting_since = now
        self._reads.append(now)
        if not self.is_standing(now):
            return False
        self._stood_at = now
        return wait_s > MAX_STANDING_WAIT_S


def retry_after_s(wait_s: float, *, rng: random.Random) -> float:
    """Returns the delay after which a refused caller may retry: once or twice the wait.

    Args:
        wait_s: Seconds for which its request waited.
        rng: Random source, so that callers that were refused together do not return together.
    """
    low, high = RETRY_AFTER_RANGE_S
    return max(low, min(high, wait_s * rng.uniform(1.0, 2.0)))
