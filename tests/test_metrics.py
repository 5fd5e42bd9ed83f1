"""Metrics in the Prometheus text format."""

from carawaybank.counters import Counters
from carawaybank.metrics import Metrics, scrape
from carawaybank.verdicts import Answered, NotRun, Reason


def test_latencies_are_exported_as_one_histogram_per_service():
    counters = Counters()
    metrics = Metrics(vm="vm-h", counters=counters)
    for latency_s in (0.005, 0.25, 0.25, 100.0):
        counters.count_request("ledger", Answered(200), latency_s)
    text = scrape().decode()
    metrics.close()
    name, labels = "carawaybank_request_duration_seconds", 'service="ledger",vm="vm-h"'
    for bound, count in (("0.01", 1), ("0.2", 1), ("0.3", 3), ("60.0", 3), ("+Inf", 4)):
        assert f'{name}_bucket{{le="{bound}",{labels}}} {count}.0' in text
    assert f"{name}_count{{{labels}}} 4.0" in text


def test_requests_are_counted_by_verdict_and_reason():
    counters = Counters()
    metrics = Metrics(vm="vm-c", counters=counters)
    counters.count_request("ledger", NotRun(Reason.NO_CAPACITY), 0.001)
    text = scrape().decode()
    metrics.close()
    line = next(
        line for line in text.splitlines() if "requests_total{" in line and "ledger" in line
    )
    assert 'verdict="not-run"' in line
    assert 'reason="no-capacity"' in line


def test_the_memory_of_messages_and_what_was_broken_off_are_exported():
    """Guards against a VM whose metrics do not say whose messages use up its memory."""
    counters = Counters()
    counters.message_memory = lambda: {"callers": 16_000, "responses": 70_000}
    counters.count_break_off("responses")
    metrics = Metrics(vm="vm-m", counters=counters)
    text = scrape().decode()
    metrics.close()
    values = {}
    for line in text.splitlines():
        labels, _, value = line.rpartition(" ")
        if "memory_bytes" in labels or "break_offs" in labels:
            peer = labels.partition('peer="')[2].partition('"')[0]
            values[labels.partition("{")[0], peer] = value
    assert float(values["carawaybank_messages_memory_bytes", "callers"]) == 16_000
    assert float(values["carawaybank_messages_memory_bytes", "responses"]) == 70_000
    assert float(values["carawaybank_break_offs_total", "responses"]) == 1
    assert float(values["carawaybank_process_memory_bytes", ""]) > 10e6
