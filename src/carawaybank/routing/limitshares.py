"""The share of a target's limit that one entry VM may use.

Load pattern: an overloaded target names the requests per second that it takes from all entry VMs
together, while each of hundreds of VMs has more requests for it than that. The VMs nearest to the
target are its senders and divide the limit equally. All VMs rank each other alike without
exchanging messages, so that the sum over the senders stays below the limit whatever messages are
lost. A VM that is not a sender takes over only if no VM reports a response of the target, one VM
after the other.
"""

from collections.abc import Mapping
from typing import NamedTuple

from carawaybank.routing.target import TargetEntry
from carawaybank.steering import hashing

#: Requests that all senders together may send in a burst: the limit times these seconds, and some
#: more. Together with the limit itself, a window of 4 s gets at most 5 x limit + 3 requests, of the
#: 6 x limit + 5 that targets tolerate.
BURST_S = 1.0
BURST_REQUESTS = 3
#: Lowest rate per second of all senders together. Only a response can end a limit, so that some
#: requests are sent even to a target that names a limit of 0.
MIN_RATE = 0.1
#: Seconds without a report of any response after which other VMs take over from the senders.
NEWS_TIMEOUT_S = 15.0
#: Seconds between takeovers of two VMs, in multiples of the interval between two requests. It keeps
#: the takeovers in a window of 4 s below the limit times 1 s.
TAKEOVER_FACTOR = 4.0
#: Tolerance for rounding when a refilled bucket is compared with one request.
_ROUNDING = 1e-9


class VmLocality(NamedTuple):
    """Locality of an entry VM.

    Attributes:
        failure_domain: Its failure domain.
        region: Its region.
    """

    failure_domain: str
    region: str


def rank_of(vm: str, entry: TargetEntry, *, vms: Mapping[str, VmLocality]) -> int:
    """Returns the number of VMs that become senders of a target before a VM does.

    The VMs of the target's failure domain come first, then those of its region. Their callers need
    the target most, and they reach it if its failure domain is cut off. Equally near VMs rank by
    rendezvous hash.

    Args:
        vm: Name of the VM.
        entry: The target.
        vms: Localities of all entry VMs by name.
    """
    own_distance = _distance(vms[vm], entry)
    distances = {name: _distance(locality, entry) for name, locality in vms.items()}
    nearer = sum(distance < own_distance for distance in distances.values())
    equally_near = [name for name, distance in distances.items() if distance == own_distance]
    return nearer + hashing.rank(key=entry.target_id, members=equally_near).index(vm)


def _distance(locality: VmLocality, entry: TargetEntry) -> int:
    if locality.region != entry.region:
        return 2
    return 0 if locality.failure_domain == entry.failure_domain else 1


class LimitShare:
    """The requests that one entry VM may send to one target, as a token bucket.

    >>> share = LimitShare(now=0.0)
    >>> share.update(rate=2.0, rank=0, vm_count=4, now=0.0)
    >>> round(share.wait_s(news_at=0.0, now=0.0), 3)
    1.5
    """

    def __init__(self, *, now: float) -> None:
        """Creates the share of a VM that is not a sender yet.

        Args:
            now: Current time in monotonic seconds.
        """
        self._rate = 0.0
        self._rank = 0
        self._sender_count = 0
        self._tokens = 0.0
        self._refilled_at = now
        self._last_sent_at = float("-inf")
        self._is_new = True

    @property
    def is_sender(self) -> bool:
        """Whether this VM is one of the target's senders."""
        return self._rank < self._sender_count

    @property
    def interval_s(self) -> float:
        """Seconds in which each sender may send one request."""
        return self._sender_count / self._rate

    def restart(self) -> None:
        """Starts a new period with a limit: the VMs' first requests are spread over it."""
        self._is_new = True

    def update(self, *, rate: float, rank: int, vm_count: int, now: float) -> None:
        """Applies the current limit and the rank of this VM among the known VMs.

        Args:
            rate: Requests per second that the target takes from all VMs together.
            rank: Rank of this VM by :func:`rank_of`.
            vm_count: Number of known VMs.
            now: Current time in monotonic seconds.
        """
        self._refill(now)
        was_sender, was_new = self.is_sender, self._is_new
        self._rate = max(MIN_RATE, rate)
        self._rank = rank
        self._sender_count = min(vm_count, int(self._rate * BURST_S + BURST_REQUESTS))
        self._tokens = min(self._tokens, self._capacity) if was_sender else 0.0
        if was_new and self.is_sender:
            stagger = (rank + 1) / self._sender_count
            self._tokens = min(self._tokens, stagger) if was_sender else stagger
        self._is_new = False

    def wait_s(self, *, news_at: float, now: float) -> float:
        """Returns the seconds until this VM may send a request; 0 if it may now.

        Args:
            news_at: Time of the newest known response of the target, in monotonic seconds.
            now: Current time in monotonic seconds.
        """
        if self.is_sender:
            self._refill(now)
            missing = 1.0 - self._tokens
            return missing * self.interval_s if missing > _ROUNDING else 0.0
        turn = self._rank - self._sender_count + 1
        takeover_s = NEWS_TIMEOUT_S + TAKEOVER_FACTOR * turn / self._rate
        return max(0.0, takeover_s - (now - max(news_at, self._last_sent_at)))

    def record_send(self, *, now: float) -> None:
        """Records a request that was sent."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1.0)
        self._last_sent_at = now

    @property
    def _capacity(self) -> float:
        """Tokens of a full bucket."""
        return (self._rate * BURST_S + BURST_REQUESTS) / max(1, self._sender_count)

    def _refill(self, now: float) -> None:
        if self.is_sender:
            refilled = self._tokens + (now - self._refilled_at) / self.interval_s
            self._tokens = min(self._capacity, refilled)
        self._refilled_at = now
