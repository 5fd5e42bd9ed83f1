"""Encodes the responses to callers as HTTP/1.1."""

import functools
from http import HTTPStatus

from carawaybank.replies import FINAL_STATUSES, HttpReply

#: Statuses whose responses have neither a body nor a Content-Length header.
_BODILESS_STATUSES = frozenset({204, 304})
#: Bytes of a body that is sent together with its head.
_COPIED_BYTES = 65_536


def encode_response(reply: HttpReply, *, is_head: bool, must_close: bool) -> bytes:
    """Returns the bytes of a response; see :func:`encode_segments`."""
    return b"".join(encode_segments(reply, is_head=is_head, must_close=must_close))


def encode_segments(
    reply: HttpReply, *, is_head: bool, must_close: bool
) -> tuple[bytes | memoryview, ...]:
    """Returns the bytes of a response in one or two segments, so that a large body is not copied.

    Args:
        reply: The response.
        is_head: Whether it responds to a HEAD request, so that its body is not sent.
        must_close: Whether the connection closes after it.

    Raises:
        ValueError: If its status is none of a final response.
    """
    if reply.status not in FINAL_STATUSES:
        raise ValueError(f"no response has the status {reply.status}")
    lines = [f"HTTP/1.1 {reply.status} {_reason_phrase(reply.status)}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    if reply.status not in _BODILESS_STATUSES:
        lines.append(f"content-length: {len(reply.body)}")
    if must_close:
        lines.append("connection: close")
    head = "\r\n".join(lines)
    body = b"" if is_head or reply.status in _BODILESS_STATUSES else reply.body
    encoded_head = f"{head}\r\n\r\n".encode("latin-1")
    if len(body) <= _COPIED_BYTES:
        return (encoded_head + body,)
    return encoded_head, memoryview(body)


@functools.cache
def _reason_phrase(status: int) -> str:
    """Returns the reason phrase of a status.

    Programs ignore reason phrases, so a status without a standard one gets ``Unknown``.
    """
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
