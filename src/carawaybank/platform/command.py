"""The command of the daemon of an entry VM on the platform.

Usage:
  carawaybank-node [--settings FILE]
  carawaybank-node --check [--settings FILE] [--configuration FILE]
  carawaybank-node (-h | --help)
  carawaybank-node --version

Options:
  --settings FILE       Settings in TOML; by default the file that CARAWAYBANK_SETTINGS names.
  --check               Check the settings and exit.
  --configuration FILE  Check the operators' configuration in this file too. It has the JSON format
                        of the store's row.
  -h --help             Show this text.
  --version             Show the version.

Exit codes:
  0  stopped as planned, or what was checked is right
  1  failed, or an address is in use
  2  the settings, the configuration or the arguments are wrong

Settings that are wrong at the start are read again for some seconds, as they may be incomplete
while they are being replaced.
"""

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path
from typing import NoReturn

from docopt import docopt

import carawaybank
from carawaybank import deployment, streams
from carawaybank.exceptions import DocumentError, ListenError
from carawaybank.journal import Journal
from carawaybank.node import Node
from carawaybank.platform import decoding
from carawaybank.platform.adapter import PlatformAdapter
from carawaybank.routing.tenants import find_faults
from carawaybank.start import reset_signals

_SETTINGS_VARIABLE = "CARAWAYBANK_SETTINGS"
_FAILED = 1
_BAD_SETTINGS = 2
#: Seconds for which wrong settings are read again at the start, and seconds between two attempts.
_SETTINGS_WAIT_S = 5.0
_SETTINGS_INTERVAL_S = 0.1


def main() -> int:
    """Runs the entry VM until it stops, or checks the settings; returns the exit code."""
    streams.open_missing()
    arguments = docopt(__doc__, version=carawaybank.__version__)
    path = Path(arguments["--settings"] or os.environ.get(_SETTINGS_VARIABLE, "settings.toml"))
    if arguments["--check"]:
        return _check(path, arguments["--configuration"])
    try:
        settings = _load(path, wait_s=_SETTINGS_WAIT_S)
    except DocumentError as error:
        _log_failure(_BAD_SETTINGS, str(error), vm="")
        return _report(_BAD_SETTINGS, error)
    try:
        asyncio.run(_serve(settings, path))
    except ListenError as error:
        _log_failure(_FAILED, str(error), vm=settings.vm)
        return _report(_FAILED, error)
    except Exception as error:
        _log_failure(_FAILED, repr(error), vm=settings.vm)
        raise
    return 0


def _log_failure(status: int, reason: str, *, vm: str) -> None:
    """Logs why the process ends by itself; standard error has neither the time nor the VM."""
    Journal(vm=vm).log("daemon", "failed", status=status, reason=reason)


def _report(status: int, error: Exception) -> int:
    """Prints an error on standard error and returns the exit code."""
    # Standard error may be closed, or share a full pipe with the log, whose writes do not block.
    with contextlib.suppress(OSError):
        print(error, file=sys.stderr, flush=True)
    return status


def _check(path: Path, configuration: str | None) -> int:
    """Checks the settings, and a configuration if one is named; returns the exit code."""
    reset_signals()
    try:
        settings = deployment.load(path)
    except DocumentError as error:
        return _report(_BAD_SETTINGS, error)
    print(f"{path}: right")
    return _check_configuration(configuration, settings)


def _load(path: Path, *, wait_s: float) -> deployment.Deployment:
    """Reads the settings, again while they are wrong.

    Args:
        path: Path of the settings.
        wait_s: Seconds after which wrong settings are an error.

    Raises:
        DocumentError: If the settings are still wrong then.
    """
    deadline = time.monotonic() + wait_s
    reported = ""
    while True:
        try:
            return deployment.load(path)
        except DocumentError as error:
            if time.monotonic() >= deadline:
                raise
            if str(error) != reported:
                reported = str(error)
                # Standard error may be closed or full, which must not end or delay the start.
                Journal(vm="").log("daemon", "waiting for settings", reason=reported)
        time.sleep(_SETTINGS_INTERVAL_S)


def _check_configuration(name: str | None, settings: deployment.Deployment) -> int:
    """Prints the faults of a configuration in a file, if one is named; returns the exit code."""
    if name is None:
        return 0
    try:
        configuration = decoding.read_configuration(Path(name).read_bytes())
    except (DocumentError, OSError) as error:
        print(error, file=sys.stderr)
        return _BAD_SETTINGS
    faults = find_faults(configuration, frozenset(settings.regions.values()))
    for fault in faults:
        print(f"{name}: {fault}", file=sys.stderr)
    if not faults:
        print(f"{name}: right")
    return _BAD_SETTINGS if faults else 0


async def _serve(settings: deployment.Deployment, path: Path) -> None:
    adapter = PlatformAdapter(store_address=settings.store_address, regions=settings.regions)
    await Node(deployment=settings, adapter=adapter, settings_path=path).run()
    _end()


def _end() -> NoReturn:
    """Ends the process after a planned stop.

    The time for which the event loop and the interpreter clean up counts towards the stop time, and
    on a machine under load it exceeds what is left of it. The event loop would also restore the
    default action of signals, which ends a process with an error.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError, AttributeError):  # Nobody reads it any more.
            stream.flush()
    os._exit(0)
