"""The endpoints of an entry VM besides requests: readiness, look-ups and metrics."""

import asyncio
import functools
import math
from collections.abc import Callable

from carawaybank import exposition
from carawaybank.adapters import Adapter
from carawaybank.callers.listeners import (
    AddressWait,
    Listener,
    connection_factory,
    listen,
    sync_connection_factory,
)
from carawaybank.callers.requests import CallerRequest
from carawaybank.counters import Counters
from carawaybank.deployment import Deployment
from carawaybank.exposition import Exposition
from carawaybank.journal import Journal
from carawaybank.replies import HttpReply
from carawaybank.routing.callerlists import SharedAddresses
from carawaybank.routing.router import Router
from carawaybank.siblings.vms import VmDirectory

#: Maximum time in seconds for which callers may cache the response to a look-up.
MAX_LOOKUP_TTL_S = 2.0
#: Maximum time in seconds that a look-up waits until the registrations were read after the start.
#: Callers wait for one second. A VM that knows no other VM would list only itself, and its callers
#: would drop their connections to all others.
MAX_READ_WAIT_S = 0.5
#: Seconds after the start in which look-ups wait. Without a store and siblings, a VM that serves
#: with what it has must not delay all look-ups.
STARTING_S = 3.0
_POLL_INTERVAL_S = 0.02


class Endpoints:
    """Responds to readiness checks, look-ups and scrapes of metrics."""

    def __init__(
        self,
        *,
        adapter: Adapter,
        router: Router,
        vms: VmDirectory,
        counters: Counters,
        metrics: Exposition,
        is_ready: Callable[[], bool],
        has_read_vms: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes the endpoints.

        Args:
            adapter: Decodes look-ups and encodes their responses.
            router: Knows the regions that may receive the requests of a host.
            vms: The known entry VMs.
            counters: Counts look-ups.
            metrics: Renders metrics.
            is_ready: Returns whether this VM serves requests.
            has_read_vms: Returns whether the registrations of VMs were read.
        """
        self._adapter = adapter
        self._router = router
        self._vms = vms
        self._counters = counters
        self._metrics = metrics
        self._is_ready = is_ready
        self._has_read_vms = has_read_vms
        self._shared_addresses = SharedAddresses()

    async def listen(
        self, deployment: Deployment, *, ttl_s: Callable[[], float], wait: AddressWait
    ) -> list[Listener]:
        """Starts to listen for readiness checks and look-ups.

        Args:
            deployment: The addresses.
            ttl_s: Returns the maximum seconds for which the response to a look-up may be cached.
            wait: Waits for addresses that are in use.

        Raises:
            ListenError: If an address stays in use.
        """
        starting_until = asyncio.get_running_loop().time() + STARTING_S

        async def handle_lookup(request: CallerRequest) -> HttpReply:
            await self._wait_until_read(starting_until)
            return self.handle_lookup(request, max_ttl_s=ttl_s())

        factories = {
            deployment.ready_address: sync_connection_factory(self.handle_ready),
            deployment.directory_address: connection_factory(handle_lookup),
        }
        return [
            await wait.run(functools.partial(listen, address, factory))
            for address, factory in factories.items()
        ]

    async def listen_for_scrapes(self, address: str, *, journal: Journal) -> Listener:
        """Starts to listen for scrapes of metrics, as soon as their address is free.

        Args:
            address: ``IP:PORT`` to listen on.
            journal: Logs the wait and its end.
        """
        wait = AddressWait(wait_s=math.inf, journal=journal)
        factory = sync_connection_factory(self.handle_metrics)
        return await wait.run(functools.partial(listen, address, factory))

    async def _wait_until_read(self, starting_until: float) -> None:
        loop = asyncio.get_running_loop()
        end = min(starting_until, loop.time() + MAX_READ_WAIT_S)
        while not self._has_read_vms() and loop.time() < end:
            await asyncio.sleep(_POLL_INTERVAL_S)

    def handle_ready(self, request: CallerRequest) -> HttpReply:
        """Responds to a readiness check.

        A VM that reaches no targets stays ready: it serves through siblings, and look-ups list it
        only where no other VM can serve.
        """
        return HttpReply(200 if self._is_ready() else 503, [("content-type", "text/plain")], b"")

    def handle_lookup(self, request: CallerRequest, *, max_ttl_s: float) -> HttpReply:
        """Responds to a look-up with the VMs that the caller should use.

        Callers that share an address get the same VMs as callers of unknown address: all nearby.

        Args:
            request: The look-up.
            max_ttl_s: Maximum time in seconds for which the response may be cached.
        """
        self._counters.count_lookup()
        lookup = self._adapter.read_lookup(request)
        now = asyncio.get_running_loop().time()
        ttl_s = min(MAX_LOOKUP_TTL_S, max_ttl_s)
        is_shared = self._shared_addresses.record(request.peer, lookup.host, ttl_s=ttl_s, now=now)
        records = self._vms.select_for_caller(
            lookup.failure_domain,
            lookup.region,
            now=now,
            allowed_regions=self._router.routes.allowed_regions(lookup.host),
            caller="" if is_shared else request.peer,
        )
        return self._adapter.lookup_reply(
            [record.callers_address for record in records], ttl_s=ttl_s
        )

    def handle_metrics(self, request: CallerRequest) -> HttpReply:
        """Responds to a scrape; 503 until the metrics libraries are loaded."""
        text = self._metrics.render()
        if text is None:
            return HttpReply(503, [], b"metrics are not loaded yet\n")
        return HttpReply(200, [("content-type", exposition.CONTENT_TYPE)], text)
