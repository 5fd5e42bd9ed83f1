"""Options of the soak's command; each error is one line that names the option."""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from standins.soak.faults import draw_faults
from standins.soak.layout import DEPLOYMENTS, WORLDS, Deployment, Layout, load_deployment
from standins.soak.records import Plan
from standins.soak.runner import Options

#: Longest time in seconds for which busy processes run.
_BUSY_S = 30.0


class OptionError(Exception):
    """An option of the command that is not usable; its text names the option."""


class Command(NamedTuple):
    """What a run plays, and where.

    Attributes:
        plan: What all processes of the run know.
        options: Directories, and the processes that keep cores busy.
    """

    plan: Plan
    options: Options


def read_command(arguments: Mapping[str, Any], *, network: str) -> Command:
    """Returns what the arguments of the command ask for.

    Args:
        arguments: Values by option, as docopt returns them.
        network: First three numbers of all IP addresses.

    Raises:
        OptionError: If an option is not usable.
    """
    deployment = _read_deployment(arguments)
    seed = _read_whole(arguments, "--seed", at_least=0)
    seconds = _read_positive(arguments, "--seconds")
    try:
        faults = draw_faults(
            arguments["--faults"], layout=Layout(deployment, network), seed=seed, seconds=seconds
        )
    except ValueError as error:
        raise OptionError(f"--faults: {error}") from error
    plan = Plan(
        deployment=deployment,
        network=network,
        seed=seed,
        rate=deployment["rate"] * _read_positive(arguments, "--load-share"),
        seconds=seconds,
        loaders=_read_whole(arguments, "--loaders", at_least=1),
        hosts=_read_whole(arguments, "--hosts", at_least=1),
        faults=faults,
        has_links=arguments["--links"],
        has_store_limits=arguments["--store-limits"],
    )
    options = Options(
        directory=_read_directory(arguments),
        source=_read_source(arguments),
        busy=_read_whole(arguments, "--busy", at_least=0),
        busy_s=min(_BUSY_S, seconds + 6.0),
        blocks_signals=arguments["--blocked-signals"],
    )
    return Command(plan, options)


def _read_deployment(arguments: Mapping[str, Any]) -> Deployment:
    name = arguments["--deployment"]
    known = sorted(path.stem for path in DEPLOYMENTS.glob("*.toml") if path != WORLDS)
    if name not in known:
        raise OptionError(f"--deployment: {name!r} is none of {', '.join(known)}")
    try:
        deployment = load_deployment(name)
    except (msgspec.ValidationError, tomllib.TOMLDecodeError) as error:
        raise OptionError(f"--deployment: {name}: {error}") from error
    for option, field in (("--links", "links"), ("--store-limits", "store")):
        if arguments[option] and field not in deployment:
            raise OptionError(f"{option}: the file of {name} has no [{field}]")
    return deployment


def _read_whole(arguments: Mapping[str, Any], option: str, *, at_least: int) -> int:
    text = arguments[option]
    if not text.isdecimal() or int(text) < at_least:
        raise OptionError(f"{option}: {text!r} is no whole number of at least {at_least}")
    return int(text)


def _read_positive(arguments: Mapping[str, Any], option: str) -> float:
    text = arguments[option]
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value < math.inf:
        raise OptionError(f"{option}: {text!r} is no number above 0")
    return value


def _read_directory(arguments: Mapping[str, Any]) -> Path:
    directory = Path(arguments["--out"]).resolve()
    if directory.exists() and not directory.is_dir():
        raise OptionError(f"--out: {directory} is no directory")
    if directory.exists() and not (directory / "plan.json").exists() and any(directory.iterdir()):
        raise OptionError(f"--out: {directory} holds other files")
    return directory


def _read_source(arguments: Mapping[str, Any]) -> Path:
    source = Path(arguments["--source"]).resolve()
    if not (source / "carawaybank").is_dir():
        raise OptionError(f"--source: {source} has no package carawaybank")
    return source
