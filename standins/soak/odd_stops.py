"""Stops by other signals than a single SIGTERM, and at other moments than of a VM that serves."""

import asyncio
import random
import signal
from collections.abc import Iterable

from standins.soak.fleet import StopPause, VmProcess
from standins.soak.records import Fault
from standins.soak.supervisor import START_S

#: Varieties: SIGINT; SIGTERM twice; SIGHUP within a millisecond after or before SIGTERM; SIGSTOP
#: over a part of the stop; SIGTERM in a start, alone or right after SIGHUP.
ODD_STOPS = ("interrupt", "twice", "hup_after", "hup_before", "paused", "in_start", "hup_in_start")

_MAX_GAP_S = 0.001
_MAX_START_S = 1.0
#: A pause of at most half a second stands for a busy machine, which excuses nothing.
_PAUSES_S = (0.2, 0.45)
_MAX_PAUSE_AFTER_S = 3.0
_STOPS_IN_START = frozenset({"in_start", "hup_in_start"})


def draw_odd_stops(stops: Iterable[Fault], *, rng: random.Random) -> list[Fault]:
    """Returns stops with a variety each; none comes twice before each has come once.

    Args:
        stops: The times and VMs.
        rng: Source of random numbers.
    """
    order = rng.sample(ODD_STOPS, len(ODD_STOPS))
    return [
        Fault(
            **stop,
            how=order[number % len(order)],
            x=rng.uniform(0.0, _MAX_GAP_S),
            after_start_s=rng.uniform(0.0, _MAX_START_S),
            pause_s=rng.uniform(*_PAUSES_S),
            pause_after_s=rng.uniform(0.0, _MAX_PAUSE_AFTER_S),
        )
        for number, stop in enumerate(stops)
    ]


async def stop_oddly(vm: VmProcess, fault: Fault) -> None:
    """Stops a VM in the variety of a fault, and starts it again."""
    how = fault["how"]
    if how in _STOPS_IN_START:
        await vm.stop()
        await asyncio.sleep(fault["for_s"])
        await vm.start()
        await asyncio.sleep(fault["after_start_s"])
    if how in {"hup_before", "hup_in_start"}:
        vm.send(signal.SIGHUP)
        await asyncio.sleep(fault["x"])
    pause = StopPause(fault["pause_after_s"], fault["pause_s"]) if how == "paused" else None
    number = signal.SIGINT if how == "interrupt" else signal.SIGTERM
    stopping = asyncio.create_task(vm.stop(pause=pause, number=number))
    await asyncio.sleep(fault["x"])
    if how == "twice":
        # Not a stop of its own to the checkers: the bounds count from the first signal.
        vm.send(signal.SIGTERM, event="SIGTERM again")
    if how == "hup_after":
        vm.send(signal.SIGHUP)
    await stopping
    await asyncio.sleep(fault["for_s"])
    await vm.start()
    await vm.wait_until_ready(START_S)
