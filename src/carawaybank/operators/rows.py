"""What operators order through the store: configurations and evacuations.

Within an era of the store a configuration replaces those of lower versions only. When the store
returns from a copy, the operators write again what it lost, or something else under the same
versions. What is in force stays so until they do, or until the store has settled without it, so
that no route disappears for a moment.
"""

from collections import OrderedDict
from collections.abc import Callable

import xxhash

from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.catalogue import Configuration, Evacuation
from carawaybank.routing.router import Router
from carawaybank.rows import Row
from carawaybank.watch import Changes

#: Configurations whose content is remembered, to tell one that is written again.
_MOST_SEEN = 256


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
        #: Era of the configuration in force.
        self._era = 0
        self._seen: OrderedDict[int, None] = OrderedDict()

    def take(self, changes: Changes) -> None:
        """Takes what the table said."""
        if changes.whole and not changes.is_copy:
            self._evacuated = set()
        for row in changes.rows:
            self._take_row(row, changes)
        if frozenset(self._evacuated) != self._router.targets.evacuated:
            self._journal.note("routing", "evacuated", failure_domains=sorted(self._evacuated))
            self._router.targets.evacuate(frozenset(self._evacuated))

    def _take_row(self, row: Row, changes: Changes) -> None:
        try:
            order = self._read_row(row)
        except DocumentError as error:
            self._journal.note("config", "passed over", row=row.key, reason=str(error))
            return
        if isinstance(order, Evacuation) and row.removed:
            self._evacuated.discard(order.failure_domain)
        elif isinstance(order, Evacuation):
            self._evacuated.add(order.failure_domain)
        elif order is not None:
            self._install(order, row, changes)

    def _install(self, order: Configuration, row: Row, changes: Changes) -> None:
        is_seen = self._note_seen(row)
        is_first = changes.era > self._era
        # One that was in force before is on its way to what the copy lost, and is replaced again.
        is_repeated = is_seen and not changes.whole
        supersedes = is_first and not (changes.is_copy or is_repeated)
        installed = self._router.configure(order, supersedes=supersedes)
        if self._router.configuration == order:
            self._era = changes.era
        if installed:
            self._counters.configuration = order.version
            self._journal.note("config", "installed", version=order.version, era=changes.era)
        elif self._era < changes.era:
            self._journal.note("config", "older one kept back", version=order.version)

    def _note_seen(self, row: Row) -> bool:
        """Records the content of a configuration; returns whether it was seen before."""
        digest = xxhash.xxh64_intdigest(row.value)
        is_seen = digest in self._seen
        self._seen[digest] = None
        self._seen.move_to_end(digest)
        if len(self._seen) > _MOST_SEEN:
            self._seen.popitem(last=False)
        return is_seen
