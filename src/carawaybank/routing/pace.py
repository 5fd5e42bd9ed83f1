"""The pace at which a target that starts or recovers gets its objects back.

Load pattern: a target returns after a start, a recovery or a cold spell, while hundreds of VMs send
it the requests of all its objects at once. None of these is warm there, so that it works several
times as long and queues, or it gets nothing for long because one VM found it slow. Each VM gives it
a share of its objects, the same ones at all VMs by hash, which grows with time and with good
answers. The load report of any answer shows the requests of all VMs together, so that VMs keep a
common pace without exchanging messages. What is not given back yet stays where it was warm. If
requests have to wait and will be late, the fraction of them, the pressure, speeds the return up.
"""

from collections.abc import Mapping
from typing import NamedTuple

from carawaybank.routing.target import LoadReport, Target, TargetEntry

#: Share of its objects that a target gets at first, and the lowest share after bad answers.
INITIAL_SHARE = 0.1
MIN_SHARE = 0.03
#: Seconds in which the share grows from 0 to 1 without answers and without pressure.
RAMP_S = 10.0
#: Pressure at which a target gets all its objects at once, and what it adds there to the growth, as
#: a multiple; both effects grow with its square. Without them, a service that lacks capacity served
#: fewer requests in time than at full weight.
FULL_PRESSURE = 0.03
PRESSURE_GROWTH = 3.0
#: Weight of the newest request in the pressure. One late request among the last ten suffices: with
#: 0.1 here and a full pressure of 0.1, 195 VMs with 1 to 2 requests per second each noticed later
#: that the other targets lacked capacity.
PRESSURE_WEIGHT = 0.05
#: Growth of the share with each good answer.
ANSWER_STEP = 0.04
#: Multiple of the time for a cold object from which an answer counts as late. The first requests on
#: each object are cold and are no reason to step back.
LATE_FACTOR = 1.6
#: Seconds since the last return within which another one halves the first share and the growth.
FLAP_S = 20.0
#: Halvings at most, so that a target that has stopped flapping is in use within 20 s.
MAX_HALVINGS = 1
#: Returns that are closer together are one: announcement and health check report the same one.
SAME_RETURN_S = 1.0
#: Seconds since the return after which late answers and queues no longer hold a target back: it is
#: slow for good, which the estimates of its time cover. Failures continue to.
MAX_SLOW_S = 15.0


class _StepBack(NamedTuple):
    """The factor on the share after a bad answer, and the seconds without growth after it."""

    factor: float
    hold_s: float


_QUEUED = _StepBack(factor=0.8, hold_s=0.3)
_FAILED = _StepBack(factor=0.5, hold_s=1.0)


class PaceEvent(NamedTuple):
    """A change to log.

    Attributes:
        name: ``began``, ``stepped back`` or ``ended``.
        target_id: Id of the target.
        share: Share of its objects that the target gets.
        reason: Why it changed.
        after_s: Seconds since the return.
    """

    name: str
    target_id: str
    share: float
    reason: str
    after_s: float


class PacedAnswer(NamedTuple):
    """What an answer of a target shows.

    Attributes:
        sent_at: Time in monotonic seconds at which the request was sent.
        load: Load report of the answer, if any.
        lateness: Time of the answer in multiples of the expected one for a cold object.
        failure: Why the target failed or refused the request; empty if it answered.
    """

    sent_at: float
    load: LoadReport | None = None
    lateness: float = 0.0
    failure: str = ""

    @property
    def is_queued(self) -> bool:
        """Whether other requests are queued at the target."""
        return self.load is not None and self.load.is_full and self.load.waiting > 0


class _Return:
    """The current or last return of one target."""

    def __init__(self, *, number: int, halvings: int, returned_at: float, pressure: float) -> None:
        self.number = number
        self.halvings = halvings
        self.returned_at = self.updated_at = self.hold_until = returned_at
        first_share = INITIAL_SHARE + (pressure / FULL_PRESSURE) ** 2
        self.share = min(1.0, first_share) / 2**halvings
        self.good_answers = 0
        self.has_ended = False
        self.is_stepping_back = False

    def grow(self, now: float, pressure: float) -> None:
        """Grows the share by the time since the last call that was not held."""
        grown_s = now - max(self.updated_at, self.hold_until)
        rate = (1 + PRESSURE_GROWTH * (pressure / FULL_PRESSURE) ** 2) / RAMP_S
        self.share += rate * max(0.0, grown_s) / 2**self.halvings
        self.updated_at = max(self.updated_at, now)


class TargetPace:
    """The shares of their objects that returning targets get from one VM."""

    def __init__(self, *, is_enabled: bool = False) -> None:
        """Starts without returning targets.

        Args:
            is_enabled: Whether targets return at a pace; otherwise they get all objects at once.
        """
        self._is_enabled = is_enabled
        self._returns: dict[str, _Return] = {}
        self._events: list[PaceEvent] = []
        #: Fraction of recent requests that wait and will be late, by service and region.
        self._pressures: dict[tuple[str, str], float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether targets return at a pace."""
        return self._is_enabled

    @is_enabled.setter
    def is_enabled(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        if not is_enabled:
            self._returns.clear()
            self._pressures.clear()

    @property
    def active_count(self) -> int:
        """Number of targets that do not get all their objects yet."""
        return sum(not found.has_ended for found in self._returns.values())

    def pop_events(self) -> list[PaceEvent]:
        """Returns and clears the changes since the last call."""
        popped, self._events = self._events, []
        return popped

    def refresh(self, targets: Mapping[str, Target], *, now: float) -> None:
        """Begins and ends what is due, also at targets that get no requests.

        Args:
            targets: All known targets by id.
            now: Current time in monotonic seconds.
        """
        if not self._is_enabled:
            return
        for target_id in [name for name in self._returns if name not in targets]:
            found = self._returns.pop(target_id)
            if not found.has_ended:
                self._end(found, target_id, "target removed", now)
        for target in targets.values():
            if not target.return_count:
                continue
            found = self._find(target, now)
            if not found.has_ended and (target.is_down or target.entry.draining):
                reason = "target down" if target.is_down else "target draining"
                self._end(found, target.entry.target_id, reason, now)

    def share(self, target: Target, *, now: float) -> float:
        """Returns the share of its objects that a target gets."""
        if not self._is_enabled or not target.return_count:
            return 1.0
        found = self._find(target, now)
        return 1.0 if found.has_ended else found.share

    def known_share(self, target: Target) -> float:
        """Returns the share of its objects that a target got last; 1 if it has not returned."""
        found = self._returns.get(target.entry.target_id)
        return 1.0 if found is None or found.has_ended else min(1.0, found.share)

    def admits(self, target: Target, *, point: float, now: float) -> bool:
        """Returns whether a target gets an object.

        Args:
            target: The target.
            point: A number in [0, 1), the same for all requests on one object.
            now: Current time in monotonic seconds.
        """
        return point < self.share(target, now=now)

    def record_pressure(self, entry: TargetEntry, *, is_late: bool) -> None:
        """Records whether a request has to wait at the best target for it, and will be late."""
        place = (entry.service, entry.region)
        pressure = self._pressures.get(place, 0.0)
        self._pressures[place] = pressure + PRESSURE_WEIGHT * (is_late - pressure)

    def record_answer(self, target: Target, answer: PacedAnswer, *, now: float) -> None:
        """Records an answer or a failure of a target.

        A request that was sent before the return says nothing about the target since.
        """
        if not self._is_enabled or not target.return_count or answer.sent_at < target.returned_at:
            return
        found = self._find(target, now)
        if found.has_ended:
            return
        if answer.failure:
            self._step_back(found, _FAILED, target, answer.failure, now)
        elif answer.is_queued or answer.lateness > LATE_FACTOR:
            if now - found.returned_at >= MAX_SLOW_S:
                self._end(found, target.entry.target_id, "slow for good", now)
                return
            reason = "requests queue" if answer.is_queued else "late"
            self._step_back(found, _QUEUED, target, reason, now)
        else:
            found.is_stepping_back = False
            found.good_answers += 1
            found.share += ANSWER_STEP / 2**found.halvings
            self._end_if_complete(found, target, now)

    def _find(self, target: Target, now: float) -> _Return:
        """Returns the state of a target, which begins with each of its returns."""
        target_id = target.entry.target_id
        pressure = self._pressures.get((target.entry.service, target.entry.region), 0.0)
        found = self._returns.get(target_id)
        if found is None or found.number != target.return_count:
            gap_s = target.returned_at - found.returned_at if found else FLAP_S
            if found is not None and gap_s < SAME_RETURN_S and not found.has_ended:
                found.number = target.return_count
                return found
            halvings = min(MAX_HALVINGS, found.halvings + 1) if found and gap_s < FLAP_S else 0
            found = _Return(
                number=target.return_count,
                halvings=halvings,
                returned_at=target.returned_at,
                pressure=pressure,
            )
            self._returns[target_id] = found
            reason = "flapping" if halvings else "returned"
            self._record("began", target_id, found, reason, now)
        if not found.has_ended:
            found.grow(now, pressure)
            self._end_if_complete(found, target, now)
        return found

    def _end_if_complete(self, found: _Return, target: Target, now: float) -> None:
        if found.share >= 1.0:
            reason = "answers hold" if found.good_answers else "time passed without answers"
            self._end(found, target.entry.target_id, reason, now)

    def _end(self, found: _Return, target_id: str, reason: str, now: float) -> None:
        found.share, found.has_ended = 1.0, True
        self._record("ended", target_id, found, reason, now)

    def _step_back(
        self, found: _Return, step: _StepBack, target: Target, reason: str, now: float
    ) -> None:
        found.share = max(MIN_SHARE, found.share * step.factor)
        found.hold_until = max(found.hold_until, now + step.hold_s)
        if not found.is_stepping_back:
            found.is_stepping_back = True
            self._record("stepped back", target.entry.target_id, found, reason, now)

    def _record(self, name: str, target_id: str, found: _Return, reason: str, now: float) -> None:
        share, after_s = round(found.share, 3), round(now - found.returned_at, 2)
        self._events.append(PaceEvent(name, target_id, share, reason, after_s))
