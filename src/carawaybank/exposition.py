"""The text that a metrics scrape gets, from a library that is loaded when it is needed.

Loading the metrics library takes a third of a daemon's start, in which it serves nobody, and a
good part of its memory. It is loaded when metrics are first asked for, in steps between requests.
"""

import asyncio
import importlib
import threading

from carawaybank.counters import Counters

CONTENT_TYPE = "text/plain; version=0.0.4"
#: Modules of the library in the order in which they are loaded, a few milliseconds each.
_STEPS = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics.export",
    "opentelemetry.exporter.prometheus",
    "carawaybank.metrics",
)


class Exposition:
    """Metrics of one daemon in the Prometheus format."""

    def __init__(self, *, vm: str, counters: Counters, otlp_endpoint: str = "") -> None:
        """Loads nothing yet.

        Args:
            vm: Name of the entry VM.
            counters: What is served.
            otlp_endpoint: URL that metrics are pushed to; empty for none.
        """
        self._vm = vm
        self._counters = counters
        self._otlp_endpoint = otlp_endpoint
        self._lock = threading.Lock()
        self._is_loaded = False
        self._asked = asyncio.Event()
        if otlp_endpoint:
            self._asked.set()

    async def load_when_asked(self) -> None:
        """Loads the library on the loop once somebody asked for metrics, or pushes are set.

        No thread is started: an import must neither delay a stop nor run beside the requests.
        """
        await self._asked.wait()
        for module in _STEPS:
            importlib.import_module(module)
            await asyncio.sleep(0)
        self.load()

    def load(self) -> None:
        """Loads the library, unless it is."""
        with self._lock:
            if self._is_loaded:
                return
            from carawaybank.metrics import Metrics  # noqa: PLC0415

            Metrics(vm=self._vm, counters=self._counters, otlp_endpoint=self._otlp_endpoint)
            self._is_loaded = True

    def text(self) -> bytes | None:
        """Returns all metrics, or None while the library is not loaded, which this asks for."""
        if not self._is_loaded:
            self._asked.set()
            return None
        from carawaybank.metrics import scrape  # noqa: PLC0415

        return scrape()
