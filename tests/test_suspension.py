"""Detection of suspensions of the machine, during which the monotonic clock stops."""

from carawaybank.suspension import MIN_SUSPENSION_S, SuspensionWatch


class Clocks:
    def __init__(self):
        self.monotonic, self.boot = 100.0, 5000.0

    def run(self, seconds):
        self.monotonic += seconds
        self.boot += seconds

    def suspend(self, seconds):
        self.boot += seconds


def test_suspension_is_reported_once_and_short_differences_are_ignored():
    """Guards against repeated reports of one suspension and reports without a suspension.

    Time that passes on both clocks is no suspension, nor is a difference below the threshold.
    """
    clocks = Clocks()
    watch = SuspensionWatch(
        monotonic_clock=lambda: clocks.monotonic, boot_clock=lambda: clocks.boot
    )
    clocks.run(30.0)
    assert watch.pop_suspended_s() == 0.0
    clocks.suspend(4.0)
    clocks.run(0.1)
    assert watch.pop_suspended_s() == 4.0
    assert watch.pop_suspended_s() == 0.0
    clocks.suspend(MIN_SUSPENSION_S / 2)
    assert watch.pop_suspended_s() == 0.0


def test_default_clocks_report_no_suspension_while_the_process_runs():
    assert SuspensionWatch().pop_suspended_s() == 0.0
