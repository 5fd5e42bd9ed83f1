"""Stores requests of unknown outcome in the object store, for account managers.

An entry VM has no persistent storage, so each batch of new incidents becomes an object whose key
contains the process start. Incidents that cannot be stored because the store is down stay queued,
up to a bound.
"""

from typing import TypedDict

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.storage.models import ObjectStore

_KEY_PREFIX = "incidents/"
_MAX_READ_BATCHES = 200


class IncidentDocument(TypedDict):
    """A request that may have run.

    Attributes:
        request_id: Id of the request.
        service: The service that it asked for.
        customer: The customer that sent it.
        reason: Code of the reason for which the outcome is unknown.
        entry_vm: The entry VM that gave the verdict.
        seen_at: Time of the verdict in seconds since 1970.
    """

    request_id: str
    service: str
    customer: str
    reason: str
    entry_vm: str
    seen_at: float


class IncidentLog:
    """Writes batches of incidents, and reads those of all entry VMs."""

    def __init__(self, *, objects: ObjectStore, vm: str, incarnation: int) -> None:
        """Starts without stored batches.

        Args:
            objects: The object store.
            vm: Name of this entry VM.
            incarnation: Number of this process start.
        """
        self._objects = objects
        self._process_name = f"{vm}-{incarnation}"
        self._stored_batches = 0

    def append(self, incidents: list[IncidentDocument], *, stored_at: float) -> None:
        """Stores a batch; does nothing if it is empty.

        Args:
            incidents: Incidents that were not stored before.
            stored_at: Seconds since 1970, by which batches are ordered.

        Raises:
            PlatformError: If the object store does not confirm the write. If the batch is then
                stored again, it may exist twice.
        """
        if not incidents:
            return
        key = (
            f"{_KEY_PREFIX}{int(stored_at * 1000):015d}-{self._process_name}-{self._stored_batches}"
        )
        self._objects.put(key, documents.encode_json(incidents))
        self._stored_batches += 1

    def read(self) -> list[IncidentDocument]:
        """Returns the latest incidents of all entry VMs, oldest first.

        A request that occurs several times is returned once; unreadable batches are skipped.

        Raises:
            PlatformError: If the object store does not respond.
        """
        by_request_id: dict[str, IncidentDocument] = {}
        for key in self._objects.list(_KEY_PREFIX)[-_MAX_READ_BATCHES:]:
            for incident in _decode(self._objects.get(key) or b"[]", key):
                by_request_id[incident["request_id"]] = incident
        return list(by_request_id.values())


def _decode(data: bytes, key: str) -> list[IncidentDocument]:
    try:
        return documents.decode_json(data, list[IncidentDocument], source=key)
    except DocumentError:
        return []
