"""Requests of one connection with their responses."""

import asyncio

from carawaybank.callers.requests import CallerRequest
from carawaybank.memory import HEADER_BYTES
from carawaybank.replies import HttpReply

#: Bytes of memory of a request that is queued or run, beside its headers and its body.
REQUEST_BYTES = 4_000


class Exchange:
    """A request of one connection, with its response once that is ready.

    Without a request, it is an error response to malformed or late input.
    """

    def __init__(self, *, request: CallerRequest | None) -> None:
        """Starts without a response.

        Args:
            request: The request; None for a response to input that is none.
        """
        self.request = request
        self.task: asyncio.Task[None] | None = None
        #: Bytes of the body that the connection has reserved in the shared memory of bodies.
        self.body_bytes = 0
        self.reply: HttpReply | None = None
        self._body_size = 0 if request is None else len(request.body)
        self.is_last = request is None or request.is_last

    @property
    def is_started(self) -> bool:
        """Whether the request is handled, or has its response."""
        return self.task is not None or self.reply is not None

    @property
    def memory_bytes(self) -> int:
        """Bytes of memory of the request, or of its response once that is ready."""
        message = self.request if self.reply is None else self.reply
        size = REQUEST_BYTES
        if message is not None:
            size += sum(HEADER_BYTES + len(name) + len(value) for name, value in message.headers)
        if self.reply is not None:
            return size + len(self.reply.body)
        path_size = 0 if self.request is None else len(self.request.path)
        return size + path_size + self._body_size
