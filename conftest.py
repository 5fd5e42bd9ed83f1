"""Makes Hypothesis reproducible and registers the step modules of the scenarios."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")

pytest_plugins = [
    "tests.steps.world",
    "tests.steps.traffic",
    "tests.steps.faults",
    "tests.steps.outcomes",
]
