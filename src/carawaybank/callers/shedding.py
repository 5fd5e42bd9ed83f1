"""Refuses requests of callers while the process cannot keep up with them."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import Protocol

from carawaybank.callers.requests import CallerRequest, RequestParser
from carawaybank.callers.responses import encode_response
from carawaybank.counters import Counters
from carawaybank.journal import Journal
from carawaybank.replies import Headers, HttpReply
from carawaybank.routing.configuration import Limits
from carawaybank.routing.overload import ArrivalQueue, retry_after_s
from carawaybank.sockets import input_age_s

#: Seconds between two log lines; one for each request would cost more than to refuse it.
_LOG_INTERVAL_S = 1.0
#: Bytes that are read to find the request on a connection; a longer one is read as usual.
_MAX_REQUEST_BYTES = 65_536
_BODY = b"overloaded: the entry VM cannot keep up with its requests\n"


class RefusalDialect(Protocol):
    """Encodes refusals in the protocol of the callers."""

    def request_id(self, request: CallerRequest) -> str:
        """Returns the id of a request; empty if it has none."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Returns the headers of a response that the entry VM itself generates.

        Args:
            request_id: Id of the request.
            retry_after_s: Seconds after which the caller may retry; None to omit the header.
        """


class LoadShedder:
    """Refuses requests that waited too long while more of them arrive than can be served."""

    def __init__(
        self,
        *,
        dialect: RefusalDialect,
        limits: Callable[[], Limits],
        counters: Counters,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        """Starts without a queue.

        Args:
            dialect: Encodes the refusals.
            limits: Returns the limits of requests in force.
            counters: Counts them.
            journal: Gets a line a second while requests are refused.
            rng: Random source of the retry delay.
        """
        self._new_connections = ArrivalQueue()
        self._open_connections = ArrivalQueue()
        self._dialect = dialect
        self._limits = limits
        self._counters = counters
        self._journal = journal
        self._rng = rng
        self._logged_at = float("-inf")
        self._unlogged_count = 0

    def is_overloaded(self, now: float) -> bool:
        """Returns whether more requests arrive than can be served.

        Args:
            now: Time in seconds on the event loop's clock.
        """
        return self._new_connections.is_standing(now) or self._open_connections.is_standing(now)

    def refuse(self, request: CallerRequest) -> HttpReply | None:
        """Returns the response to a request that is refused without judging it, or None."""
        now = asyncio.get_running_loop().time()
        if not self._open_connections.must_refuse(request.unread_s, now=now):
            return None
        return self._make_refusal(request, now)

    def refuse_connection(self, sock: socket.socket) -> bool:
        """Refuses the request on an accepted connection without opening it.

        Returns:
            Whether the connection was closed: with the response, or because its caller has left.
        """
        now = asyncio.get_running_loop().time()
        unread_s = input_age_s(sock)
        if not self._new_connections.must_refuse(unread_s, now=now):
            return False
        try:
            data = sock.recv(_MAX_REQUEST_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:  # The caller has reset the connection.
            data = b""
        if not data:
            sock.close()
            return True
        request = self._parse(data)
        if request is None:
            return False
        reply = self._make_refusal(request._replace(unread_s=unread_s), now)
        is_head = request.method == "HEAD"
        with contextlib.suppress(OSError):  # The caller has left.
            # Unread bytes would turn the close into a reset, which may overtake the response.
            sock.recv(len(data))
            sock.send(encode_response(reply, is_head=is_head, must_close=True))
            sock.shutdown(socket.SHUT_WR)
        sock.close()
        return True

    def _make_refusal(self, request: CallerRequest, now: float) -> HttpReply:
        self._record(request.unread_s, now)
        delay_s = retry_after_s(request.unread_s, rng=self._rng)
        request_id = self._dialect.request_id(request)
        return HttpReply(503, self._dialect.refusal_headers(request_id, delay_s), _BODY)

    def _parse(self, data: bytes) -> CallerRequest | None:
        """Returns the request if the data is a single whole one."""
        requests: list[CallerRequest] = []
        parser = RequestParser(limits=self._limits, on_request=requests.append)
        try:
            parser.feed(data)
        except Exception:  # The connection is opened, which reports and answers the error.
            return None
        return requests[0] if len(requests) == 1 and not parser.is_receiving else None

    def _record(self, unread_s: float, now: float) -> None:
        self._counters.count_shed_request()
        self._unlogged_count += 1
        if now - self._logged_at >= _LOG_INTERVAL_S:
            self._journal.log(
                "callers", "shed", count=self._unlogged_count, unread_ms=round(unread_s * 1000)
            )
            self._logged_at, self._unlogged_count = now, 0
