"""HTTP serving: typed requests and responses over cheroot, with a route for each path."""

import math
import threading
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

from cheroot.wsgi import Server

from carawaybank import documents, headers
from carawaybank.metrics import verdict_name
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_T = TypeVar("_T")

_MAX_HEADER_BYTES = 16_384
_SOCKET_TIMEOUT_S = 5
_QUEUE_SIZE = 512
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

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]


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


Handler = Callable[[WebRequest], WebResponse]


class ConcurrencyLimit:
    """Bounds the requests that wait for others, so that some threads are always free to refuse.

    Usage::

        >>> ConcurrencyLimit(most=1).run(lambda: "done")
        'done'
        >>> ConcurrencyLimit(most=0).run(lambda: "done") is None
        True
    """

    def __init__(self, *, most: int) -> None:
        """Starts with none under way.

        Args:
            most: Requests under way at once.
        """
        self._most = most
        self._count = 0
        self._lock = threading.Lock()

    def run(self, work: Callable[[], _T]) -> _T | None:
        """Returns the result of the work, or None at once when too much is under way."""
        with self._lock:
            if self._count >= self._most:
                return None
            self._count += 1
        try:
            return work()
        finally:
            with self._lock:
                self._count -= 1


class Router:
    """Finds the handler of a request by method and path prefix."""

    def __init__(self, *, max_body_bytes: int) -> None:
        """Starts without routes.

        Args:
            max_body_bytes: Largest request body accepted.
        """
        self._max_body_bytes = max_body_bytes
        self._routes: dict[str, tuple[frozenset[str], Handler]] = {}
        self._prefixes: list[tuple[str, Handler]] = []

    def mount(self, path: str, handler: Handler, *, methods: Iterable[str] = ("GET",)) -> None:
        """Serves a path by a handler."""
        self._routes[path] = (frozenset(methods), handler)

    def mount_prefix(self, prefix: str, handler: Handler) -> None:
        """Serves all methods and paths below a prefix by a handler."""
        self._prefixes.append((prefix, handler))

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answers a WSGI request."""
        try:
            response = self._dispatch(environ)
        except BadRequestError as error:
            verdict = NotRun(Reason.BAD_REQUEST, 0.0, error.detail)
            response = verdict_response(verdict)._replace(status=error.status)
        status = f"{response.status} {_phrase(response.status)}"
        length = ("Content-Length", str(len(response.body)))
        start_response(status, [*response.headers, length])
        return [response.body]

    def _dispatch(self, environ: Environ) -> WebResponse:
        path = _raw_path(environ)
        method = environ["REQUEST_METHOD"]
        route = self._routes.get(path)
        if route is not None:
            if method not in route[0]:
                raise BadRequestError(detail=f"{path} takes {', '.join(route[0])}", status=405)
            return route[1](self._read(environ))
        for prefix, handler in self._prefixes:
            if path.startswith(prefix):
                return handler(self._read(environ))
        raise BadRequestError(detail=f"there is no {path}", status=404)

    def _read(self, environ: Environ) -> WebRequest:
        return WebRequest(
            method=environ["REQUEST_METHOD"],
            path=_raw_path(environ),
            query=environ.get("QUERY_STRING", ""),
            headers=_request_headers(environ),
            body=self._read_body(environ),
            peer=environ.get("REMOTE_ADDR", ""),
        )

    def _read_body(self, environ: Environ) -> bytes:
        stream = environ["wsgi.input"]
        declared = environ.get("CONTENT_LENGTH") or ""
        if declared:
            if not declared.isdecimal():
                raise BadRequestError(detail="Content-Length is not a number")
            size = int(declared)
            if size > self._max_body_bytes:
                raise BadRequestError(detail="the body is too large", status=413)
            body: bytes = stream.read(size) if size else b""
            if len(body) != size:
                raise BadRequestError(detail="the body is shorter than its Content-Length")
            return body
        if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
            try:
                body = stream.read(self._max_body_bytes + 1)
            except (ValueError, OSError) as error:
                raise BadRequestError(detail=f"the chunked body is malformed: {error}") from None
            if len(body) > self._max_body_bytes:
                raise BadRequestError(detail="the body is too large", status=413)
            return body
        return b""


def make_server(address: str, router: Router, *, threads: int) -> Server:
    """Returns a server for an address, not yet started."""
    host, _, port = address.rpartition(":")
    server = Server(
        (host.strip("[]"), int(port)),
        router,
        numthreads=threads,
        request_queue_size=_QUEUE_SIZE,
        timeout=_SOCKET_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.max_request_header_size = _MAX_HEADER_BYTES
    server.error_log = _drop_server_log  # type: ignore[method-assign]
    return server


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


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _raw_path(environ: Environ) -> str:
    """Returns the path with its percent-encoding as sent."""
    uri: str = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    return uri.partition("?")[0]


def _request_headers(environ: Environ) -> dict[str, str]:
    found = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        found["content-type"] = environ["CONTENT_TYPE"]
    return found


def _drop_server_log(*_: object, **__: object) -> None:
    """Ignores what the server library reports of broken connections."""
