"""Bounds on the time in which targets respond to the requests of a route.

Load pattern: work on a warm object takes a fraction of that on a cold one, and one response in some
hundreds takes several times the mean, so that a mean says little about the time in which a single
request has its response. Decisions that cost a caller its response if they are wrong need a bound.
"""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from carawaybank.routing.configuration import Route

#: Share of the responses that came within the bound, in percent. A request that is broken off costs
#: its caller seconds, one that is refused a round trip to another VM.
BOUND_PERCENTILE = 99.0
#: Responses without which a bound says too little.
MIN_RESPONSES = 100
#: Seconds for which responses are gathered; the bound covers the current and the last such span.
WINDOW_S = 60.0
#: Seconds for which a bound is reused; it takes a hundred times as long to compute as to record.
_REUSE_S = 0.25
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 2


class ResponseTimes:
    """The times of recent responses to the requests of one route, for warm and for cold objects."""

    def __init__(self, *, now: float) -> None:
        """Starts without responses.

        Args:
            now: Current time in monotonic seconds.
        """
        self._started_at = now
        self._current = _make_histogram()
        self._last = _make_histogram()
        self._bound_s: float | None = None
        self._bound_until = now

    def record(self, seconds: float, *, now: float) -> None:
        """Records the time of a response, or after which an attempt ended without one.

        Args:
            seconds: Time from the decision to send the request.
            now: Current time in monotonic seconds.
        """
        self._rotate(now)
        self._current.record_value(min(_MAX_MS, 1 + int(seconds * 1000)))

    def bound_s(self, *, now: float) -> float | None:
        """Returns the seconds within which nearly all responses came; None if too few did.

        Args:
            now: Current time in monotonic seconds.
        """
        self._rotate(now)
        if now >= self._bound_until:
            self._bound_s = self._compute_bound_s()
            self._bound_until = now + _REUSE_S
        return self._bound_s

    def _compute_bound_s(self) -> float | None:
        histograms = (self._current, self._last)
        if sum(histogram.get_total_count() for histogram in histograms) < MIN_RESPONSES:
            return None
        values = (histogram.get_value_at_percentile(BOUND_PERCENTILE) for histogram in histograms)
        return float(max(values)) / 1000

    def _rotate(self, now: float) -> None:
        age_s = now - self._started_at
        if age_s < WINDOW_S:
            return
        self._last, self._current = self._current, self._last
        self._current.reset()
        if age_s >= 2 * WINDOW_S:
            self._last.reset()
        self._started_at = now


class RouteResponseTimes:
    """The times of recent responses, by route."""

    def __init__(self) -> None:
        """Starts without responses."""
        self._by_route: dict[str, ResponseTimes] = {}

    def of(self, route: Route, *, now: float) -> ResponseTimes:
        """Returns the times of a route, and creates them at the first use."""
        if route.name not in self._by_route:
            self._by_route[route.name] = ResponseTimes(now=now)
        return self._by_route[route.name]

    def keep(self, routes: Iterable[Route]) -> None:
        """Drops the times of all other routes."""
        names = {route.name for route in routes}
        self._by_route = {name: times for name, times in self._by_route.items() if name in names}


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
