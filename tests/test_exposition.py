"""The text that a metrics scrape gets."""

from carawaybank.counters import Counters
from carawaybank.exposition import Exposition
from carawaybank.verdicts import Answered


def test_there_is_no_text_before_the_library_is_loaded():
    counters = Counters()
    exposition = Exposition(vm="vm-e", counters=counters)
    assert exposition.text() is None
    exposition.load()
    counters.count_request("parts", Answered(200), 0.1)
    text = exposition.text().decode()
    assert 'carawaybank_request_duration_seconds_count{service="parts",vm="vm-e"} 1.0' in text


def test_the_library_is_loaded_once(monkeypatch):
    made = []
    monkeypatch.setattr("carawaybank.metrics.Metrics", lambda **options: made.append(options))
    exposition = Exposition(vm="vm-o", counters=Counters())
    exposition.load()
    exposition.load()
    assert [options["vm"] for options in made] == ["vm-o"]
