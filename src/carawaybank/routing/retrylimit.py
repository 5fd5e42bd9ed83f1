"""A retry limit that all entry VMs keep together without exchanging messages.

Load pattern: targets fail or responses are lost while callers retry on their own, so that retries
by entry VMs would multiply the load; entry VMs are restarted meanwhile, and callers move from one
VM to another. The limit for a service is a share of its requests plus a constant, in any window.
The requests are those of the window or of the one before it, whichever has more.

Each request earns credit and each retry uses up one unit of it. A part of the credit has to be used
soon: it is kept in a bucket that holds little. The rest may be used until a window has passed. The
retries of a window are therefore at most

    (soon + kept) * share * requests of the window + kept * share * requests of the window before

plus what buckets held at its beginning and got by time. With ``soon + 2 * kept <= 1`` and equal
parts of the constant in the buckets, this is within the limit whichever VM gets the requests. A
process starts without credit, so that restarts add nothing.
"""

from collections import deque
from typing import NamedTuple

from carawaybank.routing.options import RouterOptions

#: Fraction of the allowed share that is used; the rest allows for requests that arrive late.
USED_SHARE_FRACTION = 0.9
#: Fractions of a request's credit that has to be used soon, and that is kept for a window.
_SOON_FRACTION = 0.2
_KEPT_FRACTION = 0.4
#: Assumed number of entry VMs per known one, because others may have joined unnoticed.
UNKNOWN_VM_FACTOR = 1.5
#: Fraction of a VM's part of the constant that its bucket holds; the bucket gets the rest of it
#: evenly over a window.
_BUCKET_FRACTION = 0.75
#: Credit of the requests within this fraction of a window expires together.
_EXPIRY_STEP = 0.01


class RetryCounts(NamedTuple):
    """What a retry limit has counted since it was created.

    Attributes:
        requests: Requests of callers.
        allowed: Retries that were allowed.
        refused: Retries that were refused.
    """

    requests: int = 0
    allowed: int = 0
    refused: int = 0


class _KeptCredit:
    """Credit of the requests of one expiry step.

    Attributes:
        earned_at: Time of the first of these requests in monotonic seconds.
        amount: Number of retries.
    """

    def __init__(self, *, earned_at: float) -> None:
        """Creates an empty credit."""
        self.earned_at = earned_at
        self.amount = 0.0


class RetryLimit:
    """Limits the retries of requests to one service by one entry VM.

    >>> limit = RetryLimit(share=0.2, slack=4.0, window_s=10.0, started_at=0.0)
    >>> limit.try_acquire(now=0.0)
    False
    >>> [limit.try_acquire(now=40.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self, *, share: float, slack: float, window_s: float, started_at: float) -> None:
        """Creates a limit without credit.

        Args:
            share: Retries of all entry VMs that are allowed per request.
            slack: This entry VM's part of the additional retries in a window.
            window_s: Length of the window in seconds.
            started_at: Time in monotonic seconds from which the bucket is filled.
        """
        #: Share and length of the window as stated.
        self.terms = (share, window_s)
        self._share = share * USED_SHARE_FRACTION
        self._window_s = window_s
        self._slack = slack
        self._bucket = 0.0
        self._filled_at = started_at
        self._kept: deque[_KeptCredit] = deque()
        self._request_count = self._allowed_count = self._refused_count = 0

    @property
    def counts(self) -> RetryCounts:
        """The numbers of requests and retries so far."""
        return RetryCounts(self._request_count, self._allowed_count, self._refused_count)

    def set_slack(self, slack: float, *, now: float) -> None:
        """Sets this entry VM's part of the constant, which depends on the number of VMs."""
        self._fill(now)
        self._slack = slack
        self._fill(now)

    def record_request(self, *, now: float) -> None:
        """Adds the credit of a caller's request."""
        self._request_count += 1
        self._bucket += _SOON_FRACTION * self._share
        self._fill(now)
        if not self._kept or now - self._kept[-1].earned_at > _EXPIRY_STEP * self._window_s:
            self._kept.append(_KeptCredit(earned_at=now))
        self._kept[-1].amount += _KEPT_FRACTION * self._share

    def credit(self, *, now: float) -> float:
        """Returns the number of retries that are allowed now, with fractions."""
        self._fill(now)
        while self._kept and self._kept[0].earned_at <= now - self._window_s:
            self._kept.popleft()
        return self._bucket + sum(kept.amount for kept in self._kept)

    def try_acquire(self, *, now: float) -> bool:
        """Uses up the credit of a retry if there is enough; returns whether there was."""
        if self.credit(now=now) < 1.0:
            self._refused_count += 1
            return False
        needed = max(0.0, 1.0 - self._bucket)
        self._bucket = max(0.0, self._bucket - 1.0)
        while needed > 0.0 and self._kept:
            used = min(needed, self._kept[0].amount)
            self._kept[0].amount -= used
            needed -= used
            if self._kept[0].amount <= 0.0:
                self._kept.popleft()
        self._allowed_count += 1
        return True

    def _fill(self, now: float) -> None:
        """Adds the credit for the time that has passed, up to what the bucket holds."""
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        by_time = (1.0 - _BUCKET_FRACTION) * self._slack * elapsed_s / self._window_s
        self._bucket = min(self._bucket + by_time, _BUCKET_FRACTION * self._slack)


class RetryLimits:
    """The retry limits of one entry VM by service."""

    def __init__(self, *, started_at: float) -> None:
        """Starts without credit.

        Args:
            started_at: Time in monotonic seconds at which the process started.
        """
        self._started_at = started_at
        self._limits: dict[str, RetryLimit] = {}

    @property
    def by_service(self) -> dict[str, RetryLimit]:
        """The limits of all services that had requests or retries."""
        return self._limits

    def of(self, service: str, *, options: RouterOptions, vm_count: int, now: float) -> RetryLimit:
        """Returns the retry limit of a service, with this VM's part of the constant.

        Args:
            service: Name of the service.
            options: The limit of all entry VMs together.
            vm_count: Number of known entry VMs; 0 if they are not known yet.
            now: Current time in monotonic seconds.
        """
        vms = max(options.min_vms, UNKNOWN_VM_FACTOR * vm_count)
        slack = options.retry_slack / vms if vm_count else 0.0
        limit = self._limits.get(service)
        if limit is None or limit.terms != (options.retry_share, options.retry_window_s):
            started_at = self._started_at if limit is None else now
            limit = self._limits[service] = RetryLimit(
                share=options.retry_share,
                slack=slack,
                window_s=options.retry_window_s,
                started_at=started_at,
            )
        limit.set_slack(slack, now=now)
        return limit
