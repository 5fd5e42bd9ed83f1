"""A minimal forwarder and look-up server on cheroot and urllib3, as a baseline for benchmarks.

Usage: python -m benchmarks.bare ADDRESS TARGET

``/v1/entries`` returns constant bytes. All other paths are forwarded to the target on pooled
connections, without any checks.
"""

import sys
import threading
from collections.abc import Callable
from typing import Any

import urllib3
from cheroot.wsgi import Server

ENTRIES = b'{"entries":[' + b'{"vm":"regina-1","address":"127.0.0.11:8100"},' * 7 + b"{}]}"


class BareForwarder:
    """WSGI application that forwards requests without checks."""

    def __init__(self, *, target: str) -> None:
        """Creates a forwarder.

        Args:
            target: Address of the target.
        """
        self._target = f"http://{target}"
        self._pool = urllib3.PoolManager(maxsize=64, retries=False)
        self._local = threading.local()

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Returns the constant look-up or the body of the target's response, always with 200."""
        if environ["PATH_INFO"] == "/v1/entries":
            start_response("200 OK", [("Content-Length", str(len(ENTRIES)))])
            return [ENTRIES]
        size_bytes = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(size_bytes) if size_bytes else b""
        response = self._pool.request(environ["REQUEST_METHOD"], f"{self._target}/run", body=body)
        start_response("200 OK", [("Content-Length", str(len(response.data)))])
        return [response.data]


def main() -> None:
    """Serves until the process is terminated."""
    address, target = sys.argv[1:3]
    host, _, port = address.rpartition(":")
    Server((host, int(port)), BareForwarder(target=target), numthreads=32).safe_start()


if __name__ == "__main__":
    main()
