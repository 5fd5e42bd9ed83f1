"""Structured logs: one JSON object per line on standard output, rate-limited and non-blocking.

Decisions and changes of state are logged through :class:`Journal`. A line is dropped if writing it
would block or if the rate limit is exceeded; the next line that is written has the number of
dropped lines.
"""

import os
import sys
import time
from collections.abc import Callable

import msgspec

#: Average rate limit in lines per second, and the burst allowed after a pause.
LINES_PER_S = 200.0
BURST_LINES = 400.0


class Journal:
    r"""Writes structured log lines.

    >>> lines = []
    >>> journal = Journal(vm="vm-1", write=lines.append, clock=lambda: 0.0)
    >>> journal.log("config", "installed", version=7)
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
        """Creates a journal with the full burst available.

        Args:
            vm: Name of the entry VM.
            write: Writes a line; raises ``BlockingIOError`` if it would block. By default, lines
                go to standard output, which is set to non-blocking mode.
            clock: Returns the seconds since 1970.
            lines_per_s: Average number of lines per second that may be written.
        """
        self._vm = vm
        self._write = write or _open_stdout()
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last written one."""
        return self._dropped

    def log(self, part: str, event: str, **fields: object) -> None:
        """Writes a line, or drops it if writing would block or exceed the rate limit.

        Args:
            part: Component that logs the event.
            event: Name of the event.
            **fields: Further fields: inputs of a decision, their age or version, and the outcome.
        """
        now = self._clock()
        # The clock may be set back.
        elapsed_s = max(0.0, now - self._refilled_at)
        self._tokens = min(BURST_LINES, self._tokens + elapsed_s * self._lines_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        line = {"at": round(now, 3), "vm": self._vm, "part": part, "event": event, **fields}
        if self._dropped:
            line["dropped_lines"] = self._dropped
        try:
            self._write(_encode(line) + b"\n")
        except OSError:
            self._dropped += 1
        else:
            self._dropped = 0


def _encode(line: dict[str, object]) -> bytes:
    try:
        return msgspec.json.encode(line)
    except (TypeError, ValueError, RecursionError):
        return msgspec.json.encode({name: _printable(value) for name, value in line.items()})


def _printable(value: object) -> object:
    """Returns a value, or a text for one that JSON cannot hold, such as a path in other bytes."""
    try:
        msgspec.json.encode(value)
    except (TypeError, ValueError, RecursionError):
        return ascii(value)
    return value


def _open_stdout() -> Callable[[bytes], object]:
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return lambda line: os.write(descriptor, line)
