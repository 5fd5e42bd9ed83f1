"""Starts an entry VM with the settings file that the platform names."""

import asyncio
import os
import sys
from pathlib import Path

from carawaybank import deployment
from carawaybank.exceptions import DocumentError
from carawaybank.platform.node import Node

_SETTINGS_VARIABLE = "CARAWAYBANK_SETTINGS"
_BAD_SETTINGS = 2


def main() -> int:
    """Runs the entry VM; returns the exit code."""
    path = Path(os.environ.get(_SETTINGS_VARIABLE, "/etc/carawaybank/node.yaml"))
    try:
        settings = deployment.load(path)
    except DocumentError as error:
        print(error, file=sys.stderr)
        return _BAD_SETTINGS
    asyncio.run(_serve(settings, path))
    return 0


async def _serve(settings: deployment.Deployment, path: Path) -> None:
    await Node(deployment=settings, settings_path=path).run()


if __name__ == "__main__":
    sys.exit(main())
