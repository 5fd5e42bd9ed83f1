"""Which entry VMs the look-ups of one caller list, so that VMs get callers by their weight.

Load pattern: callers pick one of the listed VMs at random and drop connections to VMs that a later
list lacks. Each VM is therefore listed for a fixed set of caller addresses, which only grows or
shrinks with its weight; all VMs compute it alike by hash and without messages.

In a failure domain of one or two VMs no list can lack one, and a domain whose VMs are all congested
has none to prefer. A share of the callers then gets VMs of the region's other failure domains.
"""

from collections.abc import Mapping
from typing import NamedTuple

from carawaybank.routing.vmweights import CONGESTED_FACTOR
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
#: Share of the callers of a VM that each of its levels leads to other failure domains. With a
#: larger one, VMs there that have almost half of their capacity left are congested in turn.
LED_AWAY_SHARE = 0.1
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


class ListedVm(NamedTuple):
    """What is known of a VM that may be listed.

    Attributes:
        size: Its weight without congestion; 0 if it states none.
        level: Its level of congestion; 0 for none.
    """

    size: float
    level: int

    @property
    def weight(self) -> float:
        """Its weight; 0 if it states no size."""
        return self.size * CONGESTED_FACTOR**self.level


def needs_others(nearest: Mapping[str, ListedVm]) -> bool:
    """Returns whether VMs are congested and too few others are left for a list."""
    free_count = sum(vm.level == 0 for vm in nearest.values())
    return free_count < min(MIN_LISTED, len(nearest))


def select_nearby(
    caller: str,
    nearest: Mapping[str, ListedVm],
    others: Mapping[str, ListedVm],
    *,
    max_listed: int,
    draw: str,
) -> set[str]:
    """Returns the names of the VMs to list for a caller, which may include some farther away.

    If ``needs_others``, less congested VMs take the place of a congested one for the share of its
    callers that its level leads away.

    Args:
        caller: Address of the caller; empty if it is unknown or shared.
        nearest: The VMs that are preferred.
        others: The VMs that may take the place of congested ones.
        max_listed: Maximum number of VMs if weights differ.
        draw: Stands for the address of a caller that is not known; another one for each answer.
    """
    listed = set(nearest)
    if caller:
        weights = {vm: state.weight for vm, state in nearest.items()}
        listed = select(caller, weights, max_listed=max_listed)
    if not others or not needs_others(nearest):
        return listed
    key = caller or draw
    leaving = [vm for vm in listed if not _is_kept(key, vm, nearest[vm])]
    leaving.sort(key=lambda vm: (-nearest[vm].level, vm))
    sizes = _fill_in_mean({vm: state.size for vm, state in others.items()})
    ranks = {vm: hashing.score(key=key, member=vm) / size for vm, size in sizes.items()}
    available = [vm for vm in others if _is_kept(key, vm, others[vm])]
    available.sort(key=lambda vm: (others[vm].level, ranks[vm], vm))
    for vm, other in zip(leaving, available, strict=False):
        if others[other].level < nearest[vm].level:
            listed = (listed - {vm}) | {other}
    return listed


def _is_kept(caller: str, vm: str, state: ListedVm) -> bool:
    """Returns whether a VM stays on the lists of a caller at its level of congestion."""
    return hashing.score(key=caller, member=vm) / _HASHES < 1.0 - LED_AWAY_SHARE * state.level


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
        key = (address, host)
        if key in self._counts or len(self._counts) < MAX_COUNTED:
            self._counts[key] = self._counts.get(key, 0) + 1
            if self._counts[key] > SHARED_FACTOR * WINDOW_S / ttl_s:
                self._shared_until[address] = now + SHARED_HOLD_S
        return self._shared_until.get(address, now) > now
