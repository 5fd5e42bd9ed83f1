"""Starts VMs that ended by themselves again, as the users' platform does."""

import asyncio
from typing import Protocol

#: Seconds until a VM that was started has to be ready.
START_S = 20.0

#: Seconds from the end of a process to its next start.
RESTART_DELAY_S = 0.5


class Supervised(Protocol):
    """A process that may end by itself."""

    async def wait_for_own_end(self) -> None:
        """Returns once the process has ended by itself and was not started again."""

    async def start(self) -> None:
        """Starts the process, unless it runs."""

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Returns whether the process becomes ready in time."""


async def supervise(vm: Supervised) -> None:
    """Starts a VM again after each end by itself, until cancelled."""
    while True:
        await vm.wait_for_own_end()
        await asyncio.sleep(RESTART_DELAY_S)
        await vm.start()
        ready = asyncio.ensure_future(vm.wait_until_ready(START_S))
        ended = asyncio.ensure_future(vm.wait_for_own_end())
        try:
            await asyncio.wait({ready, ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            ready.cancel()
            ended.cancel()
