"""The memory of a VM's process: its limit, which ends the process as the platform does."""

import contextlib
import os
import select
import signal
import threading
import time
from pathlib import Path

#: Time from one sample to the next, at least ten of which the platform takes in a second.
_INTERVAL_MS = 50


class MemoryWatch:
    """Samples the memory of a process and kills it above the limit.

    A thread samples, so that a late event loop delays neither samples nor the kill.

    Attributes:
        peak_mb: Largest resident memory so far, in megabytes.
        killed_at: Monotonic time of the kill; None if the process kept the limit.
    """

    def __init__(self, *, pid: int, pidfd: int, limit_mb: float) -> None:
        """Samples until the process ends.

        Args:
            pid: The process, a child whose status has not been taken.
            pidfd: Its descriptor, which the caller may close.
            limit_mb: Resident memory in megabytes above which it is killed.
        """
        self.peak_mb = 0.0
        self.killed_at: float | None = None
        self._status = Path(f"/proc/{pid}/status")
        self._pidfd = os.dup(pidfd)
        self._limit_mb = limit_mb
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self) -> None:
        ended = select.poll()
        ended.register(self._pidfd, select.POLLIN)
        try:
            while self.killed_at is None and not ended.poll(_INTERVAL_MS):
                self._sample()
        finally:
            os.close(self._pidfd)

    def _sample(self) -> None:
        with contextlib.suppress(OSError):  # The process has just ended.
            self.peak_mb = max(self.peak_mb, read_peak_mb(self._status))
            if self.peak_mb > self._limit_mb:
                # The end may be noted before this thread goes on.
                self.killed_at = time.monotonic()
                signal.pidfd_send_signal(self._pidfd, signal.SIGKILL)


def read_peak_mb(status: Path) -> float:
    """Returns the largest resident memory of a process, in megabytes; 0 once it has ended.

    The kernel's own peak also holds what was used between two samples.

    Args:
        status: The kernel's file of its status.
    """
    lines = status.read_text().splitlines()
    return max(
        (int(line.split()[1]) / 1000 for line in lines if line.startswith("VmHWM")), default=0.0
    )
