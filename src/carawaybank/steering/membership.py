"""Membership: which entry VMs exist, and which are believed to serve.

Each entry VM's record is ordered by incarnation, version and status, so records merge alike
everywhere, in any order. A member suspected by others clears itself with a higher version; one
that is held for dead cannot. Digests
by bucket find differences between two views without sending either whole.

Usage::

    >>> members = Membership(own=Member("vm-1", 1, 0, Status.ALIVE, "fd", "r", "fd", "a", "b"))
    >>> members.merge(Member("vm-2", 1, 0, Status.ALIVE, "fd", "r", "fd", "a", "b"))
    True
    >>> [m.vm for m in members.serving()]
    ['vm-1', 'vm-2']
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from carawaybank.steering import hashing

BUCKETS = 16


class Status(IntEnum):
    """What is believed of a member; of equal versions, the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """One start of the daemon on one entry VM.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Process start; larger for each start.
        version: Raised by the member itself to clear a suspicion.
        status: What is believed of it.
        failure_domain: Where it stands.
        region: Region of its failure domain.
        cell: Group whose members own targets together.
        callers_address: ``IP:PORT`` for callers.
        control_address: ``IP:PORT`` for siblings and operators.
    """

    vm: str
    incarnation: int
    version: int
    status: Status
    failure_domain: str
    region: str
    cell: str
    callers_address: str
    control_address: str

    @property
    def rank(self) -> tuple[int, bool, int, int]:
        """Order of records of the same entry VM; the end of an incarnation is final."""
        ended = self.status is Status.DEAD
        return (self.incarnation, ended, self.version, int(self.status))

    @property
    def is_serving(self) -> bool:
        """Whether callers may be sent to it."""
        return self.status is Status.ALIVE


class _Views(NamedTuple):
    all: tuple[Member, ...]
    others: tuple[Member, ...]
    cell_mates: tuple[Member, ...]
    serving: tuple[Member, ...]


class Membership:
    """Records of all entry VMs, with digests kept in step."""

    def __init__(self, *, own: Member) -> None:
        """Knows only this entry VM.

        Args:
            own: Record of this entry VM.
        """
        self._own_vm = own.vm
        self._members = {own.vm: own}
        self._buckets: list[int] = [0] * BUCKETS
        self._toggle(own)
        self.version = 0
        self._view = _Views((), (), (), ())
        self._view_version = -1
        self.declared_dead = False

    @property
    def own(self) -> Member:
        """Record of this entry VM."""
        return self._members[self._own_vm]

    def find(self, vm: str) -> Member | None:
        """Returns the record of an entry VM."""
        return self._members.get(vm)

    def all(self) -> tuple[Member, ...]:
        """Returns all records by name."""
        return self._views().all

    def others(self) -> tuple[Member, ...]:
        """Returns the records of entry VMs that may still run, without this one."""
        return self._views().others

    def cell_mates(self) -> tuple[Member, ...]:
        """Returns the others of the own cell."""
        return self._views().cell_mates

    def serving(self) -> tuple[Member, ...]:
        """Returns members that callers may use, or all that may run when none seems alive."""
        return self._views().serving

    def merge(self, member: Member) -> bool:
        """Takes a record if it is newer than the one held; returns whether it was.

        A record of this entry VM that says less than alive is answered with a higher version.
        """
        held = self._members.get(member.vm)
        if held is not None and held.rank >= member.rank:
            return False
        if member.vm == self._own_vm:
            return self._refute(member)
        self._replace(member)
        return True

    def set_status(self, vm: str, status: Status) -> Member | None:
        """Changes the status of a member; returns the new record if it changed."""
        held = self._members.get(vm)
        if held is None or held.status >= status:
            return None
        changed = held._replace(status=status)
        self._replace(changed)
        return changed

    def forget(self, vm: str) -> None:
        """Drops the record of an entry VM that ended long ago."""
        held = self._members.pop(vm, None)
        if held is not None:
            self._toggle(held)
            self.version += 1

    def digest(self) -> str:
        """Returns a digest of all records."""
        return hashing.fingerprint(*(bucket.to_bytes(8, "big") for bucket in self._buckets))[:16]

    def bucket_digests(self) -> list[str]:
        """Returns the digest of each bucket."""
        return [f"{bucket:016x}" for bucket in self._buckets]

    def differing(self, digests: Iterable[str]) -> list[Member]:
        """Returns the records in buckets whose digest is not the given one."""
        own = self.bucket_digests()
        wanted = {i for i, digest in enumerate(digests) if i < BUCKETS and own[i] != digest}
        return [member for member in self.all() if _bucket(member.vm) in wanted]

    def _views(self) -> "_Views":
        if self._view_version != self.version:
            self._view = self._make_views()
            self._view_version = self.version
        return self._view

    def _make_views(self) -> "_Views":
        ordered = tuple(self._members[vm] for vm in sorted(self._members))
        others = tuple(m for m in ordered if m.vm != self._own_vm and m.status is not Status.DEAD)
        mates = tuple(member for member in others if member.cell == self.own.cell)
        alive = tuple(member for member in ordered if member.is_serving)
        suspects = tuple(member for member in ordered if member.status is Status.SUSPECT)
        return _Views(ordered, others, mates, alive or suspects)

    def _refute(self, rumour: Member) -> bool:
        own = self.own
        if rumour.incarnation != own.incarnation or own.status is not Status.ALIVE:
            return False
        if rumour.status is Status.DEAD:
            self.declared_dead = True
            return False
        self._replace(own._replace(version=rumour.version + 1))
        return True

    def _replace(self, member: Member) -> None:
        held = self._members.get(member.vm)
        if held is not None:
            self._toggle(held)
        self._members[member.vm] = member
        self._toggle(member)
        self.version += 1

    def _toggle(self, member: Member) -> None:
        """Adds a record to the digests or takes it out; ended members do not count."""
        if member.status is Status.DEAD:
            return
        text = f"{member.vm}/{member.incarnation}/{member.version}/{int(member.status)}"
        self._buckets[_bucket(member.vm)] ^= hashing.score(key="member", member=text)


def _bucket(vm: str) -> int:
    return hashing.score(key="bucket", member=vm) % BUCKETS
