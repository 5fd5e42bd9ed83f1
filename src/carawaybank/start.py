"""Starts an entry VM on a platform; run by path, as ``deploy/system.toml`` does.

Until a process has set the actions of signals, each signal ends it, and imports take seconds on a
machine under load. This file therefore imports only what the interpreter has loaded at its start:
``_signal`` in place of ``signal``, whose constants need ``enum``.
"""

import _signal
import sys
from posix import _exit

#: Signals that stop a process as planned.
_STOP_SIGNALS = (_signal.SIGTERM, _signal.SIGINT)


def handle_signals() -> None:
    """Sets what signals do until the event loop handles them.

    SIGHUP announces changed settings, which are read after the imports. A process that is stopped
    before it serves ends at once, with the status of a planned stop.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    for number in _STOP_SIGNALS:
        _signal.signal(number, lambda *_: _exit(0))
    # A parent that receives signals by sigwait or signalfd starts its children with them blocked.
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, (_signal.SIGHUP, *_STOP_SIGNALS))


def reset_signals() -> None:
    """Restores the default actions, for a command whose interruption is no success."""
    for number in (_signal.SIGHUP, *_STOP_SIGNALS):
        _signal.signal(number, _signal.SIG_DFL)


if __name__ == "__main__":
    handle_signals()
    if not sys.flags.safe_path:
        # The interpreter puts the directory of a script first; its modules belong to the package.
        del sys.path[0]

    from carawaybank.platform.command import main

    sys.exit(main())
