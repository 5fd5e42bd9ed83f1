"""A retry limit that all entry VMs keep together without exchanging messages.

Load pattern: targets fail or responses are lost while callers retry on their own, so that retries
by entry VMs would multiply the load. The limit for a service is a share of its requests plus a
constant. Each entry VM applies the share to its own requests and uses an equal part of the
constant, so that the sum over the VMs stays below the limit whatever messages are lost.
"""

from carawaybank.routing.options import RouterOptions
from carawaybank.routing.windows import SlidingCount

#: Fraction of the allowed share that is used; the rest allows for requests that were counted but
#: that callers abandoned before they were sent.
USED_SHARE_FRACTION = 0.8
#: Assumed number of entry VMs per known one, because others may have joined unnoticed.
UNKNOWN_VM_FACTOR = 1.5


class RetryLimit:
    """Limits the retries of requests to one service by one entry VM.

    >>> limit = RetryLimit(share=0.2, slack=2, window_s=10.0)
    >>> [limit.try_acquire(now=0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, *, share: float, slack: int, window_s: float) -> None:
        """Creates a limit without recorded requests.

        Args:
            share: Retries allowed per request.
            slack: Additional retries that this entry VM may send in a window.
            window_s: Length of the window in seconds.
        """
        self._share = share * USED_SHARE_FRACTION
        self._slack = slack
        self._requests = SlidingCount(window_s=window_s)
        self._retries = SlidingCount(window_s=window_s)

    def set_slack(self, slack: int) -> None:
        """Sets the additional retries of this entry VM, which depend on the number of VMs."""
        self._slack = slack

    def record_request(self, *, now: float) -> None:
        """Counts a caller's request, which raises the number of allowed retries."""
        self._requests.add(now=now)

    def try_acquire(self, *, now: float) -> bool:
        """Counts a retry if the limit allows it; returns whether it does."""
        allowed = self._share * self._requests.total(now=now) + self._slack
        if self._retries.total(now=now) + 1 > allowed:
            return False
        self._retries.add(now=now)
        return True


class RetryLimits:
    """The retry limits of one entry VM by service."""

    def __init__(self) -> None:
        """Starts without recorded requests."""
        self._limits: dict[str, RetryLimit] = {}

    def of(self, service: str, *, options: RouterOptions, vm_count: int) -> RetryLimit:
        """Returns the retry limit of a service, with this VM's part of the constant.

        Args:
            service: Name of the service.
            options: The limit of all entry VMs together.
            vm_count: Number of known entry VMs.
        """
        vms = max(options.min_vms, UNKNOWN_VM_FACTOR * vm_count)
        slack = int(options.retry_slack / vms)
        if service not in self._limits:
            self._limits[service] = RetryLimit(
                share=options.retry_share, slack=slack, window_s=options.retry_window_s
            )
        self._limits[service].set_slack(slack)
        return self._limits[service]

    def clear(self) -> None:
        """Resets all counts."""
        self._limits.clear()
