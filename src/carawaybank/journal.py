"""Structured logs: one JSON object a line on standard output, bounded and never blocking.

Decisions and changes of belief go through :class:`Journal`. A line that the reader of the output
does not take at once is dropped, and lines beyond the rate are dropped too; a later line says how
many were.
"""

import os
import sys
import time
from collections.abc import Callable

import msgspec

#: Lines a second that are written on average, and at once after a quiet time.
LINES_PER_S = 200.0
BURST_LINES = 400.0


class Journal:
    r"""Writes structured lines.

    >>> lines = []
    >>> journal = Journal(vm="vm-1", write=lines.append, clock=lambda: 0.0)
    >>> journal.note("config", "installed", version=7)
    >>> lines[0]
    b'{"at":0.0,"vm":"vm-1","part":"config","event":"installed","version":7}\n'
    """

    def __init__(
        self,
        *,
        vm: str,
        write: Callable[[bytes], object] | None = None,
        clock: Callable[[], float] = time.time,
        lines_per_s: float = LINES_PER_S,
    ) -> None:
        """Starts without lines.

        Args:
            vm: Name of the entry VM.
            write: Takes a line; raises ``BlockingIOError`` when it would block.
            clock: Seconds since 1970.
            lines_per_s: Lines written a second on average.
        """
        self._vm = vm
        self._write = write or _open_output()
        self._clock = clock
        self._rate = lines_per_s
        self._tokens = BURST_LINES
        self._refilled = clock()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def note(self, part: str, event: str, **fields: object) -> None:
        """Writes a line, or drops it if it would block or exceed the rate.

        Args:
            part: Part of the system.
            event: What happened.
            **fields: Inputs, their age or version, and the outcome.
        """
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled) * self._rate)
        self._refilled = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        line = {"at": round(now, 3), "vm": self._vm, "part": part, "event": event, **fields}
        if self._dropped:
            line["dropped_lines"] = self._dropped
        try:
            self._write(msgspec.json.encode(line) + b"\n")
        except OSError:
            self._dropped += 1
        else:
            self._dropped = 0


def _open_output() -> Callable[[bytes], object]:
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return lambda line: os.write(descriptor, line)
