"""Delivers the updates of a table to a callback, also if one of their rows makes it fail."""

from collections.abc import Callable

from carawaybank.journal import Journal
from carawaybank.rows import Row, TableUpdate

#: Maximum number of characters of a key or a reason in a log line.
_MAX_LOGGED_CHARS = 200


class Delivery:
    """Delivers the updates of one table."""

    def __init__(
        self,
        *,
        on_update: Callable[[TableUpdate], None],
        table: str,
        on_set_aside: Callable[[str], None] = lambda _: None,
        journal: Journal,
    ) -> None:
        """Creates a delivery.

        Args:
            on_update: Called with each update.
            table: Name of the table.
            on_set_aside: Called with the table for each row that makes the callback fail.
            journal: Logs updates and rows that make the callback fail.
        """
        self._on_update = on_update
        self._table = table
        self._on_set_aside = on_set_aside
        self._journal = journal
        #: Why the callback fails with a row, by key of the row.
        self._set_aside: dict[str, str] = {}

    def publish(self, update: TableUpdate) -> None:
        """Delivers an update; if the callback fails, delivers it without the rows that fail alone.

        One malformed row must not block the others, nor hide that a row is missing. If its
        exception ended the process, it would do so again after each restart, and on all VMs.
        """
        error = self._try_publish(update)
        if error is None:
            self._forget(update)
            return
        if update.is_full:
            keys = {row.key for row in update.rows}
            self._set_aside = {key: why for key, why in self._set_aside.items() if key in keys}
        taken = [row for row in update.rows if self._take(row, update)]
        set_aside_count = len(update.rows) - len(taken)
        if update.is_full:
            error = self._try_publish(update._replace(rows=taken))
        if error is not None and (update.is_full or not set_aside_count):
            reason = repr(error)[:_MAX_LOGGED_CHARS]
            self._journal.log("store", "changes not taken", table=self._table, reason=reason)

    def _forget(self, update: TableUpdate) -> None:
        """Forgets the failures of rows that were taken, and of those that are gone."""
        if update.is_full:
            self._set_aside.clear()
        elif self._set_aside:
            for row in update.rows:
                self._set_aside.pop(row.key, None)

    def _take(self, row: Row, update: TableUpdate) -> bool:
        """Delivers a row alone; logs and counts one that makes the callback fail.

        It is logged once for as long as the failure stays the same, because the writer of a row may
        repeat it every second.
        """
        error = self._try_publish(update._replace(rows=[row], is_full=False))
        if error is None:
            self._set_aside.pop(row.key, None)
            return True
        reason = repr(error)[:_MAX_LOGGED_CHARS]
        if self._set_aside.get(row.key) != reason:
            self._set_aside[row.key] = reason
            key = row.key[:_MAX_LOGGED_CHARS]
            self._journal.log("store", "row not taken", table=self._table, row=key, reason=reason)
        self._on_set_aside(self._table)
        return False

    def _try_publish(self, update: TableUpdate) -> Exception | None:
        """Delivers an update; returns the error of the callback, or None if it succeeded."""
        try:
            self._on_update(update)
        except Exception as error:
            return error
        return None
