"""Entry point of the daemon of an entry VM; see :mod:`carawaybank.platform.command`.

SIGHUP, by which operators announce changed settings, would end a process that has no handler yet.
It is ignored before the imports, which take seconds on a machine under load. The settings are read
after them, and again once the process runs.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from carawaybank.platform.command import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
