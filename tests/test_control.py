"""Requests to the control address."""

import asyncio
from types import SimpleNamespace

from carawaybank.callers.requests import CallerRequest
from carawaybank.control import EXPLAIN_PATH, ControlHandler


def test_a_large_query_is_refused_before_it_is_decoded():
    """Guards against a query whose lists use 20 times its bytes of memory and hold up others."""
    handler = ControlHandler(
        router=None,
        vms=None,
        watches=[],
        bootstrap=None,
        connections=(),
        proofs=SimpleNamespace(age_s=None),
        tasks=None,
    )
    body = b"[" + b"[]," * 30_000 + b"[]]"
    reply = asyncio.run(handler.handle(CallerRequest("POST", EXPLAIN_PATH, [], body)))
    assert (reply.status, reply.body) == (400, b'{"detail":"the query is too large"}')
