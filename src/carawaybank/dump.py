"""The state of an entry VM as operators see it, bounded in size."""

from collections.abc import Sequence
from typing import TypedDict

from carawaybank.routing.fleet import Target
from carawaybank.routing.router import Router
from carawaybank.siblings.vms import VmDirectory
from carawaybank.steering.quarantine import CrashReport
from carawaybank.watch import TableWatch

#: Most targets, siblings and crash reports that are listed.
MOST_LISTED = 200


class TargetState(TypedDict):
    """A target as this entry VM sees it.

    Attributes:
        in_flight: Requests that this VM has there.
        usual_load: Requests of all callers for each slot, averaged over its last reports.
        slowness: Its work in multiples of that of an ordinary target.
        failure_share: Average share of failed requests.
        cold_left_s: Seconds for which it stays cold.
        down_s: Seconds since it failed; -1 if it is in use.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    draining: bool
    in_flight: int
    usual_load: float
    slowness: float
    failure_share: float
    cold_left_s: float
    down_s: float


class SiblingState(TypedDict):
    """Another entry VM; ``silent_s`` is -1 if it was never heard."""

    vm: str
    callers_address: str
    failure_domain: str
    incarnation: int
    stopping: bool
    silent_s: float


class TableState(TypedDict):
    """A followed table.

    Attributes:
        era: Number of the store's returns from an older copy, as the store counts them.
        version: The store's version when the table was read.
        read_s: Seconds since the store last answered; -1 for never.
    """

    table: str
    era: int
    version: int
    rows: int
    read_s: float
    failures: int


class Dump(TypedDict):
    """The state of an entry VM."""

    vm: str
    incarnation: int
    failure_domain: str
    region: str
    stopping: bool
    configuration: int
    evacuated: list[str]
    requests: int
    connections: int
    targets: list[TargetState]
    siblings: list[SiblingState]
    tables: list[TableState]
    crashes: list[CrashReport]


def make_dump(
    *,
    router: Router,
    vms: VmDirectory,
    watches: Sequence[TableWatch],
    connections: int,
    now: float,
) -> Dump:
    """Returns the state of an entry VM.

    Args:
        router: Knows configuration, targets and requests.
        vms: Knows the entry VMs.
        watches: The followed tables.
        connections: Open connections of callers.
        now: Monotonic seconds.
    """
    own = vms.own
    targets = list(router.targets.all.values())[:MOST_LISTED]
    configuration = router.configuration
    return Dump(
        vm=own.vm,
        incarnation=own.incarnation,
        failure_domain=own.failure_domain,
        region=own.region,
        stopping=own.stopping,
        configuration=configuration.version if configuration else 0,
        evacuated=sorted(router.targets.evacuated),
        requests=router.requests_under_way,
        connections=connections,
        targets=[_describe_target(target, now) for target in targets],
        siblings=_describe_siblings(vms, now),
        tables=[_describe_table(watch, now) for watch in watches],
        crashes=list(router.quarantine.reports()[:MOST_LISTED]),
    )


def _describe_target(target: Target, now: float) -> TargetState:
    entry = target.entry
    return TargetState(
        target_id=entry.target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.failure_domain,
        draining=entry.draining,
        in_flight=target.in_flight,
        usual_load=round(target.usual_load, 2),
        slowness=round(target.slowness, 2),
        failure_share=round(target.failure_share, 2),
        cold_left_s=round(max(0.0, target.cold_until - now), 1),
        down_s=-1.0 if target.down_since is None else round(now - target.down_since, 1),
    )


def _describe_siblings(vms: VmDirectory, now: float) -> list[SiblingState]:
    found = []
    for record in vms.others[:MOST_LISTED]:
        silent_s = vms.silent_s(record.vm, now=now)
        found.append(
            SiblingState(
                vm=record.vm,
                callers_address=record.callers_address,
                failure_domain=record.failure_domain,
                incarnation=record.incarnation,
                stopping=record.stopping,
                silent_s=-1.0 if silent_s is None else round(silent_s, 1),
            )
        )
    return found


def _describe_table(watch: TableWatch, now: float) -> TableState:
    rows = watch.rows
    return TableState(
        table=watch.table,
        era=rows.era,
        version=rows.version,
        rows=len(rows.rows),
        read_s=-1.0 if watch.read_at is None else round(now - watch.read_at, 1),
        failures=watch.failures,
    )
