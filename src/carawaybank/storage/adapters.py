"""HTTP adapters of the platform's services."""

from typing import Any, TypeVar
from urllib.parse import quote

import urllib3
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from carawaybank import documents
from carawaybank.exceptions import DocumentError, PlatformError
from carawaybank.storage.models import ListedVm, Row, Write

_T = TypeVar("_T")
_CONFLICT = 409


class PlatformClient:
    """Calls the platform over HTTP."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Takes the platform's address.

        Args:
            url: Where the platform's services are.
            timeout_s: Longest time in seconds that a call may take.
        """
        self._url = url.rstrip("/")
        timeout = urllib3.Timeout(total=timeout_s)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False, maxsize=4)

    def call(self, method: str, path: str, *, body: bytes | None = None) -> tuple[int, bytes]:
        """Returns the status and body of an answer.

        Raises:
            PlatformError: If there is no answer or the platform failed.
        """
        writes = method != "GET"
        try:
            response = self._http.request(method, self._url + path, body=body)
        except (NewConnectionError, MaxRetryError) as error:
            unreached = "NewConnection" in type(error).__name__
            raise PlatformError(
                message=f"the platform cannot be reached: {error}",
                may_have_run=writes and not unreached,
            ) from None
        except HTTPError as error:
            raise PlatformError(
                message=f"the platform did not answer: {type(error).__name__}", may_have_run=writes
            ) from None
        if response.status >= 500:
            raise PlatformError(
                message=f"the platform answered {response.status}", may_have_run=writes
            )
        return response.status, response.data

    def decode(self, data: bytes, shape: type[_T]) -> _T:
        """Returns the document in an answer.

        Raises:
            PlatformError: If it does not have the shape.
        """
        try:
            return documents.decode_json(data, shape, source="platform")
        except DocumentError as error:
            raise PlatformError(message=str(error), may_have_run=False) from None


class HttpTable:
    """The table service over HTTP."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Takes the client to call with."""
        self._client = client

    def get(self, key: str) -> Row | None:
        """Returns a row."""
        status, data = self._client.call("GET", f"/table/rows/{quote(key, safe='')}")
        return self._client.decode(data, Row) if status == 200 else None

    def scan(self, prefix: str, *, after: str = "", limit: int = 100) -> list[Row]:
        """Returns rows whose key has the prefix and follows ``after``, in order."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        _, data = self._client.call("GET", f"/table/range?{query}")
        return self._client.decode(data, list[Row])

    def commit(self, writes: list[Write]) -> str | None:
        """Writes all or nothing; returns the key of a row whose condition failed, or None."""
        documents_sent = [write._asdict() for write in writes]
        body = documents.encode_json(documents_sent)
        status, data = self._client.call("POST", "/table/commit", body=body)
        if status == _CONFLICT:
            conflict: Any = self._client.decode(data, dict[str, str])
            return str(conflict["conflict"])
        if status != 200:
            raise PlatformError(message=f"the table answered {status}", may_have_run=False)
        return None


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Takes the client to call with."""
        self._client = client

    def get(self, key: str) -> bytes | None:
        """Returns an object."""
        status, data = self._client.call("GET", f"/objects/{quote(key, safe='')}")
        return data if status == 200 else None

    def put(self, key: str, data: bytes) -> None:
        """Stores an object."""
        self._client.call("PUT", f"/objects/{quote(key, safe='')}", body=data)

    def list(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix, in order."""
        _, data = self._client.call("GET", f"/objects?prefix={quote(prefix, safe='')}")
        return self._client.decode(data, list[str])


class HttpVmList:
    """The VM list over HTTP."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Takes the client to call with."""
        self._client = client

    def read(self) -> list[ListedVm]:
        """Returns the VMs that the platform knows."""
        _, data = self._client.call("GET", "/vms")
        return self._client.decode(data, list[ListedVm])
