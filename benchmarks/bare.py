"""The barest forwarder and the barest look-up of the same two libraries, to compare with.

Usage: python -m benchmarks.bare ADDRESS TARGET

``/v1/entries`` answers with constant bytes; every other path is forwarded to the target on a kept
connection of the serving thread, with no check of anything.
"""

import sys
import threading
from collections.abc import Callable
from typing import Any

import urllib3
from cheroot.wsgi import Server

ENTRIES = b'{"entries":[' + b'{"vm":"regina-1","address":"127.0.0.11:8100"},' * 7 + b"{}]}"


class BareForwarder:
    """A WSGI application without guards."""

    def __init__(self, *, target: str) -> None:
        """Takes the target to forward to."""
        self._target = f"http://{target}"
        self._pool = urllib3.PoolManager(maxsize=64, retries=False)
        self._local = threading.local()

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answers a request."""
        if environ["PATH_INFO"] == "/v1/entries":
            start_response("200 OK", [("Content-Length", str(len(ENTRIES)))])
            return [ENTRIES]
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(size) if size else b""
        response = self._pool.request(environ["REQUEST_METHOD"], f"{self._target}/run", body=body)
        start_response("200 OK", [("Content-Length", str(len(response.data)))])
        return [response.data]


def main() -> None:
    """Serves until ended."""
    address, target = sys.argv[1:3]
    host, _, port = address.rpartition(":")
    Server((host, int(port)), BareForwarder(target=target), numthreads=32).safe_start()


if __name__ == "__main__":
    main()
