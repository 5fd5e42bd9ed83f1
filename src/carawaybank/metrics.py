"""Metrics by OpenTelemetry, scraped in the Prometheus format and pushed by OTLP if set."""

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from carawaybank.verdicts import Answered, MayHaveRun, Verdict


class Metrics:
    """The instruments of a daemon."""

    def __init__(self, *, vm: str, otlp_endpoint: str = "") -> None:
        """Registers the instruments.

        Args:
            vm: Name of the entry VM.
            otlp_endpoint: URL that metrics are pushed to; empty for none.
        """
        readers: list[MetricReader] = [PrometheusMetricReader()]
        if otlp_endpoint:
            exporter = OTLPMetricExporter(endpoint=otlp_endpoint)
            readers.append(PeriodicExportingMetricReader(exporter))
        resource = Resource.create({"service.name": "carawaybankd", "service.instance.id": vm})
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        meter = self._provider.get_meter("carawaybank")
        self._requests = meter.create_counter("carawaybank.requests", description="by verdict")
        self._latency = meter.create_histogram("carawaybank.request.duration", unit="s")
        self._attempts = meter.create_counter("carawaybank.attempts", description="at targets")
        self._control = meter.create_counter("carawaybank.control.bytes", unit="By")
        self._ticket = meter.create_gauge("carawaybank.ticket", description="in force")
        self._lookups = meter.create_counter("carawaybank.lookups")

    def count_request(self, service: str, verdict: Verdict, latency_s: float) -> None:
        """Counts a request that ended."""
        name = verdict_name(verdict)
        reason = "" if isinstance(verdict, Answered) else str(verdict.reason)
        self._requests.add(1, {"service": service, "verdict": name, "reason": reason})
        self._latency.record(latency_s, {"service": service, "verdict": name})

    def count_attempt(self, service: str) -> None:
        """Counts a dispatch to a target."""
        self._attempts.add(1, {"service": service})

    def count_control_bytes(self, count: int) -> None:
        """Counts bytes of exchanges with siblings."""
        self._control.add(count)

    def set_ticket(self, number: int) -> None:
        """Records the ticket in force."""
        self._ticket.set(number)

    def count_lookup(self) -> None:
        """Counts a look-up of entry VMs."""
        self._lookups.add(1)

    def close(self) -> None:
        """Flushes and stops the exporters."""
        self._provider.shutdown()


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
