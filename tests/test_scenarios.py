"""The scenarios in ``features``, on fleets in memory with a manual clock."""

from pytest_bdd import scenarios

scenarios("features")
