"""Heartbeats among entry VMs, as datagrams that each VM sends to all others."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

import msgspec

from carawaybank.siblings.vms import VmDirectory, VmRecord

#: Seconds between heartbeats; four fit into the limit of silence.
INTERVAL_S = 0.6


class HeartbeatTask(asyncio.DatagramProtocol):
    """Owns the socket of heartbeats."""

    def __init__(self, *, vms: VmDirectory, on_change: Callable[[VmRecord], None]) -> None:
        """Starts without a socket.

        Args:
            vms: Where heartbeats are recorded.
            on_change: Called when a heartbeat said something new of a VM.
        """
        self._vms = vms
        self._on_change = on_change
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Takes a heartbeat."""
        try:
            record = msgspec.json.decode(data, type=VmRecord)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        now = asyncio.get_running_loop().time()
        if self._vms.update(record, now=now):
            self._on_change(record)
        self._vms.hear(record.vm, now=now)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(INTERVAL_S)

    def send(self) -> None:
        """Sends a heartbeat to all other VMs."""
        if self._transport is None:
            return
        data = msgspec.json.encode(self._vms.own)
        for record in self._vms.others:
            host, _, port = record.sibling_address.rpartition(":")
            with contextlib.suppress(OSError):  # a full socket buffer; the next one follows
                self._transport.sendto(data, (host, int(port)))
