"""Options of the soak's command."""

import os
import subprocess
import sys

import pytest

from standins.soak.layout import DEPLOYMENTS

ROOT = DEPLOYMENTS.parents[1]


@pytest.mark.parametrize(
    ("option", "value", "fault"),
    [
        ("--deployment", "campoverd", "'campoverd' is none of"),
        ("--deployment", "worlds", "'worlds' is none of"),
        ("--faults", "stops,stosp", "unknown faults: stosp"),
        ("--seed", "x", "'x' is no whole number"),
        ("--seed", "-1", "'-1' is no whole number"),
        ("--seconds", "soon", "'soon' is no number"),
        ("--seconds", "0", "'0' is no number above 0"),
        ("--load-share", "nan", "'nan' is no number above 0"),
        ("--loaders", "0", "'0' is no whole number of at least 1"),
        ("--hosts", "1.5", "'1.5' is no whole number"),
        ("--busy", "inf", "'inf' is no whole number"),
        ("--source", "docs", "has no package carawaybank"),
        ("--out", "docs", "holds other files"),
        ("--out", "README.md", "is no directory"),
    ],
)
def test_option_that_is_not_usable_is_named_in_one_line(option, value, fault, tmp_path):
    """Guards against a traceback, or a run that does something else than it was asked for."""
    finished = run_command(f"{option}={value}", directory=tmp_path)
    assert finished.returncode == 2
    (line,) = finished.stderr.splitlines()
    assert line.startswith(f"{option}: ")
    assert fault in line
    assert finished.stdout == ""


@pytest.mark.parametrize("option", ["--links", "--store-limits"])
def test_option_that_the_deployment_has_no_figures_for_is_named(option, tmp_path):
    """Guards against a run without the delays or limits that it was asked for."""
    finished = run_command(option, "--deployment=small", directory=tmp_path)
    assert (finished.returncode, finished.stdout) == (2, "")
    assert finished.stderr.startswith(f"{option}: the file of small has no [")


def test_unknown_option_is_named(tmp_path):
    """Guards against a misspelt option that prints how to use all of them."""
    finished = run_command("--faluts=stops", directory=tmp_path)
    assert finished.returncode == 2
    (line,) = finished.stderr.splitlines()
    assert "--faluts" in line


def run_command(*options, directory):
    out = () if any(option.startswith("--out") for option in options) else (f"--out={directory}",)
    return subprocess.run(
        [sys.executable, "-m", "standins.soak", *options, *out],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
