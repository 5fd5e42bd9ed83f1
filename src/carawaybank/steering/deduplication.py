"""At-most-once execution by request ids that are bound to one incarnation of an entry VM.

A look-up returns an id prefix ``VM.INCARNATION.EPOCH``. Only that incarnation of that entry VM may
start a request with the prefix, and it remembers the id. Every other entry VM forwards the request
to it, or reports that the request may have run if that incarnation is gone. Ids of epochs that are
no longer remembered are refused, so a request cannot run twice after its id was forgotten.

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
_ID_PARTS = 4


class RequestId(NamedTuple):
    """A request id bound to one incarnation of one entry VM.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Its process start.
        epoch: Epoch of the look-up that returned the prefix.
        unique: The remaining part, which distinguishes ids with the same prefix.
    """

    vm: str
    incarnation: int
    epoch: int
    unique: str

    @classmethod
    def parse(cls, text: str) -> "RequestId | None":
        """Returns the id, or None if the text is not a bound id."""
        parts = text.split(".", _ID_PARTS - 1)
        if len(parts) != _ID_PARTS or not (parts[1].isdecimal() and parts[2].isdecimal()):
            return None
        if not parts[0] or not parts[3] or len(parts[3]) > _MAX_UNIQUE_LENGTH:
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), parts[3])


class Admission(StrEnum):
    """Result of an attempt to record the start of a request."""

    STARTED = "started"
    KNOWN = "known"
    EXPIRED = "expired"
    FULL = "full"


class RequestMemory:
    """The requests that this incarnation started, and their verdicts."""

    def __init__(
        self,
        *,
        retention_epochs: int,
        capacity: int,
        max_body_bytes: int = 65_536,
        max_total_body_bytes: int = 33_554_432,
    ) -> None:
        """Starts empty.

        Args:
            retention_epochs: Number of past epochs whose ids may still start or be found.
            capacity: Maximum number of ids; further requests are refused as not run.
            max_body_bytes: Maximum size in bytes of a response body that is kept.
            max_total_body_bytes: Maximum total size in bytes of the bodies kept. A response
                beyond either limit is remembered without its body, as a request that may have run.
        """
        self._retention_epochs = retention_epochs
        self._capacity = capacity
        self._max_body_bytes = max_body_bytes
        self._max_total_body_bytes = max_total_body_bytes
        self._body_bytes = 0
        self._epochs: dict[int, dict[str, Verdict | None]] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Number of ids in memory."""
        return self._size

    def is_within_retention(self, request_id: RequestId, *, epoch: int) -> bool:
        """Returns whether the id's epoch is recent enough that its start would be remembered."""
        return epoch - self._retention_epochs <= request_id.epoch <= epoch + 1

    def start(self, request_id: RequestId, *, epoch: int) -> Admission:
        """Records the start of a request; only ``STARTED`` permits running it.

        Args:
            request_id: An id bound to this incarnation.
            epoch: The current epoch.
        """
        self._expire(epoch)
        if not self.is_within_retention(request_id, epoch=epoch):
            return Admission.EXPIRED
        recorded = self._epochs.setdefault(request_id.epoch, {})
        if request_id.unique in recorded:
            return Admission.KNOWN
        if self._size >= self._capacity:
            return Admission.FULL
        recorded[request_id.unique] = None
        self._size += 1
        return Admission.STARTED

    def finish(self, request_id: RequestId, verdict: Verdict) -> None:
        """Records the verdict of a started request.

        A request that did not run is removed, so that it may be sent again.
        """
        recorded = self._epochs.get(request_id.epoch, {})
        if request_id.unique not in recorded:
            return
        if isinstance(verdict, NotRun):
            del recorded[request_id.unique]
            self._size -= 1
            return
        if isinstance(verdict, Answered) and not self._can_keep_body(verdict):
            detail = f"answered with status {verdict.status}; the answer is not kept"
            verdict = MayHaveRun(Reason.ANSWER_TOO_LARGE, detail=detail)
        self._body_bytes += _body_size(verdict)
        recorded[request_id.unique] = verdict

    def find(self, request_id: RequestId) -> Verdict | None:
        """Returns the verdict of a request.

        Returns:
            The recorded verdict; ``MayHaveRun`` with ``STILL_RUNNING`` while the request runs;
            None if the id was never started, did not run, or has expired.
        """
        recorded = self._epochs.get(request_id.epoch, {})
        if request_id.unique not in recorded:
            return None
        verdict = recorded[request_id.unique]
        if verdict is None:
            return MayHaveRun(Reason.STILL_RUNNING, detail="the request is still running")
        return verdict

    def _can_keep_body(self, answer: Answered) -> bool:
        size = len(answer.body)
        return (
            size <= self._max_body_bytes and self._body_bytes + size <= self._max_total_body_bytes
        )

    def _expire(self, epoch: int) -> None:
        for expired_epoch in [e for e in self._epochs if e < epoch - self._retention_epochs]:
            expired = self._epochs.pop(expired_epoch)
            self._size -= len(expired)
            self._body_bytes -= sum(_body_size(verdict) for verdict in expired.values())


def _body_size(verdict: Verdict | None) -> int:
    return len(verdict.body) if isinstance(verdict, Answered) else 0
