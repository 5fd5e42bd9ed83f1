"""Which VM owns the allotments of a slot, as each VM derives it from the VMs that it hears of.

Load pattern: the VM that owns allotments ends, freezes, returns or is cut off while callers use
them up, and VMs disagree for seconds about who is alive. Tenants are divided into a fixed number of
slots. The owner of a slot is the first VM by rendezvous hash that is alive, and only while it hears
of more than half of all registered VMs, so that the smaller side of a cut has no owner. A VM that
takes over grants tokens at once if its predecessor handed the slot over. Otherwise its predecessor
may still be granting on the other side of a cut, and it waits until that VM must have noticed.
"""

from collections.abc import Iterable

from carawaybank.steering import hashing

#: Number of slots; more of them spread the work over more VMs.
SLOT_COUNT = 64
#: Seconds for which VMs may disagree about who is alive.
TRANSITION_S = 2.5


def slot_of(tenant: str) -> int:
    """Returns the slot of a tenant."""
    return hashing.score(key="allotments", member=tenant) % SLOT_COUNT


def rank_vms(slot: int, vms: Iterable[str]) -> list[str]:
    """Returns VMs in the order in which they should own a slot."""
    return hashing.rank(key=f"allotments/{slot}", members=vms)


class SlotOwnership:
    """The ownership of one slot by this VM.

    >>> ownership = SlotOwnership()
    >>> ownership.update(is_first=True, predecessor="a", now=0.0)
    >>> ownership.is_granting(now=1.0), ownership.is_granting(now=2.5)
    (False, True)
    >>> ownership.update(is_first=False, predecessor="", now=3.0)
    >>> ownership.update(is_first=True, predecessor="", now=4.0)
    >>> ownership.confirm("b", now=4.1)
    >>> ownership.is_granting(now=4.1), ownership.since
    (True, 4.1)
    """

    def __init__(self) -> None:
        """Starts as a VM that does not own the slot."""
        self._first_since: float | None = None
        self._predecessor = ""
        self._confirmed_at: float | None = None

    @property
    def since(self) -> float:
        """Time from which this VM grants tokens, if it owns the slot."""
        if self._confirmed_at is not None:
            return self._confirmed_at
        return (self._first_since or 0.0) + TRANSITION_S

    def update(self, *, is_first: bool, predecessor: str, now: float) -> None:
        """Records whether this VM should own the slot.

        Args:
            is_first: Whether it is the first VM that is alive, and hears of more than half of all.
            predecessor: The VM that was the first one until now and did not hand the slot over;
                empty if there was none.
            now: Current time.
        """
        if not is_first:
            self._first_since = self._confirmed_at = None
        elif self._first_since is None:
            self._first_since, self._predecessor = now, predecessor

    def release(self) -> None:
        """Gives up the slot; the next update may claim it again."""
        self._first_since = self._confirmed_at = None

    def is_granting(self, *, now: float) -> bool:
        """Returns whether this VM owns the slot and grants tokens."""
        return self._first_since is not None and now >= self.since

    def is_pending(self, *, now: float) -> bool:
        """Returns whether this VM should own the slot and does not grant tokens yet."""
        return self._first_since is not None and now < self.since

    def confirm(self, vm: str, *, now: float) -> None:
        """Records that another VM handed the slot over, or knows of no owner.

        After a predecessor that vanished, only its own word ends the wait.
        """
        if self.is_pending(now=now) and self._predecessor in ("", vm):
            self._confirmed_at = now
