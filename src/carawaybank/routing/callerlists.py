"""Which entry VMs the look-ups of one caller list, so that VMs get callers by their weight.

Load pattern: callers pick one of the listed VMs at random and drop connections to VMs that a later
list lacks. Each VM is therefore listed for a fixed set of caller addresses, which only grows or
shrinks with its weight; all VMs compute it alike by hash and without messages.
"""

from collections.abc import Mapping

from carawaybank.steering import hashing

#: Minimum number of VMs in a list, so that a caller has another one when a VM fails.
MIN_LISTED = 2
#: Seconds in which the look-ups of an address are counted.
WINDOW_S = 10.0
#: An address with this many times the look-ups of one caller is shared by many callers. One caller
#: that repeats a failed look-up, or whose time to live is halved, stays below.
SHARED_FACTOR = 3.0
#: Seconds for which an address counts as shared after the last window that showed it.
SHARED_HOLD_S = 60.0
#: Maximum number of addresses and hosts that are counted in a window.
MAX_COUNTED = 8_192
_HASHES = 2.0**64


def select(caller: str, weights: Mapping[str, float], *, max_listed: int) -> set[str]:
    """Returns the names of the VMs to list for a caller.

    The heaviest VMs are on all lists, and another VM is on as many as its weight is of theirs.
    VMs of equal weight are all returned, without regard to ``max_listed``.

    Args:
        caller: Address of the caller.
        weights: Weights of the VMs that may be listed. A VM whose weight is 0 states none and
            counts as the mean of those that do.
        max_listed: Maximum number of VMs if weights differ.

    >>> sorted(select("10.0.0.1", {"a": 8.0, "b": 8.0, "c": 8.0}, max_listed=64))
    ['a', 'b', 'c']
    """
    weights = _fill_in_mean(weights)
    heaviest = max(weights.values(), default=0.0)
    if all(weight == heaviest for weight in weights.values()):
        return set(weights)
    ranks = {
        vm: hashing.score(key=caller, member=vm) / _HASHES * heaviest / weight
        for vm, weight in weights.items()
    }
    ranked = sorted(ranks, key=lambda vm: (ranks[vm], vm))
    listed = [vm for vm in ranked if ranks[vm] < 1.0][:max_listed]
    return {*listed, *ranked[:MIN_LISTED]}


def _fill_in_mean(weights: Mapping[str, float]) -> dict[str, float]:
    stated = [weight for weight in weights.values() if weight > 0.0]
    mean = sum(stated) / len(stated) if stated else 1.0
    return {vm: weight if weight > 0.0 else mean for vm, weight in weights.items()}


class SharedAddresses:
    """Recognizes addresses from which many callers look up, such as that of a proxy.

    A short list by the hash of such an address would send all these callers to the same few VMs.

    >>> shared = SharedAddresses()
    >>> any(shared.record("10.0.0.1", "a.example", ttl_s=2.0, now=at) for at in range(0, 60, 2))
    False
    """

    def __init__(self) -> None:
        """Starts without look-ups."""
        self._counts: dict[tuple[str, str], int] = {}
        self._window_started_at = float("-inf")
        self._shared_until: dict[str, float] = {}

    def record(self, address: str, host: str, *, ttl_s: float, now: float) -> bool:
        """Counts a look-up and returns whether its address is shared.

        Args:
            address: Address of the caller.
            host: Host that it looks up; one caller may look up several.
            ttl_s: Seconds after which a caller repeats its look-up.
            now: Monotonic seconds.
        """
        if now - self._window_started_at >= WINDOW_S:
            self._window_started_at = now
            self._counts.clear()
            self._shared_until = {a: at for a, at in self._shared_until.items() if at > now}
        key = (address, hashing.shorten(host))
        if key in self._counts or len(self._counts) < MAX_COUNTED:
            self._counts[key] = self._counts.get(key, 0) + 1
            if self._counts[key] > SHARED_FACTOR * WINDOW_S / ttl_s:
                self._shared_until[address] = now + SHARED_HOLD_S
        return self._shared_until.get(address, now) > now
