"""Runs a deployment with load and faults, and leaves the record of what was seen."""

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from standins.rowstore import RowStore
from standins.soak.boots import FIRST_START, boot, start_first
from standins.soak.configurations import Operator
from standins.soak.endless import CALLERS, STORE
from standins.soak.fleet import StopPause, VmProcess
from standins.soak.launcher import Launcher
from standins.soak.odd_stops import stop_oddly
from standins.soak.records import Fault, Plan, Recorder
from standins.soak.supervisor import START_S, supervise

_LEAD_S = 2.0
_LATENESS_S = 0.5
_LOAD_TAIL_S = 15.0
#: Faults that the processes of the load inject by themselves.
_OF_CALLERS = frozenset({"give_up", "retry_abuse", "burst", "shift"})
#: Factor of the store's time for a call while it is slow.
_SLOW_STORE_FACTOR = 60.0
_BUSY = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""


class StartError(Exception):
    """A process of the run did not start."""


class Options(NamedTuple):
    """Options of a run.

    Attributes:
        directory: Existing directory for settings, logs and records.
        source: Directory that contains the package that VMs run.
        busy: Number of processes that keep cores busy during the load.
        busy_s: Seconds after which they end by themselves.
        blocks_signals: Whether VMs start with the signals of stops and of settings blocked.
    """

    directory: Path
    source: Path
    busy: int
    busy_s: float
    blocks_signals: bool = False


def describe_commit(source: Path) -> str:
    """Returns the commit of a directory, with a mark if files were changed; empty without one."""
    found = subprocess.run(
        ["git", "-C", str(source), "describe", "--always", "--dirty"],
        capture_output=True, text=True, check=False, timeout=10,
    )  # fmt: skip
    return found.stdout.strip()


class Runner:
    """Starts all processes of a run, injects the faults and ends what it started."""

    def __init__(self, *, plan: Plan, options: Options) -> None:
        """Prepares a run.

        Args:
            plan: What all processes of the run know.
            options: Directories, and the processes that keep cores busy.
        """
        self._plan, self._options = plan, options
        self._recorder = Recorder(path=options.directory / "runner.jsonl")
        self._store = RowStore(limits=plan.store_limits, rng=random.Random(f"{plan.seed}-store"))
        self._version = 1
        self._operator = Operator(layout=plan.layout)
        self._helpers: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._supervisors: list[asyncio.Task[None]] = []
        launcher = Launcher(source=options.source, blocks_signals=options.blocks_signals)
        self._vms = {
            vm.name: VmProcess(
                vm=vm,
                layout=plan.layout,
                directory=options.directory,
                launcher=launcher,
                recorder=self._recorder,
            )
            for vm in plan.layout.vms
        }

    async def run(self) -> None:
        """Runs to the end.

        Raises:
            StartError: If a process did not start.
        """
        task = asyncio.current_task()
        assert task is not None
        Launcher.restore_signals()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        self._write_meta()
        try:
            await self._start()
            await self._play()
            self._stop_supervising()
            await asyncio.gather(*(vm.stop() for vm in self._vms.values()))
        finally:
            await self._end()

    async def _start(self) -> None:
        self._plan.write(self._options.directory)
        await self._store.start(self._plan.layout.store_address)
        await self._configure("first")
        hosts = [await self._help("targets", number) for number in range(self._plan.hosts)]
        loaders = [await self._help("load", number) for number in range(self._plan.loaders)]
        self._hosts, self._loaders = hosts, loaders
        if any(fault["kind"] in {CALLERS, STORE} for fault in self._plan.faults):
            await self._help("flooder", 0)
        await asyncio.sleep(1.0)
        self._supervisors = [asyncio.create_task(supervise(vm)) for vm in self._vms.values()]
        firsts = [fault for fault in self._plan.faults if fault["kind"] == FIRST_START]
        await asyncio.gather(*(start_first(self._vms[each["subject"]], each) for each in firsts))
        ready = await asyncio.gather(*(self._start_vm(vm) for vm in self._vms.values()))
        if not all(ready):
            raise StartError(f"a VM was not ready within {START_S} s")
        await asyncio.sleep(_LEAD_S)

    async def _help(self, module: str, number: int) -> asyncio.subprocess.Process:
        """Starts a process of the load or of targets and waits until it is prepared."""
        pipe = asyncio.subprocess.PIPE
        log_path = self._options.directory / f"{module}-{number}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", f"standins.soak.{module}",
                str(self._options.directory), str(number), stdin=pipe, stdout=pipe, stderr=log,
            )  # fmt: skip
        self._helpers.append(process)
        assert process.stdout is not None
        if not await asyncio.wait_for(process.stdout.readline(), START_S):
            raise StartError(f"{module}-{number} ended, see {log_path}")
        return process

    async def _play(self) -> None:
        started_at = time.monotonic() + 0.5
        self._tasks = [asyncio.create_task(vm.poll()) for vm in self._vms.values()]
        self._tasks.append(asyncio.create_task(self._watch_lateness()))
        for process in self._helpers:
            assert process.stdin is not None
            process.stdin.write(f"{started_at}\n".encode())
        for _ in range(self._options.busy):
            self._helpers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-S", "-c", _BUSY, str(self._options.busy_s)
                )
            )
        self._recorder.event("load", seconds=self._plan.seconds, starts_at=started_at)
        faults = [
            asyncio.create_task(self._inject(fault, started_at)) for fault in self._plan.faults
        ]
        await asyncio.sleep(started_at + self._plan.seconds - time.monotonic())
        await asyncio.gather(*faults)
        ends = [asyncio.create_task(process.wait()) for process in self._loaders]
        await asyncio.wait(ends, timeout=_LOAD_TAIL_S)
        self._recorder.event("load_end")

    async def _inject(self, fault: Fault, started_at: float) -> None:
        handlers: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "stop": self._stop,
            "starved_stop": self._stop,
            "late_stop": self._stop,
            "host_pause": self._pause_host,
            "kill": self._kill,
            "hup": self._hang_up,
            "config": self._change_configuration,
            "invalid_config": self._invalidate_configuration,
            "settings": self._change_settings,
            "store_away": self._lose_store,
            "store_slow": self._slow_store,
            "store_lost": self._lose_answers,
            "kill_all": self._kill_all,
            "freeze": self._freeze,
            "evacuate": self._evacuate,
            "stop_and_hup": self._stop,
            "boot": lambda fault: boot(self._vms[fault["subject"]], fault),
            "odd_stop": lambda fault: stop_oddly(self._vms[fault["subject"]], fault),
            **dict.fromkeys(_OF_CALLERS, self._note_callers),
        }
        if (handler := handlers.get(fault["kind"])) is not None:
            await asyncio.sleep(max(0.0, started_at + fault["at"] - time.monotonic()))
            await handler(fault)

    async def _start_vm(self, vm: VmProcess) -> bool:
        await vm.start()
        return await vm.wait_until_ready(START_S)

    async def _stop(self, fault: Fault) -> None:
        vm = self._vms[fault["subject"]]
        pause = StopPause(fault["pause_after_s"], fault["pause_s"]) if "pause_s" in fault else None
        await vm.stop(is_starved=fault["kind"] == "starved_stop", pause=pause)
        await asyncio.sleep(fault["for_s"])
        if fault["kind"] != "stop_and_hup":
            await self._start_vm(vm)
            return
        await vm.start()
        await asyncio.sleep(fault["after_start_s"])
        vm.send(signal.SIGHUP)
        await vm.wait_until_ready(START_S)

    async def _kill(self, fault: Fault) -> None:
        vm = self._vms[fault["subject"]]
        await vm.kill()
        await asyncio.sleep(fault["for_s"])
        await self._start_vm(vm)

    async def _kill_all(self, fault: Fault) -> None:
        await asyncio.gather(*(vm.kill() for vm in self._vms.values()))
        await asyncio.sleep(fault["for_s"])
        await asyncio.gather(*(self._start_vm(vm) for vm in self._vms.values()))

    async def _hang_up(self, fault: Fault) -> None:
        vm = self._vms[fault["subject"]]
        if vm.has_been_ready:
            vm.send(signal.SIGHUP)

    async def _note_callers(self, fault: Fault) -> None:
        """Records the beginning and the end of a fault of callers."""
        values = {name: fault[name] for name in ("share", "x", "place") if name in fault}
        self._recorder.event(fault["kind"], subject=fault["subject"], **values)
        await asyncio.sleep(fault["for_s"])
        self._recorder.event(f"{fault['kind']}_end", subject=fault["subject"])

    async def _change_settings(self, fault: Fault) -> None:
        vm = self._vms[fault["subject"]]
        if vm.has_been_ready:
            vm.change_settings(tightened=fault["x"])
            vm.send(signal.SIGHUP)

    async def _freeze(self, fault: Fault) -> None:
        await self._vms[fault["subject"]].freeze(fault["for_s"])

    async def _pause_host(self, fault: Fault) -> None:
        """Pauses the process that hosts a target, and with it all targets of that process."""
        names = [target.name for target in self._plan.layout.targets]
        number = names.index(fault["subject"]) % self._plan.hosts
        process = self._hosts[number]
        if process.returncode is not None:
            return
        pidfd = os.pidfd_open(process.pid)
        self._recorder.event("host_pause", host=f"targets-{number}")
        try:
            signal.pidfd_send_signal(pidfd, signal.SIGSTOP)
            await asyncio.sleep(fault["for_s"])
        finally:
            signal.pidfd_send_signal(pidfd, signal.SIGCONT)
            os.close(pidfd)
            self._recorder.event("host_resume", host=f"targets-{number}")

    async def _evacuate(self, fault: Fault) -> None:
        place = fault["subject"]
        await self._store.put("op", f"evacuate/{place}", {})
        self._recorder.event("evacuate", failure_domain=place)
        await asyncio.sleep(fault["for_s"])
        await self._store.delete("op", f"evacuate/{place}")
        self._recorder.event("unevacuate", failure_domain=place)

    async def _watch_lateness(self) -> None:
        """Records when the runner itself got no processor, so that its signals came late."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(_LATENESS_S)
            late_s = time.monotonic() - started_at - _LATENESS_S
            if late_s > _LATENESS_S:
                self._recorder.event("runner_late", late_s=round(late_s, 3))

    async def _lose_store(self, fault: Fault) -> None:
        self._recorder.event("store_away")
        self._store.set_error_status(503)
        await asyncio.sleep(fault["for_s"])
        self._store.set_error_status(0)
        self._recorder.event("store_back")

    async def _slow_store(self, fault: Fault) -> None:
        self._recorder.disturbance("store_slow", for_s=fault["for_s"])
        self._store.slow_factor = _SLOW_STORE_FACTOR
        await asyncio.sleep(fault["for_s"])
        self._store.slow_factor = 1.0

    async def _lose_answers(self, fault: Fault) -> None:
        self._recorder.disturbance("store_lost", for_s=fault["for_s"])
        self._store.lost_share = fault["share"]
        await asyncio.sleep(fault["for_s"])
        self._store.lost_share = 0.0

    async def _change_configuration(self, fault: Fault) -> None:
        """Changes the configuration; by default moves routes to their other service, or back."""
        how = fault.get("how", "route")
        self._operator.change(how, fault.get("x", 0.0))
        await self._configure(how)

    async def _invalidate_configuration(self, fault: Fault) -> None:
        """Puts an invalid configuration into the row, and a valid one after some time."""
        how = fault["how"]
        await self._store.put(
            "op", "config", self._operator.invalid_document(how, self._version - 3)
        )
        self._recorder.event("invalid_config", how=how)
        await asyncio.sleep(fault["for_s"])
        await self._configure("valid again")

    async def _configure(self, how: str) -> None:
        operator, version = self._operator, self._version
        self._version += 3
        document, routes, timeouts = operator.document(version), operator.routes, operator.timeouts
        await self._store.put("op", "config", document)
        self._recorder.event(
            "config", version=f"{version:08x}", how=how, routes=routes, timeouts=timeouts
        )

    def _write_meta(self) -> None:
        plan = self._plan
        self._recorder.add(
            "meta",
            seed=plan.seed,
            deployment=plan.deployment["name"],
            bounds=plan.deployment["bounds"],
            commit=describe_commit(self._options.source),
            faults=plan.faults,
            blocks_signals=self._options.blocks_signals,
            pass_on_s=plan.layout.pass_on_s if plan.has_links else 0.0,
        )

    def _stop_supervising(self) -> None:
        for task in self._supervisors:
            task.cancel()

    async def _end(self) -> None:
        """Ends all processes that the run started."""
        self._stop_supervising()
        for task in self._tasks:
            task.cancel()
        for vm in self._vms.values():
            await vm.kill()
        for process in self._helpers:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        await self._store.stop()
