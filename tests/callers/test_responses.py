"""Responses as they are written to callers."""

import pytest

from carawaybank.callers.responses import encode_response, encode_segments
from carawaybank.replies import HttpReply


def test_a_large_body_is_not_copied_to_be_sent():
    """Guards against responses that exist several times in memory while they are written."""
    body = b"x" * 1_000_000
    reply = HttpReply(200, [("a", "b")], body)
    head, segment = encode_segments(reply, is_head=False, must_close=False)
    assert segment.obj is body
    assert head.endswith(b"\r\n\r\n")
    assert encode_response(reply, is_head=False, must_close=False) == head + body


@pytest.mark.parametrize("size", [0, 1, 65_536])
def test_a_small_body_is_sent_with_its_head(size):
    """Guards against a packet for the head alone."""
    reply = HttpReply(200, [], b"x" * size)
    (data,) = encode_segments(reply, is_head=False, must_close=True)
    assert data.endswith(b"\r\n\r\n" + reply.body)


def test_a_response_to_head_has_no_body():
    reply = HttpReply(200, [], b"x" * 100_000)
    (data,) = encode_segments(reply, is_head=True, must_close=False)
    assert data.endswith(b"content-length: 100000\r\n\r\n")
