"""Detection of suspensions of the machine.

The monotonic clock stops while the machine is suspended, so no timeout that is based on it expires
in that time. The boot-time clock keeps running; the difference between the two is the duration of
the suspension.
"""

import time
from collections.abc import Callable

#: Shorter differences between the clocks are ignored. A process that only waits for a CPU core does
#: not make them differ.
MIN_SUSPENSION_S = 0.5


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Compares the monotonic clock with the boot-time clock.

    >>> monotonic, boot = iter([1.0, 2.0]), iter([1.0, 7.0])
    >>> watch = SuspensionWatch(
    ...     monotonic_clock=lambda: next(monotonic), boot_clock=lambda: next(boot)
    ... )
    >>> watch.pop_suspended_s()
    5.0
    """

    def __init__(
        self,
        *,
        monotonic_clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = _boot_time,
    ) -> None:
        """Starts to measure at the time of the call.

        Args:
            monotonic_clock: Returns the seconds of a clock that stops while the machine is
                suspended.
            boot_clock: Returns the seconds of a clock that keeps running.
        """
        self._monotonic_clock = monotonic_clock
        self._boot_clock = boot_clock
        self._offset_s = boot_clock() - monotonic_clock()

    def pop_suspended_s(self) -> float:
        """Returns the seconds of suspension since the last call, or 0 if there was none."""
        offset_s = self._boot_clock() - self._monotonic_clock()
        suspended_s, self._offset_s = offset_s - self._offset_s, offset_s
        return suspended_s if suspended_s > MIN_SUSPENSION_S else 0.0
