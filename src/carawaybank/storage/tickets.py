"""Tickets in the platform's table, and snapshots of the state in its object store.

A ticket is accepted by one transaction, which inserts its row and advances the last number. The key
of a snapshot contains the digest of its bytes, so that a damaged one is detected and an earlier one
is used instead.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from carawaybank import documents
from carawaybank.exceptions import DocumentError, PlatformError, SnapshotError
from carawaybank.steering import hashing
from carawaybank.steering.tickets import (
    EMPTY_STATE,
    AcceptedTicket,
    State,
    TicketDocument,
    apply_ticket,
    find_faults,
    ticket_digest,
)
from carawaybank.storage.models import ObjectStore, Table, Write
from carawaybank.verdicts import MayHaveRun, NotRun, Reason

_HEAD_KEY = "tickets/head"
_ROW_PREFIX = "tickets/number/"
_SNAPSHOT_PREFIX = "snapshots/"
_PAGE_ROWS = 100
#: Number of tickets from one snapshot to the next.
SNAPSHOT_INTERVAL = 20


class Accepted(NamedTuple):
    """The result of submitting a ticket that is now accepted.

    Attributes:
        number: Number of the ticket.
        is_repeated: Whether an earlier submission of the same ticket was accepted already.
    """

    number: int
    is_repeated: bool = False


Submission = Accepted | NotRun | MayHaveRun


class TicketStore:
    """Reads and accepts tickets, and reads and writes snapshots of the state."""

    def __init__(self, *, table: Table, objects: ObjectStore) -> None:
        """Uses two of the platform's services.

        Args:
            table: The table that contains the tickets.
            objects: The object store that contains the snapshots.
        """
        self._table = table
        self._objects = objects

    def last_number(self) -> int:
        """Returns the number of the last accepted ticket; 0 before the first.

        Raises:
            PlatformError: If the table does not respond.
        """
        row = self._table.get(_HEAD_KEY)
        return int(row["value"]) if row else 0

    def read_after(self, number: int, *, limit: int = _PAGE_ROWS) -> list[AcceptedTicket]:
        """Returns up to ``limit`` accepted tickets that follow a number, in order.

        Raises:
            PlatformError: If the table does not respond or a row is not a ticket.
        """
        rows = self._table.scan(_ROW_PREFIX, after=_row_key(number), limit=limit)
        return [_decode(row["value"]) for row in rows]

    def read(self, number: int) -> AcceptedTicket | None:
        """Returns one accepted ticket, or None if the number was not accepted.

        Raises:
            PlatformError: If the table does not respond or a row is not a ticket.
        """
        row = self._table.get(_row_key(number))
        return _decode(row["value"]) if row else None

    def load_state(self, *, number: int | None = None) -> State:
        """Returns the state after a ticket, from the latest usable snapshot and the tickets since.

        Args:
            number: Number of the ticket; None for the last accepted one.

        Raises:
            PlatformError: If the platform does not respond.
        """
        state = self._load_snapshot(number)
        while number is None or state.number < number:
            tickets = self.read_after(state.number)
            if not tickets:
                return state
            for accepted in tickets:
                if number is None or state.number < number:
                    state = apply_ticket(state, accepted["ticket"])
        return state

    def submit(self, ticket: TicketDocument, *, accepted_at: float) -> Submission:
        """Accepts a ticket if it may follow the last one.

        Args:
            ticket: The ticket.
            accepted_at: Seconds since 1970; only displayed, never compared.

        Returns:
            ``Accepted``; ``NotRun`` if this call certainly did not accept it; ``MayHaveRun`` if the
            table did not confirm the write and cannot be read. Submitting the same ticket again is
            always safe.
        """
        digest = ticket_digest(ticket)
        try:
            existing = self.read(ticket["number"])
            if existing is not None:
                return _compare(existing, digest)
            state = self.load_state()
            head_row = self._table.get(_HEAD_KEY)
        except PlatformError as error:
            detail = f"nothing was written now ({error}); an earlier try may still be accepted"
            return NotRun(Reason.PLATFORM_UNREACHABLE, 5.0, detail)
        if state.number >= ticket["number"]:
            return self._explain_conflict(ticket["number"], digest)
        faults = find_faults(state, ticket)
        if faults:
            return NotRun(Reason.TICKET_REFUSED, 0.0, "; ".join(faults))
        accepted = AcceptedTicket(ticket=ticket, nonce=digest, accepted_at=accepted_at)
        writes = [
            Write(_row_key(ticket["number"]), accepted, if_version=0),
            Write(_HEAD_KEY, ticket["number"], if_version=head_row["version"] if head_row else 0),
        ]
        try:
            conflict = self._table.commit(writes)
        except PlatformError as error:
            return self._resolve(ticket["number"], digest, error)
        if conflict is not None:
            return self._explain_conflict(ticket["number"], digest)
        return Accepted(ticket["number"])

    def write_snapshot(self, state: State) -> None:
        """Stores a snapshot of the state.

        Raises:
            PlatformError: If the object store does not confirm the write.
        """
        data = documents.encode_json(state)
        self._objects.put(
            f"{_SNAPSHOT_PREFIX}{state.number:012d}-{hashing.fingerprint(data)}", data
        )

    def _resolve(self, number: int, digest: str, error: PlatformError) -> Submission:
        if not error.may_have_run:
            return NotRun(Reason.PLATFORM_UNREACHABLE, 5.0, str(error))
        try:
            existing = self.read(number)
        except PlatformError:
            existing = None
        if existing is not None:
            return _compare(existing, digest)
        detail = f"the table did not say whether it accepted; repeat the same command ({error})"
        return MayHaveRun(Reason.PLATFORM_UNKNOWN, 2.0, detail)

    def _explain_conflict(self, number: int, digest: str) -> Submission:
        try:
            existing = self.read(number)
        except PlatformError:
            existing = None
        if existing is not None:
            return _compare(existing, digest)
        return NotRun(Reason.TICKET_RACE_LOST, 1.0, "another ticket was accepted meanwhile")

    def _load_snapshot(self, number: int | None) -> State:
        keys = self._objects.list(_SNAPSHOT_PREFIX)
        for key in reversed(keys):
            if number is not None and int(key[len(_SNAPSHOT_PREFIX) :].partition("-")[0]) > number:
                continue
            try:
                return read_snapshot(self._objects.get, key)
            except SnapshotError:
                continue
        return EMPTY_STATE


def read_snapshot(get: Callable[[str], bytes | None], key: str) -> State:
    """Returns the state in a snapshot.

    Args:
        get: Returns the bytes of an object, or None if it does not exist.
        key: Key of the snapshot, which ends with the digest of its bytes.

    Raises:
        SnapshotError: If the snapshot is missing, damaged or not a state.
    """
    data = get(key)
    if data is None or hashing.fingerprint(data) != key.rpartition("-")[2]:
        raise SnapshotError(f"{key} is missing or damaged")
    try:
        return documents.decode_json(data, State, source=key)
    except DocumentError as error:
        raise SnapshotError(str(error)) from None


def _compare(accepted: AcceptedTicket, digest: str) -> Submission:
    ticket = accepted["ticket"]
    if accepted["nonce"] == digest:
        return Accepted(ticket["number"], is_repeated=True)
    detail = (
        f"ticket {ticket['number']} is that of {ticket['author']}: {ticket['reason']}; "
        f"yours was not accepted"
    )
    return NotRun(Reason.TICKET_RACE_LOST, 0.0, detail)


def _decode(value: Any) -> AcceptedTicket:
    try:
        return documents.convert(value, AcceptedTicket, source="table")
    except DocumentError as error:
        raise PlatformError(message=str(error), may_have_run=False) from None


def _row_key(number: int) -> str:
    return f"{_ROW_PREFIX}{number:012d}"
