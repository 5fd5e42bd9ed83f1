"""Runs one entry VM: builds its components, starts tasks and listeners, and stops them."""

import asyncio
import functools
import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

from carawaybank.adapters import Adapter
from carawaybank.background import BackgroundTasks
from carawaybank.callers.backlog import ResponseBacklog
from carawaybank.callers.bodies import BodyMemory
from carawaybank.callers.connections import CallerConnection
from carawaybank.callers.shedding import LoadShedder
from carawaybank.charging import Charging
from carawaybank.control import ControlHandler
from carawaybank.counters import Counters
from carawaybank.deployment import Deployment
from carawaybank.endpoints import Endpoints
from carawaybank.exposition import Exposition
from carawaybank.failures import FailureLog
from carawaybank.handler import RequestHandler
from carawaybank.inputs import loop_inputs
from carawaybank.journal import Journal
from carawaybank.loopdelay import EventLoopDelay
from carawaybank.maintenance import Maintenance
from carawaybank.memory import BreakOff, MemoryBudget
from carawaybank.operators.rows import OperatorRows
from carawaybank.pacing import PaceReports
from carawaybank.relays import Relays
from carawaybank.retryreports import RetryReports
from carawaybank.routing.router import Router
from carawaybank.routing.stopping import StopPlan
from carawaybank.routing.vmweights import capacity_weight
from carawaybank.rows import INITIAL_POSITION, Position, TableUpdate
from carawaybank.servers import Servers
from carawaybank.settingsfile import SettingsFile
from carawaybank.shutdown import Listeners, drain
from carawaybank.siblings import absences, registration, weights
from carawaybank.siblings.allotments import AllotmentExchange
from carawaybank.siblings.bootstrap import Bootstrap
from carawaybank.siblings.heartbeat import HeartbeatTask
from carawaybank.siblings.limits import LimitExchange
from carawaybank.siblings.lostvms import LostVms
from carawaybank.siblings.proofs import ConfigurationProofs
from carawaybank.siblings.registration import Registrations
from carawaybank.siblings.sources import TableSource
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.siblings.weights import OwnWeight, WeightRows
from carawaybank.stopsignal import StopSignal
from carawaybank.targets import crashes
from carawaybank.targets.checks import HealthChecks
from carawaybank.targets.crashes import CrashReports
from carawaybank.targets.registry import Registry
from carawaybank.targets.sender import TargetSender
from carawaybank.watch import RECOVERY_S, TableWatch

#: Seconds for which changes of targets and VMs are batched before the first request arrives.
_BATCH_DELAY_S = 0.5
#: Seconds after a restore of the store within which operators repeat the writes that it lost. On
#: the strictest deployment, all bounds hold again once the store has been stable for 3 s.
_REWRITE_TIME_S = 2.0
#: Fraction of the process memory that unfinished large responses of targets may use. Joining the
#: parts of a response briefly doubles its memory.
_RESPONSE_MEMORY_FRACTION = 0.125
#: Added to the name of a table for the position up to which a VM that lags has read it. Builds that
#: do not know it take it for a table that they do not follow.
_READ_SUFFIX = "/read"
#: Table with the registrations of VMs and the crash reports, followed by a single watch.
SHARED_TABLE = "carawaybank"


class Node:
    """An entry VM process: its components, background tasks and listeners."""

    def __init__(self, *, deployment: Deployment, adapter: Adapter, settings_path: Path) -> None:
        """Builds the components but starts none; ``settings_path`` is checked for changes."""
        self._deployment = deployment
        self._adapter = adapter
        self._journal = Journal(vm=deployment.vm)
        self._settings_file = SettingsFile(path=settings_path, journal=self._journal)
        self._counters = Counters()
        self._failures = FailureLog(counters=self._counters, journal=self._journal)
        self._rng = random.Random(f"{deployment.vm}.{time.time_ns()}")
        self._router = Router(
            options=deployment.router_options(), rng=self._rng, started_at=time.monotonic()
        )
        self._vms = VmDirectory(
            own=registration.own_record(deployment), own_size=capacity_weight(deployment.capacity)
        )
        self._tasks = BackgroundTasks(on_failure=self._failures.record_task, rng=self._rng)
        self._connections: set[CallerConnection] = set()
        self._backlog = ResponseBacklog(
            max_bytes=deployment.unread_memory_bytes,
            journal=self._journal,
            counters=self._counters,
        )
        self._bodies = BodyMemory(max_bytes=deployment.body_memory_bytes)
        self._memory = MemoryBudget(
            max_bytes=deployment.message_memory_bytes, on_break_off=self._record_break_off
        )
        self._memory.refresh = self._backlog.refresh
        self._counters.message_memory = lambda: self._memory.used_by_kind
        self._router.has_response_room = lambda: self._backlog.has_room and self._memory.has_room
        self._stopped = StopSignal()
        self._pacing = PaceReports(
            targets=self._router.targets, counters=self._counters, journal=self._journal
        )
        self._make_exchanges()
        self._make_request_path()
        self._make_tables()
        self._make_heartbeat()
        self._make_control()
        self._make_maintenance()

    def _make_maintenance(self) -> None:
        self._maintenance = Maintenance(
            connections=self._connections,
            sender=self._sender,
            relays=self._relays,
            allotments=self._allotments,
            pacing=self._pacing,
            retries=RetryReports(
                limits=self._router.retry_limits, counters=self._counters, journal=self._journal
            ),
            watches=self._watches,
            reload=self._reload,
            failures=self._failures,
            journal=self._journal,
        )

    def _make_exchanges(self) -> None:
        """Makes what agrees on limits and allotments with the other entry VMs."""
        self._limit_exchange = LimitExchange(
            limits=self._router.limits,
            vms=self._vms,
            send=self._send_datagram,
            counters=self._counters,
            journal=self._journal,
            on_ended=self._pacing.record_limit_end,
        )
        self._allotments = AllotmentExchange(
            vms=self._vms,
            bounds=self._deployment.allotment_bounds(),
            configuration=lambda: self._router.configuration,
            send=self._send_datagram,
            counters=self._counters,
            journal=self._journal,
            rng=self._rng,
        )

    def _make_heartbeat(self) -> None:
        self._heartbeat = HeartbeatTask(
            vms=self._vms,
            positions=self._positions,
            on_change=self._registrations.record_change,
            on_positions=self._record_sibling_positions,
            on_sent=self._end_heartbeat_round,
            on_report=self._receive_report,
        )
        self._own_weight = OwnWeight(
            weights=self._vms.weights,
            capacity=self._deployment.capacity,
            on_change=self._heartbeat.send,
            counters=self._counters,
            journal=self._journal,
        )

    def _make_request_path(self) -> None:
        dialect = self._adapter.dialect
        max_buffered_bytes = int(self._deployment.memory_mb * 1_000_000 * _RESPONSE_MEMORY_FRACTION)
        self._sender = TargetSender(dialect=dialect, max_buffered_bytes=max_buffered_bytes)
        self._relays = Relays(
            deployment=self._deployment,
            router=self._router,
            vms=self._vms,
            sender=self._sender,
            send_datagram=self._send_datagram,
            on_change=self._announce_paths,
            counters=self._counters,
            journal=self._journal,
            rng=self._rng,
        )
        self._handler = RequestHandler(
            router=self._router,
            sender=self._sender,
            relays=self._relays.client,
            charging=Charging(router=self._router, allotments=self._allotments),
            dialect=dialect,
            journal=self._journal,
            counters=self._counters,
            on_attempt=self._limit_exchange.publish,
        )
        self._shedder = LoadShedder(
            dialect=dialect,
            limits=lambda: self._handler.limits,
            counters=self._counters,
            journal=self._journal,
            rng=self._rng,
        )
        self._crashes = CrashReports(
            router=self._router,
            store=self._adapter.store,
            table=SHARED_TABLE,
            journal=self._journal,
        )
        self._checks = HealthChecks(
            router=self._router,
            dialect=dialect,
            paths=self._relays.paths,
            journal=self._journal,
            on_crash=self._crashes.report,
        )

    def _make_tables(self) -> None:
        adapter = self._adapter
        self._operator_rows = OperatorRows(
            router=self._router,
            read_row=adapter.read_operator_row,
            regions=frozenset(self._deployment.regions.values()),
            counters=self._counters,
            journal=self._journal,
        )
        self._registry = Registry(
            router=self._router,
            read_target=adapter.read_target,
            expiry_grace_s=self._deployment.lapse_grace_s,
            counters=self._counters,
            journal=self._journal,
        )
        self._registrations = Registrations(
            vms=self._vms,
            router=self._router,
            store=adapter.store,
            table=SHARED_TABLE,
            journal=self._journal,
            rng=self._rng,
        )
        self._lost_vms = LostVms(
            vms=self._vms,
            versions=self._registrations.versions,
            store=adapter.store,
            table=SHARED_TABLE,
            needs_reads=lambda: self._allotments.is_contending,
            counters=self._counters,
            journal=self._journal,
            rng=self._rng,
        )
        self._weight_rows = WeightRows(weights=self._vms.weights, journal=self._journal)
        self._source = TableSource(
            vms=self._vms, store=adapter.store, journal=self._journal, rng=self._rng
        )
        self._shared_watch = self._watch(
            SHARED_TABLE, self._on_shared_rows, batch_delay_s=self._batch_delay_s
        )
        self._watches = [
            self._watch(adapter.operator_table, self._on_operator_rows, recovery_s=_REWRITE_TIME_S),
            self._watch(adapter.targets_table, self._on_targets, batch_delay_s=self._batch_delay_s),
            self._shared_watch,
        ]
        self._bootstrap = Bootstrap(
            watches=self._watches,
            departures=self._router.targets.departures,
            seeds=self._deployment.seeds,
            own_address=self._deployment.control_address,
            journal=self._journal,
        )
        self._loop_delay = EventLoopDelay(now=time.monotonic())

    def _make_control(self) -> None:
        self._metrics = Exposition(
            vm=self._deployment.vm,
            counters=self._counters,
            on_failure=self._failures.record_missing_metrics,
        )
        self._endpoints = Endpoints(
            adapter=self._adapter,
            router=self._router,
            vms=self._vms,
            counters=self._counters,
            metrics=self._metrics,
            is_ready=lambda: self._handler.is_ready and self._registry.is_loaded,
            has_read_vms=lambda: self._shared_watch.is_loaded,
        )
        limit = self._router.identification.revocation
        self._proofs = ConfigurationProofs(
            watch=self._watches[0], source=self._source, limit=limit, journal=self._journal
        )
        self._control = ControlHandler(
            router=self._router,
            vms=self._vms,
            watches=self._watches,
            bootstrap=self._bootstrap,
            connections=self._connections,
            proofs=self._proofs,
            tasks=self._tasks,
        )
        self._servers = Servers(
            deployment=lambda: self._deployment,
            handler=self._handler,
            relays=self._relays,
            endpoints=self._endpoints,
            control=self._control,
            heartbeat=self._heartbeat,
            shedder=self._shedder,
            backlog=self._backlog,
            bodies=self._bodies,
            connections=self._connections,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then finishes the requests in progress.

        Raises:
            ListenError: If an address to listen on stays in use.
        """
        loop = asyncio.get_running_loop()
        loop_inputs().memory = self._memory
        # By default, errors go to standard error, which blocks the loop while nobody reads it.
        loop.set_exception_handler(self._failures.record_callback)
        self._stopped.install()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._journal.log("daemon", "started", **self._deployment._asdict())
        listeners = await self._listen_unless_stopped()
        if listeners is None:
            return
        for run in self._background_functions():
            self._tasks.start(run)
        await self._stopped.wait()
        await self._stop(listeners)
        self._tasks.cancel()

    def _background_functions(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what runs in the background; each can be run again after a failure."""
        return [
            *(watch.run for watch in self._watches),
            self._registrations.register,
            self._lost_vms.run,
            self._lost_vms.run_reads,
            self._heartbeat.run,
            self._checks.run,
            self._maintenance.run,
            self._bootstrap.run,
            self._proofs.run,
            *self._relays.background_functions(),
            *self._own_weight.background_functions(),
            self._metrics.load_on_demand,
            self._servers.listen_for_scrapes,
            self._allotments.run,
            self._loop_delay.run,
        ]

    async def _listen_unless_stopped(self) -> Listeners | None:
        """Returns the listeners, or None if a signal stops the process while it waits for them."""
        listening = asyncio.create_task(self._servers.listen())
        stopped = asyncio.create_task(self._stopped.wait())
        await asyncio.wait([listening, stopped], return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if listening.done():
            return listening.result()
        listening.cancel()
        return None

    def _watch(
        self,
        table: str,
        on_update: Callable[[TableUpdate], None],
        *,
        batch_delay_s: Callable[[], float] = lambda: 0.0,
        recovery_s: float = RECOVERY_S,
    ) -> TableWatch:
        return TableWatch(
            selector=self._source,
            table=table,
            on_update=on_update,
            journal=self._journal,
            batch_delay_s=batch_delay_s,
            recovery_s=recovery_s,
            on_set_aside=self._counters.count_rejected_row,
        )

    def _batch_delay_s(self) -> float:
        """Returns the seconds for which changes are batched; 0 once requests were routed.

        A cold target may be sent only a limited number of requests, so a change that makes a target
        cold must be applied at once.
        """
        return 0.0 if self._router.targets.has_routed_requests else _BATCH_DELAY_S

    def _positions(self) -> dict[str, Position]:
        """Returns the newest known position of each table, and the one read where it is older."""
        positions = {watch.table: watch.newest_known_position for watch in self._watches}
        for watch in self._watches:
            if watch.newest_read_position < positions[watch.table]:
                positions[watch.table + _READ_SUFFIX] = watch.newest_read_position
        return positions

    def _record_sibling_positions(self, positions: dict[str, Position], vm: str) -> None:
        for watch in self._watches:
            position = positions.get(watch.table, INITIAL_POSITION)
            has_read = watch.table + _READ_SUFFIX not in positions
            is_newer = watch.record_sibling_position(position, vm=vm if has_read else "")
            if is_newer and watch.is_lagging and watch.table == self._adapter.operator_table:
                # The readers of this failure domain may have lost their connection to the store, so
                # the position is sent to its other VMs as well.
                self._heartbeat.send_early(include_remote=False)

    def _receive_report(self, data: bytes) -> None:
        if self._allotments.receive(data):
            return
        self._limit_exchange.receive(data)
        self._relays.receive(data)

    def _announce_paths(self) -> None:
        self._heartbeat.send()

    def _send_datagram(self, data: bytes, records: Sequence[VmRecord]) -> None:
        self._heartbeat.send_datagram(data, records)

    def _end_heartbeat_round(self) -> None:
        self._limit_exchange.repeat()
        self._registrations.update_cut_off()
        for watch in self._watches:
            watch.recheck_reader()

    def _on_operator_rows(self, update: TableUpdate) -> None:
        self._operator_rows.apply(update)
        self._heartbeat.send_early(include_remote=True)
        self._check_loaded()

    def _on_targets(self, update: TableUpdate) -> None:
        self._registry.apply(update)
        self._check_loaded()

    def _on_shared_rows(self, update: TableUpdate) -> None:
        self._weight_rows.apply(update.with_prefix(weights.KEY_PREFIX))
        self._registrations.apply(update.with_prefix(registration.KEY_PREFIX))
        self._lost_vms.apply(update.with_prefix(absences.KEY_PREFIX))
        self._crashes.apply(update.with_prefix(crashes.KEY_PREFIX))
        if update.is_full:
            self._allotments.start()

    def _check_loaded(self) -> None:
        if self._registry.is_loaded and self._router.configuration is not None:
            self._handler.record_configured()

    async def _stop(self, listeners: Listeners) -> None:
        """Stops within the stop time of the settings.

        The VM is first removed from look-up responses, and then serves until callers have switched.
        """
        started_at = self._stopped.received_at
        waited_for = len(self._router.requests)
        signal_delay_s = self._loop_delay.delay_s(now=started_at)
        self._journal.log(
            "daemon",
            "stopping",
            connections=len(self._connections),
            requests=waited_for,
            signal_delay_s=round(signal_delay_s, 2),
            handled_after_s=round(asyncio.get_running_loop().time() - started_at, 2),
        )
        plan = StopPlan(
            started_at=started_at,
            stop_within_s=self._deployment.stop_within_s,
            max_signal_delay_s=signal_delay_s,
        )
        self._router.stop_plan = plan
        self._handler.is_stopping = True
        # What is in progress is finished also if siblings cannot be told.
        self._failures.run_steps(self._vms.stop, self._allotments.stop, self._heartbeat.send_final)
        deregistration = asyncio.create_task(self._registrations.deregister())
        result = await drain(
            plan,
            listeners=listeners,
            connections=lambda: (*self._connections, *self._relays.connections),
            is_idle=lambda: self._router.is_idle,
            give_up=functools.partial(self._give_up, started_at),
            is_overloaded=self._shedder.is_overloaded,
        )
        deregistration.cancel()
        self._journal.log(
            "daemon",
            "stopped",
            after_s=round(asyncio.get_running_loop().time() - started_at, 2),
            told_to_close=self._servers.told_to_close_count,
            closed=result.closed,
            refused=result.refused + plan.refused_count,
            waited_for=waited_for,
            given_up=result.given_up,
            cut=result.cut,
            queued=result.queued,
            late_s=round(result.late_s, 2),
        )

    def _give_up(self, stopping_since: float, *, is_final: bool) -> int:
        """Ends attempts in progress, and returns their number.

        Args:
            stopping_since: Time of the stop signal in monotonic seconds.
            is_final: Whether attempts of which a part of the response has arrived are ended too.
        """
        requests = {progress.request.key: progress for progress in self._router.requests}
        interrupted = self._sender.give_up(is_final=is_final)
        for attempt in interrupted:
            progress = requests.get(attempt.key)
            if progress is not None:
                self._journal.log(
                    "request",
                    "given up",
                    id=progress.request.request_id,
                    target=progress.last_target_id,
                    arrived_s=round(progress.arrived_at - stopping_since, 3),
                    sent_s=round(progress.sent_at - stopping_since, 3),
                    expected_ms=progress.choice and round(progress.choice.expected_s * 1000),
                    has_response=attempt.has_response,
                )
        return len(interrupted) + self._relays.client.give_up(is_final=is_final)

    def _record_break_off(self, broken: BreakOff) -> None:
        self._counters.count_break_off(broken.kind)
        self._journal.log(
            "memory",
            "message broken off",
            **broken._asdict(),
            used=self._memory.used_by_kind,
            max_bytes=self._memory.max_bytes,
        )

    def _reload(self) -> None:
        """Applies changed settings, on SIGHUP and periodically (in case no signal was sent)."""
        changed = self._settings_file.load_if_changed()
        if changed is None or changed == self._deployment:
            return
        deployment = self._deployment.keep_startup_settings(changed)
        self._journal.log(
            "daemon", "settings changed", whole=deployment == changed, **deployment._asdict()
        )
        self._deployment = deployment
        self._router.update_options(deployment.router_options())
        self._allotments.update_bounds(deployment.allotment_bounds())
