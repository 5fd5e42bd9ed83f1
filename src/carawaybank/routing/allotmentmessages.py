"""Messages about allotments between entry VMs, and what is reported of them."""

from typing import NamedTuple

from carawaybank.routing.allotmentbucket import Ask, Grant

#: Maximum number of asks in a message, which then fits into a packet.
MAX_ASKS = 20


class Claim(NamedTuple):
    """Announces that a VM takes over some slots, and asks the recipient to give them up."""

    slots: list[int]


class Handover(NamedTuple):
    """The response: slots that the sender does not own any more, and knows of no other owner.

    Attributes:
        slots: The slots.
        is_stopping: Whether the sender stops and is not to be counted as alive.
    """

    slots: list[int]
    is_stopping: bool = False


class AskBatch(NamedTuple):
    """Asks for tokens; ``confirmed`` is the newest ask of which the grants have arrived."""

    number: int
    confirmed: int
    asks: list[Ask]


class GrantBatch(NamedTuple):
    """The response to an :class:`AskBatch`; ``owners`` has other owners by slot, if known."""

    number: int
    grants: list[Grant]
    owners: dict[int, str]


class Borrow(NamedTuple):
    """Asks a VM of the same region for some of the tokens that it holds, for waiting requests."""

    number: int
    tenant: str
    tokens: int


class Loan(NamedTuple):
    """The response to a :class:`Borrow`: tokens that the sender counts as used."""

    number: int
    tenant: str
    tokens: int


Message = Claim | Handover | AskBatch | GrantBatch | Borrow | Loan


class Outgoing(NamedTuple):
    """A message to another VM."""

    vm: str
    message: Message


class AllotmentEvent(NamedTuple):
    """A change to log: ``owned``, ``released``, ``exhausted`` or ``available``."""

    name: str
    tenant: str
    rate: float
