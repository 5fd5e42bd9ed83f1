"""Ends of VMs by themselves, which count as running: LOST, and what is excused."""

import pytest

from tests.standins.soak_records import make_cut, make_dropped_run, make_event, rules_of


@pytest.mark.parametrize(
    ("events", "lost"),
    [
        pytest.param([], True, id="by itself"),
        pytest.param([make_event(101.0, "start")], True, id="started again"),
        pytest.param(
            [make_event(99.0, "exit", status=1, expected=False), make_event(99.4, "start")],
            True,
            id="the second end",
        ),
        pytest.param([make_event(98.0, "start")], False, id="after a start of the runner"),
        pytest.param(
            [make_event(99.9, "freeze"), make_event(100.2, "resume")],
            False,
            id="within a second of a freeze",
        ),
        pytest.param(
            [make_event(96.0, "reset", until=96.0), make_event(96.5, "exit", expected=False)],
            False,
            id="stableMs after a reset",
        ),
        pytest.param([make_event(100.2, "cut", vm="vm2")], True, id="another VM's link"),
    ],
)
def test_requests_that_an_end_by_itself_cuts_are_lost_at_any_time(events, lost):
    """Guards against a VM that counts as absent once it has ended by itself."""
    records = [make_event(50.0, "start"), make_event(100.5, "exit", status=1, expected=False)]
    for number in range(4):
        records.append(make_cut(id=f"r{number}", connection=f"c{number}"))
        records.append(make_dropped_run(id=f"r{number}"))
    assert ("LOST" in rules_of(*records, *events)) == lost


@pytest.mark.parametrize(
    ("disturbed_until", "lost"), [pytest.param(93.6, False, id="0.9 s"), (93.4, True)]
)
def test_end_near_a_disturbance_takes_the_vm_away_until_its_start(disturbed_until, lost):
    """Guards against counting losses of a VM that a disturbance ended, or excusing others."""
    records = [
        make_event(50.0, "start"),
        make_event(93.0, "cut", until=disturbed_until),
        make_event(94.5, "exit", status=1, expected=False),
        make_event(97.0, "start"),
    ]
    for number in range(4):
        records.append(make_cut(id=f"r{number}", connection=f"c{number}"))
        records.append(make_dropped_run(id=f"r{number}"))
    assert ("LOST" in rules_of(*records)) == lost
