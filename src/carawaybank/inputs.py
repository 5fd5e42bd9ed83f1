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
#: Bytes of a piece in the mean from which reads may grow to that.
_LARGE_PIECE_BYTES = 4_096
_READ_GROWTH = 4
#: Seconds that a piece of a message takes, such as a chunk.
_PIECE_S = 1e-6
#: Seconds of work in one read from which a connection reads on in turn with others.
_MAX_WORK_S = 0.25e-3
#: Seconds of such work in one round of the event loop.
_ROUND_S = 1e-3
_UNLIMITED_BYTES = 2**62


class Turns:
    """Lets connections that cause much work go on in turn, a little in each round of the loop.

    The event loop serves all others between two rounds. While they need no time, the next round
    begins at once.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self._waiting: deque[tuple[Callable[[], None], float]] = deque()
        self._is_scheduled = False

    def wait(self, resume: Callable[[], None], *, work_s: float) -> None:
        """Calls back when it is the turn of a connection.

        Args:
            resume: Called from the event loop.
            work_s: Seconds of work that it is expected to cause.
        """
        self._waiting.append((resume, work_s))
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self) -> None:
        self._is_scheduled = False
        left_s = _ROUND_S
        while self._waiting and left_s > 0:
            resume, work_s = self._waiting.popleft()
            left_s -= work_s
            resume()
        self._schedule()


class LoopInputs:
    """What the connections of one event loop share to read.

    Attributes:
        turns: Lets connections read in turn.
        start_turns: Lets connections that pipeline start requests in turn.
        memory: Bounds the memory of what was read; without limit until the owner of the process
            sets it.
    """

    def __init__(self) -> None:
        """Starts without a limit of the memory."""
        self.turns = Turns()
        self.start_turns = Turns()
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
    def start_turns(self) -> Turns:
        """Lets connections that pipeline start requests in turn."""
        return self._inputs.start_turns

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
    def get_input(size: int) -> bytes | memoryview:
        """Returns the bytes of the last read of this thread, valid until the next one.

        Args:
            size: Number of bytes that were read.
        """
        view: memoryview = _buffers.view
        return bytes(view[:size]) if size <= _MIN_READ_BYTES else view[:size]

    def record(self, size: int, *, pieces: int) -> bool:
        """Records a read that was parsed, and returns whether the connection must pause.

        Args:
            size: Number of bytes.
            pieces: Pieces of messages in them.
        """
        work_s = pieces * _PIECE_S
        if work_s > _MAX_WORK_S:
            self._read_bytes = _MIN_READ_BYTES
            self.is_waiting = True
            self._inputs.turns.wait(self._end_wait, work_s=work_s)
        elif size >= self._read_bytes:
            has_large_pieces = pieces * _LARGE_PIECE_BYTES <= size
            most = _MAX_READ_BYTES if has_large_pieces else _MIN_READ_BYTES * _READ_GROWTH
            self._read_bytes = min(most, self._read_bytes * _READ_GROWTH)
        return self.is_waiting

    def _end_wait(self) -> None:
        self.is_waiting = False
        self._resume()
