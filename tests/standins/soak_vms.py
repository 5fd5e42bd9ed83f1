"""VMs of the soak that run a few lines in place of the package."""

import asyncio
import contextlib

from standins.soak.checks import find_violations
from standins.soak.fleet import VmProcess
from standins.soak.history import load_history
from standins.soak.launcher import Launcher
from standins.soak.layout import Layout, load_deployment
from standins.soak.records import Recorder

START_S = 20


@contextlib.asynccontextmanager
async def run_vm(directory, code, *, blocks_signals=False):
    """Starts a VM whose script is some code, and kills it at the end."""
    package = directory / "carawaybank"
    package.mkdir(parents=True)
    (package / "start.py").write_text(code)
    layout = Layout(load_deployment("small"), "127.210.0")
    vm = VmProcess(
        vm=layout.vms[0],
        layout=layout,
        directory=directory,
        launcher=Launcher(source=directory, blocks_signals=blocks_signals),
        recorder=Recorder(path=directory / "runner.jsonl"),
    )
    await vm.start()
    try:
        yield vm
    finally:
        await vm.kill()


async def wait_for_lines(directory, count):
    """Waits until the processes of a VM have printed some lines in all."""
    async with asyncio.timeout(START_S):
        while sum(len(log.read_text().splitlines()) for log in directory.glob("*.log")) < count:
            await asyncio.sleep(0.01)


def rules_in(directory):
    """Returns the rules that the records show broken."""
    return [violation.rule for violation in find_violations(load_history(directory))]
