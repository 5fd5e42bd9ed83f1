"""Applies the rows that operators write to the store: configurations and evacuations.

Within an era of the store, a configuration replaces only those of lower versions. When the store is
restored from an older backup, the operators write the lost rows again, or other content under the
same versions. Until they do, the configuration and the evacuations in force stay in force, so that
no route disappears for a moment. They end when the store has recovered and still lacks them.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection

import xxhash

from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError
from carawaybank.journal import Journal
from carawaybank.routing.configuration import Configuration, Evacuation
from carawaybank.routing.router import Router
from carawaybank.routing.tenants import find_faults
from carawaybank.rows import Row, TableUpdate

#: Digests of configurations that are kept to recognize one that is written again.
_MAX_SEEN_DIGESTS = 256
#: Faults of one configuration that are logged, so that they do not use up the rate limit of lines.
_MAX_LOGGED_FAULTS = 20


class OperatorRows:
    """Applies configurations and evacuations to the router."""

    def __init__(
        self,
        *,
        router: Router,
        read_row: Callable[[Row], Configuration | Evacuation | None],
        counters: Counters,
        journal: Journal,
        regions: Collection[str] = (),
    ) -> None:
        """Starts without operator rows.

        Args:
            router: Receives configurations and evacuations.
            read_row: Decodes a row; returns None for other rows and raises ``DocumentError``.
            counters: Receives the version of the configuration in force.
            journal: Logs changes, rows that are skipped, and faults of configurations.
            regions: Regions of the deployment; without them, names of regions are not checked.
        """
        self._router = router
        self._read_row = read_row
        self._counters = counters
        self._journal = journal
        self._regions = regions
        self._evacuated_domains: set[str] = set()
        #: Era of the store in which the configuration in force was read.
        self._configuration_era = 0
        self._seen_digests: OrderedDict[int, None] = OrderedDict()

    def apply(self, update: TableUpdate) -> None:
        """Applies changes of the operators' table.

        A row that cannot be decoded is logged and skipped.
        """
        if update.is_full and not update.is_backup:
            self._evacuated_domains = set()
        for row in update.rows:
            self._apply_row(row, update)
        if frozenset(self._evacuated_domains) != self._router.targets.evacuated:
            self._journal.log(
                "routing", "evacuated", failure_domains=sorted(self._evacuated_domains)
            )
            self._router.targets.evacuate(frozenset(self._evacuated_domains))

    def _apply_row(self, row: Row, update: TableUpdate) -> None:
        try:
            parsed = self._read_row(row)
        except DocumentError as error:
            self._journal.log("config", "passed over", row=row.key, reason=str(error))
            self._counters.count_rejected_row("operators")
            return
        if isinstance(parsed, Evacuation) and row.removed:
            self._evacuated_domains.discard(parsed.failure_domain)
        elif isinstance(parsed, Evacuation):
            self._evacuated_domains.add(parsed.failure_domain)
        elif parsed is not None:
            self._install(parsed, row, update)

    def _install(self, configuration: Configuration, row: Row, update: TableUpdate) -> None:
        is_seen = self._record_digest(row)
        is_new_era = update.era > self._configuration_era
        # Operators write all lost configurations again. One that was in force before will be
        # followed by its successors, so it must not replace the configuration in force meanwhile.
        is_repeated = is_seen and not update.is_full
        supersedes = is_new_era and not (update.is_backup or is_repeated)
        installed = self._router.apply_configuration(configuration, supersedes=supersedes)
        if self._router.configuration == configuration:
            self._configuration_era = update.era
        if installed:
            self._counters.configuration_version = configuration.version
            self._journal.log(
                "config",
                "installed",
                version=configuration.version,
                era=update.era,
                row_version=row.version,
                reader=update.reader,
            )
            for fault in find_faults(configuration, self._regions)[:_MAX_LOGGED_FAULTS]:
                self._journal.log("config", "fault", version=configuration.version, reason=fault)
        elif self._configuration_era < update.era:
            self._journal.log("config", "older one kept back", version=configuration.version)

    def _record_digest(self, row: Row) -> bool:
        """Records the digest of a configuration row; returns whether it was seen before."""
        digest = xxhash.xxh64_intdigest(row.value)
        is_seen = digest in self._seen_digests
        self._seen_digests[digest] = None
        self._seen_digests.move_to_end(digest)
        if len(self._seen_digests) > _MAX_SEEN_DIGESTS:
            self._seen_digests.popitem(last=False)
        return is_seen
