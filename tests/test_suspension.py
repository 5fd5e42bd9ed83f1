"""A machine that is suspended while its steady clock stands still."""

from carawaybank.suspension import MIN_SUSPENSION_S, SuspensionWatch


class Clocks:
    def __init__(self):
        self.steady, self.boot = 100.0, 5000.0

    def run(self, seconds):
        self.steady += seconds
        self.boot += seconds

    def suspend(self, seconds):
        self.boot += seconds


def test_a_suspension_is_told_once_and_waiting_is_none():
    clocks = Clocks()
    watch = SuspensionWatch(monotonic_clock=lambda: clocks.steady, boot_clock=lambda: clocks.boot)
    clocks.run(30.0)
    assert watch.take() == 0.0
    clocks.suspend(4.0)
    clocks.run(0.1)
    assert watch.take() == 4.0
    assert watch.take() == 0.0
    clocks.suspend(MIN_SUSPENSION_S / 2)
    assert watch.take() == 0.0


def test_the_clocks_of_this_machine_agree_while_the_process_runs():
    assert SuspensionWatch().take() == 0.0
