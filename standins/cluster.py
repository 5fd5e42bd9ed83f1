"""Starts stand-ins and daemons as separate processes on loopback addresses, for demo and tests."""

import contextlib
import itertools
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import urllib3

from carawaybank.steering.tickets import TicketDocument

_START_LIMIT_S = 15.0
_LOG_TAIL_LINES = 80
#: Seconds that an aborted process has for its last words.
_ABORT_LIMIT_S = 5.0
#: A loopback IP number for each process of the kernel's default range of process ids.
_OWN_IP = f"127.{1 + os.getpid() // 62_500}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
_ports = itertools.count(10_000)


class Vm(NamedTuple):
    """An entry VM of a cluster."""

    name: str
    region: str
    failure_domain: str
    callers_address: str
    control_address: str


class Cluster:
    """Processes that are ended together."""

    def __init__(self, *, directory: Path) -> None:
        """Starts nothing.

        Args:
            directory: Where settings and logs are written.
        """
        self.directory = directory
        self.platform_address = free_address()
        self.vms: dict[str, Vm] = {}
        self.targets: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(timeout=urllib3.Timeout(15.0), retries=False, maxsize=32)

    def start_platform(self) -> None:
        """Starts the stand-in platform."""
        self._start("platform", [sys.executable, "-m", "standins.platform", self.platform_address])
        self.wait_for(lambda: self.call("GET", self.platform_address, "/counts")[0] == 200)

    def start_target(self, name: str, *, slots: int = 4, work_ms: float = 2.0) -> str:
        """Starts a stand-in target; returns its address."""
        address = self.targets.setdefault(name, free_address())
        command = [sys.executable, "-m", "standins.target", name, address, str(slots), str(work_ms)]
        self._start(name, command)
        return address

    def start_vm(self, name: str, region: str, failure_domain: str, **extra: str) -> Vm:
        """Starts a daemon; ``extra`` holds further settings tables as TOML."""
        vm = self.vms.get(name) or Vm(name, region, failure_domain, free_address(), free_address())
        seeds = [v.control_address for v in self.vms.values() if v.name != name]
        self.vms[name] = vm
        path = self.directory / f"{name}.toml"
        path.write_text(_settings_text(vm, seeds, self.platform_address, extra))
        self._start(name, [sys.executable, "-m", "carawaybank.daemon", "--settings", str(path)])
        return vm

    def wait_ready(self, name: str) -> None:
        """Waits until a daemon serves look-ups."""
        address = self.vms[name].callers_address
        self.wait_for(lambda: self.call("GET", address, "/v1/entries")[0] == 200, what=name)

    def wait_healthy(self, name: str) -> None:
        """Waits until a target answers."""
        self.wait_for(lambda: self.call("GET", self.targets[name], "/health")[0] == 200, what=name)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        marks: dict[str, str] | None = None,
    ) -> tuple[int, Any, dict[str, str]]:
        """Returns status, JSON and headers of an answer; status 0 if there is none."""
        try:
            response = self.http.request(
                method, f"http://{address}{path}", body=body, headers=marks
            )
        except urllib3.exceptions.HTTPError as error:
            return 0, {"detail": str(error)}, {}
        try:
            document = msgspec.json.decode(response.data)
        except msgspec.DecodeError:
            document = response.data
        return response.status, document, dict(response.headers)

    def set_platform(self, mode: str, delay_s: float = 0.0) -> None:
        """Sets the platform's fault mode."""
        body = msgspec.json.encode({"mode": mode, "delay_s": delay_s})
        self.call("POST", self.platform_address, "/faults", body)

    def submit(self, vm: str, ticket: TicketDocument) -> Any:
        """Submits a ticket through a daemon; returns the result document."""
        body = msgspec.json.encode(ticket)
        return self.call("POST", self.vms[vm].control_address, "/v1/tickets", body)[1]

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop(self, name: str, *, limit_s: float = 30.0) -> int:
        """Asks a process to stop; returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(limit_s)

    def pause(self, name: str) -> None:
        """Freezes a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Ends all processes."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.clear()

    def wait_for(
        self, condition: Callable[[], bool], *, what: str = "", limit_s: float = _START_LIMIT_S
    ) -> float:
        """Waits for a condition; returns the seconds that it took.

        Raises:
            TimeoutError: If it does not come true in time; says how the log of the process that
                ``what`` names ends, and where its threads were.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > limit_s:
                self._dump_stacks(what)
                tail = "\n".join(self.log_tail(what))
                raise TimeoutError(f"{what or condition} took more than {limit_s} s\n{tail}")
            time.sleep(0.02)
        return time.monotonic() - started

    def log_tail(self, name: str) -> list[str]:
        """Returns the last lines that a process wrote."""
        path = self.directory / f"{name}.log"
        return path.read_text().splitlines()[-_LOG_TAIL_LINES:] if path.exists() else []

    def _start(self, name: str, command: list[str]) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        # With the fault handler, an aborted process logs the stacks of its threads.
        environment = {**os.environ, "PYTHONFAULTHANDLER": "1"}
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def _dump_stacks(self, name: str) -> None:
        """Ends a process so that it logs where its threads were."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGABRT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(_ABORT_LIMIT_S)


@contextlib.contextmanager
def running_cluster() -> Iterator[Cluster]:
    """Yields a cluster whose processes end with the block."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(directory=Path(directory))
        try:
            yield cluster
        finally:
            cluster.close()


def free_address() -> str:
    """Returns a loopback address that nothing else takes, also while its process restarts.

    Its IP number is this process's own, so that neither another cluster nor the kernel, which
    picks ports of 127.0.0.1 for outgoing connections, takes its port meanwhile.
    """
    return f"{_OWN_IP}:{next(_ports)}"


def _settings_text(vm: Vm, seeds: list[str], platform: str, extra: dict[str, str]) -> str:
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    tables = "\n".join(f"[{table}]\n{text}" for table, text in extra.items() if table != "siblings")
    return f"""[vm]
name = "{vm.name}"
region = "{vm.region}"
failure_domain = "{vm.failure_domain}"
callers_address = "{vm.callers_address}"
control_address = "{vm.control_address}"

[platform]
url = "http://{platform}"
timeout_s = 0.5

[siblings]
seeds = [{quoted}]
{extra.get("siblings", "")}

{tables}
"""
