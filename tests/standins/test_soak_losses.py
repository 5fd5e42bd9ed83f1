"""LOST in a soak: planted losses, and what an exception of the rule covers.

Times are in seconds; the requests are sent about 100 s after the first configuration.
"""

import pytest

from standins.soak.history import DROPPED
from tests.standins.soak_records import (
    CONFIG,
    ended_stop,
    make_cut,
    make_dropped_run,
    make_event,
    make_request,
    make_run,
    rules_of,
    stop,
)


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

    def test_run_that_began_after_the_end_of_the_request_excuses_nothing(self):
        """Guards against taking a late run for a target that was still at work."""
        request = make_cut(sent_at=102.0, ended_at=104.3)
        run = make_run(started_at=104.4, ended_at=104.8)
        assert "LOST" in rules_of(stop(), request, run)

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

    @pytest.mark.parametrize(
        ("paused_at", "resumed_at", "lost"),
        [
            pytest.param(98.8, 99.2, True, id="short, over SIGTERM"),
            pytest.param(98.6, 99.2, False, id="long, over SIGTERM"),
            pytest.param(100.1, 100.55, True, id="short, over the end of the request"),
            pytest.param(100.1, 103.1, False, id="long, over the end of the request"),
            pytest.param(100.51, 103.5, True, id="after the request"),
            pytest.param(93.0, 95.9, True, id="over stableMs before the request"),
        ],
    )
    @pytest.mark.parametrize(
        "records",
        [
            pytest.param([make_cut(), make_dropped_run()], id="cut"),
            pytest.param(
                [make_request(status=502, seal=None, reply_id=None), make_run()], id="unread"
            ),
        ],
    )
    def test_pause_beside_a_stop(self, paused_at, resumed_at, lost, records):
        """Guards against excusing what a busy machine delays, and counting what a pause breaks."""
        pause = [make_event(paused_at, "pause"), make_event(resumed_at, "resume")]
        ended = make_event(104.0, "exit", status=0)
        assert ("LOST" in rules_of(stop(), *records, *pause, ended)) == lost

    def test_pause_of_a_host_of_targets_excuses_nothing(self):
        """Guards against taking a server's silence for a reason to end an answer sooner."""
        pause = [make_event(100.2, "host_pause", vm=""), make_event(100.6, "host_resume", vm="")]
        assert rules_of(stop(), make_cut(), make_dropped_run(), *pause) == ["LOST"]

    def test_stops_at_the_same_time_count_for_each_vm(self):
        """Guards against taking the stop of another VM for a disturbance."""
        records = [
            record
            for vm in ("vm1", "vm2")
            for record in (
                stop(vm=vm),
                make_cut(id=f"r-{vm}", vm=vm, connection=vm),
                make_dropped_run(id=f"r-{vm}"),
            )
        ]
        assert rules_of(*records) == ["LOST", "LOST"]

    @pytest.mark.parametrize("again_at", [99.0, 102.0])
    def test_the_kill_at_the_end_of_the_grace_period_excuses_nothing(self, again_at):
        """Guards against excusing what a VM holds until the platform kills it.

        A second SIGTERM does not prolong the grace period of the first.
        """
        records = [
            stop(),
            stop(again_at),
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

    def test_answers_that_had_begun_are_not_counted_at_any_time(self):
        """Guards against taking an answer that was cut off for a connection without an answer."""
        records = []
        for number in range(4):
            begun = {"status": 200, "seal": "s", "connection": f"c{number}"}
            records.append(make_cut(id=f"r{number}", **begun))
            records.append(make_dropped_run(id=f"r{number}", status=200))
        assert rules_of(*records) == []

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
