"""Plays several builds in the soak, one play after another, and tabulates the verdicts.

Usage: standins.soak.matrix --builds BUILDS [options]

Options:
  --builds BUILDS       Builds, NAME=DIR separated by commas; DIR contains the package.
  --deployments NAMES   Deployments, files in deploy/soak [default: campoverde].
  --worlds NAMES        Worlds, tables of deploy/soak/worlds.toml [default: quiet].
  --seeds SEEDS         Seeds of faults and load [default: 1].
  --seconds S           Duration of the load of each play in seconds [default: 20].
  --out DIR             Directory for folders and tables [default: soak-matrix].
  --list                Print the plays and an estimate of their time, and play nothing.

A play whose folder is complete, with the same options and commit, is not played again. The tables
are in matrix.md of the directory, written after each play. Exits with 1 if a rule was broken in a
play, and with 2 if a play left no verdict.
"""

import itertools
import signal
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from docopt import docopt

from standins.soak.layout import DEPLOYMENTS, WORLDS
from standins.soak.plays import (
    OVERHEAD_S,
    Build,
    Play,
    Player,
    SoakPlayer,
    is_complete,
    load_worlds,
    mark_unplayed,
    read_end,
    run_plays,
)
from standins.soak.tables import Row, format_tables, judge

_TABLES = "matrix.md"


def main(arguments: Sequence[str] | None = None, *, player: Player | None = None) -> int:
    """Runs the command and returns its exit status.

    Args:
        arguments: Arguments of the command; by default those of the process.
        player: Plays one run; by default by a process of the soak.
    """
    options = docopt(__doc__, argv=arguments)
    directory = Path(options["--out"]).resolve()
    try:
        plays = draw_plays(
            builds=parse_builds(options["--builds"]),
            deployments=options["--deployments"].split(","),
            worlds=options["--worlds"].split(","),
            seeds=[int(seed) for seed in options["--seeds"].split(",")],
            seconds=float(options["--seconds"]),
        )
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    if options["--list"]:
        print(_format_list(plays, directory))
        return 0
    rows = _run(plays, directory, player or SoakPlayer())
    print(format_tables(rows))
    return _find_status(rows)


def parse_builds(text: str) -> list[Build]:
    """Returns the builds of an option.

    Raises:
        ValueError: If a build has no name, or its directory no package.
    """
    builds = []
    for part in text.split(","):
        name, _, source = part.partition("=")
        if not name or not (Path(source) / "carawaybank").is_dir() or not source:
            raise ValueError(f"not NAME=DIR with the package in DIR: {part}")
        builds.append(Build(name, Path(source).resolve()))
    if len({build.name for build in builds}) < len(builds):
        raise ValueError(f"two builds of the same name: {text}")
    return builds


def draw_plays(
    *,
    builds: Sequence[Build],
    deployments: Sequence[str],
    worlds: Sequence[str],
    seeds: Sequence[int],
    seconds: float,
) -> list[Play]:
    """Returns a play of each combination; builds with the same seed follow each other.

    Raises:
        ValueError: If a deployment or world is unknown.
    """
    known = load_worlds()
    if unknown := [name for name in worlds if name not in known]:
        raise ValueError(f"unknown worlds: {', '.join(unknown)}")
    files = {path.stem for path in DEPLOYMENTS.glob("*.toml") if path != WORLDS}
    if unknown := [name for name in deployments if name not in files]:
        raise ValueError(f"unknown deployments: {', '.join(unknown)}")
    return [
        Play(deployment, world, known[world], build, seed, seconds)
        for deployment, world, seed, build in itertools.product(deployments, worlds, seeds, builds)
    ]


def _run(plays: list[Play], directory: Path, player: Player) -> list[Row]:
    """Plays all runs and returns their rows; an interruption leaves rows of plays left out."""
    rows: list[Row] = []
    try:
        for play, end in run_plays(plays, directory=directory, player=player):
            rows.append(judge(play, end, directory / play.name))
            (directory / _TABLES).write_text(format_tables(rows))
    except KeyboardInterrupt:
        rows += [Row(play, mark_unplayed(play), None) for play in plays[len(rows) :]]
        (directory / _TABLES).write_text(format_tables(rows))
    return rows


def _format_list(plays: Iterable[Play], directory: Path) -> str:
    """Returns the plays, and the time of those that are not complete yet."""
    lines, total_s = [], 0.0
    for play in plays:
        end = read_end(play, directory / play.name)
        if end is not None and is_complete(end):
            lines.append(f"{play.name}: complete")
            continue
        estimate_s = play.seconds + OVERHEAD_S
        total_s += estimate_s
        lines.append(f"{play.name}: about {estimate_s:.0f} s")
    return "\n".join([*lines, f"about {total_s / 60:.0f} min in all"])


def _find_status(rows: Iterable[Row]) -> int:
    verdicts = [row.verdict for row in rows]
    if None in verdicts:
        return 2
    return 1 if any(verdict and verdict.rules for verdict in verdicts) else 0


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _interrupt)
    sys.exit(main())
