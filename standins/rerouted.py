"""Runs the daemon of an entry VM that reaches its targets over simulated links.

``CARAWAYBANK_LINKS`` holds a JSON object with the address of the link by address of the target.
"""

import asyncio
import functools
import json
import os
import sys
from collections.abc import Mapping
from typing import Any

from carawaybank.platform.command import main


def reroute(links: Mapping[str, str]) -> None:
    """Makes event loops connect to links in place of targets."""
    loop_class = asyncio.SelectorEventLoop
    connect: Any = loop_class.create_connection

    @functools.wraps(connect)
    async def connect_by_link(
        loop: asyncio.AbstractEventLoop, factory: Any, host: str, port: int, **options: Any
    ) -> Any:
        host, _, text = links.get(f"{host}:{port}", f"{host}:{port}").rpartition(":")
        return await connect(loop, factory, host, int(text), **options)

    loop_class.create_connection = connect_by_link  # type: ignore[assignment, method-assign]


if __name__ == "__main__":
    reroute(json.loads(os.environ["CARAWAYBANK_LINKS"]))
    sys.exit(main())
