"""Membership: which entry VMs exist, and which are believed to be serving.

Records of the same entry VM are ordered by incarnation, version and status, so merging them gives
the same result on every entry VM, in any order of arrival. A member that others suspect refutes
the suspicion with a higher version; one that others have recorded as dead cannot. Records are
divided into buckets, whose digests show where two views differ without sending either in full.

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

DIGEST_BUCKETS = 16


class Status(IntEnum):
    """Believed state of a member; of records of equal version, the larger status wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """One start of the daemon on one entry VM.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Process start; larger for each start.
        version: Raised by the member itself to refute a suspicion.
        status: Its believed state.
        failure_domain: Failure domain of the entry VM.
        region: Region of its failure domain.
        cell: Group of entry VMs that divide the ownership of targets among themselves.
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
    def merge_rank(self) -> tuple[int, bool, int, int]:
        """Sort key of records of the same entry VM; the end of an incarnation is final."""
        ended = self.status is Status.DEAD
        return (self.incarnation, ended, self.version, int(self.status))

    @property
    def is_serving(self) -> bool:
        """Whether callers may be directed to it."""
        return self.status is Status.ALIVE


class _Views(NamedTuple):
    all: tuple[Member, ...]
    other_members: tuple[Member, ...]
    cell_peers: tuple[Member, ...]
    serving: tuple[Member, ...]


class Membership:
    """Records of all entry VMs, and digests that follow every change of them.

    Attributes:
        version: Increases with every change of a record.
        is_declared_dead: Whether others have recorded this incarnation as dead.
    """

    def __init__(self, *, own: Member) -> None:
        """Starts with only the record of this entry VM.

        Args:
            own: Record of this entry VM.
        """
        self._own_vm = own.vm
        self._members = {own.vm: own}
        self._buckets: list[int] = [0] * DIGEST_BUCKETS
        self._toggle_in_digest(own)
        self.version = 0
        self._view = _Views((), (), (), ())
        self._view_version = -1
        self.is_declared_dead = False

    @property
    def own(self) -> Member:
        """Record of this entry VM."""
        return self._members[self._own_vm]

    def find(self, vm: str) -> Member | None:
        """Returns the record of an entry VM, or None if it is unknown."""
        return self._members.get(vm)

    def all(self) -> tuple[Member, ...]:
        """Returns all records, sorted by name of the entry VM."""
        return self._views().all

    def other_members(self) -> tuple[Member, ...]:
        """Returns the records of other entry VMs that are not recorded as dead."""
        return self._views().other_members

    def cell_peers(self) -> tuple[Member, ...]:
        """Returns the records of others in the own cell that are not recorded as dead."""
        return self._views().cell_peers

    def serving(self) -> tuple[Member, ...]:
        """Returns the members that callers may use: those alive, or the suspects if none is."""
        return self._views().serving

    def merge(self, member: Member) -> bool:
        """Merges a record; returns whether a stored record changed.

        A record replaces the stored one if it ranks higher. A record that claims that this entry
        VM is suspect or leaving is refuted with a higher version of its own record.
        """
        current = self._members.get(member.vm)
        if current is not None and current.merge_rank >= member.merge_rank:
            return False
        if member.vm == self._own_vm:
            return self._refute(member)
        self._replace(member)
        return True

    def set_status(self, vm: str, status: Status) -> Member | None:
        """Raises the status of a member; returns the new record, or None if it did not change."""
        current = self._members.get(vm)
        if current is None or current.status >= status:
            return None
        changed = current._replace(status=status)
        self._replace(changed)
        return changed

    def forget(self, vm: str) -> None:
        """Removes the record of an entry VM."""
        current = self._members.pop(vm, None)
        if current is not None:
            self._toggle_in_digest(current)
            self.version += 1

    def digest(self) -> str:
        """Returns a digest of all records."""
        return hashing.fingerprint(*(bucket.to_bytes(8, "big") for bucket in self._buckets))[:16]

    def bucket_digests(self) -> list[str]:
        """Returns the digest of each bucket as 16 hexadecimal digits."""
        return [f"{bucket:016x}" for bucket in self._buckets]

    def records_differing_from(self, digests: Iterable[str]) -> list[Member]:
        """Returns the records in buckets whose digest differs from the given one."""
        own = self.bucket_digests()
        differing_buckets = {
            i for i, digest in enumerate(digests) if i < DIGEST_BUCKETS and own[i] != digest
        }
        return [member for member in self.all() if _bucket(member.vm) in differing_buckets]

    def _views(self) -> "_Views":
        if self._view_version != self.version:
            self._view = self._make_views()
            self._view_version = self.version
        return self._view

    def _make_views(self) -> "_Views":
        ordered = tuple(self._members[vm] for vm in sorted(self._members))
        others = tuple(m for m in ordered if m.vm != self._own_vm and m.status is not Status.DEAD)
        cell_peers = tuple(member for member in others if member.cell == self.own.cell)
        alive = tuple(member for member in ordered if member.is_serving)
        suspects = tuple(member for member in ordered if member.status is Status.SUSPECT)
        return _Views(ordered, others, cell_peers, alive or suspects)

    def _refute(self, rumour: Member) -> bool:
        own = self.own
        if rumour.incarnation != own.incarnation or own.status is not Status.ALIVE:
            return False
        if rumour.status is Status.DEAD:
            self.is_declared_dead = True
            return False
        self._replace(own._replace(version=rumour.version + 1))
        return True

    def _replace(self, member: Member) -> None:
        current = self._members.get(member.vm)
        if current is not None:
            self._toggle_in_digest(current)
        self._members[member.vm] = member
        self._toggle_in_digest(member)
        self.version += 1

    def _toggle_in_digest(self, member: Member) -> None:
        """Adds a record to the digest of its bucket or removes it; skips dead members."""
        if member.status is Status.DEAD:
            return
        text = f"{member.vm}/{member.incarnation}/{member.version}/{int(member.status)}"
        self._buckets[_bucket(member.vm)] ^= hashing.score(key="member", member=text)


def _bucket(vm: str) -> int:
    return hashing.score(key="bucket", member=vm) % DIGEST_BUCKETS
