"""The processes of a run's entry VMs: starts, signals, readiness checks and ends."""

import asyncio
import contextlib
import os
import signal
import threading
import time
from pathlib import Path
from typing import NamedTuple

from carawaybank.client import ClientConnection, HttpCall
from standins.soak.launcher import Launcher
from standins.soak.layout import Layout, Vm
from standins.soak.memory import MemoryWatch
from standins.soak.records import Recorder

_POLL_S = 1.0
_START_POLL_S = 0.1
#: Duty cycle of a process that gets little processor time.
_PAUSED_S = 0.15
_RUNNING_S = 0.10


class StopPause(NamedTuple):
    """A pause of a process that stops.

    Attributes:
        after_s: Seconds from SIGTERM to the pause; negative if it begins before.
        for_s: Seconds until the process runs on.
    """

    after_s: float
    for_s: float


class VmProcess:
    """The process of an entry VM, started again after planned ends.

    Attributes:
        vm: Name and addresses.
        process: The current or last process.
        has_been_ready: Whether the current process has become ready.
        memory: Memory of the current or last process.
        descriptors: Largest number of open descriptors seen so far.
    """

    def __init__(
        self, *, vm: Vm, layout: Layout, directory: Path, launcher: Launcher, recorder: Recorder
    ) -> None:
        """Writes the settings of a VM that is not started yet.

        Args:
            vm: Name and addresses.
            layout: The deployment.
            directory: Directory of settings, logs and records.
            launcher: Starts the process.
            recorder: Takes a line for each event.
        """
        self.vm = vm
        self.process: asyncio.subprocess.Process | None = None
        self.has_been_ready = False
        self.memory: MemoryWatch | None = None
        self.descriptors = 0
        self._planned_end_at = float("inf")
        self._ended_by_itself = asyncio.Event()
        self._layout = layout
        self._grace_s = layout.deployment["bounds"]["graceS"]
        self._memory_mb = layout.deployment["bounds"]["memoryMb"]
        self._recorder, self._launcher = recorder, launcher
        self._settings = directory / f"{vm.name}.toml"
        self._log = directory / f"{vm.name}.log"
        self._settings.write_text(layout.settings(vm))
        self._ended: asyncio.Task[None] | None = None
        self._starting = asyncio.Lock()
        self._pidfd = -1
        self._started_at = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Starts the process, unless it runs."""
        async with self._starting:
            if not self.is_running:
                if self._ended is not None:
                    await self._ended
                await self._start()

    async def _start(self) -> None:
        self.has_been_ready = False
        self._planned_end_at = float("inf")
        self._ended_by_itself.clear()
        self.descriptors = 0
        self._event("start")
        with self._log.open("ab") as log:
            self.process = await self._launcher.start(settings=self._settings, log=log)
        self._started_at = time.monotonic()
        self._pidfd = os.pidfd_open(self.process.pid)
        self.memory = MemoryWatch(pid=self.process.pid, pidfd=self._pidfd, limit_mb=self._memory_mb)
        self._ended = asyncio.create_task(self._note_end(self.process, self.memory))

    def send(self, number: signal.Signals, *, event: str = "") -> None:
        """Sends a signal to the process if it runs.

        Args:
            number: The signal.
            event: Event to record; the name of the signal if empty.
        """
        # The event loop may be late to note the end.
        if self.is_running and not has_ended(self._pidfd):
            self._event(event or number.name, sent=number.name)
            self._signal(number)

    def change_settings(self, *, tightened: float) -> None:
        """Writes changed settings, which a running process reads at SIGHUP.

        Args:
            tightened: Factor of the limits of look-ups, shifts, cold targets and retries.
        """
        self._settings.write_text(self._layout.settings(self.vm, tightened=tightened))
        self._event("settings", tightened=tightened)

    async def announce_settings(self, *, after_s: float) -> None:
        """Writes the settings again and sends SIGHUP, on time also while the event loop is late.

        Args:
            after_s: Seconds from the start of the process.
        """
        if not self.is_running:
            return
        # Its own descriptor: the one of the process is closed at the end.
        pidfd = os.dup(self._pidfd)
        try:
            due_at = self._started_at + after_s
            at = await asyncio.to_thread(self._announce, pidfd, due_at)
        finally:
            os.close(pidfd)
        if at is not None:
            self._recorder.add("event", at=at, event="settings", vm=self.vm.name, tightened=1.0)
            self._recorder.add("event", at=at, event=signal.SIGHUP.name, vm=self.vm.name)

    async def wait_for_own_end(self) -> None:
        """Returns once the process has ended by itself and was not started again."""
        await self._ended_by_itself.wait()

    async def stop(
        self,
        *,
        is_starved: bool = False,
        pause: StopPause | None = None,
        number: signal.Signals = signal.SIGTERM,
    ) -> None:
        """Stops the process as the platform does, which kills it after the grace.

        Args:
            is_starved: Whether the process is paused for most of the time until it ends.
            pause: A single pause beside the stop.
            number: Signal that stops it; recorded and judged as a SIGTERM.
        """
        if not self.is_running or self._ended is None:
            return
        ended = self._ended
        pausing = []
        if pause is not None:
            pausing.append(asyncio.create_task(self._pause_once(pause)))
            await asyncio.sleep(max(0.0, -pause.after_s))
        self._plan_end()
        self.send(number, event=signal.SIGTERM.name)
        if is_starved:
            pausing.append(asyncio.create_task(self._pause()))
        await asyncio.wait([ended], timeout=self._grace_s)
        for task in pausing:
            task.cancel()
        if not ended.done():
            await self.kill()

    async def kill(self) -> None:
        """Kills the process if it runs, and waits for its end."""
        if self.is_running and self._ended is not None:
            self._plan_end()
            self.send(signal.SIGKILL)
            await self._ended

    async def freeze(self, for_s: float) -> None:
        """Pauses the process for some seconds."""
        self.send(signal.SIGSTOP, event="freeze")
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT, event="resume")

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Returns whether the process becomes ready in time, and records when."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.readiness() == 200:
                self.has_been_ready = True
                self._event("ready")
                return True
            await asyncio.sleep(_START_POLL_S)
        return False

    async def readiness(self) -> int:
        """Returns the status of a readiness check; 0 without response within a second."""
        try:
            async with asyncio.timeout(_POLL_S):
                address = self.vm.ready_address
                connection = await ClientConnection.open(address, timeout_s=_POLL_S)
                try:
                    call = HttpCall("GET", "/readyz", [("Host", address)], b"")
                    return (await connection.exchange(call, timeout_s=_POLL_S)).status
                finally:
                    connection.close()
        except Exception:  # The process does not listen or does not respond.
            return 0

    async def poll(self) -> None:
        """Records readiness and counts descriptors, once a second."""
        while True:
            started_at = time.monotonic()
            status = await self.readiness()
            self._recorder.add("ready", at=started_at, vm=self.vm.name, status=status)
            self._count_descriptors()
            await asyncio.sleep(max(0.0, started_at + _POLL_S - time.monotonic()))

    def _count_descriptors(self) -> None:
        if not self.is_running or self.process is None:
            return
        directory = Path(f"/proc/{self.process.pid}/fd")
        with contextlib.suppress(OSError):  # The process has just ended.
            self.descriptors = max(self.descriptors, len(list(directory.iterdir())))

    async def _note_end(self, process: asyncio.subprocess.Process, memory: MemoryWatch) -> None:
        pidfd, ended_at = self._pidfd, list[float]()
        # A thread sees the end on time also while the event loop is late.
        watch = threading.Thread(target=_watch_end, args=(pidfd, ended_at), daemon=True)
        watch.start()
        status = await process.wait()
        # The thread may be later than the event loop on a busy machine; the end precedes both.
        at = min([*ended_at, time.monotonic()])
        os.close(pidfd)
        is_planned = self._planned_end_at <= at
        if memory.killed_at is not None:
            self._recorder.add(
                "event", at=memory.killed_at, event="memory_kill", vm=self.vm.name, pid=process.pid
            )
        self._recorder.add(
            "event",
            at=at,
            event="exit",
            vm=self.vm.name,
            pid=process.pid,
            status=status,
            expected=is_planned,
            peak_mb=round(memory.peak_mb, 1),
            descriptors=self.descriptors,
        )
        if not is_planned:
            self._ended_by_itself.set()

    async def _pause(self) -> None:
        """Pauses the process in each cycle until cancelled."""
        process = self.process
        self._event("starved")
        try:
            while process is not None and process.returncode is None:
                self._signal(signal.SIGSTOP)
                await asyncio.sleep(_PAUSED_S)
                self._signal(signal.SIGCONT)
                await asyncio.sleep(_RUNNING_S)
        finally:
            self._event("relieved")

    async def _pause_once(self, pause: StopPause) -> None:
        """Pauses the process once, unless it ends or the task is cancelled before."""
        await asyncio.sleep(max(0.0, pause.after_s))
        process = self.process
        # The event loop may be late to note the end.
        if not self.is_running or has_ended(self._pidfd):
            return
        self.send(signal.SIGSTOP, event="pause")
        try:
            await asyncio.sleep(pause.for_s)
        finally:
            if self.process is process:
                self.send(signal.SIGCONT, event="resume")

    def _plan_end(self) -> None:
        """Notes that the next end is the runner's doing, unless the process has ended before."""
        if not has_ended(self._pidfd):
            self._planned_end_at = min(self._planned_end_at, time.monotonic())

    def _signal(self, number: signal.Signals) -> None:
        # Process.send_signal polls, which takes the exit status away from the event loop.
        with contextlib.suppress(OSError):  # The process has just ended.
            signal.pidfd_send_signal(self._pidfd, number)

    def _announce(self, pidfd: int, due_at: float) -> float | None:
        """Returns when the process got SIGHUP; None if it had ended."""
        time.sleep(max(0.0, due_at - time.monotonic()))
        if has_ended(pidfd):
            return None
        self._settings.write_text(self._layout.settings(self.vm))
        at = time.monotonic()
        with contextlib.suppress(OSError):  # The process has just ended.
            signal.pidfd_send_signal(pidfd, signal.SIGHUP)
        return at

    def _event(self, event: str, **values: object) -> None:
        pid = self.process.pid if self.process is not None else 0
        self._recorder.event(event, vm=self.vm.name, pid=pid, **values)


def has_ended(pidfd: int) -> bool:
    """Returns whether a child process has ended, and leaves its status to others."""
    try:
        return os.waitid(os.P_PIDFD, pidfd, os.WEXITED | os.WNOWAIT | os.WNOHANG) is not None
    except OSError:  # Its status was taken.
        return True


def _watch_end(pidfd: int, ended_at: list[float]) -> None:
    """Adds the time at which a process ends, and leaves its status to the event loop."""
    with contextlib.suppress(OSError):  # The event loop was faster, and may have closed pidfd.
        os.waitid(os.P_PIDFD, pidfd, os.WEXITED | os.WNOWAIT)
    ended_at.append(time.monotonic())
