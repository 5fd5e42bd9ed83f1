"""HTTP handlers for siblings: exchanges, snapshots, and relayed or bound requests."""

from carawaybank import documents, headers
from carawaybank.callers.app import CallersApp, not_ready_verdict, overloaded_verdict, split_service
from carawaybank.callers.forwarding import Forwarder
from carawaybank.exceptions import DocumentError
from carawaybank.host import Host
from carawaybank.siblings.client import (
    BOUND_PREFIX,
    EXCHANGE_PATH,
    RELAY_PREFIX,
    SNAPSHOT_PATH,
)
from carawaybank.steering.exchange import Exchange
from carawaybank.web import (
    BadRequestError,
    ConcurrencyLimit,
    Router,
    WebRequest,
    WebResponse,
    json_response,
    verdict_response,
)


class SiblingsApp:
    """Handles the requests of other entry VMs."""

    def __init__(
        self, *, host: Host, forwarder: Forwarder, callers: CallersApp, max_relays: int
    ) -> None:
        """Creates the handlers; ``mount`` adds them to a router.

        Args:
            host: Processes exchanges and holds the state.
            forwarder: Forwards requests to targets.
            callers: Parses the requests that siblings forward.
            max_relays: Maximum number of concurrent relayed and bound requests.
        """
        self._limit = ConcurrencyLimit(max_running=max_relays)
        self._host = host
        self._forwarder = forwarder
        self._callers = callers

    def mount(self, router: Router) -> None:
        """Adds the routes of the handlers to a router."""
        router.mount(EXCHANGE_PATH, self.exchange, methods=("POST",))
        router.mount(SNAPSHOT_PATH, self.snapshot)
        router.mount_prefix(RELAY_PREFIX, self.relay)
        router.mount_prefix(BOUND_PREFIX, self.handle_bound)

    def exchange(self, request: WebRequest) -> WebResponse:
        """Processes an exchange and responds with the exchange of this entry VM.

        Raises:
            BadRequestError: If the body is not a valid exchange.
        """
        try:
            message = documents.decode_json(request.body, Exchange, source=request.peer)
        except DocumentError as error:
            raise BadRequestError(detail=str(error)) from None
        return json_response(self._host.handle_exchange(message))

    def snapshot(self, _: WebRequest) -> WebResponse:
        """Responds with the state in force."""
        return json_response(self._host.ticket_log.state)

    async def relay(self, request: WebRequest) -> WebResponse:
        """Forwards a request to a target that this entry VM owns.

        The response names the targets that were tried and the free slots of the service.
        """
        service, path = split_service(request, RELAY_PREFIX)
        info, target_request = self._callers.read_request(request, service, path)
        if not self._host.is_ready:
            return verdict_response(not_ready_verdict(), request_id=info.request_id)
        tried = tuple(filter(None, request.headers.get(headers.TRIED.lower(), "").split(",")))
        result = await self._limit.run(
            lambda: self._forwarder.run(info, target_request, relayed=True, tried=tried)
        )
        if result is None:
            return verdict_response(overloaded_verdict(), request_id=info.request_id)
        response = verdict_response(result.verdict, request_id=info.request_id)
        relay_headers = (
            (headers.TRIED, ",".join(result.tried)),
            (headers.FREE, str(self._host.free_slots(service))),
        )
        return response._replace(headers=(*response.headers, *relay_headers))

    async def handle_bound(self, request: WebRequest) -> WebResponse:
        """Forwards a request whose id is bound to this entry VM, on behalf of a sibling."""
        service, path = split_service(request, BOUND_PREFIX)
        info, target_request = self._callers.read_request(request, service, path)
        if not self._host.is_ready:
            verdict = self._host.refuse(info, not_ready_verdict())
            return verdict_response(verdict, request_id=info.request_id)
        result = await self._limit.run(
            lambda: self._forwarder.run(info, target_request, forwarded=True)
        )
        verdict = result.verdict if result else self._host.refuse(info, overloaded_verdict())
        return verdict_response(verdict, request_id=info.request_id)
