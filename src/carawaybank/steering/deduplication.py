"""At-most-once execution by request ids bound to one process start.

A look-up hands out an id prefix ``VM.INCARNATION.EPOCH``. Only that incarnation of that entry VM
may start a request with the prefix, and it remembers the id; every other entry VM passes the
request on to it, or reports that it may have run when that incarnation is gone. Ids of past
epochs are refused, so forgetting an old id never lets it run twice.

Usage::

    >>> RequestId.parse("vm-1.7.0.order-5").vm
    'vm-1'
    >>> memory = RequestMemory(retention_epochs=2, capacity=10)
    >>> memory.start(RequestId("vm-1", 7, 0, "order-5"), epoch=0)
    <Admission.STARTED: 'started'>
    >>> memory.start(RequestId("vm-1", 7, 0, "order-5"), epoch=0)
    <Admission.KNOWN: 'known'>
"""

from enum import StrEnum
from typing import NamedTuple

from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict

_MAX_UNIQUE_LENGTH = 128
_PARTS = 4


class RequestId(NamedTuple):
    """A request id bound to one incarnation of one entry VM."""

    vm: str
    incarnation: int
    epoch: int
    unique: str

    @classmethod
    def parse(cls, text: str) -> "RequestId | None":
        """Returns the id, or None when the text is not a bound id."""
        parts = text.split(".", _PARTS - 1)
        if len(parts) != _PARTS or not (parts[1].isdecimal() and parts[2].isdecimal()):
            return None
        if not parts[0] or not parts[3] or len(parts[3]) > _MAX_UNIQUE_LENGTH:
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), parts[3])


class Admission(StrEnum):
    """What the memory says of a request that wants to start."""

    STARTED = "started"
    KNOWN = "known"
    EXPIRED = "expired"
    FULL = "full"


class RequestMemory:
    """Remembers the requests that this incarnation started, and how they ended."""

    def __init__(
        self,
        *,
        retention_epochs: int,
        capacity: int,
        body_limit: int = 65_536,
        body_budget: int = 33_554_432,
    ) -> None:
        """Starts empty.

        Args:
            retention_epochs: How many epochs back an id may still start or be looked up.
            capacity: Most ids remembered; further requests are refused as not run.
            body_limit: Largest answer body in bytes that is kept for a repeated request.
            body_budget: Most bytes of all bodies kept; past it, only that a request ran is known.
        """
        self._retention_epochs = retention_epochs
        self._capacity = capacity
        self._body_limit = body_limit
        self._body_budget = body_budget
        self._body_bytes = 0
        self._epochs: dict[int, dict[str, Verdict | None]] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Number of ids remembered."""
        return self._size

    def covers(self, request_id: RequestId, *, epoch: int) -> bool:
        """Returns whether the id is recent enough that its start would be remembered."""
        return epoch - self._retention_epochs <= request_id.epoch <= epoch + 1

    def start(self, request_id: RequestId, *, epoch: int) -> Admission:
        """Records the start of a request; only ``STARTED`` permits running it.

        Args:
            request_id: An id bound to this incarnation.
            epoch: The present epoch.
        """
        self._expire(epoch)
        if not self.covers(request_id, epoch=epoch):
            return Admission.EXPIRED
        seen = self._epochs.setdefault(request_id.epoch, {})
        if request_id.unique in seen:
            return Admission.KNOWN
        if self._size >= self._capacity:
            return Admission.FULL
        seen[request_id.unique] = None
        self._size += 1
        return Admission.STARTED

    def finish(self, request_id: RequestId, verdict: Verdict) -> None:
        """Records how a started request ended.

        A request that did not run is forgotten, so that it may be sent again.
        """
        seen = self._epochs.get(request_id.epoch, {})
        if request_id.unique not in seen:
            return
        if isinstance(verdict, NotRun):
            del seen[request_id.unique]
            self._size -= 1
            return
        if isinstance(verdict, Answered) and not self._may_keep(verdict):
            detail = f"answered with status {verdict.status}; the answer is not kept"
            verdict = MayHaveRun(Reason.ANSWER_TOO_LARGE, detail=detail)
        self._body_bytes += _body_size(verdict)
        seen[request_id.unique] = verdict

    def find(self, request_id: RequestId) -> Verdict | None:
        """Returns how the request ended, or what is known of it.

        Returns:
            The verdict; ``MayHaveRun`` with ``STILL_RUNNING`` while it runs; None when the id
            was never started or is forgotten.
        """
        seen = self._epochs.get(request_id.epoch, {})
        if request_id.unique not in seen:
            return None
        verdict = seen[request_id.unique]
        if verdict is None:
            return MayHaveRun(Reason.STILL_RUNNING, detail="the request is still running")
        return verdict

    def _may_keep(self, answer: Answered) -> bool:
        size = len(answer.body)
        return size <= self._body_limit and self._body_bytes + size <= self._body_budget

    def _expire(self, epoch: int) -> None:
        for old in [e for e in self._epochs if e < epoch - self._retention_epochs]:
            forgotten = self._epochs.pop(old)
            self._size -= len(forgotten)
            self._body_bytes -= sum(_body_size(verdict) for verdict in forgotten.values())


def _body_size(verdict: Verdict | None) -> int:
    return len(verdict.body) if isinstance(verdict, Answered) else 0
