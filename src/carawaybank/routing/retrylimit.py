"""A limit of repeated sends that holds over all entry VMs without any message.

Load pattern: targets fail or answers are lost while callers retry on their own, so that repeats
by entry VMs would multiply the load. The limit for a service is a share of its requests plus a
constant. Each entry VM keeps the share of its own requests and an equal part of the constant, so
the sum over the VMs stays below the limit whatever messages are lost.
"""

from carawaybank.routing.windows import SlidingCount

#: Part of the allowed share that is used; the rest absorbs requests that callers gave up unsent.
SHARE_IN_USE = 0.8


class RetryLimit:
    """Repeats of one service by one entry VM.

    >>> limit = RetryLimit(share=0.2, slack=2, window_s=10.0)
    >>> [limit.try_repeat(now=0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, *, share: float, slack: int, window_s: float) -> None:
        """Starts without requests.

        Args:
            share: Repeats allowed for each request.
            slack: Repeats allowed besides, by this entry VM, in a window.
            window_s: Length of the window in seconds.
        """
        self._share = share * SHARE_IN_USE
        self._slack = slack
        self._requests = SlidingCount(window_s=window_s)
        self._repeats = SlidingCount(window_s=window_s)

    def set_slack(self, slack: int) -> None:
        """Takes this entry VM's part of the constant, which changes with the number of VMs."""
        self._slack = slack

    def note_request(self, *, now: float) -> None:
        """Counts a caller's request."""
        self._requests.add(now=now)

    def try_repeat(self, *, now: float) -> bool:
        """Takes one repeat from the allowance; returns whether it could."""
        allowed = self._share * self._requests.total(now=now) + self._slack
        if self._repeats.total(now=now) + 1 > allowed:
            return False
        self._repeats.add(now=now)
        return True
