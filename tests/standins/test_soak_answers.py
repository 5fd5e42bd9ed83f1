"""Own answers in a soak: LOST where a response was not read, and the table of decisions.

Times are in seconds; the requests are sent about 100 s after the first configuration.
"""

import pytest

from tests.standins.soak_records import CONFIG, make_event, make_request, make_run, rules_of, stop


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
