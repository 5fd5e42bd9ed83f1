"""HTTP clients of the platform's services, behind the protocols of the package."""

import time
from typing import Any, TypeVar
from urllib.parse import quote

import urllib3
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from carawaybank import documents
from carawaybank.buffers import BodyBuffer
from carawaybank.exceptions import DocumentError, PlatformError
from carawaybank.storage.models import ListedVm, Row, Write

_T = TypeVar("_T")
_CONFLICT_STATUS = 409
#: Bytes that are read at a time.
_READ_BYTES = 65_536
#: Statuses of responses that say what became of a call.
_DECIDED_STATUSES = range(200, 500)
#: Largest response in bytes, such as a state in the object store.
_MAX_BODY_BYTES = 16_000_000


class PlatformClient:
    """Performs HTTP calls to the platform over pooled connections, without retries."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Creates the client; the first call connects.

        Args:
            url: Base URL of the platform's services.
            timeout_s: Timeout of a call in seconds, connecting included.
        """
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        timeout = urllib3.Timeout(total=timeout_s)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False, maxsize=4)

    def call(self, method: str, path: str, *, body: bytes | None = None) -> tuple[int, bytes]:
        """Performs a call and returns the status and body of its response.

        Args:
            method: HTTP method; every method but GET is considered a write.
            path: Path and query.
            body: Body of the request.

        Raises:
            PlatformError: If there is no response or its status is not one of 200 to 499.
                ``may_have_run`` is true for a write unless the connection could not be opened.
        """
        writes = method != "GET"
        try:
            response = self._http.request(
                method, self._url + path, body=body, preload_content=False
            )
            data = self._read(response)
        except (NewConnectionError, MaxRetryError) as error:
            is_connect_failure = "NewConnection" in type(error).__name__
            raise PlatformError(
                message=f"the platform cannot be reached: {error}",
                may_have_run=writes and not is_connect_failure,
            ) from None
        except HTTPError as error:
            raise PlatformError(
                message=f"the platform did not answer: {type(error).__name__}", may_have_run=writes
            ) from None
        if response.status not in _DECIDED_STATUSES:
            raise PlatformError(
                message=f"the platform answered {response.status}", may_have_run=writes
            )
        return response.status, data

    def _read(self, response: urllib3.BaseHTTPResponse) -> bytes:
        """Returns the body of a response.

        Raises:
            HTTPError: If it is too large, or is not received in time.
        """
        body, deadline = BodyBuffer(), time.monotonic() + self._timeout_s
        try:
            for piece in response.stream(_READ_BYTES):
                body.append(piece)
                if body.size > _MAX_BODY_BYTES or time.monotonic() > deadline:
                    response.close()
                    raise HTTPError(f"a response is too long, {body.size} bytes so far")
            return body.take()
        finally:
            response.release_conn()

    def decode(self, data: bytes, shape: type[_T]) -> _T:
        """Returns the JSON document in the body of a response.

        Args:
            data: The body.
            shape: Type of the document.

        Raises:
            PlatformError: If the body is not a document of this type.
        """
        try:
            return documents.decode_json(data, shape, source="platform")
        except DocumentError as error:
            raise PlatformError(message=str(error), may_have_run=False) from None


class HttpTable:
    """The HTTP client of the table service. All methods raise ``PlatformError``."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Uses a client, which the services of one platform share."""
        self._client = client

    def get(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        status, data = self._client.call("GET", f"/table/rows/{quote(key, safe='')}")
        return self._client.decode(data, Row) if status == 200 else None

    def scan(self, prefix: str, *, after: str = "", limit: int = 100) -> list[Row]:
        """Returns at most ``limit`` rows with the key prefix that follow ``after``, in order."""
        query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}&limit={limit}"
        _, data = self._client.call("GET", f"/table/range?{query}")
        return self._client.decode(data, list[Row])

    def commit(self, writes: list[Write]) -> str | None:
        """Applies all writes or none.

        Returns:
            None if they were applied, else the key of a row whose version condition failed.
        """
        encoded_writes = [write._asdict() for write in writes]
        body = documents.encode_json(encoded_writes)
        status, data = self._client.call("POST", "/table/commit", body=body)
        if status == _CONFLICT_STATUS:
            conflict: Any = self._client.decode(data, dict[str, str])
            return str(conflict["conflict"])
        if status != 200:
            raise PlatformError(message=f"the table answered {status}", may_have_run=False)
        return None


class HttpObjectStore:
    """The HTTP client of the object store. All methods raise ``PlatformError``."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Uses a client, which the services of one platform share."""
        self._client = client

    def get(self, key: str) -> bytes | None:
        """Returns the bytes of an object, or None if it does not exist."""
        status, data = self._client.call("GET", f"/objects/{quote(key, safe='')}")
        return data if status == 200 else None

    def put(self, key: str, data: bytes) -> None:
        """Stores an object; replaces one with the same key."""
        self._client.call("PUT", f"/objects/{quote(key, safe='')}", body=data)

    def list(self, prefix: str) -> list[str]:
        """Returns the keys of the objects with a prefix, in order."""
        _, data = self._client.call("GET", f"/objects?prefix={quote(prefix, safe='')}")
        return self._client.decode(data, list[str])


class HttpVmList:
    """The HTTP client of the VM list. Raises ``PlatformError``."""

    def __init__(self, *, client: PlatformClient) -> None:
        """Uses a client, which the services of one platform share."""
        self._client = client

    def read(self) -> list[ListedVm]:
        """Returns the VMs in the list; it may be outdated."""
        _, data = self._client.call("GET", "/vms")
        return self._client.decode(data, list[ListedVm])
