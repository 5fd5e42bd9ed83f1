"""Dissemination of accepted tickets among entry VMs.

A ticket is *held* once it has been received, and *in force* once every live member of the cell
holds it. A replacement that receives the tickets from any member of the cell therefore never starts
with an older ticket than was in force. Ticket numbers in force only increase. A member that does
not respond delays a ticket by at most the hold limit.

Usage::

    >>> log = TicketLog(hold_limit_s=1.0)
    >>> accepted = AcceptedTicket(
    ...     ticket={"number": 1, "author": "mori", "reason": "-"}, nonce="n", accepted_at=0.0)
    >>> log.add([accepted], now=0.0)
    True
    >>> log.apply_held(held_by_cell=[], now=0.0), log.state.number
    (True, 1)
"""

from collections.abc import Iterable, Sequence
from itertools import takewhile

from carawaybank.steering.tickets import EMPTY_STATE, AcceptedTicket, State, apply_ticket

_APPLIED_TICKETS_KEPT = 256


class TicketLog:
    """Accepted tickets that follow a base state, and the state in force."""

    def __init__(self, *, hold_limit_s: float) -> None:
        """Starts with no ticket in force.

        Args:
            hold_limit_s: Maximum time in seconds that a ticket waits for the members of the cell.
        """
        self._hold_limit_s = hold_limit_s
        self._state = EMPTY_STATE
        self._tickets: dict[int, AcceptedTicket] = {}
        self._held_at: dict[int, float] = {}
        self._highest_held = 0

    @property
    def state(self) -> State:
        """The state that the tickets in force produce."""
        return self._state

    @property
    def highest_held(self) -> int:
        """The highest ticket number held without a gap."""
        return self._highest_held

    def add(self, tickets: Iterable[AcceptedTicket], *, now: float) -> bool:
        """Adds tickets that are not yet held; returns whether :attr:`highest_held` increased."""
        for accepted in tickets:
            number = accepted["ticket"]["number"]
            if number > self._highest_held:
                self._tickets.setdefault(number, accepted)
        before = self._highest_held
        while self._highest_held + 1 in self._tickets:
            self._highest_held += 1
            self._held_at[self._highest_held] = now
        return self._highest_held > before

    def install_snapshot(self, state: State) -> bool:
        """Installs a snapshot if it is newer than the tickets held; returns whether it was."""
        if state.number <= self._highest_held:
            return False
        self._state = state
        self._highest_held = state.number
        self._tickets = {n: t for n, t in self._tickets.items() if n > state.number}
        self._held_at.clear()
        return True

    def apply_held(self, *, held_by_cell: Sequence[int], now: float) -> bool:
        """Puts tickets in force that the whole cell holds or that waited for the hold limit.

        Args:
            held_by_cell: Highest number held by each other live member of the cell.
            now: The time.

        Returns:
            Whether a ticket came into force.
        """
        held_by_all = min([self._highest_held, *held_by_cell])
        before = self._state.number
        for number in range(before + 1, self._highest_held + 1):
            waited_s = now - self._held_at.get(number, now)
            if number > held_by_all and waited_s < self._hold_limit_s:
                break
            self._state = apply_ticket(self._state, self._tickets[number]["ticket"])
            self._held_at.pop(number, None)
        self._drop_old()
        return self._state.number > before

    def after(self, number: int, *, limit: int) -> list[AcceptedTicket]:
        """Returns up to ``limit`` consecutive held tickets that follow the number."""
        numbers = range(number + 1, min(self._highest_held, number + limit) + 1)
        return [self._tickets[n] for n in takewhile(self._tickets.__contains__, numbers)]

    def has_tickets_after(self, number: int) -> bool:
        """Returns whether :meth:`after` can bring a sibling that holds this number up to date."""
        return number >= self._highest_held or number + 1 in self._tickets

    def tickets(self) -> list[AcceptedTicket]:
        """Returns the tickets still in the log, in order of their numbers."""
        return [self._tickets[n] for n in sorted(self._tickets)]

    def _drop_old(self) -> None:
        for number in [n for n in self._tickets if n <= self._state.number - _APPLIED_TICKETS_KEPT]:
            del self._tickets[number]
