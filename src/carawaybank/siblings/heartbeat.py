"""Heartbeats among entry VMs, as datagrams.

Siblings of the own region hear each heartbeat, those of other regions every third, because traffic
between regions is dear. Heartbeats also say how far a VM has read the watched tables, so that one
whose watch went silent notices that it is behind.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

import msgspec

from carawaybank.siblings.vms import Heartbeat, VmDirectory, VmRecord

#: Seconds between heartbeats; four fit into the limit of silence.
INTERVAL_S = 0.6
#: Heartbeats of which siblings in other regions hear one.
REMOTE_EVERY = 3


class HeartbeatTask(asyncio.DatagramProtocol):
    """Owns the socket of heartbeats."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        versions: Callable[[], dict[str, int]],
        on_change: Callable[[VmRecord], None],
        on_versions: Callable[[dict[str, int]], None],
    ) -> None:
        """Starts without a socket.

        Args:
            vms: Where heartbeats are recorded.
            versions: Returns the newest version read of each watched table.
            on_change: Called when a heartbeat said something new of a VM.
            on_versions: Called with the versions that another VM has read.
        """
        self._vms = vms
        self._versions = versions
        self._on_change = on_change
        self._on_versions = on_versions
        self._transport: asyncio.DatagramTransport | None = None
        self._count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Takes a heartbeat."""
        try:
            beat = msgspec.json.decode(data, type=Heartbeat)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return
        changed = self._vms.hear(beat, now=asyncio.get_running_loop().time())
        if changed is not None:
            self._on_change(changed)
        self._on_versions(beat.versions)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send(everywhere=self._count % REMOTE_EVERY == 0)
            self._count += 1
            await asyncio.sleep(INTERVAL_S)

    def send(self, *, everywhere: bool) -> None:
        """Sends a heartbeat to the siblings of the own region, or to all."""
        if self._transport is None:
            return
        data = msgspec.json.encode(self._vms.beat(self._versions()))
        for record in self._vms.others:
            if not everywhere and not self._vms.is_near(record):
                continue
            host, _, port = record.sibling_address.rpartition(":")
            with contextlib.suppress(OSError):  # a full socket buffer; the next one follows
                self._transport.sendto(data, (host, int(port)))
