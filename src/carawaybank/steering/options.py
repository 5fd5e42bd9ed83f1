"""Limits and durations of request steering."""

from typing import NamedTuple


class Options(NamedTuple):
    """Limits and durations of request steering.

    Attributes:
        retry_share: Extra attempts allowed for each first attempt, from 0 to 1.
        retry_burst: Maximum number of extra attempts that may accumulate.
        ramp_s: Seconds in which cold targets and raised caps reach their limit.
        epoch_s: Length of a request id epoch in seconds.
        retention_epochs: Number of past epochs whose request ids are remembered.
        max_remembered_ids: Maximum number of request ids remembered.
        crash_limit: Number of crash reports at which a request is refused.
        crash_retention_s: Seconds from a request's latest crash report until its reports expire.
        max_crash_fingerprints: Maximum number of requests whose crash reports are kept.
        retry_after_s: Retry-After in seconds while few requests are refused.
    """

    retry_share: float = 0.1
    retry_burst: float = 10.0
    ramp_s: float = 10.0
    epoch_s: float = 60.0
    retention_epochs: int = 10
    max_remembered_ids: int = 50_000
    crash_limit: int = 2
    crash_retention_s: float = 600.0
    max_crash_fingerprints: int = 10_000
    retry_after_s: float = 0.5
