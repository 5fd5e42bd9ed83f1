"""Rolling stops of fleets, without a network."""

import pytest

from tests.routing.stop_simulation import ExpectedTimeRouter, StopSimulation


@pytest.mark.parametrize(("vm_count", "stopped_count"), [(11, 11), (72, 24), (300, 12)])
def test_a_rolling_stop_breaks_off_no_late_request_and_none_that_must_not_run_twice(
    vm_count, stopped_count
):
    """Guards against cold work that is passed on late in a stop, whatever the fleet's size."""
    counts = StopSimulation(vm_count=vm_count, stopped_count=stopped_count).run()
    assert counts["late"] == counts["unrepeatable"] == 0
    # The simulation sends enough for the decision to matter, and other VMs serve what is refused.
    assert counts["sent"] >= 20 * stopped_count
    assert counts["refused"] >= stopped_count
    assert counts["failed"] <= 0.01 * counts["sent"]


def test_the_simulation_shows_requests_that_a_decision_by_the_mean_breaks_off():
    """Guards against a simulation in which every decision looks sound."""
    counts = StopSimulation(vm_count=11, router_class=ExpectedTimeRouter).run()
    assert counts["late"] > 0
    assert counts["unrepeatable"] > 0
