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

import random
import signal
import sys
import threading
import time
from pathlib import Path

from cheroot.wsgi import Server
from docopt import docopt

import carawaybank
from carawaybank import logs
from carawaybank.callers.app import CallersApp
from carawaybank.callers.forwarding import Forwarder
from carawaybank.exceptions import DocumentError, ListenError
from carawaybank.host import Host
from carawaybank.metrics import Metrics
from carawaybank.operators.app import OperatorsApp
from carawaybank.operators.readback import ReadBack
from carawaybank.settings import Settings, load
from carawaybank.siblings.app import SiblingsApp
from carawaybank.siblings.client import SiblingClient
from carawaybank.siblings.tasks import SiblingTask
from carawaybank.storage import HttpObjectStore, HttpTable, HttpVmList, Platform
from carawaybank.storage.adapters import PlatformClient
from carawaybank.storage.tasks import PlatformTask
from carawaybank.storage.tickets import TicketStore
from carawaybank.targets.client import TargetClient
from carawaybank.targets.tasks import ProbeTask
from carawaybank.transport import ConnectionPool
from carawaybank.web import Router, make_server

_CONTROL_THREADS = 48
_THREADS_FOR_CONTROL = 8
_JOIN_LIMIT_S = 1.2
_JOIN_POLL_S = 0.02
_DRAIN_MARGIN_S = 1.0
_DRAIN_LIMIT_S = 90.0


class Daemon:
    """One entry VM's process: servers, tasks and the decision core between them."""

    def __init__(self, *, settings: Settings, incarnation: int | None = None) -> None:
        """Builds everything; nothing is started.

        Args:
            settings: Checked settings.
            incarnation: Process start; by default the wall-clock milliseconds.
        """
        self._settings = settings
        self._log = logs.part("daemon")
        start = incarnation or int(time.time() * 1000)
        seed = random.SystemRandom().getrandbits(64)
        self.host = Host(settings=settings, incarnation=start, seed=seed)
        self._metrics = Metrics(vm=settings.vm, otlp_endpoint=settings.otlp_endpoint)
        pool = ConnectionPool(
            connect_timeout_s=settings.connect_timeout_s, max_body_bytes=settings.max_body_bytes
        )
        self._siblings = SiblingClient(pool=pool, metrics=self._metrics)
        self._sibling_task = SiblingTask(host=self.host, client=self._siblings, settings=settings)
        targets = TargetClient(pool=pool)
        self._forwarder = Forwarder(
            host=self.host,
            targets=targets,
            siblings=self._siblings,
            announcer=self._sibling_task,
            metrics=self._metrics,
        )
        self._probe_task = ProbeTask(
            host=self.host, client=targets, interval_s=settings.probe_interval_s
        )
        self._stopping = threading.Event()
        self._build_platform()
        self._build_servers()

    def run(self) -> None:
        """Serves until a planned stop ends.

        Raises:
            ListenError: If an address to serve is in use; nothing was started then.
        """
        self._listen()
        self._serve(self._control_server, "control")
        self._sibling_task.start()
        self._platform_task.start()
        self._serve(self._callers_server, "callers")
        self._join()
        self._probe_task.start()
        own = self._settings
        self._log.info("Serving callers on {} with ticket {}", own.callers_address, self._ticket())
        while not self._stopping.wait(0.5):
            self._metrics.set_ticket(self._ticket())
            if self.host.membership.declared_dead:
                self._log.error("Siblings hold this process for dead. Stopping")
                self.stop()
        self._drain()

    def stop(self) -> None:
        """Begins a planned stop."""
        self._stopping.set()

    def _build_platform(self) -> None:
        settings = self._settings
        client = PlatformClient(url=settings.platform_url, timeout_s=settings.platform_timeout_s)
        table, objects = HttpTable(client=client), HttpObjectStore(client=client)
        self._tickets = TicketStore(table=table, objects=objects)
        self._platform_task = PlatformTask(
            host=self.host,
            platform=Platform(table, objects, HttpVmList(client=client)),
            add_contact=self._sibling_task.add_contact,
            poll_s=settings.platform_poll_s,
            rng=random.Random(self.host.membership.own.incarnation),
        )

    def _build_servers(self) -> None:
        settings = self._settings
        callers_router = Router(max_body_bytes=settings.max_body_bytes)
        control_router = Router(max_body_bytes=max(settings.max_body_bytes, 8 * 1024 * 1024))
        self._callers = CallersApp(
            host=self.host, forwarder=self._forwarder, metrics=self._metrics, settings=settings
        )
        self._callers.mount(callers_router)
        siblings = SiblingsApp(
            host=self.host,
            forwarder=self._forwarder,
            callers=self._callers,
            most_relays=_CONTROL_THREADS - _THREADS_FOR_CONTROL,
        )
        siblings.mount(control_router)
        operators = OperatorsApp(
            host=self.host,
            read_back=ReadBack(host=self.host, client=self._siblings),
            tickets=self._tickets,
            platform=self._platform_task,
            stop=self.stop,
        )
        operators.mount(control_router)
        self._callers_server = make_server(
            settings.callers_address, callers_router, threads=settings.threads
        )
        self._control_server = make_server(
            settings.control_address, control_router, threads=_CONTROL_THREADS
        )

    def _listen(self) -> None:
        """Takes both addresses before anything starts: half a daemon would be taken for a whole."""
        servers = (self._control_server, self._callers_server)
        for server in servers:
            try:
                server.prepare()
            except OSError as error:
                for prepared in servers:
                    prepared.stop()
                host, port = server.bind_addr
                raise ListenError(f"cannot listen on {host}:{port}: {error}") from error

    def _serve(self, server: Server, name: str) -> None:
        threading.Thread(target=server.serve, name=name, daemon=True).start()

    def _join(self) -> None:
        """Waits until siblings and platform were asked, or the join limit has passed."""
        deadline = time.monotonic() + _JOIN_LIMIT_S
        while time.monotonic() < deadline and not self._stopping.is_set():
            if self._platform_task.first_read_done and self._sibling_task.contacts_tried:
                break
            time.sleep(_JOIN_POLL_S)
        self.host.join()

    def _drain(self) -> None:
        """Stops without cutting off a request."""
        self._log.info("Leaving. {} requests in flight", self._forwarder.in_flight)
        self.host.leave()
        self._callers.stopping = True
        ttl_s = self._settings.entries_ttl_s
        quiet_from = time.monotonic() + ttl_s + _DRAIN_MARGIN_S
        limit = time.monotonic() + _DRAIN_LIMIT_S
        while time.monotonic() < limit:
            if time.monotonic() >= quiet_from and self._forwarder.in_flight == 0:
                break
            time.sleep(0.05)
        self._callers_server.stop()
        self._platform_task.stop()
        self._platform_task.unregister()
        self._sibling_task.stop()
        self._probe_task.stop()
        self._control_server.stop()
        self._log.info("Stopped. {} requests cut off", self._forwarder.in_flight)

    def _ticket(self) -> int:
        return self.host.state.number


def main() -> None:
    """Runs the daemon from the command line."""
    arguments = docopt(__doc__, version=carawaybank.__version__)
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
        daemon = Daemon(settings=settings)
    except OSError as error:
        sys.stderr.write(f"carawaybankd: {error}\n")
        sys.exit(1)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    try:
        daemon.run()
    except ListenError as error:
        sys.stderr.write(f"carawaybankd: {error}\n")
        sys.exit(1)


if __name__ == "__main__":
    main()
