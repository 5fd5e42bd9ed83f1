"""Detects that the process got no processor time, from a timer that runs late."""

import asyncio

#: Seconds between two runs of the timer.
_INTERVAL_S = 0.1
#: Seconds between two runs above which the process was late.
_MAX_GAP_S = 0.2


class EventLoopDelay:
    """Remembers the last span in which the event loop did not run.

    A signal is handled only when the loop runs again. The time at which it was sent lies in the
    span before.

    >>> loop_delay = EventLoopDelay(now=0.0)
    >>> loop_delay.record_run(now=0.1)
    >>> loop_delay.delay_s(now=0.15)
    0.0
    >>> loop_delay.record_run(now=0.9)
    >>> round(loop_delay.delay_s(now=0.95), 2), loop_delay.delay_s(now=1.05)
    (0.85, 0.0)
    """

    def __init__(self, *, now: float) -> None:
        """Starts without a span.

        Args:
            now: Current time in monotonic seconds.
        """
        self._last_run_at = now
        self._silent_since = self._silent_until = now - _MAX_GAP_S

    async def run(self) -> None:
        """Records that the event loop runs, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.record_run(now=loop.time())
            await asyncio.sleep(_INTERVAL_S)

    def record_run(self, *, now: float) -> None:
        """Records that the event loop runs."""
        if now - self._last_run_at > _MAX_GAP_S:
            self._silent_since, self._silent_until = self._last_run_at, now
        self._last_run_at = now

    def delay_s(self, *, now: float) -> float:
        """Returns the seconds by which an event handled now may be late; 0 if the loop ran.

        Args:
            now: Current time in monotonic seconds.
        """
        if now - self._last_run_at > _MAX_GAP_S:
            return now - self._last_run_at
        if now - self._silent_until <= _INTERVAL_S:
            return now - self._silent_since
        return 0.0
