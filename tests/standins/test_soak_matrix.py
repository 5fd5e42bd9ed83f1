"""The matrix of plays: order, resumption, tables and reasons, with a player without processes."""

import json
import sys
from collections import Counter

import pytest
from docopt import docopt

from standins.soak import __main__ as soak
from standins.soak import plays as plays_module
from standins.soak.faults import draw_faults
from standins.soak.layout import DEPLOYMENTS, Layout, load_deployment
from standins.soak.losses import SENTENCES
from standins.soak.matrix import draw_plays, main, parse_builds
from standins.soak.plays import Build, Play, PlayEnd, SoakPlayer, load_worlds, read_end
from standins.soak.tables import Row, format_tables, judge_history
from tests.standins.soak_records import (
    make_cut,
    make_dropped_run,
    make_event,
    make_history,
    make_request,
    make_run,
    stop,
)

KINDS = {"Request": "request", "Run": "run", "Event": "event", "Poll": "ready"}


class FakePlayer:
    """Writes records instead of playing, and counts what it played."""

    def __init__(self, *, records=None, reasons=None, interrupt_at=None):
        self.played = []
        self._records, self._reasons = records or {}, reasons or {}
        self._interrupt_at = interrupt_at

    def play(self, play, directory):
        if play.name == self._interrupt_at:
            raise KeyboardInterrupt
        self.played.append(play.name)
        directory.mkdir()
        records = [
            *self._records.get(play.name, []),
            make_request(id="answered"),
            make_event(1, ""),
        ]
        rows = [{"what": KINDS[type(each).__name__], **each._asdict()} for each in records]
        text = "".join(json.dumps(row) + "\n" for row in rows)
        (directory / "records.jsonl").write_text(text)
        reason = self._reasons.get(play.name, "")
        return PlayEnd(
            command=play.command, commit="", status=2 if reason else 0, reason=reason, load=(1, 2)
        )


@pytest.fixture(autouse=True)
def commits(monkeypatch):
    """Commits of the builds' directories, which are none of a repository here."""
    known = Counter()
    monkeypatch.setattr(plays_module, "describe_commit", lambda source: known.get(source, ""))
    return known


@pytest.fixture
def sources(tmp_path):
    for name in ("a", "b"):
        (tmp_path / name / "carawaybank").mkdir(parents=True)
    return {name: tmp_path / name for name in ("a", "b")}


@pytest.fixture
def arguments(tmp_path, sources):
    builds = ",".join(f"{name}={source}" for name, source in sources.items())
    return ["--builds", builds, "--worlds", "quiet,starved", "--out", str(tmp_path / "out")]


def read_rows(tmp_path, first="| small"):
    lines = (tmp_path / "out" / "matrix.md").read_text().splitlines()
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines if first in line]


def make_play(**changes):
    row = {
        "deployment": "small",
        "world": "quiet",
        "options": {},
        "build": Build("a", DEPLOYMENTS),
        "seed": 1,
        "seconds": 5.0,
        **changes,
    }
    return Play(**row)


class TestPlays:
    """Which runs are played, and in which order."""

    def test_each_combination_is_played_once_and_builds_follow_each_other(
        self, tmp_path, arguments
    ):
        """Guards against missing plays, and against builds that are played hours apart."""
        player = FakePlayer()
        arguments += ["--deployments", "small,pmrf", "--seeds", "1,2"]
        assert main(arguments, player=player) == 0
        assert len(set(player.played)) == len(player.played) == 16
        assert player.played[:4] == [
            "small-quiet-a-1",
            "small-quiet-b-1",
            "small-quiet-a-2",
            "small-quiet-b-2",
        ]

    def test_complete_plays_are_not_played_again(self, arguments):
        """Guards against an interrupted matrix that begins from the start."""
        first = FakePlayer(reasons={"campoverde-starved-a-1": "could not run: no VM"})
        assert main(arguments, player=first) == 2
        second = FakePlayer()
        assert main(arguments, player=second) == 0
        assert second.played == ["campoverde-starved-a-1"]

    def test_play_of_another_commit_or_other_options_is_not_complete(
        self, arguments, sources, commits
    ):
        """Guards against a verdict of other code under the name of a build."""
        assert main(arguments, player=FakePlayer()) == 0
        commits[sources["a"]] = "1234567"
        changed = FakePlayer()
        assert main(arguments, player=changed) == 0
        assert changed.played == ["campoverde-quiet-a-1", "campoverde-starved-a-1"]
        longer = FakePlayer()
        assert main([*arguments, "--seconds", "30"], player=longer) == 0
        assert len(longer.played) == 4

    def test_interruption_leaves_a_table_with_rows_of_what_was_not_played(
        self, tmp_path, arguments
    ):
        """Guards against plays that are missing from the table without a reason."""
        player = FakePlayer(interrupt_at="campoverde-starved-a-1")
        assert main(arguments, player=player) == 2
        rows = read_rows(tmp_path, "| campoverde")
        assert [row[4] for row in rows if row[1] == "starved"] == ["no verdict: not played"] * 2
        assert [row[4] for row in rows if row[1] == "quiet"] == ["0", "0"]

    def test_list_plays_nothing_and_names_what_is_left(self, arguments, capsys):
        """Guards against an estimate that counts what is complete."""
        player = FakePlayer()
        assert main([*arguments, "--list"], player=player) == 0
        assert player.played == []
        assert capsys.readouterr().out.splitlines()[-1] == "about 3 min in all"
        main(arguments, player=FakePlayer())
        capsys.readouterr()
        assert main([*arguments, "--list"], player=player) == 0
        *lines, total = capsys.readouterr().out.splitlines()
        assert all(line.endswith(": complete") for line in lines)
        assert total == "about 0 min in all"

    @pytest.mark.parametrize(
        "changes",
        [
            ["--worlds", "quite"],
            ["--deployments", "worlds"],
            ["--deployments", "smal"],
            ["--builds", "a"],
            ["--builds", "a=/nowhere"],
        ],
    )
    def test_misspelt_names_are_rejected_before_the_first_play(self, arguments, changes, capsys):
        """Guards against a matrix that fails at its last play."""
        player = FakePlayer()
        if changes[0] in {"--worlds", "--builds"}:
            at = arguments.index(changes[0])
            arguments[at : at + 2] = []
        assert main([*arguments, *changes], player=player) == 2
        assert player.played == []
        assert capsys.readouterr().err

    def test_two_builds_of_one_name_are_rejected(self, sources):
        """Guards against a build whose folders another one overwrites."""
        with pytest.raises(ValueError, match="same name"):
            parse_builds(f"a={sources['a']},a={sources['b']}")

    @pytest.mark.parametrize("deployment", ["campoverde", "pmrf"])
    def test_world_of_the_page_disturbs_targets_callers_links_and_store(self, deployment):
        """Guards against a world that leaves out a habit of the users' page."""
        page = load_worlds()["page"]
        layout = Layout(load_deployment(deployment), "127.210.0")
        drawn = draw_faults(page["faults"], layout=layout, seed=1, seconds=20.0)
        kinds = {fault["kind"] for fault in drawn}
        assert kinds >= {"stop", "hup", "config", "invalid_config", "give_up", "garble"}
        assert kinds >= {"srv_crash", "srv_slow", "replace", "cut_to_vm", "reset", "store_slow"}
        assert page["links"]
        assert page["store_limits"]

    def test_options_without_a_value_are_left_out_if_they_are_false(self):
        """Guards against worlds whose links are on although their file says that they are off."""
        play = Play("small", "w", {"links": False, "store_limits": True}, Build("a", "x"), 1, 5.0)
        assert play.command[-3:] == ["--source", "x", "--store-limits"]

    def test_options_of_a_world_are_options_of_the_soak(self):
        """Guards against a world that the soak does not accept."""
        builds = [Build("a", DEPLOYMENTS)]
        for name in load_worlds():
            [play] = draw_plays(
                builds=builds, deployments=["small"], worlds=[name], seeds=[1], seconds=5.0
            )
            options = docopt(soak.__doc__, argv=[*play.command, "--out", "x"])
            for key, value in play.options.items():
                expected = value if isinstance(value, bool) else str(value)
                assert options[f"--{key.replace('_', '-')}"] == expected

    def test_damaged_end_of_a_play_is_played_again(self, tmp_path):
        """Guards against a matrix that a half-written file stops."""
        (tmp_path / "play.json").write_text('{"command": [')
        assert read_end(make_play(), tmp_path) is None


class TestTables:
    """What the tables say of plays."""

    def test_rows_hold_the_figures_of_each_seed(self, tmp_path, arguments):
        """Guards against figures under another seed, build or column."""
        records = {
            "small-quiet-a-2": [
                stop(99.0),
                make_cut(),
                make_dropped_run(),
                make_cut(id="r2", outcome="timeout", ended_at=110.0),
                make_event(105.0, "SIGKILL"),
                make_event(105.1, "exit", status=-9),
            ]
        }
        arguments += ["--deployments", "small", "--seeds", "1,2"]
        assert main(arguments, player=FakePlayer(records=records)) == 1
        header = read_rows(tmp_path, "| deployment")
        rows = {tuple(row[:3]): row for row in read_rows(tmp_path)[:4]}
        found = dict(zip(header[0], rows["small", "quiet", "a"], strict=True))
        assert found["seeds"] == "1, 2"
        assert found["LOST SIGTERM"] == "0, 1"
        assert (found["KILL"], found["killed"], found["FAULT"]) == ("0, 1", "0, 1", "0, 0")
        assert (found["no answer"], found["requests"]) == ("0, 1", "1, 3")
        assert found["served"] == "1, 1"
        assert found["load"] == "1-2, 1-2"
        assert rows["small", "quiet", "b"][4] == "0, 0"
        losses = read_rows(tmp_path)[4:]
        assert header[1][-1] == "1 s"
        assert [row[-1] for row in losses] == ["0, 1", "0, 0", "0, 0", "0, 0"]

    def test_play_without_verdict_is_a_row_with_its_reason(self, tmp_path, arguments):
        """Guards against a play that could not start and counts as one without losses."""
        reason = "could not run: a VM was not ready within 20.0 s"
        player = FakePlayer(reasons={"small-quiet-b-2": reason})
        arguments += ["--deployments", "small", "--seeds", "1,2"]
        assert main(arguments, player=player) == 2
        assert len(player.played) == 8
        rows = [row for row in read_rows(tmp_path) if row[1:3] == ["quiet", "b"]]
        assert rows[0][3:5] == ["1", "0"]
        assert rows[1][3:5] == ["2", f"no verdict: {reason}"]

    @pytest.mark.parametrize(
        ("records", "sentence"),
        [
            ([stop(), make_cut(), make_dropped_run()], "SIGTERM"),
            ([make_event(99.0, "SIGHUP"), make_cut(), make_dropped_run()], "SIGHUP"),
            (
                [make_event(99.0, "config", vm=""), make_cut(), make_dropped_run()],
                "config",
            ),
            (
                [stop(), make_request(status=502, seal=None, reply_id=None), make_run()],
                "own answer",
            ),
            (
                [
                    record
                    for number in range(4)
                    for record in (make_cut(id=f"r{number}"), make_dropped_run(id=f"r{number}"))
                ],
                "at any time",
            ),
        ],
    )
    def test_losses_are_split_by_the_sentence_of_the_rule(self, records, sentence):
        """Guards against losses of one cause that hide among those of another."""
        verdict = judge_history(make_history(*records))
        assert sentence in SENTENCES
        assert verdict.sentences == {sentence: verdict.rules["LOST"]}
        assert verdict.rules["LOST"] > 0

    @pytest.mark.parametrize(
        ("events", "killed", "odd_ends"),
        [
            pytest.param([stop(10), make_event(15, "exit", status=0)], 0, 0, id="0"),
            pytest.param([stop(10), make_event(15, "exit", status=1)], 0, 1, id="odd status"),
            pytest.param([make_event(15, "exit", status=-11)], 0, 1, id="by itself"),
            pytest.param(
                [stop(10), make_event(16, "SIGKILL"), make_event(16, "exit", status=-9)],
                1,
                0,
                id="killed after the grace",
            ),
            pytest.param(
                [stop(10), make_event(12, "SIGKILL"), make_event(12, "exit", status=-9)],
                0,
                0,
                id="killed within the grace",
            ),
            pytest.param(
                [stop(10), make_event(15.9, "exit", status=0), make_event(16.1, "SIGKILL")],
                0,
                0,
                id="ended before the kill was sent",
            ),
            pytest.param(
                [
                    stop(10),
                    make_event(12, "exit", status=0),
                    make_event(13, "start"),
                    make_event(30, "SIGKILL"),
                    make_event(30, "exit", status=-9),
                ],
                0,
                0,
                id="next process killed",
            ),
        ],
    )
    def test_kills_and_ends_are_counted_apart(self, events, killed, odd_ends):
        """Guards against a kill that counts as an end of the process's own."""
        verdict = judge_history(make_history(*events, make_event(100, "note")))
        assert (verdict.killed, verdict.odd_ends) == (killed, odd_ends)

    def test_reasons_do_not_break_the_table(self):
        """Guards against a line of output that adds columns."""
        end = PlayEnd(command=[], commit="", status=1, reason="a | b", load=(0.0, 0.0))
        [line] = [
            line
            for line in format_tables([Row(make_play(), end, None)]).splitlines()
            if "a /" in line
        ]
        assert "no verdict: a / b" in line


class TestSoakPlayer:
    """The process of a play, with the options of a soak that cannot run."""

    def test_play_that_does_not_run_is_left_with_its_reason(self, tmp_path):
        """Guards against a play that ends at once and counts as one without losses."""
        play = make_play(options={"faults": "stosp"})
        end = SoakPlayer().play(play, tmp_path / play.name)
        assert end["status"] == 2
        assert end["reason"] == "status 2: --faults: unknown faults: stosp"

    def test_play_that_takes_too_long_is_ended(self, tmp_path, monkeypatch):
        """Guards against a matrix that hangs at one play."""
        program = tmp_path / "hang"
        program.write_text(f"#!{sys.executable} -S\nimport time\ntime.sleep(60)\n")
        program.chmod(0o755)
        monkeypatch.setattr(plays_module.sys, "executable", str(program))
        monkeypatch.setattr(plays_module, "_MAX_OVERHEAD_S", -4.9)
        end = SoakPlayer().play(make_play(), tmp_path / "play")
        assert end["reason"] == "cut after 0.1 s"
        assert end["status"] != 0
