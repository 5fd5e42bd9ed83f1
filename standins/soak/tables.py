"""Markdown tables of the plays of a matrix."""

from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from standins.soak.checks import APART, find_violations, group_losses, load_history
from standins.soak.history import History
from standins.soak.lifecycles import find_killed_stops, find_odd_ends
from standins.soak.losses import SENTENCES
from standins.soak.plays import Play, PlayEnd, is_complete
from standins.soak.unanswered import find_unanswered

_NAMES = ("deployment", "world", "build", "seeds")
_COUNTS = (
    *(f"LOST {sentence}" for sentence in SENTENCES),
    "FAULT", "KILL", "other rules", "no answer", "killed", "end not 0", "requests", "load",
)  # fmt: skip
_OWN_COLUMNS = frozenset({"LOST", "FAULT", "KILL"})


class Verdict(NamedTuple):
    """What the records of one play show.

    Attributes:
        rules: Violations by rule.
        sentences: Losses by sentence of the rule LOST.
        seconds: Losses by whole seconds after the VM's SIGTERM.
        requests: Number of requests.
        unanswered: Requests without any answer in their time.
        killed: Stops that ended in a kill after the grace.
        odd_ends: Processes whose own end was not 0.
    """

    rules: Counter[str]
    sentences: Counter[str]
    seconds: Counter[str]
    requests: int
    unanswered: int
    killed: int
    odd_ends: int


class Row(NamedTuple):
    """A play with its end, and its verdict if it is complete."""

    play: Play
    end: PlayEnd
    verdict: Verdict | None

    @property
    def seed(self) -> str:
        """Seed of the play."""
        return str(self.play.seed)

    @property
    def group(self) -> tuple[str, str, str]:
        """Deployment, world and build, which share a row of the tables."""
        return self.play.deployment, self.play.world, self.play.build.name

    @property
    def cells(self) -> list[str]:
        """Figures of the play in the order of the table's columns."""
        if self.verdict is None:
            return ["-"] * len(_COUNTS)
        rules = self.verdict.rules
        others = [f"{rule} {rules[rule]}" for rule in sorted(rules.keys() - _OWN_COLUMNS)]
        figures: tuple[object, ...] = (
            *(self.verdict.sentences[sentence] for sentence in SENTENCES),
            rules["FAULT"],
            rules["KILL"],
            " ".join(others) or 0,
            self.verdict.unanswered,
            self.verdict.killed,
            self.verdict.odd_ends,
            self.verdict.requests,
            "{:.0f}-{:.0f}".format(*self.end["load"]),
        )
        return [str(figure) for figure in figures]


def judge(play: Play, end: PlayEnd, folder: Path) -> Row:
    """Returns the row of a play, with a verdict by the soak's checks if it is complete."""
    if not is_complete(end):
        return Row(play, end, None)
    return Row(play, end, judge_history(load_history(folder)))


def judge_history(history: History) -> Verdict:
    """Returns what the records of a play show."""
    violations = find_violations(history)
    losses = [violation for violation in violations if violation.rule == "LOST"]
    return Verdict(
        rules=Counter(violation.rule for violation in violations),
        sentences=Counter(violation.sentence for violation in losses),
        seconds=group_losses(history, losses),
        requests=len(history.requests),
        unanswered=len(find_unanswered(history)),
        killed=len(find_killed_stops(history)),
        odd_ends=len(find_odd_ends(history)),
    )


def format_tables(rows: Iterable[Row]) -> str:
    """Returns the tables of plays, losses by second, and plays without a verdict."""
    groups: dict[tuple[str, str, str], list[Row]] = {}
    for row in rows:
        groups.setdefault(row.group, []).append(row)
    return "\n".join([*_format_counts(groups), "", *_format_seconds(groups), ""])


def _format_counts(groups: dict[tuple[str, str, str], list[Row]]) -> list[str]:
    lines = [
        "Figures by seed. `no answer`: requests without any answer in their time; `killed`: VMs",
        "killed after `graceS`; `end not 0`: processes that were not killed and ended with another",
        "status; `load`: load average of the machine before and after the play.",
        "",
        *_format_head((*_NAMES, *_COUNTS)),
    ]
    for group, rows in groups.items():
        played = [row for row in rows if row.verdict is not None]
        if played:
            seeds = ", ".join(row.seed for row in played)
            columns = zip(*(row.cells for row in played), strict=True)
            lines.append(_format_row((*group, seeds, *(", ".join(column) for column in columns))))
        for row in rows:
            if row.verdict is None:
                lines.append(_format_failed(row, len(_COUNTS)))
    return lines


def _format_seconds(groups: dict[tuple[str, str, str], list[Row]]) -> list[str]:
    verdicts = {
        group: [row.verdict for row in rows if row.verdict is not None]
        for group, rows in groups.items()
    }
    known = {second for each in verdicts.values() for verdict in each for second in verdict.seconds}
    seconds = sorted(known - {APART}, key=_second_of) + sorted(known & {APART})
    lines = ["Losses by whole seconds after the VM's SIGTERM, by seed.", ""]
    if not seconds:
        return [*lines, "None."]
    lines += _format_head((*_NAMES, *seconds))
    for group, rows in groups.items():
        played = [row for row in rows if row.verdict is not None]
        if not played:
            continue
        seeds = ", ".join(row.seed for row in played)
        cells = [
            ", ".join(str(verdict.seconds[second]) for verdict in verdicts[group])
            for second in seconds
        ]
        lines.append(_format_row((*group, seeds, *cells)))
    return lines


def _format_failed(row: Row, columns: int) -> str:
    reason = row.end["reason"] or f"status {row.end['status']}"
    cells = [f"no verdict: {reason.replace('|', '/')}", *[""] * (columns - 1)]
    return _format_row((*row.group, row.seed, *cells))


def _format_head(names: Sequence[str]) -> list[str]:
    return [_format_row(names), "|" + "---|" * len(names)]


def _format_row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _second_of(label: str) -> int:
    return int(label.split(maxsplit=1)[0])
