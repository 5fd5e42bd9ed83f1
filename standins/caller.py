"""A stand-in for a caller: looks entry VMs up, caches the answer, and sends again as permitted."""

import itertools
import time
from typing import NamedTuple

from carawaybank import headers
from standins.cluster import Cluster

_MAX_SENDS = 8
#: Entry VMs that wake from a pause refuse look-ups until a sibling has answered them.
_LOOK_UP_LIMIT_S = 2.0
_LOOK_UP_PAUSE_S = 0.1


class Sent(NamedTuple):
    """How a request ended for the caller."""

    status: int
    verdict: str
    target: str
    ticket: int
    request_id: str
    latency_s: float
    reason: str = ""


class Caller:
    """Sends requests as a well-behaved caller does."""

    def __init__(self, *, cluster: Cluster, name: str, customer: str = "prairie") -> None:
        """Starts without a cached look-up.

        Args:
            cluster: The system to call.
            name: Makes request ids unique.
            customer: The customer on whose behalf it calls.
        """
        self._cluster = cluster
        self._name = name
        self._customer = customer
        self._numbers = itertools.count()
        self._entries: list[dict[str, str]] = []
        self._expires_at = 0.0

    def send(
        self,
        path: str = "/run",
        *,
        service: str = "dispatch",
        repeatable: bool = False,
        body: bytes = b"job",
        marks: dict[str, str] | None = None,
    ) -> Sent:
        """Sends a request; sends it again only where it certainly did not run."""
        number = next(self._numbers)
        started = time.monotonic()
        sent = Sent(0, "not-run", "", 0, "", 0.0)
        for attempt in range(_MAX_SENDS):
            entries = self._look_up()
            entry = entries[attempt % len(entries)]
            request_id = f"{entry['id_prefix']}.{self._name}-{number}-{attempt}"
            flags = {headers.REPEATABLE: "true" if repeatable else "false", **(marks or {})}
            sent = self._send_once(entry, f"{service}{path}", body, request_id, flags)
            sent = sent._replace(latency_s=time.monotonic() - started)
            if sent.verdict != "not-run":
                return sent
            if attempt:
                time.sleep(0.05 * attempt)
        return sent

    def _send_once(
        self,
        entry: dict[str, str],
        path: str,
        body: bytes,
        request_id: str,
        flags: dict[str, str],
    ) -> Sent:
        sent = {
            headers.REQUEST_ID: request_id,
            headers.CUSTOMER: self._customer,
            headers.FIRST_SEND: "true",
            **flags,
        }
        status, document, got = self._cluster.call(
            "POST", entry["address"], f"/v1/forward/{path}", body, sent
        )
        if status == 0:
            refused = "refused" in document["detail"]
            return Sent(0, "not-run" if refused else "may-have-run", "", 0, request_id, 0.0)
        return Sent(
            status,
            got.get(headers.VERDICT, ""),
            got.get(headers.TARGET, ""),
            int(got.get(headers.TICKET, "0")),
            request_id,
            0.0,
            str(document.get("reason", "") if isinstance(document, dict) else document),
        )

    def _look_up(self) -> list[dict[str, str]]:
        if time.monotonic() < self._expires_at and self._entries:
            return self._entries
        deadline = time.monotonic() + _LOOK_UP_LIMIT_S
        while True:
            answers = self._ask_all()
            if self._entries:
                return self._entries
            if time.monotonic() > deadline:
                raise TimeoutError(f"no entry VM answers look-ups: {answers}")
            time.sleep(_LOOK_UP_PAUSE_S)

    def _ask_all(self) -> dict[str, int]:
        """Asks one entry VM after the other until one names entries; returns the statuses."""
        statuses = {}
        self._entries = []
        for vm in list(self._cluster.vms.values()):
            if vm.name not in self._cluster.processes:
                continue
            status, answer, _ = self._cluster.call("GET", vm.callers_address, "/v1/entries")
            statuses[vm.name] = status
            if status == 200:
                self._entries = answer["entries"]
                self._expires_at = time.monotonic() + answer["ttl_s"]
                break
        return statuses
