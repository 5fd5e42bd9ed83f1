"""The text that a metrics scrape gets, from a library that is loaded when it is needed.

Loading the metrics library takes a third of a daemon's start, in which it serves nobody.
"""

import asyncio
import threading

from carawaybank.counters import Counters

CONTENT_TYPE = "text/plain; version=0.0.4"
#: Seconds after the start at which the library is loaded: the rush of the start is over by then.
_LOAD_AFTER_S = 3.0


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

    async def load_later(self) -> None:
        """Loads the library beside the requests, once the rush of the start is over.

        The thread is not waited for: an import under way must not delay a stop.
        """
        await asyncio.sleep(_LOAD_AFTER_S)
        threading.Thread(target=self.load, name="metrics", daemon=True).start()

    def load(self) -> None:
        """Loads the library, unless it is; takes a good part of a second."""
        with self._lock:
            if self._is_loaded:
                return
            from carawaybank.metrics import Metrics  # noqa: PLC0415

            Metrics(vm=self._vm, counters=self._counters, otlp_endpoint=self._otlp_endpoint)
            self._is_loaded = True

    def text(self) -> bytes | None:
        """Returns all metrics, or None while the library is not loaded."""
        if not self._is_loaded:
            return None
        from carawaybank.metrics import scrape  # noqa: PLC0415

        return scrape()
