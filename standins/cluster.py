"""Runs daemons and simulated services as separate processes on loopback addresses."""

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

_START_TIMEOUT_S = 15.0
_LOG_TAIL_LINES = 80
#: Time for an aborted process to log the stacks of its threads.
_ABORT_TIMEOUT_S = 5.0
_port_numbers = itertools.count(10_000)


class Vm(NamedTuple):
    """Name, locality and addresses of an entry VM in a cluster."""

    name: str
    region: str
    failure_domain: str
    callers_address: str
    control_address: str


class Cluster:
    """Child processes of one test, demo or benchmark, with helpers to call and stop them.

    Attributes:
        directory: Directory of settings files and logs; each process logs to ``NAME.log``.
        platform_address: Address of the simulated platform.
        vms: Entry VMs by name, including stopped ones.
        targets: Addresses of targets by name.
        processes: Processes by name that have not been killed or stopped.
        http: Connection pool for calls to the processes.
    """

    def __init__(self, *, directory: Path) -> None:
        """Creates a cluster without processes.

        Args:
            directory: Existing directory for settings files and logs.
        """
        self.directory = directory
        self.platform_address = allocate_address()
        self.vms: dict[str, Vm] = {}
        self.targets: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(timeout=urllib3.Timeout(15.0), retries=False, maxsize=32)

    def start_platform(self) -> None:
        """Starts the simulated platform and waits until it responds.

        Raises:
            TimeoutError: If it does not respond within 15 s.
        """
        self.start_process(
            "platform", [sys.executable, "-m", "standins.platform", self.platform_address]
        )
        self.wait_for(lambda: self.call("GET", self.platform_address, "/counts")[0] == 200)

    def start_target(self, name: str, *, slots: int = 4, work_ms: float = 2.0) -> str:
        """Starts a simulated target and returns its address, the same one after a restart.

        Args:
            name: Name of the target.
            slots: Maximum number of concurrent requests.
            work_ms: Milliseconds that a request takes.
        """
        address = self.targets.setdefault(name, allocate_address())
        command = [sys.executable, "-m", "standins.target", name, address, str(slots), str(work_ms)]
        self.start_process(name, command)
        return address

    def start_vm(self, name: str, region: str, failure_domain: str, **settings_tables: str) -> Vm:
        """Starts a daemon, with all other entry VMs as seeds; a restart reuses its addresses.

        Args:
            name: Name of the entry VM.
            region: Region of the entry VM.
            failure_domain: Failure domain of the entry VM.
            **settings_tables: TOML text of further settings, by the name of their table.
        """
        vm = self.vms.get(name) or Vm(
            name, region, failure_domain, allocate_address(), allocate_address()
        )
        seed_addresses = [v.control_address for v in self.vms.values() if v.name != name]
        self.vms[name] = vm
        path = self.directory / f"{name}.toml"
        path.write_text(
            _format_settings(vm, seed_addresses, self.platform_address, settings_tables)
        )
        self.start_process(
            name, [sys.executable, "-m", "carawaybank.daemon", "--settings", str(path)]
        )
        return vm

    def wait_ready(self, name: str) -> None:
        """Waits until a daemon serves look-ups.

        Raises:
            TimeoutError: If it does not within 15 s.
        """
        address = self.vms[name].callers_address
        self.wait_for(lambda: self.call("GET", address, "/v1/entries")[0] == 200, name=name)

    def wait_healthy(self, name: str) -> None:
        """Waits until a target passes a health check.

        Raises:
            TimeoutError: If it does not within 15 s.
        """
        self.wait_for(lambda: self.call("GET", self.targets[name], "/health")[0] == 200, name=name)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any, dict[str, str]]:
        """Sends a request and returns status, body and headers of the response.

        The body is decoded from JSON, or raw bytes if it is not JSON. Without a response, the
        status is 0 and the body has the error as ``detail``.
        """
        try:
            response = self.http.request(
                method, f"http://{address}{path}", body=body, headers=headers
            )
        except urllib3.exceptions.HTTPError as error:
            return 0, {"detail": str(error)}, {}
        try:
            document = msgspec.json.decode(response.data)
        except msgspec.DecodeError:
            document = response.data
        return response.status, document, dict(response.headers)

    def set_platform_fault(self, mode: str, delay_s: float = 0.0) -> None:
        """Sets the fault mode of the simulated platform; see :mod:`standins.platform`."""
        body = msgspec.json.encode({"mode": mode, "delay_s": delay_s})
        self.call("POST", self.platform_address, "/faults", body)

    def submit_ticket(self, vm: str, ticket: TicketDocument) -> Any:
        """Submits a ticket through an entry VM and returns the result document."""
        body = msgspec.json.encode(ticket)
        return self.call("POST", self.vms[vm].control_address, "/v1/tickets", body)[1]

    def kill(self, name: str) -> None:
        """Kills a process (SIGKILL) and waits for its end."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop(self, name: str, *, timeout_s: float = 30.0) -> int:
        """Stops a process gracefully (SIGTERM) and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: If it does not end within ``timeout_s`` seconds.
        """
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout_s)

    def pause(self, name: str) -> None:
        """Suspends a process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process (SIGCONT)."""
        self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kills all processes and closes the HTTP connections."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.clear()

    def wait_for(
        self, condition: Callable[[], bool], *, name: str = "", timeout_s: float = _START_TIMEOUT_S
    ) -> float:
        """Polls a condition until it holds and returns the seconds that this took.

        Args:
            condition: Function to poll.
            name: Name of the process, or of the condition, for the error.
            timeout_s: Timeout in seconds.

        Raises:
            TimeoutError: After ``timeout_s``. If ``name`` names a process, that process is aborted,
                and the message has the end of its log with the stacks of its threads.
        """
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout_s:
                self._dump_stacks(name)
                tail = "\n".join(self.log_tail(name))
                raise TimeoutError(f"{name or condition} took more than {timeout_s} s\n{tail}")
            time.sleep(0.02)
        return time.monotonic() - started_at

    def log_tail(self, name: str) -> list[str]:
        """Returns the last 80 lines of a process's log; none without a log."""
        path = self.directory / f"{name}.log"
        return path.read_text().splitlines()[-_LOG_TAIL_LINES:] if path.exists() else []

    def start_process(self, name: str, command: list[str]) -> None:
        """Starts a process that appends its output to the log of its name."""
        log = (self.directory / f"{name}.log").open("ab")
        # The fault handler makes an aborted process log the stacks of its threads.
        environment = {**os.environ, "PYTHONFAULTHANDLER": "1"}
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def _dump_stacks(self, name: str) -> None:
        """Aborts a running process so that it logs the stacks of its threads."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGABRT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(_ABORT_TIMEOUT_S)


@contextlib.contextmanager
def running_cluster() -> Iterator[Cluster]:
    """Yields a cluster in a temporary directory; kills its processes when the block ends."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(directory=Path(directory))
        try:
            yield cluster
        finally:
            cluster.close()


def allocate_address() -> str:
    """Returns a loopback address that stays free while a process that uses it restarts.

    Its IP address is specific to this process. So neither another cluster nor the kernel, which
    uses ports of 127.0.0.1 for outgoing connections, can take the port in the meantime.
    """
    return f"{process_ip()}:{allocate_port()}"


def allocate_port() -> int:
    """Returns a port that this process has not used yet on its own loopback addresses."""
    return next(_port_numbers)


def process_ip(number: int = 0) -> str:
    """Returns a loopback IP address that differs for every process id and number.

    Args:
        number: 0 to 2.
    """
    pid = os.getpid()
    return f"127.{1 + 70 * number + pid // 62_500}.{pid // 250 % 250}.{1 + pid % 250}"


def _format_settings(
    vm: Vm, seeds: list[str], platform_address: str, settings_tables: dict[str, str]
) -> str:
    quoted_seeds = ", ".join(f'"{seed}"' for seed in seeds)
    tables = "\n".join(
        f"[{table}]\n{settings}"
        for table, settings in settings_tables.items()
        if table != "siblings"
    )
    return f"""[vm]
name = "{vm.name}"
region = "{vm.region}"
failure_domain = "{vm.failure_domain}"
callers_address = "{vm.callers_address}"
control_address = "{vm.control_address}"

[platform]
url = "http://{platform_address}"
timeout_s = 0.5

[siblings]
seeds = [{quoted_seeds}]
{settings_tables.get("siblings", "")}

{tables}
"""
