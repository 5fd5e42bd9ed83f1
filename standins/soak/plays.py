"""Plays of a matrix: one run of the soak each, in a folder that tells whether it is complete."""

import json
import os
import shlex
import shutil
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple, Protocol, TypedDict

from standins.soak.layout import WORLDS
from standins.soak.runner import describe_commit

#: Expected time of a play beyond its load in seconds, for starts, last deadlines and stops.
OVERHEAD_S = 20.0

_END = "play.json"
#: Time of a play beyond its load after which it is ended, in seconds. Starts take up to 40 s, the
#: last requests 15 s and the last stops 6 s.
_MAX_OVERHEAD_S = 120.0
#: Time in seconds in which the soak ends its processes; they would outlive it if it were killed.
_STOP_S = 60.0
#: Line of the soak's summary, which it prints once its run and its checks have ended.
_SUMMARY_LINE = "violations by rule"
_COMPLETE_STATUSES = (0, 1)

World = Mapping[str, str | int | float]


class Build(NamedTuple):
    """A version of the package to run.

    Attributes:
        name: Name in folders and tables.
        source: Directory that contains the package.
    """

    name: str
    source: Path


class PlayEnd(TypedDict):
    """How a play ended, kept in its folder.

    Attributes:
        command: Options of the soak.
        commit: Commit of the build, with a mark if files were changed.
        status: Exit status of the soak.
        reason: Why the records are not complete; empty if they are.
        load: Load averages of the machine at the start and the end of the play.
    """

    command: list[str]
    commit: str
    status: int
    reason: str
    load: tuple[float, float]


class Play(NamedTuple):
    """One run of the soak.

    Attributes:
        deployment: Name of the deployment.
        world: Name of the world.
        options: Options of the world.
        build: The build that runs.
        seed: Seed of faults and load.
        seconds: Duration of the load in seconds.
    """

    deployment: str
    world: str
    options: World
    build: Build
    seed: int
    seconds: float

    @property
    def name(self) -> str:
        """Name of its folder."""
        return f"{self.deployment}-{self.world}-{self.build.name}-{self.seed}"

    @property
    def command(self) -> list[str]:
        """Options of the soak but the folder for the records."""
        command = ["--deployment", self.deployment, "--seed", str(self.seed)]
        command += ["--seconds", f"{self.seconds:g}", "--source", str(self.build.source)]
        for name, value in self.options.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        return command


class Player(Protocol):
    """Plays one run."""

    def play(self, play: Play, directory: Path) -> PlayEnd:
        """Plays a run to its end and leaves its records in a directory."""


class SoakPlayer:
    """Plays by a process of the soak's command, which chooses addresses of its own."""

    def play(self, play: Play, directory: Path) -> PlayEnd:
        """Plays a run to its end; its output is kept beside the directory.

        Raises:
            KeyboardInterrupt: If the command is interrupted; the play is ended before.
        """
        command = [sys.executable, "-m", "standins.soak", *play.command, "--out", str(directory)]
        output_path = directory.parent / f"{directory.name}.txt"
        commit, load = describe_commit(play.build.source), os.getloadavg()[0]
        with output_path.open("w") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
            try:
                reason = _wait(process, play.seconds + _MAX_OVERHEAD_S)
            finally:
                _stop(process)
        if not reason and _SUMMARY_LINE not in output_path.read_text(errors="replace"):
            reason = f"status {process.returncode}: {_last_line(output_path)}"
        return PlayEnd(
            command=play.command,
            commit=commit,
            status=process.returncode,
            reason=reason,
            load=(load, os.getloadavg()[0]),
        )


def load_worlds(path: Path = WORLDS) -> dict[str, World]:
    """Returns the named sets of options.

    Raises:
        OSError: If there is no such file.
        tomllib.TOMLDecodeError: If it is no TOML.
    """
    return tomllib.loads(path.read_text())


def read_end(play: Play, directory: Path) -> PlayEnd | None:
    """Returns how a play ended; None if it was not played, or with other options or code."""
    try:
        end: PlayEnd = json.loads((directory / _END).read_text())
    except (OSError, ValueError):
        return None
    commit = describe_commit(play.build.source)
    return end if (end["command"], end["commit"]) == (play.command, commit) else None


def is_complete(end: PlayEnd) -> bool:
    """Returns whether a play left records that can be judged."""
    return not end["reason"] and end["status"] in _COMPLETE_STATUSES


def mark_unplayed(play: Play) -> PlayEnd:
    """Returns the end of a play that an interruption of the command left out."""
    return PlayEnd(command=play.command, commit="", status=0, reason="not played", load=(0.0, 0.0))


def run_plays(
    plays: Iterable[Play], *, directory: Path, player: Player
) -> Iterable[tuple[Play, PlayEnd]]:
    """Plays one run after another, except complete ones, and yields each with its end.

    Args:
        plays: The runs.
        directory: Directory with a folder for each.
        player: Plays one run.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for play in plays:
        folder = directory / play.name
        end = read_end(play, folder)
        if end is None or not is_complete(end):
            shutil.rmtree(folder, ignore_errors=True)
            end = _play(player, play, folder)
        yield play, end


def _play(player: Player, play: Play, folder: Path) -> PlayEnd:
    started_at = time.monotonic()
    print(f"{play.name}: python -m standins.soak {shlex.join(play.command)}", flush=True)
    end = player.play(play, folder)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / _END).write_text(json.dumps(end))
    took_s = time.monotonic() - started_at
    print(f"{play.name}: {end['reason'] or 'played'} after {took_s:.0f} s", flush=True)
    return end


def _wait(process: subprocess.Popen[bytes], timeout_s: float) -> str:
    """Waits for the end of a play, and returns why it was cut; empty if it ended by itself."""
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        return f"cut after {timeout_s:g} s"
    return ""


def _stop(process: subprocess.Popen[bytes]) -> None:
    """Ends a play that still runs; at SIGTERM the soak ends all that it started."""
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(_STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _last_line(path: Path) -> str:
    lines = [line for line in path.read_text(errors="replace").splitlines() if line.strip()]
    return lines[-1] if lines else "no output"
