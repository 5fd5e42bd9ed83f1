"""A process of peers that send without end: callers, and a gate between the VMs and the store.

Usage: python -m standins.soak.flooder DIRECTORY NUMBER

Reads the plan in DIRECTORY; a line with the monotonic time of the start on standard input begins
the faults. It is a process of its own, so that no other caller and no report of a target waits.
"""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

from standins.floods import RESPONSES, FloodServer, requests, send_without_end
from standins.soak.endless import CALLERS, ENDLESS_NAME, STORE
from standins.soak.layout import Layout
from standins.soak.records import Fault, Plan, Recorder

#: Time from the end of a connection to the next one of the same caller.
_RECONNECT_S = 0.01


async def play_callers(fault: Fault, *, layout: Layout, recorder: Recorder) -> None:
    """Sends requests without end to a VM on several connections, for the time of the fault."""
    vm = next(each for each in layout.vms if each.name == fault["subject"])
    form = requests(f"/{fault['place']}/{ENDLESS_NAME}")[fault["how"]]
    recorder.event(
        "endless_callers", vm=vm.name, how=fault["how"], x=fault["x"], count=fault["count"]
    )

    async def send() -> None:
        host, _, port = vm.callers_address.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                try:
                    await send_without_end(writer, form, bytes_per_s=fault["x"])
                finally:
                    writer.transport.abort()
            await asyncio.sleep(_RECONNECT_S)

    sending = [asyncio.create_task(send()) for _ in range(fault["count"])]
    await asyncio.sleep(fault["for_s"])
    for task in sending:
        task.cancel()
    recorder.event("endless_callers_end", vm=vm.name)


async def play_store(fault: Fault, *, gate: FloodServer, recorder: Recorder) -> None:
    """Lets the store answer the VMs without end for the time of the fault."""
    recorder.disturbance("store_endless", for_s=fault["for_s"], how=fault["how"], x=fault["x"])
    gate.bytes_per_s = fault["x"]
    gate.flood(RESPONSES[fault["how"]])
    await asyncio.sleep(fault["for_s"])
    gate.recover()


async def _play(directory: Path, number: int) -> None:
    plan = Plan.read(directory)
    layout = plan.layout
    recorder = Recorder(path=directory / f"flooder-{number}.jsonl")
    gate = FloodServer(upstream=layout.store_address)
    if plan.has_store_gate:
        await gate.start(layout.vms_store_address)
    loop = asyncio.get_running_loop()
    print("ready", flush=True)
    started_at = float(await loop.run_in_executor(None, sys.stdin.readline))

    async def inject(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, started_at + fault["at"] - time.monotonic()))
        if fault["kind"] == CALLERS:
            await play_callers(fault, layout=layout, recorder=recorder)
        else:
            await play_store(fault, gate=gate, recorder=recorder)

    injecting = [
        asyncio.create_task(inject(fault))
        for fault in plan.faults
        if fault["kind"] in {CALLERS, STORE}
    ]
    await loop.run_in_executor(None, sys.stdin.readline)
    for task in injecting:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(_play(Path(sys.argv[1]), int(sys.argv[2])))
