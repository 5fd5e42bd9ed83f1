"""FAULT, KILL, MEMORY and readiness in a soak: planted faults, and what the rules allow."""

import pytest

from standins.soak.checks import summarize
from tests.standins.soak_records import (
    make_event,
    make_history,
    make_polls,
    rules_of,
    stop,
)


class TestFaults:
    """FAULT, KILL, MEMORY, and readiness after a stop."""

    @pytest.mark.parametrize(
        ("events", "rules"),
        [
            pytest.param(
                [(10, "start", {}), (50, "exit", {"status": 1, "expected": False})],
                ["FAULT"],
                id="ended by itself",
            ),
            pytest.param(
                [
                    (10, "start", {}),
                    (11, "SIGHUP", {}),
                    (11, "exit", {"status": -1, "expected": 0}),
                ],
                ["FAULT"],
                id="ended by SIGHUP",
            ),
            pytest.param(
                [(10, "start", {}), (50, "SIGKILL", {}), (50, "exit", {"status": -9})],
                [],
                id="killed",
            ),
            pytest.param(
                [
                    (10, "start", {}),
                    (50, "exit", {"status": 0, "expected": False}),
                    (51, "start", {}),
                    (51.5, "ready", {}),
                    (60, "SIGTERM", {}),
                    (61, "exit", {"status": 0}),
                ],
                ["FAULT"],
                id="ended by itself and was stopped after its next start",
            ),
            pytest.param(
                [
                    (10, "start", {}),
                    (50, "exit", {"status": 1, "expected": False}),
                    (50.5, "start", {}),
                    (51, "exit", {"status": 1, "expected": False}),
                    (51.5, "start", {}),
                    (52, "ready", {}),
                ],
                ["FAULT", "FAULT"],
                id="ended by itself twice",
            ),
            pytest.param(
                [
                    (10, "start", {}),
                    (50, "SIGTERM", {}),
                    (51, "exit", {"status": 0, "expected": 0}),
                ],
                [],
                id="ended after SIGTERM",
            ),
            pytest.param([(10, "start", {}), (50, "exit", {"status": 0})], [], id="expected"),
            pytest.param(
                [(50, "SIGTERM", {}), (55, "exit", {"status": 1})], ["FAULT"], id="odd status"
            ),
            pytest.param(
                [(50, "SIGTERM", {}), (52, "exit", {"status": 1}), (53, "SIGKILL", {})],
                ["FAULT"],
                id="odd status, killed afterwards",
            ),
            pytest.param([(50, "SIGTERM", {}), (53, "SIGKILL", {})], [], id="end not recorded"),
            pytest.param([(50, "SIGTERM", {}), (55, "exit", {"status": 0})], [], id="status 0"),
            pytest.param(
                [(50, "SIGTERM", {}), (56, "SIGKILL", {}), (56.1, "exit", {"status": -9})],
                ["KILL"],
                id="killed at the end of the grace period",
            ),
            pytest.param(
                [(50, "SIGTERM", {}), (53, "SIGKILL", {}), (53.1, "exit", {"status": -9})],
                [],
                id="killed within the grace period",
            ),
            pytest.param([(50, "SIGTERM", {})], ["KILL"], id="never ended"),
            pytest.param(
                [(50, "SIGTERM", {}), (56.1, "exit", {"status": 0})], ["KILL"], id="ended late"
            ),
            pytest.param(
                [(50, "exit", {"status": 0, "expected": False})], ["FAULT"], id="start not recorded"
            ),
            pytest.param([(98, "SIGTERM", {})], [], id="soak ended before"),
            pytest.param(
                [(50, "SIGTERM", {}), (51, "freeze", {"until": 57}), (58, "exit", {"status": 0})],
                [],
                id="frozen",
            ),
            pytest.param(
                [(10, "start", {}), (50, "SIGKILL", {}), (50, "exit", {"peak_mb": 300.1})],
                ["FAULT"],
                id="memory",
            ),
            pytest.param(
                [(10, "start", {}), (50, "SIGKILL", {}), (50, "exit", {"descriptors": 4101})],
                ["FAULT"],
                id="descriptors",
            ),
            pytest.param(
                [(50, "SIGKILL", {}), (50, "exit", {"peak_mb": 300.0})],
                ["MEMORY"],
                id="most of the memory",
            ),
            pytest.param(
                [(50, "SIGKILL", {}), (50, "exit", {"peak_mb": 240.0, "descriptors": 4100})],
                [],
                id="limits kept",
            ),
        ],
    )
    def test_end_of_a_process(self, events, rules):
        """Guards against processes that end by themselves, badly or late, or use too much."""
        records = [make_event(at, event, **fields) for at, event, fields in events]
        ready = [make_event(10.5, "ready"), make_event(100.0, "note")]
        assert rules_of(*records, *ready) == rules

    def test_summary_tells_kills_after_the_grace_period_from_faults(self):
        """Guards against a killed stop that is counted as a process that ends by itself."""
        killed = [stop(50), make_event(56, "SIGKILL"), make_event(56.1, "exit", status=-9)]
        odd = [stop(50, vm="vm2"), make_event(52, "exit", vm="vm2", status=1)]
        text = summarize(make_history(*killed, *odd, make_event(100.0, "note")))
        assert "1 KILL" in text
        assert "1 FAULT" in text
        assert "1 if it is no FAULT" in text
        assert "2 if it is one" in text
        assert "KILL 50.000 vm1: killed: still running 6 s after SIGTERM" in text

    @pytest.mark.parametrize(
        ("events", "polls", "rules"),
        [
            pytest.param([], {20: 503, 31: 200}, ["FAULT"], id="late"),
            pytest.param([], {}, ["FAULT"], id="never"),
            pytest.param(
                [stop(40), make_event(41, "exit", status=0)], {}, ["FAULT"], id="stopped afterwards"
            ),
            pytest.param([stop(15), make_event(16, "exit", status=0)], {}, [], id="stopped"),
            pytest.param([*make_polls("vm2", {15: 200})], {}, ["FAULT"], id="another is ready"),
            pytest.param([], {29: 200}, [], id="in time"),
            pytest.param([make_event(15, "ready")], {}, [], id="ready by its own word"),
            pytest.param([make_event(15, "SIGKILL")], {}, [], id="killed"),
            pytest.param([make_event(15, "freeze")], {}, [], id="frozen"),
            pytest.param([make_event(15, "store_away", vm="")], {}, [], id="store away"),
            pytest.param([make_event(15, "SIGKILL", vm="vm2")], {}, ["FAULT"], id="another killed"),
        ],
    )
    def test_start_that_does_not_become_ready(self, events, polls, rules):
        """Guards against a start that hangs, and against judging one that could not succeed."""
        records = [make_event(10, "start"), make_event(100, "note"), *events]
        assert rules_of(*records, *make_polls("vm1", polls)) == rules

    @pytest.mark.parametrize(
        ("late", "stopped", "violations"), [(2, 7, 2), (2, 8, 0), (1, 2, 0), (2, 2, 2)]
    )
    def test_stopped_vms_that_count_as_ready(self, late, stopped, violations):
        """Guards against stopping VMs that go on to say that they are ready."""
        records = []
        for number in range(stopped):
            vm = f"vm{number}"
            tail = {11: 200, 12: 503, 13: 200} if number < late else {11: 200, 12: 503, 13: 503}
            records += [stop(10, vm=vm), make_event(15, "exit", vm=vm, status=0)]
            records += make_polls(vm, {8: 200, 9: 200, **tail})
        assert rules_of(*records) == ["DRAIN"] * violations

    @pytest.mark.parametrize(
        ("polls", "ended_at"),
        [
            pytest.param({8: 503, 9: 503, 13: 200}, 15, id="not ready at SIGTERM"),
            pytest.param({9: 200, 13: 200}, 13.5, id="not running 4 s later"),
        ],
    )
    def test_vms_that_were_not_ready_or_have_ended_are_not_counted(self, polls, ended_at):
        """Guards against judging the readiness of VMs to which the rule does not apply."""
        records = [make_event(100, "note")]
        for vm in ("vm1", "vm2"):
            records += [stop(10, vm=vm), make_event(ended_at, "exit", vm=vm, status=0)]
            records += make_polls(vm, polls)
        assert rules_of(*records) == []

    def test_readiness_is_not_judged_beyond_the_end_of_the_records(self):
        """Guards against taking the last polls of a soak for those 4 s after SIGTERM."""
        stops = [stop(10, vm=vm) for vm in ("vm1", "vm2")]
        polls = [poll for vm in ("vm1", "vm2") for poll in make_polls(vm, {9: 200, 13: 200})]
        assert rules_of(*stops, *polls) == []
