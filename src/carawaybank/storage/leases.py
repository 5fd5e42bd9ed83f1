"""A lease in a row of the platform's table; it needs no synchronized clocks.

Usage::

    lease = TableLease(table=table, key="snapshots", holder="vm-1.7", duration_s=10, guard_s=1)
    if lease.try_acquire(clock=time.monotonic):
        write_snapshot()
"""

from collections.abc import Callable

from carawaybank.steering.leases import Lease, LeaseObserver
from carawaybank.storage.models import Table, Write


class TableLease:
    """A lease for which several processes compete, as seen by one of them."""

    def __init__(
        self, *, table: Table, key: str, holder: str, duration_s: float, guard_s: float
    ) -> None:
        """Starts not held.

        Args:
            table: The table that contains the lease's row.
            key: Key of the row.
            holder: Name of this process start; it must be unique among all process starts.
            duration_s: Seconds for which a renewal is valid.
            guard_s: Seconds added to the wait for another holder, for clocks of different rates.
        """
        self._table = table
        self._key = key
        self._holder = holder
        self._lease = Lease(duration_s=duration_s)
        self._observer = LeaseObserver(duration_s=duration_s, guard_s=guard_s)

    def is_held(self, now: float) -> bool:
        """Returns whether this process may act as the holder.

        Args:
            now: Monotonic seconds.
        """
        return self._lease.is_valid(now)

    def try_acquire(self, *, clock: Callable[[], float]) -> bool:
        """Acquires or renews the lease; returns whether it is held.

        Args:
            clock: Returns monotonic seconds.

        Raises:
            PlatformError: If the table does not respond. A lease that was held then remains valid
                until its last confirmed renewal expires.
        """
        sent_at = clock()
        row = self._table.get(self._key)
        version = row["version"] if row else 0
        is_own = row is not None and row["value"] == self._holder
        self._observer.observe(version=version, now=clock())
        if row is not None and not is_own and not self._observer.has_expired(clock()):
            return False
        conflict = self._table.commit([Write(self._key, self._holder, if_version=version)])
        if conflict is not None:
            self._lease.give_up()
            return False
        self._lease.record_renewal(sent_at=sent_at)
        return self._lease.is_valid(clock())
