"""The decision core imports no module that does input, output, threads or time."""

import ast
from pathlib import Path

import pytest

import carawaybank.steering

CORE = Path(carawaybank.steering.__file__).parent
FORBIDDEN = {
    "socket",
    "threading",
    "time",
    "os",
    "pathlib",
    "urllib3",
    "cheroot",
    "loguru",
    "asyncio",
}


def find_imports(module):
    imported = set()
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module.split(".")[0])
    return imported


@pytest.mark.parametrize("module", sorted(CORE.glob("*.py")), ids=lambda path: path.stem)
def test_core_imports_nothing_impure(module):
    """Only the host may use the network, threads, clocks and files; tests need a manual clock."""
    assert not find_imports(module) & FORBIDDEN


@pytest.mark.parametrize("module", sorted(CORE.glob("*.py")), ids=lambda path: path.stem)
def test_core_uses_only_random_generators_passed_in(module):
    """The global generator would make decisions irreproducible."""
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            assert node.value.id != "random" or node.attr == "Random"
