"""Records kept for each service and customer, and incidents for account managers."""

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from carawaybank.steering.fairness import FairShares
from carawaybank.steering.messages import RequestInfo
from carawaybank.steering.options import Options
from carawaybank.steering.overload import Pressure
from carawaybank.steering.retries import RetryBudget
from carawaybank.verdicts import MayHaveRun, Reason, Verdict

_K = TypeVar("_K")
_T = TypeVar("_T")

_MAX_INCIDENTS = 1000
_MAX_PRESSURES = 4096
_FAIR_RESERVE = 0.3
_FAIR_MEMORY_S = 10.0
_LONGEST_RETRY_AFTER_S = 30.0
_PRESSURE_WINDOW_S = 1.0


class ServiceRecords:
    """Retry budgets and fair shares by service, pressure by service and customer."""

    def __init__(self, *, options: Options, rng: random.Random) -> None:
        """Starts empty.

        Args:
            options: Bounds of retries and Retry-After.
            rng: Source of jitter.
        """
        self._options = options
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._pressures: dict[tuple[str, str], Pressure] = {}
        self._shares: dict[str, FairShares] = {}

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        return _get(self._budgets, service, self._make_budget)

    def shares(self, service: str) -> FairShares:
        """Returns the customers' shares of a service."""
        return _get(self._shares, service, _make_shares)

    def pressure(self, request: RequestInfo) -> Pressure:
        """Returns the pressure by the request's customer on its service."""
        if len(self._pressures) > _MAX_PRESSURES:
            self._pressures.clear()
        return _get(self._pressures, (request.service, request.customer), self._make_pressure)

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(share=self._options.retry_share, burst=self._options.retry_burst)

    def _make_pressure(self) -> Pressure:
        return Pressure(
            rng=self._rng,
            base_s=self._options.retry_after_s,
            limit_s=_LONGEST_RETRY_AFTER_S,
            window_s=_PRESSURE_WINDOW_S,
        )


class Incident(NamedTuple):
    """A request whose outcome is unknown, for the account manager.

    Attributes:
        request_id: The request.
        service: Its service.
        customer: Its customer.
        reason: Why the outcome is unknown.
        at: Time on this process's monotonic clock.
    """

    request_id: str
    service: str
    customer: str
    reason: Reason
    at: float


class Incidents:
    """The latest incidents, and those not yet stored."""

    def __init__(self) -> None:
        """Starts empty."""
        self._recent: deque[Incident] = deque(maxlen=_MAX_INCIDENTS)
        self._unstored: deque[Incident] = deque(maxlen=_MAX_INCIDENTS)

    @property
    def recent(self) -> list[Incident]:
        """The latest incidents, oldest first."""
        return list(self._recent)

    def note(self, request: RequestInfo, verdict: Verdict, now: float) -> None:
        """Records how a request ended, if its outcome is unknown and it may not be repeated."""
        if not isinstance(verdict, MayHaveRun) or request.repeatable:
            return
        if verdict.reason is Reason.STILL_RUNNING:
            return
        incident = Incident(
            request.request_id, request.service, request.customer, verdict.reason, now
        )
        self._recent.append(incident)
        self._unstored.append(incident)

    def take_unstored(self) -> list[Incident]:
        """Returns the incidents not yet stored, which are then no longer queued."""
        taken = list(self._unstored)
        self._unstored.clear()
        return taken

    def put_back(self, incidents: list[Incident]) -> None:
        """Queues incidents again that could not be stored."""
        self._unstored.extendleft(reversed(incidents))


def _make_shares() -> FairShares:
    return FairShares(reserve=_FAIR_RESERVE, memory_s=_FAIR_MEMORY_S)


def _get(table: dict[_K, _T], key: _K, make: Callable[[], _T]) -> _T:
    if key not in table:
        table[key] = make()
    return table[key]
