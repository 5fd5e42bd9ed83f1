"""Metrics in the Prometheus text format, with the metrics library loaded on demand.

Loading the metrics library takes a third of the start-up time of a daemon, during which it cannot
serve requests, and a large part of its memory. The library is therefore loaded when metrics are
first requested, one module at a time, so that requests are served in between.
"""

import asyncio
import importlib
import threading
from collections.abc import Callable

from carawaybank.counters import Counters

CONTENT_TYPE = "text/plain; version=0.0.4"
#: Modules in the order in which they are loaded; each takes a few milliseconds.
_MODULES = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics.export",
    "opentelemetry.exporter.prometheus",
    "carawaybank.metrics",
)


class Exposition:
    """Metrics of one daemon in the Prometheus text format."""

    def __init__(
        self,
        *,
        vm: str,
        counters: Counters,
        otlp_endpoint: str = "",
        on_failure: Callable[[Exception], None] | None = None,
    ) -> None:
        """Stores the options without loading the library.

        Args:
            vm: Name of the entry VM.
            counters: Counters whose values are exported.
            otlp_endpoint: URL to which metrics are pushed by OTLP; empty to push none.
            on_failure: Called with the error if the library cannot be loaded, which the next
                request for metrics tries again; None to raise the error.
        """
        self._vm = vm
        self._counters = counters
        self._otlp_endpoint = otlp_endpoint
        self._on_failure = on_failure
        self._lock = threading.Lock()
        self._is_loaded = False
        self._load_requested = asyncio.Event()
        if otlp_endpoint:
            self._load_requested.set()

    async def load_on_demand(self) -> None:
        """Loads the library on the event loop when metrics are requested or OTLP push is enabled.

        No thread is used: an import in a thread could delay the stop of the process and would run
        concurrently with requests.
        """
        while not self._is_loaded:
            await self._load_requested.wait()
            self._load_requested.clear()
            try:
                for module in _MODULES:
                    importlib.import_module(module)
                    await asyncio.sleep(0)
                self.load()
            except Exception as error:
                if self._on_failure is None:
                    raise
                self._on_failure(error)

    def load(self) -> None:
        """Loads the library and registers the metrics; does nothing on a further call."""
        with self._lock:
            if self._is_loaded:
                return
            from carawaybank.metrics import Metrics  # noqa: PLC0415

            Metrics(vm=self._vm, counters=self._counters, otlp_endpoint=self._otlp_endpoint)
            self._is_loaded = True

    def render(self) -> bytes | None:
        """Returns all metrics, or None if the library is not loaded yet.

        In the latter case, :meth:`load_on_demand` starts to load it.
        """
        if not self._is_loaded:
            self._load_requested.set()
            return None
        from carawaybank.metrics import scrape  # noqa: PLC0415

        return scrape()
