"""What the operating system knows of this process."""

import os
from pathlib import Path


def process_bytes() -> int:
    """Returns the bytes of memory that the process has in use."""
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE")
