"""HTTP serving: typed requests and responses, with a route for each path."""

import asyncio
import inspect
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from carawaybank import documents, headers
from carawaybank.callers.front import CallerConnection, Gate
from carawaybank.callers.listeners import listen
from carawaybank.callers.requests import CallerRequest
from carawaybank.counters import verdict_name
from carawaybank.replies import HttpReply
from carawaybank.routing.catalogue import Limits
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_T = TypeVar("_T")

_MAX_HEADER_BYTES = 16_384
#: Longest time in seconds for a request's head, and for a connection without a request.
_HEADER_TIMEOUT_S = 5.0
_IDLE_TIMEOUT_S = 5.0
_STATUS_OF_REASON = {
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
        query: Query text.
        headers: Headers by lower-case name.
        body: The whole body.
        peer: IP number of the sender.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer: str


class WebResponse(NamedTuple):
    """A response to send."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class BadRequestError(Exception):
    """The request cannot be understood; nothing of it was done."""

    def __init__(self, *, detail: str, status: int = 400) -> None:
        """Says what is wrong.

        Args:
            detail: A sentence for people.
            status: HTTP status.
        """
        super().__init__(detail)
        self.detail = detail
        self.status = status


Handler = Callable[[WebRequest], WebResponse | Awaitable[WebResponse]]


class ConcurrencyLimit:
    """Bounds the requests that wait for others, so that the rest is refused at once.

    Usage::

        >>> async def work():
        ...     return "done"
        >>> asyncio.run(ConcurrencyLimit(most=1).run(work))
        'done'
        >>> asyncio.run(ConcurrencyLimit(most=0).run(work)) is None
        True
    """

    def __init__(self, *, most: int) -> None:
        """Starts with none under way.

        Args:
            most: Requests under way at once.
        """
        self._most = most
        self._count = 0

    async def run(self, work: Callable[[], Awaitable[_T]]) -> _T | None:
        """Returns the result of the work, or None at once when too much is under way.

        The work goes on when its caller leaves: its outcome is remembered for the request's id.
        """
        if self._count >= self._most:
            return None
        self._count += 1
        task = asyncio.ensure_future(work())
        task.add_done_callback(self._release)
        return await asyncio.shield(task)

    def _release(self, _: "asyncio.Future[_T]") -> None:
        self._count -= 1


class Router:
    """Finds the handler of a request by method and path prefix."""

    def __init__(self) -> None:
        """Starts without routes."""
        self._routes: dict[str, tuple[frozenset[str], Handler]] = {}
        self._prefixes: list[tuple[str, Handler]] = []

    def mount(self, path: str, handler: Handler, *, methods: Iterable[str] = ("GET",)) -> None:
        """Serves a path by a handler."""
        self._routes[path] = (frozenset(methods), handler)

    def mount_prefix(self, prefix: str, handler: Handler) -> None:
        """Serves all methods and paths below a prefix by a handler."""
        self._prefixes.append((prefix, handler))

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Answers a request."""
        try:
            response = await self._dispatch(request)
        except BadRequestError as error:
            verdict = NotRun(Reason.BAD_REQUEST, 0.0, error.detail)
            response = verdict_response(verdict)._replace(status=error.status)
        return HttpReply(response.status, list(response.headers), response.body)

    async def _dispatch(self, request: CallerRequest) -> WebResponse:
        path, _, query = request.path.partition("?")
        found = WebRequest(
            request.method, path, query, dict(request.headers), request.body, request.peer
        )
        route = self._routes.get(path)
        if route is not None:
            if request.method not in route[0]:
                raise BadRequestError(detail=f"{path} takes {', '.join(route[0])}", status=405)
            return await _call(route[1], found)
        for prefix, handler in self._prefixes:
            if path.startswith(prefix):
                return await _call(handler, found)
        raise BadRequestError(detail=f"there is no {path}", status=404)


async def _call(handler: Handler, request: WebRequest) -> WebResponse:
    response = handler(request)
    return await response if inspect.isawaitable(response) else response


def in_thread(handler: Callable[[WebRequest], WebResponse]) -> Handler:
    """Returns a handler that runs in a thread, because it waits for the platform or siblings."""

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
) -> asyncio.Server:
    """Returns a server that answers by a router.

    Args:
        address: ``IP:PORT``.
        router: Finds the handlers.
        max_body_bytes: Largest request body accepted.
        connections: Takes the open connections.
        is_closing: Whether connections end with their next answer.

    Raises:
        ListenError: If the address is in use or not one of this VM.
    """
    limits = Limits(_MAX_HEADER_BYTES, max_body_bytes, _HEADER_TIMEOUT_S, _IDLE_TIMEOUT_S)
    gate = Gate(handle=router.handle, limits=lambda: limits, is_closing=is_closing)
    return await listen(address, lambda: CallerConnection(gate=gate, connections=connections))


def json_response(value: object, *, status: int = 200) -> WebResponse:
    """Returns a response with a JSON body."""
    body = documents.encode_json(value)
    return WebResponse(status, (("Content-Type", "application/json"),), body)


def verdict_response(verdict: Verdict, *, request_id: str = "") -> WebResponse:
    """Returns the response that tells a verdict to a caller or sibling."""
    marks = [(headers.VERDICT, verdict_name(verdict))]
    if request_id:
        marks.append((headers.REQUEST_ID, request_id))
    if isinstance(verdict, Answered):
        if verdict.target:
            marks.append((headers.TARGET, verdict.target))
        carried = [(n, v) for n, v in verdict.headers if not n.lower().startswith("carawaybank-")]
        return WebResponse(verdict.status, (*carried, *marks), verdict.body)
    marks.append((headers.REASON, str(verdict.reason)))
    marks.append((headers.RETRY_AFTER_MS, str(int(verdict.retry_after_s * 1000))))
    if verdict.retry_after_s > 0:
        marks.append(("Retry-After", str(math.ceil(verdict.retry_after_s))))
    document = _describe(verdict, request_id)
    response = json_response(document, status=_status_of(verdict))
    return response._replace(headers=(*response.headers, *marks))


def _describe(verdict: NotRun | MayHaveRun, request_id: str) -> dict[str, object]:
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


def _status_of(verdict: NotRun | MayHaveRun) -> int:
    default = _NOT_RUN_STATUS if isinstance(verdict, NotRun) else _MAY_HAVE_RUN_STATUS
    return _STATUS_OF_REASON.get(verdict.reason, default)
