"""Responses to look-ups: the entry VMs that a caller should use, with request id prefixes.

Responses are encoded once for each failure domain and variant and cached until the membership, the
ticket or the id epoch changes, so that a look-up usually costs one dictionary access. The variants
rank the entry VMs differently, which spreads the callers over them.
"""

from typing import NamedTuple, TypedDict

from carawaybank import documents
from carawaybank.steering import hashing
from carawaybank.steering.membership import Member, Membership
from carawaybank.steering.tickets import State

_VARIANTS = 16
_LOCAL_ENTRIES = 4
_SAME_REGION_ENTRIES = 2
_OTHER_REGION_ENTRIES = 2  # one from each of two other regions


class Entry(TypedDict):
    """One entry VM in the response to a look-up.

    Attributes:
        vm: Name of the entry VM.
        address: ``IP:PORT`` to send requests to.
        failure_domain: Failure domain of the entry VM.
        id_prefix: A request runs at most once if its id begins with this prefix and a dot.
    """

    vm: str
    address: str
    failure_domain: str
    id_prefix: str


class Entries(TypedDict):
    """The response to a look-up.

    Attributes:
        ticket: Number of the change ticket in force.
        ttl_s: Seconds for which the caller may cache the response.
        entries: Entry VMs, best first.
    """

    ticket: int
    ttl_s: float
    entries: list[Entry]


class _Localities(NamedTuple):
    """Serving entry VMs by failure domain, and sorted failure domains by region."""

    domains: dict[str, list[Member]]
    regions: dict[str, list[str]]


class EntriesView:
    """Builds the responses to look-ups and caches them in encoded form."""

    def __init__(self, *, membership: Membership, ttl_s: float, epoch_s: float) -> None:
        """Starts with an empty cache.

        Args:
            membership: The known entry VMs.
            ttl_s: Seconds for which callers may cache a response.
            epoch_s: Length of an id epoch in seconds.
        """
        self._membership = membership
        self._ttl_s = ttl_s
        self._epoch_s = epoch_s
        self._version = (-1, -1, -1)
        self._encoded: dict[tuple[str, int], bytes] = {}
        self._last_variant = 0
        self._localities = _Localities({}, {})
        self._localities_version = -1

    def find_encoded(self, state: State, failure_domain: str, *, wall_time: float) -> bytes:
        """Returns an encoded response for a caller in a failure domain; variants take turns.

        Args:
            state: The state in force.
            failure_domain: Failure domain of the caller.
            wall_time: Seconds since 1970, used only for the epoch in the id prefixes.
        """
        epoch = int(wall_time / self._epoch_s)
        version = (state.number, self._membership.version, epoch)
        if version != self._version:
            self._encoded = {}
            self._version = version
        self._last_variant = (self._last_variant + 1) % _VARIANTS
        key = (failure_domain, self._last_variant)
        encoded = self._encoded.get(key)
        if encoded is None:
            entries = self.build(state, failure_domain, self._last_variant, wall_time)
            encoded = documents.encode_json(entries)
            self._encoded[key] = encoded
        return encoded

    def build(self, state: State, failure_domain: str, variant: int, wall_time: float) -> Entries:
        """Builds one variant of the response; arguments as for :meth:`find_encoded`."""
        localities = self._find_localities()
        region = state.region_of(failure_domain)
        local = localities.domains.get(failure_domain, [])
        same_region = [
            member
            for domain in localities.regions.get(region, [])
            if domain != failure_domain
            for member in localities.domains[domain]
        ]
        key = f"{failure_domain}/{variant}"
        selected = _select(local, key, _LOCAL_ENTRIES)
        selected += _select(same_region, key, _SAME_REGION_ENTRIES)
        for other in hashing.rank(key=key, members=localities.regions.keys() - {region}):
            if len(selected) >= _LOCAL_ENTRIES + _SAME_REGION_ENTRIES + _OTHER_REGION_ENTRIES:
                break
            domain = hashing.rank(key=key, members=localities.regions[other])[0]
            selected += _select(localities.domains[domain], key, 1)
        entries = [self._entry(member, wall_time) for member in selected]
        return Entries(ticket=state.number, ttl_s=self._ttl_s, entries=entries)

    def _find_localities(self) -> "_Localities":
        if self._localities_version != self._membership.version:
            domains: dict[str, list[Member]] = {}
            regions: dict[str, set[str]] = {}
            for member in self._membership.serving():
                domains.setdefault(member.failure_domain, []).append(member)
                regions.setdefault(member.region, set()).add(member.failure_domain)
            ordered = {region: sorted(names) for region, names in regions.items()}
            self._localities = _Localities(domains, ordered)
            self._localities_version = self._membership.version
        return self._localities

    def _entry(self, member: Member, wall_time: float) -> Entry:
        age_s = max(0.0, wall_time - member.incarnation / 1000)
        return Entry(
            vm=member.vm,
            address=member.callers_address,
            failure_domain=member.failure_domain,
            id_prefix=f"{member.vm}.{member.incarnation}.{int(age_s / self._epoch_s)}",
        )


def _select(members: list[Member], key: str, count: int) -> list[Member]:
    by_name = {member.vm: member for member in members}
    return [by_name[vm] for vm in hashing.rank(key=key, members=by_name)[:count]]
