"""OpenTelemetry metrics, served in the Prometheus format and optionally pushed by OTLP."""

from collections.abc import Iterator

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.metrics_core import HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from carawaybank.counters import Counters
from carawaybank.resources import process_bytes

#: Upper bounds of the latency buckets in seconds, from the response of a warm target to the longest
#: timeout.
_LATENCY_BOUNDS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0, 60.0)


class Metrics:
    """Instruments of a daemon, which read its counters when metrics are collected."""

    def __init__(self, *, vm: str, counters: Counters, otlp_endpoint: str = "") -> None:
        """Creates and registers the instruments.

        Args:
            vm: Name of the entry VM.
            counters: Counters whose values are exported.
            otlp_endpoint: URL to which metrics are pushed by OTLP; empty to push none.
        """
        self._counters = counters
        readers: list[MetricReader] = [PrometheusMetricReader()]
        if otlp_endpoint:
            # Imported only when needed, because the import costs start-up time and memory.
            from opentelemetry.exporter.otlp.proto.http.metric_exporter import (  # noqa: PLC0415
                OTLPMetricExporter,
            )

            exporter = OTLPMetricExporter(endpoint=otlp_endpoint)
            readers.append(PeriodicExportingMetricReader(exporter))
        # Resource.create would start threads that detect attributes of the machine.
        resource = Resource({"service.name": "carawaybankd", "service.instance.id": vm})
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        self._register()
        self._latencies = _LatencyCollector(vm=vm, counters=self._counters)
        REGISTRY.register(self._latencies)

    def close(self) -> None:
        """Flushes and stops the exporters and unregisters the latency histograms."""
        REGISTRY.unregister(self._latencies)
        self._provider.shutdown()

    def _register_memory(self, meter: Meter) -> None:
        counter, gauge = meter.create_observable_counter, meter.create_observable_gauge
        counter("carawaybank.break_offs", [self._observe_break_offs], description="by peer")
        gauge("carawaybank.messages.memory", [self._observe_messages], "By")
        gauge("carawaybank.process.memory", [lambda _: [Observation(process_bytes())]], "By")

    def _register(self) -> None:
        counters = self._counters
        meter = self._provider.get_meter("carawaybank")
        self._register_memory(meter)
        counter, gauge = meter.create_observable_counter, meter.create_observable_gauge
        counter("carawaybank.requests", [self._observe_requests], description="by verdict")
        counter("carawaybank.attempts", [self._observe_attempts], description="at targets")
        counter(
            "carawaybank.requests.abandoned", [lambda _: [Observation(counters.abandoned_count)]]
        )
        counter("carawaybank.requests.shed", [lambda _: [Observation(counters.shed_count)]])
        counter("carawaybank.requests.held_off", [lambda _: [Observation(counters.held_off_count)]])
        counter("carawaybank.lookups", [lambda _: [Observation(counters.lookup_count)]])
        counter(
            "carawaybank.control.bytes", [lambda _: [Observation(counters.control_bytes)]], "By"
        )
        counter("carawaybank.limits", [self._observe_limits], description="of targets, by event")
        counter("carawaybank.retries", [self._observe_retries], description="by service")
        counter("carawaybank.rows.rejected", [self._observe_rows], description="by table")
        counter("carawaybank.task.failures", [self._observe_tasks], description="by task")
        counter("carawaybank.relays", [self._observe_relays], description="between VMs, by event")
        counter("carawaybank.machine_reports", [self._observe_machines], description="by state")
        counter("carawaybank.allotments", [self._observe_allotments], description="by tenant")
        counter(
            "carawaybank.allotment.waits",
            [lambda _: [Observation(counters.allotment_waits()[0])]],
        )
        counter(
            "carawaybank.allotment.wait",
            [lambda _: [Observation(counters.allotment_waits()[1])]],
            "s",
        )
        counter("carawaybank.slow_callers", [self._observe_slow_callers], description="by event")
        gauge("carawaybank.paths.lost_at", [self._observe_lost_paths], "s")
        gauge(
            "carawaybank.targets.under_pace",
            [lambda _: [Observation(counters.paced_target_count)]],
        )
        gauge("carawaybank.vm.weight", [lambda _: [Observation(counters.vm_weight)]])
        counter(
            "carawaybank.vm.weight_changes",
            [lambda _: [Observation(counters.vm_weight_changes)]],
        )
        counter("carawaybank.vm.absences", [self._observe_absences], description="by event")
        gauge("carawaybank.ticket", [lambda _: [Observation(counters.configuration_version)]])

    def _observe_absences(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.absences()
        return [Observation(count, {"event": event}) for event, count in counts.items()]

    def _observe_requests(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.requests()
        return [Observation(count, labels._asdict()) for labels, count in counts.items()]

    def _observe_attempts(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.attempts()
        return [Observation(count, {"service": service}) for service, count in counts.items()]

    def _observe_limits(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.limit_events()
        return [Observation(count, {"event": event}) for event, count in counts.items()]

    def _observe_retries(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.retries()
        return [Observation(count, labels._asdict()) for labels, count in counts.items()]

    def _observe_rows(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.rejected_rows()
        return [Observation(count, {"table": table}) for table, count in counts.items()]

    def _observe_tasks(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.task_failures()
        return [Observation(count, {"task": task}) for task, count in counts.items()]

    def _observe_relays(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.relays()
        return [Observation(count, {"event": event}) for event, count in counts.items()]

    def _observe_machines(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.machine_reports()
        return [Observation(count, {"state": state}) for state, count in counts.items()]

    def _observe_allotments(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.allotments()
        return [Observation(count, labels._asdict()) for labels, count in counts.items()]

    def _observe_slow_callers(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.slow_callers()
        return [Observation(count, {"event": event}) for event, count in counts.items()]

    def _observe_break_offs(self, _: CallbackOptions) -> list[Observation]:
        counts = self._counters.break_offs()
        return [Observation(count, {"peer": kind}) for kind, count in counts.items()]

    def _observe_messages(self, _: CallbackOptions) -> list[Observation]:
        sizes = self._counters.message_memory()
        return [Observation(size, {"peer": kind}) for kind, size in sizes.items()]

    def _observe_lost_paths(self, _: CallbackOptions) -> list[Observation]:
        lost_at = dict(self._counters.paths_lost_at)
        return [Observation(at, {"service": service}) for service, at in lost_at.items()]


class _LatencyCollector(Collector):
    """Collector of the latency histograms of a daemon's services."""

    def __init__(self, *, vm: str, counters: Counters) -> None:
        self._vm = vm
        self._counters = counters

    def describe(self) -> list[Metric]:
        """Returns no names, so that several daemons in a process can register a collector each."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yields one metric family with the latency histogram of each service."""
        family = HistogramMetricFamily(
            "carawaybank_request_duration_seconds",
            "from a request's arrival to its answer",
            labels=["vm", "service"],
        )
        for service, histogram in self._counters.latencies(_LATENCY_BOUNDS_S).items():
            bounds = [*(str(bound) for bound in _LATENCY_BOUNDS_S), "+Inf"]
            buckets = list(zip(bounds, histogram.counts, strict=True))
            family.add_metric([self._vm, service], buckets, histogram.sum_s)
        yield family


def scrape() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
