"""Tests of the cluster of separate processes that the demo and the process tests use."""

import sys

import pytest

from standins.cluster import Cluster


def test_start_timeout_reports_the_stacks_of_the_process(tmp_path):
    """Guards against timeouts without a cause: a process that blocks during its start logs nothing.

    The error must have the stack of the process, here of a thread that waits forever.
    """
    cluster = Cluster(directory=tmp_path)
    cluster.start_process(
        "regina-vm1", [sys.executable, "-c", "import threading; threading.Event().wait()"]
    )
    try:
        cluster.wait_for(lambda: cluster.processes["regina-vm1"].poll() is None)
        with pytest.raises(TimeoutError, match=r"(?s)took more than 1.0 s.*in wait"):
            cluster.wait_for(lambda: False, name="regina-vm1", timeout_s=1.0)
    finally:
        cluster.close()
