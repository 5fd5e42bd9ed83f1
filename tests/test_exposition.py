"""Metrics text for scrapes and the loading of the metrics library on demand."""

import asyncio
import errno
import importlib
import subprocess
import sys

from carawaybank.counters import Counters
from carawaybank.exposition import Exposition
from carawaybank.verdicts import Answered


def test_render_returns_none_until_the_library_is_loaded():
    counters = Counters()
    exposition = Exposition(vm="vm-e", counters=counters)
    assert exposition.render() is None
    exposition.load()
    counters.count_request("parts", Answered(200), 0.1)
    text = exposition.render().decode()
    assert 'carawaybank_request_duration_seconds_count{service="parts",vm="vm-e"} 1.0' in text


def test_the_metrics_are_created_once(monkeypatch):
    """Guards against metrics that are registered twice if the library is loaded repeatedly."""
    created = []
    monkeypatch.setattr("carawaybank.metrics.Metrics", lambda **options: created.append(options))
    exposition = Exposition(vm="vm-o", counters=Counters())
    exposition.load()
    exposition.load()
    assert [options["vm"] for options in created] == ["vm-o"]


def test_the_first_scrape_loads_the_library_on_the_event_loop():
    async def scenario():
        exposition = Exposition(vm="vm-l", counters=Counters())
        loading = asyncio.create_task(exposition.load_on_demand())
        await asyncio.sleep(0.05)
        assert not loading.done()
        assert exposition.render() is None
        await asyncio.wait_for(loading, 5.0)
        assert b"target_info" in exposition.render()

    asyncio.run(scenario())


def test_loading_starts_no_thread():
    """Guards against imports in a thread that runs concurrently with requests.

    Such a thread terminated processes with SIGILL.
    """
    code = """
import asyncio, threading
from carawaybank.counters import Counters
from carawaybank.exposition import Exposition

started = []
start = threading.Thread.start
threading.Thread.start = lambda self: (started.append(self.name), start(self))
exposition = Exposition(vm="vm-t", counters=Counters())
exposition.render()
asyncio.run(exposition.load_on_demand())
exposition.render()
print(started)
"""
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert run.stdout.strip() == "[]"


def test_metrics_that_cannot_be_loaded_are_loaded_with_the_next_scrape(monkeypatch):
    """Guards against a scrape that ends the daemon while it has no descriptor to read a module."""
    errors = []
    import_module = importlib.import_module

    def fail(name):
        raise OSError(errno.EMFILE, "too many open files")

    async def scenario():
        exposition = Exposition(vm="vm-f", counters=Counters(), on_failure=errors.append)
        loading = asyncio.create_task(exposition.load_on_demand())
        monkeypatch.setattr(importlib, "import_module", fail)
        assert exposition.render() is None
        await asyncio.sleep(0.05)
        assert not loading.done()
        assert [error.errno for error in errors] == [errno.EMFILE]
        monkeypatch.setattr(importlib, "import_module", import_module)
        assert exposition.render() is None
        await asyncio.wait_for(loading, 5.0)
        assert b"target_info" in exposition.render()

    asyncio.run(scenario())
