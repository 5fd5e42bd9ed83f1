"""Metrics by OpenTelemetry, scraped in the Prometheus format and pushed by OTLP if set."""

import threading
from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from carawaybank.verdicts import Answered, MayHaveRun, Verdict

_LONGEST_LATENCY_US = 600_000_000
_LATENCY_DIGITS = 2
_PERCENTILES = (50.0, 99.0)


class _RequestKind(NamedTuple):
    """Attributes that requests are counted by."""

    service: str
    verdict: str
    reason: str


class Metrics:
    """The instruments of a daemon.

    Requests are counted in plain dictionaries and read when metrics are collected, because
    recording each through the library would cost a tenth of a forwarded request.
    """

    def __init__(self, *, vm: str, otlp_endpoint: str = "") -> None:
        """Registers the instruments.

        Args:
            vm: Name of the entry VM.
            otlp_endpoint: URL that metrics are pushed to; empty for none.
        """
        self._lock = threading.Lock()
        self._requests: Counter[_RequestKind] = Counter()
        self._attempts: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._lookups = 0
        self._abandoned = 0
        self._control_bytes = 0
        self._ticket = 0
        readers: list[MetricReader] = [PrometheusMetricReader()]
        if otlp_endpoint:
            # Imported here because it costs every other daemon start-up time and memory.
            from opentelemetry.exporter.otlp.proto.http.metric_exporter import (  # noqa: PLC0415
                OTLPMetricExporter,
            )

            exporter = OTLPMetricExporter(endpoint=otlp_endpoint)
            readers.append(PeriodicExportingMetricReader(exporter))
        resource = Resource.create({"service.name": "carawaybankd", "service.instance.id": vm})
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        meter = self._provider.get_meter("carawaybank")
        counter, gauge = meter.create_observable_counter, meter.create_observable_gauge
        counter("carawaybank.requests", [self._observe_requests], description="by verdict")
        counter("carawaybank.attempts", [self._observe_attempts], description="at targets")
        counter("carawaybank.requests.abandoned", [lambda _: [Observation(self._abandoned)]])
        counter("carawaybank.lookups", [lambda _: [Observation(self._lookups)]])
        counter("carawaybank.control.bytes", [lambda _: [Observation(self._control_bytes)]], "By")
        gauge("carawaybank.ticket", [lambda _: [Observation(self._ticket)]])
        gauge("carawaybank.request.duration", [self._observe_latencies], "s")

    def count_request(self, service: str, verdict: Verdict, latency_s: float) -> None:
        """Counts a request that ended."""
        reason = "" if isinstance(verdict, Answered) else str(verdict.reason)
        kind = _RequestKind(service, verdict_name(verdict), reason)
        with self._lock:
            self._requests[kind] += 1
            histogram = self._latencies.get(service)
            if histogram is None:
                histogram = HdrHistogram(1, _LONGEST_LATENCY_US, _LATENCY_DIGITS)
                self._latencies[service] = histogram
            histogram.record_value(min(_LONGEST_LATENCY_US, int(latency_s * 1e6) + 1))

    def count_attempt(self, service: str) -> None:
        """Counts a dispatch to a target."""
        with self._lock:
            self._attempts[service] += 1

    def count_control_bytes(self, count: int) -> None:
        """Counts bytes of exchanges with siblings."""
        with self._lock:
            self._control_bytes += count

    def set_ticket(self, number: int) -> None:
        """Records the ticket in force."""
        self._ticket = number

    def count_abandoned(self) -> None:
        """Counts a request whose caller left."""
        self._abandoned += 1

    def count_lookup(self) -> None:
        """Counts a look-up of entry VMs."""
        with self._lock:
            self._lookups += 1

    def close(self) -> None:
        """Flushes and stops the exporters."""
        self._provider.shutdown()

    def _observe_requests(self, _: CallbackOptions) -> list[Observation]:
        with self._lock:
            counts = dict(self._requests)
        return [Observation(count, kind._asdict()) for kind, count in counts.items()]

    def _observe_attempts(self, _: CallbackOptions) -> list[Observation]:
        with self._lock:
            counts = dict(self._attempts)
        return [Observation(count, {"service": service}) for service, count in counts.items()]

    def _observe_latencies(self, _: CallbackOptions) -> list[Observation]:
        with self._lock:
            return [
                Observation(
                    histogram.get_value_at_percentile(percentile) / 1e6,
                    {"service": service, "percentile": str(percentile)},
                )
                for service, histogram in self._latencies.items()
                for percentile in _PERCENTILES
            ]


def verdict_name(verdict: Verdict) -> str:
    """Returns the name of a verdict in headers, metrics and documents.

    >>> verdict_name(Answered(200))
    'answered'
    """
    if isinstance(verdict, Answered):
        return "answered"
    return "may-have-run" if isinstance(verdict, MayHaveRun) else "not-run"


def scrape() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
