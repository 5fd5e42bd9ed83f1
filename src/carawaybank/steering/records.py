"""State kept for each service and customer, and the incidents for account managers."""

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from carawaybank.steering.fairness import FairShares
from carawaybank.steering.messages import RequestInfo
from carawaybank.steering.options import Options
from carawaybank.steering.overload import DemandPressure
from carawaybank.steering.retries import RetryBudget
from carawaybank.verdicts import MayHaveRun, Reason, Verdict

_K = TypeVar("_K")
_T = TypeVar("_T")

_MAX_INCIDENTS = 1000
_MAX_PRESSURES = 4096
_FAIR_SHARE_RESERVE = 0.3
_FAIR_SHARE_RETENTION_S = 10.0
_MAX_RETRY_AFTER_S = 30.0
_PRESSURE_DECAY_S = 1.0


class ServiceRecords:
    """Holds retry budgets and fair shares by service, and pressure by service and customer."""

    def __init__(self, *, options: Options, rng: random.Random) -> None:
        """Starts empty.

        Args:
            options: Limits of the retries, and the base Retry-After.
            rng: Random generator for jitter.
        """
        self._options = options
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._pressures: dict[tuple[str, str], DemandPressure] = {}
        self._shares: dict[str, FairShares] = {}

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service, created on first use."""
        return _get_or_make(self._budgets, service, self._make_budget)

    def shares(self, service: str) -> FairShares:
        """Returns the fair shares of a service's customers, created on first use."""
        return _get_or_make(self._shares, service, _make_shares)

    def pressure(self, request: RequestInfo) -> DemandPressure:
        """Returns the pressure of the request's customer on its service, created on first use.

        All pressures are discarded once there are too many, which bounds the memory that requests
        with arbitrary customer names can use.
        """
        if len(self._pressures) > _MAX_PRESSURES:
            self._pressures.clear()
        return _get_or_make(
            self._pressures, (request.service, request.customer), self._make_pressure
        )

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(share=self._options.retry_share, burst=self._options.retry_burst)

    def _make_pressure(self) -> DemandPressure:
        return DemandPressure(
            rng=self._rng,
            base_retry_after_s=self._options.retry_after_s,
            max_retry_after_s=_MAX_RETRY_AFTER_S,
            decay_s=_PRESSURE_DECAY_S,
        )


class Incident(NamedTuple):
    """A request with an unknown outcome, for the account manager to follow up.

    Attributes:
        request_id: Id of the request.
        service: Service of the request.
        customer: Customer who sent the request.
        reason: Why the outcome is unknown.
        at: Time of the verdict in seconds on this process's monotonic clock.
    """

    request_id: str
    service: str
    customer: str
    reason: Reason
    at: float


class Incidents:
    """Keeps the most recent incidents and a queue of those that are not stored yet."""

    def __init__(self) -> None:
        """Starts empty."""
        self._recent: deque[Incident] = deque(maxlen=_MAX_INCIDENTS)
        self._unstored: deque[Incident] = deque(maxlen=_MAX_INCIDENTS)

    @property
    def recent(self) -> list[Incident]:
        """The most recent incidents, oldest first."""
        return list(self._recent)

    def record(self, request: RequestInfo, verdict: Verdict, now: float) -> None:
        """Records an incident if the outcome of a request is unknown and it may not be repeated.

        A request that is still running is no incident yet.
        """
        if not isinstance(verdict, MayHaveRun) or request.repeatable:
            return
        if verdict.reason is Reason.STILL_RUNNING:
            return
        incident = Incident(
            request.request_id, request.service, request.customer, verdict.reason, now
        )
        self._recent.append(incident)
        self._unstored.append(incident)

    def pop_unstored(self) -> list[Incident]:
        """Returns the queue of incidents that are not stored yet, and clears it."""
        unstored = list(self._unstored)
        self._unstored.clear()
        return unstored

    def requeue(self, incidents: list[Incident]) -> None:
        """Puts incidents that could not be stored back at the front of the queue."""
        self._unstored.extendleft(reversed(incidents))


def _make_shares() -> FairShares:
    return FairShares(reserve=_FAIR_SHARE_RESERVE, retention_s=_FAIR_SHARE_RETENTION_S)


def _get_or_make(entries: dict[_K, _T], key: _K, make: Callable[[], _T]) -> _T:
    if key not in entries:
        entries[key] = make()
    return entries[key]
