"""Fixed seeds for all properties."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")
