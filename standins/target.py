"""A simulated target: runs requests in its slots and fails in the way that a request selects.

Usage: python -m standins.target NAME ADDRESS SLOTS [WORK_MS]

The path of a request selects the behavior: ``/run``, ``/slow`` (X-Work-Ms), ``/crash`` (the process
exits), ``/drop`` (runs, then closes the connection without a response), ``/truncate`` (closes the
connection before the end of the response), ``/cross`` (responds with another request's id) and
``/freeze`` (no response for 30 s). The header X-Work-Ms sets the duration of a request in
milliseconds. ``GET /runs`` returns the ids that ran, with their counts. After ``POST /drain``, all
responses report that the target is draining.
"""

import os
import socket
import sys
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from carawaybank import headers

_FREEZE_DURATION_S = 30.0


class TargetState:
    """Slots and counters of the target.

    Attributes:
        name: Name of the target.
        slots: Maximum number of concurrent requests.
        work_s: Default duration of a request in seconds.
        busy: Number of slots in use.
        max_busy: Highest number of slots in use so far.
        max_offered: Highest number of slots needed at once so far: those in use when a request
            arrives, and one for that request.
        shed: Number of requests that were rejected because all slots were in use.
        draining: Whether responses report that the target is draining.
        drain_started_at: Unix time of the last ``/drain``; 0 before.
        last_run_at: Unix time of the last start of a run; 0 before.
        runs: Number of runs by request id.
        lock: Guards the counters.
    """

    def __init__(self, *, name: str, slots: int, work_s: float) -> None:
        """Creates the state of an idle target.

        Args:
            name: Name of the target.
            slots: Maximum number of concurrent requests; more are shed.
            work_s: Default duration of a request in seconds.
        """
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.busy = 0
        self.max_busy = 0
        self.max_offered = 0
        self.shed = 0
        self.draining = False
        self.drain_started_at = 0.0
        self.last_run_at = 0.0
        self.runs: Counter[str] = Counter()
        self.lock = threading.Lock()

    def acquire_slot(self, request_id: str) -> bool:
        """Acquires a slot; returns False and counts a shed request if none is free."""
        with self.lock:
            self.max_offered = max(self.max_offered, self.busy + 1)
            if self.busy >= self.slots:
                self.shed += 1
                return False
            self.busy += 1
            self.max_busy = max(self.max_busy, self.busy)
            self.runs[request_id] += 1
            self.last_run_at = time.time()
            return True

    def release_slot(self) -> None:
        """Releases a slot."""
        with self.lock:
            self.busy -= 1

    def report(self) -> dict[str, object]:
        """Returns the counters as the body of ``GET /runs``."""
        return {
            "name": self.name,
            "runs": dict(self.runs),
            "total": sum(self.runs.values()),
            "busy": self.busy,
            "peak": self.max_busy,
            "offered_peak": self.max_offered,
            "shed": self.shed,
            "drained_at": self.drain_started_at,
            "last_run_at": self.last_run_at,
        }


class TargetHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection to the target."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    state: TargetState

    def do_GET(self) -> None:
        """Handles a GET request by its path."""
        self._handle()

    def do_POST(self) -> None:
        """Handles a POST request by its path."""
        self._handle()

    def log_message(self, format: str, *args: object) -> None:
        """Suppresses the access log."""

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        path = self.path.partition("?")[0]
        if path == "/health":
            self._send(200, b"{}", "", {headers.BUSY: str(self.state.busy)})
        elif path == "/runs":
            self._send(200, msgspec.json.encode(self.state.report()), "")
        elif path == "/drain":
            self.state.draining = True
            self.state.drain_started_at = time.time()
            self._send(200, b"{}", "")
        else:
            self._run(path, body)

    def _run(self, path: str, body: bytes) -> None:
        request_id = self.headers.get(headers.REQUEST_ID, "")
        deadline_at = float(self.headers.get(headers.DEADLINE_AT) or "inf")
        if time.time() > deadline_at or not self.state.acquire_slot(request_id):
            self._send(503, b"{}", request_id, {headers.NOT_RUN: "true", "Retry-After": "1"})
            return
        try:
            self._work(path)
            self._finish(path, body, request_id)
        finally:
            self.state.release_slot()

    def _work(self, path: str) -> None:
        if path == "/crash":
            os._exit(1)
        if path == "/freeze":
            time.sleep(_FREEZE_DURATION_S)
        requested_work_ms = self.headers.get("X-Work-Ms")
        time.sleep(float(requested_work_ms) / 1000 if requested_work_ms else self.state.work_s)

    def _finish(self, path: str, body: bytes, request_id: str) -> None:
        response = msgspec.json.encode({"target": self.state.name, "echo": body.decode("latin-1")})
        if path == "/drop":
            self._abort_connection()
        elif path == "/truncate":
            self._send_head(200, request_id, {"Content-Length": str(len(response) + 10)})
            self.wfile.write(response)
            self._abort_connection()
        elif path == "/cross":
            self._send(200, response, "another-id")
        else:
            self._send(200, response, request_id)

    def _abort_connection(self) -> None:
        self.wfile.flush()
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    def _send(
        self, status: int, body: bytes, request_id: str, extra_headers: dict[str, str] | None = None
    ) -> None:
        self._send_head(
            status, request_id, {"Content-Length": str(len(body)), **(extra_headers or {})}
        )
        self.wfile.write(body)

    def _send_head(self, status: int, request_id: str, extra_headers: dict[str, str]) -> None:
        self.send_response(status)
        if request_id:
            self.send_header(headers.REQUEST_ID, request_id)
        if self.state.draining:
            self.send_header(headers.DRAINING, "true")
        for name, value in extra_headers.items():
            self.send_header(name, value)
        self.end_headers()


class TargetServer(ThreadingHTTPServer):
    """Serves each connection in a daemon thread."""

    request_queue_size = 256
    daemon_threads = True


def main() -> None:
    """Serves a target until the process is terminated."""
    name, address, slots = sys.argv[1:4]
    work_ms = float(sys.argv[4]) if len(sys.argv) > 4 else 2.0
    host, _, port = address.rpartition(":")
    TargetHandler.state = TargetState(name=name, slots=int(slots), work_s=work_ms / 1000)
    TargetServer((host, int(port)), TargetHandler).serve_forever()


if __name__ == "__main__":
    main()
