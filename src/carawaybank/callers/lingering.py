"""Closes a connection whose caller may still be sending, so that it receives the last response.

Load pattern: uploads that are refused while their bodies are on the way, over slow links, by
callers that read the response only after they have sent all of the body.

A socket that is closed while bytes of its peer are unread or on the way resets the connection. The
peer's next write then fails, and many clients report that error in place of a response that they
have already received.
"""

import asyncio
import contextlib
from collections.abc import Callable

#: Seconds for which a connection is read on at least, and between two decisions afterwards.
_INTERVAL_S = 1.0
#: Intervals after which a connection is closed although its caller is still sending. The longest
#: budget of a known route is 6.9 s, after which the caller does not use the response. A pause of
#: the process, in which nothing is read, counts as a single interval.
_MAX_INTERVALS = 8
#: Bytes of a caller after which the same is done, which bounds the work for one that never ends.
_MAX_LINGER_BYTES = 16_000_000


class LingeringClose:
    """Sends the end of a connection, and closes it when its caller has received everything.

    What the caller sends meanwhile is read and discarded by the owner of the connection, who
    reports it. The connection is read on for a second, and then for as long as its caller goes on
    sending, within bounds of time and size.
    """

    def __init__(
        self, *, transport: asyncio.Transport, count_unreceived_bytes: Callable[[], int]
    ) -> None:
        """Sends the end of the connection.

        Args:
            transport: Transport of the connection, which is being read.
            count_unreceived_bytes: Returns the bytes that the caller has not acknowledged.
        """
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._count_unreceived_bytes = count_unreceived_bytes
        self._interval_count = 0
        self._discarded_bytes = self._checked_bytes = 0
        send_end(transport)
        self._timer = self._loop.call_later(_INTERVAL_S, self._close_if_over)

    def record_input(self, size: int) -> None:
        """Records bytes of the caller that were discarded."""
        self._discarded_bytes += size

    def cancel(self) -> None:
        """Ends the wait; the connection has been closed."""
        self._timer.cancel()

    @property
    def _is_caller_sending(self) -> bool:
        """Whether the caller has sent something since the last decision, within the bounds."""
        return (
            self._checked_bytes < self._discarded_bytes < _MAX_LINGER_BYTES
            and self._interval_count < _MAX_INTERVALS
        )

    def _close_if_over(self) -> None:
        self._interval_count += 1
        if self._count_unreceived_bytes() or self._is_caller_sending:
            self._checked_bytes = self._discarded_bytes
            self._timer = self._loop.call_later(_INTERVAL_S, self._close_if_over)
        else:
            close_now(self._transport)


def close_now(transport: asyncio.Transport) -> None:
    """Closes a connection once the bytes written so far are sent."""
    # The transport closes its socket only in the next round of the event loop. A caller that
    # does not know yet would send its next request in between.
    if not transport.get_write_buffer_size():
        send_end(transport)
    transport.close()


def send_end(transport: asyncio.Transport) -> None:
    """Sends the end of the connection behind the bytes written so far."""
    with contextlib.suppress(OSError):  # The caller has left, and its end was not read yet.
        transport.write_eof()
