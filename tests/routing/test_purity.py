"""The router and its parts import nothing that reaches outside them."""

import ast
from pathlib import Path

import pytest

import carawaybank.routing
from tests.steering.test_purity import FORBIDDEN

MODULES = sorted(Path(carawaybank.routing.__file__).parent.glob("*.py"))


@pytest.mark.parametrize("module", MODULES, ids=lambda path: path.stem)
def test_routing_imports_nothing_impure(module):
    imported = set()
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module.split(".")[0])
    assert not imported & {*FORBIDDEN, "h11"}
