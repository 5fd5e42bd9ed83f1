"""Sends sequential requests on each of several connections and prints the latencies as JSON.

Usage: python -m benchmarks.load ADDRESS METHOD PATH SECONDS THREADS [HEADER=VALUE]...
"""

import json
import sys
import threading
import time
from typing import NamedTuple

from urllib3.connection import HTTPConnection

BODY = b"job"


class Request(NamedTuple):
    """Address, method, path and headers of the requests."""

    address: str
    method: str
    path: str
    headers: dict[str, str]


def send_all(request: Request, seconds: float, latencies_s: list[float]) -> None:
    """Sends requests on one connection for a time and records their latencies.

    Args:
        request: Request to repeat.
        seconds: Duration of the load.
        latencies_s: List to which the latencies are added, in seconds.

    Raises:
        SystemExit: On a response with a status other than 200.
    """
    address, method, path, headers = request
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=10)
    end_at = time.perf_counter() + seconds
    while (sent_at := time.perf_counter()) < end_at:
        connection.request(method, path, body=BODY if method == "POST" else None, headers=headers)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise SystemExit(f"status {response.status}")
        latencies_s.append(time.perf_counter() - sent_at)


def main() -> None:
    """Sends the load from all threads and prints a JSON list of latencies in seconds."""
    address, method, path, seconds, threads = sys.argv[1:6]
    headers = dict(header.split("=", 1) for header in sys.argv[6:])
    latencies_s: list[float] = []
    workers = [
        threading.Thread(
            target=send_all,
            args=(Request(address, method, path, headers), float(seconds), latencies_s),
        )
        for _ in range(int(threads))
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    json.dump(latencies_s, sys.stdout)


if __name__ == "__main__":
    main()
