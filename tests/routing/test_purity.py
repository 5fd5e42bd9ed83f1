"""The router and its parts import nothing that reaches outside them."""

from pathlib import Path

import pytest

import carawaybank.routing
from tests.steering.test_purity import FORBIDDEN, find_imports

MODULES = sorted(Path(carawaybank.routing.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("module", MODULES, ids=lambda path: path.stem)
def test_routing_imports_nothing_impure(module):
    assert not find_imports(module) & {*FORBIDDEN, "h11", "httptools"}
