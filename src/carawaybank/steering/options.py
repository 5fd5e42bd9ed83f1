"""Bounds of the steering of requests."""

from typing import NamedTuple


class Options(NamedTuple):
    """Bounds of the steering of requests.

    Attributes:
        retry_share: Extra attempts for each first one.
        retry_burst: Extra attempts that may be saved up.
        ramp_s: Seconds in which cold targets and raised caps reach their limit.
        epoch_s: Length of an id epoch in seconds.
        retention_epochs: Epochs for which ids are remembered.
        memory_capacity: Most ids remembered.
        crash_limit: Targets that one request may cost.
        crash_memory_s: Seconds for which crashes are remembered.
        crash_capacity: Most requests that crashed targets remembered.
        retry_after_s: Retry-After in seconds under light excess.
    """

    retry_share: float = 0.1
    retry_burst: float = 10.0
    ramp_s: float = 10.0
    epoch_s: float = 60.0
    retention_epochs: int = 10
    memory_capacity: int = 50_000
    crash_limit: int = 2
    crash_memory_s: float = 600.0
    crash_capacity: int = 10_000
    retry_after_s: float = 0.5
