"""Whether the event loop of this process is too busy to take on work of other VMs.

Load pattern: siblings that are cut off pass all their requests on, until the processor of this VM
is busy and its own callers wait. Before that happens, only a few requests of others are taken in at
a time and the rest is refused at once.
"""

import asyncio
from collections.abc import Callable

#: Seconds between samples of the delay of the event loop.
SAMPLE_INTERVAL_S = 0.1
#: Weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.2
#: Average delay in seconds from which the process is congested.
MAX_DELAY_S = 0.05
#: Largest delay in seconds that a sample counts. A single pause of the process, however long, then
#: stays below the limit, and two long delays in a row exceed it.
MAX_SAMPLE_S = 3 * MAX_DELAY_S


class CongestionWatch:
    """Measures by how much the event loop delays timers."""

    def __init__(self, *, on_sample: Callable[[float], None] = lambda _: None) -> None:
        """Starts without samples.

        Args:
            on_sample: Called with each sample in seconds.
        """
        self._delay_s = 0.0
        self._on_sample = on_sample

    @property
    def is_congested(self) -> bool:
        """Whether timers were delayed for longer than is acceptable recently."""
        return self._delay_s > MAX_DELAY_S

    def record(self, delay_s: float) -> None:
        """Adds a sample in seconds."""
        self._delay_s += SAMPLE_WEIGHT * (min(delay_s, MAX_SAMPLE_S) - self._delay_s)
        self._on_sample(delay_s)

    async def run(self) -> None:
        """Takes samples until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.record(max(0.0, loop.time() - due_at))
