"""A simulated caller: caches look-ups of entry VMs and resends only requests that did not run."""

import itertools
import time
from typing import NamedTuple

from carawaybank import headers
from standins.cluster import Cluster

_MAX_ATTEMPTS = 8
#: An entry VM that resumes after a pause refuses look-ups until a sibling has responded to it, so
#: look-ups are retried for this long.
_LOOK_UP_TIMEOUT_S = 2.0
_LOOK_UP_RETRY_INTERVAL_S = 0.1


class SendResult(NamedTuple):
    """Outcome of a request as the caller sees it.

    Attributes:
        status: HTTP status; 0 if no response was received.
        verdict: Value of the verdict header, or what the caller infers without a response.
        target: Name of the target that responded; empty if unknown.
        ticket: Number of the ticket in force at the entry VM; 0 if unknown.
        request_id: Id of the last attempt.
        latency_s: Seconds from the start of the first attempt.
        reason: Reason from the response body.
    """

    status: int
    verdict: str
    target: str
    ticket: int
    request_id: str
    latency_s: float
    reason: str = ""


class Caller:
    """Sends requests as a caller should: with cached look-ups, and without unsafe retries."""

    def __init__(self, *, cluster: Cluster, name: str, customer: str = "prairie") -> None:
        """Creates a caller without cached entry VMs.

        Args:
            cluster: Cluster whose entry VMs are called.
            name: Part of each request id; unique among callers.
            customer: Customer named in each request.
        """
        self._cluster = cluster
        self._name = name
        self._customer = customer
        self._request_numbers = itertools.count()
        self._entries: list[dict[str, str]] = []
        self._expires_at = 0.0

    def send(
        self,
        path: str = "/run",
        *,
        service: str = "dispatch",
        repeatable: bool = False,
        body: bytes = b"job",
        extra_headers: dict[str, str] | None = None,
    ) -> SendResult:
        """Sends a request and returns its outcome.

        Retries at the next entry VM, with a new request id, while the verdict is ``not-run``; at
        most 8 attempts.

        Raises:
            TimeoutError: If no entry VM serves look-ups within 2 s.
        """
        request_number = next(self._request_numbers)
        started_at = time.monotonic()
        result = SendResult(0, "not-run", "", 0, "", 0.0)
        for attempt in range(_MAX_ATTEMPTS):
            entries = self._look_up()
            entry = entries[attempt % len(entries)]
            request_id = f"{entry['id_prefix']}.{self._name}-{request_number}-{attempt}"
            request_headers = {
                headers.REPEATABLE: "true" if repeatable else "false",
                **(extra_headers or {}),
            }
            result = self._send_once(entry, f"{service}{path}", body, request_id, request_headers)
            result = result._replace(latency_s=time.monotonic() - started_at)
            if result.verdict != "not-run":
                return result
            if attempt:
                time.sleep(0.05 * attempt)
        return result

    def _send_once(
        self,
        entry: dict[str, str],
        path: str,
        body: bytes,
        request_id: str,
        extra_headers: dict[str, str],
    ) -> SendResult:
        request_headers = {
            headers.REQUEST_ID: request_id,
            headers.CUSTOMER: self._customer,
            headers.FIRST_SEND: "true",
            **extra_headers,
        }
        status, document, response_headers = self._cluster.call(
            "POST", entry["address"], f"/v1/forward/{path}", body, request_headers
        )
        if status == 0:
            is_refused = "refused" in document["detail"]
            return SendResult(
                0, "not-run" if is_refused else "may-have-run", "", 0, request_id, 0.0
            )
        return SendResult(
            status,
            response_headers.get(headers.VERDICT, ""),
            response_headers.get(headers.TARGET, ""),
            int(response_headers.get(headers.TICKET, "0")),
            request_id,
            0.0,
            str(document.get("reason", "") if isinstance(document, dict) else document),
        )

    def _look_up(self) -> list[dict[str, str]]:
        if time.monotonic() < self._expires_at and self._entries:
            return self._entries
        deadline = time.monotonic() + _LOOK_UP_TIMEOUT_S
        while True:
            statuses = self._fetch_entries()
            if self._entries:
                return self._entries
            if time.monotonic() > deadline:
                raise TimeoutError(f"no entry VM serves look-ups; statuses by VM: {statuses}")
            time.sleep(_LOOK_UP_RETRY_INTERVAL_S)

    def _fetch_entries(self) -> dict[str, int]:
        """Queries entry VMs in turn until one returns entries; returns the HTTP statuses by VM."""
        statuses = {}
        self._entries = []
        for vm in list(self._cluster.vms.values()):
            if vm.name not in self._cluster.processes:
                continue
            status, document, _ = self._cluster.call("GET", vm.callers_address, "/v1/entries")
            statuses[vm.name] = status
            if status == 200:
                self._entries = document["entries"]
                self._expires_at = time.monotonic() + document["ttl_s"]
                break
        return statuses
