"""The cluster of separate processes that the demo and the process tests use."""

import sys

import pytest

from standins.cluster import Cluster


def test_a_process_that_does_not_start_in_time_says_where_it_hangs(tmp_path):
    cluster = Cluster(directory=tmp_path)
    cluster._start(
        "regina-vm1", [sys.executable, "-c", "import threading; threading.Event().wait()"]
    )
    try:
        cluster.wait_for(lambda: cluster.processes["regina-vm1"].poll() is None)
        with pytest.raises(TimeoutError, match=r"(?s)took more than 1.0 s.*in wait"):
            cluster.wait_for(lambda: False, what="regina-vm1", limit_s=1.0)
    finally:
        cluster.close()
