"""The limits that targets name in their responses, as known to one entry VM.

Load pattern: a target that becomes overloaded names a limit in the responses to a few VMs, lowers
or raises it, and stops naming it once it has recovered, while responses of different age are on
their way to hundreds of VMs. A limit therefore takes effect with the first response or sibling's
report that names it, and is raised or ended only by a response to a request that was sent later.
Each VM reports its limits to its siblings, because the sum over all VMs counts and most of them get
no response of the target.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from carawaybank.routing.limitshares import NEWS_TIMEOUT_S, LimitShare, VmLocality, rank_of
from carawaybank.routing.target import TargetEntry

#: Age in seconds above which a limit is no longer reported to siblings.
MAX_REPORT_AGE_S = NEWS_TIMEOUT_S
#: Seconds by which reports of siblings may be misdated, because their travel time is not known.
REPORT_SKEW_S = 0.5
#: Smallest relative change of a limit that is logged and reported at once; a target that computes
#: its limit anew for each response changes it a little every time.
MIN_RELATIVE_CHANGE = 0.1
#: Maximum number of targets whose limits are known; the one learned first is dropped.
MAX_LIMITS = 4_096


class LimitStatement(NamedTuple):
    """What a response of a target says of its limit.

    Attributes:
        rate: Requests per second that the target takes from all entry VMs together; None if the
            response names no limit.
        fault: Why the named limit cannot be used; empty if it can. Such a response changes nothing.
    """

    rate: float | None = None
    fault: str = ""


class LimitReport(NamedTuple):
    """A limit as reported to siblings.

    Attributes:
        target_id: Id of the target.
        incarnation: Incarnation of the target that named the limit.
        rate: The limit in requests per second; None if it has ended.
        age_s: Seconds since the response that this is based on.
    """

    target_id: str
    incarnation: int
    rate: float | None
    age_s: float


class LimitEvent(NamedTuple):
    """A change of a known limit.

    Attributes:
        name: ``learned``, ``changed``, ``ended``, or ``ignored`` for a value that is no limit.
        target_id: Id of the target.
        rate: The limit in requests per second; None if there is none.
        source: Name of the VM that reported it, or the reason why it was ignored; empty if it came
            with a response to this VM.
    """

    name: str
    target_id: str
    rate: float | None
    source: str = ""


class _Limit:
    """The limit of one target; ``rate`` is None after its end."""

    def __init__(self, *, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.rate: float | None = None
        #: Last rate that was reported to siblings at once.
        self.announced_rate: float | None = None
        #: Time of the newest response that the limit is based on.
        self.stated_at = now
        #: Time at which this VM learned of the current rate.
        self.since = now
        self.share = LimitShare(now=now)
        #: The VMs for which ``share`` was computed; None after a change of the rate.
        self.ranked_vms: Mapping[str, VmLocality] | None = None

    def is_looser(self, rate: float | None) -> bool:
        """Returns whether a rate allows more than the current one."""
        return self.rate is not None and (rate is None or rate > self.rate)


class TargetLimits:
    """The limits of targets, and the share of this entry VM in each."""

    def __init__(self, *, vm: str, locality: VmLocality) -> None:
        """Starts without limits, and with this entry VM as the only one.

        Args:
            vm: Name of this entry VM.
            locality: Its locality.
        """
        self._vm = vm
        self._vms: Mapping[str, VmLocality] = {vm: locality}
        self._limits: OrderedDict[str, _Limit] = OrderedDict()
        self._faults: OrderedDict[str, str] = OrderedDict()
        self._events: list[LimitEvent] = []
        self._held_until = float("-inf")

    def hold(self, until: float) -> None:
        """Gives up the share of this VM in all limits until a time in monotonic seconds.

        Siblings use it while this VM reaches no targets, and must know of its return first.
        """
        self._held_until = until

    def update_vms(self, vms: Mapping[str, VmLocality]) -> None:
        """Replaces the entry VMs that share the limits.

        Args:
            vms: Localities of all known entry VMs by name, including this one.
        """
        if vms != self._vms:  # An equal mapping would only cause all shares to be computed anew.
            self._vms = vms

    def rate_of(self, entry: TargetEntry) -> float | None:
        """Returns the limit of a target in requests per second, or None if it has none."""
        limit = self._limits.get(entry.target_id)
        return None if limit is None or limit.incarnation < entry.incarnation else limit.rate

    def record_statement(
        self, entry: TargetEntry, statement: LimitStatement, *, sent_at: float, now: float
    ) -> None:
        """Applies what a response says of the limit of its target.

        Args:
            entry: The target.
            statement: What its response says.
            sent_at: Time in monotonic seconds at which the request was sent. A response to a
                request that was sent before the limit was known cannot raise or end it.
            now: Current time in monotonic seconds.
        """
        if statement.fault:
            self._record_fault(entry.target_id, statement.fault)
            return
        limit = self._find(entry.target_id, entry.incarnation)
        if limit is None and statement.rate is not None:
            limit = self._add(entry.target_id, entry.incarnation, now)
        if limit is None or limit.incarnation > entry.incarnation:
            return
        if limit.is_looser(statement.rate) and sent_at < limit.since:
            return
        self._apply(entry.target_id, limit, statement.rate, stated_at=now, now=now)

    def apply_report(self, report: LimitReport, *, source: str, now: float) -> None:
        """Applies a sibling's report unless this VM has newer knowledge of the limit.

        Args:
            report: The report.
            source: Name of the sibling.
            now: Current time in monotonic seconds.
        """
        if not 0 <= report.age_s <= MAX_REPORT_AGE_S:
            return
        if report.rate is not None and not 0 <= report.rate < math.inf:
            return
        limit = self._find(report.target_id, report.incarnation)
        if limit is None and report.rate is not None:
            limit = self._add(report.target_id, report.incarnation, now - report.age_s)
            limit.stated_at = -math.inf
        if limit is None or limit.incarnation > report.incarnation:
            return
        stated_at, oldest = now - report.age_s, limit.stated_at
        if limit.is_looser(report.rate):
            oldest = max(oldest, limit.since + REPORT_SKEW_S)
        elif limit.rate == report.rate:
            oldest += REPORT_SKEW_S
        if stated_at > oldest:
            self._apply(
                report.target_id, limit, report.rate, stated_at=stated_at, now=now, source=source
            )

    def reports(self, *, now: float) -> list[LimitReport]:
        """Returns the limits, also those that have ended, with recent knowledge of them."""
        return [
            LimitReport(target_id, limit.incarnation, limit.rate, round(now - limit.stated_at, 3))
            for target_id, limit in self._limits.items()
            if 0 <= now - limit.stated_at <= MAX_REPORT_AGE_S
        ]

    def pop_events(self) -> list[LimitEvent]:
        """Returns and clears the changes since the last call."""
        popped, self._events = self._events, []
        return popped

    def wait_s(self, entry: TargetEntry, *, now: float) -> float:
        """Returns the seconds until this VM may send a target a request; 0 if it may now."""
        rate = self.rate_of(entry)
        if rate is None:
            return 0.0
        if now < self._held_until:
            return self._held_until - now
        limit = self._limits[entry.target_id]
        if limit.ranked_vms is not self._vms:
            rank = rank_of(self._vm, entry, vms=self._vms)
            limit.share.update(rate=rate, rank=rank, vm_count=len(self._vms), now=now)
            limit.ranked_vms = self._vms
        return limit.share.wait_s(news_at=limit.stated_at, now=now)

    def retry_after_s(self, entry: TargetEntry, *, now: float) -> float:
        """Returns the seconds until some entry VM may send a target a request; 0 if this one may.

        For a VM that is not a sender, these are the seconds in which each sender may send one.
        """
        wait_s = self.wait_s(entry, now=now)
        return min(wait_s, self._limits[entry.target_id].share.interval_s) if wait_s else 0.0

    def try_send(self, entry: TargetEntry, *, now: float) -> bool:
        """Records a request if the limit of its target admits it; returns whether it does."""
        if self.wait_s(entry, now=now):
            return False
        self.record_send(entry, now=now)
        return True

    def record_send(self, entry: TargetEntry, *, now: float) -> None:
        """Records a request to a target, with or without a limit."""
        limit = self._limits.get(entry.target_id)
        if limit is not None:
            limit.share.record_send(now=now)

    def _find(self, target_id: str, incarnation: int) -> _Limit | None:
        """Returns the limit of a target, unless an earlier incarnation named it."""
        limit = self._limits.get(target_id)
        return None if limit is None or limit.incarnation < incarnation else limit

    def _add(self, target_id: str, incarnation: int, now: float) -> _Limit:
        limit = self._limits[target_id] = _Limit(incarnation=incarnation, now=now)
        self._limits.move_to_end(target_id)
        if len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        return limit

    def _apply(
        self,
        target_id: str,
        limit: _Limit,
        rate: float | None,
        *,
        stated_at: float,
        now: float,
        source: str = "",
    ) -> None:
        limit.stated_at = stated_at
        if rate == limit.rate:
            return
        if limit.rate is None:
            limit.share.restart()
        limit.rate, limit.since = rate, now
        limit.ranked_vms = None
        announced = limit.announced_rate
        if rate is not None and announced is not None:
            if abs(rate - announced) < MIN_RELATIVE_CHANGE * announced:
                return
            name = "changed"
        else:
            name = "ended" if rate is None else "learned"
        limit.announced_rate = rate
        self._events.append(LimitEvent(name, target_id, rate, source))

    def _record_fault(self, target_id: str, fault: str) -> None:
        if self._faults.get(target_id) == fault:
            return
        self._faults[target_id] = fault
        if len(self._faults) > MAX_LIMITS:
            self._faults.popitem(last=False)
        self._events.append(LimitEvent("ignored", target_id, None, fault))
