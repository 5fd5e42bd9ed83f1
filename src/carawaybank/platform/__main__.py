"""Entry point of the daemon of an entry VM; see :mod:`carawaybank.platform.command`.

Signals are handled before the imports, which take seconds on a machine under load. SIGHUP, by which
operators announce changed settings, would end a process that has no handler yet; the settings are
read after the imports, and again once the process runs. A process that is stopped before it serves
ends at once with the status of a planned stop.
"""

import os
import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)
for _number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(_number, lambda *_: os._exit(0))

from carawaybank.platform.command import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
