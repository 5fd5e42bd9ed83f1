"""Requests of unknown outcome, kept in the object store for account managers.

An entry VM keeps nothing, so each batch of new incidents is stored under its process start. What
could not be stored while the store was down stays queued, up to a bound.
"""

from typing import TypedDict

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.storage.models import ObjectStore

_PREFIX = "incidents/"
_MAX_BATCHES = 200


class IncidentDocument(TypedDict):
    """A request that may have run.

    Attributes:
        request_id: The request.
        service: Its service.
        customer: Its customer.
        reason: Why the outcome is unknown.
        entry_vm: The entry VM that answered so.
        seen_at: Wall-clock seconds.
    """

    request_id: str
    service: str
    customer: str
    reason: str
    entry_vm: str
    seen_at: float


class IncidentLog:
    """Stores and reads incidents."""

    def __init__(self, *, objects: ObjectStore, vm: str, incarnation: int) -> None:
        """Starts with nothing stored.

        Args:
            objects: The object store.
            vm: This entry VM.
            incarnation: This process start.
        """
        self._objects = objects
        self._source = f"{vm}-{incarnation}"
        self._batches = 0

    def store(self, incidents: list[IncidentDocument], *, at: float) -> None:
        """Stores a batch.

        Args:
            incidents: What is new.
            at: Wall-clock seconds, by which batches are ordered.

        Raises:
            PlatformError: If the object store does not answer; the batch may then be stored twice.
        """
        if not incidents:
            return
        key = f"{_PREFIX}{int(at * 1000):015d}-{self._source}-{self._batches}"
        self._objects.put(key, documents.encode_json(incidents))
        self._batches += 1

    def read(self) -> list[IncidentDocument]:
        """Returns the latest incidents of all entry VMs, oldest first.

        Raises:
            PlatformError: If the object store does not answer.
        """
        found: dict[str, IncidentDocument] = {}
        for key in self._objects.list(_PREFIX)[-_MAX_BATCHES:]:
            for incident in _decode(self._objects.get(key) or b"[]", key):
                found[incident["request_id"]] = incident
        return list(found.values())


def _decode(data: bytes, key: str) -> list[IncidentDocument]:
    try:
        return documents.decode_json(data, list[IncidentDocument], source=key)
    except DocumentError:
        return []
