"""The daemon of an entry VM.

Usage:
  carawaybankd --settings FILE
  carawaybankd --check --settings FILE
  carawaybankd (-h | --help)
  carawaybankd --version

Options:
  --settings FILE  Settings in TOML.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes:
  0  stopped as planned, or the settings are right
  1  failed
  2  the settings or arguments are wrong
"""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

from docopt import docopt

import carawaybank
from carawaybank import logs, streams
from carawaybank.background import BackgroundTasks, TaskFailure
from carawaybank.callers import sweeps
from carawaybank.callers.app import CallersApp
from carawaybank.callers.connections import CallerConnection
from carawaybank.callers.forwarding import Forwarder
from carawaybank.callers.listeners import Listener
from carawaybank.counters import Counters
from carawaybank.exceptions import DocumentError, ListenError
from carawaybank.exposition import Exposition
from carawaybank.host import Host
from carawaybank.inputs import loop_inputs
from carawaybank.memory import BreakOff, MemoryBudget, budget_bytes
from carawaybank.operators.app import OperatorsApp
from carawaybank.operators.status import StatusReports
from carawaybank.settings import Settings, load
from carawaybank.siblings.app import SiblingsApp
from carawaybank.siblings.client import SiblingClient
from carawaybank.siblings.tasks import SiblingTask
from carawaybank.start import handle_signals, reset_signals
from carawaybank.storage import HttpObjectStore, HttpTable, HttpVmList, Platform
from carawaybank.storage.clients import PlatformClient
from carawaybank.storage.poller import PlatformPoller
from carawaybank.storage.tickets import TicketStore
from carawaybank.targets.client import TargetClient
from carawaybank.targets.tasks import ProbeTask
from carawaybank.transport import Transport
from carawaybank.web import Router, serve

#: Maximum number of concurrent requests that siblings relay through this entry VM.
_MAX_RELAYS = 40
#: Minimum body limit of the control address, on which siblings also exchange their records.
_MIN_CONTROL_BODY_BYTES = 8 * 1024 * 1024
#: Megabytes of memory that operators give a daemon.
_MEMORY_MB = 256.0
#: Seconds between checks of idle and slow connections.
_MAINTENANCE_INTERVAL_S = 0.5
_JOIN_LIMIT_S = 1.2
_JOIN_POLL_S = 0.02
_DRAIN_MARGIN_S = 1.0
_DRAIN_LIMIT_S = 90.0


class Daemon:
    """Process of one entry VM: its HTTP servers, background tasks and decision core."""

    def __init__(self, *, settings: Settings, incarnation: int | None = None) -> None:
        """Creates all components without starting any.

        Must be called on the event loop that later runs the daemon.

        Args:
            settings: Validated settings.
            incarnation: Number of this process start, higher than that of earlier starts; by
                default the wall-clock time in milliseconds.
        """
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._log = logs.get_logger("daemon")
        start = incarnation or int(time.time() * 1000)
        seed = random.SystemRandom().getrandbits(64)
        self.host = Host(settings=settings, incarnation=start, seed=seed)
        self._counters = Counters()
        self._metrics = Exposition(
            vm=settings.vm,
            counters=self._counters,
            otlp_endpoint=settings.otlp_endpoint,
            on_failure=lambda error: self._log.error("Metrics are not loaded: {!r}", error),
        )
        self._transport = Transport(
            connect_timeout_s=settings.connect_timeout_s, max_body_bytes=settings.max_body_bytes
        )
        self._siblings = SiblingClient(
            transport=self._transport, counters=self._counters, loop=self._loop
        )
        self._sibling_task = SiblingTask(host=self.host, client=self._siblings, settings=settings)
        targets = TargetClient(transport=self._transport)
        self._forwarder = Forwarder(
            host=self.host,
            targets=targets,
            siblings=self._siblings,
            crash_reporter=self._sibling_task,
            counters=self._counters,
        )
        self._probe_task = ProbeTask(
            host=self.host, client=targets, interval_s=settings.probe_interval_s
        )
        self._stopping = asyncio.Event()
        self._connections: set[CallerConnection] = set()
        self._build_platform()
        self._build_routers()

    def _bound_memory(self) -> None:
        memory = MemoryBudget(
            max_bytes=budget_bytes(_MEMORY_MB), on_break_off=self._record_break_off
        )
        loop_inputs().memory = memory
        self._counters.message_memory = lambda: memory.used_by_kind

    def _record_break_off(self, broken: BreakOff) -> None:
        self._counters.count_break_off(broken.kind)
        self._log.warning(
            "Out of memory for messages; broke off {} bytes of {}", broken.size, broken.peer
        )

    async def run(self) -> None:
        """Serves requests until :meth:`stop` is called and the daemon has drained.

        Raises:
            ListenError: If an address is already in use; nothing has been started then.
        """
        self._log.info("Starting with process id {}", os.getpid())
        self._bound_memory()
        servers = await self._listen()
        self._sibling_task.start()
        self._platform_poller.start()
        await self._join()
        tasks = BackgroundTasks(on_failure=self._record_failure)
        for run in (self._probe_task.run, self._run_maintenance, self._metrics.load_on_demand):
            tasks.start(run)
        settings = self._settings
        self._log.info(
            "Serving callers on {} with ticket {}", settings.callers_address, self._ticket_number()
        )
        await self._stopping.wait()
        await self._drain(servers)
        tasks.cancel()

    def stop(self) -> None:
        """Starts draining before the daemon stops; may be called from any thread."""
        self._loop.call_soon_threadsafe(self._stopping.set)

    @property
    def _is_idle(self) -> bool:
        """Whether no request is in progress, and none waits to be read on a connection."""
        return not self._forwarder.in_flight and all(
            connection.is_idle and not connection.has_unread_bytes
            for connection in self._connections
        )

    def _record_failure(self, failure: TaskFailure) -> None:
        self._counters.count_task_failure(failure.task)
        self._log.opt(exception=failure.error).error(
            "{}; runs again in {:.2f} s, {} in a row",
            failure.reason,
            failure.pause_s,
            failure.failure_count,
        )

    def _build_platform(self) -> None:
        settings = self._settings
        client = PlatformClient(url=settings.platform_url, timeout_s=settings.platform_timeout_s)
        table, objects = HttpTable(client=client), HttpObjectStore(client=client)
        self._tickets = TicketStore(table=table, objects=objects)
        self._platform_poller = PlatformPoller(
            host=self.host,
            platform=Platform(table, objects, HttpVmList(client=client)),
            add_contact=self._sibling_task.add_contact,
            poll_s=settings.platform_poll_s,
            rng=random.Random(self.host.membership.own.incarnation),
        )

    def _build_routers(self) -> None:
        self._callers_router, self._control_router = Router(), Router()
        self._callers = CallersApp(
            host=self.host,
            forwarder=self._forwarder,
            counters=self._counters,
            settings=self._settings,
        )
        self._callers.mount(self._callers_router)
        siblings = SiblingsApp(
            host=self.host,
            forwarder=self._forwarder,
            callers=self._callers,
            max_relays=_MAX_RELAYS,
        )
        siblings.mount(self._control_router)
        operators = OperatorsApp(
            host=self.host,
            status_reports=StatusReports(host=self.host, client=self._siblings),
            tickets=self._tickets,
            poller=self._platform_poller,
            metrics=self._metrics,
            stop=self.stop,
        )
        operators.mount(self._control_router)

    async def _listen(self) -> tuple[Listener, Listener]:
        """Binds both addresses before any task starts.

        If one of them is in use, the daemon fails at this point. A daemon that serves only one
        address would be mistaken for a working entry VM.
        """
        settings = self._settings
        control = await serve(
            settings.control_address,
            self._control_router,
            max_body_bytes=max(settings.max_body_bytes, _MIN_CONTROL_BODY_BYTES),
            connections=self._connections,
        )
        callers = await serve(
            settings.callers_address,
            self._callers_router,
            max_body_bytes=settings.max_body_bytes,
            connections=self._connections,
            is_closing=lambda: self._callers.stopping,
        )
        return control, callers

    async def _join(self) -> None:
        """Joins once the platform was read and the contacts tried, or after the join limit."""
        deadline = time.monotonic() + _JOIN_LIMIT_S
        while time.monotonic() < deadline and not self._stopping.is_set():
            if self._platform_poller.first_read_done and self._sibling_task.all_contacts_tried:
                break
            await asyncio.sleep(_JOIN_POLL_S)
        self.host.join()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._counters.configuration_version = self._ticket_number()
            self._transport.close_idle()
            sweeps.check_timeouts(self._connections, now=self._loop.time())
            if self.host.membership.is_declared_dead and not self._stopping.is_set():
                self._log.error("Siblings hold this process for dead. Stopping")
                self.stop()

    async def _drain(self, servers: tuple[Listener, Listener]) -> None:
        """Announces the departure, waits for requests in flight and closes all connections.

        Callers may use a look-up response for ``entries_ttl_s``, so requests are served for at
        least that long. Requests still running after the drain limit are cut off.
        """
        self._log.info("Draining with {} requests in flight", self._forwarder.in_flight)
        self.host.announce_departure()
        self._callers.stopping = True
        ttl_s = self._settings.entries_ttl_s
        earliest_end = time.monotonic() + ttl_s + _DRAIN_MARGIN_S
        drain_deadline = time.monotonic() + _DRAIN_LIMIT_S
        while time.monotonic() < drain_deadline:
            if time.monotonic() >= earliest_end and self._forwarder.in_flight == 0:
                break
            await asyncio.sleep(0.05)
        while True:
            for server in servers:
                await server.stop()
            is_over = self._is_idle and not any(server.sockets for server in servers)
            if is_over or time.monotonic() >= drain_deadline:
                break
            await asyncio.sleep(0.05)
        # Requests that were read during the deregistration would be cut off.
        sweeps.visit(self._connections, CallerConnection.close)
        self._log.info("Stopped. {} requests cut off", self._forwarder.in_flight)
        self._platform_poller.stop()
        await asyncio.to_thread(self._platform_poller.deregister)
        self._sibling_task.stop()

    def _ticket_number(self) -> int:
        return self.host.state.number


def main() -> None:
    """Parses the command line, then checks the settings or runs the daemon."""
    handle_signals()
    streams.open_missing()
    arguments = docopt(__doc__, version=carawaybank.__version__)
    if arguments["--check"]:
        reset_signals()
    try:
        settings = load(Path(arguments["--settings"]))
    except DocumentError as error:
        sys.stderr.write(f"carawaybankd: {error}\n")
        sys.exit(2)
    if arguments["--check"]:
        print(f"{arguments['--settings']}: right")
        return
    logs.configure(level=settings.log_level, as_json=settings.log_json)
    try:
        asyncio.run(_serve(settings))
    except ListenError as error:
        sys.stderr.write(f"carawaybankd: {error}\n")
        sys.exit(1)


async def _serve(settings: Settings) -> None:
    daemon = Daemon(settings=settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, daemon.stop)
    await daemon.run()


if __name__ == "__main__":
    main()
