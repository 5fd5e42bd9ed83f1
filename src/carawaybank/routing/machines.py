"""Expected influence of a target's machine on the time of work, from the targets' load reports.

Load pattern: targets share their machines with other programs, so that the time of work varies many
times per second while nothing is wrong with the target. A load report states how slow the machine
was when it was sent, but a request runs later and for longer. The share of a reported deviation
that is still there while a request runs follows from how long deviations last, which is learned
from successive reports; nothing is assumed to last until then. A target whose reports lack the
field has the factor 1.
"""

import math
from typing import NamedTuple

#: Range of reported values that are used, so that a wrong one cannot exclude a target permanently.
MACHINE_SLOWNESS_RANGE = (0.25, 8.0)
#: Weight of the newest report in the average of a target. 0.1 and 0.2 served fewer requests of
#: routes without objects in time (docs/design/shared-machines.md).
REPORT_WEIGHT = 0.05
#: Number of reports at which the average counts half; before, it is closer to the usual state.
AVERAGE_PRIOR = 3.0
#: Seconds without a report after which the average counts half. A target that is not used because
#: its machine was slow would otherwise never report that it has become usual again.
AVERAGE_HALF_LIFE_S = 30.0
#: Times in seconds for which deviations may last, among which the best one is learned.
LASTING_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
#: Factor by which older samples lose weight with each newer one.
SAMPLE_RETENTION = 0.99
#: Lower bound of a divisor, which is 0 for work without length.
_MIN_SPAN = 1e-6


class MachineForecast(NamedTuple):
    """What load reports say about the machine of a target at a certain time.

    Attributes:
        average: Average of the reports, as a natural logarithm.
        deviation: Deviation of the newest report from the average.
        age_s: Age of the newest report in seconds.
    """

    average: float
    deviation: float
    age_s: float


class MachineReports:
    """The reports of one target on its machine; values are natural logarithms."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._average = 0.0
        self._newest = 0.0
        self._reported_at = 0.0
        self._count = 0

    def record(self, machine_slowness: float, *, now: float) -> None:
        """Records a report.

        Args:
            machine_slowness: How long work takes on the machine, in multiples of the usual.
            now: Time at which the report was received in monotonic seconds.
        """
        self._newest = _logarithm(machine_slowness)
        self._reported_at = now
        self._count += 1
        weight = max(REPORT_WEIGHT, 1.0 / (self._count + AVERAGE_PRIOR))
        self._average += weight * (self._newest - self._average)

    @property
    def newest(self) -> MachineForecast | None:
        """What the reports say at the time of the newest one, or None without reports."""
        return self.forecast(now=self._reported_at)

    def forecast(self, *, now: float) -> MachineForecast | None:
        """Returns what the reports say now, or None without reports."""
        if not self._count:
            return None
        age_s = max(0.0, now - self._reported_at)
        average = self._average * math.exp2(-age_s / AVERAGE_HALF_LIFE_S)
        return MachineForecast(average, self._newest - self._average, age_s)


class ReportPersistence:
    """Learns how long deviations of machines from their averages last."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._errors = [0.0] * len(LASTING_S)
        self._lasting_s = LASTING_S[0]

    @property
    def lasting_s(self) -> float:
        """Seconds for which deviations last."""
        return self._lasting_s

    def record(self, forecast: MachineForecast, machine_slowness: float) -> None:
        """Records a report after an earlier one of the same target.

        Args:
            forecast: What the earlier reports said when this one was received.
            machine_slowness: The value of this report.
        """
        reported = _logarithm(machine_slowness) - forecast.average
        for index, lasting_s in enumerate(LASTING_S):
            expected = forecast.deviation * math.exp(-forecast.age_s / lasting_s)
            error = (reported - expected) ** 2
            self._errors[index] = SAMPLE_RETENTION * self._errors[index] + error
        best = min(range(len(LASTING_S)), key=self._errors.__getitem__)
        self._lasting_s = LASTING_S[best]

    def factor(self, forecast: MachineForecast | None, *, work_s: float) -> float:
        """Returns the factor by which work takes longer than usual on the machine.

        Args:
            forecast: What is known of the machine; None if its reports do not say.
            work_s: Seconds of the work.
        """
        if forecast is None:
            return 1.0
        # The mean of the share of the deviation that is left, over the time of the work.
        starts, ends = forecast.age_s / self._lasting_s, (forecast.age_s + work_s) / self._lasting_s
        share = (math.exp(-starts) - math.exp(-ends)) / max(_MIN_SPAN, ends - starts)
        return math.exp(forecast.average + share * forecast.deviation)


def _logarithm(machine_slowness: float) -> float:
    low, high = MACHINE_SLOWNESS_RANGE
    return math.log(min(high, max(low, machine_slowness)))
