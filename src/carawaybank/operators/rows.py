"""What operators order through the store: configurations and evacuations."""

from collections.abc import Callable

from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.catalogue import Configuration, Evacuation
from carawaybank.routing.router import Router
from carawaybank.rows import Row
from carawaybank.watch import Changes


class OperatorRows:
    """Passes configurations and evacuations on to the router."""

    def __init__(
        self,
        *,
        router: Router,
        read_row: Callable[[Row], Configuration | Evacuation | None],
        counters: Counters,
        journal: Journal,
    ) -> None:
        """Takes the parts.

        Args:
            router: Takes configurations and evacuations.
            read_row: Returns what a row orders; raises ``DocumentError``.
            counters: Where the version in force is shown.
            journal: Where changes are noted.
        """
        self._router = router
        self._read_row = read_row
        self._counters = counters
        self._journal = journal
        self._evacuated: set[str] = set()

    def take(self, changes: Changes) -> None:
        """Takes what the table said."""
        if changes.whole:
            self._evacuated = set()
        for row in changes.rows:
            self._take_row(row)
        if frozenset(self._evacuated) != self._router.targets.evacuated:
            self._journal.note("routing", "evacuated", failure_domains=sorted(self._evacuated))
            self._router.targets.evacuate(frozenset(self._evacuated))

    def _take_row(self, row: Row) -> None:
        try:
            order = self._read_row(row)
        except DocumentError as error:
            self._journal.note("config", "passed over", row=row.key, reason=str(error))
            return
        if isinstance(order, Evacuation) and row.removed:
            self._evacuated.discard(order.failure_domain)
        elif isinstance(order, Evacuation):
            self._evacuated.add(order.failure_domain)
        elif order is not None and self._router.configure(order):
            self._counters.configuration = order.version
            self._journal.note("config", "installed", version=order.version)
