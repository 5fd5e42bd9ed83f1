"""Standard streams of a process whose supervisor has closed some of them."""

import os
import sys

_STDOUT, _STDERR = 1, 2


def open_missing() -> None:
    """Opens the null device in place of standard streams that are closed.

    The next connection would get the number of a closed stream, and what is written to the stream.

    Raises:
        OSError: If the null device cannot be opened.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= _STDERR:
        pass
    os.close(descriptor)
    # Python sets the stream objects to None if their descriptors are closed when it starts.
    sys.stdout = sys.stdout or open(_STDOUT, "w", encoding="utf-8", closefd=False)  # noqa: SIM115
    sys.stderr = sys.stderr or open(_STDERR, "w", encoding="utf-8", closefd=False)  # noqa: SIM115
