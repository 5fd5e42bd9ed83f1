"""Answers to look-ups: which entry VMs a caller should use, and with which request ids.

Answers are encoded once for each failure domain and variant, and kept until membership, ticket or
id epoch change, so that a look-up costs one dictionary access. The variants order the entry VMs of
a place differently, which spreads callers.
"""

from typing import NamedTuple, TypedDict

from carawaybank import documents
from carawaybank.steering import hashing
from carawaybank.steering.membership import Member, Membership
from carawaybank.steering.tickets import State

_VARIANTS = 16
_NEAR_ENTRIES = 4
_REGION_ENTRIES = 2
_FAR_ENTRIES = 2  # of different regions


class Entry(TypedDict):
    """An entry VM as callers see it.

    Attributes:
        vm: Its name.
        address: ``IP:PORT`` to send requests to.
        failure_domain: Where it stands.
        id_prefix: Request ids must begin with this and a dot to be run at most once.
    """

    vm: str
    address: str
    failure_domain: str
    id_prefix: str


class Entries(TypedDict):
    """The answer to a look-up.

    Attributes:
        ticket: The change ticket in force.
        ttl_s: Seconds for which the answer may be cached.
        entries: Entry VMs, best first.
    """

    ticket: int
    ttl_s: float
    entries: list[Entry]


class _Places(NamedTuple):
    domains: dict[str, list[Member]]
    regions: dict[str, list[str]]


class EntriesView:
    """Encoded look-up answers."""

    def __init__(self, *, membership: Membership, ttl_s: float, epoch_s: float) -> None:
        """Starts without answers.

        Args:
            membership: The entry VMs.
            ttl_s: Seconds for which callers may cache an answer.
            epoch_s: Length of an id epoch in seconds.
        """
        self._membership = membership
        self._ttl_s = ttl_s
        self._epoch_s = epoch_s
        self._version = (-1, -1, -1)
        self._answers: dict[tuple[str, int], bytes] = {}
        self._next = 0
        self._places = _Places({}, {})
        self._places_version = -1

    def find(self, state: State, failure_domain: str, *, wall_time: float) -> bytes:
        """Returns the encoded answer for a caller near a failure domain.

        Args:
            state: The state in force.
            failure_domain: Where the caller is.
            wall_time: Seconds since 1970, which only dates request ids.
        """
        epoch = int(wall_time / self._epoch_s)
        version = (state.number, self._membership.version, epoch)
        if version != self._version:
            self._answers = {}
            self._version = version
        self._next = (self._next + 1) % _VARIANTS
        key = (failure_domain, self._next)
        answer = self._answers.get(key)
        if answer is None:
            built = self.build(state, failure_domain, self._next, wall_time)
            answer = documents.encode_json(built)
            self._answers[key] = answer
        return answer

    def build(self, state: State, failure_domain: str, variant: int, wall_time: float) -> Entries:
        """Returns one variant of the answer, not yet encoded."""
        places = self._find_places()
        region = state.region_of(failure_domain)
        near = places.domains.get(failure_domain, [])
        same_region = [
            member
            for domain in places.regions.get(region, [])
            if domain != failure_domain
            for member in places.domains[domain]
        ]
        key = f"{failure_domain}/{variant}"
        chosen = _first(near, key, _NEAR_ENTRIES)
        chosen += _first(same_region, key, _REGION_ENTRIES)
        for other in hashing.rank(key=key, members=places.regions.keys() - {region}):
            if len(chosen) >= _NEAR_ENTRIES + _REGION_ENTRIES + _FAR_ENTRIES:
                break
            domain = hashing.rank(key=key, members=places.regions[other])[0]
            chosen += _first(places.domains[domain], key, 1)
        entries = [self._entry(member, wall_time) for member in chosen]
        return Entries(ticket=state.number, ttl_s=self._ttl_s, entries=entries)

    def _find_places(self) -> "_Places":
        if self._places_version != self._membership.version:
            domains: dict[str, list[Member]] = {}
            regions: dict[str, set[str]] = {}
            for member in self._membership.serving():
                domains.setdefault(member.failure_domain, []).append(member)
                regions.setdefault(member.region, set()).add(member.failure_domain)
            ordered = {region: sorted(names) for region, names in regions.items()}
            self._places = _Places(domains, ordered)
            self._places_version = self._membership.version
        return self._places

    def _entry(self, member: Member, wall_time: float) -> Entry:
        age_s = max(0.0, wall_time - member.incarnation / 1000)
        return Entry(
            vm=member.vm,
            address=member.callers_address,
            failure_domain=member.failure_domain,
            id_prefix=f"{member.vm}.{member.incarnation}.{int(age_s / self._epoch_s)}",
        )


def _first(members: list[Member], key: str, count: int) -> list[Member]:
    by_name = {member.vm: member for member in members}
    return [by_name[vm] for vm in hashing.rank(key=key, members=by_name)[:count]]
