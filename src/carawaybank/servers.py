"""The addresses on which an entry VM listens."""

import asyncio
import functools
import socket
from collections.abc import Callable
from typing import Any

from carawaybank.callers.backlog import ResponseBacklog
from carawaybank.callers.bodies import BodyMemory
from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.callers.listeners import AddressWait, Listener, connection_factory, listen
from carawaybank.callers.shedding import LoadShedder
from carawaybank.control import ControlHandler
from carawaybank.deployment import Deployment
from carawaybank.endpoints import Endpoints
from carawaybank.exceptions import ListenError
from carawaybank.handler import RequestHandler
from carawaybank.journal import Journal
from carawaybank.relays import Relays
from carawaybank.shutdown import Listeners
from carawaybank.siblings.heartbeat import HeartbeatTask

#: Seconds beyond the stop time for which the start waits for addresses that are in use.
_ADDRESS_WAIT_MARGIN_S = 1.0


class Servers:
    """Listens for callers, siblings, look-ups, readiness checks, control and scrapes.

    Attributes:
        told_to_close_count: Connections of callers that closed because the VM stops.
    """

    def __init__(
        self,
        *,
        deployment: Callable[[], Deployment],
        handler: RequestHandler,
        relays: Relays,
        endpoints: Endpoints,
        control: ControlHandler,
        heartbeat: HeartbeatTask,
        shedder: LoadShedder,
        backlog: ResponseBacklog,
        bodies: BodyMemory,
        connections: set[CallerConnection],
        journal: Journal,
    ) -> None:
        """Stores the components; :meth:`listen` uses the addresses of the deployment.

        Args:
            deployment: Returns the settings in force.
            handler: Handles the requests of callers.
            relays: Handles the requests of siblings.
            endpoints: Responds to look-ups, readiness checks and scrapes.
            control: Handles requests to the control address.
            heartbeat: Handles datagrams of siblings.
            shedder: Refuses requests that the process cannot keep up with.
            backlog: Counts the responses that wait for slow callers.
            bodies: Memory that the bodies of requests share.
            connections: The open connections of callers.
            journal: Logs waits for addresses.
        """
        self._deployment = deployment
        self._handler = handler
        self._relays = relays
        self._endpoints = endpoints
        self._control = control
        self._heartbeat = heartbeat
        self._shedder = shedder
        self._backlog, self._bodies = backlog, bodies
        self._connections = connections
        self._journal = journal
        self._others: list[Listener] = []
        self.told_to_close_count = 0

    async def listen(self) -> Listeners:
        """Listens on all addresses that a VM needs to serve, on that of callers last.

        Raises:
            ListenError: If an address stays in use.
        """
        deployment = self._deployment()
        wait = AddressWait(
            wait_s=deployment.stop_within_s + _ADDRESS_WAIT_MARGIN_S, journal=self._journal
        )
        await wait.run(self._listen_for_datagrams)
        relays = self._relays.serve(self._handler, backlog=self._backlog, bodies=self._bodies)

        async def start(
            address: str, factory: Callable[[], CallerConnection], **options: Any
        ) -> Listener:
            return await wait.run(functools.partial(listen, address, factory, **options))

        self._others += await self._endpoints.listen(
            deployment, ttl_s=lambda: self._deployment().lookup_ttl_s, wait=wait
        )
        siblings = await start(f"{deployment.ip}:{deployment.sibling_port}", relays)
        if deployment.control_address:
            control = connection_factory(self._control.handle)
            self._others.append(await start(deployment.control_address, control))
        context = self._make_context()
        callers = await start(
            deployment.callers_address,
            lambda: CallerConnection(context=context, connections=self._connections),
            refuse=self._shedder.refuse_connection,
        )
        return Listeners(requests=(callers, siblings), others=self._others)

    async def listen_for_scrapes(self) -> None:
        """Listens for scrapes of metrics, which a VM does not need to serve."""
        deployment = self._deployment()
        address = f"{deployment.ip}:{deployment.metrics_port}"
        listener = await self._endpoints.listen_for_scrapes(address, journal=self._journal)
        self._others.append(listener)

    def _make_context(self) -> ConnectionContext:
        return ConnectionContext(
            handle=self._handler.handle,
            limits=lambda: self._handler.limits,
            is_closing=lambda: self._handler.is_stopping,
            backlog=self._backlog,
            on_told_to_close=self._count_told_to_close,
            bodies=self._bodies,
            shed=self._shedder.refuse,
        )

    def _count_told_to_close(self) -> None:
        self.told_to_close_count += 1

    async def _listen_for_datagrams(self) -> None:
        loop = asyncio.get_running_loop()
        deployment = self._deployment()
        address = (deployment.ip, deployment.sibling_port)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise ListenError(f"cannot listen on UDP {address}: {error}") from error
        await loop.create_datagram_endpoint(lambda: self._heartbeat, sock=sock)
        self._heartbeat.read_from(sock)
