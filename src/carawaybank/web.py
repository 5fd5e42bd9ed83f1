"""HTTP server: request and response types, routing by path, and JSON and verdict responses."""

import asyncio
import inspect
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from carawaybank import documents, headers
from carawaybank.callers.connections import CallerConnection, ConnectionContext
from carawaybank.callers.listeners import Listener, listen
from carawaybank.callers.requests import CallerRequest
from carawaybank.counters import verdict_name
from carawaybank.replies import HttpReply
from carawaybank.routing.configuration import Limits
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_T = TypeVar("_T")

_MAX_HEADER_BYTES = 16_384
#: Maximum time in seconds to receive the head of a request, and between requests on a connection.
_HEADER_TIMEOUT_S = 5.0
_IDLE_TIMEOUT_S = 5.0
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNBOUND_REQUEST_ID: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TICKET_REFUSED: 422,
    Reason.TICKET_RACE_LOST: 409,
    Reason.STILL_RUNNING: 409,
    Reason.QUARANTINED: 422,
}
_NOT_RUN_STATUS = 503
_MAY_HAVE_RUN_STATUS = 504


class WebRequest(NamedTuple):
    """A request that a server received.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
        body: Complete body.
        peer: IP address of the sender.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer: str


class WebResponse(NamedTuple):
    """A response to send.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class BadRequestError(Exception):
    """The request is invalid and was rejected without any effect."""

    def __init__(self, *, detail: str, status: int = 400) -> None:
        """Creates an error that is sent as an HTTP response.

        Args:
            detail: Description of the fault for the caller.
            status: HTTP status of the response.
        """
        super().__init__(detail)
        self.detail = detail
        self.status = status


Handler = Callable[[WebRequest], WebResponse | Awaitable[WebResponse]]


class ConcurrencyLimit:
    """Limits concurrent work; further work is refused at once instead of being queued.

    Usage::

        >>> async def work():
        ...     return "done"
        >>> asyncio.run(ConcurrencyLimit(max_running=1).run(work))
        'done'
        >>> asyncio.run(ConcurrencyLimit(max_running=0).run(work)) is None
        True
    """

    def __init__(self, *, max_running: int) -> None:
        """Creates a limit with no work running.

        Args:
            max_running: Maximum number of concurrent calls of :meth:`run`.
        """
        self._max_running = max_running
        self._running = 0

    async def run(self, work: Callable[[], Awaitable[_T]]) -> _T | None:
        """Runs the work and returns its result, or None if the limit is reached.

        The work continues if the caller disconnects, because its outcome is stored under the id of
        the request.
        """
        if self._running >= self._max_running:
            return None
        self._running += 1
        task = asyncio.ensure_future(work())
        task.add_done_callback(self._release)
        return await asyncio.shield(task)

    def _release(self, _: "asyncio.Future[_T]") -> None:
        self._running -= 1


class Router:
    """Selects the handler of a request by method and path, or by path prefix."""

    def __init__(self) -> None:
        """Creates a router without routes."""
        self._routes: dict[str, tuple[frozenset[str], Handler]] = {}
        self._prefixes: list[tuple[str, Handler]] = []

    def mount(self, path: str, handler: Handler, *, methods: Iterable[str] = ("GET",)) -> None:
        """Registers the handler of a path; other methods than these get status 405."""
        self._routes[path] = (frozenset(methods), handler)

    def mount_prefix(self, prefix: str, handler: Handler) -> None:
        """Registers the handler of all paths with a prefix, for all methods."""
        self._prefixes.append((prefix, handler))

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the handler's response to a request, or an error response if it is invalid."""
        try:
            response = await self._dispatch(request)
        except BadRequestError as error:
            verdict = NotRun(Reason.BAD_REQUEST, 0.0, error.detail)
            response = verdict_response(verdict)._replace(status=error.status)
        return HttpReply(response.status, list(response.headers), response.body)

    async def _dispatch(self, request: CallerRequest) -> WebResponse:
        path, _, query = request.path.partition("?")
        web_request = WebRequest(
            request.method, path, query, dict(request.headers), request.body, request.peer
        )
        route = self._routes.get(path)
        if route is not None:
            if request.method not in route[0]:
                raise BadRequestError(detail=f"{path} takes {', '.join(route[0])}", status=405)
            return await _call(route[1], web_request)
        for prefix, handler in self._prefixes:
            if path.startswith(prefix):
                return await _call(handler, web_request)
        raise BadRequestError(detail=f"there is no {path}", status=404)


async def _call(handler: Handler, request: WebRequest) -> WebResponse:
    response = handler(request)
    return await response if inspect.isawaitable(response) else response


def run_in_thread(handler: Callable[[WebRequest], WebResponse]) -> Handler:
    """Returns a handler that runs the given one in a thread.

    For handlers that block while they wait for the platform or for siblings.
    """

    async def handle(request: WebRequest) -> WebResponse:
        return await asyncio.to_thread(handler, request)

    return handle


async def serve(
    address: str,
    router: Router,
    *,
    max_body_bytes: int,
    connections: set[CallerConnection],
    is_closing: Callable[[], bool] = lambda: False,
) -> Listener:
    """Starts a server that passes requests to a router.

    Args:
        address: ``IP:PORT`` to listen on.
        router: Router of the requests.
        max_body_bytes: Maximum size of a request body.
        connections: Set that the server keeps up to date with its open connections.
        is_closing: Returns whether a connection closes after a response that leaves no request
            in its queue.

    Raises:
        ListenError: If the address is in use or not an address of this VM.
    """
    limits = Limits(_MAX_HEADER_BYTES, max_body_bytes, _HEADER_TIMEOUT_S, _IDLE_TIMEOUT_S)
    context = ConnectionContext(handle=router.handle, limits=lambda: limits, is_closing=is_closing)
    return await listen(address, lambda: CallerConnection(context=context, connections=connections))


def json_response(value: object, *, status: int = 200) -> WebResponse:
    """Returns a response with a JSON body."""
    body = documents.encode_json(value)
    return WebResponse(status, (("Content-Type", "application/json"),), body)


def verdict_response(verdict: Verdict, *, request_id: str = "") -> WebResponse:
    """Returns the HTTP response that reports a verdict to a caller or sibling.

    For :class:`Answered` this is the target's response with the verdict headers added; otherwise a
    JSON document describes the verdict.
    """
    verdict_headers = [(headers.VERDICT, verdict_name(verdict))]
    if request_id:
        verdict_headers.append((headers.REQUEST_ID, request_id))
    if isinstance(verdict, Answered):
        if verdict.target:
            verdict_headers.append((headers.TARGET, verdict.target))
        target_headers = [
            (n, v) for n, v in verdict.headers if not n.lower().startswith("carawaybank-")
        ]
        return WebResponse(verdict.status, (*target_headers, *verdict_headers), verdict.body)
    verdict_headers.append((headers.REASON, str(verdict.reason)))
    verdict_headers.append((headers.RETRY_AFTER_MS, str(int(verdict.retry_after_s * 1000))))
    if verdict.retry_after_s > 0:
        verdict_headers.append(("Retry-After", str(math.ceil(verdict.retry_after_s))))
    document = _verdict_document(verdict, request_id)
    response = json_response(document, status=_http_status(verdict))
    return response._replace(headers=(*response.headers, *verdict_headers))


def _verdict_document(verdict: NotRun | MayHaveRun, request_id: str) -> dict[str, object]:
    if isinstance(verdict, NotRun):
        advice = "The request did not run. It may be sent again after retry_after_s."
    else:
        advice = (
            f"The request may have run. Check with the service before sending it again; "
            f"quote {request_id or 'the request id'}."
        )
    return {
        "verdict": verdict_name(verdict),
        "reason": str(verdict.reason),
        "detail": verdict.detail,
        "request_id": request_id,
        "retry_after_s": round(verdict.retry_after_s, 3),
        "advice": advice,
    }


def _http_status(verdict: NotRun | MayHaveRun) -> int:
    default = _NOT_RUN_STATUS if isinstance(verdict, NotRun) else _MAY_HAVE_RUN_STATUS
    return _STATUS_BY_REASON.get(verdict.reason, default)
