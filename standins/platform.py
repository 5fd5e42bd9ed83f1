"""A simulated platform: table, object store and VM list, with faults on request.

Usage: python -m standins.platform ADDRESS

``POST /faults`` takes ``{"mode": MODE, "delay_s": SECONDS}`` with MODE one of ``none``,
``refuse`` (503, no effect), ``drop`` (writes take effect, but their responses come 3 s late,
after the timeouts of callers), ``late`` (writes take effect after the delay), ``delay`` (reads and
writes take effect after the delay) and ``damage`` (object reads return altered bytes).
"""

import asyncio
import sys
import threading
import time
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from carawaybank.web import (
    Router,
    WebRequest,
    WebResponse,
    json_response,
    run_in_thread,
    serve,
)

_DROPPED_RESPONSE_DELAY_S = 3.0


class SimulatedPlatform:
    """State of the platform in memory.

    Attributes:
        rows: Rows of the table by key, each with ``key``, ``value`` and ``version``.
        objects: Objects by key.
        vms: The VM list.
        faults: Fault mode and delay.
        counts: Number of reads and writes so far.
    """

    def __init__(self) -> None:
        """Creates an empty platform without faults."""
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[dict[str, str]] = []
        self.faults: dict[str, Any] = {"mode": "none", "delay_s": 0.0}
        self.counts = {"reads": 0, "writes": 0}
        self._lock = threading.Lock()

    def commit(self, writes: list[dict[str, Any]]) -> str | None:
        """Applies all writes if each row has its expected version, and none otherwise.

        Returns:
            The key of the first row whose version differs; None if the writes were applied.
        """
        with self._lock:
            for write in writes:
                version = self.rows.get(write["key"], {"version": 0})["version"]
                if write["if_version"] is not None and write["if_version"] != version:
                    return str(write["key"])
            for write in writes:
                self._apply_write(write)
        return None

    def _apply_write(self, write: dict[str, Any]) -> None:
        key = write["key"]
        if write["value"] is None:
            self.rows.pop(key, None)
            return
        version = self.rows.get(key, {"version": 0})["version"] + 1
        self.rows[key] = {"key": key, "value": write["value"], "version": version}


class PlatformApp:
    """HTTP handlers of the simulated platform."""

    def __init__(self, *, platform: SimulatedPlatform) -> None:
        """Creates the handlers of a platform."""
        self._platform = platform

    def mount(self, router: Router) -> None:
        """Registers all handlers; fault modes apply to the table and to objects."""
        router.mount("/faults", self.set_faults, methods=("POST",))
        router.mount("/counts", lambda _: json_response(self._platform.counts))
        router.mount("/vms", self.handle_vms, methods=("GET", "PUT"))
        router.mount("/table/commit", self._with_faults(self.commit), methods=("POST",))
        router.mount("/table/range", self._with_faults(self.scan))
        router.mount("/objects", self._with_faults(self.list_objects))
        router.mount_prefix("/table/rows/", self._with_faults(self.get_row))
        router.mount_prefix("/objects/", self._with_faults(self.handle_object))

    def set_faults(self, request: WebRequest) -> WebResponse:
        """Updates the fault mode or delay and returns both."""
        self._platform.faults.update(msgspec.json.decode(request.body))
        return json_response(self._platform.faults)

    def handle_vms(self, request: WebRequest) -> WebResponse:
        """Returns the VM list; replaces it first on PUT. Returns 503 in fault mode ``refuse``."""
        if request.method == "PUT":
            self._platform.vms = msgspec.json.decode(request.body)
        if self._platform.faults["mode"] == "refuse":
            return json_response({}, status=503)
        return json_response(self._platform.vms)

    def commit(self, request: WebRequest) -> WebResponse:
        """Commits writes; returns 409 with the key of the row whose version differs."""
        self._platform.counts["writes"] += 1
        conflict = self._platform.commit(msgspec.json.decode(request.body))
        if conflict is not None:
            return json_response({"conflict": conflict}, status=409)
        return json_response({})

    def get_row(self, request: WebRequest) -> WebResponse:
        """Returns a row; 404 if it does not exist."""
        self._platform.counts["reads"] += 1
        row = self._platform.rows.get(unquote(request.path[len("/table/rows/") :]))
        return json_response(row) if row else json_response({}, status=404)

    def scan(self, request: WebRequest) -> WebResponse:
        """Returns up to ``limit`` rows with a key prefix, in key order after the key ``after``."""
        self._platform.counts["reads"] += 1
        query = parse_qs(request.query, keep_blank_values=True)
        prefix, after, limit = query["prefix"][0], query["after"][0], int(query["limit"][0])
        keys = sorted(k for k in list(self._platform.rows) if k.startswith(prefix) and k > after)
        return json_response([self._platform.rows[key] for key in keys[:limit]])

    def handle_object(self, request: WebRequest) -> WebResponse:
        """Stores an object on PUT, otherwise returns it; 404 if it does not exist."""
        key = unquote(request.path[len("/objects/") :])
        if request.method == "PUT":
            self._platform.counts["writes"] += 1
            self._platform.objects[key] = request.body
            return json_response({})
        self._platform.counts["reads"] += 1
        data = self._platform.objects.get(key)
        if data is None:
            return json_response({}, status=404)
        if self._platform.faults["mode"] == "damage":
            data = data[: len(data) // 2] + b"?"
        return WebResponse(200, (), data)

    def list_objects(self, request: WebRequest) -> WebResponse:
        """Returns the sorted keys of all objects with a prefix."""
        self._platform.counts["reads"] += 1
        prefix = parse_qs(request.query, keep_blank_values=True)["prefix"][0]
        return json_response(sorted(k for k in self._platform.objects if k.startswith(prefix)))

    def _with_faults(self, handler: Any) -> Any:
        def handle(request: WebRequest) -> WebResponse:
            faults = self._platform.faults
            if faults["mode"] == "refuse":
                return json_response({}, status=503)
            is_delayed_write = faults["mode"] == "late" and request.method != "GET"
            if is_delayed_write or faults["mode"] == "delay":
                time.sleep(faults["delay_s"])
            response: WebResponse = handler(request)
            if faults["mode"] == "drop" and request.method != "GET":
                time.sleep(_DROPPED_RESPONSE_DELAY_S)
            return response

        return run_in_thread(handle)


def main() -> None:
    """Serves a platform until the process is terminated."""
    asyncio.run(_serve(sys.argv[1]))


async def _serve(address: str) -> None:
    router = Router()
    PlatformApp(platform=SimulatedPlatform()).mount(router)
    await serve(address, router, max_body_bytes=64 * 1024 * 1024, connections=set())
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
