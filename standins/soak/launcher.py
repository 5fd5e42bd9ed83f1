"""Starts the process of an entry VM as the users' platform does, from the source of any build."""

import asyncio
import os
import signal
import sys
import sysconfig
from pathlib import Path
from typing import IO

_PACKAGE = "carawaybank.platform"
_STOP_AND_RELOAD = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class Launcher:
    """Starts processes of entry VMs from one source directory."""

    def __init__(self, *, source: Path, blocks_signals: bool = False) -> None:
        """Initializes the launcher.

        Args:
            source: Directory that contains the package to run.
            blocks_signals: Whether processes start with SIGTERM, SIGHUP and SIGINT blocked, as
                those of a parent that receives its signals by sigwait or signalfd.
        """
        self._source = source
        self._blocked = _STOP_AND_RELOAD if blocks_signals else ()
        # Of many starts at once, each is known as soon as its process runs.
        self._starting = asyncio.Lock()

    @staticmethod
    def restore_signals() -> None:
        """Gives processes that start later the default actions of signals that are ignored.

        A process inherits them: under nohup, or in the background of a shell, no SIGHUP or SIGINT
        would end a VM in its start.
        """
        for number in _STOP_AND_RELOAD:
            if signal.getsignal(number) == signal.SIG_IGN:
                signal.signal(number, _ignore)

    @property
    def command(self) -> list[str]:
        """Command of a VM; a build that has no script for the start is run as a module."""
        script = self._source / "carawaybank" / "start.py"
        if script.exists():
            return [sys.executable, "-S", "-P", str(script)]
        return [sys.executable, "-S", "-m", _PACKAGE]

    @property
    def search_path(self) -> str:
        """Value of PYTHONPATH: the source, and the packages that -S leaves out."""
        libraries = dict.fromkeys(sysconfig.get_path(name) for name in ("purelib", "platlib"))
        return os.pathsep.join([str(self._source), *libraries])

    async def start(self, *, settings: Path, log: IO[bytes]) -> asyncio.subprocess.Process:
        """Starts a process.

        Args:
            settings: Path of its settings, in whose directory it runs.
            log: Takes its output.
        """
        environment = {**os.environ, "CARAWAYBANK_SETTINGS": str(settings)}
        environment["PYTHONPATH"] = self.search_path
        async with self._starting:
            return await asyncio.create_subprocess_exec(
                *self.command,
                env=environment,
                cwd=settings.parent,
                stdout=log,
                stderr=log,
                preexec_fn=self._block_signals if self._blocked else None,
            )

    def _block_signals(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, self._blocked)


def _ignore(*_: object) -> None:
    """Ignores a signal; unlike SIG_IGN, processes that are started do not inherit it."""
