"""Metrics by OpenTelemetry, scraped in the Prometheus format and pushed by OTLP if set."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from carawaybank.counters import Counters, verdict_name
from carawaybank.verdicts import Verdict

__all__ = ["Metrics", "scrape", "verdict_name"]

_PERCENTILES = (50.0, 99.0)


class Metrics:
    """The instruments of a daemon, which observe its counters when metrics are collected."""

    def __init__(
        self, *, vm: str, otlp_endpoint: str = "", counters: Counters | None = None
    ) -> None:
        """Registers the instruments.

        Args:
            vm: Name of the entry VM.
            otlp_endpoint: URL that metrics are pushed to; empty for none.
            counters: What is observed; new counters if left out.
        """
        self._counters = counters or Counters()
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
        self._register()

    @property
    def counters(self) -> Counters:
        """What is observed."""
        return self._counters

    def count_request(self, service: str, verdict: Verdict, latency_s: float) -> None:
        """Counts a request that ended."""
        self._counters.count_request(service, verdict, latency_s)

    def count_attempt(self, service: str) -> None:
        """Counts a dispatch to a target."""
        self._counters.count_attempt(service)

    def count_control_bytes(self, count: int) -> None:
        """Counts bytes of exchanges with siblings."""
        self._counters.count_control_bytes(count)

    def count_lookup(self) -> None:
        """Counts a look-up of entry VMs."""
        self._counters.count_lookup()

    def set_ticket(self, number: int) -> None:
        """Records the ticket in force."""
        self._counters.configuration = number

    def close(self) -> None:
        """Flushes and stops the exporters."""
        self._provider.shutdown()

    def _register(self) -> None:
        counters = self._counters
        meter = self._provider.get_meter("carawaybank")
        counter, gauge = meter.create_observable_counter, meter.create_observable_gauge
        counter("carawaybank.requests", [self._observe_requests], description="by verdict")
        counter("carawaybank.attempts", [self._observe_attempts], description="at targets")
        counter("carawaybank.requests.abandoned", [lambda _: [Observation(counters.abandoned)]])
        counter("carawaybank.lookups", [lambda _: [Observation(counters.lookups)]])
        counter(
            "carawaybank.control.bytes", [lambda _: [Observation(counters.control_bytes)]], "By"
        )
        gauge("carawaybank.ticket", [lambda _: [Observation(counters.configuration)]])
        gauge("carawaybank.request.duration", [self._observe_latencies], "s")

    def _observe_requests(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.requests()
        return [Observation(count, kind._asdict()) for kind, count in counts.items()]

    def _observe_attempts(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.attempts()
        return [Observation(count, {"service": service}) for service, count in counts.items()]

    def _observe_latencies(self, _: CallbackOptions) -> list[Observation]:
        return [
            Observation(seconds, {"service": service, "percentile": str(percentile)})
            for percentile in _PERCENTILES
            for service, seconds in self._counters.latency_s(percentile).items()
        ]


def scrape() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
