"""Entry point of the daemon of an entry VM; see :mod:`carawaybank.platform.command`.

Signals are handled before the imports; :mod:`carawaybank.platform.start` does so even earlier.
"""

import sys

from carawaybank.platform.start import handle_signals

handle_signals()

from carawaybank.platform.command import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
