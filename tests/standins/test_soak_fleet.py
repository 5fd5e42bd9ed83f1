"""Processes of the soak's VMs, as their runner sees them."""

import os
import subprocess
import sys

from standins.soak.fleet import has_ended


def test_end_of_a_process_is_seen():
    """Guards against a pause of a VM that has ended, which would count as a disturbance."""
    command = [sys.executable, "-S", "-c", "input()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
        pidfd = os.pidfd_open(process.pid)
        try:
            assert not has_ended(pidfd)
            process.communicate(b"\n", timeout=20)
            assert has_ended(pidfd)
        finally:
            os.close(pidfd)


def test_status_of_an_ended_process_is_left_to_others():
    """Guards against a runner that loses the exit status of a VM."""
    with subprocess.Popen([sys.executable, "-S", "-c", "raise SystemExit(3)"]) as process:
        pidfd = os.pidfd_open(process.pid)
        try:
            os.waitid(os.P_PIDFD, pidfd, os.WEXITED | os.WNOWAIT)
            assert has_ended(pidfd)
            assert process.wait(timeout=20) == 3
        finally:
            os.close(pidfd)
