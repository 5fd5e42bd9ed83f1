"""Heartbeats among entry VMs, as datagrams.

Each VM sends its heartbeat to the two readers of its failure domain. A reader sends its own, with
the reports that it knows, to all VMs of its failure domain, and with its own report to the readers
of the others; to those of other regions every third time, because traffic between regions is dear.
Heartbeats also say how far a VM has read the watched tables, so that one whose watch went silent
notices that it is behind.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

import msgspec

from carawaybank.rows import Position
from carawaybank.siblings.vms import Heartbeat, VmDirectory, VmRecord

#: Seconds between heartbeats; four fit into the limit of silence.
INTERVAL_S = 0.6
#: Heartbeats of which readers of other failure domains hear one, in the own and in other regions.
NEAR_EVERY = 2
#: Seconds between heartbeats that are sent early because there is a newer configuration.
SPREAD_GAP_S = 0.1
REMOTE_EVERY = 3


class HeartbeatTask(asyncio.DatagramProtocol):
    """Owns the socket of heartbeats."""

    def __init__(
        self,
        *,
        vms: VmDirectory,
        positions: Callable[[], dict[str, Position]],
        on_change: Callable[[VmRecord], None],
        on_positions: Callable[[dict[str, Position]], None],
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts without a socket.

        Args:
            vms: Where heartbeats are recorded.
            positions: Returns how far each watched table was read.
            on_change: Called when a heartbeat said something new of a VM.
            on_positions: Called with how far another VM has read.
            on_sent: Called after each round, when readers may have changed.
        """
        self._vms = vms
        self._positions = positions
        self._on_change = on_change
        self._on_positions = on_positions
        self._on_sent = on_sent
        self._transport: asyncio.DatagramTransport | None = None
        self._count = 0
        self._spread_at = float("-inf")

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
        self._on_positions(beat.positions)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send()
            self._on_sent()
            await asyncio.sleep(INTERVAL_S)

    def send(self) -> None:
        """Sends a heartbeat to those whose turn it is."""
        now = asyncio.get_running_loop().time()
        self._count += 1
        own = self._vms.own
        readers = self._vms.readers(now=now)
        if own not in readers:
            self._send(self._vms.beat(self._positions()), readers)
            return
        domain = own.failure_domain
        report = {domain: [self._vms.own_report(now=now)]}
        known = self._vms.known_reports(now=now)
        whole = {**known, domain: [*known.get(domain, ()), *report[domain]]}
        self._send(self._vms.beat(self._positions(), whole), self._vms.mates)
        remote = [record for record in self._vms.remote_readers(now=now) if self._is_turn(record)]
        self._send(self._vms.beat(self._positions(), report), remote)

    def spread(self, *, everywhere: bool) -> None:
        """Tells others at once that there is a newer configuration, if this VM is a reader.

        Args:
            everywhere: Whether readers of other failure domains are told too.
        """
        now = asyncio.get_running_loop().time()
        if now - self._spread_at < SPREAD_GAP_S or self._vms.own not in self._vms.readers(now=now):
            return
        self._spread_at = now
        beat = self._vms.beat(self._positions())
        self._send(beat, self._vms.mates)
        if everywhere:
            self._send(beat, self._vms.remote_readers(now=now))

    def send_stop(self) -> None:
        """Tells the own failure domain and the readers of the others that this VM stops."""
        now = asyncio.get_running_loop().time()
        beat = self._vms.beat(self._positions())
        self._send(beat, [*self._vms.mates, *self._vms.remote_readers(now=now)])

    def _is_turn(self, record: VmRecord) -> bool:
        every = NEAR_EVERY if self._vms.is_near(record) else REMOTE_EVERY
        return self._count % every == 0

    def _send(self, beat: Heartbeat, records: list[VmRecord]) -> None:
        if self._transport is None or not records:
            return
        data = msgspec.json.encode(beat)
        for record in records:
            host, _, port = record.sibling_address.rpartition(":")
            with contextlib.suppress(OSError):  # a full socket buffer; the next one follows
                self._transport.sendto(data, (host, int(port)))
