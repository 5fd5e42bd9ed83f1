"""DRAIN, EVAC, CONFIG, ROUTE and BUDGET in a soak: planted violations, and what the rules allow."""

import pytest

from standins.soak.history import Bounds
from tests.standins.soak_records import (
    CONFIG,
    make_cut,
    make_event,
    make_request,
    make_run,
    rules_of,
)


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
            pytest.param(
                [make_event(99, "return", vm="", target="t2")], {}, ["DRAIN"], id="another returned"
            ),
            pytest.param([make_event(99, "start", vm="vm2")], {}, ["DRAIN"], id="a VM started"),
            pytest.param([make_event(99, "freeze")], {}, [], id="VM not in touch"),
            pytest.param([make_event(99, "SIGTERM")], {}, [], id="VM stops"),
            pytest.param([make_event(96.2, "store_away", vm="", until=97)], {}, [], id="store"),
            pytest.param([make_event(99, "freeze", vm="vm2")], {}, ["DRAIN"], id="another VM"),
        ],
    )
    def test_arrival_at_a_target_that_left(self, events, run, rules):
        """Guards against requests at a target later than drainMs after it announced its end."""
        leave = make_event(97.5, "leave", vm="", target="t1")
        request = make_request(kind="idempotent", outcome="left", status=0, seal=None)
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

    @pytest.mark.parametrize(("confirmed_at", "rules"), [(99.0, []), (101.0, ["BUDGET"])])
    def test_requests_that_did_not_arrive_count_for_the_service_of_their_route(
        self, confirmed_at, rules
    ):
        """Guards against a share that falls while targets can't be reached."""
        records = [
            make_event(confirmed_at, "config", vm="", routes={**CONFIG.routes, "/c/": "ledger"}),
            make_request(kind="idempotent"),
            make_run(),
            make_run(target="t2", started_at=100.2),
        ]
        for number in range(4):
            refused = {"outcome": "refused", "last_byte_at": None}
            records.append(make_cut(id=f"n{number}", route="/c/", sent_at=100.1, **refused))
        bounds = Bounds(retryRatio=0.2, retrySlack=0)
        assert rules_of(*records, bounds=bounds) == rules

    @pytest.mark.parametrize(
        ("repeats", "repeated_at", "rules"),
        [
            pytest.param(2, 107.0, [], id="window before, at the limit"),
            pytest.param(3, 107.0, ["BUDGET"], id="window before, over the limit"),
            pytest.param(1, 117.0, ["BUDGET"], id="earlier than the window before"),
        ],
    )
    def test_requests_of_the_window_before_count(self, repeats, repeated_at, rules):
        """Guards against a share that ignores the requests that led to late repeats."""
        records = []
        for number in range(10):
            records.append(make_request(id=f"r{number}", kind="idempotent", ended_at=120.0))
            records.append(make_run(id=f"r{number}"))
            if number < repeats:
                second = {"target": "t2", "started_at": repeated_at, "ended_at": repeated_at + 1}
                records.append(make_run(id=f"r{number}", **second))
        assert rules_of(*records, bounds=Bounds(retryRatio=0.2, retrySlack=0)) == rules
