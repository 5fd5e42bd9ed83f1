"""Notices that the process did not run for a while.

A suspended machine's steady clock stands still, so that nothing that is timed by it runs out
meanwhile. The clock that goes on tells how long that was.
"""

import time
from collections.abc import Callable

#: Seconds that the clocks must differ by; a process that only waits for a core differs by none.
NOTICED_S = 0.5


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Compares the clock that stands still with the one that goes on.

    >>> steady, going_on = iter([1.0, 2.0]), iter([1.0, 7.0])
    >>> watch = SuspensionWatch(steady=lambda: next(steady), going_on=lambda: next(going_on))
    >>> watch.take()
    5.0
    """

    def __init__(
        self,
        *,
        steady: Callable[[], float] = time.monotonic,
        going_on: Callable[[], float] = _boot_time,
    ) -> None:
        """Starts now.

        Args:
            steady: Seconds of a clock that stands still while the machine is suspended.
            going_on: Seconds of one that does not.
        """
        self._steady = steady
        self._going_on = going_on
        self._difference = going_on() - steady()

    def take(self) -> float:
        """Returns the seconds of suspension since the last call; 0 if there was none."""
        difference = self._going_on() - self._steady()
        suspended_s, self._difference = difference - self._difference, difference
        return suspended_s if suspended_s > NOTICED_S else 0.0
