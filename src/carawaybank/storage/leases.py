"""A lease kept in a row of the platform's table, without synchronized clocks.

Usage::

    duty = TableLease(table=table, key="duty", holder="vm-1.7", duration_s=10, guard_s=1)
    if duty.try_hold(clock=time.monotonic):
        write_snapshot()
"""

from collections.abc import Callable

from carawaybank.steering.leases import Lease, LeaseObserver
from carawaybank.storage.models import Table, Write


class TableLease:
    """One process's side of a lease that several want."""

    def __init__(
        self, *, table: Table, key: str, holder: str, duration_s: float, guard_s: float
    ) -> None:
        """Starts not held.

        Args:
            table: Holds the lease's row.
            key: The row.
            holder: Name of this process start; no other start may have it.
            duration_s: Seconds for which a renewal is valid.
            guard_s: Allowance in seconds for clocks of differing rates.
        """
        self._table = table
        self._key = key
        self._holder = holder
        self._lease = Lease(duration_s=duration_s)
        self._observer = LeaseObserver(duration_s=duration_s, guard_s=guard_s)

    def is_held(self, now: float) -> bool:
        """Returns whether this process may act as the holder."""
        return self._lease.is_valid(now)

    def try_hold(self, *, clock: Callable[[], float]) -> bool:
        """Acquires or renews the lease; returns whether it is held.

        Args:
            clock: Monotonic seconds.

        Raises:
            PlatformError: If the table does not answer. The lease is then held at most as long
                as its last confirmed renewal allows.
        """
        asked_at = clock()
        row = self._table.get(self._key)
        version = row["version"] if row else 0
        mine = row is not None and row["value"] == self._holder
        self._observer.observe(version=version, now=clock())
        if row is not None and not mine and not self._observer.has_expired(clock()):
            return False
        conflict = self._table.commit([Write(self._key, self._holder, if_version=version)])
        if conflict is not None:
            self._lease.lapse()
            return False
        self._lease.renewed(asked_at=asked_at)
        return self._lease.is_valid(clock())
