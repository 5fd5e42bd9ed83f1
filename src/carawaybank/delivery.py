"""Delivers the updates of a table to a callback, also if one of their rows makes it fail."""

from collections.abc import Callable

from carawaybank.journal import Journal
from carawaybank.rows import TableUpdate


class Delivery:
    """Delivers the updates of one table."""

    def __init__(
        self, *, on_update: Callable[[TableUpdate], None], table: str, journal: Journal
    ) -> None:
        """Creates a delivery.

        Args:
            on_update: Called with each update.
            table: Name of the table.
            journal: Logs updates and rows that make the callback fail.
        """
        self._on_update = on_update
        self._table = table
        self._journal = journal

    def publish(self, update: TableUpdate) -> None:
        """Delivers an update; if the callback fails, delivers it without the rows that fail alone.

        One malformed row must not block the others, nor hide that a row is missing. If its
        exception ended the process, it would do so again after each restart, and on all VMs.
        """
        if self._try_publish(update, "changes not taken"):
            return
        taken = [
            row
            for row in update.rows
            if self._try_publish(
                update._replace(rows=[row], is_full=False), "row not taken", row=row.key
            )
        ]
        if update.is_full:
            self._try_publish(update._replace(rows=taken), "changes not taken")

    def _try_publish(self, update: TableUpdate, event: str, **fields: object) -> bool:
        """Delivers an update and returns whether the callback succeeded; logs a failure."""
        try:
            self._on_update(update)
        except Exception as error:
            self._journal.log("store", event, table=self._table, reason=repr(error), **fields)
            return False
        return True
