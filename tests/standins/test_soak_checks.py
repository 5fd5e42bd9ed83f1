"""Checkers of the soak: each reports a planted violation and passes over what a rule allows.

Times are in seconds; the requests are sent about 100 s after the first configuration.
"""

import json

import pytest

from standins.soak.checks import find_violations, load_history, summarize
from standins.soak.history import DROPPED, Bounds
from tests.standins.soak_records import (
    CONFIG,
    make_cut,
    make_event,
    make_history,
    make_polls,
    make_request,
    make_run,
)


def rules_of(*records, bounds=None):
    return [violation.rule for violation in find_violations(make_history(*records, bounds=bounds))]


def stop(at=99.0, **fields):
    return make_event(at, "SIGTERM", **fields)


def ended_stop(at):
    return [stop(at), make_event(at + 5, "exit", status=0)]


def make_dropped_run(**changes):
    return make_run(**{"outcome": DROPPED, "status": 0, "ended_at": 100.5, **changes})


def make_cuts_at_all_times():
    """A VM that gets cuts as often apart from configurations as beside one."""
    return [
        record
        for number, at in enumerate((98.0, 100.0))
        for record in (
            make_cut(id=f"r{number}", connection=f"c{number}", sent_at=at, ended_at=at + 0.5),
            make_dropped_run(id=f"r{number}", started_at=at + 0.1, ended_at=at + 0.5),
        )
    ]


class TestLosses:
    """LOST, with its exceptions one by one."""

    @pytest.mark.parametrize(
        "records",
        [
            pytest.param([stop(), make_cut(), make_dropped_run()], id="passed on, after SIGTERM"),
            pytest.param([stop(), make_cut(last_byte_at=100.29)], id="held beyond the slack"),
            pytest.param(
                [stop(), make_cut(last_byte_at=100.45), make_dropped_run()],
                id="passed on, in the slack",
            ),
            pytest.param([stop(), make_cut(outcome="closed"), make_dropped_run()], id="closed"),
            pytest.param(
                [stop(), make_request(complete=False), make_dropped_run(status=200)],
                id="answer cut off",
            ),
            pytest.param(
                [*ended_stop(93.51), make_cut(), make_dropped_run()], id="1 s after graceS"
            ),
            pytest.param(
                [stop(100.4), make_cut(), make_dropped_run()],
                id="sent before SIGTERM, cut after it",
            ),
            pytest.param(
                [make_event(98.0, "SIGHUP"), make_cut(), make_dropped_run()], id="after SIGHUP"
            ),
            pytest.param(
                [
                    make_event(98.0, "config", vm="", routes=CONFIG.routes),
                    make_cut(),
                    make_dropped_run(),
                ],
                id="beside a configuration",
            ),
            pytest.param(
                [
                    make_event(100.6, "config", vm="", sent_at=100.2, routes=CONFIG.routes),
                    make_cut(),
                    make_dropped_run(),
                ],
                id="before the confirmation of a configuration",
            ),
        ],
    )
    def test_request_without_a_whole_answer_around_planned_work_is_lost(self, records):
        """Guards against a checker that misses the losses that the users saw."""
        assert rules_of(*records) == ["LOST"]

    @pytest.mark.parametrize(
        "records",
        [
            pytest.param([make_cut(), make_dropped_run()], id="no planned work"),
            pytest.param(
                [*ended_stop(93.49), make_cut(), make_dropped_run()], id="over 1 s after graceS"
            ),
            pytest.param([stop(100.6), make_cut(), make_dropped_run()], id="before SIGTERM"),
            pytest.param([stop(vm="vm2"), make_cut(), make_dropped_run()], id="stop of another VM"),
            pytest.param([stop(), make_cut(last_byte_at=100.31)], id="not passed on, in the slack"),
            pytest.param([stop(), make_cut(last_byte_at=None)], id="not sent whole"),
            pytest.param([stop(), make_cut(outcome="refused", last_byte_at=None)], id="refused"),
            pytest.param([stop(), make_cut(outcome="left"), make_dropped_run()], id="caller left"),
            pytest.param(
                [make_event(97.4, "SIGHUP"), make_cut(), make_dropped_run()],
                id="sent over configMs after SIGHUP",
            ),
            pytest.param(
                [make_event(100.6, "SIGHUP"), make_cut(), make_dropped_run()],
                id="cut before SIGHUP",
            ),
            pytest.param(
                [
                    make_event(96.9, "config", vm="", routes=CONFIG.routes),
                    make_cut(),
                    make_dropped_run(),
                ],
                id="over configMs + 1 s after a configuration",
            ),
        ],
    )
    def test_request_apart_from_planned_work_is_not_lost(self, records):
        """Guards against a checker that reports what the rule does not count."""
        assert rules_of(*records) == []

    @pytest.mark.parametrize(
        ("records", "lost"),
        [
            pytest.param([make_run(outcome="cut", status=0)], False, id="server broke off"),
            pytest.param(
                [
                    make_run(outcome="cut", status=0),
                    make_dropped_run(target="t2", started_at=100.4),
                ],
                True,
                id="an earlier server broke off, the last one did not",
            ),
            pytest.param(
                [
                    make_run(outcome="", status=0, ended_at=None),
                    make_event(100.3, "SIGKILL", vm="", target="t1"),
                ],
                False,
                id="server killed",
            ),
            pytest.param(
                [make_dropped_run(), make_event(100.3, "SIGKILL", vm="", target="t2")],
                True,
                id="another server killed",
            ),
            pytest.param(
                [make_dropped_run(), make_event(100.6, "SIGKILL", vm="", target="t1")],
                True,
                id="server killed afterwards",
            ),
            pytest.param([make_dropped_run(outcome="silent")], True, id="server silent"),
        ],
    )
    def test_server_that_broke_off_excuses_a_loss(self, records, lost):
        """Guards against blaming a VM for a target, and against excusing it by silence."""
        request = make_cut(kind="idempotent")
        assert ("LOST" in rules_of(stop(), request, *records)) == lost

    @pytest.mark.parametrize(
        ("limits", "lost"),
        [
            ({"timeout_s": 0.51}, True),
            ({"timeout_s": 0.49}, False),
            ({"deadline_s": 0.51}, True),
            ({"deadline_s": 0.49}, False),
            ({"timeout_s": None, "deadline_s": None}, True),
        ],
    )
    def test_budget_that_was_reached_excuses_a_loss(self, limits, lost):
        """Guards against counting requests whose time budget or route's timeout was reached."""
        assert ("LOST" in rules_of(stop(), make_cut(**limits), make_dropped_run())) == lost

    @pytest.mark.parametrize(
        ("sent_at", "run_ended_at", "lost"),
        [
            pytest.param(102.0, 104.28, False, id="at work in the last sixth"),
            pytest.param(102.0, None, False, id="still at work"),
            pytest.param(101.9, 103.9, True, id="ended before the last sixth"),
            pytest.param(102.1, 104.28, True, id="sent over 3 s after SIGTERM"),
        ],
    )
    def test_server_at_work_in_the_last_sixth_excuses_a_loss(self, sent_at, run_ended_at, lost):
        """Guards against excusing by the last sixth of graceS what it does not cover."""
        request = make_cut(sent_at=sent_at, ended_at=104.3)
        run = make_dropped_run(started_at=sent_at + 0.05, ended_at=run_ended_at)
        assert ("LOST" in rules_of(stop(), request, run)) == lost

    def test_last_sixth_excuses_nothing_after_sighup(self):
        """Guards against applying the exception for stops to SIGHUP."""
        request = make_cut(sent_at=101.0, ended_at=104.3)
        run = make_dropped_run(started_at=101.1, ended_at=104.28)
        assert rules_of(make_event(99.0, "SIGHUP"), request, run) == ["LOST"]

    @pytest.mark.parametrize(
        ("first", "passed_on", "lost"),
        [
            pytest.param({}, False, False, id="behind another"),
            pytest.param({}, True, True, id="behind another, passed on"),
            pytest.param({"connection": "c2"}, False, True, id="on another connection"),
            pytest.param({"ended_at": 100.04}, False, True, id="after the other's answer"),
        ],
    )
    def test_request_behind_another_that_was_not_passed_on_is_excused(self, first, passed_on, lost):
        """Guards against counting pipelined requests that the caller sends again by right."""
        records = [
            stop(),
            make_request(**{"id": "r0", "sent_at": 99.9, "ended_at": 100.45, **first}),
            make_run(id="r0", started_at=99.95),
            make_cut(position=1, sent_at=100.05),
        ]
        if passed_on:
            records.append(make_dropped_run())
        assert ("LOST" in rules_of(*records)) == lost

    @pytest.mark.parametrize(
        ("events", "lost"),
        [
            pytest.param([make_event(100.4, "SIGKILL")], False, id="killed"),
            pytest.param([make_event(100.6, "SIGKILL")], True, id="killed after the end"),
            pytest.param([make_event(100.4, "SIGKILL", vm="vm2")], True, id="another killed"),
            pytest.param([make_event(96.1, "freeze")], False, id="frozen within stableMs"),
            pytest.param(
                [make_event(90.0, "freeze"), make_event(95.9, "resume")], True, id="frozen before"
            ),
            pytest.param(
                [make_event(90.0, "freeze"), make_event(91.0, "exit")], True, id="ended frozen"
            ),
            pytest.param(
                [make_event(100.1, "pause"), make_event(100.25, "resume")], True, id="busy"
            ),
            pytest.param(
                [make_event(99.5, "pause"), make_event(100.25, "resume")], False, id="paused"
            ),
            pytest.param([make_event(100.1, "silence")], False, id="link"),
            pytest.param([make_event(100.1, "silence", vm="", target="t1")], True, id="a target's"),
            pytest.param([make_event(99.0, "store_away", vm="")], True, id="store alone"),
        ],
    )
    def test_unplanned_disturbance_excuses_a_loss(self, events, lost):
        """Guards against excusing a loss by the store, a busy processor or another VM."""
        records = [stop(), make_cut(), make_dropped_run(), make_event(120.0, "exit", status=0)]
        assert ("LOST" in rules_of(*records, *events)) == lost

    def test_the_kill_at_the_end_of_the_grace_period_excuses_nothing(self):
        """Guards against excusing what a VM holds until the platform kills it."""
        records = [
            stop(),
            make_event(105.0, "SIGKILL"),
            make_event(105.01, "exit", status=-9),
            make_cut(sent_at=104.0, ended_at=105.01),
            make_dropped_run(started_at=104.1, ended_at=105.01),
        ]
        assert "LOST" in rules_of(*records)

    @pytest.mark.parametrize(
        "others",
        [
            pytest.param([], id="no other"),
            pytest.param(
                [make_request(id=f"o{n}", sent_at=50.0 + n, ended_at=50.5 + n) for n in range(9)],
                id="others answered",
            ),
        ],
    )
    def test_cuts_beside_a_configuration_that_are_three_times_as_frequent_count(self, others):
        """Guards against configurations that end connections."""
        config = make_event(99.0, "config", vm="", routes=CONFIG.routes)
        assert rules_of(config, make_cut(), make_dropped_run(), *others) == ["LOST"]

    def test_cuts_beside_a_configuration_as_frequent_as_elsewhere_are_not_counted(self):
        """Guards against blaming a configuration for what happens at all times."""
        config = make_event(99.0, "config", vm="", routes=CONFIG.routes)
        assert rules_of(config, *make_cuts_at_all_times()) == []

    def test_cuts_by_targets_do_not_count_as_the_vms_own(self):
        """Guards against excusing cuts beside a configuration by targets that break off."""
        config = make_event(99.0, "config", vm="", routes=CONFIG.routes)
        broken_off = [
            make_cut(id="r0", connection="c0", sent_at=90.0, ended_at=90.5),
            make_run(id="r0", started_at=90.1, ended_at=90.4, outcome="cut", status=0),
        ]
        assert rules_of(config, make_cut(), make_dropped_run(), *broken_off) == ["LOST"]

    @pytest.mark.parametrize(("timeout_s", "rules"), [(0.72, ["LOST"]), (0.71, [])])
    def test_seven_tenths_of_the_time_excuse_a_loss_beside_a_configuration(self, timeout_s, rules):
        """Guards against excusing a loss beside a configuration too early."""
        config = make_event(99.0, "config", vm="", routes=CONFIG.routes)
        assert rules_of(config, make_cut(timeout_s=timeout_s), make_dropped_run()) == rules

    def test_seven_tenths_of_the_time_excuse_nothing_after_a_stop(self):
        """Guards against applying the exception for configurations to stops."""
        assert rules_of(stop(), make_cut(timeout_s=0.6), make_dropped_run()) == ["LOST"]

    @pytest.mark.parametrize(("count", "lost"), [(3, 0), (4, 4)])
    def test_more_than_three_losses_at_any_time_count(self, count, lost):
        """Guards against VMs that close kept connections while a target works, without a cause."""
        records = []
        for number in range(count):
            records.append(make_cut(id=f"r{number}", connection=f"c{number}"))
            records.append(make_dropped_run(id=f"r{number}"))
        assert rules_of(*records) == ["LOST"] * lost
        assert rules_of(make_event(99.0, "start"), *records) == []
        assert rules_of(*(record for record in records if hasattr(record, "vm"))) == []

    @pytest.mark.parametrize("status", [502, 504])
    @pytest.mark.parametrize(
        ("run", "lost"),
        [
            pytest.param({"ended_at": 100.9}, True, id="still at work"),
            pytest.param({"ended_at": None, "status": 0}, True, id="end not recorded"),
            pytest.param({"started_at": 100.6, "ended_at": 100.9}, False, id="begun afterwards"),
            pytest.param({"outcome": DROPPED, "status": 0, "ended_at": 100.45}, True, id="dropped"),
            pytest.param({"outcome": "cut", "status": 0, "ended_at": 100.45}, False, id="cut"),
            pytest.param({"outcome": DROPPED, "status": 0, "ended_at": 100.2}, False, id="earlier"),
        ],
    )
    def test_own_answer_in_place_of_a_run_in_progress_is_lost(self, status, run, lost):
        """Guards against a stopping VM that gives up what its target is at work on."""
        answer = make_request(status=status, seal=None, reply_id=None)
        assert ("LOST" in rules_of(stop(), answer, make_run(**run))) == lost
        assert rules_of(answer, make_run(**run)) == []

    @pytest.mark.parametrize(
        ("answer", "rules"),
        [
            pytest.param({"status": 500}, [], id="a target's failure"),
            pytest.param({"status": 200, "seal": None}, ["MIXED"], id="success without a seal"),
        ],
    )
    def test_answer_that_is_no_failure_of_the_vm_is_not_its_own(self, answer, rules):
        """Guards against taking the answer of another attempt for one of the VM."""
        runs = [make_run(status=500), make_dropped_run(target="t2", started_at=100.2)]
        assert rules_of(stop(), make_request(kind="idempotent", **answer), *runs) == rules

    def test_own_answer_in_the_last_sixth_is_excused(self):
        """Guards against reporting attempts that are given up late in the grace period."""
        answer = make_request(status=502, seal=None, reply_id=None, sent_at=102.0, ended_at=104.3)
        run = make_dropped_run(started_at=102.1, ended_at=104.28)
        assert rules_of(stop(), answer, run) == []
        assert rules_of(stop(98.9), answer, run) == ["LOST"]


class TestRuns:
    """TWICE, REFUSED and UNASKED."""

    @pytest.mark.parametrize(
        ("kind", "second", "rules"),
        [
            ("non_idempotent", {}, ["TWICE"]),
            ("upload", {}, ["TWICE"]),
            ("idempotent", {}, []),
            ("non_idempotent", {"status": 421}, []),
            ("non_idempotent", {"status": 503, "outcome": "rejected"}, []),
        ],
    )
    def test_second_run(self, kind, second, rules):
        """Guards against requests that run twice though they may not be repeated."""
        runs = [make_run(), make_run(target="t2", started_at=100.2, **second)]
        assert rules_of(make_request(kind=kind), *runs) == rules

    def test_start_and_end_of_a_run_are_one_run(self):
        """Guards against counting a run twice that is recorded at its start and at its end."""
        begun = make_run(ended_at=None, status=0, outcome="")
        assert rules_of(make_request(), begun, make_run()) == []

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    @pytest.mark.parametrize(
        ("kind", "run", "rules"),
        [
            pytest.param("non_idempotent", {}, ["REFUSED"], id="ran"),
            pytest.param(
                "non_idempotent", {"started_at": 109.0, "ended_at": 109.1}, ["REFUSED"], id="later"
            ),
            pytest.param("idempotent", {}, [], id="idempotent"),
            pytest.param("non_idempotent", {"outcome": "rejected", "status": 503}, [], id="no run"),
        ],
    )
    def test_refusal_of_what_ran(self, status, kind, run, rules):
        """Guards against a promise that a request has not run when it has, or runs later."""
        request = make_request(kind=kind, status=status, seal=None)
        assert rules_of(request, make_run(**run)) == rules

    @pytest.mark.parametrize("status", [502, 504])
    def test_failure_that_promises_nothing_may_have_run(self, status):
        """Guards against taking 502 and 504 for promises."""
        assert rules_of(make_request(status=status, seal=None), make_run()) == []

    @pytest.mark.parametrize(
        ("run", "rules"),
        [
            ({"id": "r2"}, ["UNASKED"]),
            ({"method": "PUT"}, ["UNASKED"]),
            ({"path": "/other/x", "service": "ledger"}, ["UNASKED"]),
            ({"body_hash": "other"}, ["UNASKED"]),
            ({"body_hash": None, "outcome": DROPPED}, []),
            ({"id": "r2", "outcome": "rejected", "status": 400}, []),
        ],
    )
    def test_run_that_differs_from_what_was_sent(self, run, rules):
        """Guards against runs that nobody sent, and against judging bodies that were not read."""
        assert rules_of(make_request(), make_run(**run)) == rules

    def test_body_that_was_not_recorded_is_not_compared(self):
        """Guards against judging a body whose hash the caller did not record."""
        assert rules_of(make_request(body_hash=None), make_run()) == []

    @pytest.mark.parametrize(("path", "rules"), [("/a/x", []), ("/a/y", ["UNASKED"])])
    def test_path_is_compared_whole_where_it_is_recorded(self, path, rules):
        """Guards against a changed rest of the path or query."""
        assert rules_of(make_request(path=path), make_run()) == rules


@pytest.mark.parametrize(
    ("request_", "run", "rules"),
    [
        pytest.param({"seal": None}, {}, ["MIXED"], id="success without a seal"),
        pytest.param({"reply_id": "r9"}, {}, ["MIXED"], id="another's answer"),
        pytest.param({"reply_id": "r9", "status": 500}, {"status": 500}, ["MIXED"], id="failure"),
        pytest.param({"body_ok": False}, {}, ["MIXED"], id="other body that looks complete"),
        pytest.param({"status": 500}, {}, ["MIXED"], id="sealed with another status"),
        pytest.param({}, {"status": 500}, ["MIXED"], id="success where the target failed"),
        pytest.param({"body_ok": False, "complete": False}, {}, [], id="looks incomplete"),
        pytest.param({"seal": None, "complete": False}, {}, [], id="success cut off"),
        pytest.param({"status": 502, "seal": None}, {}, [], id="own failure"),
        pytest.param({"status": 500}, {"status": 500}, [], id="the target's failure"),
        pytest.param({}, {"ended_at": None, "status": 0}, [], id="end of the run not recorded"),
    ],
)
def test_mixed_answers(request_, run, rules):
    """Guards against answers that are not the target's whole answer to the request."""
    assert rules_of(make_request(**request_), make_run(**run)) == rules


class TestFaults:
    """FAULT, and readiness after a stop."""

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
                ["FAULT"],
                id="killed at the end of the grace period",
            ),
            pytest.param(
                [(50, "SIGTERM", {}), (53, "SIGKILL", {}), (53.1, "exit", {"status": -9})],
                [],
                id="killed within the grace period",
            ),
            pytest.param([(50, "SIGTERM", {})], ["FAULT"], id="never ended"),
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
                [(50, "SIGKILL", {}), (50, "exit", {"peak_mb": 300.0, "descriptors": 4100})],
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


class TestSteering:
    """DRAIN, EVAC, CONFIG, ROUTE and BUDGET."""

    @pytest.mark.parametrize(
        ("events", "run", "rules"),
        [
            pytest.param([], {}, ["DRAIN"], id="late"),
            pytest.param([], {"outcome": "rejected", "status": 503}, ["DRAIN"], id="arrival"),
            pytest.param([], {"status": 421}, [], id="421"),
            pytest.param([], {"target": "t2"}, [], id="another target"),
            pytest.param([], {"started_at": 99.9}, [], id="within drainMs"),
            pytest.param([], {"arrived_at": 99.9}, [], id="waited for a slot"),
            pytest.param([make_event(99, "return", vm="", target="t1")], {}, [], id="returned"),
            pytest.param([make_event(99, "freeze")], {}, [], id="VM not in touch"),
            pytest.param([make_event(99, "SIGTERM")], {}, [], id="VM stops"),
            pytest.param([make_event(96.2, "store_away", vm="", until=97)], {}, [], id="store"),
            pytest.param([make_event(99, "freeze", vm="vm2")], {}, ["DRAIN"], id="another VM"),
        ],
    )
    def test_arrival_at_a_target_that_left(self, events, run, rules):
        """Guards against requests at a target later than drainMs after it announced its end."""
        leave = make_event(97.5, "leave", vm="", target="t1")
        request = make_request(kind="idempotent", status=502, seal=None)
        assert rules_of(leave, request, make_run(**run), *events) == rules

    def test_arrival_that_no_caller_sent_is_unasked_only(self):
        """Guards against a checker that fails on a run without a request."""
        leave = make_event(97.5, "leave", vm="", target="t1")
        assert rules_of(leave, make_run()) == ["UNASKED"]

    @pytest.mark.parametrize(
        ("events", "run", "rules"),
        [
            pytest.param([], {}, ["EVAC"], id="late"),
            pytest.param([], {"failure_domain": "d2"}, [], id="another failure domain"),
            pytest.param([], {"status": 421}, [], id="421"),
            pytest.param([], {"started_at": 99.9}, [], id="within evacMs"),
            pytest.param(
                [make_event(99, "unevacuate", vm="", failure_domain="d1")], {}, [], id="taken back"
            ),
            pytest.param(
                [make_event(99, "unevacuate", vm="", failure_domain="d2")],
                {},
                ["EVAC"],
                id="another taken back",
            ),
            pytest.param([make_event(99, "freeze")], {}, [], id="VM not in touch"),
        ],
    )
    def test_arrival_in_a_failure_domain_that_was_evacuated(self, events, run, rules):
        """Guards against requests in a failure domain later than evacMs after its evacuation."""
        order = make_event(95.0, "evacuate", vm="", failure_domain="d1")
        request = make_request(kind="idempotent", status=502, seal=None)
        assert rules_of(order, request, make_run(**run), *events) == rules

    @pytest.mark.parametrize(
        ("config_at", "service", "events", "rules"),
        [
            pytest.param(97.4, "ledger", [], ["CONFIG"], id="old service"),
            pytest.param(97.6, "ledger", [], [], id="within configMs"),
            pytest.param(97.4, "archive", [], [], id="new service"),
            pytest.param(100.3, "archive", [], [], id="a version in the meantime"),
            pytest.param(97.4, "other", [], ["ROUTE"], id="in no version"),
            pytest.param(97.4, "ledger", [make_event(99, "freeze")], [], id="VM not in touch"),
            pytest.param(
                97.4, "other", [make_event(99, "freeze")], ["ROUTE"], id="in no version, ever"
            ),
        ],
    )
    def test_run_by_the_service_of_an_older_version(self, config_at, service, events, rules):
        """Guards against VMs that route by a version that was replaced."""
        config = make_event(config_at, "config", vm="", version="2", routes={"/a/": "archive"})
        assert rules_of(config, make_request(), make_run(service=service), *events) == rules

    def test_run_of_a_dropped_route(self):
        """Guards against a route that is served after it was removed."""
        config = make_event(97.4, "config", vm="", version="2", routes={"/b/": "archive"})
        assert rules_of(config, make_request(), make_run()) == ["CONFIG"]

    def test_split_route_may_run_at_each_part(self):
        """Guards against reporting the parts of a split."""
        routes = {"/a/": ["archive", "ledger"]}
        config = make_event(97.4, "config", vm="", version="2", routes=routes)
        assert rules_of(config, make_request(), make_run()) == []

    def test_longest_prefix_selects_the_route(self):
        """Guards against judging by a shorter prefix."""
        routes = {"/a/": "ledger", "/a/x/": "archive"}
        config = make_event(97.4, "config", vm="", version="2", routes=routes)
        request, run = make_request(path="/a/x/1"), make_run(path="/a/x/1")
        assert rules_of(config, request, run) == ["CONFIG"]

    @pytest.mark.parametrize(
        ("config_at", "answer", "rules"),
        [
            pytest.param(97.4, {}, ["CONFIG"], id="route is there"),
            pytest.param(97.6, {}, [], id="within configMs"),
            pytest.param(97.4, {"route": "/none/"}, [], id="no such route"),
            pytest.param(97.4, {"seal": "s"}, [], id="the target's answer"),
        ],
    )
    def test_404_for_a_route_that_is_there(self, config_at, answer, rules):
        """Guards against VMs that don't know a route that was added."""
        config = make_event(config_at, "config", vm="", routes={"/a/": "ledger", "/c/": "ledger"})
        request = make_request(**{"route": "/c/", "status": 404, "seal": None, **answer})
        assert rules_of(config, request) == rules
        assert rules_of(config, request, make_event(99.0, "freeze")) == []

    @pytest.mark.parametrize(
        ("repeats", "rules"), [pytest.param(6, ["BUDGET"], id="over"), pytest.param(5, [], id="at")]
    )
    @pytest.mark.parametrize("spread_s", [0.0, 9.0])
    def test_repeats_beyond_the_share_of_requests(self, repeats, spread_s, rules):
        """Guards against retries of all VMs that together exceed their share in a window."""
        bounds = Bounds(retryRatio=0.2, retrySlack=3)
        records = []
        for number in range(10):
            at = 100.0 + spread_s * number / 10
            records.append(
                make_request(id=f"r{number}", kind="idempotent", sent_at=at, ended_at=at + 0.5)
            )
            records.append(make_run(id=f"r{number}", started_at=at + 0.1))
            if number >= 10 - repeats:
                second = {"target": "t2", "outcome": "rejected", "status": 503}
                records.append(make_run(id=f"r{number}", started_at=at + 0.2, **second))
        assert rules_of(*records, bounds=bounds) == rules

    def test_repeats_in_distant_windows_are_not_summed(self):
        """Guards against a budget that is judged over the whole soak."""
        records = []
        for number in range(10):
            at = 100.0 + 20 * number
            records.append(
                make_request(id=f"r{number}", kind="idempotent", sent_at=at, ended_at=at + 0.5)
            )
            records += [
                make_run(id=f"r{number}", target=f"t{copy}", started_at=at + 0.1 * copy)
                for copy in (1, 2)
            ]
        assert rules_of(*records, bounds=Bounds(retryRatio=0.2, retrySlack=1)) == []


class TestRecords:
    """Reading of records and the summary."""

    def write(self, folder, name, *rows, tail=""):
        (folder / name).write_text("".join(json.dumps(row) + "\n" for row in rows) + tail)

    def test_history_is_read_from_the_files_of_all_processes(self, tmp_path):
        """Guards against losing the records of a process that was killed while it wrote."""
        request = {"what": "request", **make_cut()._asdict()}
        self.write(tmp_path, "caller.jsonl", request, tail='{"what": "request", "id": "r')
        self.write(tmp_path, "target.jsonl", {"what": "run", **make_dropped_run()._asdict()})
        self.write(
            tmp_path,
            "runner.jsonl",
            {"what": "meta", "seed": 3, "bounds": {"graceS": 7, "unknown": 1}},
            {"what": "event", "at": 99.0, "event": "SIGTERM", "vm": "vm1", "status": None},
            {"what": "ready", "at": 98.0, "vm": "vm1", "status": 200},
            tail='{"what": "ready", "at": 98.5, "vm": "vm1", "status": 503}',
        )
        history = load_history(tmp_path)
        assert [violation.rule for violation in find_violations(history)] == ["LOST"]
        assert (history.bounds.graceS, history.meta["seed"], len(history.polls)) == (7, 3, 2)

    def test_damaged_line_in_the_middle_is_an_error(self, tmp_path):
        """Guards against a verdict on half of the records."""
        (tmp_path / "caller.jsonl").write_text('{"what": "req\n{"what": "meta"}\n')
        with pytest.raises(ValueError, match=r"caller\.jsonl:1: not a record"):
            load_history(tmp_path)

    def test_summary_leads_from_a_loss_to_its_stop_connection_and_log(self):
        """Guards against findings that can't be looked up."""
        text = summarize(make_history(stop(), make_cut(), make_dropped_run()))
        assert "1 1 s" in text
        assert "1 LOST" in text
        for part in ("id=r1", "connection=c1", "1.500 s after SIGTERM at 99.000", "see vm1.log"):
            assert part in text

    @pytest.mark.parametrize(
        ("records", "reason"),
        [
            ([stop(), make_cut(last_byte_at=None)], "not sent whole"),
            ([stop(), make_cut(last_byte_at=100.4)], "not passed on, and ended within lossSlackMs"),
            ([make_cut(), make_dropped_run()], "apart from planned work"),
            ([stop(), make_cut(), make_run(outcome="cut", status=0)], "the server broke off"),
            (
                [
                    stop(),
                    make_request(
                        status=502, seal=None, reply_id=None, sent_at=102.0, ended_at=104.3
                    ),
                    make_dropped_run(started_at=102.1, ended_at=104.28),
                ],
                "the server was still at work in the last sixth",
            ),
        ],
    )
    def test_summary_names_the_exception_of_each_cut_that_is_not_counted(self, records, reason):
        """Guards against exceptions that hide requests from the reader."""
        text = summarize(make_history(*records))
        assert f"not counted: {reason}" in text
        assert "LOST" not in text

    def test_summary_does_not_excuse_what_is_lost(self):
        """Guards against a loss that is listed as excused too."""
        assert "not counted:" not in summarize(make_history(stop(), make_cut(), make_dropped_run()))
