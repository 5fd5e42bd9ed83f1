"""Entry point of the daemon of an entry VM; see :mod:`carawaybank.platform.command`.

Used by ``-m`` and by the console script. ``deploy/system.toml`` runs :mod:`carawaybank.start` by
its path instead, which handles signals even before the interpreter's imports for ``-m``.
"""

import sys

from carawaybank.start import handle_signals

handle_signals()

from carawaybank.platform.command import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
