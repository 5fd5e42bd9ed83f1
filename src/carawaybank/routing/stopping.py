"""Decides what an entry VM that stops still reads, passes on, refuses, waits for and closes.

Load pattern: callers go on sending on open connections, one request after another or pipelined,
until they are told to close or the process is gone, while the time until the process is killed runs
out. Look-ups no longer list the VM, but callers use a response for some seconds.

In the order of time, a VM that stops

1. listens and serves; each connection closes with the response to the last request that was read
   from it, and nothing is read behind a request that has no response yet,
2. stops listening and closes idle connections; requests that are being received are read on, and
   connections on which nothing was sent yet are kept, as the first request may be on its way,
3. refuses the requests that are still not complete, and closes the connections without a request,
4. gives up: ends the attempts in progress, so that their callers still get a response; attempts of
   which a part of the response has arrived are waited for until the end,
5. ends.

An expected time does not say when an attempt ends: a cold object takes several times as long as a
warm one. A request that must not run twice is passed on only if its deadline comes before the
fourth step. One that may be repeated needs, while the VM listens, only that nearly all recent
responses of its route would come before; afterwards, its deadline counts too.
"""

from enum import Enum
from typing import NamedTuple

#: Seconds for which idle connections stay open, unless the fraction below is shorter. Callers
#: repeat the look-up within this time and switch to another entry VM.
_LISTEN_S = 2.5
#: Fractions of the stop time at which the steps end. What follows the last one is left to write
#: responses and to end the process, also on a machine under load.
_LISTEN_FRACTION = 0.42
_READ_FRACTION = 0.6
_GIVE_UP_FRACTION = 0.88
_END_FRACTION = 0.93


class Step(Enum):
    """What happens to a connection of a VM that stops."""

    KEEP = "keep"
    CLOSE = "close"
    REFUSE = "refuse"


class ConnectionState(NamedTuple):
    """What the decision on a connection depends on.

    Attributes:
        is_answering: Whether a request was read and its response is not written yet.
        is_receiving: Whether a part of a request was read, or waits to be read.
        is_new: Whether the caller has sent nothing yet.
    """

    is_answering: bool
    is_receiving: bool
    is_new: bool = False


class ResponseBounds(NamedTuple):
    """Seconds in which an attempt ends.

    Attributes:
        usual_s: Seconds within which nearly all attempts of its kind end.
        longest_s: Seconds after which it ends in any case, at the deadline of its request.
    """

    usual_s: float
    longest_s: float


class StopPlan:
    """The steps of one planned stop.

    Attributes:
        refused_count: Requests that were not passed on because too little time was left.

    >>> plan = StopPlan(started_at=100.0, stop_within_s=6.0)
    >>> plan.is_listening(102.0), plan.is_listening(103.0)
    (True, False)
    >>> bounds = ResponseBounds(usual_s=1.0, longest_s=4.0)
    >>> [plan.can_finish(bounds, is_idempotent=each, now=102.0) for each in (True, False)]
    [True, False]
    >>> plan.can_finish(bounds, is_idempotent=True, now=103.0)
    False
    """

    def __init__(
        self, *, started_at: float, stop_within_s: float, max_signal_delay_s: float = 0.0
    ) -> None:
        """Computes the times of the steps.

        Args:
            started_at: Time at which the stop signal was handled, in monotonic seconds.
            stop_within_s: Seconds from the signal until the process is killed.
            max_signal_delay_s: Seconds by which the signal may have been sent earlier. Nothing is
                passed on, and no connection on which a request came kept, longer than if it was.
        """
        self.refused_count = 0
        signalled_at = started_at - max_signal_delay_s
        self._listen_until = signalled_at + min(_LISTEN_S, _LISTEN_FRACTION * stop_within_s)
        self._read_until = signalled_at + _READ_FRACTION * stop_within_s
        # A kill costs a connection without a request no more than its close.
        self._first_request_until = started_at + _READ_FRACTION * stop_within_s
        self._finish_by = signalled_at + _GIVE_UP_FRACTION * stop_within_s
        self._give_up_at = started_at + _GIVE_UP_FRACTION * stop_within_s
        self._end_at = started_at + _END_FRACTION * stop_within_s

    def is_listening(self, now: float) -> bool:
        """Returns whether connections are accepted, and idle ones stay open."""
        return now < self._listen_until

    def can_finish(self, bounds: ResponseBounds, *, is_idempotent: bool, now: float) -> bool:
        """Returns whether a request may be passed on.

        Args:
            bounds: Seconds in which the attempt ends.
            is_idempotent: Whether the caller may send the request again if the attempt is ended.
            now: Current time in monotonic seconds.
        """
        bound_s = bounds.longest_s
        if is_idempotent and self.is_listening(now):
            bound_s = min(bounds.usual_s, bounds.longest_s)
        return now + bound_s <= self._finish_by

    def decide(self, connection: ConnectionState, now: float) -> Step:
        """Returns what happens to a connection."""
        if connection.is_answering:
            return Step.KEEP
        if connection.is_receiving:
            return Step.KEEP if now < self._read_until else Step.REFUSE
        is_kept = now < self._first_request_until if connection.is_new else self.is_listening(now)
        return Step.KEEP if is_kept else Step.CLOSE

    def has_given_up(self, now: float) -> bool:
        """Returns whether attempts in progress are ended of which no response has arrived."""
        return now >= self._give_up_at

    def is_over(self, now: float) -> bool:
        """Returns whether the process ends, whatever is in progress."""
        return now >= self._end_at
