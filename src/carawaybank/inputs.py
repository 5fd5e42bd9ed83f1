"""How connections read: into a shared buffer, and in turn if their bytes cost much time.

Load pattern: peers send messages in very small pieces as fast as they are read, each of which takes
a step of the parser, while others wait for the same event loop.
"""

import asyncio
import threading
from collections import deque
from collections.abc import Callable
from weakref import WeakKeyDictionary

from carawaybank.memory import MemoryBudget

#: Bytes of a read at first, and of one that fills its buffer again and again at little cost.
_MIN_READ_BYTES = 4_096
_MAX_READ_BYTES = 262_144
_READ_GROWTH = 4
#: Seconds that a piece of a message takes, such as a chunk.
_PIECE_S = 0.25e-6
#: Seconds of work in one read from which a connection reads on in turn with others of its kind.
_MAX_WORK_S = 0.1e-3
#: Fraction of the time of the event loop that these connections use together.
_SHARE = 0.4
_UNLIMITED_BYTES = 2**62


class InputTurns:
    """Lets connections whose input costs much time read on one at a time."""

    def __init__(self) -> None:
        """Starts without connections."""
        self._waiting: deque[tuple[Callable[[], None], float]] = deque()
        self._is_scheduled = False

    def wait(self, resume: Callable[[], None], *, work_s: float) -> None:
        """Calls back when the connection may read on.

        Args:
            resume: Called from the event loop.
            work_s: Seconds that its last read took.
        """
        self._waiting.append((resume, work_s))
        if not self._is_scheduled:
            self._schedule(work_s * (1 / _SHARE - 1))

    def _schedule(self, delay_s: float) -> None:
        self._is_scheduled = True
        asyncio.get_running_loop().call_later(delay_s, self._resume_next)

    def _resume_next(self) -> None:
        self._is_scheduled = False
        resume, work_s = self._waiting.popleft()
        if self._waiting:
            self._schedule(work_s / _SHARE)
        resume()


class LoopInputs:
    """What the connections of one event loop share to read.

    Attributes:
        turns: Lets connections read in turn.
        memory: Bounds the memory of what was read; without limit until the owner of the process
            sets it.
    """

    def __init__(self) -> None:
        """Starts without a limit of the memory."""
        self.turns = InputTurns()
        self.memory = MemoryBudget(max_bytes=_UNLIMITED_BYTES)


_inputs: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopInputs] = WeakKeyDictionary()
_buffers = threading.local()


def loop_inputs() -> LoopInputs:
    """Returns what the connections of the running event loop share."""
    loop = asyncio.get_running_loop()
    inputs = _inputs.get(loop)
    if inputs is None:
        inputs = _inputs[loop] = LoopInputs()
    return inputs


class InputReader:
    """Decides how many bytes a connection reads at a time, and when it reads on.

    Attributes:
        is_waiting: Whether the connection must not read on yet.
    """

    __slots__ = ("_inputs", "_read_bytes", "_resume", "is_waiting")

    def __init__(self, *, resume: Callable[[], None]) -> None:
        """Starts with a small read.

        Args:
            resume: Called when the connection may read on.
        """
        self._inputs = loop_inputs()
        self._resume = resume
        self._read_bytes = _MIN_READ_BYTES
        self.is_waiting = False

    @property
    def turns(self) -> InputTurns:
        """Lets connections that cause much work go on one at a time."""
        return self._inputs.turns

    @property
    def memory(self) -> MemoryBudget:
        """Bounds the memory of what was read."""
        return self._inputs.memory

    def get_buffer(self) -> memoryview:
        """Returns the buffer of the next read, which is valid until that has been parsed."""
        view: memoryview | None = getattr(_buffers, "view", None)
        if view is None:
            view = _buffers.view = memoryview(bytearray(_MAX_READ_BYTES))
        return view[: self._read_bytes]

    @staticmethod
    def get_input(size: int) -> bytes:
        """Returns a copy of the bytes of the last read of this thread.

        Args:
            size: Number of bytes that were read.
        """
        view: memoryview = _buffers.view
        return bytes(view[:size])

    def record(self, size: int, *, pieces: int, extra_work_s: float = 0.0) -> bool:
        """Records a read that was parsed, and returns whether the connection must pause.

        Args:
            size: Number of bytes.
            pieces: Pieces of messages in them.
            extra_work_s: Seconds of work beside parsing that they cause.
        """
        work_s = pieces * _PIECE_S + extra_work_s
        if work_s > _MAX_WORK_S:
            self._read_bytes = _MIN_READ_BYTES
            self.is_waiting = True
            self._inputs.turns.wait(self._end_wait, work_s=work_s)
        elif size >= self._read_bytes:
            self._read_bytes = min(_MAX_READ_BYTES, self._read_bytes * _READ_GROWTH)
        return self.is_waiting

    def _end_wait(self) -> None:
        self.is_waiting = False
        self._resume()
