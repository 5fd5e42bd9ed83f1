"""Exclusive ownership of keys among the entry VMs of a cell.

A key is a target or a unit of a cap. It has at most one owner at any instant, whatever messages are
lost, because under these three rules no message has to arrive for a limit to hold:

* All members rank the holders of a key by the same rendezvous hash. A member never owns a key for
  which a holder that it knows ranks higher.
* A new member finds the earlier members in the platform's table. It owns no key until each of them
  has recognized its incarnation. Earlier members need no such confirmation from later ones.
* A holder is removed only on proof that its process ended, never because it does not respond.

A live holder that does not respond therefore keeps its keys. If the death of a holder is not
proven, its keys stay unserved until proof arrives, and later members own no keys until then.

Usage::

    >>> ownership = Ownership(vm="a", incarnation=1)
    >>> ownership.owns("target-1")
    True
    >>> _ = ownership.observe_member("b", incarnation=1)
    >>> ownership.owner("target-1") in {"a", "b"}
    True
"""

from enum import StrEnum
from functools import lru_cache
from typing import NamedTuple

from carawaybank.steering import hashing

_RANK_CACHE_SIZE = 65_536


class DeathProof(StrEnum):
    """Kind of evidence that a process ended."""

    ANNOUNCED_STOP = "goodbye"
    CONNECTION_REFUSED = "connection-refused"
    NEWER_INCARNATION = "newer-incarnation"
    VM_REMOVED = "vm-removed"


class Holder(NamedTuple):
    """Another member of the cell that may own keys.

    Attributes:
        incarnation: Its process start.
        earlier: Whether it may have owned keys before this member started.
        recognized: Whether it has confirmed that it knows this member's incarnation.
    """

    incarnation: int
    earlier: bool = True
    recognized: bool = False


class EndedIncarnation(NamedTuple):
    """The latest incarnation of a member that is known to have ended, and the evidence."""

    incarnation: int
    proof: DeathProof


@lru_cache(maxsize=_RANK_CACHE_SIZE)
def _ranked(key: str, members: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(hashing.rank(key=key, members=members))


class Ownership:
    """One member's view of the ownership of keys in its cell.

    Attributes:
        version: Increases with every change that may affect ownership.
    """

    def __init__(self, *, vm: str, incarnation: int) -> None:
        """Starts with no other members in the cell.

        Args:
            vm: Name of this entry VM.
            incarnation: Process start of this entry VM; larger for each start.
        """
        self._vm = vm
        self._incarnation = incarnation
        self._holders: dict[str, Holder] = {}
        self._ended: dict[str, EndedIncarnation] = {}
        self._released = False
        self._discovery_ended = False
        self._awaits_recognition = False
        self._members: tuple[str, ...] = (vm,)
        self.version = 0

    @property
    def holders(self) -> dict[str, Holder]:
        """The other members that may own keys, by name."""
        return dict(self._holders)

    @property
    def is_released(self) -> bool:
        """Whether this member has given up all keys for good."""
        return self._released

    @property
    def ended(self) -> dict[str, EndedIncarnation]:
        """Members of which an incarnation is known to have ended, by name."""
        return dict(self._ended)

    def end_discovery(self) -> None:
        """Ends the discovery of earlier members.

        Members observed afterwards count as later ones, unless their incarnation is smaller.
        """
        self._discovery_ended = True

    def observe_member(self, vm: str, *, incarnation: int) -> bool:
        """Records that a member exists; returns whether this incarnation of it may own keys."""
        if vm == self._vm or incarnation <= self._ended_incarnation(vm):
            return False
        holder = self._holders.get(vm)
        if holder is not None and holder.incarnation >= incarnation:
            return holder.incarnation == incarnation
        earlier = not self._discovery_ended or incarnation < self._incarnation
        self._holders[vm] = Holder(incarnation, earlier)
        self._update_members()
        return True

    def confirm_recognition(self, vm: str, *, incarnation: int) -> None:
        """Records that a member has confirmed this member's incarnation."""
        holder = self._holders.get(vm)
        if holder is None or holder.incarnation != incarnation or holder.recognized:
            return
        self._holders[vm] = holder._replace(recognized=True)
        self._update_members()

    def record_death(self, vm: str, *, incarnation: int, proof: DeathProof) -> bool:
        """Records that a process ended; returns whether it was removed from the holders.

        Args:
            vm: The member.
            incarnation: The process that ended; later incarnations are unaffected.
            proof: The evidence, which the caller must actually have.
        """
        if incarnation > self._ended_incarnation(vm):
            self._ended[vm] = EndedIncarnation(incarnation, proof)
        holder = self._holders.get(vm)
        if holder is None or holder.incarnation > incarnation:
            return False
        del self._holders[vm]
        self._update_members()
        return True

    def release_all(self) -> None:
        """Gives up all keys of this member for good."""
        self._released = True
        self.version += 1

    def forget(self, vm: str) -> None:
        """Removes the record of the latest ended incarnation of a member."""
        self._ended.pop(vm, None)

    def owner(self, key: str) -> str | None:
        """Returns the member that should own the key in this view, or None if there is none."""
        if self._released:
            others = tuple(sorted(self._holders))
            return _ranked(key, others)[0] if others else None
        return _ranked(key, self._members)[0]

    def owns(self, key: str) -> bool:
        """Returns whether this member owns the key and may act on it."""
        if self._released or self._awaits_recognition:
            return False
        return _ranked(key, self._members)[0] == self._vm

    def _update_members(self) -> None:
        self._members = tuple(sorted((self._vm, *self._holders)))
        self._awaits_recognition = any(
            holder.earlier and not holder.recognized for holder in self._holders.values()
        )
        self.version += 1

    def _ended_incarnation(self, vm: str) -> int:
        ended = self._ended.get(vm)
        return ended.incarnation if ended else 0
