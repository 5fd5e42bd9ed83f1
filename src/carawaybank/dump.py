"""State dump of an entry VM for operators, limited in size."""

import math
from collections.abc import Sequence
from typing import TypedDict

from carawaybank.background import TaskFailure
from carawaybank.routing.router import Router
from carawaybank.routing.target import Target
from carawaybank.siblings.vms import VmDirectory
from carawaybank.steering.quarantine import CrashReport
from carawaybank.watch import TableWatch

#: Maximum number of targets, of siblings and of crash reports in a dump.
MAX_LISTED = 200


class TargetState(TypedDict):
    """State of a target as this entry VM sees it.

    Attributes:
        target_id: Id of the target.
        service: Name of its service.
        address: ``IP:PORT`` of the target.
        failure_domain: Its failure domain.
        draining: Whether the target is draining before it stops.
        in_flight: Requests of this entry VM that are in flight at the target.
        usual_load: Running and waiting requests of all callers per slot, as a moving average of the
            target's load reports.
        slowness: Work time of requests relative to the expected one, as a moving average; 1 is
            normal.
        machine_slowness: How long work takes on the target's machine in multiples of the usual, as
            a moving average of its load reports; -1 if they do not state it.
        failure_share: Fraction of requests that failed, as a moving average.
        cold_left_s: Seconds until the target counts as warm.
        down_s: Seconds since the target was taken out of use; -1 if it is in use.
        limit: Requests per second that it takes from all entry VMs together; -1 if it named none.
        pace: Share of its objects that it gets; below 1 for a while after it starts or recovers.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    draining: bool
    in_flight: int
    usual_load: float
    slowness: float
    machine_slowness: float
    failure_share: float
    cold_left_s: float
    down_s: float
    limit: float
    pace: float


class SiblingState(TypedDict):
    """State of another entry VM.

    Attributes:
        vm: Name of the entry VM.
        callers_address: ``IP:PORT`` at which callers connect.
        failure_domain: Its failure domain.
        incarnation: Number of its current process start.
        stopping: Whether it has announced its departure.
        silent_s: Seconds since it was last heard from directly; -1 if it never was.
    """

    vm: str
    callers_address: str
    failure_domain: str
    incarnation: int
    stopping: bool
    silent_s: float


class TableState(TypedDict):
    """State of a table that this entry VM watches in the store.

    Attributes:
        table: Name of the table.
        era: How often the store was restored from an older backup, as counted by the store.
        version: Version of the store when the table was last read.
        rows: Number of rows.
        read_s: Seconds since the last response to a read of the table; -1 if there was none.
        failures: Calls that failed since the last response.
    """

    table: str
    era: int
    version: int
    rows: int
    read_s: float
    failures: int


class TaskState(TypedDict):
    """State of a background task that fails; what it maintains may be out of date.

    Attributes:
        task: Name of the task.
        failures: Number of failures since it was last sound.
        reason: The last failure.
        failed_s: Seconds since the last failure.
    """

    task: str
    failures: int
    reason: str
    failed_s: float


class Dump(TypedDict):
    """State of an entry VM.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Number of its current process start.
        failure_domain: Its failure domain.
        region: Its region.
        stopping: Whether it has begun to stop.
        configuration: Version of the configuration in force; 0 if there is none.
        evacuated: Names of the evacuated failure domains.
        requests: Requests in progress.
        connections: Open connections of callers.
        targets: Targets, at most :data:`MAX_LISTED`.
        siblings: Other entry VMs, at most :data:`MAX_LISTED`.
        tables: Watched tables of the store.
        crashes: Crash reports, at most :data:`MAX_LISTED`.
        failing_tasks: Background tasks that have not been sound since a failure.
    """

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
    failing_tasks: list[TaskState]


def make_dump(
    *,
    router: Router,
    vms: VmDirectory,
    watches: Sequence[TableWatch],
    connections: int,
    failures: Sequence[TaskFailure] = (),
    now: float,
) -> Dump:
    """Returns the state of an entry VM.

    Args:
        router: Router with the configuration, the targets and the requests in progress.
        vms: Directory of the entry VMs.
        watches: Watches of the store's tables.
        connections: Number of open connections of callers.
        failures: Last failures of the background tasks that fail.
        now: Monotonic time in seconds.
    """
    own = vms.own
    targets = list(router.targets.by_id.values())[:MAX_LISTED]
    configuration = router.configuration
    return Dump(
        vm=own.vm,
        incarnation=own.incarnation,
        failure_domain=own.failure_domain,
        region=own.region,
        stopping=own.stopping,
        configuration=configuration.version if configuration else 0,
        evacuated=sorted(router.targets.evacuated),
        requests=len(router.requests),
        connections=connections,
        targets=[_target_state(router, target, now) for target in targets],
        siblings=_sibling_states(vms, now),
        tables=[_table_state(watch, now) for watch in watches],
        crashes=list(router.quarantine.reports()[:MAX_LISTED]),
        failing_tasks=[_task_state(failure, now) for failure in failures],
    )


def _target_state(router: Router, target: Target, now: float) -> TargetState:
    entry = target.entry
    limit = router.limits.rate_of(entry)
    machine = target.machine.newest
    return TargetState(
        target_id=entry.target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.failure_domain,
        draining=entry.draining,
        in_flight=target.in_flight,
        usual_load=round(target.average_load, 2),
        slowness=round(target.slowness, 2),
        machine_slowness=-1.0 if machine is None else round(math.exp(machine.average), 2),
        failure_share=round(target.failure_share, 2),
        cold_left_s=round(max(0.0, target.cold_until - now), 1),
        down_s=-1.0 if target.down_since is None else round(now - target.down_since, 1),
        limit=-1.0 if limit is None else limit,
        pace=round(router.targets.pace.share(target, now=now), 2),
    )


def _task_state(failure: TaskFailure, now: float) -> TaskState:
    return TaskState(
        task=failure.task,
        failures=failure.failure_count,
        reason=failure.reason,
        failed_s=round(now - failure.at, 1),
    )


def _sibling_states(vms: VmDirectory, now: float) -> list[SiblingState]:
    states = []
    for record in vms.others[:MAX_LISTED]:
        age_s = vms.last_heartbeat_age_s(record.vm, now=now)
        states.append(
            SiblingState(
                vm=record.vm,
                callers_address=record.callers_address,
                failure_domain=record.failure_domain,
                incarnation=record.incarnation,
                stopping=record.stopping,
                silent_s=-1.0 if age_s is None else round(age_s, 1),
            )
        )
    return states


def _table_state(watch: TableWatch, now: float) -> TableState:
    rows = watch.rows
    return TableState(
        table=watch.table,
        era=rows.era,
        version=rows.version,
        rows=len(rows.rows),
        read_s=-1.0 if watch.read_at is None else round(now - watch.read_at, 1),
        failures=watch.failures,
    )
