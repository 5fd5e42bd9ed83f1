"""Sends requests one after another on a few connections and prints their latencies as JSON.

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
    """What is sent."""

    address: str
    method: str
    path: str
    marks: dict[str, str]


def send_all(request: Request, seconds: float, into: list[float]) -> None:
    """Sends requests on one connection until the time is up."""
    address, method, path, marks = request
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=10)
    until = time.perf_counter() + seconds
    while (began := time.perf_counter()) < until:
        connection.request(method, path, body=BODY if method == "POST" else None, headers=marks)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise SystemExit(f"status {response.status}")
        into.append(time.perf_counter() - began)


def main() -> None:
    """Runs the load."""
    address, method, path, seconds, threads = sys.argv[1:6]
    marks = dict(mark.split("=", 1) for mark in sys.argv[6:])
    latencies: list[float] = []
    workers = [
        threading.Thread(
            target=send_all,
            args=(Request(address, method, path, marks), float(seconds), latencies),
        )
        for _ in range(int(threads))
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    json.dump(latencies, sys.stdout)


if __name__ == "__main__":
    main()
