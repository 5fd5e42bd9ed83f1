"""Rows that entry VMs send to each other."""

import zlib

import msgspec
import pytest

from carawaybank.rows import Row, Rows, StoreError
from carawaybank.siblings import tables


def test_large_configuration_is_compressed_between_siblings():
    """A reader must send it to 100 VMs of its failure domain over 10 Mbit/s within 4 s."""
    routes = [
        {
            "resKind": "routes",
            "metadata": {"name": f"r-{number * 7919:x}"},
            "spec": {
                "host": f"{number * 104729:x}.example",
                "prefix": f"/{number * 1299709:x}/",
                "kind": "idempotent",
                "timeoutMs": 1500,
                "service": "ledger",
                "attempts": 2,
            },
        }
        for number in range(1_000)
    ]
    value = msgspec.json.encode({"version": "0000001a", "resources": routes})
    config_rows = Rows([Row("config", value, 26, removed=False)], 26)
    data = tables.encode(config_rows)
    assert tables.decode(data) == config_rows
    followers, link_bytes_s = 100, 10e6 / 8
    assert followers * len(data) / link_bytes_s < 4.0


@pytest.mark.parametrize(
    "data", [b"", b"{}", zlib.compress(b"{}"), tables.encode(Rows([], 1))[:-6]]
)
def test_invalid_rows_of_sibling_raise_store_error(data):
    """Guards against an error that ends the watch of a table instead of a retry elsewhere."""
    with pytest.raises(StoreError):
        tables.decode(data)
