"""Routing modules do not import modules for sockets, clocks, tasks or HTTP parsing."""

from pathlib import Path

import pytest

import carawaybank.routing
from tests.steering.test_purity import FORBIDDEN, find_imports

MODULES = sorted(Path(carawaybank.routing.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("module", MODULES, ids=lambda path: path.stem)
def test_routing_does_not_import_forbidden_modules(module):
    assert not find_imports(module) & {*FORBIDDEN, "h11", "httptools"}
