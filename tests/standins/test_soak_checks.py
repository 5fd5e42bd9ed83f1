"""TWICE, REFUSED, UNASKED and MIXED in a soak, its records and its summary."""

import json

import pytest

from standins.soak.checks import find_violations, load_history, summarize
from standins.soak.history import DROPPED
from tests.standins.soak_records import (
    make_cut,
    make_dropped_run,
    make_event,
    make_history,
    make_request,
    make_run,
    rules_of,
    stop,
)


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
        pytest.param(
            {"outcome": "garbled", "status": 0, "complete": False, "seal": None},
            {},
            ["MIXED"],
            id="no response in the protocol",
        ),
        pytest.param(
            {"outcome": "garbled", "status": 0, "complete": False, "seal": None},
            {"outcome": "cut", "status": 0},
            [],
            id="garbled where the target broke off",
        ),
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


def test_bytes_on_an_idle_connection_are_mixed():
    """Guards against responses that no request waits for."""
    assert rules_of(make_event(100.0, "surplus")) == ["MIXED"]


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
