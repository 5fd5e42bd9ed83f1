"""Settings and starts of entry VMs that run as processes on one machine."""

import asyncio
import re
from pathlib import Path

from standins.cluster import allocate_port
from tests.test_deployment import SETTINGS

#: Ports in the settings in whose place each test chooses others.
PORTS = ("8100", "8101", "8102", "8103", "8105", "8106")
#: Seconds within which a process has to become ready.
START_S = 20
#: Characters at the end of the output of a process that an error message contains.
SHOWN_OUTPUT = 2_000


def choose_ports():
    """Returns a port by each of ``PORTS`` that no other test uses.

    They are free on the addresses of :func:`standins.cluster.process_ip`, also while a VM restarts.
    """
    return {old: allocate_port() for old in PORTS}


def replace_ports(text, ports):
    """Returns settings with other ports in place of ``PORTS``.

    All are replaced in one pass over whole numbers, because a chosen port may contain the digits of
    another one.
    """
    return re.sub(rf"\b({'|'.join(PORTS)})\b", lambda match: str(ports[match[0]]), text)


def make_settings(name, *, ips, ports, store_address):
    """Returns the settings of one VM as TOML.

    Args:
        name: Name of the VM.
        ips: IP addresses of all VMs by name.
        ports: Ports to use in place of ``PORTS``.
        store_address: Address of the store.
    """
    control = 'directory_address = "127.0.0.1:8102"\ncontrol_address = "127.0.0.1:8105"'
    text = SETTINGS.replace('directory_address = "127.0.0.1:8102"', control)
    text = text.replace("127.0.0.1", ips[name]).replace("regina-1", name)
    seeds = ", ".join(f'"{ip}:8105"' for ip in ips.values())
    text = text.replace(f'"{ips[name]}:9"', seeds)
    return replace_ports(text, ports).replace(f"{ips[name]}:8104", store_address)


def peak_mb(pid):
    """Returns the largest memory that a process has used so far, in megabytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (peak,) = (line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / 1000


async def wait_until_ready(process, is_ready, read_output):
    """Waits until a process is ready.

    A process that ended or is not ready in time is reported with the end of its output.

    Args:
        process: The process.
        is_ready: Coroutine function that returns whether the process is ready.
        read_output: Coroutine function that returns the output of an ended process as text.
    """
    try:
        async with asyncio.timeout(START_S):
            while not await is_ready():
                if process.returncode is not None:
                    break
                await asyncio.sleep(0.05)
            else:
                return
        fault = f"ended with status {process.returncode} before it was ready"
    except TimeoutError:
        fault = f"was not ready within {START_S} s"
        process.kill()
        await process.wait()
    raise AssertionError(f"the process {fault}; it wrote: {(await read_output())[-SHOWN_OUTPUT:]}")
