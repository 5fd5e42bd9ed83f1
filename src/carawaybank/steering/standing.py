"""What an owner knows of one of its targets, mostly from its own requests."""

import math
from enum import StrEnum

from carawaybank.steering.allowances import Allowance
from carawaybank.steering.takeover import FormerUse

_LATENCY_WEIGHT = 0.2
_EJECT_AFTER_FAILURES = 3
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 30.0
#: Ejections after which the rest is not doubled any more.
_MOST_DOUBLINGS = 10
_REPORT_LIFETIME_S = 3.0
_LISTED_LEAVING_S = 10.0


class Health(StrEnum):
    """What a probe says of a target."""

    SERVING = "serving"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


class ServiceLoad:
    """Slots in use at all targets of one service."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.in_use = 0


class TargetStanding:
    """Use, latency, failures, ramp and drain of one target."""

    def __init__(self, *, load: ServiceLoad, cold_since: float | None = None) -> None:
        """Starts with no observations.

        Args:
            load: Counter of the service's use, kept in step.
            cold_since: Time at which the target began cold; None when it is warm.
        """
        self._allowance = Allowance()
        self._load = load
        self._cold_since = cold_since
        self._latency_s = 0.0
        self._failures = 0
        self._ejected_until = -math.inf
        self._ejections = 0
        self._excess_busy = 0
        self._reported_at = -math.inf
        self._former_use = FormerUse()
        self._draining = False
        self._listed_leaving_until = -math.inf

    @property
    def in_use(self) -> int:
        """Slots held by requests of this process, abandoned ones included."""
        return self._allowance.in_use

    @property
    def latency_s(self) -> float:
        """Smoothed latency of answers in seconds; 0 before the first."""
        return self._latency_s

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target rests after failures."""
        return now < self._ejected_until

    def take_over(self, now: float) -> None:
        """Begins ownership: a former owner's work may still be going on at the target."""
        self._former_use.begin(now=now)

    def limit(self, *, slots: int, ramp_s: float, now: float) -> int:
        """Returns how many slots may be used now.

        A cold target begins with one. After a takeover, none is used until the target reports its
        load, and then what the former owner's requests leave.
        """
        former = self._former_use.bound(now)
        slots = 0 if former is None else max(0, slots - former)
        if self._cold_since is None:
            return slots
        warm_share = (now - self._cold_since) / ramp_s
        if warm_share >= 1:
            self._cold_since = None
            return slots
        return min(slots, max(1, math.floor(slots * warm_share)))

    def take(self, *, limit: int, now: float) -> bool:
        """Takes a slot if one is free; returns whether it did."""
        self.expire_lingering(now)
        taken = self._allowance.take(limit=limit)
        if taken:
            self._load.in_use += 1
            self._former_use.note_taken(now)
        return taken

    def answered(self, latency_s: float) -> None:
        """Gives the slot back after a whole answer."""
        self._give_back()
        if self._latency_s:
            self._latency_s += _LATENCY_WEIGHT * (latency_s - self._latency_s)
        else:
            self._latency_s = latency_s
        self._failures = 0
        self._ejections = 0

    def failed(self, *, now: float, linger_until: float | None, fatal: bool) -> None:
        """Gives the slot back after a failure.

        Args:
            now: The time.
            linger_until: Time until which the target may still work on the request; the slot
                stays held until then. None when the target has certainly stopped.
            fatal: Whether the target refused the connection or crashed.
        """
        if linger_until is not None and linger_until > now:
            self._allowance.linger(until=linger_until)
        else:
            self._give_back()
        self._failures += 1
        if fatal or self._failures >= _EJECT_AFTER_FAILURES:
            self.eject(now)

    def shed(self) -> None:
        """Gives the slot back after the target refused the request unrun."""
        self._give_back()

    def eject(self, now: float) -> None:
        """Rests the target, longer each time."""
        if self.is_ejected(now):
            return
        rest = min(
            _LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2 ** min(self._ejections, _MOST_DOUBLINGS)
        )
        self._ejected_until = now + rest
        self._ejections += 1
        self._failures = 0

    def probed(
        self, health: Health, *, busy: int | None, now: float, latency_s: float = 0.0
    ) -> None:
        """Records the answer to a probe.

        Args:
            health: What the target said, or that it said nothing.
            busy: Slots that the target reports as busy; None if it does not report.
            now: The time.
            latency_s: Seconds that the probe took.
        """
        if health is Health.UNREACHABLE:
            self._failures += 1
            if self._failures >= _EJECT_AFTER_FAILURES - 1:
                self.eject(now)
            return
        if health is Health.SERVING and self.is_ejected(now) and not self._failures:
            self._ejected_until = now
            self._cold_since = now
        self._failures = 0
        self.set_draining(health is Health.DRAINING)
        if busy is not None:
            self._excess_busy = max(0, busy - self.in_use)
            self._reported_at = now
            self._former_use.report(busy=busy, in_use=self.in_use, latency_s=latency_s, now=now)

    @property
    def draining(self) -> bool:
        """Whether the target itself asked for no new work."""
        return self._draining

    def set_draining(self, draining: bool) -> None:
        """Records what the target says of itself."""
        self._draining = draining

    def list_leaving(self, now: float) -> None:
        """Records that the VM list calls the target leaving; the list repeats it while it does."""
        self._listed_leaving_until = now + _LISTED_LEAVING_S

    def is_leaving(self, now: float) -> bool:
        """Returns whether the target must get no new work, by any sign."""
        return self._draining or now < self._listed_leaving_until

    def excess_busy(self, now: float) -> int:
        """Returns slots that others were using at the last report; 0 once it is old."""
        if now - self._reported_at > _REPORT_LIFETIME_S:
            return 0
        return self._excess_busy

    def expire_lingering(self, now: float) -> None:
        """Gives back the slots of abandoned requests whose deadline has passed."""
        self._load.in_use -= self._allowance.expire(now)

    def _give_back(self) -> None:
        self._allowance.give_back()
        self._load.in_use -= 1
