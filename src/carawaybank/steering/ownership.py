"""Single ownership of keys among the entry VMs of a cell.

A key is a target or a unit of a cap. It has at most one owner at any instant, whatever messages
are lost, because the three rules below need no message to arrive for a limit to hold:

* Members rank alike by rendezvous hash; a member never owns a key that a holder it knows outranks.
* A new member finds the earlier ones in the platform's table, and owns a key only once each of
  them has recognized its incarnation. The earlier ones need no word from the later.
* A holder is removed only on proof that its process ended, never because it is silent.

A silent holder that is alive therefore keeps its keys, and one whose death is unproven strands
them until proof arrives, and keeps later members from owning any.

Usage::

    >>> ring = Ownership(vm="a", incarnation=1)
    >>> ring.owns("target-1")
    True
    >>> _ = ring.observe_member("b", incarnation=1)
    >>> ring.owner("target-1") in {"a", "b"}
    True
"""

from enum import StrEnum
from functools import lru_cache
from typing import NamedTuple

from carawaybank.steering import hashing

_RANK_CACHE_SIZE = 65_536


class DeathProof(StrEnum):
    """Evidence that a process ended."""

    GOODBYE = "goodbye"
    CONNECTION_REFUSED = "connection-refused"
    NEWER_INCARNATION = "newer-incarnation"
    VM_REMOVED = "vm-removed"


class Holder(NamedTuple):
    """Another member of the cell that may own keys.

    Attributes:
        incarnation: Its process start.
        earlier: Whether it may have owned keys before this member did.
        recognized: Whether it has confirmed that it knows our incarnation.
    """

    incarnation: int
    earlier: bool = True
    recognized: bool = False


class Ended(NamedTuple):
    """The latest process of a member that is known to have ended."""

    incarnation: int
    proof: DeathProof


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def _ranked(key: str, members: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(hashing.rank(key=key, members=members))


class Ownership:
    """The view that one member has of who owns what in its cell."""

    def __init__(self, *, vm: str, incarnation: int) -> None:
        """Starts alone in the cell.

        Args:
            vm: Name of this entry VM.
            incarnation: Process start of this entry VM; larger for each start.
        """
        self._vm = vm
        self._incarnation = incarnation
        self._holders: dict[str, Holder] = {}
        self._ended: dict[str, Ended] = {}
        self._released = False
        self._joined = False
        self._unrecognized = False
        self._members: tuple[str, ...] = (vm,)
        self.version = 0

    @property
    def holders(self) -> dict[str, Holder]:
        """The other members that may own keys."""
        return dict(self._holders)

    @property
    def is_released(self) -> bool:
        """Whether this member has given up all its keys."""
        return self._released

    @property
    def ended(self) -> dict[str, Ended]:
        """Members whose process is known to have ended."""
        return dict(self._ended)

    def join(self) -> None:
        """Ends the search for earlier members; those found from now on are later ones."""
        self._joined = True

    def observe_member(self, vm: str, *, incarnation: int) -> bool:
        """Records that a member exists; returns whether it may now own keys."""
        if vm == self._vm or incarnation <= self._ended_incarnation(vm):
            return False
        holder = self._holders.get(vm)
        if holder is not None and holder.incarnation >= incarnation:
            return holder.incarnation == incarnation
        earlier = not self._joined or incarnation < self._incarnation
        self._holders[vm] = Holder(incarnation, earlier)
        self._update_members()
        return True

    def confirm_recognition(self, vm: str, *, incarnation: int) -> None:
        """Records that a member confirmed our incarnation."""
        holder = self._holders.get(vm)
        if holder is None or holder.incarnation != incarnation or holder.recognized:
            return
        self._holders[vm] = holder._replace(recognized=True)
        self._update_members()

    def prove_dead(self, vm: str, *, incarnation: int, proof: DeathProof) -> bool:
        """Removes a member whose process ended; returns whether anything changed.

        Args:
            vm: The member.
            incarnation: The process that ended; later ones are unaffected.
            proof: The evidence, which callers must hold.
        """
        if incarnation > self._ended_incarnation(vm):
            self._ended[vm] = Ended(incarnation, proof)
        holder = self._holders.get(vm)
        if holder is None or holder.incarnation > incarnation:
            return False
        del self._holders[vm]
        self._update_members()
        return True

    def release(self) -> None:
        """Gives up all keys of this member for good."""
        self._released = True
        self.version += 1

    def forget(self, vm: str) -> None:
        """Drops what is known of a member that ended long ago."""
        self._ended.pop(vm, None)

    def owner(self, key: str) -> str | None:
        """Returns the member that should own the key in this view."""
        if self._released:
            others = tuple(sorted(self._holders))
            return _ranked(key, others)[0] if others else None
        return _ranked(key, self._members)[0]

    def owns(self, key: str) -> bool:
        """Returns whether this member owns the key and may act on it."""
        if self._released or self._unrecognized:
            return False
        return _ranked(key, self._members)[0] == self._vm

    def _update_members(self) -> None:
        self._members = tuple(sorted((self._vm, *self._holders)))
        self._unrecognized = any(
            holder.earlier and not holder.recognized for holder in self._holders.values()
        )
        self.version += 1

    def _ended_incarnation(self, vm: str) -> int:
        ended = self._ended.get(vm)
        return ended.incarnation if ended else 0
