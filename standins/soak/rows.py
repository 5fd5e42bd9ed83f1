"""The rows of targets in the platform's store."""

import base64
import json
from collections.abc import Mapping

from carawaybank.client import ClientConnection, HttpCall


async def write_rows(store: str, rows: Mapping[str, object], removed: tuple[str, ...] = ()) -> None:
    """Writes rows of targets to the store.

    Raises:
        OSError: If the store is away.
    """
    encoded = {
        key: base64.b64encode(json.dumps(row).encode()).decode() for key, row in rows.items()
    }
    body = {
        "expect": [],
        "puts": [
            {"table": "servers", "part": "", "key": k, "value": v} for k, v in encoded.items()
        ],
        "remove": [{"table": "servers", "part": "", "key": key} for key in removed],
    }
    connection = await ClientConnection.open(store, timeout_s=1.0)
    try:
        headers = [("Host", store), ("Content-Type", "application/json")]
        call = HttpCall("POST", "/rows-tx", headers, json.dumps(body).encode())
        reply = await connection.exchange(call, timeout_s=1.0)
    finally:
        connection.close()
    if reply.status != 200:
        raise OSError(f"the store responded with {reply.status}")
