"""A retry limit that all entry VMs keep together without exchanging messages.

Load pattern: targets fail or responses are lost while callers retry on their own, so that retries
by entry VMs would multiply the load. The limit for a service is a share of its requests plus a
constant. Each entry VM applies the share to its own requests and uses an equal part of the
constant, so that the sum over the VMs stays below the limit whatever messages are lost.
"""

from carawaybank.routing.windows import SlidingCount

#: Fraction of the allowed share that is used; the rest allows for requests that were counted but
#: that callers abandoned before they were sent.
USED_SHARE_FRACTION = 0.8


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
