"""The parts of an entry VM that keep it serving while it reaches no targets, connected."""

import asyncio
import random
import time
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any

from carawaybank.callers import sweeps
from carawaybank.callers.backlog import ResponseBacklog
from carawaybank.callers.bodies import BodyMemory
from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.congestion import CongestionWatch
from carawaybank.counters import Counters
from carawaybank.deployment import Deployment
from carawaybank.handler import RequestHandler
from carawaybank.journal import Journal
from carawaybank.pool import ClientPool
from carawaybank.routing.configuration import Limits
from carawaybank.routing.router import Router
from carawaybank.siblings.offers import OfferExchange
from carawaybank.siblings.relays import RelayClient, RelayServer
from carawaybank.siblings.vms import VmDirectory, VmRecord
from carawaybank.targets.paths import PathChecks
from carawaybank.targets.sender import TargetSender

#: Bytes by which a relay may exceed the body that it carries.
_ENVELOPE_BYTES = 1_000_000
#: Seconds after which a connection of a sibling is closed that carries no request.
_IDLE_TIMEOUT_S = 15.0
#: Seconds after which this VM uses its share in the limits of targets again. All siblings, which
#: used it meanwhile, have heard of its return by then, even if a heartbeat is lost.
_RETURN_DELAY_S = 3.0


class Relays:
    """Detects lost paths, asks siblings for help and gives it.

    Attributes:
        paths: Checks of the paths to targets.
        client: Passes requests on.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        router: Router,
        vms: VmDirectory,
        sender: TargetSender,
        send_datagram: Callable[[bytes, Sequence[VmRecord]], None],
        on_change: Callable[[], None],
        counters: Counters,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Connects the parts; :meth:`serve` adds the handler of requests.

        Args:
            deployment: Name and address of this VM.
            router: Holds the paths and the offers of siblings.
            vms: The known entry VMs.
            sender: Sends requests to targets.
            send_datagram: Sends a datagram to VMs.
            on_change: Called when this VM has lost the paths to all targets, or regained any.
            counters: Counts relays, and holds the times of losses.
            journal: Logs losses, returns and relays.
            rng: Source of random numbers.
        """
        self._router = router
        self._vms = vms
        self._counters = counters
        self._journal = journal
        self._on_change = on_change
        self._congestion = CongestionWatch()
        self._connections: set[CallerConnection] = set()
        self._server: RelayServer | None = None  # Set by ``serve``.
        self.paths = PathChecks(
            router=router,
            journal=journal,
            rng=rng,
            on_change=self._record_change,
            abort_attempts=sender.abort_idempotent,
        )
        self.client = self._make_client(deployment, sender)
        self._offers = self._make_offers(send_datagram)

    def _make_client(self, deployment: Deployment, sender: TargetSender) -> RelayClient:
        return RelayClient(
            vm=deployment.vm,
            ip=deployment.ip,
            helpers=self._router.helpers,
            journal=self._journal,
            budget=sender.budget,
        )

    def _make_offers(
        self, send_datagram: Callable[[bytes, Sequence[VmRecord]], None]
    ) -> OfferExchange:
        return OfferExchange(
            router=self._router,
            vms=self._vms,
            send=send_datagram,
            room=lambda: self._server.room if self._server else 0,
            on_question=self.paths.refresh,
            on_evidence=self.paths.apply_evidence,
            on_helper_lost=self.client.abort_idempotent,
            journal=self._journal,
        )

    @property
    def connections(self) -> Collection[CallerConnection]:
        """The open connections of siblings that pass requests on."""
        return self._connections

    @property
    def pool(self) -> ClientPool:
        """The pool of connections to siblings."""
        return self.client.pool

    def serve(
        self,
        handler: RequestHandler,
        *,
        backlog: ResponseBacklog | None = None,
        bodies: BodyMemory | None = None,
    ) -> Callable[[], CallerConnection]:
        """Returns a protocol factory for the connections of siblings.

        Args:
            handler: Makes the attempts that siblings ask for.
            backlog: Counts the responses that siblings read slowly; None to count none.
            bodies: Memory that the bodies of requests share; None for no limit.
        """
        self._server = RelayServer(
            requests=handler,
            vms=self._vms,
            is_accepting=lambda: handler.is_ready,
            is_congested=lambda: self._congestion.is_congested,
            counters=self._counters,
            journal=self._journal,
        )
        context = ConnectionContext(
            handle=self._server.handle,
            limits=lambda: _relay_limits(handler.limits),
            is_closing=lambda: handler.is_stopping,
            backlog=backlog,
            bodies=bodies,
        )
        return lambda: CallerConnection(context=context, connections=self._connections)

    def background_functions(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what runs in the background."""
        return [self.paths.run, self._offers.run, self._congestion.run]

    def receive(self, data: bytes) -> None:
        """Handles a datagram of a sibling that asks for help or offers it."""
        self._offers.receive(data)

    def check_timeouts(self, now: float) -> None:
        """Closes idle connections from and to siblings."""
        self.pool.close_idle()
        sweeps.check_timeouts(self._connections, now=now)

    def _record_change(self) -> None:
        now = asyncio.get_running_loop().time()
        lost = self._router.reachability.lost_services
        known = self._counters.paths_lost_at
        self._counters.paths_lost_at = {
            service: known.get(service, time.time()) for service in lost
        }
        was_cut_off = self._vms.is_cut_off(self._vms.own.vm, now=now)
        is_cut_off = bool(lost) and lost.issuperset(self._router.targets.services)
        if is_cut_off != was_cut_off:
            self._vms.set_cut_off(is_cut_off)
            self._router.limits.hold(float("inf") if is_cut_off else now + _RETURN_DELAY_S)
            self._on_change()


def _relay_limits(limits: Limits) -> Limits:
    return limits._replace(
        body_bytes=limits.body_bytes + limits.header_bytes + _ENVELOPE_BYTES,
        idle_timeout_s=_IDLE_TIMEOUT_S,
    )
