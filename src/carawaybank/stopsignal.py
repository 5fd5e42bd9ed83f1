"""The request to stop the process, with the time at which its signal arrived."""

import asyncio
import signal
import time
from types import FrameType

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Waits for a signal, or for a failure, that stops the process.

    The event loop handles a signal after several rounds, each as long as what waits to be done. The
    time until the process is killed runs from the signal itself.
    """

    def __init__(self) -> None:
        """Starts without a signal."""
        self._event = asyncio.Event()
        self._received_at: float | None = None

    @property
    def received_at(self) -> float:
        """Monotonic time in seconds of the first signal; now if there was none."""
        return time.monotonic() if self._received_at is None else self._received_at

    def install(self) -> None:
        """Handles the signals in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._event.set)
            # In place of the event loop's empty function. It runs between two instructions, also
            # during a round; the event loop is woken all the same.
            signal.signal(number, self._record)
            signal.siginterrupt(number, False)

    def set(self) -> None:
        """Stops the process without a signal."""
        self._event.set()

    async def wait(self) -> None:
        """Waits until the process is to stop."""
        await self._event.wait()

    def _record(self, number: int, frame: FrameType | None) -> None:
        if self._received_at is None:
            self._received_at = time.monotonic()
