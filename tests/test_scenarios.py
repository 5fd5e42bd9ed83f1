"""The scenarios in ``features``, on fleets in memory with a manual clock."""

from pytest_bdd import scenarios

pytest_plugins = [
    "tests.steps.world",
    "tests.steps.traffic",
    "tests.steps.faults",
    "tests.steps.outcomes",
]

scenarios("features")
