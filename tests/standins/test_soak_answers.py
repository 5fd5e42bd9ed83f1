"""Own answers in a soak: LOST where a response was not read, and the table of decisions.

Times are in seconds; the requests are sent about 100 s after the first configuration.
"""

import pytest

from standins.soak.answers import RunState, find_answers_without_row, find_own_answers
from standins.soak.checks import summarize
from tests.standins.soak_records import (
    CONFIG,
    make_dropped_run,
    make_event,
    make_history,
    make_request,
    make_run,
    rules_of,
    stop,
)


class TestUnreadResponses:
    """LOST where a VM answers by itself though its target has answered with a success."""

    @pytest.mark.parametrize("status", [502, 504])
    @pytest.mark.parametrize(
        ("run", "lost"),
        [
            pytest.param({}, True, id="success"),
            pytest.param({"ended_at": 100.2}, True, id="success, long before"),
            pytest.param({"status": 500}, False, id="failure of the target"),
            pytest.param({"outcome": "late", "status": 504}, False, id="out of time"),
            pytest.param({"outcome": "cut"}, False, id="response broken off by the target"),
            pytest.param({"outcome": "rejected", "status": 503}, False, id="rejected"),
        ],
    )
    def test_own_answer_in_place_of_a_response_that_was_not_read_is_lost(self, status, run, lost):
        """Guards against a stopping VM that gives up what its target has answered."""
        answer = make_request(status=status, seal=None, reply_id=None)
        assert ("LOST" in rules_of(stop(), answer, make_run(**run))) == lost
        assert rules_of(answer, make_run(**run)) == []

    @pytest.mark.parametrize(
        ("records", "lost"),
        [
            pytest.param([stop(93.51)], True, id="1 s after graceS"),
            pytest.param([stop(93.49)], False, id="over 1 s after graceS"),
            pytest.param([stop(100.6)], False, id="before SIGTERM"),
            pytest.param([stop(vm="vm2")], False, id="stop of another VM"),
            pytest.param([make_event(98.0, "SIGHUP")], False, id="SIGHUP"),
            pytest.param(
                [make_event(98.0, "config", vm="", routes=CONFIG.routes)], False, id="configuration"
            ),
            pytest.param(
                [stop(), make_event(99.5, "pause"), make_event(100.1, "resume")], False, id="paused"
            ),
            pytest.param(
                [stop(), make_event(99.7, "pause"), make_event(100.1, "resume")], True, id="busy"
            ),
            pytest.param(
                [stop(), make_event(100.45, "SIGKILL", vm="", target="t1")], False, id="killed"
            ),
        ],
    )
    def test_exceptions_for_a_response_that_was_not_read(self, records, lost):
        """Guards against counting such an answer apart from SIGTERM or beside a disturbance."""
        answer = make_request(status=502, seal=None, reply_id=None)
        records = [*records, make_event(120.0, "exit", status=0)]
        assert ("LOST" in rules_of(answer, make_run(), *records)) == lost

    @pytest.mark.parametrize(("limit", "lost"), [(0.51, True), (0.49, False)])
    def test_budget_excuses_a_response_that_was_not_read(self, limit, lost):
        """Guards against counting a request whose route's timeout or deadline was reached."""
        for name in ("timeout_s", "deadline_s"):
            answer = make_request(status=504, seal=None, reply_id=None, **{name: limit})
            assert ("LOST" in rules_of(stop(), answer, make_run())) == lost

    @pytest.mark.parametrize(
        ("sent_at", "run_ended_at", "lost"),
        [
            pytest.param(102.0, 104.01, False, id="ended in the last sixth"),
            pytest.param(102.0, 103.99, True, id="ended before the last sixth"),
            pytest.param(102.1, 104.01, True, id="sent over 3 s after SIGTERM"),
        ],
    )
    def test_last_sixth_excuses_a_response_that_was_not_read(self, sent_at, run_ended_at, lost):
        """Guards against excusing responses that lay unread from before the last sixth on."""
        own = {"status": 502, "seal": None, "reply_id": None}
        answer = make_request(sent_at=sent_at, ended_at=104.3, **own)
        run = make_run(started_at=sent_at + 0.05, ended_at=run_ended_at)
        assert ("LOST" in rules_of(stop(), answer, run)) == lost

    def test_success_of_an_earlier_attempt_that_was_not_read_is_lost(self):
        """Guards against excusing an unread success by a failure of the attempt after it."""
        answer = make_request(kind="idempotent", status=502, seal=None, reply_id=None)
        again = make_run(target="t2", started_at=100.41, ended_at=100.45, status=500)
        assert rules_of(stop(), answer, make_run(), again) == ["LOST"]


def make_answer(**changes):
    """Returns a request that the VM answered by itself."""
    return make_request(**{"status": 502, "seal": None, "reply_id": None, **changes})


def are_without_row(*records):
    """Returns the statuses of the own answers beside a run that no row allows."""
    found = find_answers_without_row(make_history(*records))
    return [answer.request.status for answer in found]


class TestOwnAnswers:
    """Own answers, with what the targets did, and the rows that allow them."""

    @pytest.mark.parametrize(
        ("runs", "state"),
        [
            pytest.param([], RunState.NOT_BEGUN, id="no run"),
            pytest.param([make_run(started_at=100.6)], RunState.NOT_BEGUN, id="begun afterwards"),
            pytest.param(
                [make_run(outcome="rejected", status=503)], RunState.NOT_BEGUN, id="rejected"
            ),
            pytest.param([make_run(ended_at=None)], RunState.IN_PROGRESS, id="no end"),
            pytest.param([make_run(ended_at=100.6)], RunState.IN_PROGRESS, id="ended afterwards"),
            pytest.param([make_dropped_run(ended_at=100.2)], RunState.IN_PROGRESS, id="dropped"),
            pytest.param([make_run()], RunState.ENDED, id="ended"),
            pytest.param(
                [make_dropped_run(), make_run(target="t2", started_at=100.2)],
                RunState.IN_PROGRESS,
                id="ended elsewhere",
            ),
        ],
    )
    def test_state_of_the_run(self, runs, state):
        """Guards against own answers that are listed as harmless while a target works."""
        assert [each.state for each in find_own_answers(make_history(make_answer(), *runs))] == [
            state
        ]

    @pytest.mark.parametrize(
        "changes",
        [{"seal": "s"}, {"status": 404}, {"status": 200}, {"outcome": "reset", "status": 0}],
    )
    def test_other_outcomes_are_no_own_answers(self, changes):
        """Guards against counting a target's failures as answers of the VM."""
        assert find_own_answers(make_history(make_answer(**changes))) == []

    @pytest.mark.parametrize(
        ("answer", "records", "is_allowed"),
        [
            pytest.param({}, [], True, id="no run"),
            pytest.param({}, [make_run()], False, id="run ended"),
            pytest.param({}, [make_dropped_run()], False, id="run broken off"),
            pytest.param({}, [make_run(outcome="cut")], True, id="server broke off"),
            pytest.param({"status": 504}, [make_run(outcome="cut")], False, id="504 for a cut"),
            pytest.param({"status": 503}, [make_run(outcome="cut")], False, id="refused after it"),
            pytest.param(
                {"status": 503, "kind": "idempotent"},
                [make_run(outcome="cut")],
                True,
                id="refused after it, idempotent",
            ),
            pytest.param(
                {"status": 504, "timeout_s": 0.4}, [make_dropped_run()], True, id="timeout"
            ),
            pytest.param(
                {"status": 502, "timeout_s": 0.4}, [make_dropped_run()], False, id="502 at it"
            ),
            pytest.param({"status": 500}, [make_dropped_run()], False, id="500"),
            pytest.param(
                {}, [make_dropped_run(), make_event(100.2, "silence")], True, id="disturbed"
            ),
        ],
    )
    def test_answer_beside_a_run_needs_a_row(self, answer, records, is_allowed):
        """Guards against a decision to answer in place of a run that nobody has named."""
        assert (are_without_row(make_answer(**answer), *records) == []) == is_allowed

    def test_last_sixth_names_an_answer_only_for_what_was_sent_in_time(self):
        """Guards against a row that covers more than the exception of the rule."""
        run = make_dropped_run(started_at=102.2, ended_at=104.28)
        for sent_at, is_allowed in ((102.0, True), (102.1, False)):
            answer = make_answer(sent_at=sent_at, ended_at=104.3)
            assert (are_without_row(stop(), answer, run) == []) == is_allowed
        assert are_without_row(make_answer(sent_at=102.0, ended_at=104.3), run) == [502]

    def test_summary_counts_own_answers_and_shows_those_without_a_row(self):
        """Guards against own answers that a reader of the summary can't look up."""
        refused = make_answer(id="r2", connection="c2", status=503)
        text = summarize(make_history(stop(), make_answer(), make_dropped_run(), refused))
        assert "1 502, 1 s, in progress" in text
        assert "1 503, 1 s, not begun" in text
        assert "own answer without a row: vm1: POST /a/ id=r1" in text
        assert "row: vm1: POST /a/ id=r2" not in text
        apart = summarize(make_history(make_answer(), make_dropped_run()))
        assert "1 502, apart from a stop, in progress" in apart
