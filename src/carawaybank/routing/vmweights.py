"""The weight of an entry VM: what it can carry, less while its event loop is delayed.

Load pattern: VMs of a failure domain differ several times in processor, link and memory, and
callers spread alike over all of them, so that the small ones are congested first.
"""

from typing import NamedTuple

#: Seconds of a core per forwarded request (docs/CAPACITY.md, line on forwarding).
REQUEST_CPU_S = 0.0013
#: Bytes that a request and its response take in each direction of the link: a few KB.
REQUEST_BYTES = 4_000
#: Megabytes of a process with little load: 18 to 24 in docs/CAPACITY.md, and some reserve.
BASE_MEMORY_MB = 30.0
#: Bytes of memory per request in progress, with its buffers and its share of connections. A request
#: is in progress for about one second on the deployments of docs/design/tenants-and-hard-load.md.
REQUEST_MEMORY_BYTES = 100_000
#: Lowest weight, for a VM that has hardly more memory than a process without requests.
MIN_WEIGHT = 1.0
#: Factor by which each level of congestion reduces the weight.
CONGESTED_FACTOR = 0.5
#: Average delay of the event loop in seconds from which each level holds. Work of other VMs is
#: refused from an average of 0.05 s, so callers are led elsewhere before that.
LEVEL_DELAYS_S = (0.02, 0.04)
#: Weight of the newest of ten samples a second in the average, which thus covers about two seconds:
#: callers repeat look-ups every two seconds, so a faster reaction would not reach them.
SAMPLE_WEIGHT = 0.05
#: Longer delays count as this many seconds, so that one stall alone changes no level.
MAX_SAMPLE_S = 0.2
#: A level ends when the average is below this fraction of the delay from which it holds.
RELEASE_FRACTION = 0.5
#: Minimum seconds for which a level holds. Callers that were led elsewhere close connections, so
#: the level must not follow each of the changes that it causes itself.
MIN_HOLD_S = 15.0


class VmCapacity(NamedTuple):
    """What a VM has, from its settings; 0 where it is not stated.

    Attributes:
        cpu_share: Share of a core that it may use.
        cores: Speed of that core, as a multiple of the usual one.
        link_mbps: Megabits per second of its link.
        memory_mb: Megabytes above which its process is killed.
    """

    cpu_share: float = 0.0
    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


def capacity_weight(capacity: VmCapacity) -> float:
    """Returns the requests per second that a VM can carry, or 0 if its size is not stated.

    The scarcest resource decides. The memory alone does not state a size, because it is a limit of
    the process that deployments set for other reasons.

    >>> capacity_weight(VmCapacity(0.301, 1.0, 10.0, 152.0))
    232.0
    >>> capacity_weight(VmCapacity(memory_mb=152.0))
    0.0
    """
    if not (capacity.cpu_share or capacity.cores or capacity.link_mbps):
        return 0.0
    rates = []
    if capacity.cpu_share or capacity.cores:
        rates.append((capacity.cpu_share or 1.0) * (capacity.cores or 1.0) / REQUEST_CPU_S)
    if capacity.link_mbps:
        rates.append(capacity.link_mbps * 125_000 / REQUEST_BYTES)
    if capacity.memory_mb:
        rates.append((capacity.memory_mb - BASE_MEMORY_MB) * 1e6 / REQUEST_MEMORY_BYTES)
    return max(MIN_WEIGHT, float(round(min(rates))))


class CongestionLevels:
    """How congested a VM is, from samples of the delay of its event loop.

    >>> levels = CongestionLevels()
    >>> [levels.record(0.1, now=at / 10) for at in range(12)]
    [0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2]
    """

    def __init__(self) -> None:
        """Starts without samples and without congestion."""
        self.level = 0
        self.delay_s = 0.0
        self._changed_at = float("-inf")

    def record(self, delay_s: float, *, now: float) -> int:
        """Adds a sample and returns the level: 0 for none.

        Args:
            delay_s: Seconds by which a timer was late; ten samples a second are expected.
            now: Monotonic seconds.
        """
        self.delay_s += SAMPLE_WEIGHT * (min(delay_s, MAX_SAMPLE_S) - self.delay_s)
        reached = sum(self.delay_s >= threshold for threshold in LEVEL_DELAYS_S)
        if reached > self.level:
            self.level, self._changed_at = reached, now
        elif self._is_released(now):
            self.level, self._changed_at = self.level - 1, now
        return self.level

    def _is_released(self, now: float) -> bool:
        if not self.level or now - self._changed_at < MIN_HOLD_S:
            return False
        return self.delay_s < LEVEL_DELAYS_S[self.level - 1] * RELEASE_FRACTION
