"""State that an owner keeps about one of its targets, mostly from its own requests."""

import math
from enum import StrEnum

from carawaybank.steering.allowances import Allowance
from carawaybank.steering.takeover import FormerOwnerUse

_LATENCY_EWMA_WEIGHT = 0.2
_EJECT_AFTER_FAILURES = 3
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
#: The ejection time is no longer doubled after this many ejections in a row.
_MAX_DOUBLINGS = 10
_REPORT_LIFETIME_S = 3.0
_LISTED_LEAVING_LIFETIME_S = 10.0


class ProbeResult(StrEnum):
    """State of a target according to a probe."""

    SERVING = "serving"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class ServiceLoad:
    """Counts the slots in use at all targets of one service."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.in_use = 0


class TargetState:
    """Tracks the slots in use, latency, failures, ramp and draining of one target."""

    def __init__(self, *, load: ServiceLoad, cold_since: float | None = None) -> None:
        """Starts with no observations.

        Args:
            load: Counter of the service, updated with each slot of this target.
            cold_since: Time in seconds at which the target started cold; None if it is warm.
        """
        self._allowance = Allowance()
        self._load = load
        self._cold_since = cold_since
        self._latency_s = 0.0
        self._failures = 0
        self._ejected_until = -math.inf
        self._ejections = 0
        self._slots_used_by_others = 0
        self._reported_at = -math.inf
        self._former_owner_use = FormerOwnerUse()
        self._draining = False
        self._listed_leaving_until = -math.inf

    @property
    def in_use(self) -> int:
        """Slots held by requests of this process, including abandoned ones."""
        return self._allowance.in_use

    @property
    def latency_s(self) -> float:
        """Moving average of the response latency in seconds; 0 before the first response."""
        return self._latency_s

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target gets no requests for now because of failures."""
        return now < self._ejected_until

    def start_ownership(self, now: float) -> None:
        """Starts ownership; requests of a former owner may still be running at the target."""
        self._former_owner_use.start(now=now)

    def limit(self, *, slots: int, ramp_s: float, now: float) -> int:
        """Returns how many slots may be used now.

        The limit of a cold target rises from one slot to the full limit over ``ramp_s``. After a
        takeover the limit is zero until the target reports its load; from then on, the slots that
        the former owner's requests may still use are subtracted.
        """
        former_slots = self._former_owner_use.upper_bound(now)
        slots = 0 if former_slots is None else max(0, slots - former_slots)
        if self._cold_since is None:
            return slots
        warm_fraction = (now - self._cold_since) / ramp_s
        if warm_fraction >= 1:
            self._cold_since = None
            return slots
        return min(slots, max(1, math.floor(slots * warm_fraction)))

    def try_acquire(self, *, limit: int, now: float) -> bool:
        """Acquires a slot if one is free; returns whether it did."""
        self.release_expired(now)
        acquired = self._allowance.try_acquire(limit=limit)
        if acquired:
            self._load.in_use += 1
            self._former_owner_use.record_sent(now)
        return acquired

    def record_answered(self, latency_s: float) -> None:
        """Releases the slot after a complete response, and updates the latency."""
        self._release_slot()
        if self._latency_s:
            self._latency_s += _LATENCY_EWMA_WEIGHT * (latency_s - self._latency_s)
        else:
            self._latency_s = latency_s
        self._failures = 0
        self._ejections = 0

    def record_failed(self, *, now: float, linger_until: float | None, fatal: bool) -> None:
        """Releases the slot after a failure, and ejects the target if it failed repeatedly.

        Args:
            now: The time in seconds.
            linger_until: Time until which the target may still be running the request; the slot
                stays in use until then. None if the request is certainly no longer running.
            fatal: Whether the target refused the connection or crashed, which ejects it at once.
        """
        if linger_until is not None and linger_until > now:
            self._allowance.release_at(time=linger_until)
        else:
            self._release_slot()
        self._failures += 1
        if fatal or self._failures >= _EJECT_AFTER_FAILURES:
            self.eject(now)

    def record_shed(self) -> None:
        """Releases the slot after the target refused the request without running it."""
        self._release_slot()

    def eject(self, now: float) -> None:
        """Ejects the target for a while; the time doubles with each ejection in a row."""
        if self.is_ejected(now):
            return
        duration_s = min(
            _MAX_EJECTION_S, _FIRST_EJECTION_S * 2 ** min(self._ejections, _MAX_DOUBLINGS)
        )
        self._ejected_until = now + duration_s
        self._ejections += 1
        self._failures = 0

    def record_probe(
        self, result: ProbeResult, *, busy: int | None, now: float, latency_s: float = 0.0
    ) -> None:
        """Records the result of a probe.

        A successful probe ends an ejection early, and the target then starts cold. If a probe
        failed during the ejection, a second successful one is needed.

        Args:
            result: State that the target reported, or that it did not respond.
            busy: Busy slots that the target reported; None if it reports no load.
            now: The time in seconds.
            latency_s: Duration of the probe in seconds.
        """
        if result is ProbeResult.UNREACHABLE:
            self._failures += 1
            if self._failures >= _EJECT_AFTER_FAILURES - 1:
                self.eject(now)
            return
        if result is ProbeResult.SERVING and self.is_ejected(now) and not self._failures:
            self._ejected_until = now
            self._cold_since = now
        self._failures = 0
        self.set_draining(result is ProbeResult.DRAINING)
        if busy is not None:
            self._slots_used_by_others = max(0, busy - self.in_use)
            self._reported_at = now
            self._former_owner_use.record_report(
                busy=busy, in_use=self.in_use, latency_s=latency_s, now=now
            )

    @property
    def draining(self) -> bool:
        """Whether the target itself reports that it is draining and accepts no new requests."""
        return self._draining

    def set_draining(self, draining: bool) -> None:
        """Records whether the target reports that it is draining."""
        self._draining = draining

    def record_listed_leaving(self, now: float) -> None:
        """Records that the VM list shows the target as leaving.

        The record expires after some seconds, since the host repeats the call while the list still
        shows the target as leaving.
        """
        self._listed_leaving_until = now + _LISTED_LEAVING_LIFETIME_S

    def is_leaving(self, now: float) -> bool:
        """Returns whether the target is draining or leaving, and must get no new requests."""
        return self._draining or now < self._listed_leaving_until

    def slots_used_by_others(self, now: float) -> int:
        """Returns the slots that others used at the last report; 0 once the report is too old."""
        if now - self._reported_at > _REPORT_LIFETIME_S:
            return 0
        return self._slots_used_by_others

    def release_expired(self, now: float) -> None:
        """Releases the slots of abandoned requests whose deadline has passed."""
        self._load.in_use -= self._allowance.release_expired(now)

    def _release_slot(self) -> None:
        self._allowance.release()
        self._load.in_use -= 1
